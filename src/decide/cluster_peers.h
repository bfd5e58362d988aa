#ifndef DECIDE_CLUSTER_PEERS_H
#define DECIDE_CLUSTER_PEERS_H

/* Failure detection: tracks the other entry instances on the roster. */

#include "kernel/kernel.h"

struct peer {
	char name[NAME_SIZE_BYTES];
	char dc[NAME_SIZE_BYTES];
	uint64_t incarnation;
	enum peer_state state;
	int64_t added_us;      /* earliest start of its timeouts */
	int64_t last_heard_us; /* 0: never */
	int64_t gone_since_us; /* dead and delisted since; 0: it is not */
	bool was_listed;       /* some list of the platform had it */
	bool delisted;	       /* dead, and the latest list lacks it */
	bool stopped;	       /* it has sent a bye */
};

struct peers;

struct peers *peers_new(struct kernel *kernel);
void peers_free(struct peers *peers);

/* Adds and removes peers as the roster says. */
void peers_sync_roster(struct peers *peers);

/* The peers in our data centre and in all others, sorted by name. */
const GPtrArray *peers_local(const struct peers *peers);
const GPtrArray *peers_remote(const struct peers *peers);

void peers_handle_msg(struct peers *peers, const struct peer_msg *msg);

/* items: of struct instance_list_item. An empty list is ignored as a fault. */
void peers_handle_list(struct peers *peers, const GArray *items);

/* Sets the states by the time since each peer was last heard. */
void peers_update_states(struct peers *peers, int64_t remote_round_us);

/*
 * Restarts the timeouts of all peers after this process was paused, when it
 * could not have heard them.
 */
void peers_restart_timeouts(struct peers *peers);

/* Whether no live peer in our data centre has a lower name than we have. */
bool peers_is_lowest_name(const struct peers *peers);

/*
 * A peer that is dead and delisted and that we should report, or NULL. Live
 * entries of its data centre report before others, and lower names before
 * higher ones; each entry waits one delay for every entry before it.
 */
const struct peer *peers_find_gone(const struct peers *peers,
				   int64_t report_delay_us);

#endif
