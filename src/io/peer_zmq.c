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
#define SEND_MAX_COUNT 256     /* messages queued to one peer */
#define RECEIVE_MAX_COUNT 1024 /* messages queued from one peer */
/* Messages received per wake-up, so that other events are not starved. */
#define DRAIN_MAX_COUNT 256
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000
/* Closes a connection whose data stays unacknowledged for so long. */
#define DEAD_CONNECTION_MS 6000
/* Time to send queued messages before the process exits. */
#define LINGER_MS 200

struct link {
	char name[NAME_SIZE_BYTES];
	char address[ADDRESS_SIZE_BYTES];
	void *dealer;
};

struct peer_link {
	struct kernel *kernel;
	struct ev_loop *ev;
	void *context;
	void *router;
	ev_io io;	   /* edge-triggered: read the router until empty */
	GHashTable *links; /* name -> struct link */
};

static void count(struct peer_link *link, const char *counter)
{
	counter_add(kernel_counters(link->kernel), counter, 1);
}

static void set_option(void *socket, int option, int value)
{
	if (zmq_setsockopt(socket, option, &value, sizeof(value)) != 0)
		klog_warn(LOG_PREFIX, "can't set socket option %d: %s", option,
			  zmq_strerror(zmq_errno()));
}

static void link_free(gpointer data)
{
	struct link *to = data;

	if (to->dealer)
		zmq_close(to->dealer);
	g_free(to);
}

static void *connect_to(struct peer_link *link, const char *address)
{
	void *dealer = zmq_socket(link->context, ZMQ_DEALER);
	char *endpoint;

	if (!dealer)
		return NULL;
	set_option(dealer, ZMQ_LINGER, LINGER_MS);
	set_option(dealer, ZMQ_SNDHWM, SEND_MAX_COUNT);
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

static void add_link(struct peer_link *link, const char *name,
		     const char *address)
{
	struct link *to = g_hash_table_lookup(link->links, name);

	if (!address[0] || !strcmp(name, kernel_settings(link->kernel)->entry))
		return;
	if (to && to->dealer && !strcmp(to->address, address))
		return;
	to = g_new0(struct link, 1);
	name_copy(to->name, sizeof(to->name), name);
	name_copy(to->address, sizeof(to->address), address);
	to->dealer = connect_to(link, address);
	g_hash_table_replace(link->links, to->name, to);
}

static const struct settings_peer *settings_peer(const struct peer_link *link,
						 const char *name)
{
	const GArray *peers = kernel_settings(link->kernel)->peers;

	for (guint i = 0; i < peers->len; i++) {
		const struct settings_peer *peer =
			&g_array_index(peers, struct settings_peer, i);

		if (!strcmp(peer->name, name))
			return peer;
	}
	return NULL;
}

static gboolean is_unknown(gpointer key, gpointer value, gpointer data)
{
	const struct peer_link *link = data;

	(void)value;
	return !fleet_entry(kernel_fleet(link->kernel), key) &&
	       !settings_peer(link, key);
}

/*
 * Connects to the entries of the roster, and to those of the settings that are
 * not in it: the roster's addresses are newer.
 */
static void update_links(struct peer_link *link)
{
	const struct fleet *fleet = kernel_fleet(link->kernel);
	const GPtrArray *entries = fleet_entries(fleet);
	const GArray *peers = kernel_settings(link->kernel)->peers;

	g_hash_table_foreach_remove(link->links, is_unknown, link);
	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];

		add_link(link, entry->decl.name, entry->decl.peer_address);
	}
	for (guint i = 0; i < peers->len; i++) {
		const struct settings_peer *peer =
			&g_array_index(peers, struct settings_peer, i);

		if (!fleet_entry(fleet, peer->name))
			add_link(link, peer->name, peer->address);
	}
	counter_set(kernel_counters(link->kernel), "peer_links",
		    g_hash_table_size(link->links));
}

static void send_to(struct peer_link *link, const struct link *to,
		    GBytes *bytes)
{
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);

	if (to->dealer &&
	    zmq_send(to->dealer, data, size_bytes, ZMQ_DONTWAIT) >= 0) {
		count(link, "peer_sent_total");
		counter_add(kernel_counters(link->kernel),
			    "peer_sent_bytes_total", size_bytes);
	} else {
		/* Not connected, or the queue is full. */
		count(link, "peer_send_dropped_total");
	}
}

static void send_msg(struct peer_link *link, const struct event_peer *send)
{
	struct peer_msg msg = *send->msg;
	GHashTableIter iter;
	gpointer value;
	GBytes *bytes;

	msg.hlc = timeline_clock(kernel_timeline(link->kernel));
	bytes = peer_msg_encode(&msg);
	if (!send->peer[0]) {
		g_hash_table_iter_init(&iter, link->links);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			send_to(link, value, bytes);
	} else {
		value = g_hash_table_lookup(link->links, send->peer);
		if (value)
			send_to(link, value, bytes);
		else
			count(link, "peer_send_dropped_total");
	}
	g_bytes_unref(bytes);
}

