#ifndef DECIDE_CLUSTER_DIGEST_H
#define DECIDE_CLUSTER_DIGEST_H

/*
 * Load digests: the loads of pools that heartbeats carry, chosen to stay within
 * a byte budget.
 */

#include "kernel/kernel.h"

/* The load of each pool that one group of receivers was last sent. */
struct digest_sender;

struct digest_sender *digest_sender_new(void);
void digest_sender_free(struct digest_sender *sender);

/*
 * Returns the loads (struct peer_pool_load) of at most max_count pools that
 * have changed or are due for a resend, least recently sent first, and counts
 * them as sent. NULL if there are none. Caller frees.
 */
GArray *digest_sender_next(struct digest_sender *sender, struct kernel *kernel,
			   uint32_t max_count);

/* Upper bound of the size of a heartbeat on the wire. */
uint32_t heartbeat_size_bytes(const struct peer_msg *msg);

/* How often remote heartbeats are sent, and how many loads each carries. */
struct digest_plan {
	int64_t remote_round_us; /* one heartbeat to each remote entry */
	uint32_t remote_count;	 /* remote entries in one round */
	uint32_t load_count;	 /* limit of loads in one heartbeat */
};

/*
 * Plans for the entry that also sends to other data centres, so that it stays
 * within its byte budget. local_count: other entries of its data centre.
 * remote_count: entries of all other data centres.
 */
struct digest_plan digest_plan(uint32_t local_count, uint32_t remote_count);

#endif
