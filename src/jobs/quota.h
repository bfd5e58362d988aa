#ifndef JOBS_QUOTA_H
#define JOBS_QUOTA_H

/*
 * Whether work fits into what a member may use at once. A limit of 0 means that
 * the resource is not limited. What doesn't use a resource is not held back by
 * its limit, also if the limit is exceeded.
 */

#include "jobs/resources.h"

/* The limits of a member: thousandths of a core, MB and devices. */
struct resources quota_limits(const struct member_policy *policy);

/*
 * The resource of which one more item would exceed the limit, or
 * RESOURCE_COUNT. An item that is larger than the limit runs alone.
 */
enum resource quota_item_exceeds(const struct resources *limits,
				 const struct resources *used,
				 const struct resources *item);

/*
 * The same for all the items of a gang, which may take the overage as well.
 * While none of a resource is used, it may exceed that by one item, like an
 * item by itself. count: at least 1.
 */
enum resource quota_gang_exceeds(const struct resources *limits,
				 const struct resources *used,
				 const struct resources *item, uint32_t count,
				 uint32_t overage_percent);

/* How many of count equal items fit, placed one after the other. */
uint32_t quota_items_fit(const struct resources *limits,
			 const struct resources *used,
			 const struct resources *item, uint32_t count);

/* Cuts amount to what spent leaves of the limits, and adds it to spent. */
void quota_spend(const struct resources *limits, struct resources *spent,
		 struct resources *amount);

#endif
