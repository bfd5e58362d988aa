/*
 * Random faults and requests from a seed, on the nodes that a script has
 * started. The invariants are checked on every event. At the end all faults are
 * repaired; then all entries must be on the roster and all slots be allowed.
 */

#include <string.h>

#include "runner/world.h"

#define STEP_MAX_US (400 * USEC_PER_MSEC)
#define LONG_STEP_MAX_US (9 * USEC_PER_SEC)
#define UNLIST_AFTER_US (6 * USEC_PER_SEC)
#define RECOVERY_US (60 * USEC_PER_SEC)
#define BURST_MAX_COUNT 40
#define FLOOD_BURSTS_COUNT 20

struct driver {
	struct world *world;
	GRand *random;
	bool trace;
	uint64_t request_count;
	uint64_t key_count;
	uint32_t enabled_actions; /* bit set of indices of actions[] */
	GHashTable *unlisted;	  /* names of nodes missing from the list */
	GHashTable *leaving;	  /* names of endpoints that it shows leaving */
};

struct action {
	const char *name;
	uint32_t weight;
	void (*run)(struct driver *driver, struct node *node);
};

static uint32_t random_below(struct driver *driver, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(driver->random, 0, (gint32)limit);
}

static uint32_t running_count(const struct world *world)
{
	uint32_t count = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct node *node = world->nodes->pdata[i];

		count += node->kernel && !node->paused;
	}
	return count;
}

static const struct fleet_instance *any_instance(struct driver *driver,
						 struct node *node)
{
	const GPtrArray *instances =
		node->kernel ? fleet_instances(kernel_fleet(node->kernel))
			     : NULL;

	if (!instances || !instances->len)
		return NULL;
	return instances->pdata[random_below(driver, instances->len)];
}

/* One request in eight repeats an earlier key, maybe through another entry. */
static uint64_t next_key(struct driver *driver)
{
	if (driver->key_count && !random_below(driver, 8))
		return 1 + random_below(driver, (uint32_t)driver->key_count);
	return ++driver->key_count;
}

static void add_request(struct driver *driver, struct node *node,
			const char *path)
{
	struct event event = { .type = EVENT_REQUEST_NEW };
	struct request *request;

	if (!node->kernel)
		return;
	request = request_add(kernel_requests(node->kernel));
	name_copy(request->method, sizeof(request->method), "POST");
	request->path = g_strdup(path);
	g_snprintf(request->key, sizeof(request->key),
		   "%" G_GINT64_FORMAT "-%" G_GUINT64_FORMAT,
		   driver->world->wall_start_us / USEC_PER_MSEC,
		   next_key(driver));
	driver->request_count++;
	request->arrived_us = driver->world->now_us + 1;
	g_hash_table_insert(node->request_names,
			    g_memdup2(&request->id, sizeof(request->id)),
			    g_strdup(request->key));
	event.request.request_id = request->id;
	world_inject(driver->world, node, &event);
}

static void do_requests(struct driver *driver, struct node *node)
{
	const GPtrArray *services;
	char path[NAME_SIZE_BYTES];
	uint32_t count;

	if (!node->kernel || node->paused)
		return;
	services = fleet_services(kernel_fleet(node->kernel));
	if (!services->len)
		return;
	name_copy(path, sizeof(path),
		  ((const struct decl_service *)
			   services->pdata[random_below(driver, services->len)])
			  ->path);
	count = 1 + random_below(driver, BURST_MAX_COUNT);
	for (uint32_t i = 0; i < count; i++)
		add_request(driver, node, path);
}

/* Sends far more requests than the fleet can handle. */
static void do_flood(struct driver *driver, struct node *node)
{
	for (uint32_t i = 0; i < FLOOD_BURSTS_COUNT; i++)
		do_requests(driver, node);
}

/* Operators apply the same file at the same base through several nodes. */
static void do_race(struct driver *driver, struct node *node)
{
	struct world *world = driver->world;

	for (guint i = 0; i < world->nodes->len; i++) {
		struct node *at = world->nodes->pdata[i];
		struct event event = { .type = EVENT_PROPOSE };
		const struct decl *decl;
		GPtrArray *files;

		if (!at->kernel || at->paused ||
		    (at != node && random_below(driver, 2)))
			continue;
		files = fleet_files(kernel_fleet(at->kernel));
		if (files->len) {
			event.record.record = record_new(RECORD_CONFIG_PUT);
			name_copy(event.record.record->config.file,
				  NAME_SIZE_BYTES, files->pdata[0]);
			decl = fleet_file(
				kernel_fleet(at->kernel), files->pdata[0],
				&event.record.record->config.base_offset);
			event.record.record->config.decl =
				decl_ref((struct decl *)decl);
			world_inject(world, at, &event);
		}
		g_ptr_array_unref(files);
	}
}

