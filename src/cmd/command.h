#ifndef CMD_COMMAND_H
#define CMD_COMMAND_H

/* Subcommands of the program; each is a plug-in of kind PLUGIN_COMMAND. */

enum exit_code {
	EXIT_DONE = 0,
	EXIT_REJECTED = 1,
	EXIT_USAGE = 2,
	EXIT_UNKNOWN = 3, /* the outcome is not known */
	EXIT_UNREACHABLE = 4,
};

struct command_ops {
	const char *summary; /* one line for the program's --help */
	/* argv[0] is "persimmonlatch NAME"; returns an enum exit_code. */
	int (*run)(int argc, char **argv);
};

#endif
