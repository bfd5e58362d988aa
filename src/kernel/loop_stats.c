#include "kernel/loop_stats.h"

#include "kernel/clock.h"
#include "kernel/decision_log.h"

#define INTERVAL_NS NSEC_PER_SEC
/* An interval with a lower load gets no line in the decision log. */
#define BUSY_MIN_PERCENT 10
/* Plug-ins that used less time in an interval are left out of the line. */
#define PLUGIN_BUSY_MIN_US 1000

struct loop_stats {
	struct kernel *kernel;
	int64_t iteration_start_ns;
	/* Current reporting interval */
	int64_t interval_start_ns;
	int64_t busy_ns;
	int64_t longest_ns;
	uint32_t iterations_count;
};

struct loop_stats *loop_stats_new(struct kernel *kernel)
{
	struct loop_stats *stats = g_new0(struct loop_stats, 1);

	stats->kernel = kernel;
	stats->iteration_start_ns = clock_steady_ns();
	stats->interval_start_ns = stats->iteration_start_ns;
	return stats;
}

void loop_stats_free(struct loop_stats *stats)
{
	g_free(stats);
}

static void add_plugin(void *data, const struct plugin *plugin, int64_t busy_ns,
		       struct counters *counters)
{
	GString *line = data;
	int64_t busy_us = busy_ns / NSEC_PER_USEC;
	char counter[NAME_SIZE_BYTES + 32];

	g_snprintf(counter, sizeof(counter),
		   "plugin_busy_us_total{plugin=\"%s\"}", plugin->name);
	counter_add(counters, counter, (uint64_t)busy_us);
	if (busy_us >= PLUGIN_BUSY_MIN_US)
		g_string_append_printf(line, " %s_ms=%" G_GINT64_FORMAT,
				       plugin->name, busy_us / USEC_PER_MSEC);
}

static void end_interval(struct loop_stats *stats, int64_t now_ns)
{
	int64_t interval_ns = now_ns - stats->interval_start_ns;
	GString *line = g_string_new(NULL);

	kernel_collect_busy_times(stats->kernel, add_plugin, line);
	counter_add(kernel_counters(stats->kernel), "loop_busy_us_total",
		    (uint64_t)(stats->busy_ns / NSEC_PER_USEC));
	if (stats->busy_ns * 100 >= interval_ns * BUSY_MIN_PERCENT)
		decision_log(
			"busy",
			"span_ms=%" G_GINT64_FORMAT " busy_ms=%" G_GINT64_FORMAT
			" turns=%u longest_ms=%" G_GINT64_FORMAT "%s",
			interval_ns / NSEC_PER_MSEC,
			stats->busy_ns / NSEC_PER_MSEC, stats->iterations_count,
			stats->longest_ns / NSEC_PER_MSEC, line->str);
	g_string_free(line, TRUE);
	stats->interval_start_ns = now_ns;
	stats->busy_ns = 0;
	stats->longest_ns = 0;
	stats->iterations_count = 0;
}

void loop_stats_begin_iteration(struct loop_stats *stats)
{
	stats->iteration_start_ns = clock_steady_ns();
}

void loop_stats_end_iteration(struct loop_stats *stats)
{
	int64_t now_ns = clock_steady_ns();
	int64_t took_ns = now_ns - stats->iteration_start_ns;

	stats->iterations_count++;
	stats->busy_ns += took_ns;
	stats->longest_ns = MAX(stats->longest_ns, took_ns);
	counter_observe(kernel_counters(stats->kernel), "loop_turn",
			took_ns / NSEC_PER_USEC);
	if (now_ns - stats->interval_start_ns >= INTERVAL_NS)
		end_interval(stats, now_ns);
}
