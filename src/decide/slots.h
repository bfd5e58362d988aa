#ifndef DECIDE_SLOTS_H
#define DECIDE_SLOTS_H

/* Internals of the slots plug-in. */

#include "kernel/kernel.h"

/* Messages without an answer are sent again at this interval. */
#define SLOTS_RESEND_US (500 * USEC_PER_MSEC)

/* Another entry instance of our data centre. */
struct local_peer {
	char name[NAME_SIZE_BYTES];
	uint64_t incarnation;
	uint64_t join_offset;
	uint64_t acked_offset; /* latest at which it was within its share */
	uint64_t last_loan_id; /* highest id of its grants to us */
};

/* Slots of an endpoint that one entry instance lends to another. */
struct loan {
	char peer[NAME_SIZE_BYTES]; /* lent: the borrower, else the lender */
	uint64_t incarnation;	    /* of the peer */
	uint64_t join_offset;	    /* of this incarnation of the peer */
	uint64_t loan_id;
	uint32_t slots_count;
	bool acked;	      /* lent: the borrower has received it */
	bool returning;	      /* borrowed: not used for new attempts */
	int64_t return_at_us; /* borrowed: returned if it is idle until then */
};

struct slot_endpoint {
	char name[NAME_SIZE_BYTES];
	uint32_t slot_count;
	uint32_t share_count; /* slots that we own, lent ones included */
	GPtrArray *lent;      /* of struct loan */
	GPtrArray *borrowed;  /* of struct loan */
	GPtrArray *returned;  /* of struct loan, not yet acked by the lender */
};

/* When we ask peers for slots of one pool. */
struct pool_demand {
	int64_t next_ask_us;
	int64_t backoff_us;
	uint32_t turn;
};

struct slots {
	struct kernel *kernel;
	GHashTable *endpoints; /* name -> struct slot_endpoint, of our dc */
	GPtrArray *peers;      /* of struct local_peer, by name */
	bool joined;	       /* we are on the roster */
	uint64_t join_offset;  /* our own */
	/* Last change of our data centre's roster. */
	uint64_t roster_offset;
	bool confirmed;	   /* acked by all peers: our whole share is in use */
	bool within_share; /* what we use fits our share of this roster */
	/* Until then, requests of entries that ended may still run. */
	int64_t hold_until_us;
	/* Entries may have ended, with requests running, before we joined. */
	bool ended_before_join;
	bool has_predecessor; /* our earlier incarnation is on the roster */
	int64_t longest_timeout_us;
	/* After a pause, no new attempts until the log was read to its tail. */
	bool resyncing;
	uint32_t resync_answers_count; /* answers of the log still awaited */
	bool resync_asked;	       /* EVENT_LOG_QUERY was delivered */
	uint64_t resync_offset;	       /* the log's tail */
	bool draining;
	bool drained;	       /* nothing is in flight, nor will be */
	uint64_t last_loan_id; /* of our own grants */
	GHashTable *demands;   /* pool -> struct pool_demand */
	int64_t demand_check_us;
	int64_t resend_us;
	int64_t return_us; /* earliest return_at_us of the loans */
};

struct slot_endpoint *slots_find_endpoint(struct slots *slots,
					  const char *name);
struct local_peer *slots_find_peer(const struct slots *slots, const char *name);

/*
 * The peers in our data centre by the present roster, of struct local_peer.
 * Those in slots->peers keep their state. Sets changed if the sets differ.
 */
GPtrArray *slots_read_peers(struct slots *slots, bool *changed);

/* Whether a peer in slots->peers is not among the new ones. */
bool slots_any_peer_ended(const struct slots *slots, const GPtrArray *peers);

/* Schedules the next resend of messages without an answer. */
void slots_schedule_resend(struct slots *slots);

/* Attempts of ours that are in flight. */
uint32_t slots_in_flight(const struct slots *slots,
			 const struct slot_endpoint *endpoint);

/* Number of slots in an array of struct loan. */
uint32_t loans_total(const GPtrArray *loans);

/* Writes the allowed number of slots and reports a change. */
void slots_update_allowed(struct slots *slots, struct slot_endpoint *endpoint);

void slots_trace(struct slots *slots, const char *endpoint, const char *format,
		 ...) G_GNUC_PRINTF(3, 4);

/* slots_loan.c: loans of slots. Handles the loan_* kinds of messages. */
void loans_handle_msg(struct slots *slots, const struct peer_msg *msg);

/*
 * Called when the number in flight at an endpoint has changed: updates which
 * borrowed slots are idle, and returns those that are due and not in use.
 */
void loans_update(struct slots *slots, struct slot_endpoint *endpoint);
void loans_update_all(struct slots *slots);

/* Ends the loans from entries that ended, and starts to return the others. */
void loans_roster_changed(struct slots *slots);

/* Takes back slots lent to entries that ended; call it after the hold. */
void loans_release_ended(struct slots *slots);

/* Asks peers for slots where requests wait, and sets the next check. */
void loans_check_demand(struct slots *slots);

/* Sends grants and returns again that are not acked. */
void loans_resend(struct slots *slots);

#endif
