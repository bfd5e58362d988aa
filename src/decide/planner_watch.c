/* What the planner knows of instances, data centres and demand. */

#include <string.h>

#include "decide/planner.h"
#include "kernel/klog.h"

#define LOG_PREFIX "planner"
/* Proposals in progress; the proposer's queue must not fill up. */
#define PENDING_MAX_COUNT 64
/* Heartbeats repeat the load of each pool every 10 s or a little later. */
#define LOAD_LIFE_US (30 * USEC_PER_SEC)

/* The latest load of a pool at an entry, or in another data centre. */
struct load {
	char pool[NAME_SIZE_BYTES];
	char dc[NAME_SIZE_BYTES]; /* empty: our own */
	int64_t at_us;
	int64_t demand_us_per_s;
};

static GHashTable *set_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static GHashTable *map_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void planner_watch_init(struct planner *planner)
{
	planner->watched =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	planner->dead = set_new();
	planner->served = set_new();
	planner->roster = map_new();
	planner->holds_us = map_new();
	planner->demands = map_new();
	planner->loads = map_new();
}

void planner_watch_free(struct planner *planner)
{
	g_hash_table_unref(planner->watched);
	g_hash_table_unref(planner->dead);
	g_hash_table_unref(planner->served);
	g_hash_table_unref(planner->roster);
	g_hash_table_unref(planner->holds_us);
	g_hash_table_unref(planner->demands);
	g_hash_table_unref(planner->loads);
}

struct watched *planner_watched(struct planner *planner, const char *instance)
{
	struct watched *watched =
		g_hash_table_lookup(planner->watched, instance);

	if (watched)
		return watched;
	watched = g_new0(struct watched, 1);
	name_copy(watched->name, sizeof(watched->name), instance);
	g_hash_table_insert(planner->watched, watched->name, watched);
	return watched;
}

/* name -> struct list_item of the answer */
static GHashTable *index_items(const struct event_list *list)
{
	GHashTable *items = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; list->items && i < list->items->len; i++) {
		struct list_item *item =
			&g_array_index(list->items, struct list_item, i);

		g_hash_table_insert(items, item->name, item);
	}
	return items;
}

/*
 * An answer that lacks most of what was live is taken for a fault of the
 * list: even a data centre that fails is no more than a third or so.
 */
static bool is_plausible(struct planner *planner, GHashTable *items)
{
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(planner->kernel));
	uint32_t live_count = 0;
	uint32_t missing_count = 0;

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		if (!planner_watched(planner, instance->decl.name)->listed_live)
			continue;
		live_count++;
		missing_count +=
			!g_hash_table_contains(items, instance->decl.name);
	}
	return g_hash_table_size(items) && missing_count * 2 <= live_count;
}

static void take_item(struct planner *planner,
		      const struct fleet_instance *instance,
		      const struct list_item *item)
{
	struct watched *watched = planner_watched(planner, instance->decl.name);

	watched->listed_live = item && item->state == LIST_LIVE;
	watched->listed_leaving = item && item->state == LIST_LEAVING;
	watched->was_live = watched->was_live || watched->listed_live;
	if (watched->reboot_seen_us && !watched->listed_live)
		watched->gone_since_reboot = true;
}

void planner_take_list(struct planner *planner, const struct event_list *list)
{
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(planner->kernel));
	GHashTable *items = index_items(list);

	if (!is_plausible(planner, items)) {
		klog_warn(LOG_PREFIX, "a list of %u names is not taken",
			  g_hash_table_size(items));
		counter_add(kernel_counters(planner->kernel),
			    "planner_lists_refused_total", 1);
		g_hash_table_unref(items);
		return;
	}
	planner->list_known = true;
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		take_item(planner, instance,
			  g_hash_table_lookup(items, instance->decl.name));
	}
	g_hash_table_unref(items);
}

void planner_take_peer_state(struct planner *planner,
			     const struct event_peer *peer)
{
	if (peer->state == PEER_DEAD)
		g_hash_table_add(planner->dead, g_strdup(peer->peer));
	else
		g_hash_table_remove(planner->dead, peer->peer);
}

