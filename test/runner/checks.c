/* Invariants that hold in every script, checked on what the nodes emit. */

#include <string.h>

#include "runner/world.h"

/* A node may send for this long after a list shows an endpoint leaving. */
#define LEAVING_GRACE_US (2 * USEC_PER_SEC)

/* Task orders that a node may send at one time. */
#define TASK_ORDERS_PER_SLICE_MAX 64

static const char *request_name(struct node *node, uint64_t request_id)
{
	const char *name =
		g_hash_table_lookup(node->request_names, &request_id);

	return name ? name : "?";
}

/* All nodes together send no more to an endpoint than it has slots. */
static void check_slots(struct world *world, struct node *node,
			const struct endpoint *endpoint)
{
	const struct fleet_instance *instance =
		fleet_instance(kernel_fleet(node->kernel), endpoint->name);

	if (!instance)
		return;
	if (endpoint->running_count >= instance->decl.slot_count)
		world_violation(world, "%s sends to %s, which runs %u already",
				node->name, endpoint->name,
				endpoint->running_count);
	if (instance->phase != INSTANCE_ACTIVE)
		world_violation(world, "%s sends to %s, which is %s",
				node->name, endpoint->name,
				instance_phase_name(instance->phase));
}

/* The slots allowed to running nodes add up to at most the endpoint's slots. */
void check_allowed_slots(struct world *world, const char *endpoint)
{
	uint32_t allowed_count = 0;
	uint32_t slot_count = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct node *node = world->nodes->pdata[i];
		const struct fleet_instance *instance;
		const struct endpoint_state *state;

		/* A paused node reads the log before it sends again. */
		if (!node->kernel || node->paused)
			continue;
		instance = fleet_instance(kernel_fleet(node->kernel), endpoint);
		state = endpoint_table_find(kernel_endpoints(node->kernel),
					    endpoint);
		allowed_count += state ? state->allowed_count : 0;
		if (instance)
			slot_count = MAX(slot_count, instance->decl.slot_count);
	}
	if (slot_count && allowed_count > slot_count)
		world_violation(world,
				"%u slots are allowed, but only %u exist on %s",
				allowed_count, slot_count, endpoint);
}

static void update_leaving(struct world *world, struct node *node,
			   const char *name,
			   const struct instance_list_item *item)
{
	bool leaving = item ? item->state == LIST_LEAVING
			    : g_hash_table_contains(node->listed, name);

	if (item)
		g_hash_table_add(node->listed, g_strdup(name));
	if (!leaving)
		g_hash_table_remove(node->leaving_since_us, name);
	else if (!g_hash_table_contains(node->leaving_since_us, name))
		g_hash_table_insert(
			node->leaving_since_us, g_strdup(name),
			g_memdup2(&world->now_us, sizeof(world->now_us)));
}

/* Records which endpoints the lists seen by a node show as leaving. */
void track_leaving(struct world *world, struct node *node,
		   const struct event *event)
{
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(node->kernel));
	const GArray *items = event->list.items;

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		const struct instance_list_item *found = NULL;

		for (guint k = 0; k < items->len; k++) {
			const struct instance_list_item *item = &g_array_index(
				items, struct instance_list_item, k);

			if (!strcmp(item->name, instance->decl.name))
				found = item;
		}
		update_leaving(world, node, instance->decl.name, found);
	}
}

static bool knows_leaving(const struct world *world, const struct node *node,
			  const char *endpoint)
{
	const int64_t *since_us =
		g_hash_table_lookup(node->leaving_since_us, endpoint);

	return since_us && world->now_us - *since_us > LEAVING_GRACE_US;
}

