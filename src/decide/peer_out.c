#include "decide/peer_out.h"

struct peer_msg *peer_out_new(struct kernel *kernel, enum peer_msg_kind kind)
{
	const struct settings *settings = kernel_settings(kernel);
	struct peer_msg *msg = peer_msg_new(kind);

	name_copy(msg->from, sizeof(msg->from), settings->entry);
	name_copy(msg->dc, sizeof(msg->dc), settings->dc);
	msg->incarnation = kernel_incarnation(kernel);
	msg->applied_offset = fleet_offset(kernel_fleet(kernel));
	msg->hlc = timeline_next_hlc(kernel_timeline(kernel));
	return msg;
}

void peer_out_send(struct kernel *kernel, const char *peer,
		   struct peer_msg *msg)
{
	struct event event = { .type = EVENT_PEER_SEND };

	name_copy(event.peer.peer, sizeof(event.peer.peer), peer);
	event.peer.msg = msg;
	kernel_emit(kernel, &event);
}
