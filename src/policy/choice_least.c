/*
 * Power of two choices: of two random endpoints with a free slot, picks the one
 * that is expected to answer first.
 */

#include "kernel/plugin.h"
#include "policy/choice.h"

static struct choice_endpoint *prefer(struct choice_endpoint *a,
				      struct choice_endpoint *b)
{
	const struct endpoint_state *left = a->state;
	const struct endpoint_state *right = b->state;
	int64_t left_us = left->latency_us;
	int64_t right_us = right->latency_us;

	/* Prefers to probe an ejected endpoint, so that it can be restored. */
	if (left->ejected != right->ejected)
		return left->ejected ? a : b;
	/* Unless both latencies are known, only the loads are compared. */
	if (!left_us || !right_us)
		left_us = right_us = 1;
	return (left->in_flight_count + 1) * left_us <=
			       (right->in_flight_count + 1) * right_us
		       ? a
		       : b;
}

/* A random open endpoint other than the one at excluded_index. */
static struct choice_endpoint *draw_open(struct choice_pool *pool,
					 uint32_t excluded_index, GRand *random)
{
	while (pool->open_count > (excluded_index < pool->open_count ? 1 : 0)) {
		uint32_t count = pool->open_count;
		uint32_t index;
		struct choice_endpoint *endpoint;

		if (excluded_index < count)
			count--;
		index = (uint32_t)g_rand_int_range(random, 0, (gint32)count);
		if (index >= excluded_index)
			index++;
		endpoint = choice_pool_endpoint_at(pool, index);
		if (endpoint)
			return endpoint;
		/* The order has changed, so excluded_index is not valid. */
		if (excluded_index < pool->endpoints->len)
			return NULL;
	}
	return NULL;
}

/* Linear scan, needed only when a retry avoids both drawn endpoints. */
static struct choice_endpoint *first_not_avoided(struct choice_pool *pool,
						 const char *const *avoid)
{
	uint32_t index = 0;

	while (index < pool->open_count) {
		struct choice_endpoint *endpoint =
			choice_pool_endpoint_at(pool, index);

		if (endpoint && !choice_is_avoided(endpoint, avoid))
			return endpoint;
		/* Otherwise another endpoint has been swapped to this index. */
		if (endpoint)
			index++;
	}
	return NULL;
}

static struct choice_endpoint *
least_pick(struct choice_pool *pool, const char *const *avoid, GRand *random)
{
	struct choice_endpoint *first = draw_open(pool, UINT32_MAX, random);
	struct choice_endpoint *second;

	if (!first)
		return NULL;
	second = draw_open(pool, first->index, random);
	if (choice_is_avoided(first, avoid))
		first = NULL;
	if (second && choice_is_avoided(second, avoid))
		second = NULL;
	if (first && second)
		return prefer(first, second);
	if (first || second)
		return first ? first : second;
	return first_not_avoided(pool, avoid);
}

static const struct choice_ops least_ops = {
	.pick = least_pick,
};

static const struct plugin least_plugin = {
	.name = "least",
	.kind = PLUGIN_ENDPOINT_CHOICE,
	.preferred = true,
	.ops = &least_ops,
};

PLUGIN_REGISTER(least_plugin)