static void take_load(struct planner *planner, const struct event_peer *peer,
		      const struct peer_pool_load *from)
{
	const char *dc = peer->msg->dc;
	bool is_local = !strcmp(dc, kernel_settings(planner->kernel)->dc);
	struct load *load = g_new0(struct load, 1);

	load->at_us = kernel_now_us(planner->kernel);
	load->demand_us_per_s = from->demand_us_per_s;
	name_copy(load->pool, NAME_SIZE_BYTES, from->pool);
	name_copy(load->dc, NAME_SIZE_BYTES, is_local ? "" : dc);
	/* Another data centre has one sender at a time, which may change. */
	g_hash_table_replace(planner->loads,
			     g_strdup_printf("%s/%s/%s", dc,
					     is_local ? peer->peer : "",
					     from->pool),
			     load);
}

void planner_take_peer_msg(struct planner *planner,
			   const struct event_peer *peer)
{
	const struct peer_msg *msg = peer->msg;

	if (msg->kind != PEER_MSG_HEARTBEAT || !msg->loads)
		return;
	for (guint i = 0; i < msg->loads->len; i++)
		take_load(planner, peer,
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

/* Entries of a data centre for which the sender of its digest stands. */
static uint32_t entries_in(struct planner *planner, const char *dc)
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
 * Another data centre reports what its lowest entry sees; the platform's load
 * balancer gives the others there about as much.
 */
static void add_loads(struct planner *planner)
{
	int64_t now_us = kernel_now_us(planner->kernel);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, planner->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct load *load = value;
		uint32_t count =
			load->dc[0] ? entries_in(planner, load->dc) : 1;

		if (now_us - load->at_us > LOAD_LIFE_US)
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

static void hold_dc(struct planner *planner, const char *dc)
{
	struct fleet *fleet = kernel_fleet(planner->kernel);
	int64_t until_us = kernel_now_us(planner->kernel) +
			   fleet_longest_timeout_us(fleet);

	g_hash_table_replace(planner->holds_us, g_strdup(dc),
			     g_memdup2(&until_us, sizeof(until_us)));
}

void planner_hold_all(struct planner *planner)
{
	struct fleet *fleet = kernel_fleet(planner->kernel);

	planner->hold_all_until_us = kernel_now_us(planner->kernel) +
				     fleet_longest_timeout_us(fleet);
}

static void hold_ended(struct planner *planner)
{
	struct fleet *fleet = kernel_fleet(planner->kernel);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, planner->roster);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct record_entry *was = value;
		const struct fleet_entry *is = fleet_entry(fleet, was->name);

		if (is && is->decl.incarnation == was->incarnation)
			continue;
		hold_dc(planner, was->dc);
		/* A new incarnation has just written to the log. */
		if (is)
			g_hash_table_remove(planner->dead, was->name);
		g_hash_table_iter_remove(&iter);
	}
}

void planner_take_roster(struct planner *planner)
{
	const GPtrArray *entries = fleet_entries(kernel_fleet(planner->kernel));

	hold_ended(planner);
	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];

		g_hash_table_replace(
			planner->roster, g_strdup(entry->decl.name),
			g_memdup2(&entry->decl, sizeof(entry->decl)));
		g_hash_table_add(planner->served, g_strdup(entry->decl.dc));
	}
}

bool planner_dc_known(const struct planner *planner, const char *dc)
{
	const GPtrArray *entries = fleet_entries(kernel_fleet(planner->kernel));

	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];

		if (!strcmp(entry->decl.dc, dc) &&
		    !g_hash_table_contains(planner->dead, entry->decl.name))
			return true;
	}
	return false;
}

bool planner_dc_held(const struct planner *planner, const char *dc)
{
	const int64_t *until_us = g_hash_table_lookup(planner->holds_us, dc);
	int64_t now_us = kernel_now_us(planner->kernel);

	return now_us < planner->hold_all_until_us ||
	       (until_us && now_us < *until_us);
}

/* What the instance should be recorded as: down, or as it is recorded. */
static bool should_be_down(const struct planner *planner,
			   const struct fleet_instance *instance,
			   const struct watched *watched)
{
	if (!planner_dc_known(planner, instance->decl.dc) &&
	    g_hash_table_contains(planner->served, instance->decl.dc))
		return true;
	if (!planner->list_known)
		return instance->down;
	if (watched->listed_live)
		return false;
	if (watched->listed_leaving || watched->was_live)
		return true;
	return instance->down;
}

void planner_mark_health(struct planner *planner)
{
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(planner->kernel));

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		const char *name = instance->decl.name;
		bool down = should_be_down(planner, instance,
					   planner_watched(planner, name));

		if (pending_count(planner->pending) >= PENDING_MAX_COUNT)
			return;
		/* A reboot takes an instance off the list as planned. */
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
