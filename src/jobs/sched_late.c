/*
 * Starts that got no answer and whose item was taken off the worker since. Such
 * an order may be carried out seconds later, also by a later life of the
 * worker, which has not heard that the run is over. So each life of the worker
 * that answers is told to refuse the run.
 */

#include <string.h>

#include "jobs/sched_quota.h"
#include "kernel/decision_log.h"

/* A stop that got no answer is sent again after this time. */
#define STOP_RETRY_US ORDER_RESEND_DELAY_US

/* Counts a late start in the quota of its member, or no longer. */
static void set_counted(struct sched *sched, struct late_start *late,
			bool counted)
{
	if (!late->quota || late->counted == counted)
		return;
	late->counted = counted;
	if (counted) {
		quota_add_usage(late->quota, &late->amount);
	} else {
		quota_remove_usage(late->quota, &late->amount);
		sched_request_placement(sched);
	}
}

/* Whether a run of a late start may still begin or go on. */
static bool may_run(const struct late_start *late, int64_t now_us)
{
	return now_us < late->until_us &&
	       (!late->refused || now_us < late->stopped_us);
}

void late_starts_note(struct sched *sched, struct worker *worker,
		      const struct job *job, uint32_t index)
{
	const struct job_item *item = job_item_view(job, index);
	struct late_start late = {
		.run = item->run,
		.until_us = item->start_late_until_us,
		/* A life that has answered has ended or refused the run. */
		.refused = worker->synced,
		.quota = job->quota,
		.amount = resources_of_step(
			job_step(job, job_item_step(job, index))),
	};

	if (late.until_us <= sched_now_us(sched))
		return;
	set_counted(sched, &late, !late.refused);
	job_item_name(job, index, late.item, sizeof(late.item));
	g_array_append_val(worker->late_starts, late);
}

void late_starts_on_restart(struct sched *sched, struct worker *worker)
{
	for (guint i = 0; i < worker->late_starts->len; i++) {
		struct late_start *late = &g_array_index(worker->late_starts,
							 struct late_start, i);

		late->refused = false;
		set_counted(sched, late, true);
		late->retry_us = 0;
	}
}

static void send_stop(struct sched *sched, struct worker *worker,
		      struct late_start *late)
{
	struct order *order = worker_order_new(sched, worker, ORDER_STOP);

	decision_log("stop", "item=%s run=%u worker=%s reason=late-start",
		     late->item, late->run, worker->id);
	g_strlcpy(order->item, late->item, sizeof(order->item));
	order->run = late->run;
	late->pending = true;
	worker_send_order(sched, worker, order);
}

void late_starts_tick(struct sched *sched, struct worker *worker)
{
	int64_t now_us = sched_now_us(sched);

	for (guint i = worker->late_starts->len; i > 0; i--) {
		struct late_start *late = &g_array_index(
			worker->late_starts, struct late_start, i - 1);

		if (!may_run(late, now_us))
			set_counted(sched, late, false);
		if (now_us >= late->until_us) {
			g_array_remove_index_fast(worker->late_starts, i - 1);
			continue;
		}
		if (late->refused || late->pending || !worker->synced ||
		    worker->unanswered_count || now_us < late->retry_us)
			continue;
		send_stop(sched, worker, late);
	}
}

bool late_starts_contain(const struct worker *worker, const char *item,
			 uint32_t run)
{
	for (guint i = 0; i < worker->late_starts->len; i++) {
		const struct late_start *late = &g_array_index(
			worker->late_starts, struct late_start, i);

		if (late->run == run && !strcmp(late->item, item))
			return true;
	}
	return false;
}

void late_starts_on_order(struct sched *sched, struct worker *worker,
			  const struct order *order)
{
	for (guint i = 0; i < worker->late_starts->len; i++) {
		struct late_start *late = &g_array_index(worker->late_starts,
							 struct late_start, i);

		if (late->run != order->run ||
		    strcmp(late->item, order->item) != 0)
			continue;
		late->pending = false;
		late->refused = order->result == ORDER_OK &&
				order->sent_us >= worker->restarted_us;
		/* It may have begun before, and ends within this time. */
		late->stopped_us = sched_now_us(sched) + sched->bounds->stop_us;
		late->retry_us = sched_now_us(sched) + STOP_RETRY_US;
		/* A hold tells whether the worker is reachable. */
		if (!order_is_answered(order))
			worker->synced = false;
		if (!late->refused)
			sched_wake_at(sched, late->retry_us);
		else if (late->counted)
			sched_wake_at(sched, late->stopped_us);
	}
}
