#ifndef KERNEL_COUNTER_H
#define KERNEL_COUNTER_H

/* Counters, gauges and histograms, exported in the Prometheus text format. */

#include <stdint.h>

#include <glib.h>

struct counters;

struct counters *counters_new(void);
void counters_free(struct counters *counters);

/*
 * name: metric name with its labels, for example
 * requests_total{verdict="ran"}. The set of names must be bounded, because
 * counters are never removed.
 */
void counter_add(struct counters *counters, const char *name, uint64_t count);
void counter_set(struct counters *counters, const char *name, uint64_t value);
uint64_t counter_get(const struct counters *counters, const char *name);

/*
 * Adds a duration to a histogram, which is exported as
 * NAME_us_bucket{le="..."}, NAME_us_sum and NAME_us_count. name: without
 * labels.
 */
void counter_observe(struct counters *counters, const char *name,
		     int64_t time_us);

/* Prometheus text, sorted by name, each name prefixed "persimmonlatch_". */
GString *counters_text(const struct counters *counters);

#endif
