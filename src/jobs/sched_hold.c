/*
 * Holds renew the lease of a worker and return its lists of active and of ended
 * runs. A worker gets new work only after it has received our fencing token and
 * we have its lists, so that no item of an earlier holder runs there unnoticed.
 */

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* A hold waits this long for an end; it also renews the lease. */
#define HOLD_WAIT_US USEC_PER_SEC
/*
 * The same if items are to end soon: if the answer gets lost, their ends are
 * heard with the next hold.
 */
#define HOLD_SHORT_WAIT_US (200 * USEC_PER_MSEC)
/* Holds missed in a row after which a worker that answers starts is silent. */
#define MISSED_HOLDS_MAX_COUNT 4
/* Minimum time between two holds of a worker. */
#define HOLD_MIN_INTERVAL_US (40 * USEC_PER_MSEC)
/* Average time between two holds, of all workers together. */
#define HOLD_SPACING_US 400
/* Taken for the least time between an answer of a worker and its next life. */
#define LIFE_KNOWN_US (300 * USEC_PER_MSEC)
/* From a list of runs to the arrival of a stop, besides the stop itself. */
#define STRAY_STOP_SLACK_US (200 * USEC_PER_MSEC)
/* Delay after a hold without an answer. */
#define HOLD_RETRY_US (200 * USEC_PER_MSEC)
/* An answer with this many ends may not list all of them. */
#define ENDS_LISTED_MAX_COUNT 500

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
	worker_forget_ends(worker);
	worker->lease_end_ms = 0;
	worker->restarted_us = sched_now_us(sched);
	worker->lease_expiry_us = 0;
	worker_extend_life_leases(sched, worker);
	advice_forget_worker(sched, worker);
	late_starts_on_restart(sched, worker);
	starts_cancel(sched, worker, "restarted");
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		struct job_item *item = placement_item(&placement);

		item->life_known = false;
		/* The new life doesn't know of a stop that was confirmed. */
		if (item->phase == ITEM_STOPPING)
			item->settled = false;
	}
	worker->resend_pending = true;
	sched_request_placement(sched);
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

/* The item isn't started before its stray run has been stopped. */
static void wait_for_stray(struct sched *sched, struct job *job, uint32_t index)
{
	struct job_item *item = job_item(job, index);
	int64_t stopped_us = sched_now_us(sched) + sched->bounds->stop_us +
			     STRAY_STOP_SLACK_US;

	if (item->phase == ITEM_STORING || item->phase == ITEM_STORED)
		item_release(sched, job, index, "stray");
	item->retry_us = MAX(item->retry_us, stopped_us);
	sched_wake_at(sched, item->retry_us);
}

static void process_running_row(struct sched *sched, struct worker *worker,
				const struct running_row *row)
{
	uint32_t index = 0;
	struct job *job = sched_find_item(sched, row->item, &index);
	struct job_item *item = job ? job_item(job, index) : NULL;

	if (!item || item->worker != worker->id || item->run != row->run) {
		if (item)
			wait_for_stray(sched, job, index);
		if (!late_starts_contain(worker, row->item, row->run))
			stop_stray(sched, worker, row);
		return;
	}
	item->list_number = sched->list_number;
	item->life_known = true;
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
	item_set_checkpoint(job, index, row->checkpoint,
			    MIN(row->percent, 100));
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

/* Nothing shows that the items of a silent worker are at work. */
static void mark_items_unavailable(struct worker *worker, int64_t now_us)
{
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		struct job_item *item = placement_item(&placement);

		item->progress_percent = 0;
		if (!item->unavailable_since_us)
			item->unavailable_since_us = now_us;
	}
}

/* The delay lets one answer list several ends that come together. */
static int64_t hold_interval_us(const struct sched *sched,
				const struct worker *worker)
{
	/* The next hold acknowledges, while the answer is recent. */
	if (worker->ack_deferred)
		return HOLD_MIN_INTERVAL_US;
	return MAX(HOLD_MIN_INTERVAL_US,
		   (int64_t)sched->busy_workers_count * HOLD_SPACING_US);
}

