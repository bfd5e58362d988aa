/* Baseline: picks the endpoints with a free slot in turn. */

#include "kernel/plugin.h"
#include "policy/choice.h"

static struct choice_endpoint *round_robin_pick(struct choice_pool *pool,
						const char *const *avoid,
						GRand *random)
{
	uint32_t skipped_count = 0;

	(void)random;
	while (pool->open_count > skipped_count) {
		uint32_t index = pool->round_robin_next++ % pool->open_count;
		struct choice_endpoint *endpoint =
			choice_pool_endpoint_at(pool, index);

		if (!endpoint)
			continue;
		if (!choice_is_avoided(endpoint, avoid))
			return endpoint;
		skipped_count++;
	}
	return NULL;
}

static const struct choice_ops round_robin_ops = {
	.pick = round_robin_pick,
};

static const struct plugin round_robin_plugin = {
	.name = "round_robin",
	.kind = PLUGIN_ENDPOINT_CHOICE,
	.ops = &round_robin_ops,
};

PLUGIN_REGISTER(round_robin_plugin)
