/* Link for orders and results that entry instances forward to each other. */

#include "codec/forward_codec.h"
#include "io/zmq_link.h"
#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "forward"
/*
 * A message above this size is divided. One order or result is at most some
 * 100 KB: a hold of a worker with many items that have checkpoints.
 */
#define MESSAGE_TARGET_BYTES ((gsize)512 * 1024)
#define MESSAGE_MAX_BYTES (INT64_C(2) * 1024 * 1024)
#define RECEIVED_MAX_COUNT 16

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

/* A message with a part of the orders. */
static struct forward_msg *copy_part(const struct forward_msg *msg, guint begin,
				     guint end)
{
	struct forward_msg *part = forward_msg_new();

	g_strlcpy(part->to, msg->to, sizeof(part->to));
	g_strlcpy(part->from, msg->from, sizeof(part->from));
	part->is_reply = msg->is_reply;
	part->busy_percent = msg->busy_percent;
	for (guint i = begin; i < end; i++)
		g_ptr_array_add(part->orders, order_ref(msg->orders->pdata[i]));
	return part;
}

static void send_bytes(struct forward_link *link, const char *to, GBytes *bytes)
{
	/* A message that is not sent is noticed by its missing answer. */
	if (link->link && zmq_link_send(get_conn(link, to), bytes))
		count(link, "forward_sent_total");
	else
		count(link, "forward_send_dropped_total");
}

static void send_part(struct forward_link *link, const struct forward_msg *msg,
		      guint begin, guint end)
{
	struct forward_msg *part = copy_part(msg, begin, end);
	GBytes *bytes = forward_msg_encode(part);

	send_bytes(link, part->to, bytes);
	g_bytes_unref(bytes);
	forward_msg_unref(part);
}

/* Divides a message that is too large into parts of equally many orders. */
static void forward_link_handle(void *self, const struct event *event)
{
	struct forward_link *link = self;
	const struct forward_msg *msg = event->msg;
	GBytes *bytes = forward_msg_encode(msg);
	guint parts_count =
		(guint)(g_bytes_get_size(bytes) / MESSAGE_TARGET_BYTES) + 1;
	guint part_orders_count = msg->orders->len / parts_count + 1;

	if (parts_count == 1)
		send_bytes(link, msg->to, bytes);
	else
		for (guint i = 0; i < msg->orders->len; i += part_orders_count)
			send_part(link, msg, i,
				  MIN(i + part_orders_count, msg->orders->len));
	g_bytes_unref(bytes);
}

static void *forward_link_init(struct kernel *kernel)
{
	const struct zmq_link_limits limits = {
		.message_max_bytes = MESSAGE_MAX_BYTES,
		.received_max_count = RECEIVED_MAX_COUNT,
	};
	struct forward_link *link = g_new0(struct forward_link, 1);
	const char *address = kernel_settings(kernel)->forward_address;

	link->kernel = kernel;
	link->conns = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    zmq_link_disconnect);
	/* Without an address of its own, it neither forwards nor is used. */
	if (!*address)
		return link;
	link->link = zmq_link_new(kernel_loop(kernel), LOG_PREFIX, address,
				  &limits, receive, link);
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
