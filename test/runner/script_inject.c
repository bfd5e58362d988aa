/*
 * Commands that inject what other decision plug-ins emit, so that a script can
 * test the router without them.
 */

#include <string.h>

#include "runner/script.h"

static void set_allowed_slots(struct world *world, struct node *node,
			      const char *name, uint32_t count)
{
	struct event event = { .type = EVENT_SLOTS_CHANGED };

	endpoint_table_get(kernel_endpoints(node->kernel), name)
		->allowed_count = count;
	name_copy(event.subject.name, NAME_SIZE_BYTES, name);
	world_inject(world, node, &event);
}

/* grant NODE ENDPOINT|POOL|all COUNT: slots that the node may use on each */
static void cmd_grant(struct script *script)
{
	struct node *node = script_running_node(script);
	const char *what = script->words[2];
	uint32_t count = (uint32_t)g_ascii_strtoull(script->words[3], NULL, 10);
	const GPtrArray *instances;
	uint32_t granted_count = 0;

	if (!node)
		return;
	instances = fleet_instances(kernel_fleet(node->kernel));
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		if (strcmp(what, "all") != 0 &&
		    strcmp(what, instance->pool) != 0 &&
		    strcmp(what, instance->decl.name) != 0)
			continue;
		set_allowed_slots(script->world, node, instance->decl.name,
				  count);
		granted_count++;
	}
	if (!granted_count)
		script_fail(script, "no endpoint or pool is called \"%s\"",
			    what);
}

/* mark NODE ENDPOINT [leaving] [ejected] [probing]: as the health plug-in */
static void cmd_mark(struct script *script)
{
	struct node *node = script_running_node(script);
	struct event event = { .type = EVENT_ENDPOINT_HEALTH };
	struct endpoint_state *state;

	if (!node)
		return;
	state = endpoint_table_get(kernel_endpoints(node->kernel),
				   script->words[2]);
	state->leaving = state->ejected = state->probing = false;
	for (uint32_t i = 3; i < script->word_count; i++) {
		state->leaving |= !strcmp(script->words[i], "leaving");
		state->ejected |= !strcmp(script->words[i], "ejected");
		state->probing |= !strcmp(script->words[i], "probing");
	}
	name_copy(event.subject.name, NAME_SIZE_BYTES, script->words[2]);
	world_inject(script->world, node, &event);
}

/* load NODE PEER DC POOL free=N wait_ms=N: a heartbeat of the peer */
static void cmd_load(struct script *script)
{
	struct node *node = script_running_node(script);
	struct event event = { .type = EVENT_PEER_RECEIVED };
	struct peer_pool_load load = {
		.free_slots_count = (uint32_t)script_number(script, "free", 0),
		.wait_us = (int64_t)script_number(script, "wait_ms", 0) *
			   USEC_PER_MSEC,
	};

	if (!node)
		return;
	name_copy(load.pool, NAME_SIZE_BYTES, script->words[4]);
	event.peer.msg = peer_msg_new(PEER_MSG_HEARTBEAT);
	name_copy(event.peer.msg->from, NAME_SIZE_BYTES, script->words[2]);
	name_copy(event.peer.msg->dc, NAME_SIZE_BYTES, script->words[3]);
	name_copy(event.peer.peer, NAME_SIZE_BYTES, script->words[2]);
	event.peer.msg->loads = g_array_new(FALSE, TRUE, sizeof(load));
	g_array_append_val(event.peer.msg->loads, load);
	world_inject(script->world, node, &event);
}

/* peer NODE PEER alive|suspect|dead: as the cluster plug-in */
static void cmd_peer(struct script *script)
{
	struct node *node = script_running_node(script);
	struct event event = { .type = EVENT_PEER_STATE };

	if (!node)
		return;
	name_copy(event.peer.peer, NAME_SIZE_BYTES, script->words[2]);
	event.peer.state = !strcmp(script->words[3], "alive")  ? PEER_ALIVE
			   : !strcmp(script->words[3], "dead") ? PEER_DEAD
							       : PEER_SUSPECT;
	world_inject(script->world, node, &event);
}

static void add_request(struct script *script, struct node *node,
			uint64_t number, int64_t at_us)
{
	struct request *request = request_add(kernel_requests(node->kernel));
	struct event event = { .type = EVENT_REQUEST_NEW };

	name_copy(request->method, sizeof(request->method), "GET");
	request->path = g_strdup(script_option(script, "path"));
	request->arrived_us = at_us + 1;
	g_hash_table_insert(node->request_names,
			    g_memdup2(&request->id, sizeof(request->id)),
			    g_strdup_printf("%s%" G_GUINT64_FORMAT,
					    script->words[2], number));
	event.request.request_id = request->id;
	world_schedule(script->world, at_us, node, &event);
}

/* stream NODE PREFIX count=N every_us=N path=P: schedules requests PREFIX1 ...
 */
static void cmd_stream(struct script *script)
{
	struct node *node = script_running_node(script);
	uint64_t count = script_number(script, "count", 0);
	int64_t every_us = (int64_t)script_number(script, "every_us", 0);

	if (!script_option(script, "path")) {
		script_fail(script, "stream needs path=PATH");
		return;
	}
	for (uint64_t i = 0; node && i < count; i++)
		add_request(script, node, i + 1,
			    script->world->now_us + (int64_t)i * every_us);
}

static const struct script_command commands[] = {
	{ "grant", 3, cmd_grant },   { "load", 4, cmd_load },
	{ "mark", 2, cmd_mark },     { "peer", 3, cmd_peer },
	{ "stream", 4, cmd_stream },
};

SCRIPT_REGISTER(commands)
