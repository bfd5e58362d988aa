#include "io/zmq_link.h"

#include <zmq.h>

#include "kernel/klog.h"

#define SEND_QUEUE_MAX_COUNT 256 /* messages queued to one process */
/*
 * Messages and bytes received per wake-up: other events are not starved, and
 * what is kept until the next turn of the loop stays small.
 */
#define RECEIVE_BATCH_MAX_COUNT 256
#define RECEIVE_BATCH_MAX_BYTES ((size_t)4 * 1024 * 1024)
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000
/* Closes a connection whose data stays unacknowledged for so long. */
#define DEAD_CONNECTION_MS 6000
/* Time to send queued messages before the process exits. */
#define LINGER_MS 200

struct zmq_link {
	struct ev_loop *ev;
	const char *log_prefix;
	void *context;
	void *router;
	ev_io io; /* edge-triggered: read the router until empty */
	zmq_receive_fn *receive;
	void *self;
};

static void set_option(struct zmq_link *link, void *socket, int option,
		       int value)
{
	if (zmq_setsockopt(socket, option, &value, sizeof(value)) != 0)
		klog_warn(link->log_prefix, "can't set socket option %d: %s",
			  option, zmq_strerror(zmq_errno()));
}

void *zmq_link_connect(struct zmq_link *link, const char *address)
{
	void *dealer = zmq_socket(link->context, ZMQ_DEALER);
	char *endpoint;

	if (!dealer)
		return NULL;
	set_option(link, dealer, ZMQ_LINGER, LINGER_MS);
	set_option(link, dealer, ZMQ_SNDHWM, SEND_QUEUE_MAX_COUNT);
	/* Queue only to connected peers: later, a message would be stale. */
	set_option(link, dealer, ZMQ_IMMEDIATE, 1);
	set_option(link, dealer, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_option(link, dealer, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_option(link, dealer, ZMQ_TCP_MAXRT, DEAD_CONNECTION_MS);
	endpoint = g_strdup_printf("tcp://%s", address);
	if (zmq_connect(dealer, endpoint) != 0) {
		klog_warn(link->log_prefix, "can't connect to %s: %s", address,
			  zmq_strerror(zmq_errno()));
		zmq_close(dealer);
		dealer = NULL;
	}
	g_free(endpoint);
	return dealer;
}

void zmq_link_disconnect(void *conn)
{
	if (conn)
		zmq_close(conn);
}

bool zmq_link_send(void *conn, GBytes *bytes)
{
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);

	return conn && zmq_send(conn, data, size_bytes, ZMQ_DONTWAIT) >= 0;
}

/* Receives one message, adding its size. Returns false if there is none. */
static bool receive_one(struct zmq_link *link, size_t *received_bytes)
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
		*received_bytes += zmq_msg_size(&frame);
		if (frame_count == 2 && !more)
			link->receive(link->self, zmq_msg_data(&frame),
				      zmq_msg_size(&frame));
		zmq_msg_close(&frame);
	}
	if (frame_count != 2)
		link->receive(link->self, NULL, 0);
	return true;
}

static void on_readable(struct ev_loop *ev, ev_io *watcher, int revents)
{
	struct zmq_link *link = watcher->data;
	size_t received_bytes = 0;

	(void)ev;
	(void)revents;
	for (uint32_t i = 0; i < RECEIVE_BATCH_MAX_COUNT &&
			     received_bytes < RECEIVE_BATCH_MAX_BYTES;
	     i++) {
		if (!receive_one(link, &received_bytes))
			return;
	}
	/* The descriptor is edge-triggered and will not signal the rest. */
	ev_feed_event(link->ev, &link->io, EV_READ);
}

static bool bind_router(struct zmq_link *link, const char *address,
			const struct zmq_link_limits *limits)
{
	char *endpoint = g_strdup_printf("tcp://%s", address);
	bool bound;

	set_option(link, link->router, ZMQ_LINGER, 0);
	set_option(link, link->router, ZMQ_RCVHWM,
		   (int)limits->received_max_count);
	set_option(link, link->router, ZMQ_TCP_KEEPALIVE, 1);
	zmq_setsockopt(link->router, ZMQ_MAXMSGSIZE, &limits->message_max_bytes,
		       sizeof(limits->message_max_bytes));
	bound = zmq_bind(link->router, endpoint) == 0;
	if (!bound)
		klog_error(link->log_prefix, "can't listen on %s: %s", address,
			   zmq_strerror(zmq_errno()));
	g_free(endpoint);
	return bound;
}

void zmq_link_free(struct zmq_link *link)
{
	if (!link)
		return;
	ev_io_stop(link->ev, &link->io);
	if (link->router)
		zmq_close(link->router);
	zmq_ctx_term(link->context);
	g_free(link);
}

struct zmq_link *zmq_link_new(struct ev_loop *ev, const char *log_prefix,
			      const char *address,
			      const struct zmq_link_limits *limits,
			      zmq_receive_fn *receive, void *self)
{
	struct zmq_link *link = g_new0(struct zmq_link, 1);
	size_t size_bytes = sizeof(int);
	int fd = -1;

	link->ev = ev;
	link->log_prefix = log_prefix;
	link->receive = receive;
	link->self = self;
	link->context = zmq_ctx_new();
	link->router = zmq_socket(link->context, ZMQ_ROUTER);
	ev_io_init(&link->io, on_readable, fd, EV_READ);
	if (!link->router || !bind_router(link, address, limits) ||
	    zmq_getsockopt(link->router, ZMQ_FD, &fd, &size_bytes) != 0) {
		zmq_link_free(link);
		return NULL;
	}
	ev_io_set(&link->io, fd, EV_READ);
	link->io.data = link;
	ev_io_start(ev, &link->io);
	return link;
}
