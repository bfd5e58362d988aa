/* State from a peer, for a process that can't get it from the log. */

#include <string.h>

#include "decide/snapshot.h"
#include "kernel/klog.h"

#define ASK_EVERY_US (1 * USEC_PER_SEC)

/* The log client gets some time to report whether it reaches the log. */
void snapshot_peer_start(struct snapshot *snapshot)
{
	snapshot->ask_at_us = kernel_now_us(snapshot->kernel) + ASK_EVERY_US;
}

void snapshot_peer_clear(struct snapshot *snapshot)
{
	g_clear_pointer(&snapshot->cached, g_bytes_unref);
}

static struct event message(struct snapshot *snapshot, enum peer_msg_kind kind,
			    const char *to)
{
	const struct settings *settings = kernel_settings(snapshot->kernel);
	struct event event = { .type = EVENT_PEER_SEND };
	struct peer_msg *msg = peer_msg_new(kind);

	name_copy(msg->from, sizeof(msg->from), settings->entry);
	name_copy(msg->dc, sizeof(msg->dc), settings->dc);
	msg->incarnation = kernel_incarnation(snapshot->kernel);
	msg->applied_offset = fleet_offset(kernel_fleet(snapshot->kernel));
	event.peer.msg = msg;
	name_copy(event.peer.peer, sizeof(event.peer.peer), to);
	return event;
}

static bool needs_state(const struct snapshot *snapshot)
{
	return snapshot_has_gap(snapshot) ||
	       (!snapshot->log_reachable &&
		!fleet_offset(kernel_fleet(snapshot->kernel)));
}

/* Peers of our data centre in turn; NULL if the settings name none. */
static const char *next_peer(struct snapshot *snapshot)
{
	const struct settings *settings = kernel_settings(snapshot->kernel);

	for (guint i = 0; i < settings->peers->len; i++) {
		const struct settings_peer *peer = &g_array_index(
			settings->peers, struct settings_peer,
			snapshot->next_peer++ % settings->peers->len);

		if (!strcmp(peer->dc, settings->dc) &&
		    strcmp(peer->name, settings->entry) != 0)
			return peer->name;
	}
	return NULL;
}

void snapshot_peer_advance(struct snapshot *snapshot)
{
	int64_t now_us = kernel_now_us(snapshot->kernel);
	struct event event;
	const char *peer;

	if (!needs_state(snapshot))
		return;
	if (now_us >= snapshot->ask_at_us) {
		peer = next_peer(snapshot);
		if (!peer)
			return;
		snapshot->ask_at_us = now_us + ASK_EVERY_US;
		event = message(snapshot, PEER_MSG_STATE_ASK, peer);
		kernel_emit(snapshot->kernel, &event);
	}
	kernel_wake_at(snapshot->kernel, snapshot->ask_at_us);
}

static void answer(struct snapshot *snapshot, const char *to)
{
	const struct fleet *fleet = kernel_fleet(snapshot->kernel);
	struct event event;

	if (!fleet_offset(fleet) || snapshot_has_gap(snapshot))
		return;
	if (!snapshot->cached ||
	    snapshot->cached_offset != fleet_offset(fleet)) {
		snapshot_peer_clear(snapshot);
		snapshot->cached = snapshot->ops->encode(fleet);
		snapshot->cached_offset = fleet_offset(fleet);
	}
	event = message(snapshot, PEER_MSG_STATE, to);
	event.peer.msg->state = g_bytes_ref(snapshot->cached);
	kernel_emit(snapshot->kernel, &event);
}

void snapshot_peer_received(struct snapshot *snapshot,
			    const struct event_peer *received)
{
	const struct peer_msg *msg = received->msg;

	if (msg->kind == PEER_MSG_STATE_ASK)
		answer(snapshot, msg->from);
	else if (msg->kind == PEER_MSG_STATE && needs_state(snapshot) &&
		 snapshot_install(snapshot, msg->state))
		klog_info(SNAPSHOT_LOG_PREFIX,
			  "state at %" G_GUINT64_FORMAT " taken from %s",
			  fleet_offset(kernel_fleet(snapshot->kernel)),
			  msg->from);
}
