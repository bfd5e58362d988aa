/* The workers: what is placed on each, its leases, and orders to it. */

#include <string.h>

#include "jobs/sched_quota.h"
#include "kernel/decision_log.h"

/* An unlisted worker is kept this long: it may be listed again or answer. */
#define FORGET_AFTER_US (20 * USEC_PER_SEC)

struct worker *worker_find(const struct sched *sched, const char *id)
{
	return id ? g_hash_table_lookup(sched->workers, id) : NULL;
}

struct worker *worker_get(struct sched *sched, const char *id)
{
	struct worker *worker = worker_find(sched, id);

	if (worker)
		return worker;
	worker = g_new0(struct worker, 1);
	worker->id = g_intern_string(id);
	worker->placed = g_array_new(FALSE, TRUE, sizeof(struct placement));
	worker->late_starts =
		g_array_new(FALSE, TRUE, sizeof(struct late_start));
	worker->lease_expiry_us = sched->earlier_holder_until_us;
	worker->any_life_expiry_us = sched->earlier_holder_until_us;
	worker->unlisted_us = sched_now_us(sched);
	g_hash_table_insert(sched->workers, (gpointer)worker->id, worker);
	return worker;
}

void worker_free(gpointer data)
{
	struct worker *worker = data;

	if (worker->labels)
		g_ptr_array_unref(worker->labels);
	g_array_unref(worker->placed);
	g_array_unref(worker->late_starts);
	g_free(worker);
}

struct placement worker_placement(const struct worker *worker, uint32_t at)
{
	return g_array_index(worker->placed, struct placement, at);
}

struct job_item *placement_item(const struct placement *placement)
{
	return job_item(placement->job, placement->index);
}

const struct job_step *placement_step(const struct placement *placement)
{
	return job_step(placement->job,
			job_item_step(placement->job, placement->index));
}

static void adjust_usage(struct worker *worker, const struct job *job,
			 uint32_t index, int32_t sign)
{
	const struct job_step *step = job_step(job, job_item_step(job, index));
	struct resources amount = resources_of_step(step);

	if (!step->filler)
		worker->used_cpu_milli += (uint32_t)sign * step->cpu_milli;
	worker->used_mem_mb += (uint32_t)sign * step->mem_mb;
	worker->used_gpu_count += (uint32_t)sign * step->gpu_count;
	if (sign > 0)
		quota_add_usage(job->quota, &amount);
	else
		quota_remove_usage(job->quota, &amount);
}

void worker_attach(struct worker *worker, struct job *job, uint32_t index)
{
	struct placement placement = { .job = job, .index = index };

	g_array_append_val(worker->placed, placement);
	adjust_usage(worker, job, index, 1);
}

void worker_detach(struct worker *worker, const struct job *job, uint32_t index)
{
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);

		if (placement.job != job || placement.index != index)
			continue;
		g_array_remove_index_fast(worker->placed, i);
		adjust_usage(worker, job, index, -1);
		return;
	}
}

/* Capacity and labels in the directory may be those of a former life. */
static bool directory_is_of_other_life(const struct worker *worker)
{
	return worker->listed_started_ms && worker->reported_started_ms &&
	       worker->listed_started_ms != worker->reported_started_ms;
}

bool worker_accepts_work(const struct sched *sched, const struct worker *worker)
{
	return worker->listed && worker->synced && !worker->gone &&
	       !directory_is_of_other_life(worker) && worker->has_clock &&
	       worker->cordon == CORDON_NONE && worker->unanswered_count == 0 &&
	       worker->avoid_until_us <= sched_now_us(sched);
}

/* A lower bound of the worker's clock now. */
static int64_t estimate_clock_ms(const struct sched *sched,
				 const struct worker *worker)
{
	return worker->clock_ms +
	       (sched_now_us(sched) - worker->clock_read_us) / USEC_PER_MSEC;
}

struct order *worker_order_new(struct sched *sched, struct worker *worker,
			       enum order_kind kind)
{
	struct order *order = order_new(kind);