static void do_kill(struct driver *driver, struct node *node)
{
	if (node->kernel && running_count(driver->world) > 1)
		world_kill_node(driver->world, node);
}

static void do_start(struct driver *driver, struct node *node)
{
	if (node->kernel)
		return;
	g_hash_table_remove(driver->unlisted, node->name);
	world_start_node(driver->world, node->name, "");
}

static void do_pause(struct driver *driver, struct node *node)
{
	if (node->kernel && !node->paused && running_count(driver->world) > 1)
		world_set_paused(driver->world, node, true);
}

static void do_resume(struct driver *driver, struct node *node)
{
	if (!node->kernel || !node->paused)
		return;
	g_hash_table_remove(driver->unlisted, node->name);
	world_set_paused(driver->world, node, false);
}

static void do_drain(struct driver *driver, struct node *node)
{
	struct event event = { .type = EVENT_DRAIN };

	if (!node->kernel || node->paused || running_count(driver->world) < 2)
		return;
	event.drain.deadline_us = driver->world->now_us + 5 * USEC_PER_SEC;
	world_inject(driver->world, node, &event);
}

static void do_cut_log(struct driver *driver, struct node *node)
{
	node->log_unreachable = !random_below(driver, 4);
	world_announce_log(driver->world);
}

static void set_partition(struct node *a, struct node *b, bool partitioned)
{
	if (partitioned) {
		g_hash_table_add(a->unreachable_peers, g_strdup(b->name));
		g_hash_table_add(b->unreachable_peers, g_strdup(a->name));
	} else {
		g_hash_table_remove(a->unreachable_peers, b->name);
		g_hash_table_remove(b->unreachable_peers, a->name);
	}
}

static void do_cut_peer(struct driver *driver, struct node *node)
{
	struct node *other = driver->world->nodes->pdata[random_below(
		driver, driver->world->nodes->len)];

	if (other != node)
		set_partition(node, other, !random_below(driver, 3));
}

static void do_log_down(struct driver *driver, struct node *node)
{
	(void)node;
	driver->world->log_down = !random_below(driver, 4);
	world_announce_log(driver->world);
}

static void do_log_lose(struct driver *driver, struct node *node)
{
	(void)node;
	driver->world->log_lose_answers = !random_below(driver, 3);
	driver->world->log_drop_appends = !random_below(driver, 4);
	driver->world->late_append_delay_us =
		random_below(driver, 2)
			? random_below(driver, 900) * USEC_PER_MSEC
			: 0;
}

static void do_delays(struct driver *driver, struct node *node)
{
	(void)node;
	driver->world->log_delay_us =
		(1 + random_below(driver, 300)) * USEC_PER_MSEC;
	driver->world->peer_delay_us =
		(1 + random_below(driver, 100)) * USEC_PER_MSEC;
}

static void do_endpoint(struct driver *driver, struct node *node)
{
	static const enum endpoint_mode modes[] = {
		ENDPOINT_AUTO,	ENDPOINT_AUTO, ENDPOINT_AUTO,
		ENDPOINT_FAIL,	ENDPOINT_HANG, ENDPOINT_DISCONNECT,
		ENDPOINT_REFUSE
	};
	const struct fleet_instance *instance = any_instance(driver, node);
	struct endpoint *endpoint;

	if (!instance)
		return;
	endpoint = world_endpoint(driver->world, instance->decl.name);
	endpoint->mode = modes[random_below(driver, G_N_ELEMENTS(modes))];
	endpoint->service_us = (1 + random_below(driver, 1500)) * USEC_PER_MSEC;
}

static void do_leaving(struct driver *driver, struct node *node)
{
	const struct fleet_instance *instance = any_instance(driver, node);

	if (!instance)
		return;
	if (!g_hash_table_remove(driver->leaving, instance->decl.name))
		g_hash_table_add(driver->leaving,
				 g_strdup(instance->decl.name));
}

/* The node that holds the planner lease in the state of node, or NULL. */
static struct node *lease_holder(const struct driver *driver,
				 const struct node *node)
{
	struct node *holder;

	if (!node->kernel)
		return NULL;
	holder = world_node(driver->world,
			    fleet_lease(kernel_fleet(node->kernel))->holder);
	return holder && holder->kernel && !holder->paused ? holder : NULL;
}

