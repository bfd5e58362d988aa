#include "kernel/busy.h"

#include "kernel/clock.h"
#include "kernel/decision_log.h"

#define SPAN_NS NSEC_PER_SEC
/* An interval with a lower load gets no line in the decision log. */
#define BUSY_MIN_PERCENT 10
/* Plug-ins that used less time in an interval are left out of the line. */
#define PLUGIN_MIN_US 1000

struct busy {
	struct kernel *kernel;
	int64_t turn_ns; /* start of the current iteration */
	/* Current reporting interval */
	int64_t span_ns; /* start */
	int64_t busy_ns;
	int64_t longest_ns;
	uint32_t turns_count;
};

struct busy *busy_new(struct kernel *kernel)
{
	struct busy *busy = g_new0(struct busy, 1);

	busy->kernel = kernel;
	busy->turn_ns = clock_steady_ns();
	busy->span_ns = busy->turn_ns;
	return busy;
}

void busy_free(struct busy *busy)
{
	g_free(busy);
}

static void count_plugin(void *data, const struct plugin *plugin,
			 int64_t busy_ns, struct counters *counters)
{
	GString *line = data;
	int64_t busy_us = busy_ns / NSEC_PER_USEC;
	char counter[NAME_SIZE_BYTES + 32];

	g_snprintf(counter, sizeof(counter),
		   "plugin_busy_us_total{plugin=\"%s\"}", plugin->name);
	counter_add(counters, counter, (uint64_t)busy_us);
	if (busy_us >= PLUGIN_MIN_US)
		g_string_append_printf(line, " %s_ms=%" G_GINT64_FORMAT,
				       plugin->name, busy_us / USEC_PER_MSEC);
}

static void end_span(struct busy *busy, int64_t now_ns)
{
	int64_t span_ns = now_ns - busy->span_ns;
	GString *line = g_string_new(NULL);

	kernel_take_busy(busy->kernel, count_plugin, line);
	counter_add(kernel_counters(busy->kernel), "loop_busy_us_total",
		    (uint64_t)(busy->busy_ns / NSEC_PER_USEC));
	if (busy->busy_ns * 100 >= span_ns * BUSY_MIN_PERCENT)
		decision_log("busy",
			     "span_ms=%" G_GINT64_FORMAT
			     " busy_ms=%" G_GINT64_FORMAT
			     " turns=%u longest_ms=%" G_GINT64_FORMAT "%s",
			     span_ns / NSEC_PER_MSEC,
			     busy->busy_ns / NSEC_PER_MSEC, busy->turns_count,
			     busy->longest_ns / NSEC_PER_MSEC, line->str);
	g_string_free(line, TRUE);
	busy->span_ns = now_ns;
	busy->busy_ns = 0;
	busy->longest_ns = 0;
	busy->turns_count = 0;
}

void busy_begin_turn(struct busy *busy)
{
	busy->turn_ns = clock_steady_ns();
}

void busy_end_turn(struct busy *busy)
{
	int64_t now_ns = clock_steady_ns();
	int64_t took_ns = now_ns - busy->turn_ns;

	busy->turns_count++;
	busy->busy_ns += took_ns;
	busy->longest_ns = MAX(busy->longest_ns, took_ns);
	counter_observe(kernel_counters(busy->kernel), "loop_turn",
			took_ns / NSEC_PER_USEC);
	if (now_ns - busy->span_ns >= SPAN_NS)
		end_span(busy, now_ns);
}
