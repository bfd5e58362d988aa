#ifndef DECIDE_ROUTER_H
#define DECIDE_ROUTER_H

/* Internals of the router plug-in, shared by the files router*.c. */

#include "kernel/kernel.h"
#include "policy/admission.h"
#include "policy/choice.h"
#include "policy/retry.h"

#define ROUTER_RETRY_AFTER_US USEC_PER_SEC

/* Retries per request, so that one can't use up the retry budget of others. */
#define ROUTER_RETRY_MAX_COUNT 2

enum router_phase {
	ROUTER_PHASE_CLAIMING, /* waits for EVENT_CLAIM_DECIDED */
	ROUTER_PHASE_QUEUED,
	ROUTER_PHASE_RUNNING, /* an attempt is in flight */
};

/* Why a request is refused; router_reply.c has the status and text of each. */
enum refusal {
	REFUSAL_NO_CONFIG,
	REFUSAL_NO_SERVICE,
	REFUSAL_MEMBER_LEFT,
	REFUSAL_QUOTA,
	REFUSAL_NO_KEY,
	REFUSAL_DRAINING,
	REFUSAL_QUEUE_FULL,
	REFUSAL_DROPPED,  /* displaced in the queue by a more urgent request */
	REFUSAL_TOO_LATE, /* on arrival: would wait past its deadline */
	REFUSAL_DEADLINE, /* the deadline passed before it was dispatched */
	REFUSAL_NO_TIME,  /* at dispatch: the deadline would cut it off */
	REFUSAL_NO_ENDPOINT,
	REFUSAL_CLAIM, /* the once plug-in refused it, with its own reason */
	REFUSAL_GONE,  /* the caller has disconnected */
	REFUSAL_COUNT, /* also: not refused */
};

struct router_member {
	char name[NAME_SIZE_BYTES];
	uint32_t weight;
	uint32_t quota_count; /* our share of the quota; 0: unbounded */
	bool left;
	bool declared;
	uint32_t request_count;	       /* requests in progress */
	uint32_t caller_request_count; /* those not relayed to us */
};

struct router_pool {
	char name[NAME_SIZE_BYTES];
	bool declared;
	bool lend;
	uint32_t reserve_slots_count;
	struct choice_pool *choice; /* endpoints in our data centre */
	void *queue;		    /* of the admission policy */
	struct pool_state *state;
	uint32_t request_count; /* requests in progress */
	int64_t demand_us;     /* service time of the requests of this window */
	bool in_lenders;       /* is in router.lenders */
	bool in_waiting_pools; /* is in router.waiting_pools */
};

struct router_service {
	struct decl_service decl;
	struct router_member *member;
	struct router_pool *pool;
	bool declared;
	int64_t service_us; /* smoothed service time; 0: not measured */
	uint32_t request_count;
};

/* Another entry instance on the roster. */
struct router_peer {
	char name[NAME_SIZE_BYTES];
	char address[ADDRESS_SIZE_BYTES]; /* of its listener for callers */
	bool remote;			  /* in another data centre */
	uint32_t state;			  /* enum peer_state */
	int64_t last_heartbeat_us;
	/* Smoothed latency of a relay above the service time; 0: unknown. */
	int64_t relay_overhead_us;
	GHashTable *loads; /* pool -> struct known_load */
};

/* A request in progress. */
struct router_request {
	/* First, so that an item of the admission policy can be cast back. */
	struct admission_item item;
	struct router_service *service;
	struct router_pool *pool;
	struct router_member *member;
	enum router_phase phase;
	int64_t queued_us; /* when it was put into the queue */
	bool relayed;	   /* came from another entry instance */
	char key[KEY_SIZE_BYTES];
	bool deadline_watched; /* by the router, while no attempt runs */
	/* The latest attempt: */
	uint32_t attempt;		/* 1 for the first */
	char endpoint[NAME_SIZE_BYTES]; /* or the peer, if relayed */
	bool attempt_relayed;
	/* Endpoints of earlier attempts, which a retry avoids. */
	char tried[ROUTER_RETRY_MAX_COUNT][NAME_SIZE_BYTES];
	uint32_t retry_count;
	uint32_t relay_count; /* attempts that were relayed */
	/* Of all attempts that have ended: */
	enum verdict verdict; /* VERDICT_NONE before the first */
	bool cancelled;
	enum refusal cancel_cause;
};

/* Published as the wait of a pool without slots; peers relay nothing to it. */
#define ROUTER_WAIT_MAX_US (3600 * USEC_PER_SEC)

