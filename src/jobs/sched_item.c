/*
 * State machine of a work item on the holder:
 *
 * waiting -> storing (the placement is being written) -> stored -> starting
 * (the start is ordered) -> running -> done, or stopping -> waiting again.
 *
 * An item is taken off its worker only when the worker lists the end of the
 * run, when the result of an order proves that it doesn't run there and no
 * earlier order can arrive later, or when the worker has ended or its lease
 * has certainly expired.
 */

#include <string.h>

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* A worker that had no room for an item gets no work for this long. */
#define NO_ROOM_AVOID_US (100 * USEC_PER_MSEC)
/* A worker that refuses work as unhealthy gets none for this long. */
#define REFUSED_AVOID_US (1500 * USEC_PER_MSEC)
/* Delay before an item that failed is placed again, per failure. */
#define FAILED_RETRY_STEP_US (20 * USEC_PER_MSEC)
/* Longer, as long-running items may fail every time and have no limit. */
#define LONG_RUNNING_RETRY_US (200 * USEC_PER_MSEC)

/*
 * Stop orders to one worker at a time, of which its connections carry two at
 * once. Further ones would wait in the HTTP client until they time out there.
 */
#define PENDING_STOPS_MAX_COUNT 4

/* Progress of a checkpoint from the end of a run: more than any it had. */
#define CHECKPOINT_END_PERCENT 101
/* The same if the run wrote it as it was stopped. */
#define CHECKPOINT_STOP_PERCENT 102

static void mark_segment_dirty(struct sched *sched, struct job *job,
			       uint32_t segment)
{
	job->dirty_segments[segment] = true;
	if (job->dirty)
		return;
	job->dirty = true;
	g_ptr_array_add(sched->dirty_jobs, job);
}

void job_mark_dirty(struct sched *sched, struct job *job)
{
	mark_segment_dirty(sched, job, 0);
}

void item_mark_dirty(struct sched *sched, struct job *job, uint32_t index)
{
	mark_segment_dirty(sched, job, job_item_segment(index));
}

void job_mark_all_dirty(struct sched *sched, struct job *job)
{
	for (uint32_t i = 0; i < job_segments_count(job); i++)
		mark_segment_dirty(sched, job, i);
}

/*
 * A job begins with the first run, not with a placement: the start order may
 * be delayed for seconds.
 */
static void job_mark_begun(struct sched *sched, struct job *job)
{
	if (job->begun)
		return;
	job->begun = true;
	if (job->next_state == JOB_PENDING)
		job->next_state = JOB_ACTIVE;
	job_mark_dirty(sched, job);
}

static bool is_placed(const struct job_item *item)
{
	return item->phase != ITEM_WAITING && item->phase != ITEM_DONE;
}

void item_mark_running(struct sched *sched, struct job *job, uint32_t index)
{
	struct job_item *item = job_item(job, index);

	item->phase = ITEM_RUNNING;
	item->confirmed_us = sched_now_us(sched);
	item->settled = true;
	job_mark_begun(sched, job);
}

/*
 * A start that is repeated carries the same checkpoint as the first one, also
 * if another member of the gang has written a newer one meanwhile.
 */
static void set_start_checkpoint(struct job *job, uint32_t index)
{
	const struct job_item *keeper =
		job_item_view(job, job_checkpoint_index(job, index));
	struct job_item *item = job_item(job, index);

	job_replace_checkpoint(job, &item->start_checkpoint,
			       keeper->checkpoint);
	item->checkpoint_percent = 0;
}

void item_place(struct sched *sched, struct job *job, uint32_t index,
		struct worker *worker)
{
	struct job_item *item = job_item(job, index);
	char name[NAME_SIZE_BYTES];

