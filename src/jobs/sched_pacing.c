/*
 * Filler items use capacity that others leave, but slow down the serving items
 * on the same worker. When the response time of one comes close to its target,
 * the fillers of the worker are slowed down at once and sped up slowly later.
 */

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* Share of the target response time above which fillers are slowed down. */
#define PACE_DOWN_ABOVE_PERCENT 95
/* Share of the target response time below which they are sped up. */
#define PACE_UP_BELOW_PERCENT 60
#define PACE_DOWN_DIVISOR 4
#define PACE_DOWN_MIN_PERCENT 6
#define PACE_UP_STEP_PERCENT 20
#define PACE_UP_PERIOD_US (2 * USEC_PER_SEC)
#define PACE_DOWN_PERIOD_US (400 * USEC_PER_MSEC)

/* Highest response time of the worker's items, in percent of their targets. */
static uint32_t worst_target_percent(const struct worker *worker)
{
	uint32_t worst = 0;

	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		const struct job_item *item = placement_item(&placement);
		uint32_t target_ms = placement_step(&placement)->target_ms;

		if (target_ms && item->phase == ITEM_RUNNING)
			worst = MAX(worst, 100 * item->observed / target_ms);
	}
	return worst;
}

static void set_pace(struct sched *sched, struct worker *worker,
		     const struct placement *placement, uint32_t percent,
		     uint32_t worst)
{
	struct job_item *item = placement_item(placement);
	struct order *order;

	if (item->phase != ITEM_RUNNING || item->pace_percent == percent)
		return;
	order = item_order_new(sched, worker, placement->job, placement->index,
			       ORDER_PACE);
	order->percent = percent;
	item->pace_percent = percent;
	decision_log("pace", "item=%s worker=%s percent=%u worst_tail=%u%%",
		     order->item, worker->id, percent, worst);
	worker_send_order(sched, worker, order);
}

static uint32_t reduce_pace(uint32_t percent)
{
	percent /= PACE_DOWN_DIVISOR;
	return percent < PACE_DOWN_MIN_PERCENT ? 0 : percent;
}

static void pace_fillers(struct sched *sched, struct worker *worker, bool up,
			 uint32_t worst)
{
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		const struct job_item *item = placement_item(&placement);

		if (!placement_step(&placement)->filler)
			continue;
		set_pace(
			sched, worker, &placement,
			up ? MIN(item->pace_percent + PACE_UP_STEP_PERCENT, 100)
			   : reduce_pace(item->pace_percent),
			worst);
	}
}

void fillers_on_hold(struct sched *sched, struct worker *worker)
{
	int64_t now_us = sched_now_us(sched);
	uint32_t worst = worst_target_percent(worker);

	if (worst > PACE_DOWN_ABOVE_PERCENT &&
	    now_us - worker->fillers_paced_us > PACE_DOWN_PERIOD_US) {
		worker->fillers_paced_us = now_us;
		pace_fillers(sched, worker, false, worst);
	} else if (worst < PACE_UP_BELOW_PERCENT &&
		   now_us - worker->fillers_paced_us > PACE_UP_PERIOD_US) {
		worker->fillers_paced_us = now_us;
		pace_fillers(sched, worker, true, worst);
	}
}
