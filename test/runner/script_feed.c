/*
 * Commands that stand in for other decision plug-ins, so that a script can
 * bring the router into a state without the plug-in that would cause it.
 */

#include <string.h>

#include "runner/world.h"

struct feed {
	struct world *world;
	const char *dir;
	gchar **words;
	uint32_t word_count;
	GPtrArray *errors;
};

static void fail(struct feed *feed, const char *text)
{
	g_ptr_array_add(feed->errors, g_strdup_printf("%s: %s: %s", feed->dir,
						      feed->words[0], text));
}

static const char *option(const struct feed *feed, const char *key)
{
	size_t length_bytes = strlen(key);

	for (uint32_t i = 1; i < feed->word_count; i++) {
		if (!strncmp(feed->words[i], key, length_bytes) &&
		    feed->words[i][length_bytes] == '=')
			return feed->words[i] + length_bytes + 1;
	}
	return NULL;
}

static uint64_t number(const struct feed *feed, const char *key)
{
	const char *text = option(feed, key);

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static struct node *running_node(struct feed *feed)
{
	struct node *node = world_node(feed->world, feed->words[1]);

	if (node && node->kernel)
		return node;
	fail(feed, "no such node is running");
	return NULL;
}

static void grant(struct world *world, struct node *node, const char *name,
		  uint32_t count)
{
	struct event event = { .type = EVENT_SLOTS_CHANGED };

	endpoint_table_get(kernel_endpoints(node->kernel), name)
		->allowed_count = count;
	name_copy(event.name.name, NAME_SIZE_BYTES, name);
	world_inject(world, node, &event);
}

/* grant NODE ENDPOINT|POOL|all COUNT: slots that the node may use on each. */
static void feed_grant(struct feed *feed)
{
	struct node *node = running_node(feed);
	const char *what = feed->words[2];
	uint32_t count = (uint32_t)g_ascii_strtoull(feed->words[3], NULL, 10);
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
		grant(feed->world, node, instance->decl.name, count);
		granted_count++;
	}
	if (!granted_count)
		fail(feed, "no such endpoint");
}

/* mark NODE ENDPOINT [leaving] [ejected] [probing]: as health would. */
static void feed_mark(struct feed *feed)
{
	struct node *node = running_node(feed);
	struct event event = { .type = EVENT_ENDPOINT_HEALTH };
	struct endpoint_state *state;

	if (!node)
		return;
	state = endpoint_table_get(kernel_endpoints(node->kernel),
				   feed->words[2]);
	state->leaving = state->ejected = state->probing = false;
	for (uint32_t i = 3; i < feed->word_count; i++) {
		state->leaving |= !strcmp(feed->words[i], "leaving");
		state->ejected |= !strcmp(feed->words[i], "ejected");
		state->probing |= !strcmp(feed->words[i], "probing");
	}
	name_copy(event.name.name, NAME_SIZE_BYTES, feed->words[2]);
	world_inject(feed->world, node, &event);
}

/* load NODE PEER DC POOL free=N wait_ms=N: a heartbeat of the peer. */
static void feed_load(struct feed *feed)
{
	struct node *node = running_node(feed);
	struct event event = { .type = EVENT_PEER_RECEIVED };
	struct peer_pool_load load = {
		.free_slots_count = (uint32_t)number(feed, "free"),
		.wait_us = (int64_t)number(feed, "wait_ms") * USEC_PER_MSEC,
	};

	if (!node)
		return;
	name_copy(load.pool, NAME_SIZE_BYTES, feed->words[4]);
	event.peer.msg = peer_msg_new(PEER_MSG_HEARTBEAT);
	name_copy(event.peer.msg->from, NAME_SIZE_BYTES, feed->words[2]);
	name_copy(event.peer.msg->dc, NAME_SIZE_BYTES, feed->words[3]);
	name_copy(event.peer.peer, NAME_SIZE_BYTES, feed->words[2]);
	event.peer.msg->loads = g_array_new(FALSE, TRUE, sizeof(load));
	g_array_append_val(event.peer.msg->loads, load);
	world_inject(feed->world, node, &event);
}

/* peer NODE PEER alive|suspect|dead: as cluster would. */
static void feed_peer(struct feed *feed)
{
	struct node *node = running_node(feed);
	struct event event = { .type = EVENT_PEER_STATE };

	if (!node)
		return;
	name_copy(event.peer.peer, NAME_SIZE_BYTES, feed->words[2]);
	event.peer.state = !strcmp(feed->words[3], "alive")  ? PEER_ALIVE
			   : !strcmp(feed->words[3], "dead") ? PEER_DEAD
							     : PEER_SUSPECT;
	world_inject(feed->world, node, &event);
}

static void add_request(struct feed *feed, struct node *node, uint64_t number,
			int64_t at_us)
{
	struct request *request = request_add(kernel_requests(node->kernel));
	struct event event = { .type = EVENT_REQUEST_NEW };

	name_copy(request->method, sizeof(request->method), "GET");
	request->path = g_strdup(option(feed, "path"));
	request->arrived_us = at_us + 1;
	g_hash_table_insert(node->request_names,
			    g_memdup2(&request->id, sizeof(request->id)),
			    g_strdup_printf("%s%" G_GUINT64_FORMAT,
					    feed->words[2], number));
	event.request.request_id = request->id;
	world_schedule(feed->world, at_us, node, &event);
}

/* stream NODE PREFIX count=N every_us=N path=P: while other commands run. */
static void feed_stream(struct feed *feed)
{
	struct node *node = running_node(feed);
	uint64_t count = number(feed, "count");
	int64_t every_us = (int64_t)number(feed, "every_us");

	if (!option(feed, "path")) {
		fail(feed, "a path is needed");
		return;
	}
	for (uint64_t i = 0; node && i < count; i++)
		add_request(feed, node, i + 1,
			    feed->world->now_us + (int64_t)i * every_us);
}

static const struct feed_command {
	const char *name;
	uint32_t least_count; /* words after the name */
	void (*run)(struct feed *feed);
} commands[] = {
	{ "grant", 3, feed_grant },   { "load", 4, feed_load },
	{ "mark", 2, feed_mark },     { "peer", 3, feed_peer },
	{ "stream", 4, feed_stream },
};

bool script_feed(struct world *world, const char *dir, gchar **words,
		 GPtrArray *errors)
{
	struct feed feed = {
		.world = world,
		.dir = dir,
		.words = words,
		.word_count = g_strv_length(words),
		.errors = errors,
	};

	for (uint32_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, words[0]) != 0)
			continue;
		if (feed.word_count <= commands[i].least_count)
			fail(&feed, "more words are needed");
		else
			commands[i].run(&feed);
		return true;
	}
	return false;
}
