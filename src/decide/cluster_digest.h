#ifndef DECIDE_CLUSTER_DIGEST_H
#define DECIDE_CLUSTER_DIGEST_H

/* Loads of pools for heartbeats, within a budget of bytes. */

#include "kernel/kernel.h"

/* What was last sent of each pool to one group of receivers. */
struct digest_sender;

struct digest_sender *digest_sender_new(void);
void digest_sender_free(struct digest_sender *sender);

/*
 * The pools that changed or were not sent for long, at most max_count, the
 * one that was sent longest ago first. NULL if there are none. Caller frees.
 */
GArray *digest_sender_next(struct digest_sender *sender, struct kernel *kernel,
			   uint32_t max_count);

/* Upper bound of the size of an encoded heartbeat on the link. */
uint32_t heartbeat_size_bytes(const struct peer_msg *msg);

/* How often heartbeats are sent, and how much they may carry. */
struct digest_plan {
	int64_t remote_round_us; /* time to reach every remote entry once */
	uint32_t remote_count;	 /* remote entries reached in one round */
	uint32_t load_count;	 /* loads in one heartbeat */
};

/*
 * local_count: other entries of the data centre. remote_count: entries of other
 * data centres. Keeps what the sender of digests sends within the budget.
 */
struct digest_plan digest_plan(uint32_t local_count, uint32_t remote_count);

#endif
