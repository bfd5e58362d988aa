#include "kernel/counter.h"

#include <inttypes.h>
#include <string.h>

#define NAME_MAX_BYTES 128

struct counters {
	GTree *values;	   /* name -> uint64_t */
	GTree *histograms; /* name -> struct histogram */
};

static const int64_t bucket_bounds_us[] = { 1000,    3000,    10000,
					    30000,   100000,  300000,
					    1000000, 3000000, 10000000 };

/* Pointers to the values of a histogram: one look-up per observation. */
struct histogram {
	uint64_t *buckets[G_N_ELEMENTS(bucket_bounds_us)];
	uint64_t *inf_bucket;
	uint64_t *sum;
	uint64_t *count;
};

static gint compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

struct counters *counters_new(void)
{
	struct counters *counters = g_new0(struct counters, 1);

	counters->values = g_tree_new_full(compare_names, NULL, g_free, g_free);
	counters->histograms =
		g_tree_new_full(compare_names, NULL, g_free, g_free);
	return counters;
}

void counters_free(struct counters *counters)
{
	if (!counters)
		return;
	g_tree_unref(counters->histograms);
	g_tree_unref(counters->values);
	g_free(counters);
}

static uint64_t *find_or_add_value(struct counters *counters, const char *name)
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
	*find_or_add_value(counters, name) += count;
}

void counter_set(struct counters *counters, const char *name, uint64_t value)
{
	*find_or_add_value(counters, name) = value;
}

static struct histogram *find_or_add_histogram(struct counters *counters,
					       const char *name)
{
	struct histogram *histogram = g_tree_lookup(counters->histograms, name);
	char text[NAME_MAX_BYTES];

	if (histogram)
		return histogram;
	histogram = g_new0(struct histogram, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(bucket_bounds_us); i++) {
		g_snprintf(text, sizeof(text),
			   "%s_us_bucket{le=\"%" G_GINT64_FORMAT "\"}", name,
			   bucket_bounds_us[i]);
		histogram->buckets[i] = find_or_add_value(counters, text);
	}
	g_snprintf(text, sizeof(text), "%s_us_bucket{le=\"+Inf\"}", name);
	histogram->inf_bucket = find_or_add_value(counters, text);
	g_snprintf(text, sizeof(text), "%s_us_sum", name);
	histogram->sum = find_or_add_value(counters, text);
	g_snprintf(text, sizeof(text), "%s_us_count", name);
	histogram->count = find_or_add_value(counters, text);
	g_tree_insert(counters->histograms, g_strdup(name), histogram);
	return histogram;
}

void counter_observe(struct counters *counters, const char *name,
		     int64_t time_us)
{
	struct histogram *histogram = find_or_add_histogram(counters, name);

	for (size_t i = 0; i < G_N_ELEMENTS(bucket_bounds_us); i++)
		*histogram->buckets[i] += time_us <= bucket_bounds_us[i];
	*histogram->inf_bucket += 1;
	*histogram->sum += (uint64_t)MAX(time_us, 0);
	*histogram->count += 1;
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
