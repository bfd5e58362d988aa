/*
 * Leases, lists and health of the workers. A worker gets new work only after
 * it has received our fencing token and we have its lists, so that no item of
 * an earlier holder runs there unnoticed.
 */

#include <string.h>

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* A hold waits this long for an end; it also renews the lease. */
#define HOLD_WAIT_US USEC_PER_SEC
/* Minimum time between two holds of a worker. */
#define HOLD_MIN_INTERVAL_US (40 * USEC_PER_MSEC)
/* Average time between two holds, of all workers together. */
#define HOLD_SPACING_US 400
/* No worker ends and starts again within this time. */
#define LIFE_KNOWN_US (300 * USEC_PER_MSEC)
/* Delay after a hold without an answer. */
#define HOLD_RETRY_US (200 * USEC_PER_MSEC)
/* The same for a worker that has no items. */
#define HOLD_IDLE_RETRY_US USEC_PER_SEC
/* An unlisted worker is kept this long: it may be listed again or answer. */
#define FORGET_AFTER_US (20 * USEC_PER_SEC)
/* An answer with this many ends may not list all of them. */
#define ENDS_LISTED_MAX_COUNT 500
#define EJECT_US (3 * USEC_PER_SEC)
#define EJECT_DOUBLINGS_MAX 4

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
	worker->lease_expiry_us = sched->earlier_holder_until_us;
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

	if (!step->filler)
		worker->used_cpu_milli += (uint32_t)sign * step->cpu_milli;
	worker->used_mem_mb += (uint32_t)sign * step->mem_mb;
	worker->used_gpu_count += (uint32_t)sign * step->gpu_count;
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

bool worker_accepts_work(const struct sched *sched, const struct worker *worker)
{
	return worker->listed && worker->synced && !worker->gone &&
	       worker->has_clock && worker->cordon == CORDON_NONE &&
	       worker->unanswered_count == 0 &&
	       worker->avoid_until_us <= sched_now_us(sched);
}

void worker_record_success(struct worker *worker)
{
	worker->failures_count = 0;
	worker->ejections_count = 0;
}

/*
 * A job may fail wherever it runs. So it counts once for a worker, and not at
 * all once it has failed on others.
 */
static bool counts_against(const struct worker *worker, struct job *job)
{
	for (uint32_t i = 0; i < job->failed_workers_count; i++) {
		if (job->failed_workers[i] == worker->id)
			return false;
	}
	if (job->failed_workers_count == JOB_FAILED_WORKERS_MAX_COUNT)
		return false;
	job->failed_workers[job->failed_workers_count++] = worker->id;
	return true;
}

void worker_record_failure(struct sched *sched, struct worker *worker,
			   struct job *job)
{
	uint32_t doublings;

	if (!counts_against(worker, job))
		return;
	worker->failures_count++;
	if (worker->failures_count < EJECT_FAILURES_COUNT)
		return;
	worker->failures_count = 0;
	doublings = MIN(worker->ejections_count, EJECT_DOUBLINGS_MAX);
	worker->ejections_count++;
	worker->avoid_until_us = sched_now_us(sched) + (EJECT_US << doublings);
	decision_log("eject", "worker=%s failures=%d for_ms=%" G_GINT64_FORMAT,
		     worker->id, EJECT_FAILURES_COUNT,
		     (worker->avoid_until_us - sched_now_us(sched)) /
			     USEC_PER_MSEC);
	sched_wake_at(sched, worker->avoid_until_us);
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
	if (worker->unanswered_count)
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
	kernel_emit_msg(sched->kernel, EVENT_ORDER, order);
}

/* Each life of a worker numbers its ends anew. */
static void forget_ends(struct worker *worker)
{
	worker->seen_end_number = 0;
	worker->flushing_end_number = 0;
	worker->stored_end_number = 0;
	worker->acked_end_number = 0;
}

