#include "jobs/quota.h"

struct resources quota_limits(const struct member_policy *policy)
{
	return (struct resources){
		.amounts = {
			[RESOURCE_CPU_MILLI] = policy->cpu_max_milli,
			[RESOURCE_MEM_MB] = policy->mem_max_mb,
			[RESOURCE_GPU_COUNT] = policy->gpu_max_count,
		},
	};
}

static uint64_t saturating_add(uint64_t a, uint64_t b)
{
	return a > UINT64_MAX - b ? UINT64_MAX : a + b;
}

static uint64_t with_overage(uint64_t limit, uint32_t percent)
{
	uint64_t whole = limit / 100 * percent;
	uint64_t rest = limit % 100 * percent / 100;

	return saturating_add(limit, saturating_add(whole, rest));
}

static bool fits(uint64_t limit, uint64_t used, uint64_t amount)
{
	return !amount || (used <= limit && amount <= limit - used);
}

enum resource quota_item_exceeds(const struct resources *limits,
				 const struct resources *used,
				 const struct resources *item)
{
	enum resource i;

	for (i = 0; i < RESOURCE_COUNT; i++) {
		uint64_t limit = limits->amounts[i];
		bool runs_alone = item->amounts[i] > limit && !used->amounts[i];

		if (limit && !runs_alone &&
		    !fits(limit, used->amounts[i], item->amounts[i]))
			break;
	}
	return i;
}

enum resource quota_gang_exceeds(const struct resources *limits,
				 const struct resources *used,
				 const struct resources *item, uint32_t count,
				 uint32_t overage_percent)
{
	enum resource i;

	for (i = 0; i < RESOURCE_COUNT; i++) {
		uint64_t limit =
			with_overage(limits->amounts[i], overage_percent);
		uint64_t rest = item->amounts[i] * (count - 1);
		bool runs_alone = rest <= limit && !used->amounts[i];

		if (limit && !runs_alone &&
		    !fits(limit, used->amounts[i], rest + item->amounts[i]))
			break;
	}
	return i;
}

uint32_t quota_items_fit(const struct resources *limits,
			 const struct resources *used,
			 const struct resources *item, uint32_t count)
{
	if (!count || quota_item_exceeds(limits, used, item) != RESOURCE_COUNT)
		return 0;
	for (enum resource i = 0; i < RESOURCE_COUNT; i++) {
		uint64_t limit = limits->amounts[i];
		uint64_t amount = item->amounts[i];
		uint64_t fit_count;

		if (!limit || !amount)
			continue;
		fit_count = amount > limit
				    ? 1
				    : (limit - used->amounts[i]) / amount;
		count = (uint32_t)MIN(count, fit_count);
	}
	return count;
}

void quota_spend(const struct resources *limits, struct resources *spent,
		 struct resources *amount)
{
	for (enum resource i = 0; i < RESOURCE_COUNT; i++) {
		if (!limits->amounts[i])
			continue;
		amount->amounts[i] =
			MIN(amount->amounts[i],
			    limits->amounts[i] - spent->amounts[i]);
		spent->amounts[i] += amount->amounts[i];
	}
}
