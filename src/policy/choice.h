#ifndef POLICY_CHOICE_H
#define POLICY_CHOICE_H

/*
 * Choice of an endpoint (load balancing). The sets of endpoints are shared by
 * the policies: each pool keeps the endpoints that may have a free slot at the
 * front of an array, so that no decision looks through the whole pool.
 */

#include <glib.h>

#include "core/endpoint_table.h"

struct choice_pool;

struct choice_endpoint {
	struct endpoint_state *state; /* in the endpoint table */
	char address[ADDRESS_SIZE_BYTES];
	struct choice_pool *pool;
	uint32_t place;		/* index in the pool's array */
	uint32_t allowed_count; /* as added to the sums of the pool */
	uint32_t free_count;	/* as added to the sums of the pool */
};

/* The active endpoints of one pool in one data centre. */
struct choice_pool {
	GPtrArray *endpoints; /* of struct choice_endpoint, owned */
	uint32_t open_count;  /* endpoints at the front with a free slot */
	uint32_t allowed_count;
	uint32_t free_count;
	uint32_t turn; /* of the round robin */
};

struct choice_ops {
	/*
	 * An endpoint with a free slot, or NULL. avoid: names of endpoints
	 * that are not wanted, up to a NULL.
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

/* Takes up a change of the endpoint's state. */
void choice_refresh(struct choice_endpoint *endpoint);

/* Takes no further attempt until the next change of its state. */
void choice_close(struct choice_endpoint *endpoint);

bool choice_is_avoided(const struct choice_endpoint *endpoint,
		       const char *const *avoid);

/* Number of attempts that the endpoint may take now. */
uint32_t choice_free_count(const struct endpoint_state *state);

/*
 * The open endpoint at an index below open_count, or NULL if it turns out to
 * have no free slot; open_count is lower then.
 */
struct choice_endpoint *choice_pool_open(struct choice_pool *pool,
					 uint32_t index);

#endif
