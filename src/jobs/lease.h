#ifndef JOBS_LEASE_H
#define JOBS_LEASE_H

/* Times that the lease of the jobs and the leases on workers share. */

#include "kernel/settings.h"

/*
 * A holder that the store has not confirmed for so long sends no order any
 * more, so that its successor knows how long to wait for workers that it
 * can't reach.
 */
#define HOLDER_UNCONFIRMED_MAX_US (6 * USEC_PER_SEC)

#define WORKER_LEASE_WANTED_US (6 * USEC_PER_SEC)

/* Clocks of workers may be 2% slow. */
#define WORKER_CLOCK_SLOW_PERCENT 2

/* Length of the leases that workers get. */
int64_t worker_lease_us(const struct job_bounds *bounds);

/* How long such a lease may last on a clock of ours. */
int64_t worker_lease_local_max_us(int64_t lease_us);

#endif
