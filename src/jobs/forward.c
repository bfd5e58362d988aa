/*
 * Sends the holder's orders to workers, directly or through forwarders: other
 * entry instances that make the calls and report the results. While the holder
 * is busy, the calls go through forwarders, so that its own time is left for
 * decisions and for storing them.
 *
 * A forwarded order may be carried out late or twice, like any order whose
 * answer is lost. The worker's checks make that harmless: the fencing token
 * ends the orders of an earlier holder, the lease in the order those that
 * arrive after it, and the number of the run those that were stopped.
 */

#include <string.h>

#include "jobs/forwarders.h"
#include "jobs/msg.h"
#include "kernel/decision_log.h"
#include "kernel/kernel.h"

/* Orders and results of this time go into one message. */
#define BATCH_US (2 * USEC_PER_MSEC)
/* How long the result of an order may take, without the wait of a hold. */
#define RESULT_TIMEOUT_US (1500 * USEC_PER_MSEC)
#define TICK_PERIOD_US (100 * USEC_PER_MSEC)
#define LOAD_PERIOD_US USEC_PER_SEC
/* After the last busy period, forwarding goes on for this long. */
#define FORWARD_FOR_US (10 * USEC_PER_SEC)

/* A process that handled no event for so long may have been paused. */
#define PAUSE_MIN_US USEC_PER_SEC
/* After that, it handles what had arrived meanwhile within this time. */
#define PAUSE_BACKLOG_US (100 * USEC_PER_MSEC)

struct pending_order {
	struct order *order; /* owned reference */
	struct forwarder *forwarder;
	int64_t deadline_us;
};

struct forward {
	struct kernel *kernel;
	struct forwarders *forwarders;
	bool held;
	uint64_t newest_token; /* of any holder, according to the store */
	bool draining;
	int64_t handled_us;	 /* when an event was handled last */
	int64_t refuse_until_us; /* orders may have arrived long ago */
	uint64_t next_id;	 /* its upper half is random */
	GHashTable *pending;	 /* id -> struct pending_order */
	GHashTable *orders;	 /* address -> struct forward_msg, to be sent */
	GHashTable *results;	 /* the same for results */
	int64_t flush_us;	 /* 0: nothing to send */
	int64_t next_tick_us;
	uint32_t busy_percent; /* of this process, in the last period */
	uint64_t busy_us_total;
	int64_t load_measured_us;
	int64_t forward_until_us; /* the holder is or was busy lately */
};

static void pending_free(gpointer data)
{
	struct pending_order *pending = data;

	order_unref(pending->order);
	g_free(pending);
}

static void batch_free(gpointer msg)
{
	forward_msg_unref(msg);
}

/* Adds an order to the next message to an address; takes a reference. */
static void add_to_batch(struct forward *forward, GHashTable *batches,
			 const char *address, struct order *order)
{
	struct forward_msg *msg = g_hash_table_lookup(batches, address);

	if (!msg) {
		msg = forward_msg_new();
		g_strlcpy(msg->to, address, sizeof(msg->to));
		g_strlcpy(msg->from,
			  kernel_settings(forward->kernel)->forward_address,
			  sizeof(msg->from));
		msg->is_reply = batches == forward->results;
		g_hash_table_insert(batches, g_strdup(address), msg);
	}
	if (order)
		g_ptr_array_add(msg->orders, order_ref(order));
	if (!forward->flush_us)
		forward->flush_us = kernel_now_us(forward->kernel) + BATCH_US;
	kernel_wake_at(forward->kernel, forward->flush_us);
}

static void send_batches(struct forward *forward, GHashTable *batches)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, batches);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct forward_msg *msg = value;

		msg->busy_percent = forward->busy_percent;
		kernel_emit_msg(forward->kernel, EVENT_FORWARD_SEND,
				g_rc_box_acquire(msg));
	}
	g_hash_table_remove_all(batches);
}

static void report(struct forward *forward, struct order *order)
{
	kernel_emit_msg(forward->kernel, EVENT_ORDER_DONE,
			g_rc_box_acquire(order));
}

/* Ends a forwarded order without an answer of its worker. */
static void give_up(struct forward *forward, uint64_t id,
		    enum order_result result)
{
	struct pending_order *pending =
		g_hash_table_lookup(forward->pending, &id);

	pending->order->result = result;
	forwarders_bypass(forward->forwarders, pending->order->worker,
			  kernel_now_us(forward->kernel));
	report(forward, pending->order);
	g_hash_table_remove(forward->pending, &id);
}

static bool forwards(const struct forward *forward)
{
	return forward->held &&
	       kernel_now_us(forward->kernel) < forward->forward_until_us;
}

