/*
 * Start orders. Only so many are under way to one worker; the other items that
 * are stored as placed there wait for their turn here, where they can still be
 * placed elsewhere, and not in the HTTP client.
 */

#include "jobs/sched.h"

/* The connections to a worker that its hold leaves. */
#define STARTS_MAX_COUNT 2

/* The one that has waited longest; its job is NULL if there is none. */
static struct placement first_stored(const struct worker *worker)
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

static void order_next(struct sched *sched, struct worker *worker)
{
	while (worker->fenced && worker->starts_count < STARTS_MAX_COUNT) {
		struct placement next = first_stored(worker);

		if (!next.job)
			return;
		item_order_start(sched, next.job, next.index);
	}
}

void starts_on_stored(struct sched *sched, struct job *job, uint64_t write_id)
{
	for (uint32_t i = 0; i < job->items->len; i++) {
		struct job_item *item = job_item(job, i);
		struct worker *worker;

		if (item->phase != ITEM_STORING ||
		    item->store_write_id != write_id)
			continue;
		if (job->stop_all || job->cancelled) {
			item_release(sched, job, i, "job-ended");
			continue;
		}
		item->phase = ITEM_STORED;
		item->stored_us = sched_now_us(sched);
		worker = worker_find(sched, item->worker);
		if (worker)
			order_next(sched, worker);
	}
}

void starts_release(struct sched *sched, struct worker *worker, const char *why)
{
	for (guint i = worker->placed->len; i > 0; i--) {
		struct placement placement = worker_placement(worker, i - 1);
		const struct job_step *step = placement_step(&placement);

		/* A gang starts as a whole or not at all. */
		if (placement_item(&placement)->phase == ITEM_STORED &&
		    !step->gang)
			item_release(sched, placement.job, placement.index,
				     why);
	}
}

void starts_on_order(struct sched *sched, struct worker *worker,
		     const struct order *order)
{
	if (order->result == ORDER_LOST) {
		worker->avoid_until_us =
			MAX(worker->avoid_until_us,
			    sched_now_us(sched) + ORDER_AGAIN_US);
		starts_release(sched, worker, "no-answer");
	}
	order_next(sched, worker);
}
