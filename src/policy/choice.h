#ifndef POLICY_CHOICE_H
#define POLICY_CHOICE_H

/*
 * Load balancing: the choice of an endpoint for an attempt. Each pool keeps the
 * open endpoints, those that may have a free slot, at the front of an array, so
 * that no policy has to scan the whole pool.
 */

#include <glib.h>

#include "core/endpoint_table.h"

struct choice_pool;

struct choice_endpoint {
	struct endpoint_state *state; /* in the endpoint table */
	char address[ADDRESS_SIZE_BYTES];
	struct choice_pool *pool;
	uint32_t index;		/* index in the pool's array */
	uint32_t allowed_count; /* its part of the pool's allowed_count */
	uint32_t free_count;	/* its part of the pool's free_count */
};

/* The active endpoints of one pool in one data centre. */
struct choice_pool {
	GPtrArray *endpoints;	   /* of struct choice_endpoint, owned */
	uint32_t open_count;	   /* open endpoints, at the front */
	uint32_t allowed_count;	   /* slots that we may use */
	uint32_t free_count;	   /* those without an attempt in flight */
	uint32_t round_robin_next; /* modulo open_count */
};

struct choice_ops {
	/*
	 * Returns an endpoint with a free slot, or NULL. avoid: names of
	 * endpoints to exclude, terminated by NULL.
	 */
	struct choice_endpoint *(*pick)(struct choice_pool *pool,
					const char *const *avoid,
					GRand *random);
};

struct choice_pool *choice_pool_new(void);
void choice_pool_free(struct choice_pool *pool);

struct choice_endpoint *choice_pool_add(struct choice_pool *pool,
					struct endpoint_state *state,
					const char *address);
void choice_pool_clear(struct choice_pool *pool);

/* Updates the pool after a change of the endpoint's state. */
void choice_refresh(struct choice_endpoint *endpoint);

/* Excludes the endpoint until the next choice_refresh(). */
void choice_exclude(struct choice_endpoint *endpoint);

bool choice_is_avoided(const struct choice_endpoint *endpoint,
		       const char *const *avoid);

/* Number of further attempts that the endpoint may take now. */
uint32_t choice_free_count(const struct endpoint_state *state);

/*
 * Returns the endpoint at an index below open_count. If it has no free slot any
 * more, returns NULL and moves it behind the open endpoints.
 */
struct choice_endpoint *choice_pool_endpoint_at(struct choice_pool *pool,
						uint32_t index);

#endif
