/*
 * Moves an instance only if a shortage lasts for several windows and is worth
 * the cost of the move, and limits the moves of a pool in an hour.
 */

#include <string.h>

#include "kernel/plugin.h"
#include "policy/moves.h"

#define WINDOW_US (60 * USEC_PER_SEC)
#define WINDOWS_IN_A_ROW_COUNT 2
#define GAP_PERCENT 20	  /* of the pool's capacity; less moves nothing */
#define TARGET_PERCENT 80 /* utilisation that leaves room for bursts */
#define MOVES_PER_HOUR_COUNT 4
#define HOUR_US (INT64_C(3600) * USEC_PER_SEC)
/* Costs in percent of the capacity of one instance. */
#define COST_MOVE_PERCENT 20 /* its slots are idle while it drains */
#define COST_JOB_PERCENT 25  /* each job is checkpointed and restarted */
#define COST_NOT_SPARE_PERCENT 50
#define COST_SAME_RACK_PERCENT 3
#define COST_SAME_DC_PERCENT 1

struct track {
	char name[NAME_SIZE_BYTES];
	int64_t sum_us_per_s; /* of the samples in this window */
	uint32_t sample_count;
	int64_t average_us_per_s; /* of the last complete window */
	bool known;		  /* at least one window is complete */
	uint32_t over_count;	  /* consecutive windows with a shortage */
	uint32_t under_count;	  /* consecutive windows with a surplus */
	GArray *moves_us;	  /* wall clock of the latest moves */
};

struct steady {
	GHashTable *tracks; /* pool -> struct track */
	int64_t window_end_us;
};

static void track_free(gpointer data)
{
	struct track *track = data;

	g_array_unref(track->moves_us);
	g_free(track);
}

static void *steady_new(void)
{
	struct steady *steady = g_new0(struct steady, 1);

	steady->tracks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       track_free);
	return steady;
}

static void steady_free(void *self)
{
	struct steady *steady = self;

	g_hash_table_unref(steady->tracks);
	g_free(steady);
}

static struct track *track_of(struct steady *steady, const char *pool)
{
	struct track *track = g_hash_table_lookup(steady->tracks, pool);

	if (track)
		return track;
	track = g_new0(struct track, 1);
	name_copy(track->name, sizeof(track->name), pool);
	track->moves_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_hash_table_insert(steady->tracks, track->name, track);
	return track;
}

/* Capacity of which the average demand of a pool is TARGET_PERCENT. */
static int64_t wanted_us_per_s(struct steady *steady, const char *pool)
{
	return track_of(steady, pool)->average_us_per_s * 100 / TARGET_PERCENT;
}

static int64_t typical_instance_us_per_s(const struct fleet_pool *pool)
{
	if (!pool->instances->len)
		return 0;
	return plan_instance_us_per_s(pool->instances->pdata[0]);
}

/* Capacity that a pool lacks; negative if it has more than it needs. */
static int64_t gap_us_per_s(struct steady *steady, const struct plan_view *view,
			    const struct fleet_pool *pool)
{
	int64_t have = plan_capacity_us_per_s(pool) +
		       plan_incoming_us_per_s(view, pool->decl.name);

	return wanted_us_per_s(steady, pool->decl.name) - have;
}

static bool has_gap(struct steady *steady, const struct plan_view *view,
		    const struct fleet_pool *pool)
{
	return gap_us_per_s(steady, view, pool) * 100 >
	       plan_capacity_us_per_s(pool) * GAP_PERCENT;
}

/* Whether a pool could give away one instance and still have a margin. */
static bool has_excess(struct steady *steady, const struct fleet_pool *pool)
{
	int64_t have = plan_capacity_us_per_s(pool);
	int64_t left = have - typical_instance_us_per_s(pool);

	return wanted_us_per_s(steady, pool->decl.name) <=
	       left - have * GAP_PERCENT / 100;
}

static void close_window(struct steady *steady, const struct plan_view *view,
			 const struct fleet_pool *pool)
{
	struct track *track = track_of(steady, pool->decl.name);

	if (!track->sample_count)
		return;
	track->average_us_per_s =
		track->sum_us_per_s / (int64_t)track->sample_count;
	track->known = true;
	track->sum_us_per_s = 0;
	track->sample_count = 0;
	track->over_count =
		has_gap(steady, view, pool) ? track->over_count + 1 : 0;
	track->under_count =
		has_excess(steady, pool) ? track->under_count + 1 : 0;
}

static void steady_sample(void *self, const struct plan_view *view)
{
	struct steady *steady = self;
	const GPtrArray *pools = fleet_pools(view->fleet);
	bool closes = view->now_us >= steady->window_end_us;

	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *pool = pools->pdata[i];
		struct track *track = track_of(steady, pool->decl.name);

		if (closes && steady->window_end_us)
			close_window(steady, view, pool);
		track->sum_us_per_s +=
			plan_demand_us_per_s(view, pool->decl.name);
		track->sample_count++;
	}
	if (closes)
		steady->window_end_us = view->now_us + WINDOW_US;
}

static void note_pool(struct steady *steady, const struct plan_view *view,
		      const char *name, int64_t wall_us)
{
	const struct fleet_pool *pool = fleet_pool(view->fleet, name);
	struct track *track;

	/* The spare pool has no limit: it takes part in most moves. */
	if (!pool || pool->decl.spare)
		return;
	track = track_of(steady, name);
	g_array_append_val(track->moves_us, wall_us);
	if (track->moves_us->len > MOVES_PER_HOUR_COUNT)
		g_array_remove_index(track->moves_us, 0);
}