	job_set_phase(job, index, ITEM_STORING);
	item->worker = worker->id;
	item->run++;
	item->settled = true;
	item->start_unanswered = false;
	item->start_late_until_us = 0;
	item->life_known = false;
	item->start_settled_us = 0;
	item->store_write_id = 0;
	item->ordered_us = 0;
	item->pending_orders_count = 0;
	item->confirmed_us = 0;
	item->progress_percent = 0;
	item->progress_changed_us = 0;
	item->pace_percent = 100;
	item->ended_broken = false;
	set_start_checkpoint(job, index);
	worker_attach(worker, job, index);
	worker->unstarted_count++;
	item_mark_dirty(sched, job, index);
	job_item_name(job, index, name, sizeof(name));
	decision_log("place",
		     "item=%s run=%u worker=%s cpu_used=%u cpu=%u "
		     "directory=%s wait_ms=%" G_GINT64_FORMAT,
		     name, item->run, worker->id, worker->used_cpu_milli,
		     worker->cpu_milli, worker->draining ? "draining" : "ready",
		     (sched_now_us(sched) - job->first_seen_us) /
			     USEC_PER_MSEC);
}

static bool is_unstarted(const struct job_item *item)
{
	return item->phase == ITEM_STORING || item->phase == ITEM_STORED;
}

/* Takes the item off its worker; the caller sets the next phase. */
static void detach_from_worker(struct sched *sched, struct job *job,
			       uint32_t index)
{
	struct job_item *item = job_item(job, index);
	struct worker *worker = worker_find(sched, item->worker);

	if (worker && is_unstarted(item))
		worker->unstarted_count--;
	if (worker) {
		worker_detach(worker, job, index);
		late_starts_note(sched, worker, job, index);
	}
	item->worker = NULL;
	item->store_write_id = 0;
	item->unavailable_since_us = sched_now_us(sched);
	item->progress_percent = 0;
	item_mark_dirty(sched, job, index);
	sched_request_placement(sched);
}

void job_check_complete(struct sched *sched, struct job *job)
{
	if (job->left_count || job->next_state >= JOB_COMPLETE)
		return;
	job->next_state = JOB_COMPLETE;
	job_mark_dirty(sched, job);
	decision_log("complete", "job=%s age_ms=%" G_GINT64_FORMAT " items=%u",
		     job->id,
		     (sched_now_us(sched) - job->first_seen_us) / USEC_PER_MSEC,
		     job->item_count);
}

static void complete_item(struct sched *sched, struct job *job, uint32_t index)
{
	struct job_item *item = job_item(job, index);

	if (is_placed(item))
		detach_from_worker(sched, job, index);
	job_set_phase(job, index, ITEM_DONE);
	item_mark_dirty(sched, job, index);
	sched_request_placement(sched);
	job_check_complete(sched, job);
}

/* Time since the newest order for the run; -1: this holder has sent none. */
static int64_t order_age_ms(const struct sched *sched,
			    const struct job_item *item)
{
	if (!item->ordered_us)
		return -1;
	return (sched_now_us(sched) - item->ordered_us) / USEC_PER_MSEC;
}

void item_release(struct sched *sched, struct job *job, uint32_t index,
		  const char *reason)
{
	struct job_item *item = job_item(job, index);
	char name[NAME_SIZE_BYTES];

	if (!is_placed(item))
		return;
	job_item_name(job, index, name, sizeof(name));
	decision_log("release",
		     "item=%s run=%u worker=%s reason=%s unanswered=%d "
		     "order_age_ms=%" G_GINT64_FORMAT,
		     name, item->run, item->worker, reason,
		     item->start_unanswered, order_age_ms(sched, item));
	if (item->ended_done) {
		complete_item(sched, job, index);
		return;
	}
	detach_from_worker(sched, job, index);
	job_set_phase(job, index, ITEM_WAITING);
}

struct order *item_order_new(struct sched *sched, struct worker *worker,
			     const struct job *job, uint32_t index,
			     enum order_kind kind)
{
	struct order *order = worker_order_new(sched, worker, kind);

	job_item_name(job, index, order->item, sizeof(order->item));
	order->run = job_item_view(job, index)->run;
	return order;
}