void worker_mark_gone(struct sched *sched, struct worker *worker,
		      const char *reason)
{
	if (!worker->gone || worker->placed->len)
		decision_log("worker-gone",
			     "worker=%s reason=%s items=%u "
			     "silent_ms=%" G_GINT64_FORMAT,
			     worker->id, reason, worker->placed->len,
			     worker->silent_since_us
				     ? (sched_now_us(sched) -
					worker->silent_since_us) /
					       USEC_PER_MSEC
				     : 0);
	worker->gone = true;
	worker->synced = false;
	worker->lease_end_ms = 0;
	advice_forget_worker(sched, worker);
	for (guint i = worker->placed->len; i > 0; i--) {
		struct placement placement = worker_placement(worker, i - 1);

		/*
		 * An order under way may yet reach a new life of the worker.
		 * Its result decides about the item.
		 */
		if (!placement_item(&placement)->pending_orders_count)
			item_release(sched, placement.job, placement.index,
				     reason);
	}
	forget_ends(worker);
	sched_request_placement(sched);
}

/*
 * The worker has started again under its id: its counts and its clock are new,
 * and nothing of before runs there. Orders that were sent since, or are still
 * under way, may have reached the new life, so items are only taken off the
 * worker as its lists show.
 */
static void on_restart(struct sched *sched, struct worker *worker)
{
	decision_log("worker-restarted",
		     "worker=%s born=%" G_GINT64_FORMAT " items=%u", worker->id,
		     worker->reported_started_ms, worker->placed->len);
	forget_ends(worker);
	worker->lease_end_ms = 0;
	worker->lease_expiry_us =
		sched_now_us(sched) +
		worker_lease_local_max_us(sched->bounds->lease_max_us);
	advice_forget_worker(sched, worker);
	starts_cancel(sched, worker, "restarted");
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		struct job_item *item = placement_item(&placement);

		/* The new life doesn't know of a stop that was confirmed. */
		if (item->phase == ITEM_STOPPING)
			item->settled = false;
	}
	worker->resend_pending = true;
	sched_request_placement(sched);
}

static void update_clock(struct sched *sched, struct worker *worker,
			 const struct order *order)
{
	if (!order->has_clock)
		return;
	worker->has_clock = true;
	worker->clock_ms = order->clock_ms;
	worker->clock_read_us = sched_now_us(sched);
}

/* Stops a run that doesn't match any placement. */
static void stop_stray(struct sched *sched, struct worker *worker,
		       const struct running_row *row)
{
	struct order *order = worker_order_new(sched, worker, ORDER_STOP);

	decision_log("stop", "item=%s run=%u worker=%s reason=stray", row->item,
		     row->run, worker->id);
	g_strlcpy(order->item, row->item, sizeof(order->item));
	order->run = row->run;
	worker_send_order(sched, worker, order);
}

static void process_running_row(struct sched *sched, struct worker *worker,
				const struct running_row *row)
{
	uint32_t index = 0;
	struct job *job = sched_find_item(sched, row->item, &index);
	struct job_item *item = job ? job_item(job, index) : NULL;

	if (!item || item->worker != worker->id || item->run != row->run) {
		stop_stray(sched, worker, row);
		return;
	}
	item->list_number = sched->list_number;
	if (item->phase == ITEM_STARTING)
		item_mark_running(sched, job, index);
	if (item->phase == ITEM_RUNNING)
		item->settled = true;
	if (item->progress_percent != row->percent ||
	    !item->progress_changed_us)
		item->progress_changed_us = sched_now_us(sched);
	if (row->percent >= 100 && item->progress_percent < 100 &&
	    job_step(job, job_item_step(job, index))->long_running)
		worker_record_success(worker);
	item->progress_percent = row->percent;
	item->observed = row->observed;
	if (row->percent >= 100)
		item->unavailable_since_us = 0;
	else if (!item->unavailable_since_us)
		item->unavailable_since_us = sched_now_us(sched);
	if (row->checkpoint && *row->checkpoint &&
	    g_strcmp0(row->checkpoint, item->checkpoint)) {
		g_free(item->checkpoint);
		item->checkpoint = g_strdup(row->checkpoint);
	}
	if ((job->stop_all || job_has_ended(job)) &&
	    item->phase == ITEM_RUNNING)
		item_stop(sched, job, index, "job-ended");
}

