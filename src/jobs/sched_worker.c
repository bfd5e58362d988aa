/*
 * What is known of workers: their lists, their leases and their health. A
 * worker takes new work only after it has seen our token and we have seen its
 * lists, so that nothing of an earlier holder runs unnoticed.
 */

#include <string.h>

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* A hold waits so long for an end; it also renews the lease. */
#define HOLD_WAIT_US USEC_PER_SEC
#define HOLD_GAP_US (40 * USEC_PER_MSEC)
/* Pause after a hold without an answer. */
/* Holds of all workers together are this far apart on average. */
#define HOLD_SPACING_US 400
#define HOLD_AGAIN_US (200 * USEC_PER_MSEC)
/* Pause between looks at a worker that does not answer and runs nothing. */
#define HOLD_IDLE_AGAIN_US USEC_PER_SEC
/* An unlisted worker may be listed again, or answer late. */
#define FORGET_US (20 * USEC_PER_SEC)
/* More ends than this in one answer: not all of them are listed. */
#define ENDS_LISTED_MAX_COUNT 500
/* Ends failed in a row, of several jobs, after which a worker is ejected. */
#define EJECT_FAILURES_COUNT 3
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
	worker->lease_until_us = sched->earlier_until_us;
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

static void use(struct worker *worker, const struct job *job, uint32_t index,
		int32_t sign)
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
	use(worker, job, index, 1);
}

void worker_detach(struct worker *worker, const struct job *job, uint32_t index)
{
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);

		if (placement.job != job || placement.index != index)
			continue;
		g_array_remove_index_fast(worker->placed, i);
		use(worker, job, index, -1);
		return;
	}
}

bool worker_may_take(const struct sched *sched, const struct worker *worker)
{
	return worker->listed && worker->fenced && !worker->lost &&
	       worker->has_clock && worker->leaving == LEAVING_NOT &&
	       worker->lost_count == 0 &&
	       worker->avoid_until_us <= sched_now_us(sched);
}