void item_send_start(struct sched *sched, struct job *job, uint32_t index)
{
	struct job_item *item = job_item(job, index);
	struct worker *worker = worker_find(sched, item->worker);
	struct order *order;

	if (!worker || !worker->synced)
		return;
	if (starts_queue_is_full(worker))
		sched_request_placement(sched);
	if (is_unstarted(item))
		worker->unstarted_count--;
	order = item_order_new(sched, worker, job, index, ORDER_START);
	order->spec = job_spec_ref(job->spec);
	order->checkpoint = g_strdup(item->start_checkpoint);
	order->ticket = advice_ticket(sched, job, index, worker);
	/* A worker that answers only holds isn't flooded with repeats. */
	if (item->start_unanswered)
		order->timeout_us = ORDER_TIMEOUT_MAX_US;
	item->phase = ITEM_STARTING;
	item->life_known = false;
	item->ordered_us = sched_now_us(sched);
	item->pending_orders_count++;
	worker->pending_starts_count++;
	worker_send_order(sched, worker, order);
}

void item_send_stop(struct sched *sched, struct worker *worker, struct job *job,
		    uint32_t index)
{
	struct job_item *item = job_item(job, index);

	/* The next result of an order there sends it. */
	if (worker->pending_stops_count >= PENDING_STOPS_MAX_COUNT) {
		item->ordered_us = 0;
		worker->resend_pending = true;
		return;
	}
	item->ordered_us = sched_now_us(sched);
	item->pending_orders_count++;
	worker_send_order(
		sched, worker,
		item_order_new(sched, worker, job, index, ORDER_STOP));
}

void item_stop(struct sched *sched, struct job *job, uint32_t index,
	       const char *reason)
{
	struct job_item *item;
	struct worker *worker;
	char name[NAME_SIZE_BYTES];

	if (!is_placed(job_item_view(job, index)))
		return;
	item = job_item(job, index);
	if (item->phase == ITEM_STOPPING)
		return;
	if (is_unstarted(item)) {
		item_release(sched, job, index, reason);
		return;
	}
	worker = worker_find(sched, item->worker);
	job_item_name(job, index, name, sizeof(name));
	decision_log("stop", "item=%s run=%u worker=%s reason=%s", name,
		     item->run, item->worker, reason);
	item->phase = ITEM_STOPPING;
	item->settled = false;
	if (!worker)
		return;
	worker->resend_pending = true;
	if (worker->synced)
		item_send_stop(sched, worker, job, index);
}

void job_stop_items(struct sched *sched, struct job *job, const char *reason)
{
	job->stop_all = true;
	for (uint32_t i = 0; i < job->item_count; i++)
		item_stop(sched, job, i, reason);
}

uint32_t step_unavailable_count(const struct job *job, uint32_t occurrence,
				uint32_t step)
{
	uint32_t first = job_first_item(job, occurrence, step);
	uint32_t count = 0;

	for (uint32_t i = 0; i < job_step(job, step)->item_count; i++) {
		const struct job_item *item = job_item_view(job, first + i);

		if (item->phase != ITEM_RUNNING || item->progress_percent < 100)
			count++;
	}
	return count;
}

bool item_may_be_stopped(const struct job *job, uint32_t index)
{
	uint32_t step = job_item_step(job, index);
	const struct job_item *item = job_item_view(job, index);
	uint32_t unavailable_count = step_unavailable_count(
		job, job_item_occurrence(job, index), step);
	uint32_t allowed = MAX(job_step(job, step)->max_unavailable, 1);

	if (item->phase != ITEM_RUNNING || item->progress_percent < 100)
		unavailable_count--;
	return unavailable_count < allowed;
}

void item_set_checkpoint(struct job *job, uint32_t index,
			 const char *checkpoint, uint32_t percent)
{
	struct job_item *keeper =
		job_item(job, job_checkpoint_index(job, index));

	/* The percent of a long-running item shows its health. */
	if (job_step(job, job_item_step(job, index))->long_running &&
	    percent < CHECKPOINT_END_PERCENT)
		percent = 0;
	if (!checkpoint || !*checkpoint || percent < keeper->checkpoint_percent)
		return;
	keeper->checkpoint_percent = percent;
	if (!g_strcmp0(checkpoint, keeper->checkpoint))
		return;
	job_replace_checkpoint(job, &keeper->checkpoint, checkpoint);
}

static void set_end_checkpoint(struct sched *sched, struct job *job,
			       uint32_t index, const struct ended_row *row)
{
	bool was_stopped =
		row->end == ITEM_END_STOPPED || row->end == ITEM_END_BROKEN;

	item_set_checkpoint(job, index, row->checkpoint,
			    was_stopped ? CHECKPOINT_STOP_PERCENT
					: CHECKPOINT_END_PERCENT);
	item_mark_dirty(sched, job, job_checkpoint_index(job, index));
}

