#include "jobs/resources.h"

struct resources resources_of_step(const struct job_step *step)
{
	return (struct resources){
		.amounts = {
			[RESOURCE_CPU_MILLI] = step->cpu_milli,
			[RESOURCE_MEM_MB] = step->mem_mb,
			[RESOURCE_GPU_COUNT] = step->gpu_count,
		},
	};
}

void resources_add(struct resources *to, const struct resources *amount,
		   uint64_t factor)
{
	for (uint32_t i = 0; i < RESOURCE_COUNT; i++)
		to->amounts[i] += amount->amounts[i] * factor;
}

void resources_subtract(struct resources *from, const struct resources *amount)
{
	for (uint32_t i = 0; i < RESOURCE_COUNT; i++)
		from->amounts[i] -= amount->amounts[i];
}

struct resources resources_divide(const struct resources *from,
				  uint64_t divisor)
{
	struct resources quotient;

	for (uint32_t i = 0; i < RESOURCE_COUNT; i++)
		quotient.amounts[i] = from->amounts[i] / divisor;
	return quotient;
}

struct resources resources_max(const struct resources *a,
			       const struct resources *b)
{
	struct resources larger;

	for (uint32_t i = 0; i < RESOURCE_COUNT; i++)
		larger.amounts[i] = MAX(a->amounts[i], b->amounts[i]);
	return larger;
}

void resources_peak_update(struct resources_peak *peak,
			   const struct resources *amount, int64_t now_us,
			   int64_t window_us)
{
	for (uint32_t i = 0; i < RESOURCE_COUNT; i++) {
		if (amount->amounts[i] < peak->amount.amounts[i] &&
		    now_us - peak->seen_us[i] <= window_us)
			continue;
		peak->amount.amounts[i] = amount->amounts[i];
		peak->seen_us[i] = now_us;
	}
}