void worker_count_end(struct sched *sched, struct worker *worker,
		      const struct job *job, bool failed)
{
	const char *id = g_intern_string(job->id);
	uint32_t doublings;

	if (!failed) {
		worker->failures_count = 0;
		worker->ejections_count = 0;
		return;
	}
	if (!worker->failures_count)
		worker->failed_job = id;
	/* A job that fails everywhere says nothing of its workers. */
	else if (worker->failed_job == id)
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

/* The worker's clock now, or a little less. */
static int64_t clock_ms(const struct sched *sched, const struct worker *worker)
{
	return worker->clock_ms +
	       (sched_now_us(sched) - worker->clock_us) / USEC_PER_MSEC;
}

struct order *worker_order(struct sched *sched, struct worker *worker,
			   enum order_kind kind)
{
	struct order *order = order_new(kind);

	order->worker = worker->id;
	g_strlcpy(order->address, worker->address, sizeof(order->address));
	order->token = sched->token;
	if (!worker->has_clock)
		return order;
	/*
	 * A worker that does not answer gets no longer lease than it has, or it
	 * would never lapse for certain.
	 */
	if (worker->lost_count)
		order->lease_ms = kind == ORDER_START ? worker->lease_ms : 0;
	else if (kind == ORDER_START || kind == ORDER_HOLD)
		order->lease_ms =
			clock_ms(sched, worker) +
			worker_lease_us(sched->bounds) / USEC_PER_MSEC;
	return order;
}

void worker_send(struct sched *sched, struct worker *worker,
		 struct order *order)
{
	int64_t until_us;

	order->sent_us = sched_now_us(sched);
	if (order->lease_ms) {
		worker->lease_ms = MAX(worker->lease_ms, order->lease_ms);
		until_us = worker->clock_us +
			   worker_lease_local_max_us(
				   (order->lease_ms - worker->clock_ms) *
				   USEC_PER_MSEC);
		worker->lease_until_us = MAX(worker->lease_until_us, until_us);
	}
	kernel_emit_msg(sched->kernel, EVENT_ORDER, order);
}

void worker_gone(struct sched *sched, struct worker *worker, const char *why)
{
	if (!worker->lost || worker->placed->len)
		decision_log("worker-gone",
			     "worker=%s reason=%s items=%u "
			     "silent_ms=%" G_GINT64_FORMAT,
			     worker->id, why, worker->placed->len,
			     worker->silent_us ? (sched_now_us(sched) -
						  worker->silent_us) /
							 USEC_PER_MSEC
					       : 0);
	worker->lost = true;
	worker->fenced = false;
	worker->lease_ms = 0;
	advice_forget_worker(sched, worker);
	while (worker->placed->len) {
		struct placement placement = worker_placement(worker, 0);

		item_release(sched, placement.job, placement.index, why);
	}
	worker->seen_number = 0;
	worker->flushing_number = 0;
	worker->stored_number = 0;
	worker->acked_number = 0;
	sched_want_place(sched);
}

static void take_clock(struct sched *sched, struct worker *worker,
		       const struct order *order)
{
	if (!order->has_clock)
		return;
	worker->has_clock = true;
	worker->clock_ms = order->clock_ms;
	worker->clock_us = sched_now_us(sched);
}

/* Stops a run that nobody here wants. */
static void stop_stray(struct sched *sched, struct worker *worker,
		       const struct running_row *row)
{
	struct order *order = worker_order(sched, worker, ORDER_STOP);

	decision_log("stop", "item=%s run=%u worker=%s reason=stray", row->item,
		     row->run, worker->id);
	g_strlcpy(order->item, row->item, sizeof(order->item));
	order->run = row->run;
	worker_send(sched, worker, order);
}

static void take_running(struct sched *sched, struct worker *worker,
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
		item_runs(sched, job, index);
	if (item->phase == ITEM_RUNNING)
		item->settled = true;
	if (item->progress_percent != row->percent ||
	    !item->progress_changed_us)
		item->progress_changed_us = sched_now_us(sched);
	item->progress_percent = row->percent;
	item->observed = row->observed;
	if (row->percent >= 100)
		item->unavailable_since_us = 0;
	else if (!item->unavailable_since_us)
		item->unavailable_since_us = sched_now_us(sched);
	if (row->saved && *row->saved && g_strcmp0(row->saved, item->saved)) {
		g_free(item->saved);
		item->saved = g_strdup(row->saved);
	}
	if ((job->stop_all || job_has_ended(job)) &&
	    item->phase == ITEM_RUNNING)
		item_order_stop(sched, job, index, "job-ended");
}

/* Whether an item that is in neither list can't run on this worker. */
static bool surely_absent(const struct job_item *item,
			  const struct order *order)
{
	switch (item->phase) {
	case ITEM_STARTING:
		/* Ordered by an earlier holder, whose token is fenced now. */
		return !item->ordered_us;
	case ITEM_RUNNING:
	case ITEM_STOPPING:
		return item->settled && item->confirmed_us < order->sent_us;
	default:
		return false;
	}
}

/* Releases what is in neither of the lists that were just taken in. */
static void check_absent(struct sched *sched, struct worker *worker,
			 const struct order *order)
{
	for (guint i = worker->placed->len; i > 0; i--) {
		struct placement placement = worker_placement(worker, i - 1);
		const struct job_item *item = placement_item(&placement);

		if (item->list_number != sched->list_number &&
		    surely_absent(item, order))
			item_release(sched, placement.job, placement.index,
				     "absent");
	}
}

static void take_lists(struct sched *sched, struct worker *worker,
		       const struct order *order)
{
	sched->list_number++;
	for (guint i = 0; i < order->ended->len; i++) {
		const struct ended_row *row =
			&g_array_index(order->ended, struct ended_row, i);

		if (row->number <= worker->seen_number)
			continue;
		worker->seen_number = row->number;
		sched->ends_unstored = true;
		item_ended(sched, worker, row);
	}
	for (guint i = 0; i < order->running->len; i++)
		take_running(
			sched, worker,
			&g_array_index(order->running, struct running_row, i));
	if (order->ended->len < ENDS_LISTED_MAX_COUNT)
		check_absent(sched, worker, order);
}

/*
 * Orders of this holder that no answer has settled are sent again, but not
 * beside one that may still be answered.
 */
static void send_again(struct sched *sched, struct worker *worker)
{
	int64_t now_us = sched_now_us(sched);

	if (!worker->unsettled)
		return;
	worker->unsettled = false;
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		struct job_item *item = placement_item(&placement);

		worker->unsettled |= !item->settled;
		if (item->settled || item->orders_count ||
		    now_us < item->ordered_us + ORDER_AGAIN_US)
			continue;
		if (item->phase == ITEM_STARTING && item->ordered_us &&
		    !placement.job->stop_all) {
			item_order_start(sched, placement.job, placement.index);
		} else if (item->phase == ITEM_STOPPING) {
			item_send_stop(sched, worker, placement.job,
				       placement.index);
		} else if (item->phase == ITEM_STARTING &&
			   placement.job->stop_all) {
			item_order_stop(sched, placement.job, placement.index,
					"job-ended");
		}
	}
}