static void on_order(struct forward *forward, struct order *order)
{
	int64_t now_us = kernel_now_us(forward->kernel);
	struct forwarder *forwarder =
		forwards(forward)
			? forwarders_choose(forward->forwarders, order->worker,
					    order->dc, now_us)
			: NULL;
	struct pending_order *pending;

	if (!forwarder) {
		kernel_emit_msg(forward->kernel, EVENT_ORDER_SEND,
				g_rc_box_acquire(order));
		return;
	}
	order->forward_id = ++forward->next_id;
	pending = g_new0(struct pending_order, 1);
	pending->order = order_ref(order);
	pending->forwarder = forwarder;
	pending->deadline_us = now_us + RESULT_TIMEOUT_US + order->wait_us;
	g_hash_table_insert(forward->pending, &order->forward_id, pending);
	add_to_batch(forward, forward->orders, forwarder->address, order);
	counter_add(kernel_counters(forward->kernel), "orders_forwarded_total",
		    1);
}

/* The worker client has finished an order of our own or a forwarded one. */
static void on_sent(struct forward *forward, struct order *order)
{
	if (order->forward_for[0])
		add_to_batch(forward, forward->results, order->forward_for,
			     order);
	else
		report(forward, order);
}

static void on_orders(struct forward *forward, const struct forward_msg *msg)
{
	/* Also without orders: the answer to a probe. */
	add_to_batch(forward, forward->results, msg->from, NULL);
	for (guint i = 0; i < msg->orders->len; i++) {
		struct order *order = msg->orders->pdata[i];

		g_strlcpy(order->forward_for, msg->from,
			  sizeof(order->forward_for));
		if (order->token < forward->newest_token)
			order->result = ORDER_FENCED;
		else if (forward->draining || kernel_now_us(forward->kernel) <
						      forward->refuse_until_us)
			order->result = ORDER_NOT_SENT;
		else {
			kernel_emit_msg(forward->kernel, EVENT_ORDER_SEND,
					g_rc_box_acquire(order));
			continue;
		}
		on_sent(forward, order);
	}
}

static void take_result(struct forward *forward, struct order *result)
{
	struct pending_order *pending =
		g_hash_table_lookup(forward->pending, &result->forward_id);
	struct order *order;

	if (!pending)
		return;
	order = pending->order;
	order->result = result->result;
	order->has_clock = result->has_clock;
	order->clock_ms = result->clock_ms;
	order->started_ms = result->started_ms;
	g_array_unref(order->running);
	order->running = g_array_ref(result->running);
	g_array_unref(order->ended);
	order->ended = g_array_ref(result->ended);
	if (!order_is_answered(order))
		forwarders_bypass(forward->forwarders, order->worker,
				  kernel_now_us(forward->kernel));
	report(forward, order);
	g_hash_table_remove(forward->pending, &result->forward_id);
}

static void on_results(struct forward *forward, const struct forward_msg *msg)
{
	struct forwarder *forwarder =
		forwarders_find(forward->forwarders, msg->from);

	if (forwarder)
		forwarder_answered(forwarder, msg->busy_percent,
				   kernel_now_us(forward->kernel));
	for (guint i = 0; i < msg->orders->len; i++)
		take_result(forward, msg->orders->pdata[i]);
}

static void on_holder_changed(struct forward *forward,
			      const struct holder_changed *changed)
{
	forward->held = changed->held;
	forward->forward_until_us = 0;
	/* Orders of a holder that has ended must not be sent any more. */
	g_hash_table_remove_all(forward->orders);
	g_hash_table_remove_all(forward->pending);
	forwarders_reset(forward->forwarders);
}

static void on_applied(struct forward *forward, const struct store_read *read)
{
	for (guint i = 0; i < read->records->len; i++) {
		const struct job_record *record = read->records->pdata[i];

		if (record->kind == JOB_RECORD_ENTRY)
			forwarders_add(forward->forwarders, record);
		else if (record->kind == JOB_RECORD_HOLDER &&
			 record->action == HOLDER_RENEW)
			forward->newest_token =
				MAX(forward->newest_token, record->token);
	}
}

static void probe_forwarders(struct forward *forward)
{
	GPtrArray *selected = forwarders_to_probe(
		forward->forwarders, kernel_now_us(forward->kernel));

	for (guint i = 0; i < selected->len; i++) {
		const struct forwarder *forwarder = selected->pdata[i];

		add_to_batch(forward, forward->orders, forwarder->address,
			     NULL);
	}
	g_ptr_array_unref(selected);
}

static void give_up_late(struct forward *forward)
{
	int64_t now_us = kernel_now_us(forward->kernel);
	GArray *late = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, forward->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pending_order *pending = value;

		if (now_us < pending->deadline_us)
			continue;
		g_array_append_val(late, pending->order->forward_id);
		forwarder_failed(pending->forwarder, now_us);
	}
	for (guint i = 0; i < late->len; i++)
		give_up(forward, g_array_index(late, uint64_t, i),
			ORDER_UNANSWERED);
	g_array_unref(late);
}

