#include "kernel/counter.h"

#include <inttypes.h>
#include <string.h>

#define NAME_MAX_BYTES 128

struct counters {
	GTree *values; /* name -> uint64_t */
};

static gint compare(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

struct counters *counters_new(void)
{
	struct counters *counters = g_new0(struct counters, 1);

	counters->values = g_tree_new_full(compare, NULL, g_free, g_free);
	return counters;
}

void counters_free(struct counters *counters)
{
	if (!counters)
		return;
	g_tree_unref(counters->values);
	g_free(counters);
}

static uint64_t *value_of(struct counters *counters, const char *name)
{
	uint64_t *value = g_tree_lookup(counters->values, name);

	if (!value) {
		value = g_new0(uint64_t, 1);
		g_tree_insert(counters->values, g_strdup(name), value);
	}
	return value;
}

void counter_add(struct counters *counters, const char *name, uint64_t count)
{
	*value_of(counters, name) += count;
}

void counter_set(struct counters *counters, const char *name, uint64_t value)
{
	*value_of(counters, name) = value;
}

void counter_observe(struct counters *counters, const char *name,
		     int64_t time_us)
{
	static const int64_t bounds_us[] = { 1000,    3000,    10000,
					     30000,   100000,  300000,
					     1000000, 3000000, 10000000 };
	char text[NAME_MAX_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(bounds_us); i++) {
		g_snprintf(text, sizeof(text),
			   "%s_us_bucket{le=\"%" G_GINT64_FORMAT "\"}", name,
			   bounds_us[i]);
		counter_add(counters, text, time_us <= bounds_us[i]);
	}
	g_snprintf(text, sizeof(text), "%s_us_bucket{le=\"+Inf\"}", name);
	counter_add(counters, text, 1);
	g_snprintf(text, sizeof(text), "%s_us_sum", name);
	counter_add(counters, text, (uint64_t)MAX(time_us, 0));
	g_snprintf(text, sizeof(text), "%s_us_count", name);
	counter_add(counters, text, 1);
}

uint64_t counter_get(const struct counters *counters, const char *name)
{
	const uint64_t *value = g_tree_lookup(counters->values, name);

	return value ? *value : 0;
}

static gboolean append_line(gpointer key, gpointer value, gpointer data)
{
	g_string_append_printf(data, "persimmonlatch_%s %" PRIu64 "\n",
			       (const char *)key, *(uint64_t *)value);
	return FALSE;
}

GString *counters_text(const struct counters *counters)
{
	GString *text = g_string_new(NULL);

	g_tree_foreach(counters->values, append_line, text);
	return text;
}
