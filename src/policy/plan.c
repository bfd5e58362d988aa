#include "policy/plan.h"

#include <string.h>

#define MINUTES_PER_DAY 1440

int64_t plan_demand_us_per_s(const struct plan_view *view, const char *pool)
{
	const int64_t *demand = g_hash_table_lookup(view->demands, pool);

	return demand ? *demand : 0;
}

int64_t plan_instance_us_per_s(const struct fleet_instance *instance)
{
	return (int64_t)instance->decl.slot_count * USEC_PER_SEC;
}

int64_t plan_capacity_us_per_s(const struct fleet_pool *pool)
{
	int64_t capacity_us_per_s = 0;

	for (guint i = 0; i < pool->instances->len; i++) {
		const struct fleet_instance *instance =
			pool->instances->pdata[i];

		if (instance->phase == INSTANCE_ACTIVE && !instance->down)
			capacity_us_per_s += plan_instance_us_per_s(instance);
	}
	return capacity_us_per_s;
}

int64_t plan_incoming_us_per_s(const struct plan_view *view, const char *pool)
{
	const GPtrArray *instances = fleet_instances(view->fleet);
	int64_t capacity_us_per_s = 0;

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		if (instance->phase == INSTANCE_DRAINING_MOVE &&
		    !strcmp(instance->to_pool, pool))
			capacity_us_per_s += plan_instance_us_per_s(instance);
	}
	return capacity_us_per_s;
}

static bool gentle_window_open(const struct decl_service *service,
			       int64_t wall_us)
{
	int64_t minute =
		wall_us / (60 * USEC_PER_SEC) % (int64_t)MINUTES_PER_DAY;

	if (service->gentle_from_min < 0)
		return false;
	if (service->gentle_from_min < service->gentle_until_min)
		return minute >= service->gentle_from_min &&
		       minute < service->gentle_until_min;
	return minute >= service->gentle_from_min ||
	       minute < service->gentle_until_min;
}

bool plan_member_in_gentle_window(const struct plan_view *view,
				  const char *member, const char *pool)
{
	const GPtrArray *services = fleet_services(view->fleet);

	for (guint i = 0; i < services->len; i++) {
		const struct decl_service *service = services->pdata[i];

		if (!strcmp(service->pool, pool) &&
		    (!member || !strcmp(service->member, member)) &&
		    gentle_window_open(service, view->wall_us))
			return true;
	}
	return false;
}

bool plan_in_gentle_window(const struct plan_view *view, const char *pool)
{
	return plan_member_in_gentle_window(view, NULL, pool);
}

bool plan_may_drain(const struct plan_view *view,
		    const struct fleet_instance *instance)
{
	return instance->phase == INSTANCE_ACTIVE && !instance->down &&
	       fleet_budget_allows(view->fleet, instance) &&
	       view->may_start(view->planner, instance) &&
	       !plan_in_gentle_window(view, instance->pool);
}

bool plan_in_maintenance(const struct fleet_instance *instance)
{
	return instance->phase == INSTANCE_DRAINING_MAINT ||
	       instance->phase == INSTANCE_REBOOTING;
}
