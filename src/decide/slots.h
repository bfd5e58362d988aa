#ifndef DECIDE_SLOTS_H
#define DECIDE_SLOTS_H

/* State of the slots plug-in; slots.c keeps the shares, slots_loan.c loans. */

#include "kernel/kernel.h"

/* Messages without an answer are sent again at this interval. */
#define SLOTS_RESEND_US (500 * USEC_PER_MSEC)

/* Another entry instance of our data centre. */
struct local_peer {
	char name[NAME_SIZE_BYTES];
	uint64_t incarnation;
	uint64_t join_offset;
	uint64_t acked_offset; /* it has settled what was applied so far */
	uint64_t last_loan_id; /* of the loans that it granted to us */
};

/* Slots of an endpoint that have passed from one entry to another. */
struct loan {
	char peer[NAME_SIZE_BYTES]; /* borrower of a lent one, else lender */
	uint64_t incarnation;	    /* of the peer */
	uint64_t join_offset;	    /* of the peer; names its incarnation */
	uint64_t loan_id;
	uint32_t slots_count;
	bool acked;	      /* lent: the borrower has received it */
	bool returning;	      /* borrowed: no more used for new attempts */
	int64_t return_at_us; /* borrowed: when it has been idle for long */
};

struct slot_endpoint {
	char name[NAME_SIZE_BYTES];
	uint32_t slot_count;
	uint32_t share_count; /* of our own, before loans */
	GPtrArray *lent;      /* of struct loan */
	GPtrArray *borrowed;  /* of struct loan */
	GPtrArray *returned;  /* of struct loan, until the lender has booked */
};

struct pool_demand {
	int64_t next_ask_us;
	int64_t backoff_us;
	uint32_t turn;
};

struct slots {
	struct kernel *kernel;
	GHashTable *endpoints;	/* name -> struct slot_endpoint, of our dc */
	GPtrArray *peers;	/* of struct local_peer, by name */
	bool joined;		/* we are on the roster */
	uint64_t join_offset;	/* our own */
	uint64_t roster_offset; /* last change of our data centre's roster */
	bool confirmed;		/* the shares of this roster are in use */
	bool within_share;	/* what we use fits our share of this roster */
	int64_t hold_until_us;	/* ended entries may have requests running */
	bool ended_before_join; /* entries ended so before we joined */
	bool has_predecessor;	/* our earlier incarnation is on the roster */
	int64_t longest_timeout_us;
	/* After a pause, until the log was read up to its tail. */
	bool resyncing;
	uint32_t resync_answers_count; /* answers of the log still awaited */
	bool resync_asked;
	uint64_t resync_offset;
	bool draining;
	bool drained; /* nothing is in flight, and nothing will be */
	uint64_t last_loan_id;
	GHashTable *demands; /* pool -> struct pool_demand */
	int64_t demand_check_us;
	int64_t resend_us;
	int64_t return_us; /* earliest time at which a loan is due back */
};

struct slot_endpoint *slots_find_endpoint(struct slots *slots,
					  const char *name);
struct local_peer *slots_find_peer(const struct slots *slots, const char *name);

/*
 * The others of our data centre by the roster, of struct local_peer, with what
 * is known of them. Sets changed if they are not those that we know.
 */
GPtrArray *slots_read_peers(struct slots *slots, bool *changed);

/* Whether one that we know is not among the new ones. */
bool slots_any_peer_ended(const struct slots *slots, const GPtrArray *peers);

/* Sends again, after a while, what is not answered. */
void slots_schedule_resend(struct slots *slots);

/* In flight with us now. */
uint32_t slots_in_flight(const struct slots *slots,
			 const struct slot_endpoint *endpoint);
uint32_t loans_total(const GPtrArray *loans);

/* Writes the allowed number of slots and reports a change. */
void slots_update_allowed(struct slots *slots, struct slot_endpoint *endpoint);

void slots_trace(struct slots *slots, const char *endpoint, const char *format,
		 ...) G_GNUC_PRINTF(3, 4);

/* Takes a message for the lending of slots. */
void loans_handle_msg(struct slots *slots, const struct peer_msg *msg);

/*
 * What is in flight at an endpoint has changed: notes which loans are idle and
 * sends back those that may go.
 */
void loans_update(struct slots *slots, struct slot_endpoint *endpoint);
void loans_update_all(struct slots *slots);

/* The roster has changed: loans with those who are gone end. */
void loans_roster_changed(struct slots *slots);

/* Frees what was lent to entries that ended, once their requests have. */
void loans_release_ended(struct slots *slots);

/* Asks for slots where requests wait; sets the time of the next check. */
void loans_check_demand(struct slots *slots);

/* Sends again what is not answered. */
void loans_resend(struct slots *slots);

#endif
