/* Baseline: moves whenever a pool lacks capacity and another has some idle. */

#include <string.h>

#include "kernel/plugin.h"
#include "policy/moves.h"

static void *greedy_new(void)
{
	return NULL;
}

static void greedy_free(void *self)
{
	(void)self;
}

static void greedy_sample(void *self, const struct plan_view *view)
{
	(void)self;
	(void)view;
}

static void greedy_move_started(void *self, const struct plan_view *view,
				const struct record *record)
{
	(void)self;
	(void)view;
	(void)record;
}

static bool has_shortage(const struct plan_view *view,
			 const struct fleet_pool *pool)
{
	return plan_demand_us_per_s(view, pool->decl.name) >
	       plan_capacity_us_per_s(pool) +
		       plan_incoming_us_per_s(view, pool->decl.name);
}

/* Returns an instance that the pool can spare: its idle capacity covers it. */
static const struct fleet_instance *idle_instance(const struct plan_view *view,
						  const struct fleet_pool *pool)
{
	int64_t idle_us_per_s = plan_capacity_us_per_s(pool) -
				plan_demand_us_per_s(view, pool->decl.name);

	for (guint i = 0; i < pool->instances->len; i++) {
		const struct fleet_instance *instance =
			pool->instances->pdata[i];

		if (idle_us_per_s >= plan_instance_us_per_s(instance) &&
		    plan_may_drain(view, instance))
			return instance;
	}
	return NULL;
}

static bool choose_donor(const struct plan_view *view,
			 const struct fleet_pool *pool,
			 struct moves_choice *choice)
{
	const GPtrArray *pools = fleet_pools(view->fleet);

	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_instance *instance =
			pools->pdata[i] == pool
				? NULL
				: idle_instance(view, pools->pdata[i]);

		if (!instance)
			continue;
		name_copy(choice->instance, NAME_SIZE_BYTES,
			  instance->decl.name);
		name_copy(choice->to_pool, NAME_SIZE_BYTES, pool->decl.name);
		return true;
	}
	return false;
}

static bool greedy_choose(void *self, const struct plan_view *view,
			  struct moves_choice *choice)
{
	const GPtrArray *pools = fleet_pools(view->fleet);

	(void)self;
	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *pool = pools->pdata[i];

		if (has_shortage(view, pool) &&
		    !plan_in_gentle_window(view, pool->decl.name) &&
		    choose_donor(view, pool, choice))
			return true;
	}
	return false;
}

static bool greedy_still_needed(void *self, const struct plan_view *view,
				const struct fleet_instance *instance)
{
	(void)self;
	(void)view;
	(void)instance;
	return true;
}

static const struct moves_ops greedy_ops = {
	.create = greedy_new,
	.free = greedy_free,
	.sample = greedy_sample,
	.move_started = greedy_move_started,
	.choose = greedy_choose,
	.still_needed = greedy_still_needed,
};

static const struct plugin moves_greedy_plugin = {
	.name = "greedy",
	.kind = PLUGIN_MOVES,
	.ops = &greedy_ops,
};

PLUGIN_REGISTER(moves_greedy_plugin)
