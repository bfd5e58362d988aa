/* The rule TWICE: what the workers see of each item. */

#include "restart.h"

#include <string.h>

#define RUNS_MAX_COUNT 8

struct seen_run {
	int64_t run;
	const char *worker;
	int64_t began_ms;
	bool late;
};

struct seen_item {
	struct seen_run runs[RUNS_MAX_COUNT]; /* at work now */
	int run_count;
	int64_t newest_start_ms;
	int64_t acknowledged_ms; /* an end `done` was; 0: none */
};

static GHashTable *items; /* by task */
static int broken_count;

void check_broken(const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	world_note("BROKEN: %s", text);
	g_free(text);
	g_atomic_int_inc(&broken_count);
}

int check_broken_count(void)
{
	return g_atomic_int_get(&broken_count);
}

static struct seen_item *get_item(const char *task)
{
	struct seen_item *item;

	if (!items)
		items = g_hash_table_new(g_str_hash, g_str_equal);
	item = g_hash_table_lookup(items, task);
	if (!item) {
		item = g_new0(struct seen_item, 1);
		g_hash_table_insert(items, g_strdup(task), item);
	}
	return item;
}

void check_started(const char *task, int64_t run, const char *worker, bool late)
{
	struct seen_item *item = get_item(task);

	for (int i = 0; i < item->run_count; i++) {
		const struct seen_run *other = &item->runs[i];

		check_broken("TWICE: run %" G_GINT64_FORMAT " of %s%s on %s "
			     "beside run %" G_GINT64_FORMAT "%s on %s since "
			     "%.3f s",
			     run, task, late ? " (late)" : "", worker,
			     other->run, other->late ? " (late)" : "",
			     other->worker, (double)other->began_ms / 1000.);
	}
	if (item->acknowledged_ms)
		check_broken("TWICE: run %" G_GINT64_FORMAT " of %s%s on %s "
			     "after an end that was acknowledged at %.3f s",
			     run, task, late ? " (late)" : "", worker,
			     (double)item->acknowledged_ms / 1000.);
	item->newest_start_ms = world_ms();
	g_assert(item->run_count < RUNS_MAX_COUNT);
	item->runs[item->run_count++] = (struct seen_run){
		.run = run,
		.worker = worker,
		.began_ms = world_ms(),
		.late = late,
	};
}

void check_ended(const char *task, int64_t run, const char *worker)
{
	struct seen_item *item = get_item(task);

	for (int i = 0; i < item->run_count; i++) {
		if (item->runs[i].run != run || item->runs[i].worker != worker)
			continue;
		item->runs[i] = item->runs[--item->run_count];
		return;
	}
}

void check_acknowledged(const char *task, int64_t done_ms)
{
	struct seen_item *item = get_item(task);

	if (item->newest_start_ms > done_ms)
		check_broken("TWICE: the end of %s at %.3f s is acknowledged, "
			     "and a run began at %.3f s",
			     task, (double)done_ms / 1000.,
			     (double)item->newest_start_ms / 1000.);
	item->acknowledged_ms = world_ms();
}
