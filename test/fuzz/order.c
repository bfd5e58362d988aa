/* Answers of workers to a hold, with both lists. */

#include "core/event.h"
#include "fuzz.h"
#include "platform/order_wire.h"

#define STATUS_OK 200

static void run(const uint8_t *data, size_t size_bytes)
{
	struct order *order = order_new(ORDER_HOLD);
	struct event event = { .type = EVENT_ORDER, .msg = order };

	order_wire_parse(order, STATUS_OK, (const char *)data, size_bytes);
	fuzz_check(!order->has_clock || order->clock_ms >= 0,
		   "a clock is positive");
	for (guint i = 0; i < order->ended->len; i++) {
		const struct ended_row *row =
			&g_array_index(order->ended, struct ended_row, i);

		fuzz_check(row->number >= 1 && row->end < ITEM_END_COUNT,
			   "an end has a number and a kind");
	}
	event_clear(&event);
}

const struct fuzz_target fuzz_target = { .run = run };
