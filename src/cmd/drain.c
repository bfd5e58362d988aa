/* The drain command: shuts entry instances down gracefully. */

#include <stdio.h>

#include "cmd/client.h"
#include "kernel/plugin.h"

#define WAIT_US (5 * USEC_PER_SEC)

static error_t parse(int key, char *arg, struct argp_state *state)
{
	(void)arg;
	if (key != ARGP_KEY_INIT)
		return ARGP_ERR_UNKNOWN;
	state->child_inputs[0] = state->input;
	return 0;
}

static enum exit_code report(const struct client_call *call)
{
	enum exit_code code = client_report(call);
	const json_t *deadline = json_object_get(call->response, "deadline_ms");

	if (code == EXIT_DONE)
		printf("%s: draining, ends within %" JSON_INTEGER_FORMAT
		       " ms\n",
		       call->server, json_integer_value(deadline));
	return code;
}

static int drain_run(int argc, char **argv)
{
	const struct argp argp = {
		.parser = parse,
		.doc = "Makes each given entry instance finish its requests in "
		       "flight and exit.",
		.children = client_parsers,
	};
	struct client_options options = { .token = NULL };
	enum exit_code worst = EXIT_DONE;
	GPtrArray *calls;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	calls = client_call_all(&options, options.servers, "POST", "/v1/drain",
				NULL, WAIT_US);
	for (guint i = 0; i < calls->len; i++) {
		enum exit_code code = report(calls->pdata[i]);

		worst = MAX(worst, code);
	}
	g_ptr_array_unref(calls);
	client_options_clear(&options);
	return worst;
}

static const struct command_ops drain_ops = {
	.summary = "shut entry instances down gracefully",
	.run = drain_run,
};

static const struct plugin drain_plugin = {
	.name = "drain",
	.kind = PLUGIN_COMMAND,
	.ops = &drain_ops,
};

PLUGIN_REGISTER(drain_plugin)
