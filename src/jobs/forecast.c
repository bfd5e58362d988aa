#include "jobs/forecast.h"

#define WINDOW_US (FORECAST_SAMPLES_COUNT * FORECAST_SAMPLE_US)

static uint64_t extrapolate(uint64_t earlier, uint64_t now, int64_t lead_us)
{
	if (now <= earlier)
		return now;
	return MIN(now + (now - earlier) * (uint64_t)lead_us / WINDOW_US,
		   2 * now);
}

struct resources forecast_update(struct forecast *forecast,
				 const struct resources *rate, int64_t now_us,
				 int64_t lead_us)
{
	struct resources *oldest = &forecast->samples[forecast->next_sample];
	struct resources expected;

	for (uint32_t i = 0; i < RESOURCE_COUNT; i++)
		expected.amounts[i] = extrapolate(oldest->amounts[i],
						  rate->amounts[i], lead_us);
	if (now_us < forecast->next_sample_us)
		return expected;
	*oldest = *rate;
	forecast->next_sample =
		(forecast->next_sample + 1) % FORECAST_SAMPLES_COUNT;
	forecast->next_sample_us = now_us + FORECAST_SAMPLE_US;
	return expected;
}
