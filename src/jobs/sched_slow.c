/*
 * Workers that look healthy may stand still or crawl. What shows it is the
 * progress of the items: one that would take far longer than its kind does is
 * stopped and placed on another worker.
 */

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* Younger items tell too little. */
#define AGE_MIN_US (1200 * USEC_PER_MSEC)
/* Without any progress for so long, an item stands still. */
#define STALLED_US (1300 * USEC_PER_MSEC)
/* An item crawls if what is left takes so many times a whole run, and more. */
#define CRAWL_FACTOR 3
#define CRAWL_SLACK_US USEC_PER_SEC
/* A lasting item that is not at work for so long is not starting any more. */
#define LASTING_START_US (3 * USEC_PER_SEC)
/* Such a worker gets no new work for so long. */
#define AVOID_US (4 * USEC_PER_SEC)
/* An item that is slow on several workers is slow by itself. */
#define MOVES_MAX_COUNT 2

static const char *why_slow(const struct sched *sched, const struct job *job,
			    uint32_t index)
{
	const struct job_item *item = job_item(job, index);
	uint32_t step = job_item_step(job, index);
	int64_t now_us = sched_now_us(sched);
	int64_t age_us = now_us - item->confirmed_us;
	int64_t left_us;

	if (item->phase != ITEM_RUNNING || !item->confirmed_us ||
	    age_us < AGE_MIN_US || item->progress_percent >= 100 ||
	    item->pace_percent < 100)
		return NULL;
	if (job_step(job, step)->lasting)
		return age_us > LASTING_START_US &&
				       item->unavailable_since_us &&
				       now_us - item->unavailable_since_us >
					       LASTING_START_US
			       ? "not-at-work"
			       : NULL;
	if (now_us - item->progress_changed_us > STALLED_US)
		return "stalled";
	left_us = age_us * (100 - item->progress_percent) /
		  MAX(item->progress_percent, 1);
	if (left_us >
	    CRAWL_FACTOR * step_estimate_us(sched, job, step) + CRAWL_SLACK_US)
		return "crawls";
	return NULL;
}

static bool others_take_work(const struct sched *sched,
			     const struct worker *worker)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *other = value;

		if (other != worker && !g_strcmp0(other->pool, worker->pool) &&
		    worker_may_take(sched, other))
			return true;
	}
	return false;
}

void slow_on_hold(struct sched *sched, struct worker *worker)
{
	for (guint i = worker->placed->len; i > 0; i--) {
		struct placement placement = worker_placement(worker, i - 1);
		struct job_item *item = placement_item(&placement);
		const char *why =
			why_slow(sched, placement.job, placement.index);

		if (!why || item->straggler_moves_count >= MOVES_MAX_COUNT ||
		    !others_take_work(sched, worker))
			continue;
		item->straggler_moves_count++;
		worker->avoid_until_us = sched_now_us(sched) + AVOID_US;
		item_order_stop(sched, placement.job, placement.index, why);
	}
}