/* Whether an item that is in neither list certainly doesn't run there. */
static bool is_certainly_absent(const struct job_item *item,
				const struct order *order)
{
	switch (item->phase) {
	case ITEM_STARTING:
		/* Only an earlier holder ordered it; its token is fenced. */
		return !item->ordered_us;
	case ITEM_RUNNING:
	case ITEM_STOPPING:
		return item->settled && item->confirmed_us < order->sent_us;
	default:
		return false;
	}
}

/* Releases the items that are in neither of the worker's current lists. */
static void release_absent(struct sched *sched, struct worker *worker,
			   const struct order *order)
{
	for (guint i = worker->placed->len; i > 0; i--) {
		struct placement placement = worker_placement(worker, i - 1);
		const struct job_item *item = placement_item(&placement);

		if (item->list_number == sched->list_number ||
		    !is_certainly_absent(item, order))
			continue;
		/* A start that got no answer may reach a new life late. */
		if (item->phase == ITEM_RUNNING && item->start_unanswered)
			item_stop(sched, placement.job, placement.index,
				  "absent");
		else
			item_release(sched, placement.job, placement.index,
				     "absent");
	}
}

static void process_lists(struct sched *sched, struct worker *worker,
			  const struct order *order)
{
	sched->list_number++;
	for (guint i = 0; i < order->ended->len; i++) {
		const struct ended_row *row =
			&g_array_index(order->ended, struct ended_row, i);

		if (row->number <= worker->seen_end_number)
			continue;
		worker->seen_end_number = row->number;
		sched->ends_unstored = true;
		item_on_end(sched, worker, row);
	}
	for (guint i = 0; i < order->running->len; i++)
		process_running_row(
			sched, worker,
			&g_array_index(order->running, struct running_row, i));
	if (order->ended->len < ENDS_LISTED_MAX_COUNT)
		release_absent(sched, worker, order);
}

/*
 * Sends orders again whose outcome is unknown, unless one for the same run may
 * still be answered.
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
			if (!starts_may_send(worker))
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

/* Notes which life of the worker has answered, and what it was told. */
static void update_reported_start(struct sched *sched, struct worker *worker,
				  const struct order *order)
{
	int64_t earlier_ms = worker->reported_started_ms;

	if (order->started_ms)
		worker->reported_started_ms = order->started_ms;
	if (earlier_ms && worker->reported_started_ms != earlier_ms)
		on_restart(sched, worker);
	else
		worker->acked_end_number =
			MAX(worker->acked_end_number, order->acked_number);
}

static void on_hold_result(struct sched *sched, struct worker *worker,
			   const struct order *order)
{
	int64_t now_us = sched_now_us(sched);

	worker->hold_pending = false;
	if (!order_is_answered(order) || order->result == ORDER_REFUSED) {
		if (!worker->unanswered_count) {
			worker->silent_since_us = order->sent_us;
			counter_add(kernel_counters(sched->kernel),
				    "workers_lost_total", 1);
			decision_log("dependency",
				     "name=worker/%s state=lost result=%s "
				     "items=%u",
				     worker->id,
				     order_result_name(order->result),
				     worker->placed->len);
			starts_cancel(sched, worker, "no-answer");
		}
		worker->ack_deferred = false;
		worker->unanswered_count++;
		worker->hold_not_before_us =
			now_us + (worker->placed->len ? HOLD_RETRY_US
						      : HOLD_IDLE_RETRY_US);
		return;
	}
	if (order->result != ORDER_OK)
		return;
	if (worker->unanswered_count) {
		decision_log("dependency",
			     "name=worker/%s state=regained "
			     "lost_ms=%" G_GINT64_FORMAT,
			     worker->id,
			     (now_us - worker->silent_since_us) /
				     USEC_PER_MSEC);
		sched_request_placement(sched);
	}
	worker->unanswered_count = 0;
	worker->silent_since_us = 0;
	worker->answered_us = now_us;
	update_reported_start(sched, worker, order);
	if (!worker->synced)
		sched_request_placement(sched);
	worker->synced = true;
	worker->gone = false;
	process_lists(sched, worker, order);
	starts_send_next(sched, worker);
	stragglers_on_hold(sched, worker);
	fillers_on_hold(sched, worker);
	/* The delay lets one answer list several ends that come together. */
	worker->hold_due_us = now_us + MAX(HOLD_MIN_INTERVAL_US,
					   (int64_t)sched->busy_workers_count *
						   HOLD_SPACING_US);
	sched_wake_at(sched, worker->hold_due_us);
}

