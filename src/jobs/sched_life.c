/*
 * The lives of a worker. It may start again under its id, and takes what was
 * sent to its former life: the new one knows no fencing token, no stopped run
 * and no lease, and its clock starts anew. So an end that is known of one life
 * says nothing of a run that may have begun in a later one.
 */

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* Clocks are read in milliseconds. */
#define CLOCK_SLACK_US (5 * USEC_PER_MSEC)

/* Whether the run of an item has ended; ended_us as in worker_mark_gone(). */
static bool run_has_ended(const struct worker *worker,
			  const struct job_item *item, int64_t ended_us)
{
	if (item->pending_orders_count)
		return false;
	if (item->phase == ITEM_STORING || item->phase == ITEM_STORED)
		return true;
	if (item->life_known && (!ended_us || worker->answered_us < ended_us))
		return true;
	return item->start_settled_us < ended_us;
}

static bool any_run_has_ended(const struct worker *worker, int64_t ended_us)
{
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);

		if (run_has_ended(worker, placement_item(&placement), ended_us))
			return true;
	}
	return false;
}

void worker_mark_gone(struct sched *sched, struct worker *worker,
		      const char *reason, int64_t ended_us)
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
	worker->synced = false;
	worker->lease_end_ms = 0;
	advice_forget_worker(sched, worker);
	for (guint i = worker->placed->len; i > 0; i--) {
		struct placement placement = worker_placement(worker, i - 1);

		if (run_has_ended(worker, placement_item(&placement), ended_us))
			item_release(sched, placement.job, placement.index,
				     reason);
	}
	worker->gone = !worker->placed->len;
	worker_forget_ends(worker);
	sched_request_placement(sched);
}

void worker_note_life(struct sched *sched, struct worker *worker,
		      const struct order *order)
{
	worker->life_asked_us = order->has_clock ? order->sent_us : 0;
	worker->life_clock_us = order->clock_ms * USEC_PER_MSEC;
	worker->life_clock_read_us = sched_now_us(sched);
}

bool worker_life_is_known(const struct sched *sched,
			  const struct worker *worker,
			  const struct order *order)
{
	int64_t now_us = sched_now_us(sched);
	int64_t clock_us = order->clock_ms * USEC_PER_MSEC;
	/* Both readings were taken at some time while their order was out. */
	int64_t least_us = order->sent_us - worker->life_clock_read_us;
	int64_t most_us = now_us - worker->life_asked_us;

	if (!worker->life_asked_us || !order->has_clock ||
	    order->sent_us < worker->restarted_us)
		return false;
	if (least_us > 0)
		least_us -= least_us * WORKER_CLOCK_SLOW_PERCENT / 100;
	/* A clock that began at zero after that hold can't show more. */
	return clock_us > worker_lease_local_max_us(most_us) &&
	       clock_us >= worker->life_clock_us + least_us - CLOCK_SLACK_US &&
	       clock_us <= worker->life_clock_us + most_us + CLOCK_SLACK_US;
}

void worker_extend_life_leases(struct sched *sched, struct worker *worker)
{
	int64_t from_us = MAX(sched_now_us(sched), worker->late_lease_us);

	worker->lease_expiry_us =
		MAX(worker->lease_expiry_us,
		    from_us + worker_lease_any_life_us(sched->bounds));
}

void worker_note_lease(struct sched *sched, struct worker *worker,
		       const struct order *order)
{
	int64_t expiry_us =
		sched_now_us(sched) + worker_lease_any_life_us(sched->bounds);

	if (!order->lease_ms || order->result == ORDER_NOT_SENT ||
	    worker_life_is_known(sched, worker, order))
		return;
	/* A life whose clock we don't know may have taken it until now. */
	worker->any_life_expiry_us = MAX(worker->any_life_expiry_us, expiry_us);
	if (order->result == ORDER_UNANSWERED)
		worker->late_lease_us = MAX(worker->late_lease_us,
					    order->sent_us + ORDER_LATE_MAX_US);
	/* It was sent with a deadline on the clock of an earlier life. */
	if (order->sent_us <= worker->restarted_us)
		worker_extend_life_leases(sched, worker);
}

void worker_release_lapsed(struct sched *sched, struct worker *worker)
{
	int64_t now_us = sched_now_us(sched);
	bool all_lives = now_us >= worker->any_life_expiry_us;
	int64_t ended_us = all_lives ? now_us : 0;

	if (any_run_has_ended(worker, ended_us))
		worker_mark_gone(sched, worker, "lapsed", ended_us);
	if (!all_lives)
		sched_wake_at(sched, worker->any_life_expiry_us);
}
