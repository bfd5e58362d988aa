/*
 * Lending between pools: other pools use idle slots of a lending pool, but only
 * for short requests, so that it gets each slot back after a short time.
 */

#include "decide/router.h"

/* Longest service time of a request that may use a lent slot. */
#define LEND_SERVICE_MAX_US (250 * USEC_PER_MSEC)

/* Limits the waiting pools that are tried when slots of a pool change. */
#define LEND_TRIES_COUNT 4

static bool can_lend(const struct router *router,
		     const struct router_pool *pool)
{
	return pool->lend &&
	       pool->choice->free_count > pool->reserve_slots_count &&
	       !router->admission->count(pool->queue);
}

/* Adds a pool to the lenders if it can lend now. */
void router_lend_add_lender(struct router *router, struct router_pool *pool)
{
	if (pool->in_lenders || !can_lend(router, pool))
		return;
	pool->in_lenders = true;
	g_queue_push_tail(router->lenders, pool);
}

struct router_pool *router_lend_find_lender(struct router *router,
					    const struct router_request *req)
{
	int64_t service_us = req->service->service_us;
	struct router_pool *pool;

	if (!service_us || service_us > LEND_SERVICE_MAX_US)
		return NULL;
	while ((pool = g_queue_peek_head(router->lenders))) {
		if (pool != req->pool && can_lend(router, pool))
			return pool;
		g_queue_pop_head(router->lenders);
		pool->in_lenders = false;
		if (pool == req->pool)
			return NULL;
	}
	return NULL;
}

/* Adds a pool to the waiting pools if its queue is not empty. */
void router_lend_add_waiting(struct router *router, struct router_pool *pool)
{
	if (pool->in_waiting_pools || !router->admission->count(pool->queue))
		return;
	pool->in_waiting_pools = true;
	g_queue_push_tail(router->waiting_pools, pool);
}

/* Dispatches waiting pools, in turn, while the lender can lend. */
void router_lend_to_waiting(struct router *router, struct router_pool *lender)
{
	for (uint32_t i = 0; i < LEND_TRIES_COUNT; i++) {
		struct router_pool *pool;

		if (!can_lend(router, lender))
			return;
		pool = g_queue_pop_head(router->waiting_pools);
		if (!pool)
			return;
		pool->in_waiting_pools = false;
		/* Adds the pool again if some of its queue is left. */
		router_dispatch(router, pool);
	}
}

/* Called before a pool is freed, since the lists don't own their pools. */
void router_lend_remove_pool(struct router *router, struct router_pool *pool)
{
	g_queue_remove(router->lenders, pool);
	g_queue_remove(router->waiting_pools, pool);
}
