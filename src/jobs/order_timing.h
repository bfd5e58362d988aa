#ifndef JOBS_ORDER_TIMING_H
#define JOBS_ORDER_TIMING_H

/*
 * Timeout of orders to workers. The load that it is for: answers get lost, and
 * the sooner that is noticed, the less the items wait for a second order. A
 * busy process sees all answers late, so the timeout follows the time they
 * take.
 */

#include "core/types.h"

/* Bounds of the timeout; a hold adds the time that it waits for an end. */
#define ORDER_TIMEOUT_MIN_US (250 * USEC_PER_MSEC)
#define ORDER_TIMEOUT_MAX_US USEC_PER_SEC

/* Smoothed duration of answered orders and its mean deviation (RFC 6298). */
struct order_timing {
	int64_t mean_us; /* 0: no order was answered yet */
	int64_t deviation_us;
};

/* Adds the duration of an order that was answered. */
void order_timing_observe(struct order_timing *timing, int64_t took_us);

/*
 * Timeout of the next order to a worker that has left missed_count orders in a
 * row unanswered. It doubles with each, so that a worker whose answers all take
 * longer than expected is still heard.
 */
int64_t order_timing_timeout_us(const struct order_timing *timing,
				uint32_t missed_count);

#endif
