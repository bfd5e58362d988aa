#ifndef DECIDE_CLUSTER_PEERS_H
#define DECIDE_CLUSTER_PEERS_H

/* What an entry instance knows of the others on the roster. */

#include "kernel/kernel.h"

struct peer {
	char name[NAME_SIZE_BYTES];
	char dc[NAME_SIZE_BYTES];
	uint64_t incarnation;
	enum peer_state state;
	int64_t added_us;
	int64_t last_heard_us; /* 0: never */
	int64_t gone_since_us; /* silent and off the list; 0: no */
	bool was_listed;       /* was on the platform's list */
	bool delisted;	       /* was on it, and was not after it fell silent */
	bool stopped;	       /* has said that it stops */
};

struct peers;

struct peers *peers_new(struct kernel *kernel);
void peers_free(struct peers *peers);

/* Takes up the roster. */
void peers_sync_roster(struct peers *peers);

/* The others of our data centre, and those of all others, by name. */
const GPtrArray *peers_local(const struct peers *peers);
const GPtrArray *peers_remote(const struct peers *peers);

void peers_handle_msg(struct peers *peers, const struct peer_msg *msg);

/* items: of struct list_item. An empty list is not believed. */
void peers_handle_list(struct peers *peers, const GArray *items);

/* Sets the states by the time since each peer was heard. */
void peers_update_states(struct peers *peers, int64_t remote_round_us);

/* After a pause, silence says nothing about the others. */
void peers_restart_timeouts(struct peers *peers);

/* Whether we are the lowest live name of our data centre. */
bool peers_is_lowest_name(const struct peers *peers);

/*
 * A peer that is dead and off the list, and that we should report: the lowest
 * live name does, and each further one after another delay. NULL if none.
 */
const struct peer *peers_find_gone(const struct peers *peers,
				   int64_t report_delay_us);

#endif