static void on_hold(struct sched *sched, struct worker *worker,
		    const struct order *order)
{
	int64_t now_us = sched_now_us(sched);

	worker->hold_sent = false;
	if (order->result == ORDER_LOST || order->result == ORDER_REFUSED) {
		if (!worker->lost_count) {
			worker->silent_us = order->sent_us;
			counter_add(kernel_counters(sched->kernel),
				    "workers_lost_total", 1);
			decision_log("dependency",
				     "name=worker/%s state=lost result=%s "
				     "items=%u",
				     worker->id,
				     order_result_name(order->result),
				     worker->placed->len);
			starts_release(sched, worker, "no-answer");
		}
		worker->lost_count++;
		worker->hold_again_us =
			now_us + (worker->placed->len ? HOLD_AGAIN_US
						      : HOLD_IDLE_AGAIN_US);
		return;
	}
	if (order->result != ORDER_OK)
		return;
	if (worker->lost_count) {
		decision_log("dependency",
			     "name=worker/%s state=regained "
			     "lost_ms=%" G_GINT64_FORMAT,
			     worker->id,
			     (now_us - worker->silent_us) / USEC_PER_MSEC);
		sched_want_place(sched);
	}
	worker->lost_count = 0;
	worker->silent_us = 0;
	if (order->born_ms && order->born_ms != worker->life_ms) {
		if (worker->life_ms)
			worker_gone(sched, worker, "reborn");
		worker->life_ms = order->born_ms;
	}
	if (!worker->fenced)
		sched_want_place(sched);
	worker->fenced = true;
	worker->lost = false;
	worker->acked_number = MAX(worker->acked_number, order->acked_number);
	take_lists(sched, worker, order);
	slow_on_hold(sched, worker);
	fillers_on_hold(sched, worker);
	/* Several ends that come close together are listed by one answer. */
	worker->hold_due_us =
		now_us + MAX(HOLD_GAP_US, (int64_t)sched->busy_workers_count *
						  HOLD_SPACING_US);
	sched_wake_at(sched, worker->hold_due_us);
}

void workers_flushing(struct sched *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		worker->flushing_number = worker->seen_number;
	}
}

void workers_stored(struct sched *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		worker->stored_number = worker->flushing_number;
	}
}

static bool runs_something(const struct worker *worker)
{
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		enum item_phase phase = placement_item(&placement)->phase;

		if (phase != ITEM_STORING && phase != ITEM_STORED)
			return true;
	}
	return false;
}

static void hold(struct sched *sched, struct worker *worker)
{
	int64_t now_us = sched_now_us(sched);
	bool runs = runs_something(worker);
	struct order *order;

	if (worker->hold_sent || now_us < worker->hold_due_us ||
	    now_us < worker->hold_again_us || !worker->address[0])
		return;
	if (worker->fenced) {
		/* Ends that are not stored would make it return at once. */
		if (worker->seen_number > worker->stored_number)
			return;
		if (!runs && worker->acked_number == worker->stored_number &&
		    !worker->lost_count)
			return;
	} else if (!worker->listed && !worker->placed->len) {
		return;
	}
	order = worker_order(sched, worker, ORDER_HOLD);
	order->acked_number = worker->stored_number;
	if (worker->fenced && runs && !worker->lost_count)
		order->wait_us = HOLD_WAIT_US;
	worker->hold_sent = true;
	worker_send(sched, worker, order);
}

/* A worker that left long ago is forgotten. */
static bool is_forgettable(const struct worker *worker, int64_t now_us)
{
	return !worker->listed && !worker->placed->len && !worker->hold_sent &&
	       now_us - worker->unlisted_us > FORGET_US;
}

/* Does what is due for one worker. */
static void worker_tick(struct sched *sched, struct worker *worker)
{
	int64_t now_us = sched_now_us(sched);

	if (worker->placed->len && !worker->lost &&
	    now_us >= worker->lease_until_us &&
	    (worker->lost_count || !worker->address[0]) &&
	    sched->directory_seen)
		worker_gone(sched, worker, "lapsed");
	hold(sched, worker);
	if (worker->fenced)
		send_again(sched, worker);
	if (worker->hold_again_us > now_us)
		sched_wake_at(sched, worker->hold_again_us);
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
	take_clock(sched, worker, order);
	if (order->kind == ORDER_START && worker->starts_count)
		worker->starts_count--;
	if (order->result == ORDER_OTHER_LIFE) {
		worker->hold_sent = false;
		worker_gone(sched, worker, "other-life");
		worker->hold_again_us =
			sched_now_us(sched) + HOLD_IDLE_AGAIN_US;
		return;
	}
	if (order->kind == ORDER_HOLD)
		on_hold(sched, worker, order);
	else if (order->kind != ORDER_PACE)
		item_on_order(sched, worker, order);
	if (order->kind == ORDER_START)
		starts_on_order(sched, worker, order);
	worker_tick(sched, worker);
}
