#ifndef JOBS_LEASE_H
#define JOBS_LEASE_H

/* Durations shared by the jobs lease and the leases of workers. */

#include "kernel/settings.h"

/*
 * A holder stops sending orders when the store has not confirmed a renewal for
 * this long. It bounds how long a new holder must wait for workers that it
 * can't reach.
 */
#define HOLDER_UNCONFIRMED_MAX_US (6 * USEC_PER_SEC)

/*
 * The last orders of a holder that has stopped have their results by then: an
 * order is given a second, after it has been forwarded for up to a second.
 */
#define EARLIER_ORDER_MAX_US (2 * USEC_PER_SEC)

#define WORKER_LEASE_TARGET_US (6 * USEC_PER_SEC)

/* Clocks of workers may run slow by this much. */
#define WORKER_CLOCK_SLOW_PERCENT 2

/* Duration of the leases granted to workers. */
int64_t worker_lease_us(const struct job_bounds *bounds);

/* Longest time that such a lease can last on the clock of this process. */
int64_t worker_lease_local_max_us(int64_t lease_us);

/*
 * The same for any lease. The clock of a worker that has started again may be
 * behind, so that it takes a deadline on its earlier clock for one that is far
 * off and grants the longest lease there is.
 */
int64_t worker_lease_any_life_us(const struct job_bounds *bounds);

#endif
