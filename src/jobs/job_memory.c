#include "jobs/job_memory.h"

/* What is left also has room for the growth of jobs that run. */
#define SHARE_DIVISOR 64

bool job_memory_admits(const struct job_memory *memory, uint64_t job_bytes)
{
	uint64_t used_bytes = memory->held_bytes + memory->pending_bytes;

	if (!memory->max_bytes)
		return true;
	return used_bytes < memory->max_bytes &&
	       job_bytes <= (memory->max_bytes - used_bytes) / SHARE_DIVISOR;
}