	order->worker = worker->id;
	g_strlcpy(order->address, worker->address, sizeof(order->address));
	g_strlcpy(order->dc, worker->dc, sizeof(order->dc));
	order->token = sched->token;
	if (!worker->has_clock)
		return order;
	/*
	 * The lease of a worker that doesn't answer isn't extended, so that it
	 * certainly expires at some time.
	 */
	if (worker->missed_holds_count)
		order->lease_ms =
			kind == ORDER_START ? worker->lease_end_ms : 0;
	else if (kind == ORDER_START || kind == ORDER_HOLD)
		order->lease_ms =
			estimate_clock_ms(sched, worker) +
			worker_lease_us(sched->bounds) / USEC_PER_MSEC;
	return order;
}

/* From the newest reading of the worker's clock; workers cut longer leases. */
static int64_t longest_lease_us(const struct sched *sched,
				const struct worker *worker)
{
	return sched_now_us(sched) - worker->clock_read_us +
	       sched->bounds->lease_max_us;
}

void worker_send_order(struct sched *sched, struct worker *worker,
		       struct order *order)
{
	int64_t lease_us;
	int64_t expiry_us;

	order->sent_us = sched_now_us(sched);
	if (!order->timeout_us)
		order->timeout_us =
			order->wait_us +
			order_timing_timeout_us(&sched->order_timing,
						worker->missed_orders_count);
	if (order->lease_ms) {
		worker->lease_end_ms =
			MAX(worker->lease_end_ms, order->lease_ms);
		/* The time may be one of the clock of an earlier life. */
		lease_us = MIN((order->lease_ms - worker->clock_ms) *
				       USEC_PER_MSEC,
			       longest_lease_us(sched, worker));
		expiry_us = worker->clock_read_us +
			    worker_lease_local_max_us(lease_us);
		worker->lease_expiry_us =
			MAX(worker->lease_expiry_us, expiry_us);
	}
	worker->pending_stops_count += order->kind == ORDER_STOP;
	kernel_emit_msg(sched->kernel, EVENT_ORDER, order);
}

void worker_forget_ends(struct worker *worker)
{
	worker->seen_end_number = 0;
	worker->flushing_end_number = 0;
	worker->stored_end_number = 0;
	worker->acked_end_number = 0;
	worker->ack_deferred = false;
}

static void update_clock(struct sched *sched, struct worker *worker,
			 const struct order *order)
{
	/* The order may have been answered by a former life. */
	if (!order->has_clock || order->sent_us < worker->restarted_us)
		return;
	if (order->kind != ORDER_HOLD && worker->life_asked_us &&
	    !worker_life_is_known(sched, worker, order))
		decision_log("worker-clock",
			     "worker=%s kind=%s item=%s run=%u "
			     "clock_ms=%" G_GINT64_FORMAT
			     " earlier_ms=%" G_GINT64_FORMAT
			     " read_age_ms=%" G_GINT64_FORMAT,
			     worker->id, order_kind_name(order->kind),
			     order->item, order->run, order->clock_ms,
			     worker->clock_ms,
			     (sched_now_us(sched) - worker->clock_read_us) /
				     USEC_PER_MSEC);
	worker->has_clock = true;
	worker->clock_ms = order->clock_ms;
	worker->clock_read_us = sched_now_us(sched);
}

/*
 * Sends orders again whose outcome is unknown, unless one for the same run may
 * still be answered. A worker that drains gets a stop instead of a start: the
 * item is placed elsewhere once no earlier start of the run can take effect.
 */
