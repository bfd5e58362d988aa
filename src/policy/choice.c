#include "policy/choice.h"

#include <string.h>

static void endpoint_free(gpointer data)
{
	g_free(data);
}

struct choice_pool *choice_pool_new(void)
{
	struct choice_pool *pool = g_new0(struct choice_pool, 1);

	pool->endpoints = g_ptr_array_new_with_free_func(endpoint_free);
	return pool;
}

void choice_pool_free(struct choice_pool *pool)
{
	if (!pool)
		return;
	g_ptr_array_unref(pool->endpoints);
	g_free(pool);
}

struct choice_endpoint *choice_pool_add(struct choice_pool *pool,
					struct endpoint_state *state,
					const char *address)
{
	struct choice_endpoint *endpoint = g_new0(struct choice_endpoint, 1);

	endpoint->state = state;
	endpoint->pool = pool;
	endpoint->index = pool->endpoints->len;
	name_copy(endpoint->address, sizeof(endpoint->address), address);
	g_ptr_array_add(pool->endpoints, endpoint);
	choice_refresh(endpoint);
	return endpoint;
}

void choice_pool_clear(struct choice_pool *pool)
{
	g_ptr_array_set_size(pool->endpoints, 0);
	pool->open_count = 0;
	pool->allowed_count = 0;
	pool->free_count = 0;
}

uint32_t choice_free_count(const struct endpoint_state *state)
{
	if (state->leaving || state->in_flight_count >= state->allowed_count)
		return 0;
	if (state->ejected)
		return state->probing && !state->in_flight_count ? 1 : 0;
	return state->allowed_count - state->in_flight_count;
}

static void swap(struct choice_pool *pool, struct choice_endpoint *endpoint,
		 uint32_t index)
{
	struct choice_endpoint *other = pool->endpoints->pdata[index];

	pool->endpoints->pdata[endpoint->index] = other;
	other->index = endpoint->index;
	pool->endpoints->pdata[index] = endpoint;
	endpoint->index = index;
}

/* Updates the sums of the pool and keeps its open endpoints in front. */
static void set_counts(struct choice_endpoint *endpoint, uint32_t allowed_count,
		       uint32_t free_count)
{
	struct choice_pool *pool = endpoint->pool;

	pool->free_count += free_count - endpoint->free_count;
	pool->allowed_count += allowed_count - endpoint->allowed_count;
	endpoint->free_count = free_count;
	endpoint->allowed_count = allowed_count;
	if (free_count && endpoint->index >= pool->open_count)
		swap(pool, endpoint, pool->open_count++);
	else if (!free_count && endpoint->index < pool->open_count)
		swap(pool, endpoint, --pool->open_count);
}

void choice_refresh(struct choice_endpoint *endpoint)
{
	uint32_t free_count = choice_free_count(endpoint->state);
	uint32_t allowed_count = endpoint->state->allowed_count;

	/* An endpoint that takes no work has no slots but for a probe. */
	if (endpoint->state->leaving || endpoint->state->ejected)
		allowed_count = MIN(allowed_count, free_count);
	set_counts(endpoint, allowed_count, free_count);
}

void choice_exclude(struct choice_endpoint *endpoint)
{
	set_counts(endpoint, 0, 0);
}

struct choice_endpoint *choice_pool_endpoint_at(struct choice_pool *pool,
						uint32_t index)
{
	struct choice_endpoint *endpoint = pool->endpoints->pdata[index];

	if (choice_free_count(endpoint->state))
		return endpoint;
	choice_refresh(endpoint);
	return NULL;
}

bool choice_is_avoided(const struct choice_endpoint *endpoint,
		       const char *const *avoid)
{
	for (; *avoid; avoid++) {
		if (!strcmp(*avoid, endpoint->state->name))
			return true;
	}
	return false;
}
