#include "codec/forward_codec.h"

#include <string.h>

#include "codec/proto/forward.pb-c.h"
#include "jobs/order_timing.h"

static void order_to_wire(Pl__ForwardOrder *to, const struct order *from)
{
	pl__forward_order__init(to);
	to->id = from->forward_id;
	to->kind = from->kind;
	to->worker = (char *)from->worker;
	to->address = (char *)from->address;
	to->token = from->token;
	to->item = (char *)from->item;
	to->run = from->run;
	if (from->spec)
		to->text = from->spec->text;
	if (from->checkpoint)
		to->saved = from->checkpoint;
	if (from->ticket)
		to->ticket = from->ticket;
	to->lease_ms = from->lease_ms;
	to->acked_number = from->acked_number;
	to->wait_us = from->wait_us;
	to->timeout_us = from->timeout_us;
	to->percent = from->percent;
}

static void running_to_wire(Pl__ForwardRunning *to,
			    const struct running_row *from)
{
	pl__forward_running__init(to);
	to->item = (char *)from->item;
	to->run = from->run;
	if (from->checkpoint)
		to->saved = from->checkpoint;
	to->percent = from->percent;
	to->observed = from->observed;
}

static void ended_to_wire(Pl__ForwardEnded *to, const struct ended_row *from)
{
	pl__forward_ended__init(to);
	to->number = from->number;
	to->item = (char *)from->item;
	to->run = from->run;
	to->end = from->end;
	if (from->checkpoint)
		to->saved = from->checkpoint;
}

/* Allocates count structs of size_bytes and an array of pointers to them. */
static void **pointers_new(size_t count, size_t size_bytes)
{
	char *structs = g_malloc0(MAX(count, 1) * size_bytes);
	void **pointers = g_new0(void *, MAX(count, 1));

	pointers[0] = structs;
	for (size_t i = 1; i < count; i++)
		pointers[i] = structs + i * size_bytes;
	return pointers;
}

static void pointers_free(void **pointers)
{
	g_free(pointers[0]);
	g_free(pointers);
}

static void result_to_wire(Pl__ForwardResult *to, const struct order *from)
{
	pl__forward_result__init(to);
	to->id = from->forward_id;
	to->result = from->result;
	to->has_clock = from->has_clock;
	to->clock_ms = from->clock_ms;
	to->started_ms = from->started_ms;
	to->acked_number = from->acked_number;
	to->n_running = from->running->len;
	to->running = (Pl__ForwardRunning **)pointers_new(
		to->n_running, sizeof(Pl__ForwardRunning));
	for (guint i = 0; i < from->running->len; i++)
		running_to_wire(
			to->running[i],
			&g_array_index(from->running, struct running_row, i));
	to->n_ended = from->ended->len;
	to->ended = (Pl__ForwardEnded **)pointers_new(to->n_ended,
						      sizeof(Pl__ForwardEnded));
	for (guint i = 0; i < from->ended->len; i++)
		ended_to_wire(to->ended[i],
			      &g_array_index(from->ended, struct ended_row, i));
}

static GBytes *pack(const ProtobufCMessage *msg)
{
	size_t size_bytes = protobuf_c_message_get_packed_size(msg);
	uint8_t *data = g_malloc(MAX(size_bytes, 1));

	protobuf_c_message_pack(msg, data);
	return g_bytes_new_take(data, size_bytes);
}

static void encode_orders(Pl__ForwardMsg *to, const struct forward_msg *msg)
{
	to->n_orders = msg->orders->len;
	to->orders = (Pl__ForwardOrder **)pointers_new(
		to->n_orders, sizeof(Pl__ForwardOrder));
	for (guint i = 0; i < msg->orders->len; i++)
		order_to_wire(to->orders[i], msg->orders->pdata[i]);
}

static void encode_results(Pl__ForwardMsg *to, const struct forward_msg *msg)
{
	to->n_results = msg->orders->len;
	to->results = (Pl__ForwardResult **)pointers_new(
		to->n_results, sizeof(Pl__ForwardResult));
	for (guint i = 0; i < msg->orders->len; i++)
		result_to_wire(to->results[i], msg->orders->pdata[i]);
}

