/*
 * Orders for machines. Each is stored before it is sent, so that the next
 * holder knows which machines it can't order yet: orders of two holders for
 * the same machine must be at least one machine lease apart.
 */

#include <string.h>

#include "jobs/sched.h"
#include "kernel/decision_log.h"

#define RATE_WINDOW_US USEC_PER_SEC
/* Share of the platform's rate limit that is used. */
#define RATE_USED_PERCENT 50
/*
 * Part of the machine lease within which an order is sent. The rest is for its
 * way to the platform, before another holder may order the same machine.
 */
#define SEND_WITHIN_LEASE_PERCENT 25

bool machine_may_have_order(const struct sched *sched, const char *name)
{
	return sched->earlier_holder_until_us &&
	       sched_now_us(sched) - sched->held_since_us <
		       sched->bounds->machine_lease_us &&
	       (!sched->earlier_ordered_machines ||
		g_hash_table_contains(sched->earlier_ordered_machines, name));
}

int64_t machine_order_not_before_us(const struct sched *sched, const char *name)
{
	return machine_may_have_order(sched, name)
		       ? sched->held_since_us + sched->bounds->machine_lease_us
		       : 0;
}

void machine_orders_on_record(struct sched *sched,
			      const struct job_record *record)
{
	if (sched->earlier_ordered_machines)
		g_hash_table_unref(sched->earlier_ordered_machines);
	sched->earlier_ordered_machines =
		g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < record->machines->len; i++)
		g_hash_table_add(sched->earlier_ordered_machines,
				 record->machines->pdata[i]);
}

bool machine_order_queue(struct sched *sched, const struct machine_order *order)
{
	int64_t now_us = sched_now_us(sched);
	struct machine *machine = machine_find(sched, order->machine);
	struct machine_order *msg;

	if (now_us - sched->order_window_start_us > RATE_WINDOW_US) {
		sched->order_window_start_us = now_us;
		sched->order_window_count = 0;
	}
	if (!machine || sched->order_window_count >=
				MAX(sched->bounds->machine_orders_per_s *
					    RATE_USED_PERCENT / 100,
				    1))
		return false;
	sched->order_window_count++;
	msg = g_rc_box_new0(struct machine_order);
	*msg = *order;
	msg->token = sched->token;
	machine->recorded_until_us = now_us + sched->bounds->machine_lease_us;
	g_ptr_array_add(sched->orders_queued, msg);
	return true;
}

void machine_orders_add_queued(struct sched *sched, struct store_write *write)
{
	struct job_record *record;
	GPtrArray *storing;
	GHashTableIter iter;
	gpointer value;

	if (!sched->orders_queued->len)
		return;
	record = job_record_new(JOB_RECORD_MACHINES);
	record->machines = g_ptr_array_new();
	g_hash_table_iter_init(&iter, sched->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct machine *machine = value;

		if (machine->recorded_until_us > sched_now_us(sched))
			g_ptr_array_add(record->machines,
					(gpointer)machine->name);
	}
	g_ptr_array_add(write->records, record);
	/* There is one write at a time, so orders_storing is empty. */
	storing = sched->orders_queued;
	sched->orders_queued = sched->orders_storing;
	sched->orders_storing = storing;
}

/* An item may have been placed on the machine while its order was stored. */
static bool is_still_empty(const struct sched *sched,
			   const struct machine_order *order)
{
	const struct machine *machine = machine_find(sched, order->machine);
	const struct worker *worker =
		machine ? worker_find(sched, machine->worker) : NULL;

	return machine && (!worker || !worker->placed->len);
}

static void refuse_order(struct sched *sched, struct machine_order *order)
{
	order->result = MACHINE_REFUSED;
	kernel_emit_msg(sched->kernel, EVENT_MACHINE_ORDERED,
			g_rc_box_acquire(order));
}

/*
 * This process was the holder when the store took the write, but may have been
 * paused since. A successor waits for a machine lease from its own start on.
 */
static int64_t send_by_us(const struct sched *sched)
{
	return sched->flush_sent_us + sched->bounds->machine_lease_us *
					      SEND_WITHIN_LEASE_PERCENT / 100;
}

static void send_order(struct sched *sched, struct machine_order *order)
{
	struct machine *machine = machine_find(sched, order->machine);

	order->send_by_us = send_by_us(sched);
	if (sched_now_us(sched) > order->send_by_us) {
		decision_log(
			"machine-order",
			"machine=%s result=too-late stored_ms=%" G_GINT64_FORMAT,
			order->machine,
			(sched_now_us(sched) - sched->flush_sent_us) /
				USEC_PER_MSEC);
		refuse_order(sched, order);
		return;
	}
	decision_log("machine-order",
		     "machine=%s kind=%s wave=%" G_GUINT64_FORMAT " pool=%s",
		     order->machine, order->upkeep ? "upkeep" : "move",
		     order->wave, order->pool);
	machine->recorded_until_us =
		sched_now_us(sched) + sched->bounds->machine_lease_us;
	kernel_emit_msg(sched->kernel, EVENT_MACHINE_ORDER,
			g_rc_box_acquire(order));
}

void machine_orders_on_written(struct sched *sched, bool stored)
{
	for (guint i = 0; i < sched->orders_storing->len; i++) {
		struct machine_order *order = sched->orders_storing->pdata[i];

		if (stored && is_still_empty(sched, order))
			send_order(sched, order);
		else
			refuse_order(sched, order);
	}
	g_ptr_array_set_size(sched->orders_storing, 0);
}

void machine_orders_clear(struct sched *sched)
{
	g_ptr_array_set_size(sched->orders_queued, 0);
	g_ptr_array_set_size(sched->orders_storing, 0);
}
