#ifndef JOBS_JOB_MEMORY_H
#define JOBS_JOB_MEMORY_H

/*
 * Whether a process takes a further job, by the memory that jobs hold in each
 * entry instance. The load that it is for: clients submit jobs, each within all
 * limits, until no entry instance has room for them.
 */

#include <stdbool.h>
#include <stdint.h>

struct job_memory {
	uint64_t max_bytes;	/* that all jobs may hold; 0: no limit */
	uint64_t held_bytes;	/* by the jobs that are known here */
	uint64_t pending_bytes; /* by those that this process is to store */
};

/*
 * A job may take a small share of what is left, so that large jobs are refused
 * long before small ones, and the jobs that were taken have room to run.
 */
bool job_memory_admits(const struct job_memory *memory, uint64_t job_bytes);

#endif
