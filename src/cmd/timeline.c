/*
 * The timeline command: merges the events of all entry instances in causal
 * order.
 */

#include <stdio.h>
#include <string.h>

#include "cmd/client.h"
#include "kernel/plugin.h"

#define WAIT_US (5 * USEC_PER_SEC)
#define HLC_COUNTER_BITS 16

static const char *const filters[] = { "request", "instance", "pool",
				       "offset" };

struct timeline_arguments {
	struct client_options client;
	const char *filter[G_N_ELEMENTS(filters)]; /* values, or NULL */
	int json;
};

struct merged_entry {
	uint64_t hlc;
	const char *process;
	const json_t *entry;
};

/* The key of a filter option is 1 + its index, which is below any letter. */
static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct timeline_arguments *arguments = state->input;

	if (key >= 1 && key <= (int)G_N_ELEMENTS(filters)) {
		arguments->filter[key - 1] = arg;
		return 0;
	}
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

static uint64_t get_integer(const json_t *object, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(object, key));
}

static char *make_target(const struct timeline_arguments *arguments)
{
	GString *target = g_string_new("/v1/timeline");
	char separator = '?';

	for (gsize i = 0; i < G_N_ELEMENTS(filters); i++) {
		if (!arguments->filter[i])
			continue;
		g_string_append_printf(target, "%c%s=", separator, filters[i]);
		g_string_append_uri_escaped(target, arguments->filter[i], NULL,
					    FALSE);
		separator = '&';
	}
	return g_string_free(target, FALSE);
}

static void add_server(GPtrArray *servers, const char *server)
{
	if (!server[0])
		return;
	for (guint i = 0; i < servers->len; i++) {
		if (!strcmp(servers->pdata[i], server))
			return;
	}
	g_ptr_array_add(servers, g_strdup(server));
}

/* The given servers and all entry instances that the first reachable lists. */
static GPtrArray *find_servers(const struct client_options *options)
{
	GPtrArray *servers = g_ptr_array_new_with_free_func(g_free);
	struct client_call *call =
		client_call_first(options, "GET", "/v1/status", NULL, WAIT_US);
	const json_t *entries = json_object_get(call->response, "entries");

	for (guint i = 0; i < options->servers->len; i++)
		add_server(servers, options->servers->pdata[i]);
	for (size_t i = 0; i < json_array_size(entries); i++)
		add_server(servers, client_text(json_array_get(entries, i),
						"operator_address"));
	client_call_free(call);
	return servers;
}

static gint compare(gconstpointer a, gconstpointer b)
{
	const struct merged_entry *left = a;
	const struct merged_entry *right = b;

	if (left->hlc != right->hlc)
		return left->hlc < right->hlc ? -1 : 1;
	return strcmp(left->process, right->process);
}

static GArray *merge(const GPtrArray *calls)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct merged_entry));

	for (guint i = 0; i < calls->len; i++) {
		const struct client_call *call = calls->pdata[i];
		const json_t *entries =
			json_object_get(call->response, "entries");

		for (size_t k = 0; k < json_array_size(entries); k++) {
			struct merged_entry merged = {
				.process =
					client_text(call->response, "process"),
				.entry = json_array_get(entries, k),
			};

			merged.hlc = get_integer(merged.entry, "hlc");
			g_array_append_val(all, merged);
		}
	}
	g_array_sort(all, compare);
	return all;
}

static void print_entry(const struct merged_entry *merged)
{
	int64_t wall_ms = (int64_t)(merged->hlc >> HLC_COUNTER_BITS);
	GDateTime *time = g_date_time_new_from_unix_utc(wall_ms / 1000);
	char *text =
		time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%S") : NULL;
	uint64_t request = get_integer(merged->entry, "request");
	uint64_t offset = get_integer(merged->entry, "offset");

	printf("%s.%03dZ+%u %s %s", text ? text : "?", (int)(wall_ms % 1000),
	       (unsigned int)(merged->hlc & ((1U << HLC_COUNTER_BITS) - 1)),
	       merged->process, client_text(merged->entry, "kind"));
	if (request)
		printf(" request=%" G_GUINT64_FORMAT, request);
	if (offset)
		printf(" offset=%" G_GUINT64_FORMAT, offset);
	if (*client_text(merged->entry, "instance"))
		printf(" instance=%s", client_text(merged->entry, "instance"));
	if (*client_text(merged->entry, "pool"))
		printf(" pool=%s", client_text(merged->entry, "pool"));
	printf(" %s\n", client_text(merged->entry, "text"));
	g_free(text);
	if (time)
		g_date_time_unref(time);
}

