/* Messages to and from other entry instances of the product's own interface. */

#include <string.h>

#include "codec/peer_codec.h"
#include "io/zmq_link.h"
#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "peer"
#define MESSAGE_MAX_BYTES (INT64_C(64) * 1024 * 1024) /* a full snapshot */
#define RECEIVED_MAX_COUNT 1024

struct peer_conn {
	char name[NAME_SIZE_BYTES];
	char address[ADDRESS_SIZE_BYTES];
	void *link_conn; /* NULL: it could not be opened */
};

struct peer_transport {
	struct kernel *kernel;
	struct zmq_link *link;
	GHashTable *conns; /* name -> struct peer_conn */
};

static void count(struct peer_transport *transport, const char *counter)
{
	counter_add(kernel_counters(transport->kernel), counter, 1);
}

static void conn_free(gpointer data)
{
	struct peer_conn *conn = data;

	zmq_link_disconnect(conn->link_conn);
	g_free(conn);
}

static void add_conn(struct peer_transport *transport, const char *name,
		     const char *address)
{
	struct peer_conn *conn = g_hash_table_lookup(transport->conns, name);

	if (!address[0] ||
	    !strcmp(name, kernel_settings(transport->kernel)->entry))
		return;
	if (conn && conn->link_conn && !strcmp(conn->address, address))
		return;
	conn = g_new0(struct peer_conn, 1);
	name_copy(conn->name, sizeof(conn->name), name);
	name_copy(conn->address, sizeof(conn->address), address);
	conn->link_conn = zmq_link_connect(transport->link, address);
	g_hash_table_replace(transport->conns, conn->name, conn);
}

static const struct settings_peer *
settings_peer(const struct peer_transport *transport, const char *name)
{
	const GArray *peers = kernel_settings(transport->kernel)->peers;

	for (guint i = 0; i < peers->len; i++) {
		const struct settings_peer *peer =
			&g_array_index(peers, struct settings_peer, i);

		if (!strcmp(peer->name, name))
			return peer;
	}
	return NULL;
}

static gboolean is_removed_peer(gpointer key, gpointer value, gpointer data)
{
	const struct peer_transport *transport = data;

	(void)value;
	return !fleet_entry(kernel_fleet(transport->kernel), key) &&
	       !settings_peer(transport, key);
}

/*
 * Connects to the entries of the roster, and to those of the settings that are
 * not in it: the roster's addresses are newer.
 */
static void update_conns(struct peer_transport *transport)
{
	const struct fleet *fleet = kernel_fleet(transport->kernel);
	const GPtrArray *entries = fleet_entries(fleet);
	const GArray *peers = kernel_settings(transport->kernel)->peers;

	g_hash_table_foreach_remove(transport->conns, is_removed_peer,
				    transport);
	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];

		add_conn(transport, entry->decl.name, entry->decl.peer_address);
	}
	for (guint i = 0; i < peers->len; i++) {
		const struct settings_peer *peer =
			&g_array_index(peers, struct settings_peer, i);

		if (!fleet_entry(fleet, peer->name))
			add_conn(transport, peer->name, peer->address);
	}
	counter_set(kernel_counters(transport->kernel), "peer_links",
		    g_hash_table_size(transport->conns));
}

static void send_to(struct peer_transport *transport,
		    const struct peer_conn *conn, GBytes *bytes)
{
	if (zmq_link_send(conn->link_conn, bytes)) {
		count(transport, "peer_sent_total");
		counter_add(kernel_counters(transport->kernel),
			    "peer_sent_bytes_total", g_bytes_get_size(bytes));
	} else {
		/* Not connected, or the queue is full. */
		count(transport, "peer_send_dropped_total");
	}
}

static void send_msg(struct peer_transport *transport,
		     const struct event_peer *send)
{
	struct peer_msg msg = *send->msg;
	GHashTableIter iter;
	gpointer value;
	GBytes *bytes;

	msg.hlc = timeline_next_hlc(kernel_timeline(transport->kernel));
	bytes = peer_msg_encode(&msg);
	if (!send->peer[0]) {
		g_hash_table_iter_init(&iter, transport->conns);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			send_to(transport, value, bytes);
	} else {
		value = g_hash_table_lookup(transport->conns, send->peer);
		if (value)
			send_to(transport, value, bytes);
		else
			count(transport, "peer_send_dropped_total");
	}
	g_bytes_unref(bytes);
}

static void handle_message(void *self, const void *data, size_t size_bytes)
{
	struct peer_transport *transport = self;
	struct event event = { .type = EVENT_PEER_RECEIVED };
	char reason[REASON_SIZE_BYTES] = "";
	struct peer_msg *msg =
		data ? peer_msg_decode(data, size_bytes, reason) : NULL;

	if (!msg) {
		klog_debug(LOG_PREFIX, "invalid message: %s", reason);
		count(transport, "peer_damaged_total");
		return;
	}
	if (msg->kind == PEER_MSG_UNKNOWN ||
	    !strcmp(msg->from, kernel_settings(transport->kernel)->entry)) {
		count(transport, "peer_unknown_total");
		peer_msg_free(msg);
		return;
	}
	count(transport, "peer_received_total");
	timeline_merge_hlc(kernel_timeline(transport->kernel), msg->hlc);
	event.peer.msg = msg;
	name_copy(event.peer.peer, sizeof(event.peer.peer), msg->from);
	kernel_emit(transport->kernel, &event);
}

static bool changes_roster(const struct record *record)
{
	return record->kind >= RECORD_ENTRY_JOIN &&
	       record->kind <= RECORD_ENTRY_GONE;
}

static void peer_handle(void *self, const struct event *event)
{
	struct peer_transport *transport = self;

	switch (event->type) {
	case EVENT_PEER_SEND:
		send_msg(transport, &event->peer);
		break;
	case EVENT_FLEET_CHANGED:
		if (event->record.accepted &&
		    changes_roster(event->record.record))
			update_conns(transport);
		break;
	default:
		update_conns(transport);
		break;
	}
}

static void peer_fini(void *self)
{
	struct peer_transport *transport = self;

	g_hash_table_unref(transport->conns);
	zmq_link_free(transport->link);
	g_free(transport);
}

static void *peer_init(struct kernel *kernel)
{
	const struct zmq_link_limits limits = {
		.message_max_bytes = MESSAGE_MAX_BYTES,
		.received_max_count = RECEIVED_MAX_COUNT,
	};
	struct peer_transport *transport = g_new0(struct peer_transport, 1);

	transport->kernel = kernel;
	transport->conns =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, conn_free);
	transport->link = zmq_link_new(kernel_loop(kernel), LOG_PREFIX,
				       kernel_settings(kernel)->peer_address,
				       &limits, handle_message, transport);
	if (transport->link)
		return transport;
	peer_fini(transport);
	return NULL;
}

static const struct plugin peer_plugin = {
	.name = "zmq",
	.kind = PLUGIN_PEER,
	.preferred = true,
	.subscriptions = EVENT_BIT(EVENT_STARTED) | EVENT_BIT(EVENT_PEER_SEND) |
			 EVENT_BIT(EVENT_FLEET_CHANGED) |
			 EVENT_BIT(EVENT_FLEET_RESET),
	.init = peer_init,
	.handle = peer_handle,
	.fini = peer_fini,
};

PLUGIN_REGISTER(peer_plugin)
