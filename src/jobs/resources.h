#ifndef JOBS_RESOURCES_H
#define JOBS_RESOURCES_H

/* Amounts of what work items take of a worker, to be added and compared. */

#include "jobs/job.h"

enum resource {
	RESOURCE_CPU_MILLI,
	RESOURCE_MEM_MB,
	RESOURCE_GPU_COUNT,
	RESOURCE_COUNT,
};

struct resources {
	uint64_t amounts[RESOURCE_COUNT]; /* in the unit of each resource */
};

/* What one item of a step declares. */
struct resources resources_of_step(const struct job_step *step);

/* Adds an amount several times. */
void resources_add(struct resources *to, const struct resources *amount,
		   uint64_t factor);

/* Subtracts an amount that is part of the other. */
void resources_subtract(struct resources *from, const struct resources *amount);

struct resources resources_divide(const struct resources *from,
				  uint64_t divisor);

/* Returns the larger amount of each resource. */
struct resources resources_max(const struct resources *a,
			       const struct resources *b);

/* The largest amounts of a time window. */
struct resources_peak {
	struct resources amount;
	int64_t seen_us[RESOURCE_COUNT];
};

/* Keeps each amount until it is exceeded or older than the window. */
void resources_peak_update(struct resources_peak *peak,
			   const struct resources *amount, int64_t now_us,
			   int64_t window_us);

#endif
