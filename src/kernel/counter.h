#ifndef KERNEL_COUNTER_H
#define KERNEL_COUNTER_H

/* Counters and gauges with stable names, shown as Prometheus text. */

#include <stdint.h>

#include <glib.h>

struct counters;

struct counters *counters_new(void);
void counters_free(struct counters *counters);

/*
 * name: a counter's full name with its labels, for example
 * requests_total{verdict="ran"}. The set of names must be bounded.
 */
void counter_add(struct counters *counters, const char *name, uint64_t count);
void counter_set(struct counters *counters, const char *name, uint64_t value);
uint64_t counter_get(const struct counters *counters, const char *name);

/*
 * Adds a time to a histogram: NAME_us_bucket{le="..."}, NAME_us_sum and
 * NAME_us_count. name: without labels.
 */
void counter_observe(struct counters *counters, const char *name,
		     int64_t time_us);

/* Prometheus text, names in order, prefixed with "persimmonlatch_". */
GString *counters_text(const struct counters *counters);

#endif
