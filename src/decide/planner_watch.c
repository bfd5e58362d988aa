/* Tracks instances, data centres and demand for the planner. */

#include <string.h>

#include "decide/planner.h"
#include "kernel/klog.h"

#define LOG_PREFIX "planner"
/* Limits pending proposals, so that the proposer's queue does not fill up. */
#define MAX_PENDING_COUNT 64
/* Heartbeats repeat the load of each pool every 10 s or slightly later. */
#define LOAD_MAX_AGE_US (30 * USEC_PER_SEC)

/* The latest load of a pool, from a local entry or another data centre. */
struct reported_load {
	char pool[NAME_SIZE_BYTES];
	char dc[NAME_SIZE_BYTES]; /* empty: ours */
	int64_t received_us;
	int64_t demand_us_per_s;
};

static GHashTable *string_set_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static GHashTable *string_map_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void planner_watch_init(struct planner *planner)
{
	planner->watches =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	planner->dead_entries = string_set_new();
	planner->served_dcs = string_set_new();
	planner->roster = string_map_new();
	planner->hold_until_us = string_map_new();
	planner->demands = string_map_new();
	planner->loads = string_map_new();
}

void planner_watch_free(struct planner *planner)
{
	g_hash_table_unref(planner->watches);
	g_hash_table_unref(planner->dead_entries);
	g_hash_table_unref(planner->served_dcs);
	g_hash_table_unref(planner->roster);
	g_hash_table_unref(planner->hold_until_us);
	g_hash_table_unref(planner->demands);
	g_hash_table_unref(planner->loads);
}

struct instance_watch *planner_get_watch(struct planner *planner,
					 const char *instance)
{
	struct instance_watch *watch =
		g_hash_table_lookup(planner->watches, instance);

	if (watch)
		return watch;
	watch = g_new0(struct instance_watch, 1);
	name_copy(watch->name, sizeof(watch->name), instance);
	g_hash_table_insert(planner->watches, watch->name, watch);
	return watch;
}

/* Returns name -> struct instance_list_item. Caller frees. */
static GHashTable *index_items(const struct event_list *list)
{
	GHashTable *items = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; list->items && i < list->items->len; i++) {
		struct instance_list_item *item = &g_array_index(
			list->items, struct instance_list_item, i);

		g_hash_table_insert(items, item->name, item);
	}
	return items;
}

/*
 * A list that lacks more than half of the live instances is taken for a fault
 * of the list: even the failure of a data centre removes only about a third.
 */
static bool is_plausible(struct planner *planner, GHashTable *items)
{
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(planner->kernel));
	uint32_t live_count = 0;
	uint32_t missing_count = 0;

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		if (!planner_get_watch(planner, instance->decl.name)
			     ->listed_live)
			continue;
		live_count++;
		missing_count +=
			!g_hash_table_contains(items, instance->decl.name);
	}
	return g_hash_table_size(items) && missing_count * 2 <= live_count;
}

static void update_watch(struct planner *planner,
			 const struct fleet_instance *instance,
			 const struct instance_list_item *item)
{
	struct instance_watch *watch =
		planner_get_watch(planner, instance->decl.name);

	watch->listed_live = item && item->state == LIST_LIVE;
	watch->listed_leaving = item && item->state == LIST_LEAVING;
	watch->was_live = watch->was_live || watch->listed_live;
	if (watch->reboot_seen_us && !watch->listed_live)
		watch->seen_off_list = true;
}

void planner_on_instance_list(struct planner *planner,
			      const struct event_list *list)
{
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(planner->kernel));
	GHashTable *items = index_items(list);

	if (!is_plausible(planner, items)) {
		klog_warn(LOG_PREFIX,
			  "ignoring an implausible instance list of %u names",
			  g_hash_table_size(items));
		counter_add(kernel_counters(planner->kernel),
			    "planner_lists_refused_total", 1);
		g_hash_table_unref(items);
		return;
	}
	planner->has_list = true;
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		update_watch(planner, instance,
			     g_hash_table_lookup(items, instance->decl.name));
	}
	g_hash_table_unref(items);
}

void planner_on_peer_state(struct planner *planner,
			   const struct event_peer *peer)
{
	if (peer->state == PEER_DEAD)
		g_hash_table_add(planner->dead_entries, g_strdup(peer->peer));
	else
		g_hash_table_remove(planner->dead_entries, peer->peer);
}

static void store_load(struct planner *planner, const struct event_peer *peer,
		       const struct peer_pool_load *reported)
{
	const char *dc = peer->msg->dc;
	bool is_local = !strcmp(dc, kernel_settings(planner->kernel)->dc);
	struct reported_load *load = g_new0(struct reported_load, 1);

	load->received_us = kernel_now_us(planner->kernel);
	load->demand_us_per_s = reported->demand_us_per_s;
	name_copy(load->pool, NAME_SIZE_BYTES, reported->pool);
	name_copy(load->dc, NAME_SIZE_BYTES, is_local ? "" : dc);
	/*
	 * Another data centre has one sender at a time, which may change, so
	 * its key has no sender.
	 */
	g_hash_table_replace(planner->loads,
			     g_strdup_printf("%s/%s/%s", dc,
					     is_local ? peer->peer : "",
					     reported->pool),
			     load);
}

void planner_on_peer_msg(struct planner *planner, const struct event_peer *peer)
{
	const struct peer_msg *msg = peer->msg;

	if (msg->kind != PEER_MSG_HEARTBEAT || !msg->loads)
		return;
	for (guint i = 0; i < msg->loads->len; i++)
		store_load(
			planner, peer,
			&g_array_index(msg->loads, struct peer_pool_load, i));
}