static void fail_job(struct sched *sched, struct job *job)
{
	decision_log("fail", "job=%s reason=attempts", job->id);
	job->next_state = JOB_FAILED;
	job_mark_dirty(sched, job);
	job_stop_items(sched, job, "job-failed");
}

/*
 * Notes that a run of the item has ended as done. A later run, if there is one,
 * is stopped first: its worker has no room until then.
 */
static void record_done(struct sched *sched, struct job *job, uint32_t index,
			bool current)
{
	const struct job_item *item = job_item_view(job, index);

	if (item->phase == ITEM_DONE)
		return;
	if (current || !is_placed(item)) {
		complete_item(sched, job, index);
		return;
	}
	job_item(job, index)->ended_done = true;
	item_mark_dirty(sched, job, index);
	item_stop(sched, job, index, "done-elsewhere");
}

/* All members of a gang are done when one of them has ended as done. */
static void record_gang_done(struct sched *sched, struct job *job,
			     uint32_t index, bool current)
{
	uint32_t step = job_item_step(job, index);
	uint32_t first =
		job_first_item(job, job_item_occurrence(job, index), step);

	for (uint32_t i = 0; i < job_step(job, step)->item_count; i++)
		record_done(sched, job, first + i, current);
}

static void handle_failure(struct sched *sched, struct job *job, uint32_t index)
{
	const struct job_step *step = job_step(job, job_item_step(job, index));
	struct job_item *item = job_item(job, index);

	item->failed_count++;
	item->retry_us = sched_now_us(sched) +
			 (step->long_running
				  ? LONG_RUNNING_RETRY_US
				  : FAILED_RETRY_STEP_US * item->failed_count);
	sched_wake_at(sched, item->retry_us);
	if (job->policy.attempts_max && !step->long_running &&
	    item->failed_count >= job->policy.attempts_max &&
	    job->next_state < JOB_COMPLETE)
		fail_job(sched, job);
}

void item_on_end(struct sched *sched, struct worker *worker,
		 const struct ended_row *row)
{
	uint32_t index = 0;
	struct job *job = sched_find_item(sched, row->item, &index);
	const struct job_step *step;
	struct job_item *item;
	bool current;

	decision_log("end",
		     "item=%s run=%u worker=%s how=%s number=%" G_GUINT64_FORMAT
		     " known=%d",
		     row->item, row->run, worker->id, item_end_name(row->end),
		     row->number, job != NULL);
	if (!job)
		return;
	job_mark_begun(sched, job);
	if (job_item_view(job, index)->phase == ITEM_DONE)
		return;
	item = job_item(job, index);
	step = job_step(job, job_item_step(job, index));
	current = is_placed(item) && item->run == row->run &&
		  item->worker == worker->id;
	if (row->end == ITEM_END_DONE && !step->long_running) {
		worker_record_success(worker);
		if (current && item->confirmed_us)
			loads_record_run_time(sched, job,
					      sched_now_us(sched) -
						      item->confirmed_us);
		if (step->gang)
			record_gang_done(sched, job, index, current);
		else
			record_done(sched, job, index, current);
		return;
	}
	if (!current)
		return;
	set_end_checkpoint(sched, job, index, row);
	item->ended_broken = row->end == ITEM_END_BROKEN;
	item_release(sched, job, index, item_end_name(row->end));
	if (row->end == ITEM_END_FAILED) {
		worker_record_failure(sched, worker, job);
		item->failed_worker = worker->id;
		handle_failure(sched, job, index);
	}
}

static void on_start_refused(struct sched *sched, struct worker *worker,
			     struct job *job, uint32_t index,
			     const struct order *order)
{
	struct job_item *item = job_item(job, index);
	int64_t now_us = sched_now_us(sched);

	if (order->result == ORDER_NO_ROOM)
		worker->avoid_until_us = now_us + NO_ROOM_AVOID_US;
	if (order->result == ORDER_REFUSED)
		worker->avoid_until_us = now_us + REFUSED_AVOID_US;
	if (order->result == ORDER_NO_TICKET)
		advice_refused(sched, job, index, worker);
	/* An earlier order of this run may still arrive, so stop it first. */
	if (!item->settled) {
		item_stop(sched, job, index, order_result_name(order->result));
		return;
	}
	item_release(sched, job, index, order_result_name(order->result));
}

