#ifndef JOBS_FORECAST_H
#define JOBS_FORECAST_H

/*
 * Short-term forecast of the rate at which work arrives at a pool. The load
 * that it is for grows within seconds: a machine that is ordered now is at work
 * only after its move, and what arrives until then misses its objective.
 */

#include "jobs/resources.h"

/* The growth is measured over so many samples, this time apart. */
#define FORECAST_SAMPLES_COUNT 8
#define FORECAST_SAMPLE_US (100 * USEC_PER_MSEC)

struct forecast {
	struct resources samples[FORECAST_SAMPLES_COUNT];
	uint32_t next_sample;	/* the oldest, which is replaced next */
	int64_t next_sample_us; /* earliest time of the next sample */
};

/*
 * Adds a measured rate, and returns the rate to expect after lead_us if it goes
 * on growing as it did: at most twice the measured one, since few jobs give a
 * rough measure. A rate that falls is expected to stay.
 */
struct resources forecast_update(struct forecast *forecast,
				 const struct resources *rate, int64_t now_us,
				 int64_t lead_us);

#endif
