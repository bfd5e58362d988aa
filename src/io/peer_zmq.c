/*
 * Messages to and from other entry instances: one ROUTER socket receives from
 * all of them, one DEALER socket sends to each. libzmq does network I/O on a
 * thread of its own; everything here runs on the loop's thread.
 */

#include <ev.h>
#include <string.h>
#include <zmq.h>

#include "codec/peer_codec.h"
#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "peer"
#define MESSAGE_MAX_BYTES (INT64_C(64) * 1024 * 1024) /* a full snapshot */
#define SEND_QUEUE_MAX_COUNT 256     /* messages queued to one peer */
#define RECEIVE_QUEUE_MAX_COUNT 1024 /* messages queued from one peer */
/* Messages received per wake-up, so that other events are not starved. */
#define RECEIVE_BATCH_MAX_COUNT 256
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000
/* Closes a connection whose data stays unacknowledged for so long. */
#define DEAD_CONNECTION_MS 6000
/* Time to send queued messages before the process exits. */
#define LINGER_MS 200

struct peer_conn {
	char name[NAME_SIZE_BYTES];
	char address[ADDRESS_SIZE_BYTES];
	void *dealer;
};

struct peer_transport {
	struct kernel *kernel;
	struct ev_loop *ev;
	void *context;
	void *router;
	ev_io io;	   /* edge-triggered: read the router until empty */
	GHashTable *conns; /* name -> struct peer_conn */
};

static void count(struct peer_transport *transport, const char *counter)
{
	counter_add(kernel_counters(transport->kernel), counter, 1);
}

static void set_option(void *socket, int option, int value)
{
	if (zmq_setsockopt(socket, option, &value, sizeof(value)) != 0)
		klog_warn(LOG_PREFIX, "can't set socket option %d: %s", option,
			  zmq_strerror(zmq_errno()));
}

static void conn_free(gpointer data)
{
	struct peer_conn *conn = data;

	if (conn->dealer)
		zmq_close(conn->dealer);
	g_free(conn);
}

static void *connect_dealer(struct peer_transport *transport,
			    const char *address)
{
	void *dealer = zmq_socket(transport->context, ZMQ_DEALER);
	char *endpoint;

	if (!dealer)
		return NULL;
	set_option(dealer, ZMQ_LINGER, LINGER_MS);
	set_option(dealer, ZMQ_SNDHWM, SEND_QUEUE_MAX_COUNT);
	/* Queue only to connected peers: later, a message would be stale. */
	set_option(dealer, ZMQ_IMMEDIATE, 1);
	set_option(dealer, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_option(dealer, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_option(dealer, ZMQ_TCP_MAXRT, DEAD_CONNECTION_MS);
	endpoint = g_strdup_printf("tcp://%s", address);
	if (zmq_connect(dealer, endpoint) != 0) {
		klog_warn(LOG_PREFIX, "can't connect to %s: %s", address,
			  zmq_strerror(zmq_errno()));
		zmq_close(dealer);
		dealer = NULL;
	}
	g_free(endpoint);
	return dealer;
}

static void add_conn(struct peer_transport *transport, const char *name,
		     const char *address)
{
	struct peer_conn *conn = g_hash_table_lookup(transport->conns, name);

	if (!address[0] ||
	    !strcmp(name, kernel_settings(transport->kernel)->entry))
		return;
	if (conn && conn->dealer && !strcmp(conn->address, address))
		return;
	conn = g_new0(struct peer_conn, 1);
	name_copy(conn->name, sizeof(conn->name), name);
	name_copy(conn->address, sizeof(conn->address), address);
	conn->dealer = connect_dealer(transport, address);
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
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);

	if (conn->dealer &&
	    zmq_send(conn->dealer, data, size_bytes, ZMQ_DONTWAIT) >= 0) {
		count(transport, "peer_sent_total");
		counter_add(kernel_counters(transport->kernel),
			    "peer_sent_bytes_total", size_bytes);
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

static void handle_message(struct peer_transport *transport, const void *data,
			   size_t size_bytes)
{
	struct event event = { .type = EVENT_PEER_RECEIVED };
	char reason[REASON_SIZE_BYTES] = "";
	struct peer_msg *msg = peer_msg_decode(data, size_bytes, reason);

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

/*
 * Receives one message, which has two frames: identity and content. Returns
 * false if there is none.
 */
static bool receive_one(struct peer_transport *transport)
{
	zmq_msg_t frame;
	uint32_t frame_count = 0;
	bool more = true;

	while (more) {
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, transport->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&frame);
			return false;
		}
		frame_count++;
		more = zmq_msg_more(&frame);
		if (frame_count == 2 && !more)
			handle_message(transport, zmq_msg_data(&frame),
				       zmq_msg_size(&frame));
		zmq_msg_close(&frame);
	}
	if (frame_count != 2)
		count(transport, "peer_damaged_total");
	return true;
}

static void receive_messages(struct peer_transport *transport)
{
	for (uint32_t i = 0; i < RECEIVE_BATCH_MAX_COUNT; i++) {
		if (!receive_one(transport))
			return;
	}
	/* The descriptor is edge-triggered and will not signal the rest. */
	ev_feed_event(transport->ev, &transport->io, EV_READ);
}

static void on_readable(struct ev_loop *ev, ev_io *watcher, int revents)
{
	(void)ev;
	(void)revents;
	receive_messages(watcher->data);
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

static bool bind_router(struct peer_transport *transport)
{
	const struct settings *settings = kernel_settings(transport->kernel);
	char *endpoint = g_strdup_printf("tcp://%s", settings->peer_address);
	int64_t message_max_bytes = MESSAGE_MAX_BYTES;
	bool bound;

	set_option(transport->router, ZMQ_LINGER, 0);
	set_option(transport->router, ZMQ_RCVHWM, RECEIVE_QUEUE_MAX_COUNT);
	set_option(transport->router, ZMQ_TCP_KEEPALIVE, 1);
	zmq_setsockopt(transport->router, ZMQ_MAXMSGSIZE, &message_max_bytes,
		       sizeof(message_max_bytes));
	bound = zmq_bind(transport->router, endpoint) == 0;
	if (!bound)
		klog_error(LOG_PREFIX, "can't listen on %s: %s",
			   settings->peer_address, zmq_strerror(zmq_errno()));
	g_free(endpoint);
	return bound;
}

static void peer_fini(void *self)
{
	struct peer_transport *transport = self;

	ev_io_stop(transport->ev, &transport->io);
	g_hash_table_unref(transport->conns);
	if (transport->router)
		zmq_close(transport->router);
	zmq_ctx_term(transport->context);
	g_free(transport);
}

static void *peer_init(struct kernel *kernel)
{
	struct peer_transport *transport = g_new0(struct peer_transport, 1);
	size_t size_bytes = sizeof(int);
	int fd = -1;

	transport->kernel = kernel;
	transport->ev = kernel_loop(kernel);
	transport->conns =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, conn_free);
	transport->context = zmq_ctx_new();
	transport->router = zmq_socket(transport->context, ZMQ_ROUTER);
	ev_io_init(&transport->io, on_readable, fd, EV_READ);
	if (!transport->router || !bind_router(transport) ||
	    zmq_getsockopt(transport->router, ZMQ_FD, &fd, &size_bytes) != 0) {
		peer_fini(transport);
		return NULL;
	}
	ev_io_set(&transport->io, fd, EV_READ);
	transport->io.data = transport;
	ev_io_start(transport->ev, &transport->io);
	return transport;
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