/*
 * Whether only the answer of a hold may be lost: it is the first one, or the
 * worker has answered another order since. The next hold is sent at once.
 */
static bool may_be_lost_answer(const struct worker *worker,
			       const struct order *order)
{
	return order->result == ORDER_UNANSWERED && !worker->unanswered_count &&
	       (worker->missed_holds_count == 1 ||
		(worker->any_answered_us > order->sent_us &&
		 worker->missed_holds_count < MISSED_HOLDS_MAX_COUNT));
}

/* Handles a hold that the worker didn't answer, or refused. */
static void on_missed(struct sched *sched, struct worker *worker,
		      const struct order *order)
{
	int64_t now_us = sched_now_us(sched);

	worker->ack_deferred = false;
	if (!worker->missed_holds_count)
		worker->missed_since_us = order->sent_us;
	worker->missed_holds_count++;
	if (may_be_lost_answer(worker, order)) {
		counter_add(kernel_counters(sched->kernel),
			    "hold_answers_lost_total", 1);
		return;
	}
	if (!worker->unanswered_count) {
		worker->silent_since_us = worker->missed_since_us;
		counter_add(kernel_counters(sched->kernel),
			    "workers_lost_total", 1);
		decision_log("dependency",
			     "name=worker/%s state=lost result=%s "
			     "items=%u",
			     worker->id, order_result_name(order->result),
			     worker->placed->len);
		starts_cancel(sched, worker, "no-answer");
		mark_items_unavailable(worker, now_us);
	}
	worker->unanswered_count++;
	worker->hold_not_before_us =
		now_us +
		(worker->placed->len ? HOLD_RETRY_US : HOLD_IDLE_RETRY_US);
}

void hold_on_result(struct sched *sched, struct worker *worker,
		    const struct order *order)
{
	int64_t now_us = sched_now_us(sched);

	/* The directory has shown another life since it was sent. */
	if (order->sent_us < worker->hold_sent_us)
		return;
	worker->hold_pending = false;
	if (!order_is_answered(order) || order->result == ORDER_REFUSED) {
		on_missed(sched, worker, order);
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
	worker->missed_holds_count = 0;
	worker->silent_since_us = 0;
	worker->answered_us = now_us;
	worker_note_life(sched, worker, order);
	update_reported_start(sched, worker, order);
	if (!worker->synced)
		sched_request_placement(sched);
	worker->synced = true;
	worker->gone = false;
	process_lists(sched, worker, order);
	starts_send_next(sched, worker);
	stragglers_on_hold(sched, worker);
	fillers_on_hold(sched, worker);
	worker->hold_due_us = now_us + hold_interval_us(sched, worker);
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

static bool has_short_items(const struct worker *worker)
{
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);

		if (!placement_step(&placement)->long_running)
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
	bool life_known = now_us - worker->answered_us <= LIFE_KNOWN_US;

	if (!worker->synced || worker->unanswered_count ||
	    worker->stored_end_number == worker->acked_end_number)
		return 0;
	worker->ack_deferred = !life_known;
	return life_known ? worker->stored_end_number : 0;
}

void hold_send_if_due(struct sched *sched, struct worker *worker)
{
	int64_t now_us = sched_now_us(sched);
	/* Each life must refuse a late start, so restarts are noticed. */
	bool runs = has_ordered_items(worker) || worker->late_starts->len;
	struct order *order;

	if (worker->hold_pending || now_us < worker->hold_due_us ||
	    now_us < worker->hold_not_before_us || !worker->address[0])
		return;
	if (worker->synced) {
		/* Ends that aren't acknowledged make a hold return at once. */
		if (worker->seen_end_number > worker->stored_end_number &&
		    !worker->ack_deferred)
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
	if (worker->synced && runs && !worker->missed_holds_count)
		order->wait_us = has_short_items(worker) ? HOLD_SHORT_WAIT_US
							 : HOLD_WAIT_US;
	worker->hold_pending = true;
	worker->hold_sent_us = now_us;
	worker_send_order(sched, worker, order);
}
