/* Messages with forwarded orders and their results. */

#include <string.h>

#include "codec/forward_codec.h"
#include "fuzz.h"

static void run(const uint8_t *data, size_t size_bytes)
{
	struct forward_msg *msg = forward_msg_decode(data, size_bytes);

	if (!msg)
		return;
	for (guint i = 0; i < msg->orders->len; i++) {
		const struct order *order = msg->orders->pdata[i];

		fuzz_check(order->kind < ORDER_KIND_COUNT &&
				   order->result < ORDER_RESULT_COUNT,
			   "an order has a known kind and result");
		fuzz_check(order->wait_us >= 0, "a wait is positive");
	}
	g_bytes_unref(forward_msg_encode(msg));
	forward_msg_unref(msg);
}

static void seed(const char *folder)
{
	struct forward_msg *msg = forward_msg_new();
	struct order *order = order_new(ORDER_HOLD);
	struct running_row running = { .item = "a", .run = 1 };

	order->worker = g_intern_string("w1");
	g_array_append_val(order->running, running);
	g_ptr_array_add(msg->orders, order);
	fuzz_seed_write(folder, "orders", forward_msg_encode(msg));
	msg->is_reply = true;
	fuzz_seed_write(folder, "results", forward_msg_encode(msg));
	forward_msg_unref(msg);
}

const struct fuzz_target fuzz_target = { .run = run, .seed = seed };