static void steady_note(void *self, const struct plan_view *view,
			const struct record *record)
{
	const struct fleet_instance *instance =
		fleet_instance(view->fleet, record->instance.instance);

	note_pool(self, view, record->instance.to_pool, record->wall_us);
	if (instance && strcmp(instance->pool, record->instance.to_pool) != 0)
		note_pool(self, view, instance->pool, record->wall_us);
}

static bool may_move_more(struct steady *steady, const struct plan_view *view,
			  const struct fleet_pool *pool)
{
	const struct track *track = track_of(steady, pool->decl.name);
	uint32_t recent_count = 0;

	for (guint i = 0; i < track->moves_us->len; i++) {
		int64_t at_us = g_array_index(track->moves_us, int64_t, i);

		recent_count += view->wall_us - at_us < HOUR_US;
	}
	return pool->decl.spare || recent_count < MOVES_PER_HOUR_COUNT;
}

/* Cost of each instance of the pool in the same data centre or rack. */
static int64_t crowd_percent(const struct fleet_pool *pool,
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
	int64_t jobs_count = fleet_jobs_on(view->fleet, instance->decl.name);

	return COST_MOVE_PERCENT + jobs_count * COST_JOB_PERCENT +
	       (from->decl.spare ? 0 : COST_NOT_SPARE_PERCENT) +
	       crowd_percent(to, instance);
}

static bool may_give(struct steady *steady, const struct plan_view *view,
		     const struct fleet_pool *pool)
{
	int64_t left =
		plan_capacity_us_per_s(pool) - typical_instance_us_per_s(pool);

	if (plan_gentle(view, pool->decl.name) ||
	    !may_move_more(steady, view, pool))
		return false;
	if (pool->decl.spare)
		return wanted_us_per_s(steady, pool->decl.name) <= left;
	return track_of(steady, pool->decl.name)->under_count >=
	       WINDOWS_IN_A_ROW_COUNT;
}

static const struct fleet_instance *cheapest(const struct plan_view *view,
					     const struct fleet_pool *from,
					     const struct fleet_pool *to,
					     int64_t *least_percent)
{
	const struct fleet_instance *best = NULL;

	for (guint i = 0; i < from->instances->len; i++) {
		const struct fleet_instance *instance =
			from->instances->pdata[i];
		int64_t percent;

		if (!plan_may_take(view, instance))
			continue;
		percent = cost_percent(view, instance, from, to);
		if (percent >= *least_percent)
			continue;
		*least_percent = percent;
		best = instance;
	}
	return best;
}

static bool choose_for(struct steady *steady, const struct plan_view *view,
		       const struct fleet_pool *to, struct moves_choice *choice)
{
	const GPtrArray *pools = fleet_pools(view->fleet);
	int64_t instance_us_per_s = typical_instance_us_per_s(to);
	int64_t least_percent = INT64_MAX;
	const struct fleet_instance *best = NULL;

	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *from = pools->pdata[i];
		const struct fleet_instance *instance;

		if (from == to || !may_give(steady, view, from))
			continue;
		instance = cheapest(view, from, to, &least_percent);
		best = instance ? instance : best;
	}
	/* A move must not cost more than the shortage that it relieves. */
	if (!best || gap_us_per_s(steady, view, to) * 100 <
			     instance_us_per_s * least_percent)
		return false;
	name_copy(choice->instance, NAME_SIZE_BYTES, best->decl.name);
	name_copy(choice->to_pool, NAME_SIZE_BYTES, to->decl.name);
	return true;
}

/* Returns an instance of the spare pool once its borrower has a surplus. */
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
		    !plan_may_take(view, instance) ||
		    plan_gentle(view, home->decl.name) ||
		    fleet_jobs_on(view->fleet, instance->decl.name) ||
		    !may_move_more(steady, view, from))
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
		const struct track *track = track_of(steady, pool->decl.name);

		if (track->over_count >= WINDOWS_IN_A_ROW_COUNT &&
		    has_gap(steady, view, pool) &&
		    !plan_gentle(view, pool->decl.name) &&
		    may_move_more(steady, view, pool) &&
		    choose_for(steady, view, pool, choice))
			return true;
		if (track->under_count >= WINDOWS_IN_A_ROW_COUNT &&
		    has_excess(steady, pool) &&
		    choose_return(steady, view, pool, choice))
			return true;
	}
	return false;
}

static bool steady_wanted(void *self, const struct plan_view *view,
			  const struct fleet_instance *instance)
{
	const struct fleet_pool *from = fleet_pool(view->fleet, instance->pool);
	const struct fleet_pool *to =
		fleet_pool(view->fleet, instance->to_pool);

	if (!from || !to)
		return false;
	/* A new planner has no averages yet and keeps the moves in progress. */
	if (!track_of(self, from->decl.name)->known ||
	    !track_of(self, to->decl.name)->known)
		return true;
	if (to->decl.spare)
		return wanted_us_per_s(self, from->decl.name) <=
		       plan_capacity_us_per_s(from);
	return wanted_us_per_s(self, to->decl.name) >
	       plan_capacity_us_per_s(to);
}

static const struct moves_ops steady_ops = {
	.create = steady_new,
	.free = steady_free,
	.sample = steady_sample,
	.note = steady_note,
	.choose = steady_choose,
	.wanted = steady_wanted,
};

static const struct plugin moves_steady_plugin = {
	.name = "steady",
	.kind = PLUGIN_MOVES,
	.preferred = true,
	.ops = &steady_ops,
};

PLUGIN_REGISTER(moves_steady_plugin)
