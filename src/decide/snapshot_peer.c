/* State transfer from a peer, if a process can't get its state from the log. */

#include <string.h>

#include "decide/peer_out.h"
#include "decide/snapshot.h"
#include "kernel/klog.h"

#define REQUEST_INTERVAL_US (1 * USEC_PER_SEC)

/* Gives the log client time to report whether the log is reachable. */
void snapshot_peer_start(struct snapshot *snapshot)
{
	snapshot->next_request_us =
		kernel_now_us(snapshot->kernel) + REQUEST_INTERVAL_US;
}

void snapshot_peer_clear(struct snapshot *snapshot)
{
	g_clear_pointer(&snapshot->cached_state, g_bytes_unref);
}

static bool needs_state(const struct snapshot *snapshot)
{
	return snapshot_has_gap(snapshot) ||
	       (!snapshot->log_reachable &&
		!fleet_offset(kernel_fleet(snapshot->kernel)));
}

/* The next peer of our data centre, round robin; NULL if there is none. */
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
	const char *peer;

	if (!needs_state(snapshot))
		return;
	if (now_us >= snapshot->next_request_us) {
		peer = next_peer(snapshot);
		if (!peer)
			return;
		snapshot->next_request_us = now_us + REQUEST_INTERVAL_US;
		peer_out_send(
			snapshot->kernel, peer,
			peer_out_new(snapshot->kernel, PEER_MSG_STATE_REQUEST));
	}
	kernel_wake_at(snapshot->kernel, snapshot->next_request_us);
}

static void send_state(struct snapshot *snapshot, const char *to)
{
	const struct fleet *fleet = kernel_fleet(snapshot->kernel);
	struct peer_msg *msg;

	if (!fleet_offset(fleet) || snapshot_has_gap(snapshot))
		return;
	if (!snapshot->cached_state ||
	    snapshot->cached_state_offset != fleet_offset(fleet)) {
		snapshot_peer_clear(snapshot);
		snapshot->cached_state = snapshot->codec->encode(fleet);
		snapshot->cached_state_offset = fleet_offset(fleet);
	}
	msg = peer_out_new(snapshot->kernel, PEER_MSG_STATE);
	msg->state = g_bytes_ref(snapshot->cached_state);
	peer_out_send(snapshot->kernel, to, msg);
}

void snapshot_peer_on_received(struct snapshot *snapshot,
			       const struct event_peer *received)
{
	const struct peer_msg *msg = received->msg;

	if (msg->kind == PEER_MSG_STATE_REQUEST)
		send_state(snapshot, msg->from);
	else if (msg->kind == PEER_MSG_STATE && needs_state(snapshot) &&
		 snapshot_install(snapshot, msg->state))
		klog_info(SNAPSHOT_LOG_PREFIX,
			  "state at offset %" G_GUINT64_FORMAT
			  " received from %s",
			  fleet_offset(kernel_fleet(snapshot->kernel)),
			  msg->from);
}
