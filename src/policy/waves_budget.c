/*
 * Maintains one rack of one data centre at a time, with as many instances in
 * parallel as the wave and the budgets of the pools allow, and pauses all waves
 * after a correlated failure of instances that are not in maintenance.
 */

#include <string.h>

#include "kernel/plugin.h"
#include "policy/waves.h"

/* This many failures in one rack within this time are a correlated failure. */
#define CORRELATION_WINDOW_US (60 * USEC_PER_SEC)
#define CORRELATED_FAILURES_COUNT 2
/* Waves resume after this time without another correlated failure. */
#define CORRELATION_PAUSE_US (600 * USEC_PER_SEC)
/*
 * Time for which a failure excludes its rack from waves. It is limited, as an
 * instance that waits weeks for repair must not block the rest of its rack.
 */
#define RACK_EXCLUSION_US (3600 * USEC_PER_SEC)

struct budget {
	GHashTable *failed_us; /* instance -> int64_t: first seen down */
	int64_t paused_until_us;
};

static void *budget_new(void)
{
	struct budget *budget = g_new0(struct budget, 1);

	budget->failed_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budget;
}

static void budget_free(void *self)
{
	struct budget *budget = self;

	g_hash_table_unref(budget->failed_us);
	g_free(budget);
}

static bool same_rack(const struct fleet_instance *a,
		      const struct fleet_instance *b)
{
	return !strcmp(a->decl.rack, b->decl.rack) &&
	       !strcmp(a->decl.dc, b->decl.dc);
}

/* Number of failures in the same rack within the correlation window. */
static uint32_t correlated_failures_count(struct budget *budget,
					  const struct plan_view *view,
					  const struct fleet_instance *failed,
					  int64_t at_us)
{
	const GPtrArray *instances = fleet_instances(view->fleet);
	uint32_t count = 0;

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *other = instances->pdata[i];
		const int64_t *other_us;

		if (!other->down || !same_rack(failed, other))
			continue;
		other_us = g_hash_table_lookup(budget->failed_us,
					       other->decl.name);
		count += other_us && at_us - *other_us <= CORRELATION_WINDOW_US;
	}
	return count;
}

static void record_failure(struct budget *budget, const struct plan_view *view,
			   const struct fleet_instance *instance)
{
	g_hash_table_insert(budget->failed_us, g_strdup(instance->decl.name),
			    g_memdup2(&view->now_us, sizeof(view->now_us)));
	if (correlated_failures_count(budget, view, instance, view->now_us) >=
	    CORRELATED_FAILURES_COUNT)
		budget->paused_until_us = view->now_us + CORRELATION_PAUSE_US;
}

static void budget_sample(void *self, const struct plan_view *view)
{
	struct budget *budget = self;
	const GPtrArray *instances = fleet_instances(view->fleet);

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		bool known = g_hash_table_contains(budget->failed_us,
						   instance->decl.name);

		/* An instance that is down for maintenance has not failed. */
		if (!instance->down || plan_in_maintenance(instance)) {
			if (known)
				g_hash_table_remove(budget->failed_us,
						    instance->decl.name);
		} else if (!known) {
			record_failure(budget, view, instance);
		}
	}
}

static bool pending_in_wave(const struct fleet_wave *wave,
			    const struct fleet_instance *instance)
{
	return g_ptr_array_find_with_equal_func(
		       wave->decl.pools, instance->pool, g_str_equal, NULL) &&
	       !g_hash_table_contains(wave->done, instance->decl.name);
}

/*
 * Returns an instance in maintenance, or NULL. While there is one, only its
 * rack may start more. Adds the number of those that the wave has started to
 * in_progress_count.
 */
static const struct fleet_instance *
find_in_maintenance(const struct plan_view *view, const struct fleet_wave *wave,
		    uint32_t *in_progress_count)
{
	const GPtrArray *instances = fleet_instances(view->fleet);
	const struct fleet_instance *found = NULL;

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		if (!plan_in_maintenance(instance))
			continue;
		found = instance;
		*in_progress_count += !strcmp(instance->wave, wave->decl.name);
	}
	return found;
}

/* Whether another instance of the rack failed recently, not in maintenance. */
static bool rack_has_recent_failure(struct budget *budget,
				    const struct plan_view *view,
				    const struct fleet_instance *instance)
{
	const GPtrArray *instances = fleet_instances(view->fleet);

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *other = instances->pdata[i];
		const int64_t *failed_us;

		if (!other->down || !same_rack(instance, other))
			continue;
		failed_us = g_hash_table_lookup(budget->failed_us,
						other->decl.name);
		if (failed_us && view->now_us - *failed_us < RACK_EXCLUSION_US)
			return true;
	}
	return false;
}

/* Orders by data centre, rack and name, to finish a rack before the next. */
static int compare_locations(const struct fleet_instance *a,
			     const struct fleet_instance *b)
{
	int order = strcmp(a->decl.dc, b->decl.dc);

	if (!order)
		order = strcmp(a->decl.rack, b->decl.rack);
	return order ? order : strcmp(a->decl.name, b->decl.name);
}

static const struct fleet_instance *budget_choose(void *self,
						  const struct plan_view *view,
						  const struct fleet_wave *wave)
{
	struct budget *budget = self;
	const GPtrArray *instances = fleet_instances(view->fleet);
	const struct fleet_instance *best = NULL;
	const struct fleet_instance *in_maintenance;
	uint32_t in_progress_count = 0;

	if (wave->halted || wave->decl.not_before_us > view->wall_us ||
	    view->now_us < budget->paused_until_us)
		return NULL;
	in_maintenance = find_in_maintenance(view, wave, &in_progress_count);
	if (in_progress_count >= wave->decl.parallel_count)
		return NULL;
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		if (!pending_in_wave(wave, instance) ||
		    (in_maintenance && !same_rack(in_maintenance, instance)) ||
		    (best && compare_locations(instance, best) > 0) ||
		    !plan_may_drain(view, instance) ||
		    rack_has_recent_failure(budget, view, instance))
			continue;
		best = instance;
	}
	return best;
}

static const struct waves_ops budget_ops = {
	.create = budget_new,
	.free = budget_free,
	.sample = budget_sample,
	.choose = budget_choose,
};

static const struct plugin waves_budget_plugin = {
	.name = "budget",
	.kind = PLUGIN_WAVES,
	.preferred = true,
	.ops = &budget_ops,
};

PLUGIN_REGISTER(waves_budget_plugin)
