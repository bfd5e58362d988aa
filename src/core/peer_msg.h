#ifndef CORE_PEER_MSG_H
#define CORE_PEER_MSG_H

/* Messages between entry instances as plain structs; codec/ encodes them. */

#include <glib.h>

#include "core/types.h"

enum peer_state {
	PEER_ALIVE,
	PEER_SUSPECT,
	PEER_DEAD,
};

enum peer_msg_kind {
	PEER_MSG_UNKNOWN, /* sent by a newer version; ignored */
	PEER_MSG_HEARTBEAT,
	PEER_MSG_SHARE_ACK, /* roster applied, attempts fit the new share */
	PEER_MSG_LOAN_ASK,
	PEER_MSG_LOAN_GRANT,
	PEER_MSG_LOAN_RETURN,
	PEER_MSG_LOAN_ACK,	/* a grant or (0 slots) a return was recorded */
	PEER_MSG_STATE_REQUEST, /* requests a snapshot */
	PEER_MSG_STATE,		/* a snapshot */
	PEER_MSG_BYE,		/* the sender is leaving */
	PEER_MSG_KIND_COUNT,
};

/* Load of one pool in the sender's data centre. */
struct peer_pool_load {
	char pool[NAME_SIZE_BYTES];
	uint32_t free_slots_count;
	uint32_t queued_count;
	int64_t wait_us;	 /* expected wait of a new request */
	int64_t demand_us_per_s; /* requested of the sender */
};

struct peer_msg {
	enum peer_msg_kind kind;
	char from[NAME_SIZE_BYTES];
	uint64_t incarnation; /* of the sender */
	char dc[NAME_SIZE_BYTES];
	uint64_t applied_offset;
	uint64_t hlc;  /* hybrid logical clock of the sender */
	GArray *loads; /* of struct peer_pool_load; heartbeat, may be NULL */
	char endpoint[NAME_SIZE_BYTES]; /* loan_* */
	uint64_t loan_id;     /* loan_*; unique for the lender's incarnation */
	uint32_t slots_count; /* loan_*; share_ack: 1 asks for a share_ack */
	/*
	 * share_ack: applied offset, 0 until the sender is within its share;
	 * loan_*: of the receiver, to detect an earlier incarnation
	 */
	uint64_t join_offset;
	GBytes *state; /* state: encoded snapshot */
};

struct peer_msg *peer_msg_new(enum peer_msg_kind kind);
void peer_msg_free(struct peer_msg *msg);

const char *peer_msg_kind_name(enum peer_msg_kind kind);

#endif