GBytes *forward_msg_encode(const struct forward_msg *msg)
{
	Pl__ForwardMsg to = PL__FORWARD_MSG__INIT;
	GBytes *bytes;

	to.from = (char *)msg->from;
	to.busy_percent = msg->busy_percent;
	to.is_reply = msg->is_reply;
	if (!msg->is_reply) {
		encode_orders(&to, msg);
		bytes = pack(&to.base);
		pointers_free((void **)to.orders);
		return bytes;
	}
	encode_results(&to, msg);
	bytes = pack(&to.base);
	for (size_t i = 0; i < to.n_results; i++) {
		pointers_free((void **)to.results[i]->running);
		pointers_free((void **)to.results[i]->ended);
	}
	pointers_free((void **)to.results);
	return bytes;
}

static char *copy_text(const char *text)
{
	return *text ? g_strdup(text) : NULL;
}

static bool order_from_wire(struct order *to, const Pl__ForwardOrder *from)
{
	to->forward_id = from->id;
	to->kind = from->kind;
	to->worker = g_intern_string(from->worker);
	to->token = from->token;
	to->run = from->run;
	to->spec = job_spec_new();
	to->spec->text = g_strdup(from->text);
	to->checkpoint = copy_text(from->saved);
	to->ticket = copy_text(from->ticket);
	to->lease_ms = from->lease_ms;
	to->acked_number = from->acked_number;
	to->wait_us = from->wait_us;
	to->timeout_us = from->timeout_us;
	to->percent = from->percent;
	return from->kind < ORDER_KIND_COUNT && from->wait_us >= 0 &&
	       from->wait_us <= FORWARD_WAIT_MAX_US && from->timeout_us >= 0 &&
	       from->timeout_us <= FORWARD_WAIT_MAX_US + ORDER_TIMEOUT_MAX_US &&
	       name_copy(to->address, sizeof(to->address), from->address) &&
	       name_copy(to->item, sizeof(to->item), from->item);
}

static bool running_from_wire(struct order *order,
			      const Pl__ForwardRunning *from)
{
	struct running_row row = {
		.run = from->run,
		.percent = from->percent,
		.observed = from->observed,
	};

	if (!name_copy(row.item, sizeof(row.item), from->item))
		return false;
	row.checkpoint = g_strdup(from->saved);
	g_array_append_val(order->running, row);
	return true;
}

static bool ended_from_wire(struct order *order, const Pl__ForwardEnded *from)
{
	struct ended_row row = {
		.number = from->number,
		.run = from->run,
		.end = from->end,
	};

	if (from->end >= ITEM_END_COUNT ||
	    !name_copy(row.item, sizeof(row.item), from->item))
		return false;
	row.checkpoint = g_strdup(from->saved);
	g_array_append_val(order->ended, row);
	return true;
}

static bool result_from_wire(struct order *to, const Pl__ForwardResult *from)
{
	to->forward_id = from->id;
	to->result = from->result;
	to->has_clock = from->has_clock;
	to->clock_ms = from->clock_ms;
	to->started_ms = from->started_ms;
	to->acked_number = from->acked_number;
	if (from->result >= ORDER_RESULT_COUNT || from->clock_ms < 0 ||
	    from->clock_ms > JOB_TIME_MAX_MS)
		return false;
	for (size_t i = 0; i < from->n_running; i++) {
		if (!running_from_wire(to, from->running[i]))
			return false;
	}
	for (size_t i = 0; i < from->n_ended; i++) {
		if (!ended_from_wire(to, from->ended[i]))
			return false;
	}
	return true;
}

static bool msg_from_wire(struct forward_msg *msg, const Pl__ForwardMsg *from)
{
	msg->is_reply = from->is_reply;
	msg->busy_percent = from->busy_percent;
	if (!name_copy(msg->from, sizeof(msg->from), from->from))
		return false;
	for (size_t i = 0; !msg->is_reply && i < from->n_orders; i++) {
		struct order *order = order_new(ORDER_HOLD);

		g_ptr_array_add(msg->orders, order);
		if (!order_from_wire(order, from->orders[i]))
			return false;
	}
	for (size_t i = 0; msg->is_reply && i < from->n_results; i++) {
		struct order *order = order_new(ORDER_HOLD);

		g_ptr_array_add(msg->orders, order);
		if (!result_from_wire(order, from->results[i]))
			return false;
	}
	return true;
}

struct forward_msg *forward_msg_decode(const void *data, size_t size_bytes)
{
	Pl__ForwardMsg *from = pl__forward_msg__unpack(NULL, size_bytes, data);
	struct forward_msg *msg;

	if (!from)
		return NULL;
	msg = forward_msg_new();
	if (!msg_from_wire(msg, from)) {
		forward_msg_unref(msg);
		msg = NULL;
	}
	pl__forward_msg__free_unpacked(from, NULL);
	return msg;
}
