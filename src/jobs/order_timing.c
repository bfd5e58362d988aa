#include "jobs/order_timing.h"

#include <glib.h>

/* Weights of a new sample as in RFC 6298. */
#define MEAN_DIVISOR 8
#define DEVIATION_DIVISOR 4
/* The timeout is the mean and this many deviations. */
#define DEVIATIONS_COUNT 4
/* More would exceed the bounds, whatever the mean. */
#define DOUBLINGS_MAX_COUNT 2

void order_timing_observe(struct order_timing *timing, int64_t took_us)
{
	int64_t error_us = took_us - timing->mean_us;

	if (!timing->mean_us) {
		timing->mean_us = MAX(took_us, 1);
		timing->deviation_us = took_us / 2;
		return;
	}
	timing->deviation_us +=
		(ABS(error_us) - timing->deviation_us) / DEVIATION_DIVISOR;
	timing->mean_us = MAX(timing->mean_us + error_us / MEAN_DIVISOR, 1);
}

int64_t order_timing_timeout_us(const struct order_timing *timing,
				uint32_t missed_count)
{
	int64_t timeout_us =
		timing->mean_us + DEVIATIONS_COUNT * timing->deviation_us;

	if (!timing->mean_us)
		return ORDER_TIMEOUT_MAX_US;
	timeout_us = MAX(timeout_us, ORDER_TIMEOUT_MIN_US);
	timeout_us <<= MIN(missed_count, DOUBLINGS_MAX_COUNT);
	return MIN(timeout_us, ORDER_TIMEOUT_MAX_US);
}
