#include "core/peer_msg.h"

static const char *const kind_names[PEER_MSG_KIND_COUNT] = {
	[PEER_MSG_UNKNOWN] = "unknown",
	[PEER_MSG_HEARTBEAT] = "heartbeat",
	[PEER_MSG_SHARE_ACK] = "share_ack",
	[PEER_MSG_LOAN_ASK] = "loan_ask",
	[PEER_MSG_LOAN_GRANT] = "loan_grant",
	[PEER_MSG_LOAN_RETURN] = "loan_return",
	[PEER_MSG_LOAN_ACK] = "loan_ack",
	[PEER_MSG_STATE_REQUEST] = "state_ask",
	[PEER_MSG_STATE] = "state",
	[PEER_MSG_BYE] = "bye",
};

struct peer_msg *peer_msg_new(enum peer_msg_kind kind)
{
	struct peer_msg *msg = g_new0(struct peer_msg, 1);

	msg->kind = kind;
	return msg;
}

void peer_msg_free(struct peer_msg *msg)
{
	if (!msg)
		return;
	if (msg->loads)
		g_array_unref(msg->loads);
	if (msg->state)
		g_bytes_unref(msg->state);
	g_free(msg);
}

const char *peer_msg_kind_name(enum peer_msg_kind kind)
{
	return kind < PEER_MSG_KIND_COUNT ? kind_names[kind] : "unknown";
}