static void take_message(struct peer_link *link, const void *data,
			 size_t size_bytes)
{
	struct event event = { .type = EVENT_PEER_RECEIVED };
	char reason[REASON_SIZE_BYTES] = "";
	struct peer_msg *msg = peer_msg_decode(data, size_bytes, reason);

	if (!msg) {
		klog_debug(LOG_PREFIX, "invalid message: %s", reason);
		count(link, "peer_damaged_total");
		return;
	}
	if (msg->kind == PEER_MSG_UNKNOWN ||
	    !strcmp(msg->from, kernel_settings(link->kernel)->entry)) {
		count(link, "peer_unknown_total");
		peer_msg_free(msg);
		return;
	}
	count(link, "peer_received_total");
	timeline_observe(kernel_timeline(link->kernel), msg->hlc);
	event.peer.msg = msg;
	name_copy(event.peer.peer, sizeof(event.peer.peer), msg->from);
	kernel_emit(link->kernel, &event);
}

/*
 * Receives one message, which has two frames: identity and content. Returns
 * false if there is none.
 */
static bool receive_one(struct peer_link *link)
{
	zmq_msg_t frame;
	uint32_t frame_count = 0;
	bool more = true;

	while (more) {
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, link->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&frame);
			return false;
		}
		frame_count++;
		more = zmq_msg_more(&frame);
		if (frame_count == 2 && !more)
			take_message(link, zmq_msg_data(&frame),
				     zmq_msg_size(&frame));
		zmq_msg_close(&frame);
	}
	if (frame_count != 2)
		count(link, "peer_damaged_total");
	return true;
}

static void drain(struct peer_link *link)
{
	for (uint32_t i = 0; i < DRAIN_MAX_COUNT; i++) {
		if (!receive_one(link))
			return;
	}
	/* The descriptor is edge-triggered and will not signal the rest. */
	ev_feed_event(link->ev, &link->io, EV_READ);
}

static void on_readable(struct ev_loop *ev, ev_io *watcher, int revents)
{
	(void)ev;
	(void)revents;
	drain(watcher->data);
}

static bool changes_roster(const struct record *record)
{
	return record->kind >= RECORD_ENTRY_JOIN &&
	       record->kind <= RECORD_ENTRY_GONE;
}

static void peer_handle(void *self, const struct event *event)
{
	struct peer_link *link = self;

	switch (event->type) {
	case EVENT_PEER_SEND:
		send_msg(link, &event->peer);
		break;
	case EVENT_FLEET_CHANGED:
		if (event->record.accepted &&
		    changes_roster(event->record.record))
			update_links(link);
		break;
	default:
		update_links(link);
		break;
	}
}

static bool bind_router(struct peer_link *link)
{
	const struct settings *settings = kernel_settings(link->kernel);
	char *endpoint = g_strdup_printf("tcp://%s", settings->peer_address);
	int64_t message_max_bytes = MESSAGE_MAX_BYTES;
	bool bound;

	set_option(link->router, ZMQ_LINGER, 0);
	set_option(link->router, ZMQ_RCVHWM, RECEIVE_MAX_COUNT);
	set_option(link->router, ZMQ_TCP_KEEPALIVE, 1);
	zmq_setsockopt(link->router, ZMQ_MAXMSGSIZE, &message_max_bytes,
		       sizeof(message_max_bytes));
	bound = zmq_bind(link->router, endpoint) == 0;
	if (!bound)
		klog_error(LOG_PREFIX, "can't listen on %s: %s",
			   settings->peer_address, zmq_strerror(zmq_errno()));
	g_free(endpoint);
	return bound;
}

static void peer_fini(void *self)
{
	struct peer_link *link = self;

	ev_io_stop(link->ev, &link->io);
	g_hash_table_unref(link->links);
	if (link->router)
		zmq_close(link->router);
	zmq_ctx_term(link->context);
	g_free(link);
}

static void *peer_init(struct kernel *kernel)
{
	struct peer_link *link = g_new0(struct peer_link, 1);
	size_t size_bytes = sizeof(int);
	int fd = -1;

	link->kernel = kernel;
	link->ev = kernel_loop(kernel);
	link->links =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, link_free);
	link->context = zmq_ctx_new();
	link->router = zmq_socket(link->context, ZMQ_ROUTER);
	ev_io_init(&link->io, on_readable, fd, EV_READ);
	if (!link->router || !bind_router(link) ||
	    zmq_getsockopt(link->router, ZMQ_FD, &fd, &size_bytes) != 0) {
		peer_fini(link);
		return NULL;
	}
	ev_io_set(&link->io, fd, EV_READ);
	link->io.data = link;
	ev_io_start(link->ev, &link->io);
	return link;
}

static const struct plugin peer_plugin = {
	.name = "zmq",
	.kind = PLUGIN_PEER,
	.preferred = true,
	.takes = EVENT_BIT(EVENT_STARTED) | EVENT_BIT(EVENT_PEER_SEND) |
		 EVENT_BIT(EVENT_FLEET_CHANGED) | EVENT_BIT(EVENT_FLEET_RESET),
	.init = peer_init,
	.handle = peer_handle,
	.fini = peer_fini,
};

PLUGIN_REGISTER(peer_plugin)
