#ifndef JOBS_QUEUES_H
#define JOBS_QUEUES_H

/* The configuration of queues and of the pools that run them. */

#include <glib.h>

#include "jobs/members.h"

/* Sums and small multiples of such durations fit into 64 bits. */
#define QUEUE_DURATION_MAX_US (INT64_C(1) << 53)
#define SLACK_FACTOR_MAX 1000.

/*
 * What a queue determines about its jobs. It is stored with each job, so that
 * it outlives a route that a later configuration removes.
 */
struct queue_policy {
	uint32_t priority;     /* 0 is the highest */
	uint32_t attempts_max; /* of one work item; 0: no limit */
	/* The objective is target_us + slack * time of the critical path. */
	double slack_factor;
	int64_t target_us;
	/* Items run only on workers for which the platform gives a ticket. */
	bool needs_advice;
	int64_t advice_decision_us; /* time of one answer */
	int64_t advice_period_us;   /* extra time per worker asked about */
};

struct queue {
	char name[NAME_SIZE_BYTES];
	char host[256];
	char *prefix; /* path prefix; ends with '/' */
	char pool[NAME_SIZE_BYTES];
	bool is_public; /* calls need no key */
	int64_t timeout_us;
	struct queue_policy policy;
};

struct pool {
	char name[NAME_SIZE_BYTES];
	bool has_preconditions; /* its workers refuse items that do not fit */
	bool standby;		/* its machines are switched off */
};

/* Refcounted with g_rc_box; immutable once it is shared. */
struct queues {
	uint64_t version;
	GPtrArray *queues; /* of struct queue */
	GPtrArray *pools;  /* of struct pool */
	/* Indexes, since a configuration may have thousands of routes. */
	GHashTable *by_name;	/* name -> struct queue */
	GHashTable *by_route;	/* host and prefix -> struct queue */
	GArray *prefix_lengths; /* distinct uint32_t, longest first */
	uint64_t body_max_bytes;
	struct members *members; /* owned; NULL: calls need no key */
};

struct queues *queues_new(void);
struct queues *queues_ref(struct queues *queues);
void queues_unref(struct queues *queues);

struct queue *queue_new(void);
void queue_free(struct queue *queue);

/* Whether the values are in range; they may come from the store. */
bool queue_policy_is_valid(const struct queue_policy *policy);

/* Takes ownership of a queue whose name, host and prefix are set. */
void queues_add_queue(struct queues *queues, struct queue *queue);
struct pool *queues_add_pool(struct queues *queues);

const struct queue *queues_find(const struct queues *queues, const char *name);
const struct pool *queues_pool(const struct queues *queues, const char *name);

/*
 * Returns the queue of a host with the longest prefix of path, or NULL. Sets
 * rest to the part of path after the prefix.
 */
const struct queue *queues_route(const struct queues *queues, const char *host,
				 const char *path, const char **rest);

#endif
