#ifndef POLICY_ADMISSION_H
#define POLICY_ADMISSION_H

/* Admission and order of the requests that wait for a slot of one pool. */

#include <glib.h>

#include "core/types.h"

/* Queued and held requests of one member in one pool. */
#define ADMISSION_MEMBER_MAX_COUNT 256

/* Service time that is assumed until one was measured. */
#define ADMISSION_COST_US (10 * USEC_PER_MSEC)

/* One request; the first part is set by the router. */
struct admission_item {
	uint64_t request_id;
	const char *member; /* outlives the item */
	uint32_t weight;    /* of the member */
	enum urgency urgency;
	int64_t cost_us; /* measured service time of such requests */
	int64_t deadline_us;
	/* Set by the policy: */
	void *flow;
	GList link;
	bool queued;
	bool held; /* counted, but not to be dispatched yet */
};

/* What the pool offers now. */
struct admission_load {
	int64_t now_us;
	uint32_t slot_count; /* slots that we may use */
	uint32_t free_count; /* those with no attempt */
};

enum admission_answer {
	ADMISSION_QUEUED,
	ADMISSION_FULL,
	ADMISSION_TOO_LATE, /* would not end before its deadline */
};

/* Whether an item can be dispatched now. */
typedef bool admission_filter(const struct admission_item *item, void *data);

struct admission_ops {
	/* The queue of one pool. */
	void *(*create)(void);
	void (*free)(void *queue);
	/*
	 * Queues an item or refuses it. An item that gives way to it is taken
	 * out of the queue and set in dropped, which is NULL otherwise.
	 */
	enum admission_answer (*offer)(void *queue, struct admission_item *item,
				       const struct admission_load *load,
				       struct admission_item **dropped);
	/* The next item to dispatch that the filter accepts, or NULL. */
	struct admission_item *(*peek)(void *queue, admission_filter *accept,
				       void *data);
	/* Takes an item out of the queue for dispatch. */
	void (*take)(void *queue, struct admission_item *item);
	/* Keeps a queued item from dispatch until put_back(). */
	void (*hold)(void *queue, struct admission_item *item);
	/* Queues a held or taken item in front of its like. */
	void (*put_back)(void *queue, struct admission_item *item);
	/* Forgets a queued or held item. */
	void (*remove)(void *queue, struct admission_item *item);
	/* Queued items, without held ones. */
	uint32_t (*count)(const void *queue);
	/* Expected wait of a new request, after the measured rate. */
	int64_t (*wait_us)(const void *queue,
			   const struct admission_load *load);
};

#endif