static void resend_orders(struct sched *sched, struct worker *worker)
{
	int64_t now_us = sched_now_us(sched);

	if (!worker->resend_pending)
		return;
	worker->resend_pending = false;
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		struct job_item *item = placement_item(&placement);

		worker->resend_pending |= !item->settled;
		if (item->settled || item->pending_orders_count ||
		    now_us < item->ordered_us + ORDER_RESEND_DELAY_US)
			continue;
		if (item->phase == ITEM_STARTING && item->ordered_us &&
		    !placement.job->stop_all) {
			if (worker->draining) {
				item_stop(sched, placement.job, placement.index,
					  "draining");
				continue;
			}
			if (!starts_may_send(sched, worker) ||
			    worker->unanswered_count)
				continue;
			item_send_start(sched, placement.job, placement.index);
		} else if (item->phase == ITEM_STOPPING) {
			item_send_stop(sched, worker, placement.job,
				       placement.index);
		} else if (item->phase == ITEM_STARTING &&
			   placement.job->stop_all) {
			item_stop(sched, placement.job, placement.index,
				  "job-ended");
		}
	}
}

/* Whether a worker left so long ago that it can be removed. */
static bool is_forgettable(const struct worker *worker, int64_t now_us)
{
	return !worker->listed && !worker->placed->len &&
	       !worker->late_starts->len && !worker->hold_pending &&
	       now_us - worker->unlisted_us > FORGET_AFTER_US;
}

/* Runs the tasks that are due for a worker. */
static void worker_tick(struct sched *sched, struct worker *worker)
{
	int64_t now_us = sched_now_us(sched);

	if (worker->placed->len && now_us >= worker->lease_expiry_us &&
	    (worker->unanswered_count || !worker->address[0]) &&
	    sched->directory_seen)
		worker_release_lapsed(sched, worker);
	hold_send_if_due(sched, worker);
	if (worker->synced)
		resend_orders(sched, worker);
	late_starts_tick(sched, worker);
	if (worker->hold_not_before_us > now_us)
		sched_wake_at(sched, worker->hold_not_before_us);
}

void workers_tick(struct sched *sched)
{
	int64_t now_us = sched_now_us(sched);
	GHashTableIter iter;
	gpointer value;

	sched->busy_workers_count = 0;
	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		sched->busy_workers_count += worker->placed->len > 0;
		if (is_forgettable(worker, now_us))
			g_hash_table_iter_remove(&iter);
		else
			worker_tick(sched, value);
	}
}

/* Notes whether and how soon the worker has answered. */
static void note_answer(struct sched *sched, struct worker *worker,
			const struct order *order)
{
	int64_t now_us = sched_now_us(sched);

	if (!order_is_answered(order)) {
		worker->missed_orders_count +=
			order->result == ORDER_UNANSWERED;
		return;
	}
	worker->any_answered_us = now_us;
	worker->missed_orders_count = 0;
	if (!order->wait_us)
		order_timing_observe(&sched->order_timing,
				     now_us - order->sent_us);
}

void workers_on_order(struct sched *sched, const struct order *order)
{
	struct worker *worker = worker_find(sched, order->worker);

	if (!worker || order->token != sched->token)
		return;
	note_answer(sched, worker, order);
	worker_note_lease(sched, worker, order);
	update_clock(sched, worker, order);
	if (order->kind == ORDER_START && worker->pending_starts_count)
		worker->pending_starts_count--;
	if (order->kind == ORDER_STOP && worker->pending_stops_count)
		worker->pending_stops_count--;
	if (order->result == ORDER_WRONG_WORKER) {
		if (order->kind != ORDER_HOLD && order->kind != ORDER_PACE)
			item_on_order(sched, worker, order);
		worker->hold_pending = false;
		worker_mark_gone(sched, worker, "other-life", order->sent_us);
		worker->hold_not_before_us =
			sched_now_us(sched) + HOLD_IDLE_RETRY_US;
		return;
	}
	if (order->kind == ORDER_HOLD)
		hold_on_result(sched, worker, order);
	else if (order->kind != ORDER_PACE)
		item_on_order(sched, worker, order);
	if (order->kind == ORDER_STOP)
		late_starts_on_order(sched, worker, order);
	if (order->kind == ORDER_START)
		starts_on_order(sched, worker, order);
	worker_tick(sched, worker);
}
