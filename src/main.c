/* The command line: dispatches to the registered subcommands. */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/command.h"
#include "kernel/plugin.h"

const char *argp_program_version = "persimmonlatch " PERSIMMONLATCH_VERSION;

struct arguments {
	const struct plugin *command;
	int command_index; /* index of the subcommand's name */
};

static char *list_commands(int key, const char *text, void *input)
{
	GPtrArray *commands;
	GString *help;

	(void)input;
	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	commands = plugin_list(PLUGIN_COMMAND);
	help = g_string_new("Commands:\n");
	for (guint i = 0; i < commands->len; i++) {
		const struct plugin *plugin = commands->pdata[i];
		const struct command_ops *ops = plugin->ops;

		g_string_append_printf(help, "  %-10s %s\n", plugin->name,
				       ops->summary);
	}
	g_string_append(help, "\nEach command has its own --help. Exit codes: "
			      "0 done, 1 rejected, 2 usage, 3 outcome "
			      "unknown, 4 unreachable.");
	g_ptr_array_unref(commands);
	return g_string_free(help, FALSE);
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		arguments->command = plugin_find(PLUGIN_COMMAND, arg);
		if (!arguments->command)
			argp_error(state, "unknown command \"%s\"", arg);
		arguments->command_index = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	struct arguments arguments = { .command = NULL };
	const struct argp argp = {
		.parser = parse,
		.args_doc = "COMMAND [ARGUMENT...]",
		.doc = "Fleet capacity and maintenance manager.\v",
		.help_filter = list_commands,
	};
	const struct command_ops *ops;
	char *name;
	int32_t status;

	argp_err_exit_status = EXIT_USAGE;
	if (argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &arguments))
		return EXIT_USAGE;
	ops = arguments.command->ops;
	name = g_strdup_printf("persimmonlatch %s", arguments.command->name);
	argv[arguments.command_index] = name;
	status = ops->run(argc - arguments.command_index,
			  argv + arguments.command_index);
	g_free(name);
	return status;
}