/*
 * Notes in which life of the worker the run may be now. A repeated start may
 * have reached a later one than that which has listed the run.
 */
static void note_start_life(struct sched *sched, struct worker *worker,
			    struct job_item *item, const struct order *order)
{
	int64_t now_us = sched_now_us(sched);

	if (order->result == ORDER_OK) {
		item->life_known = worker_life_is_known(sched, worker, order);
		/* Another life: its lists are read before it gets more work. */
		if (!item->life_known)
			worker->synced = false;
	} else if (order->result == ORDER_UNANSWERED) {
		item->life_known = false;
		item->start_late_until_us = now_us + ORDER_LATE_MAX_US;
	} else {
		return;
	}
	item->start_settled_us = now_us;
}

static void on_start_result(struct sched *sched, struct worker *worker,
			    struct job *job, uint32_t index,
			    const struct order *order)
{
	struct job_item *item = job_item(job, index);

	note_start_life(sched, worker, item, order);
	if (item->phase != ITEM_STARTING)
		return;
	counter_observe(kernel_counters(sched->kernel), "start_order",
			sched_now_us(sched) - order->sent_us);
	switch (order->result) {
	case ORDER_OK:
		item_mark_running(sched, job, index);
		worker->hold_due_us =
			MIN(worker->hold_due_us, sched_now_us(sched));
		break;
	case ORDER_UNANSWERED:
		item->settled = false;
		item->start_unanswered = true;
		worker->resend_pending = true;
		item->ordered_us = sched_now_us(sched);
		sched_wake_at(sched, item->ordered_us + ORDER_RESEND_DELAY_US);
		break;
	case ORDER_FENCED:
	case ORDER_WRONG_WORKER:
		break;
	default:
		on_start_refused(sched, worker, job, index, order);
		break;
	}
}

static void on_stop_result(struct sched *sched, struct worker *worker,
			   struct job *job, uint32_t index,
			   const struct order *order)
{
	struct job_item *item = job_item(job, index);

	if (item->phase != ITEM_STOPPING)
		return;
	if (order->result == ORDER_OK) {
		/* No order that is still under way can start this run now. */
		item->settled = true;
		item->confirmed_us = sched_now_us(sched);
		worker->hold_due_us =
			MIN(worker->hold_due_us, sched_now_us(sched));
	}
}

/* A stray run whose stop got no answer may go on until its lease is over. */
static void wait_for_stray_lease(const struct sched *sched,
				 struct job_item *item)
{
	int64_t now_us = sched_now_us(sched);

	if (item->phase == ITEM_WAITING && item->retry_us > now_us)
		item->retry_us =
			now_us + worker_lease_any_life_us(sched->bounds);
}

void item_on_order(struct sched *sched, struct worker *worker,
		   const struct order *order)
{
	uint32_t index = 0;
	struct job *job = sched_find_item(sched, order->item, &index);
	struct job_item *item;

	if (order->result != ORDER_OK)
		decision_log(
			"order",
			"kind=%s item=%s run=%u worker=%s result=%s "
			"took_ms=%" G_GINT64_FORMAT,
			order_kind_name(order->kind), order->item, order->run,
			worker->id, order_result_name(order->result),
			(sched_now_us(sched) - order->sent_us) / USEC_PER_MSEC);
	if (!job || job_item_view(job, index)->phase == ITEM_DONE)
		return;
	item = job_item(job, index);
	if (item->run != order->run || item->worker != worker->id) {
		if (order->kind == ORDER_STOP && !order_is_answered(order))
			wait_for_stray_lease(sched, item);
		return;
	}
	if (item->pending_orders_count)
		item->pending_orders_count--;
	if (order->kind == ORDER_START)
		on_start_result(sched, worker, job, index, order);
	else if (order->kind == ORDER_STOP)
		on_stop_result(sched, worker, job, index, order);
}