/* A non-idempotent request runs at most once, through any node. */
static void check_at_most_once(struct world *world, struct node *node,
			       const struct request *request)
{
	const struct decl_service *service = fleet_find_service_by_path(
		kernel_fleet(node->kernel), request->path);
	const char *key = request->key[0] ? request->key
					  : request_name(node, request->id);
	guint run_count;

	if (!service || service->idempotent)
		return;
	run_count =
		GPOINTER_TO_UINT(g_hash_table_lookup(world->runs_per_key, key));
	if (run_count)
		world_violation(world, "%s runs %s a second time", node->name,
				key);
	g_hash_table_insert(world->runs_per_key, g_strdup(key),
			    GUINT_TO_POINTER(run_count + 1));
}

void check_send(struct world *world, struct node *node,
		const struct event *event)
{
	const struct event_attempt *attempt = &event->attempt;
	struct endpoint *endpoint = world_endpoint(world, attempt->endpoint);
	const struct request *request =
		request_get(kernel_requests(node->kernel), attempt->request_id);

	if (attempt->relayed)
		return;
	check_slots(world, node, endpoint);
	if (knows_leaving(world, node, attempt->endpoint))
		world_violation(world, "%s sends to %s, which is leaving",
				node->name, endpoint->name);
	if (!request) {
		world_violation(world, "%s sends an unknown request",
				node->name);
		return;
	}
	if (endpoint->mode == ENDPOINT_REFUSE)
		return;
	check_at_most_once(world, node, request);
	g_hash_table_add(
		world->started_requests,
		g_strdup_printf("%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
				node->name, node->incarnation, request->id));
}

/* Counts a reply to a caller. Relayed requests are counted where they came in.
 */
static void count_reply(struct world *world, struct node *node,
			const struct event_request *reply)
{
	const struct request *request =
		request_get(kernel_requests(node->kernel), reply->request_id);
	const struct decl_service *service;
	uint32_t *counts;

	if (request && request->relayed)
		return;
	world->reply_counts[reply->verdict]++;
	service = request ? fleet_find_service_by_path(
				    kernel_fleet(node->kernel), request->path)
			  : NULL;
	if (!service)
		return;
	counts = g_tree_lookup(world->member_counts, service->member);
	if (!counts) {
		counts = g_new0(uint32_t, VERDICT_COUNT);
		g_tree_insert(world->member_counts, g_strdup(service->member),
			      counts);
	}
	counts[reply->verdict]++;
}

void check_reply(struct world *world, struct node *node,
		 const struct event *event)
{
	const struct event_request *reply = &event->request;
	char *id = g_strdup_printf(
		"%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, node->name,
		node->incarnation, reply->request_id);

	count_reply(world, node, reply);
	world->reply_hash = world->reply_hash * UINT64_C(1099511628211) +
			    reply->request_id * VERDICT_COUNT + reply->verdict;
	if (!request_get(kernel_requests(node->kernel), reply->request_id))
		world_violation(world, "%s answers request %s twice",
				node->name,
				request_name(node, reply->request_id));
	if (reply->verdict == VERDICT_NONE)
		world_violation(world, "%s answers %s without a verdict",
				node->name,
				request_name(node, reply->request_id));
	if (reply->verdict == VERDICT_NOT_RUN &&
	    g_hash_table_contains(world->started_requests, id))
		world_violation(
			world, "%s answers not-run for %s, which started",
			node->name, request_name(node, reply->request_id));
	g_free(id);
}

void check_reboot(struct world *world, struct node *node,
		  const struct event *event)
{
	struct endpoint *endpoint = world_endpoint(world, event->subject.name);

	endpoint->rebooted_us = world->now_us;
	if (endpoint->running_count)
		world_violation(world, "%s reboots %s, which runs %u requests",
				node->name, endpoint->name,
				endpoint->running_count);
}

/*
 * Nothing runs on an instance when its move commits. Checked when the first
 * node applies the record, as that node may send work for the new pool next.
 */