static void print_text(const GArray *all, const GPtrArray *calls)
{
	for (guint i = 0; i < all->len; i++)
		print_entry(&g_array_index(all, struct merged_entry, i));
	for (guint i = 0; i < calls->len; i++) {
		const struct client_call *call = calls->pdata[i];
		uint64_t lost = get_integer(call->response, "lost");

		if (lost)
			printf("%s has dropped %" G_GUINT64_FORMAT
			       " older events\n",
			       client_text(call->response, "process"), lost);
	}
}

static void print_json(const GArray *all, const GPtrArray *calls)
{
	json_t *entries = json_array();
	json_t *lost = json_object();
	json_t *unreachable = json_array();
	json_t *json;

	for (guint i = 0; i < all->len; i++) {
		const struct merged_entry *merged =
			&g_array_index(all, struct merged_entry, i);
		json_t *entry = json_copy((json_t *)merged->entry);

		json_object_set_new(entry, "process",
				    json_string(merged->process));
		json_array_append_new(entries, entry);
	}
	for (guint i = 0; i < calls->len; i++) {
		const struct client_call *call = calls->pdata[i];

		if (json_object_get(call->response, "entries"))
			json_object_set(
				lost, client_text(call->response, "process"),
				json_object_get(call->response, "lost"));
		else
			json_array_append_new(unreachable,
					      json_string(call->server));
	}
	json = json_pack("{s:o, s:o, s:o}", "entries", entries, "lost", lost,
			 "unreachable", unreachable);
	json_dumpf(json, stdout, JSON_COMPACT);
	putchar('\n');
	json_decref(json);
}

static enum exit_code report_calls(const GPtrArray *calls)
{
	enum exit_code worst = EXIT_DONE;

	for (guint i = 0; i < calls->len; i++) {
		enum exit_code code = client_report(calls->pdata[i]);

		/* A query changes nothing, so its outcome is never unknown. */
		if (code == EXIT_UNKNOWN)
			code = EXIT_UNREACHABLE;
		worst = MAX(worst, code);
	}
	return worst;
}

static enum exit_code run_query(const struct timeline_arguments *arguments)
{
	GPtrArray *servers = find_servers(&arguments->client);
	char *target = make_target(arguments);
	GPtrArray *calls = client_call_all(&arguments->client, servers, "GET",
					   target, NULL, WAIT_US);
	GArray *all = merge(calls);
	enum exit_code code;

	if (arguments->json)
		print_json(all, calls);
	else
		print_text(all, calls);
	fflush(stdout);
	code = report_calls(calls);
	g_array_unref(all);
	g_ptr_array_unref(calls);
	g_free(target);
	g_ptr_array_unref(servers);
	return code;
}

static int timeline_run(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "request", 1, "ID", 0, "only this request, ID or ENTRY/ID",
		  0 },
		{ "instance", 2, "NAME", 0, "only this instance", 0 },
		{ "pool", 3, "NAME", 0, "only this pool", 0 },
		{ "offset", 4, "OFFSET", 0, "only this offset of the log", 0 },
		{ "json", 'j', NULL, 0, "print one JSON object", 0 },
		{ 0 },
	};
	const struct argp argp = {
		.options = options,
		.parser = parse,
		.doc = "Merges the events of all live entry instances. The "
		       "given ones are asked for the others.",
		.children = client_parsers,
	};
	struct timeline_arguments arguments = { .json = 0 };
	enum exit_code code;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	code = run_query(&arguments);
	client_options_clear(&arguments.client);
	return code;
}

static const struct command_ops timeline_ops = {
	.summary = "print the events of all entry instances",
	.run = timeline_run,
};

static const struct plugin timeline_plugin = {
	.name = "timeline",
	.kind = PLUGIN_COMMAND,
	.ops = &timeline_ops,
};

PLUGIN_REGISTER(timeline_plugin)