void workers_on_flush(struct sched *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		worker->flushing_end_number = worker->seen_end_number;
	}
}

void workers_on_stored(struct sched *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		worker->stored_end_number = worker->flushing_end_number;
	}
}

static bool has_ordered_items(const struct worker *worker)
{
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		enum item_phase phase = placement_item(&placement)->phase;

		if (phase != ITEM_STORING && phase != ITEM_STORED)
			return true;
	}
	return false;
}

/*
 * Returns the number up to which the next hold acknowledges ends; 0: none. A
 * worker that has started again meanwhile has numbered its ends anew, and would
 * forget some that were never read. So if its last answer is old, one hold goes
 * without, and the next one acknowledges.
 */
static uint64_t next_acked_number(struct worker *worker, int64_t now_us)
{
	bool life_known = worker->ack_deferred ||
			  now_us - worker->answered_us <= LIFE_KNOWN_US;

	if (!worker->synced || worker->unanswered_count ||
	    worker->stored_end_number == worker->acked_end_number)
		return 0;
	worker->ack_deferred = !life_known;
	return life_known ? worker->stored_end_number : 0;
}

static void send_hold(struct sched *sched, struct worker *worker)
{
	int64_t now_us = sched_now_us(sched);
	bool runs = has_ordered_items(worker);
	struct order *order;

	if (worker->hold_pending || now_us < worker->hold_due_us ||
	    now_us < worker->hold_not_before_us || !worker->address[0])
		return;
	if (worker->synced) {
		/* Ends that aren't acknowledged make a hold return at once. */
		if (worker->seen_end_number > worker->stored_end_number)
			return;
		if (!runs &&
		    worker->acked_end_number == worker->stored_end_number &&
		    !worker->unanswered_count)
			return;
	} else if (!worker->listed && !worker->placed->len) {
		return;
	}
	order = worker_order_new(sched, worker, ORDER_HOLD);
	order->acked_number = next_acked_number(worker, now_us);
	if (worker->synced && runs && !worker->unanswered_count)
		order->wait_us = HOLD_WAIT_US;
	worker->hold_pending = true;
	worker_send_order(sched, worker, order);
}

/* Whether a worker left so long ago that it can be removed. */
static bool is_forgettable(const struct worker *worker, int64_t now_us)
{
	return !worker->listed && !worker->placed->len &&
	       !worker->hold_pending &&
	       now_us - worker->unlisted_us > FORGET_AFTER_US;
}

/* Runs the tasks that are due for a worker. */
static void worker_tick(struct sched *sched, struct worker *worker)
{
	int64_t now_us = sched_now_us(sched);

	if (worker->placed->len && !worker->gone &&
	    now_us >= worker->lease_expiry_us &&
	    (worker->unanswered_count || !worker->address[0]) &&
	    sched->directory_seen)
		worker_mark_gone(sched, worker, "lapsed");
	send_hold(sched, worker);
	if (worker->synced)
		resend_orders(sched, worker);
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

void workers_on_order(struct sched *sched, const struct order *order)
{
	struct worker *worker = worker_find(sched, order->worker);

	if (!worker || order->token != sched->token)
		return;
	update_clock(sched, worker, order);
	if (order->kind == ORDER_START && worker->pending_starts_count)
		worker->pending_starts_count--;
	if (order->result == ORDER_WRONG_WORKER) {
		if (order->kind != ORDER_HOLD && order->kind != ORDER_PACE)
			item_on_order(sched, worker, order);
		worker->hold_pending = false;
		worker_mark_gone(sched, worker, "other-life");
		worker->hold_not_before_us =
			sched_now_us(sched) + HOLD_IDLE_RETRY_US;
		return;
	}
	if (order->kind == ORDER_HOLD)
		on_hold_result(sched, worker, order);
	else if (order->kind != ORDER_PACE)
		item_on_order(sched, worker, order);
	if (order->kind == ORDER_START)
		starts_on_order(sched, worker, order);
	worker_tick(sched, worker);
}
