/*
 * Moves an instance only if a shortage lasts for several windows and is worth
 * the cost of the move, and limits the moves of a pool in an hour.
 */

#include <string.h>

#include "kernel/plugin.h"
#include "policy/moves.h"

#define WINDOW_US (60 * USEC_PER_SEC)
#define CONSECUTIVE_WINDOWS_COUNT 2
#define MARGIN_PERCENT 20 /* of the pool; a smaller shortage moves nothing */
#define TARGET_PERCENT 80 /* utilisation that leaves room for bursts */
#define MOVES_PER_HOUR_COUNT 4
#define HOUR_US (INT64_C(3600) * USEC_PER_SEC)
/* Costs in percent of the capacity of one instance. */
#define COST_MOVE_PERCENT 20 /* its slots are idle while it drains */
#define COST_JOB_PERCENT 25  /* each job is checkpointed and restarted */
#define COST_NOT_SPARE_PERCENT 50
#define COST_SAME_RACK_PERCENT 3
#define COST_SAME_DC_PERCENT 1

/* Demand and moves of one pool. */
struct pool_history {
	char name[NAME_SIZE_BYTES];
	int64_t sum_us_per_s; /* of the samples in this window */
	uint32_t sample_count;
	int64_t average_us_per_s;	 /* of the last complete window */
	bool has_average;		 /* at least one window is complete */
	uint32_t shortage_windows_count; /* consecutive */
	uint32_t surplus_windows_count;	 /* consecutive */
	GArray *moves_us;		 /* wall clock of the latest moves */
};

struct steady {
	GHashTable *histories; /* pool -> struct pool_history */
	int64_t window_end_us;
};

static void history_free(gpointer data)
{
	struct pool_history *history = data;

	g_array_unref(history->moves_us);
	g_free(history);
}

static void *steady_new(void)
{
	struct steady *steady = g_new0(struct steady, 1);

	steady->histories = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  history_free);
	return steady;
}

static void steady_free(void *self)
{
	struct steady *steady = self;

	g_hash_table_unref(steady->histories);
	g_free(steady);
}

static struct pool_history *history_get(struct steady *steady, const char *pool)
{
	struct pool_history *history =
		g_hash_table_lookup(steady->histories, pool);

	if (history)
		return history;
	history = g_new0(struct pool_history, 1);
	name_copy(history->name, sizeof(history->name), pool);
	history->moves_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_hash_table_insert(steady->histories, history->name, history);
	return history;
}

/* Capacity at which a pool's average demand uses TARGET_PERCENT of it. */
static int64_t needed_us_per_s(struct steady *steady, const char *pool)
{
	return history_get(steady, pool)->average_us_per_s * 100 /
	       TARGET_PERCENT;
}

static int64_t typical_instance_us_per_s(const struct fleet_pool *pool)
{
	if (!pool->instances->len)
		return 0;
	return plan_instance_us_per_s(pool->instances->pdata[0]);
}

/* Capacity that a pool lacks; negative if it has more than it needs. */
static int64_t shortage_us_per_s(struct steady *steady,
				 const struct plan_view *view,
				 const struct fleet_pool *pool)
{
	int64_t capacity_us_per_s =
		plan_capacity_us_per_s(pool) +
		plan_incoming_us_per_s(view, pool->decl.name);

	return needed_us_per_s(steady, pool->decl.name) - capacity_us_per_s;
}

static bool has_shortage(struct steady *steady, const struct plan_view *view,
			 const struct fleet_pool *pool)
{
	return shortage_us_per_s(steady, view, pool) * 100 >
	       plan_capacity_us_per_s(pool) * MARGIN_PERCENT;
}

/* Whether a pool could give away one instance and still have a margin. */
static bool has_surplus(struct steady *steady, const struct fleet_pool *pool)
{
	int64_t capacity_us_per_s = plan_capacity_us_per_s(pool);
	int64_t remaining_us_per_s =
		capacity_us_per_s - typical_instance_us_per_s(pool);

	return needed_us_per_s(steady, pool->decl.name) <=
	       remaining_us_per_s - capacity_us_per_s * MARGIN_PERCENT / 100;
}

static void end_window(struct steady *steady, const struct plan_view *view,
		       const struct fleet_pool *pool)
{
	struct pool_history *history = history_get(steady, pool->decl.name);

	if (!history->sample_count)
		return;
	history->average_us_per_s =
		history->sum_us_per_s / (int64_t)history->sample_count;
	history->has_average = true;
	history->sum_us_per_s = 0;
	history->sample_count = 0;
	history->shortage_windows_count =
		has_shortage(steady, view, pool)
			? history->shortage_windows_count + 1
			: 0;
	history->surplus_windows_count =
		has_surplus(steady, pool) ? history->surplus_windows_count + 1
					  : 0;
}

