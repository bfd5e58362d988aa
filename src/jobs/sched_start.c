/*
 * Start orders. The number of pending ones per worker is limited. The other
 * items whose placement is stored wait here and not in the HTTP client, so
 * that they can still be placed on another worker.
 */

#include "jobs/sched.h"

/* The connections to a worker that are not occupied by its hold. */
#define PENDING_STARTS_MAX_COUNT 2

/* Age of the newest confirmation by the store up to which work is started. */
#define START_CONFIRMED_MAX_US (3 * USEC_PER_SEC)

/* Placements on one worker whose starts wait for their turn. */
#define UNSTARTED_MAX_COUNT 32

bool starts_queue_is_full(const struct worker *worker)
{
	return worker->unstarted_count >= UNSTARTED_MAX_COUNT;
}

/* The stored placement that has waited longest; its job is NULL if none. */
static struct placement oldest_stored(const struct worker *worker)
{
	struct placement first = { .job = NULL };
	int64_t first_us = INT64_MAX;

	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		const struct job_item *item = placement_item(&placement);

		if (item->phase != ITEM_STORED || item->stored_us >= first_us)
			continue;
		first = placement;
		first_us = item->stored_us;
	}
	return first;
}

/*
 * Whether this process may still start work. One that was paused or cut off
 * from the store may have been replaced, and a worker that has started again
 * since doesn't know the newer token.
 */
static bool is_confirmed(const struct sched *sched)
{
	return sched_now_us(sched) - sched->confirmed_us <=
	       START_CONFIRMED_MAX_US;
}

bool starts_may_send(const struct sched *sched, const struct worker *worker)
{
	return worker->synced &&
	       worker->pending_starts_count < PENDING_STARTS_MAX_COUNT &&
	       is_confirmed(sched);
}

void starts_send_next(struct sched *sched, struct worker *worker)
{
	while (starts_may_send(sched, worker)) {
		struct placement next = oldest_stored(worker);

		if (!next.job)
			return;
		item_send_start(sched, next.job, next.index);
	}
}

void starts_on_confirmed(struct sched *sched, const struct store_write *write)
{
	bool was_confirmed = is_confirmed(sched);
	GHashTableIter iter;
	gpointer worker;

	if (write->writer != STORE_WRITER_HOLDER ||
	    write->result != STORE_WRITTEN || write->token != sched->token)
		return;
	sched->confirmed_us = MAX(sched->confirmed_us, write->sent_us);
	if (was_confirmed || !is_confirmed(sched))
		return;
	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &worker))
		starts_send_next(sched, worker);
}

void starts_on_stored(struct sched *sched, struct job *job, uint64_t write_id)
{
	for (uint32_t i = 0; i < job->item_count; i++) {
		const struct job_item *view = job_item_view(job, i);
		struct job_item *item;
		struct worker *worker;

		if (view->phase != ITEM_STORING ||
		    view->store_write_id != write_id)
			continue;
		item = job_item(job, i);
		if (job->stop_all || job->cancelled) {
			item_release(sched, job, i, "job-ended");
			continue;
		}
		item->phase = ITEM_STORED;
		item->stored_us = sched_now_us(sched);
		worker = worker_find(sched, item->worker);
		/* It has begun to drain since it was chosen. */
		if (worker && worker->draining)
			starts_cancel(sched, worker, "draining");
		if (worker)
			starts_send_next(sched, worker);
	}
}

void starts_cancel(struct sched *sched, struct worker *worker,
		   const char *reason)
{
	for (guint i = worker->placed->len; i > 0; i--) {
		struct placement placement = worker_placement(worker, i - 1);
		const struct job_step *step = placement_step(&placement);

		/* A gang starts as a whole or not at all. */
		if (placement_item(&placement)->phase == ITEM_STORED &&
		    !step->gang)
			item_release(sched, placement.job, placement.index,
				     reason);
	}
}

void starts_on_order(struct sched *sched, struct worker *worker,
		     const struct order *order)
{
	if (!order_is_answered(order)) {
		worker->avoid_until_us =
			MAX(worker->avoid_until_us,
			    sched_now_us(sched) + ORDER_RESEND_DELAY_US);
		starts_cancel(sched, worker, "no-answer");
	}
	starts_send_next(sched, worker);
}
