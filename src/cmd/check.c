/* The check command: validates declaration files without a server. */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "cmd/command.h"
#include "cmd/files.h"
#include "kernel/plugin.h"

static error_t parse(int key, char *arg, struct argp_state *state)
{
	GPtrArray *paths = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		g_ptr_array_add(paths, arg);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int check_run(int argc, char **argv)
{
	const struct argp argp = {
		.parser = parse,
		.args_doc = "FILE...",
		.doc = "Validates declaration files together, without a "
		       "server.",
	};
	GPtrArray *paths = g_ptr_array_new();
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *files;
	int code;

	argp_parse(&argp, argc, argv, 0, NULL, paths);
	files = files_read(paths, errors);
	if (!errors->len)
		decl_check(files, errors);
	for (guint i = 0; i < errors->len; i++)
		fprintf(stderr, "%s\n", (char *)errors->pdata[i]);
	if (!errors->len)
		printf("%u files are valid\n", files->len);
	code = errors->len ? EXIT_REJECTED : EXIT_DONE;
	g_ptr_array_unref(files);
	g_ptr_array_unref(errors);
	g_ptr_array_unref(paths);
	return code;
}

static const struct command_ops check_ops = {
	.summary = "validate declaration files without a server",
	.run = check_run,
};

static const struct plugin check_plugin = {
	.name = "check",
	.kind = PLUGIN_COMMAND,
	.ops = &check_ops,
};

PLUGIN_REGISTER(check_plugin)