static void add_demand(struct planner *planner, const char *pool,
		       int64_t demand_us_per_s)
{
	int64_t *sum = g_hash_table_lookup(planner->demands, pool);

	if (!sum) {
		sum = g_new0(int64_t, 1);
		g_hash_table_insert(planner->demands, g_strdup(pool), sum);
	}
	*sum += demand_us_per_s;
}

/* Number of entries in a data centre, at least 1. */
static uint32_t count_entries(struct planner *planner, const char *dc)
{
	const GPtrArray *entries = fleet_entries(kernel_fleet(planner->kernel));
	uint32_t count = 0;

	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];

		count += !strcmp(entry->decl.dc, dc);
	}
	return MAX(count, 1);
}

/*
 * Another data centre reports only the demand at its lowest entry. It is
 * multiplied by the number of entries there, as the platform's load balancer
 * spreads requests about evenly.
 */
static void add_loads(struct planner *planner)
{
	int64_t now_us = kernel_now_us(planner->kernel);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, planner->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct reported_load *load = value;
		uint32_t count =
			load->dc[0] ? count_entries(planner, load->dc) : 1;

		if (now_us - load->received_us > LOAD_MAX_AGE_US)
			g_hash_table_iter_remove(&iter);
		else
			add_demand(planner, load->pool,
				   load->demand_us_per_s * count);
	}
}

void planner_sum_demands(struct planner *planner)
{
	struct endpoint_table *table = kernel_endpoints(planner->kernel);
	const GPtrArray *pools = fleet_pools(kernel_fleet(planner->kernel));

	g_hash_table_remove_all(planner->demands);
	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *pool = pools->pdata[i];

		add_demand(planner, pool->decl.name,
			   endpoint_table_pool(table, pool->decl.name)
				   ->demand_us_per_s);
	}
	add_loads(planner);
}

/*
 * When all requests of an entry that has just ended are over. It may have sent
 * more of them before it read that it was removed, see slots.c.
 */
static int64_t requests_end_us(const struct planner *planner)
{
	return kernel_now_us(planner->kernel) +
	       fleet_longest_timeout_us(kernel_fleet(planner->kernel)) +
	       KERNEL_PAUSE_MARGIN_US;
}

static void hold_dc(struct planner *planner, const char *dc)
{
	int64_t until_us = requests_end_us(planner);

	g_hash_table_replace(planner->hold_until_us, g_strdup(dc),
			     g_memdup2(&until_us, sizeof(until_us)));
}

void planner_hold_all_dcs(struct planner *planner)
{
	struct fleet *fleet = kernel_fleet(planner->kernel);

	planner->hold_all_until_us = kernel_now_us(planner->kernel) +
				     fleet_longest_timeout_us(fleet);
}

static void hold_dcs_of_ended(struct planner *planner)
{
	struct fleet *fleet = kernel_fleet(planner->kernel);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, planner->roster);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct record_entry *known = value;
		const struct fleet_entry *current =
			fleet_entry(fleet, known->name);

		if (current && current->decl.incarnation == known->incarnation)
			continue;
		hold_dc(planner, known->dc);
		/* The record of a new incarnation shows that it is alive. */
		if (current)
			g_hash_table_remove(planner->dead_entries, known->name);
		g_hash_table_iter_remove(&iter);
	}
}

void planner_on_roster_changed(struct planner *planner)
{
	const GPtrArray *entries = fleet_entries(kernel_fleet(planner->kernel));

	hold_dcs_of_ended(planner);
	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];

		g_hash_table_replace(
			planner->roster, g_strdup(entry->decl.name),
			g_memdup2(&entry->decl, sizeof(entry->decl)));
		g_hash_table_add(planner->served_dcs, g_strdup(entry->decl.dc));
	}
}

bool planner_dc_has_live_entry(const struct planner *planner, const char *dc)
{
	const GPtrArray *entries = fleet_entries(kernel_fleet(planner->kernel));

	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];

		if (!strcmp(entry->decl.dc, dc) &&
		    !g_hash_table_contains(planner->dead_entries,
					   entry->decl.name))
			return true;
	}
	return false;
}

bool planner_dc_is_held(const struct planner *planner, const char *dc)
{
	const int64_t *until_us =
		g_hash_table_lookup(planner->hold_until_us, dc);
	int64_t now_us = kernel_now_us(planner->kernel);

	return now_us < planner->hold_all_until_us ||
	       (until_us && now_us < *until_us);
}

/*
 * Whether an instance should be recorded as down. Without evidence the recorded
 * state stands.
 */
static bool should_be_down(const struct planner *planner,
			   const struct fleet_instance *instance,
			   const struct instance_watch *watch)
{
	if (!planner_dc_has_live_entry(planner, instance->decl.dc) &&
	    g_hash_table_contains(planner->served_dcs, instance->decl.dc))
		return true;
	if (!planner->has_list)
		return instance->down;
	if (watch->listed_live)
		return false;
	if (watch->listed_leaving || watch->was_live)
		return true;
	return instance->down;
}

void planner_propose_health(struct planner *planner)
{
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(planner->kernel));

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		const char *name = instance->decl.name;
		bool down = should_be_down(planner, instance,
					   planner_get_watch(planner, name));

		if (pending_count(planner->pending) >= MAX_PENDING_COUNT)
			return;
		/* A planned reboot takes an instance off the list. */
		if (instance->phase == INSTANCE_REBOOTING ||
		    instance->phase == INSTANCE_REMOVED ||
		    down == instance->down ||
		    pending_has(planner->pending, name))
			continue;
		pending_propose(planner->pending, name,
				planner_record(planner,
					       down ? RECORD_INSTANCE_DOWN
						    : RECORD_INSTANCE_UP,
					       name));
	}
}
