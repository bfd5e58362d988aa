#ifndef POLICY_PLAN_H
#define POLICY_PLAN_H

/* Input of the moves and waves policies, and rules that they share. */

#include "core/fleet.h"

struct plan_view {
	const struct fleet *fleet;
	int64_t now_us;
	int64_t wall_us;
	GHashTable *demands; /* pool -> int64_t: requested slot time per s */
	/* Whether the planner allows a planned step of an instance now. */
	bool (*may_start)(const void *planner,
			  const struct fleet_instance *instance);
	const void *planner;
};

/* Slot time per second that is requested of a pool. */
int64_t plan_demand_us_per_s(const struct plan_view *view, const char *pool);

/* Slot time per second that an instance offers. */
int64_t plan_instance_us_per_s(const struct fleet_instance *instance);

/* Slot time per second of the instances of a pool that are in service. */
int64_t plan_capacity_us_per_s(const struct fleet_pool *pool);

/* Slot time per second of the instances that are moving into a pool. */
int64_t plan_incoming_us_per_s(const struct plan_view *view, const char *pool);

/*
 * Whether a gentle window of any service of a pool is open: a daily period
 * without planned disruption.
 */
bool plan_in_gentle_window(const struct plan_view *view, const char *pool);

/* The same for the services of one member, or of all if member is NULL. */
bool plan_member_in_gentle_window(const struct plan_view *view,
				  const char *member, const char *pool);

/*
 * Whether a planned step may take an instance out of service now: it is in
 * service, the budget allows it and no gentle window forbids it.
 */
bool plan_may_drain(const struct plan_view *view,
		    const struct fleet_instance *instance);

/* Whether an instance is in maintenance: draining for it or rebooting. */
bool plan_in_maintenance(const struct fleet_instance *instance);

#endif
