#ifndef DECIDE_PROPOSER_QUEUE_H
#define DECIDE_PROPOSER_QUEUE_H

/* The proposer's queue of records, and the rate limit of its appends. */

#include "kernel/kernel.h"

#define QUEUE_MAX_COUNT 1024
#define BATCH_MAX_COUNT 64

struct proposal {
	struct record *record; /* owned */
	int64_t queued_us;
	int64_t expires_us; /* may be dropped from then on */
	uint64_t offset;    /* in the log, once an append has succeeded */
	bool seen;	    /* read back from the log */
};

struct proposal *proposal_new(struct record *record, int64_t now_us);
void proposal_free(gpointer data);

/* Why a record can no longer be accepted and must not be sent, or NULL. */
const char *proposal_stale_reason(const struct proposal *proposal,
				  const struct fleet *fleet, int64_t now_us);

/* Empties an array of proposals without freeing them. */
void proposals_steal_all(GPtrArray *proposals);
bool proposals_all_seen(const GPtrArray *proposals);
void proposals_mark_seen(GPtrArray *proposals, const struct record_id *id);

/* Sets consecutive offsets, as one append has them in the log. */
void proposals_set_offsets(GPtrArray *proposals, uint64_t first_offset);

/* Frees those that were read back or lie at an offset up to the given one. */
void proposals_remove_read(GPtrArray *proposals, uint64_t offset);

/* Claims have a queue of their own, as they are sent more often. */
struct proposal_queue {
	GQueue claims; /* of struct proposal */
	GQueue others;
	int64_t next_expiry_us; /* no proposal expires before */
};

uint32_t proposal_queue_count(const struct proposal_queue *queue);

/* Whether the queue has an entry_join, which must precede other records. */
bool proposal_queue_has_join(const struct proposal_queue *queue);
void proposal_queue_add(struct proposal_queue *queue,
			struct proposal *proposal);

/* Returns a batch to the head of the queue and empties it. */
void proposal_queue_return(struct proposal_queue *queue, GPtrArray *batch);

/*
 * Removes and returns an expired proposal. Returns NULL and sets next_expiry_us
 * if there is none.
 */
struct proposal *proposal_queue_take_expired(struct proposal_queue *queue,
					     int64_t now_us);
void proposal_queue_clear(struct proposal_queue *queue);

/*
 * Token bucket of appends (generic cell rate algorithm). The level is kept as
 * the time at which the bucket is full again.
 */
struct append_rate {
	int64_t full_at_us;
	int64_t interval_us; /* between appends in the long run */
	int64_t burst_us;    /* depth of the bucket, as a time */
};

/* Sets the rate by the number of entry instances on the roster. */
void append_rate_set(struct append_rate *rate, uint32_t entry_count);

/* Earliest time of the next append. */
int64_t append_rate_next_us(const struct append_rate *rate);
void append_rate_take(struct append_rate *rate, int64_t now_us);

/* Takes all tokens, so that an outage is not followed by a burst. */
void append_rate_empty(struct append_rate *rate, int64_t now_us);

#endif
