#ifndef JOBS_QUEUES_H
#define JOBS_QUEUES_H

/* The configuration of queues and of the pools that run them. */

#include <glib.h>

#include "core/types.h"

struct queue {
	char name[NAME_SIZE_BYTES];
	char host[256];
	char *prefix; /* of paths; ends with '/' */
	char pool[NAME_SIZE_BYTES];
	uint32_t priority;     /* 0 goes first */
	uint32_t attempts_max; /* of one work item; 0: no bound */
	double slack;	       /* objective, in lengths of the longest chain */
	int64_t target_us;     /* added to the objective */
	int64_t timeout_us;
	/* Only workers that the platform advises may run it, with a ticket. */
	bool needs_advice;
	int64_t advice_decision_us; /* of one answer */
	int64_t advice_period_us;   /* of each worker in it, besides */
};

struct pool {
	char name[NAME_SIZE_BYTES];
	bool guarded; /* its workers refuse what does not fit */
	bool standby; /* its machines are off */
};

/* Refcounted with g_rc_box; immutable once it is shared. */
struct queues {
	uint64_t version;
	GPtrArray *queues; /* of struct queue */
	GPtrArray *pools;  /* of struct pool */
	/* Configurations may have thousands of routes. */
	GHashTable *by_name;	/* name -> struct queue */
	GHashTable *by_route;	/* host and prefix -> struct queue */
	GArray *prefix_lengths; /* uint32_t, each once, longest first */
	uint64_t body_max_bytes;
};

struct queues *queues_new(void);
struct queues *queues_ref(struct queues *queues);
void queues_unref(struct queues *queues);

struct queue *queue_new(void);
void queue_free(struct queue *queue);

/* Takes over a queue with its name, host and prefix. */
void queues_add_queue(struct queues *queues, struct queue *queue);
struct pool *queues_add_pool(struct queues *queues);

const struct queue *queues_find(const struct queues *queues, const char *name);
const struct pool *queues_pool(const struct queues *queues, const char *name);

/*
 * The queue of the longest prefix that the path begins with, or NULL. rest is
 * set to what follows the prefix.
 */
const struct queue *queues_route(const struct queues *queues, const char *host,
				 const char *path, const char **rest);

#endif