static void steady_sample(void *self, const struct plan_view *view)
{
	struct steady *steady = self;
	const GPtrArray *pools = fleet_pools(view->fleet);
	bool window_ends = view->now_us >= steady->window_end_us;

	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *pool = pools->pdata[i];
		struct pool_history *history =
			history_get(steady, pool->decl.name);

		if (window_ends && steady->window_end_us)
			end_window(steady, view, pool);
		history->sum_us_per_s +=
			plan_demand_us_per_s(view, pool->decl.name);
		history->sample_count++;
	}
	if (window_ends)
		steady->window_end_us = view->now_us + WINDOW_US;
}

static void count_move(struct steady *steady, const struct plan_view *view,
		       const char *name, int64_t wall_us)
{
	const struct fleet_pool *pool = fleet_pool(view->fleet, name);
	struct pool_history *history;
	int64_t moved_us;

	/* The spare pool has no limit: it takes part in most moves. */
	if (!pool || pool->decl.spare)
		return;
	history = history_get(steady, name);
	/* The writer's clock may be ahead; the move isn't in the future. */
	moved_us = MIN(wall_us, view->wall_us);
	g_array_append_val(history->moves_us, moved_us);
	if (history->moves_us->len > MOVES_PER_HOUR_COUNT)
		g_array_remove_index(history->moves_us, 0);
}

static void steady_move_started(void *self, const struct plan_view *view,
				const struct record *record)
{
	const struct fleet_instance *instance =
		fleet_instance(view->fleet, record->instance.instance);

	count_move(self, view, record->instance.to_pool, record->wall_us);
	if (instance && strcmp(instance->pool, record->instance.to_pool) != 0)
		count_move(self, view, instance->pool, record->wall_us);
}

static bool below_move_limit(struct steady *steady,
			     const struct plan_view *view,
			     const struct fleet_pool *pool)
{
	const struct pool_history *history =
		history_get(steady, pool->decl.name);
	uint32_t recent_count = 0;

	for (guint i = 0; i < history->moves_us->len; i++) {
		int64_t moved_us = g_array_index(history->moves_us, int64_t, i);

		recent_count += view->wall_us - moved_us < HOUR_US;
	}
	return pool->decl.spare || recent_count < MOVES_PER_HOUR_COUNT;
}

/*
 * Cost of concentrating a pool: it grows with each instance that the pool has
 * in the data centre or the rack of the instance.
 */
static int64_t spread_cost_percent(const struct fleet_pool *pool,
				   const struct fleet_instance *instance)
{
	int64_t percent = 0;

	for (guint i = 0; i < pool->instances->len; i++) {
		const struct fleet_instance *other = pool->instances->pdata[i];

		if (strcmp(other->decl.dc, instance->decl.dc) != 0)
			continue;
		percent += COST_SAME_DC_PERCENT;
		if (!strcmp(other->decl.rack, instance->decl.rack))
			percent += COST_SAME_RACK_PERCENT;
	}
	return percent;
}

static int64_t cost_percent(const struct plan_view *view,
			    const struct fleet_instance *instance,
			    const struct fleet_pool *from,
			    const struct fleet_pool *to)
{
	int64_t job_count =
		fleet_instance_job_count(view->fleet, instance->decl.name);

	return COST_MOVE_PERCENT + job_count * COST_JOB_PERCENT +
	       (from->decl.spare ? 0 : COST_NOT_SPARE_PERCENT) +
	       spread_cost_percent(to, instance);
}

static bool may_donate(struct steady *steady, const struct plan_view *view,
		       const struct fleet_pool *pool)
{
	int64_t remaining_us_per_s =
		plan_capacity_us_per_s(pool) - typical_instance_us_per_s(pool);

	if (plan_in_gentle_window(view, pool->decl.name) ||
	    !below_move_limit(steady, view, pool))
		return false;
	if (pool->decl.spare)
		return needed_us_per_s(steady, pool->decl.name) <=
		       remaining_us_per_s;
	return history_get(steady, pool->decl.name)->surplus_windows_count >=
	       CONSECUTIVE_WINDOWS_COUNT;
}

