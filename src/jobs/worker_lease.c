/* How long the leases of workers last. */

#include "jobs/lease.h"

int64_t worker_lease_us(const struct job_bounds *bounds)
{
	return MIN(bounds->lease_max_us, WORKER_LEASE_TARGET_US);
}

int64_t worker_lease_local_max_us(int64_t lease_us)
{
	return lease_us + lease_us * WORKER_CLOCK_SLOW_PERCENT / 100 +
	       50 * USEC_PER_MSEC;
}

int64_t worker_lease_any_life_us(const struct job_bounds *bounds)
{
	return worker_lease_local_max_us(bounds->lease_max_us);
}
