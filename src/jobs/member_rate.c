#include "jobs/member_rate.h"

#define TOKEN_MICRO INT64_C(1000000)
/* A higher weight is no limit in practice; the products below fit. */
#define WEIGHT_MAX_MILLI (UINT64_C(1) << 32)

static int64_t weight_milli(const struct member_policy *policy)
{
	return (int64_t)MIN(policy->weight_milli, WEIGHT_MAX_MILLI);
}

/* The tokens of a second, and room for one job at least. */
static int64_t capacity_micro(const struct member_policy *policy)
{
	return MAX(weight_milli(policy) * (TOKEN_MICRO / 1000), TOKEN_MICRO);
}

static void refill(struct member_rate *rate, const struct member_policy *policy,
		   int64_t now_us)
{
	int64_t elapsed_us = CLAMP(now_us - rate->refilled_us, 0, USEC_PER_SEC);
	int64_t full_micro = capacity_micro(policy);

	if (!rate->refilled_us)
		rate->tokens_micro = full_micro;
	else
		rate->tokens_micro =
			MIN(rate->tokens_micro +
				    weight_milli(policy) * elapsed_us / 1000,
			    full_micro);
	rate->refilled_us = MAX(now_us, 1);
}

bool member_rate_is_used_up(struct member_rate *rate,
			    const struct member_policy *policy, int64_t now_us)
{
	if (!policy->weight_milli)
		return false;
	refill(rate, policy, now_us);
	return rate->tokens_micro < TOKEN_MICRO;
}

bool member_rate_take(struct member_rate *rate,
		      const struct member_policy *policy, int64_t now_us)
{
	if (member_rate_is_used_up(rate, policy, now_us))
		return false;
	rate->tokens_micro -= TOKEN_MICRO;
	return true;
}

bool member_rate_refuses(const struct member_policy *policy,
			 uint32_t waiting_count)
{
	return waiting_count >= MAX(policy->weight_milli / 1000, 1);
}