/* The holder of the planner lease moves an instance to another pool. */
static void do_move(struct driver *driver, struct node *any)
{
	struct node *node = lease_holder(driver, any);
	const struct fleet_instance *instance =
		node ? any_instance(driver, node) : NULL;
	struct event event = { .type = EVENT_PROPOSE };
	const struct fleet_pool *pool;
	const GPtrArray *pools;
	struct fleet *fleet;

	if (!instance)
		return;
	fleet = kernel_fleet(node->kernel);
	pools = fleet_pools(fleet);
	pool = pools->pdata[random_below(driver, pools->len)];
	event.record.record = record_new(RECORD_MOVE_START);
	event.record.record->instance.token = fleet_lease(fleet)->token;
	name_copy(event.record.record->instance.instance, NAME_SIZE_BYTES,
		  instance->decl.name);
	name_copy(event.record.record->instance.to_pool, NAME_SIZE_BYTES,
		  pool->decl.name);
	world_inject(driver->world, node, &event);
}

static void add_item(GArray *items, const char *name, enum list_state state)
{
	struct instance_list_item item = { .state = state };

	name_copy(item.name, sizeof(item.name), name);
	g_array_append_val(items, item);
}

static GArray *list_items(struct driver *driver, struct node *to)
{
	GArray *items =
		g_array_new(FALSE, TRUE, sizeof(struct instance_list_item));
	const GPtrArray *instances = fleet_instances(kernel_fleet(to->kernel));

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		add_item(items, instance->decl.name,
			 g_hash_table_contains(driver->leaving,
					       instance->decl.name)
				 ? LIST_LEAVING
				 : LIST_LIVE);
	}
	for (guint i = 0; i < driver->world->nodes->len; i++) {
		const struct node *node = driver->world->nodes->pdata[i];

		if (!g_hash_table_contains(driver->unlisted, node->name))
			add_item(items, node->name, LIST_LIVE);
	}
	return items;
}

/* The list loses only nodes that are down or were paused for long enough. */
static bool may_be_unlisted(const struct driver *driver,
			    const struct node *node)
{
	return !node->kernel ||
	       (node->paused &&
		driver->world->now_us - node->paused_at_us >= UNLIST_AFTER_US);
}

static void do_list(struct driver *driver, struct node *node)
{
	struct world *world = driver->world;

	(void)node;
	for (guint i = 0; i < world->nodes->len; i++) {
		const struct node *other = world->nodes->pdata[i];

		if (may_be_unlisted(driver, other) && random_below(driver, 2))
			g_hash_table_add(driver->unlisted,
					 g_strdup(other->name));
	}
	for (guint i = 0; i < world->nodes->len; i++) {
		struct node *to = world->nodes->pdata[i];
		struct event event = { .type = EVENT_INSTANCE_LIST };

		if (!to->kernel || to->log_unreachable)
			continue;
		event.list.items = list_items(driver, to);
		world_schedule(world, world->now_us, to, &event);
	}
}

static const struct action actions[] = {
	{ "requests", 80, do_requests }, { "kill", 3, do_kill },
	{ "start", 8, do_start },	 { "pause", 4, do_pause },
	{ "resume", 10, do_resume },	 { "drain", 1, do_drain },
	{ "cut-log", 4, do_cut_log },	 { "cut-peer", 6, do_cut_peer },
	{ "log-down", 3, do_log_down },	 { "log-lose", 3, do_log_lose },
	{ "delays", 3, do_delays },	 { "endpoint", 6, do_endpoint },
	{ "leaving", 2, do_leaving },	 { "list", 8, do_list },
	{ "move", 6, do_move },		 { "flood", 2, do_flood },
	{ "race", 2, do_race },
};

static uint32_t action_weight(const struct driver *driver, uint32_t index)
{
	return driver->enabled_actions & (1u << index) ? actions[index].weight
						       : 0;
}

/* Requests, lists and the actions that end a fault are always enabled. */
static uint32_t choose_actions(const char *faults)
{
	static const char always[] = "requests,start,resume,list";
	char *text = g_strconcat(always, ",", faults, NULL);
	gchar **names = g_strsplit(text, ",", -1);
	uint32_t enabled_actions = 0;

	for (uint32_t i = 0; i < G_N_ELEMENTS(actions); i++) {
		if (!faults || g_strv_contains((const gchar *const *)names,
					       actions[i].name))
			enabled_actions |= 1u << i;
	}
	g_strfreev(names);
	g_free(text);
	return enabled_actions;
}

static const struct action *pick_action(struct driver *driver)
{
	uint32_t total = 0;
	uint32_t at;

	for (uint32_t i = 0; i < G_N_ELEMENTS(actions); i++)
		total += action_weight(driver, i);
	at = random_below(driver, total);
	for (uint32_t i = 0;; i++) {
		if (at < action_weight(driver, i))
			return &actions[i];
		at -= action_weight(driver, i);
	}
}