static const struct fleet_instance *
cheapest_instance(const struct plan_view *view, const struct fleet_pool *from,
		  const struct fleet_pool *to, int64_t *least_percent)
{
	const struct fleet_instance *best = NULL;

	for (guint i = 0; i < from->instances->len; i++) {
		const struct fleet_instance *instance =
			from->instances->pdata[i];
		int64_t percent;

		if (!plan_may_drain(view, instance))
			continue;
		percent = cost_percent(view, instance, from, to);
		if (percent >= *least_percent)
			continue;
		*least_percent = percent;
		best = instance;
	}
	return best;
}

static bool choose_donor(struct steady *steady, const struct plan_view *view,
			 const struct fleet_pool *to,
			 struct moves_choice *choice)
{
	const GPtrArray *pools = fleet_pools(view->fleet);
	int64_t instance_us_per_s = typical_instance_us_per_s(to);
	int64_t least_percent = INT64_MAX;
	const struct fleet_instance *best = NULL;

	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *from = pools->pdata[i];
		const struct fleet_instance *instance;

		if (from == to || !may_donate(steady, view, from))
			continue;
		instance = cheapest_instance(view, from, to, &least_percent);
		best = instance ? instance : best;
	}
	/* A move must not cost more than the shortage that it relieves. */
	if (!best || shortage_us_per_s(steady, view, to) * 100 <
			     instance_us_per_s * least_percent)
		return false;
	name_copy(choice->instance, NAME_SIZE_BYTES, best->decl.name);
	name_copy(choice->to_pool, NAME_SIZE_BYTES, to->decl.name);
	return true;
}

/*
 * Chooses an instance that a pool with a surplus has borrowed, to move it back
 * to its spare pool.
 */
static bool choose_return(struct steady *steady, const struct plan_view *view,
			  const struct fleet_pool *from,
			  struct moves_choice *choice)
{
	for (guint i = 0; i < from->instances->len; i++) {
		const struct fleet_instance *instance =
			from->instances->pdata[i];
		const struct fleet_pool *home =
			fleet_pool(view->fleet, instance->decl.pool);

		if (!home || home == from || !home->decl.spare ||
		    !plan_may_drain(view, instance) ||
		    plan_in_gentle_window(view, home->decl.name) ||
		    fleet_instance_job_count(view->fleet,
					     instance->decl.name) ||
		    !below_move_limit(steady, view, from))
			continue;
		name_copy(choice->instance, NAME_SIZE_BYTES,
			  instance->decl.name);
		name_copy(choice->to_pool, NAME_SIZE_BYTES, home->decl.name);
		return true;
	}
	return false;
}

static bool steady_choose(void *self, const struct plan_view *view,
			  struct moves_choice *choice)
{
	struct steady *steady = self;
	const GPtrArray *pools = fleet_pools(view->fleet);

	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *pool = pools->pdata[i];
		const struct pool_history *history =
			history_get(steady, pool->decl.name);

		if (history->shortage_windows_count >=
			    CONSECUTIVE_WINDOWS_COUNT &&
		    has_shortage(steady, view, pool) &&
		    !plan_in_gentle_window(view, pool->decl.name) &&
		    below_move_limit(steady, view, pool) &&
		    choose_donor(steady, view, pool, choice))
			return true;
		if (history->surplus_windows_count >=
			    CONSECUTIVE_WINDOWS_COUNT &&
		    has_surplus(steady, pool) &&
		    choose_return(steady, view, pool, choice))
			return true;
	}
	return false;
}

static bool steady_still_needed(void *self, const struct plan_view *view,
				const struct fleet_instance *instance)
{
	const struct fleet_pool *from = fleet_pool(view->fleet, instance->pool);
	const struct fleet_pool *to =
		fleet_pool(view->fleet, instance->to_pool);

	if (!from || !to)
		return false;
	/* A new planner has no averages yet and keeps the moves in progress. */
	if (!history_get(self, from->decl.name)->has_average ||
	    !history_get(self, to->decl.name)->has_average)
		return true;
	if (to->decl.spare)
		return needed_us_per_s(self, from->decl.name) <=
		       plan_capacity_us_per_s(from);
	return needed_us_per_s(self, to->decl.name) >
	       plan_capacity_us_per_s(to);
}

static const struct moves_ops steady_ops = {
	.create = steady_new,
	.free = steady_free,
	.sample = steady_sample,
	.move_started = steady_move_started,
	.choose = steady_choose,
	.still_needed = steady_still_needed,
};

static const struct plugin moves_steady_plugin = {
	.name = "steady",
	.kind = PLUGIN_MOVES,
	.preferred = true,
	.ops = &steady_ops,
};

PLUGIN_REGISTER(moves_steady_plugin)