struct router {
	struct kernel *kernel;
	const struct admission_ops *admission;
	const struct choice_ops *choice;
	const struct retry_ops *retry;
	void *retry_state;
	GHashTable *requests;  /* request id -> struct router_request */
	GArray *deadlines;     /* of router_deadline.c */
	GHashTable *members;   /* name -> struct router_member */
	GHashTable *pools;     /* name -> struct router_pool */
	GHashTable *services;  /* name -> struct router_service */
	GHashTable *prefixes;  /* path prefix -> struct router_service */
	GHashTable *endpoints; /* name -> struct choice_endpoint */
	GHashTable *peers;     /* name -> struct router_peer */
	/* Of struct router_pool; each pool is checked again when it is used: */
	GQueue *lenders;       /* pools with slots to lend */
	GQueue *waiting_pools; /* pools with queued requests */
	int64_t demand_window_end_us;
	bool draining;
	bool drained;
	int64_t drain_deadline_us;
};

/* router_index.c: look-up tables that are built from the configuration. */
void router_index_init(struct router *router);
void router_index_free(struct router *router);
void router_index_rebuild(struct router *router);

/* The service with the longest path prefix of a request path, or NULL. */
struct router_service *router_index_find_service(const struct router *router,
						 const char *path);

/* Slots of a pool in our data centre, allowed and free. */
struct admission_load router_pool_load(const struct router *router,
				       const struct router_pool *pool);

/* Writes the queue length and the expected wait into the endpoint table. */
void router_pool_publish(const struct router *router, struct router_pool *pool);

/* router_dispatch.c: starts attempts and handles their results. */
void router_dispatch(struct router *router, struct router_pool *pool);

/* Uses free slots of the pool, first for its own queue, then to lend. */
void router_slots_changed(struct router *router, struct router_pool *pool);
void router_attempt_done(struct router *router, const struct event *event);
void router_cancel(struct router *router, struct router_request *req,
		   enum refusal cause);

/* router_lend.c: lends idle slots of a pool to short requests of others. */
void router_lend_add_lender(struct router *router, struct router_pool *pool);
struct router_pool *router_lend_find_lender(struct router *router,
					    const struct router_request *req);
void router_lend_add_waiting(struct router *router, struct router_pool *pool);
void router_lend_to_waiting(struct router *router, struct router_pool *lender);
void router_lend_remove_pool(struct router *router, struct router_pool *pool);

/* router_relay.c: relays requests to entry instances of other data centres. */
void router_relay_init(struct router *router);
void router_relay_free(struct router *router);
void router_relay_rebuild(struct router *router);
void router_relay_heartbeat(struct router *router,
			    const struct event_peer *event);
void router_relay_peer_state(struct router *router,
			     const struct event_peer *event);
struct router_peer *router_relay_find_peer(struct router *router,
					   const struct router_request *req);
void router_relay_sent(struct router_peer *peer,
		       const struct router_request *req);
void router_relay_done(struct router *router, const struct router_request *req,
		       const struct event_attempt *attempt);

/* router_reply.c: ends requests with a refusal or an answer. */
void router_refuse_new(struct router *router, uint64_t request_id,
		       enum refusal refusal);

/* These free the request. */
void router_refuse(struct router *router, struct router_request *req,
		   enum refusal refusal);
void router_refuse_claim(struct router *router, struct router_request *req,
			 const struct event_claim *claim);
void router_answer(struct router *router, struct router_request *req,
		   const struct event *done);

/* Emits EVENT_DRAINED once no request is left. */
void router_check_drained(struct router *router);

/* router_request.c: requests in progress. */
struct router_request *router_request_new(struct router *router,
					  const struct request *request,
					  struct router_service *service);
struct router_request *router_request_find(const struct router *router,
					   uint64_t request_id);
void router_request_free(struct router *router, struct router_request *req);

/* The router watches the deadline of a request while no attempt runs. */
void router_request_watch_deadline(struct router *router,
				   struct router_request *req);
void router_request_unwatch_deadline(struct router_request *req);

/* router_deadline.c: a heap of the deadlines that the router watches. */
GArray *router_deadlines_new(void);
void router_deadline_add(struct router *router,
			 const struct router_request *req);

/* Removes and returns a request whose watched deadline has passed, or NULL. */
struct router_request *router_deadline_pop_passed(struct router *router);

/* Asks the kernel to wake the router at the earliest deadline. */
void router_deadline_arm(struct router *router);

#endif