static void step(struct driver *driver)
{
	struct world *world = driver->world;
	const struct action *action = pick_action(driver);
	struct node *node =
		world->nodes->pdata[random_below(driver, world->nodes->len)];
	int64_t wait_us = random_below(driver, (uint32_t)STEP_MAX_US);

	if (!random_below(driver, 20))
		wait_us = random_below(driver, (uint32_t)LONG_STEP_MAX_US);
	if (driver->trace)
		world_print(world, "%10.3f -- %s %s",
			    (double)world->now_us / USEC_PER_MSEC, action->name,
			    node->name);
	action->run(driver, node);
	world_run_until(world, world->now_us + wait_us);
}

static void repair_all(struct driver *driver)
{
	struct world *world = driver->world;

	world->log_down = false;
	world->log_lose_answers = false;
	world->log_drop_appends = false;
	world->log_delay_us = 2 * USEC_PER_MSEC;
	world->peer_delay_us = USEC_PER_MSEC;
	g_hash_table_remove_all(driver->leaving);
	for (guint i = 0; i < world->nodes->len; i++) {
		struct node *node = world->nodes->pdata[i];

		node->log_unreachable = false;
		g_hash_table_remove_all(node->unreachable_peers);
		if (node->kernel && node->paused)
			do_resume(driver, node);
	}
	world_announce_log(world);
}

/* Repairs all faults, restarts all nodes and waits until they have recovered.
 */
static void settle(struct driver *driver)
{
	struct world *world = driver->world;

	for (uint32_t round = 0; round < 3; round++) {
		repair_all(driver);
		world_run_until(world, world->now_us + RECOVERY_US / 3);
		for (guint i = 0; i < world->nodes->len; i++)
			do_start(driver, world->nodes->pdata[i]);
		do_list(driver, NULL);
	}
	world_run_until(world, world->now_us + RECOVERY_US);
}

static uint32_t allowed_sum(const struct world *world, const char *endpoint)
{
	uint32_t sum = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct node *node = world->nodes->pdata[i];
		const struct endpoint_state *state =
			node->kernel ? endpoint_table_find(
					       kernel_endpoints(node->kernel),
					       endpoint)
				     : NULL;

		sum += state ? state->allowed_count : 0;
	}
	return sum;
}

static bool dc_has_node(const struct world *world, const char *dc)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		const struct node *node = world->nodes->pdata[i];

		if (!strcmp(node->settings->dc, dc))
			return true;
	}
	return false;
}

/* No slot and no entry stays lost after the faults. */
static void check_recovered(struct world *world)
{
	struct node *node = world->nodes->pdata[0];
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(node->kernel));

	if (fleet_entries(kernel_fleet(node->kernel))->len != world->nodes->len)
		world_violation(world, "only %u of %u entries are back",
				fleet_entries(kernel_fleet(node->kernel))->len,
				world->nodes->len);
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		uint32_t sum = allowed_sum(world, instance->decl.name);

		if (dc_has_node(world, instance->decl.dc) &&
		    sum != instance->decl.slot_count)
			world_violation(world, "%u of %u slots of %s are back",
					sum, instance->decl.slot_count,
					instance->decl.name);
	}
}

void random_run(struct world *world, uint32_t seed, uint32_t step_count,
		const char *faults, bool trace)
{
	struct driver driver = {
		.world = world,
		.random = g_rand_new_with_seed(seed),
		.enabled_actions = choose_actions(faults),
		.trace = trace,
		.unlisted = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, NULL),
		.leaving = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL),
	};

	for (uint32_t i = 0; i < step_count; i++)
		step(&driver);
	settle(&driver);
	check_recovered(world);
	/* Totals are left out: any change of a decision rule changes them. */
	world_print(world,
		    "           random seed=%u steps=%u%s%s: %u violations",
		    seed, step_count, faults ? " faults=" : "",
		    faults ? faults : "", world->violation_count);
	if (trace)
		world_print(world,
			    "%10.3f requests %" G_GUINT64_FORMAT
			    ", log %u, not-run %u ran %u may-have-run %u",
			    (double)world->now_us / USEC_PER_MSEC,
			    driver.request_count, world->log->len,
			    world->reply_counts[VERDICT_NOT_RUN],
			    world->reply_counts[VERDICT_RAN],
			    world->reply_counts[VERDICT_MAY_HAVE_RUN]);
	g_hash_table_unref(driver.unlisted);
	g_hash_table_unref(driver.leaving);
	g_rand_free(driver.random);
}
