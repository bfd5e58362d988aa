#ifndef POLICY_ADMISSION_H
#define POLICY_ADMISSION_H

/* Admission control and queueing of requests that wait for a slot of a pool. */

#include <glib.h>

#include "core/types.h"

/* Limit on the queued and held requests of one member in one pool. */
#define ADMISSION_MEMBER_MAX_COUNT 256

/* Service time assumed for a service that has no measured one yet. */
#define ADMISSION_DEFAULT_COST_US (10 * USEC_PER_MSEC)

/* One request. The router sets the fields up to deadline_us. */
struct admission_item {
	uint64_t request_id;
	const char *member; /* outlives the item */
	uint32_t weight;    /* of the member */
	enum urgency urgency;
	int64_t cost_us; /* service time; see ADMISSION_DEFAULT_COST_US */
	int64_t deadline_us;
	/* Set by the policy. */
	void *flow;
	GList link;
	bool queued;
	bool held; /* counts against the limit, but may not be dispatched */
};

/* Current slots of the pool. */
struct admission_load {
	int64_t now_us;
	uint32_t slot_count; /* slots that this entry instance may use */
	uint32_t free_count; /* those without an attempt in flight */
};

enum admission_result {
	ADMISSION_QUEUED,
	ADMISSION_FULL,
	ADMISSION_TOO_LATE, /* expected to miss its deadline */
};

/* Returns whether an item can be dispatched now. */
typedef bool admission_filter(const struct admission_item *item, void *data);

struct admission_ops {
	/* Creates the queue of one pool. */
	void *(*create)(void);
	void (*free)(void *queue);
	/*
	 * Queues an item or refuses it. An item that is evicted to make room
	 * is stored in dropped, which is NULL otherwise.
	 */
	enum admission_result (*enqueue)(void *queue,
					 struct admission_item *item,
					 const struct admission_load *load,
					 struct admission_item **dropped);
	/* Returns the next item that the filter accepts, or NULL. */
	struct admission_item *(*peek)(void *queue, admission_filter *accept,
				       void *data);
	/* Removes an item from the queue for dispatch. */
	void (*take)(void *queue, struct admission_item *item);
	/* Keeps a queued item from dispatch until requeue(). */
	void (*hold)(void *queue, struct admission_item *item);
	/* Requeues a held or taken item at the front. */
	void (*requeue)(void *queue, struct admission_item *item);
	/* Removes a queued or held item that will not be dispatched. */
	void (*remove)(void *queue, struct admission_item *item);
	/* Number of queued items, without held ones. */
	uint32_t (*count)(const void *queue);
	/* Expected wait of a new request: queued service time per slot. */
	int64_t (*wait_us)(const void *queue,
			   const struct admission_load *load);
};

#endif