static void measure_load(struct forward *forward)
{
	int64_t now_us = kernel_now_us(forward->kernel);
	int64_t period_us = now_us - forward->load_measured_us;
	uint64_t busy_us = counter_get(kernel_counters(forward->kernel),
				       "loop_busy_us_total");
	uint32_t threshold_percent =
		kernel_settings(forward->kernel)->forward_busy_percent;

	if (period_us < LOAD_PERIOD_US)
		return;
	forward->busy_percent = (uint32_t)MIN(
		(busy_us - forward->busy_us_total) * 100 / (uint64_t)period_us,
		100);
	forward->busy_us_total = busy_us;
	forward->load_measured_us = now_us;
	if (!forward->held || forward->busy_percent < threshold_percent)
		return;
	if (now_us >= forward->forward_until_us)
		decision_log("forward", "busy_percent=%u",
			     forward->busy_percent);
	forward->forward_until_us = now_us + FORWARD_FOR_US;
}

static void tick(struct forward *forward)
{
	int64_t now_us = kernel_now_us(forward->kernel);

	if (now_us >= forward->next_tick_us) {
		forward->next_tick_us = now_us + TICK_PERIOD_US;
		measure_load(forward);
		if (forward->held)
			probe_forwarders(forward);
		give_up_late(forward);
	}
	if (forward->flush_us && now_us >= forward->flush_us) {
		forward->flush_us = 0;
		send_batches(forward, forward->orders);
		send_batches(forward, forward->results);
	}
	if (forward->held)
		kernel_wake_at(forward->kernel, forward->next_tick_us);
	if (forward->flush_us)
		kernel_wake_at(forward->kernel, forward->flush_us);
}

/*
 * The holder has given up the orders that arrived during a pause of this
 * process, and may have started their items elsewhere.
 */
static void note_pause(struct forward *forward)
{
	int64_t now_us = kernel_now_us(forward->kernel);

	if (forward->handled_us &&
	    now_us - forward->handled_us >= PAUSE_MIN_US) {
		decision_log("paused", "ms=%" G_GINT64_FORMAT,
			     (now_us - forward->handled_us) / USEC_PER_MSEC);
		forward->refuse_until_us = now_us + PAUSE_BACKLOG_US;
	}
	forward->handled_us = now_us;
}

static void forward_handle(void *self, const struct event *event)
{
	struct forward *forward = self;
	const struct forward_msg *msg = event->msg;

	note_pause(forward);
	switch (event->type) {
	case EVENT_ORDER:
		on_order(forward, event->msg);
		break;
	case EVENT_ORDER_SENT:
		on_sent(forward, event->msg);
		break;
	case EVENT_FORWARD_RECEIVED:
		if (msg->is_reply)
			on_results(forward, msg);
		else
			on_orders(forward, msg);
		break;
	case EVENT_HOLDER_CHANGED:
		on_holder_changed(forward, event->msg);
		break;
	case EVENT_JOBS_APPLIED:
		on_applied(forward, event->msg);
		break;
	case EVENT_DRAIN:
		forward->draining = true;
		break;
	default:
		break;
	}
	tick(forward);
}

static void *forward_init(struct kernel *kernel)
{
	struct forward *forward = g_new0(struct forward, 1);

	forward->kernel = kernel;
	forward->forwarders = forwarders_new(kernel_settings(kernel)->entry);
	forward->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, pending_free);
	forward->orders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						batch_free);
	forward->results = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, batch_free);
	/* Results for an earlier process at this address must match no order.
	 */
	forward->next_id = (uint64_t)g_rand_int(kernel_random(kernel)) << 32;
	forward->load_measured_us = kernel_now_us(kernel);
	return forward;
}

static void forward_fini(void *self)
{
	struct forward *forward = self;

	g_hash_table_unref(forward->pending);
	g_hash_table_unref(forward->orders);
	g_hash_table_unref(forward->results);
	forwarders_free(forward->forwarders);
	g_free(forward);
}

static const struct plugin forward_plugin = {
	.name = "forward",
	.kind = PLUGIN_JOBS,
	.subscriptions = EVENT_BIT(EVENT_ORDER) | EVENT_BIT(EVENT_ORDER_SENT) |
			 EVENT_BIT(EVENT_FORWARD_RECEIVED) |
			 EVENT_BIT(EVENT_HOLDER_CHANGED) |
			 EVENT_BIT(EVENT_JOBS_APPLIED) |
			 EVENT_BIT(EVENT_DRAIN) | EVENT_BIT(EVENT_WAKE),
	.init = forward_init,
	.handle = forward_handle,
	.fini = forward_fini,
};

PLUGIN_REGISTER(forward_plugin)