static void check_move_commit(struct world *world, struct node *node,
			      const struct event *event)
{
	const struct record *record = event->record.record;
	const struct fleet_instance *instance = fleet_instance(
		kernel_fleet(node->kernel), record->instance.instance);
	const struct endpoint *endpoint =
		world_endpoint(world, record->instance.instance);

	if (event->record.offset <= world->last_move_offset || !instance ||
	    instance->changed_offset != event->record.offset)
		return;
	world->last_move_offset = event->record.offset;
	if (endpoint->running_count)
		world_violation(world, "%s moves while it runs %u",
				endpoint->name, endpoint->running_count);
}

/*
 * Planned steps keep to every pool's availability budget. Checked right after
 * the record is applied: when EVENT_FLEET_CHANGED arrives, later records may
 * have been applied too, and more instances may be down.
 */
void check_record_applied(struct world *world, struct node *node,
			  const struct event *event)
{
	const struct record *record = event->record.record;
	const struct fleet *fleet = kernel_fleet(node->kernel);
	const struct fleet_instance *instance;
	const struct fleet_pool *pool;

	if (record->kind == RECORD_MOVE_COMMIT)
		check_move_commit(world, node, event);
	if (record->kind != RECORD_MOVE_START &&
	    record->kind != RECORD_MAINT_START)
		return;
	instance = fleet_instance(fleet, record->instance.instance);
	/* A rejected step starts no drain at its offset. */
	if (!instance || instance->drain_offset != event->record.offset)
		return;
	pool = fleet_pool(fleet, instance->pool);
	if (pool && pool->unavailable_count > pool->decl.max_unavailable_count)
		world_violation(world, "budget of %s is exceeded: %u of %u",
				pool->decl.name, pool->unavailable_count,
				pool->decl.max_unavailable_count);
	if (pool && pool->instances->len - pool->unavailable_count <
			    pool->min_available_count)
		world_violation(world, "%s has fewer than %u instances",
				pool->decl.name, pool->min_available_count);
}

/* A node sends task orders in slices, however many jobs change at once. */
void check_task_order(struct world *world, struct node *node)
{
	if (node->last_task_order_us != world->now_us)
		node->task_order_count = 0;
	node->last_task_order_us = world->now_us;
	if (++node->task_order_count > TASK_ORDERS_PER_SLICE_MAX)
		world_violation(world, "%s sends %u task orders at one time",
				node->name, node->task_order_count);
}

/* Each instance is in the list of exactly one pool. */
static void check_one_pool(struct world *world, struct node *node)
{
	const GPtrArray *pools = fleet_pools(kernel_fleet(node->kernel));
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(node->kernel));
	guint listed_count = 0;
	guint expected_count = 0;

	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *pool = pools->pdata[i];

		listed_count += pool->instances->len;
	}
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		expected_count += instance->phase != INSTANCE_REMOVED;
	}
	if (listed_count != expected_count)
		world_violation(world,
				"%s has %u instances, but %u in its pools",
				node->name, expected_count, listed_count);
}

static char *id_text(const struct record_id *id)
{
	return g_strdup_printf("%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
			       id->entry, id->incarnation, id->sequence);
}

/* A record that its proposer dropped never takes effect. */
static void check_accepted(struct world *world, const struct record *record)
{
	char *id = id_text(&record->id);

	if (g_hash_table_contains(world->dropped_records, id))
		world_violation(world, "%s was dropped, but takes effect", id);
	g_hash_table_add(world->accepted_records, id);
}

void check_dropped(struct world *world, const struct event *event)
{
	const struct record *record = event->record.record;
	char *id = id_text(&record->id);

	/* A record gets its id, with the entry, when it is first appended. */
	if (record->id.entry[0]) {
		if (g_hash_table_contains(world->accepted_records, id))
			world_violation(world, "%s is dropped, but took effect",
					id);
		g_hash_table_add(world->dropped_records, g_strdup(id));
	}
	g_free(id);
}

void check_fleet_changed(struct world *world, struct node *node,
			 const struct event *event)
{
	if (!event->record.accepted)
		return;
	check_accepted(world, event->record.record);
	check_one_pool(world, node);
}
