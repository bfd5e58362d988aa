/* Commands that send and cancel requests, and set how endpoints answer. */

#include <string.h>

#include "runner/script.h"

static void add_request(struct script *script, struct node *node,
			const char *name)
{
	struct request *request = request_add(kernel_requests(node->kernel));
	struct event event = { .type = EVENT_REQUEST_NEW };
	const char *method = script_option(script, "method");
	const char *path = script_option(script, "path");
	const char *key = script_option(script, "key");
	int64_t deadline_us = script_option_us(script, "deadline", 0);

	name_copy(request->method, sizeof(request->method),
		  method ? method : "GET");
	request->path = g_strdup(path ? path : "/");
	/* Keys start with a time in ms; scripts may leave it out. */
	if (key && g_ascii_isdigit(key[0]))
		name_copy(request->key, sizeof(request->key), key);
	else if (key)
		g_snprintf(request->key, sizeof(request->key),
			   "%" G_GINT64_FORMAT "-%s",
			   (script->world->wall_start_us) / USEC_PER_MSEC, key);
	request->relayed = script_option(script, "relayed") != NULL;
	request->arrived_us = script->world->now_us + 1;
	if (deadline_us)
		request->deadline_us = script->world->now_us + 1 + deadline_us;
	g_hash_table_insert(node->request_names,
			    g_memdup2(&request->id, sizeof(request->id)),
			    g_strdup(name));
	event.request.request_id = request->id;
	world_inject(script->world, node, &event);
}

/* request NODE NAME path=P [method=M] [key=K] [deadline=T] [relayed=1] */
static void cmd_request(struct script *script)
{
	struct node *node = script_node(script, 1);

	if (node && node->kernel)
		add_request(script, node, script_word(script, 2));
}

/* burst NODE PREFIX count=N every=T path=P ...: sends requests PREFIX1 ... */
static void cmd_burst(struct script *script)
{
	struct node *node = script_node(script, 1);
	uint64_t count = script_number(script, "count", 1);
	int64_t every_us = script_option_us(script, "every", 0);

	for (uint64_t i = 1; node && i <= count; i++) {
		char *name = g_strdup_printf("%s%" G_GUINT64_FORMAT,
					     script_word(script, 2), i);

		if (node->kernel)
			add_request(script, node, name);
		g_free(name);
		world_run_until(script->world,
				script->world->now_us + every_us);
	}
}

static uint64_t request_id(struct script *script, struct node *node,
			   const char *name)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, node->request_names);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (!strcmp(value, name))
			return *(uint64_t *)key;
	}
	script_fail(script, "no request is called \"%s\"", name);
	return 0;
}

/* gone NODE REQUEST: its caller has disconnected. */
static void cmd_gone(struct script *script)
{
	struct node *node = script_node(script, 1);
	struct event event = { .type = EVENT_REQUEST_GONE };

	if (!node)
		return;
	event.request.request_id =
		request_id(script, node, script_word(script, 2));
	world_inject(script->world, node, &event);
}

/*
 * done NODE REQUEST ENDPOINT [attempt=N] [result=N] [status=N]: ends an attempt
 * at a manual endpoint.
 */
static void cmd_done(struct script *script)
{
	struct node *node = script_node(script, 1);
	struct event_attempt attempt = {
		.attempt = (uint32_t)script_number(script, "attempt", 1),
		.result = (enum attempt_result)script_number(script, "result",
							     ATTEMPT_ANSWERED),
		.status = (uint32_t)script_number(script, "status", 200),
	};

	if (!node)
		return;
	attempt.request_id = request_id(script, node, script_word(script, 2));
	name_copy(attempt.endpoint, NAME_SIZE_BYTES, script_word(script, 3));
	world_finish_attempt(script->world, node, &attempt);
}

/* endpoint NAME|default MODE [service=T]: see enum endpoint_mode */
static void cmd_endpoint(struct script *script)
{
	static const char *const modes[] = { "auto",   "manual", "fail",
					     "refuse", "hang",	 "cut" };
	struct world *world = script->world;
	struct endpoint *endpoint;
	uint32_t mode = 0;

	while (mode < G_N_ELEMENTS(modes) &&
	       strcmp(modes[mode], script_word(script, 2)) != 0)
		mode++;
	if (mode == G_N_ELEMENTS(modes)) {
		script_fail(script, "no endpoint mode is called \"%s\"",
			    script_word(script, 2));
		return;
	}
	if (!strcmp(script_word(script, 1), "default")) {
		world->mode = (enum endpoint_mode)mode;
		world->service_us =
			script_option_us(script, "service", world->service_us);
		return;
	}
	endpoint = world_endpoint(world, script_word(script, 1));
	endpoint->mode = (enum endpoint_mode)mode;
	endpoint->service_us =
		script_option_us(script, "service", endpoint->service_us);
}

static const struct script_command commands[] = {
	{ "burst", 2, cmd_burst },	 { "done", 3, cmd_done },
	{ "endpoint", 2, cmd_endpoint }, { "gone", 2, cmd_gone },
	{ "request", 2, cmd_request },
};

SCRIPT_REGISTER(commands)
