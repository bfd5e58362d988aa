/*
 * Stragglers. A worker that answers may still be stalled or slow, which only
 * the progress of its items shows. An item that stands still or would take far
 * longer than expected is stopped and placed on another worker.
 */

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* The progress of a younger item says too little. */
#define AGE_MIN_US (1200 * USEC_PER_MSEC)
/* An item without any progress for this long is stalled. */
#define STALL_TIMEOUT_US (1300 * USEC_PER_MSEC)
/* An item is slow if its rest takes over SLOW_FACTOR runs and SLOW_SLACK_US. */
#define SLOW_FACTOR 3
#define SLOW_SLACK_US USEC_PER_SEC
/* A long-running item that isn't ready after this isn't just starting. */
#define LONG_RUNNING_START_US (3 * USEC_PER_SEC)
/* The worker of a straggler gets no new work for this long. */
#define STRAGGLER_AVOID_US (4 * USEC_PER_SEC)
/* An item that was slow on this many workers is slow by itself. */
#define MOVES_MAX_COUNT 2

static const char *straggler_reason(const struct sched *sched,
				    const struct job *job, uint32_t index)
{
	const struct job_item *item = job_item_view(job, index);
	uint32_t step = job_item_step(job, index);
	int64_t now_us = sched_now_us(sched);
	int64_t age_us = now_us - item->confirmed_us;
	int64_t left_us;

	if (item->phase != ITEM_RUNNING || !item->confirmed_us ||
	    age_us < AGE_MIN_US || item->progress_percent >= 100 ||
	    item->pace_percent < 100)
		return NULL;
	if (job_step(job, step)->long_running)
		return age_us > LONG_RUNNING_START_US &&
				       item->unavailable_since_us &&
				       now_us - item->unavailable_since_us >
					       LONG_RUNNING_START_US
			       ? "not-at-work"
			       : NULL;
	if (now_us - item->progress_changed_us > STALL_TIMEOUT_US)
		return "stalled";
	left_us = age_us * (100 - item->progress_percent) /
		  MAX(item->progress_percent, 1);
	if (left_us >
	    SLOW_FACTOR * step_estimate_us(sched, job, step) + SLOW_SLACK_US)
		return "crawls";
	return NULL;
}

static bool other_worker_accepts_work(const struct sched *sched,
				      const struct worker *worker)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *other = value;

		if (other != worker && !g_strcmp0(other->pool, worker->pool) &&
		    worker_accepts_work(sched, other))
			return true;
	}
	return false;
}

void stragglers_on_hold(struct sched *sched, struct worker *worker)
{
	for (guint i = worker->placed->len; i > 0; i--) {
		struct placement placement = worker_placement(worker, i - 1);
		struct job_item *item = placement_item(&placement);
		const char *reason =
			straggler_reason(sched, placement.job, placement.index);

		if (!reason || item->straggler_moves_count >= MOVES_MAX_COUNT ||
		    !other_worker_accepts_work(sched, worker))
			continue;
		item->straggler_moves_count++;
		worker->avoid_until_us =
			sched_now_us(sched) + STRAGGLER_AVOID_US;
		item_stop(sched, placement.job, placement.index, reason);
	}
}
