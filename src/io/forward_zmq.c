/* Link for orders and results that entry instances forward to each other. */

#include "codec/forward_codec.h"
#include "io/zmq_link.h"
#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "forward"
#define MESSAGE_MAX_BYTES (INT64_C(8) * 1024 * 1024)

struct forward_link {
	struct kernel *kernel;
	struct zmq_link *link;
	GHashTable *conns; /* address -> connection */
};

static void count(struct forward_link *link, const char *counter)
{
	counter_add(kernel_counters(link->kernel), counter, 1);
}

static void receive(void *self, const void *data, size_t size_bytes)
{
	struct forward_link *link = self;
	struct forward_msg *msg =
		data ? forward_msg_decode(data, size_bytes) : NULL;

	if (!msg) {
		klog_warn(LOG_PREFIX, "ignoring a damaged message of %zu bytes",
			  size_bytes);
		count(link, "forward_damaged_total");
		return;
	}
	count(link, "forward_received_total");
	kernel_emit_msg(link->kernel, EVENT_FORWARD_RECEIVED, msg);
}

static void *get_conn(struct forward_link *link, const char *address)
{
	void *conn = g_hash_table_lookup(link->conns, address);

	if (conn)
		return conn;
	conn = zmq_link_connect(link->link, address);
	if (conn)
		g_hash_table_insert(link->conns, g_strdup(address), conn);
	return conn;
}

static void forward_link_handle(void *self, const struct event *event)
{
	struct forward_link *link = self;
	const struct forward_msg *msg = event->msg;
	GBytes *bytes = forward_msg_encode(msg);

	/* A message that is not sent is noticed by its missing answer. */
	if (link->link && zmq_link_send(get_conn(link, msg->to), bytes))
		count(link, "forward_sent_total");
	else
		count(link, "forward_send_dropped_total");
	g_bytes_unref(bytes);
}

static void *forward_link_init(struct kernel *kernel)
{
	struct forward_link *link = g_new0(struct forward_link, 1);
	const char *address = kernel_settings(kernel)->forward_address;

	link->kernel = kernel;
	link->conns = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    zmq_link_disconnect);
	/* Without an address of its own, it neither forwards nor is used. */
	if (!*address)
		return link;
	link->link = zmq_link_new(kernel_loop(kernel), LOG_PREFIX, address,
				  MESSAGE_MAX_BYTES, receive, link);
	if (link->link)
		return link;
	g_hash_table_unref(link->conns);
	g_free(link);
	return NULL;
}

static void forward_link_fini(void *self)
{
	struct forward_link *link = self;

	g_hash_table_unref(link->conns);
	zmq_link_free(link->link);
	g_free(link);
}

static const struct plugin forward_link_plugin = {
	.name = "forward_zmq",
	.kind = PLUGIN_PLATFORM,
	.subscriptions = EVENT_BIT(EVENT_FORWARD_SEND),
	.init = forward_link_init,
	.handle = forward_link_handle,
	.fini = forward_link_fini,
};

PLUGIN_REGISTER(forward_link_plugin)
