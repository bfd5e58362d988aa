/* The status command: prints the fleet's state as entry instances see it. */

#include <stdio.h>

#include "cmd/client.h"
#include "kernel/plugin.h"

#define WAIT_US (5 * USEC_PER_SEC)

struct status_arguments {
	struct client_options client;
	int json;
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct status_arguments *arguments = state->input;

	(void)arg;
	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &arguments->client;
		return 0;
	case 'j':
		arguments->json = 1;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static json_int_t get_integer(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static const char *text_if_true(const json_t *object, const char *key,
				const char *text)
{
	return json_is_true(json_object_get(object, key)) ? text : "";
}

static void print_entries(const json_t *entries)
{
	for (size_t i = 0; i < json_array_size(entries); i++) {
		const json_t *entry = json_array_get(entries, i);

		printf("entry %s: dc %s, incarnation %" JSON_INTEGER_FORMAT
		       ", callers %s, operators %s\n",
		       client_text(entry, "name"), client_text(entry, "dc"),
		       get_integer(entry, "incarnation"),
		       client_text(entry, "caller_address"),
		       client_text(entry, "operator_address"));
	}
}

static void print_instance(const json_t *instance)
{
	const json_t *endpoint = json_object_get(instance, "endpoint");

	printf("  %s: %s%s, dc %s, rack %s, %" JSON_INTEGER_FORMAT " slots",
	       client_text(instance, "name"), client_text(instance, "phase"),
	       text_if_true(instance, "down", ", down"),
	       client_text(instance, "dc"), client_text(instance, "rack"),
	       get_integer(instance, "slots"));
	if (*client_text(instance, "to_pool"))
		printf(", to pool %s", client_text(instance, "to_pool"));
	if (*client_text(instance, "wave"))
		printf(", wave %s", client_text(instance, "wave"));
	if (json_is_object(endpoint))
		printf(", %" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT
		       " in flight here, %" JSON_INTEGER_FORMAT " us%s%s%s",
		       get_integer(endpoint, "in_flight"),
		       get_integer(endpoint, "allowed"),
		       get_integer(endpoint, "latency_us"),
		       text_if_true(endpoint, "leaving", ", leaving"),
		       text_if_true(endpoint, "ejected", ", ejected"),
		       text_if_true(endpoint, "probing", ", probing"));
	putchar('\n');
}

static void print_pools(const json_t *pools)
{
	for (size_t i = 0; i < json_array_size(pools); i++) {
		const json_t *pool = json_array_get(pools, i);
		const json_t *instances = json_object_get(pool, "instances");

		printf("pool %s: %zu instances, %" JSON_INTEGER_FORMAT
		       " unavailable (at most %" JSON_INTEGER_FORMAT
		       "), %" JSON_INTEGER_FORMAT
		       " queued, wait %" JSON_INTEGER_FORMAT " us%s\n",
		       client_text(pool, "name"), json_array_size(instances),
		       get_integer(pool, "unavailable"),
		       get_integer(pool, "max_unavailable"),
		       get_integer(pool, "queued"),
		       get_integer(pool, "wait_us"),
		       text_if_true(pool, "spare", ", spare"));
		for (size_t k = 0; k < json_array_size(instances); k++)
			print_instance(json_array_get(instances, k));
	}
}

static void print_waves(const json_t *waves)
{
	for (size_t i = 0; i < json_array_size(waves); i++) {
		const json_t *wave = json_array_get(waves, i);

		printf("wave %s: %" JSON_INTEGER_FORMAT " instances done%s\n",
		       client_text(wave, "name"), get_integer(wave, "done"),
		       text_if_true(wave, "halted", ", halted"));
	}
}

static void print_jobs(const json_t *jobs)
{
	for (size_t i = 0; i < json_array_size(jobs); i++) {
		const json_t *job = json_array_get(jobs, i);

		printf("job %s: %s, pool %s, instance %s %s\n",
		       client_text(job, "name"), client_text(job, "state"),
		       client_text(job, "pool"), client_text(job, "instance"),
		       client_text(job, "reason"));
	}
}

static void print_files(const json_t *files)
{
	for (size_t i = 0; i < json_array_size(files); i++) {
		const json_t *file = json_array_get(files, i);

		printf("file %s: offset %" JSON_INTEGER_FORMAT "\n",
		       client_text(file, "name"), get_integer(file, "offset"));
	}
}

static void print_status(const json_t *status)
{
	const json_t *lease = json_object_get(status, "lease");

	printf("this is %s: dc %s, incarnation %" JSON_INTEGER_FORMAT
	       ", offset %" JSON_INTEGER_FORMAT ", %" JSON_INTEGER_FORMAT
	       " requests%s\n",
	       client_text(status, "entry"), client_text(status, "dc"),
	       get_integer(status, "incarnation"),
	       get_integer(status, "offset"), get_integer(status, "requests"),
	       text_if_true(status, "draining", ", draining"));
	if (*client_text(lease, "holder"))
		printf("planner %s: token %" JSON_INTEGER_FORMAT "\n",
		       client_text(lease, "holder"),
		       get_integer(lease, "token"));
	print_entries(json_object_get(status, "entries"));
	print_files(json_object_get(status, "files"));
	print_pools(json_object_get(status, "pools"));
	print_waves(json_object_get(status, "waves"));
	print_jobs(json_object_get(status, "jobs"));
}

static enum exit_code report(const struct client_call *call, int as_json)
{
	enum exit_code code = client_report(call);

	if (code != EXIT_DONE)
		return code;
	if (!as_json) {
		print_status(call->response);
		return code;
	}
	json_dumpf(call->response, stdout, JSON_COMPACT);
	putchar('\n');
	return code;
}

static int status_run(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "json", 'j', NULL, 0, "print one JSON object per server", 0 },
		{ 0 },
	};
	const struct argp argp = {
		.options = options,
		.parser = parse,
		.doc = "Prints the state of the fleet as each given entry "
		       "instance sees it.",
		.children = client_parsers,
	};
	struct status_arguments arguments = { .json = 0 };
	enum exit_code worst = EXIT_DONE;
	GPtrArray *calls;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	calls = client_call_all(&arguments.client, arguments.client.servers,
				"GET", "/v1/status", NULL, WAIT_US);
	for (guint i = 0; i < calls->len; i++) {
		enum exit_code code = report(calls->pdata[i], arguments.json);

		worst = MAX(worst, code);
	}
	g_ptr_array_unref(calls);
	client_options_clear(&arguments.client);
	return worst;
}

static const struct command_ops status_ops = {
	.summary = "print the state of the fleet",
	.run = status_run,
};

static const struct plugin status_plugin = {
	.name = "status",
	.kind = PLUGIN_COMMAND,
	.ops = &status_ops,
};

PLUGIN_REGISTER(status_plugin)
