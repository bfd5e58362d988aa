/* Estimates sizes of jobs and chooses instances to run them on. */

#include <string.h>

#include "decide/jobs.h"

#define USAGE_HISTORY_COUNT 64 /* latest reports per member and pool */
#define USAGE_PERCENTILE 90
/* A job counts for at least the declared size divided by this. */
#define MIN_SIZE_DIVISOR 10
/* Limit of the ratio of reported to declared size. */
#define MAX_RATIO_PERMILLE 100000

/* Ring buffer of ratios of reported to declared size. */
struct usage_history {
	uint32_t ratios_permille[USAGE_HISTORY_COUNT];
	uint32_t count;
	uint32_t next;
};

static uint32_t declared_millislots(const struct fleet_job *job)
{
	uint64_t millislots =
		(uint64_t)job->decl.declared_slots_count * MILLISLOTS_PER_SLOT;

	return (uint32_t)CLAMP(millislots, 1, UINT32_MAX);
}

static struct usage_history *get_usage_history(struct jobs *jobs,
					       const struct fleet_job *job)
{
	char *key = g_strdup_printf("%s/%s", job->decl.member, job->decl.pool);
	struct usage_history *history = g_hash_table_lookup(jobs->usage, key);

	if (!history) {
		history = g_new0(struct usage_history, 1);
		g_hash_table_insert(jobs->usage, g_strdup(key), history);
	}
	g_free(key);
	return history;
}

void jobs_record_usage(struct jobs *jobs, struct tracked_job *tracked,
		       const struct fleet_job *job, uint32_t used_millislots)
{
	struct usage_history *history = get_usage_history(jobs, job);
	uint64_t ratio =
		(uint64_t)used_millislots * 1000 / declared_millislots(job);

	if (!used_millislots)
		return;
	tracked->used_millislots =
		MAX(tracked->used_millislots, used_millislots);
	history->ratios_permille[history->next] =
		(uint32_t)MIN(ratio, MAX_RATIO_PERMILLE);
	history->next = (history->next + 1) % USAGE_HISTORY_COUNT;
	history->count = MIN(history->count + 1, USAGE_HISTORY_COUNT);
}

static int compare_ratios(const void *a, const void *b)
{
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	return left < right ? -1 : left > right;
}

static uint32_t percentile_permille(const struct usage_history *history)
{
	uint32_t sorted[USAGE_HISTORY_COUNT];

	memcpy(sorted, history->ratios_permille, sizeof(sorted));
	qsort(sorted, history->count, sizeof(sorted[0]), compare_ratios);
	return sorted[(history->count - 1) * USAGE_PERCENTILE / 100];
}

uint32_t jobs_estimate_millislots(struct jobs *jobs,
				  const struct tracked_job *tracked,
				  const struct fleet_job *job)
{
	const struct usage_history *history = get_usage_history(jobs, job);
	uint32_t declared = declared_millislots(job);
	uint64_t size = declared;

	if (tracked->used_millislots)
		size = tracked->used_millislots;
	else if (history->count)
		size = (uint64_t)declared * percentile_permille(history) / 1000;
	return (uint32_t)CLAMP(size, declared / MIN_SIZE_DIVISOR, UINT32_MAX);
}

static uint32_t table_get(GHashTable *table, const char *key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(table, key));
}

static void table_add(GHashTable *table, const char *key, int64_t change)
{
	int64_t count = table_get(table, key) + change;

	if (count > 0)
		g_hash_table_replace(table, g_strdup(key),
				     GUINT_TO_POINTER((guint)count));
	else
		g_hash_table_remove(table, key);
}

void jobs_charge(struct jobs *jobs, struct tracked_job *tracked,
		 const char *instance, uint32_t millislots)
{
	if (tracked->charged_to[0]) {
		table_add(jobs->charged, tracked->charged_to,
			  -(int64_t)tracked->charged_millislots);
		table_add(jobs->running, tracked->member, -1);
	}
	name_copy(tracked->charged_to, NAME_SIZE_BYTES, instance);
	tracked->charged_millislots = millislots;
	if (tracked->charged_to[0]) {
		table_add(jobs->charged, instance, millislots);
		table_add(jobs->running, tracked->member, 1);
	}
}

static bool has_failed_on(const struct fleet_job *job,
			  const struct fleet_instance *instance)
{
	return g_ptr_array_find_with_equal_func(
		job->failed_on, instance->decl.name, g_str_equal, NULL);
}

static bool fits(struct jobs *jobs, const struct fleet_instance *instance,
		 uint32_t size_millislots)
{
	uint64_t used = table_get(jobs->charged, instance->decl.name);

	return used + size_millislots <=
	       (uint64_t)instance->decl.slot_count * MILLISLOTS_PER_SLOT;
}

/* Millislots charged to the instances of a pool in the rack of an instance. */
static uint64_t rack_millislots(struct jobs *jobs,
				const struct fleet_pool *pool,
				const struct fleet_instance *rack_of)
{
	uint64_t sum = 0;

	for (guint i = 0; i < pool->instances->len; i++) {
		const struct fleet_instance *instance =
			pool->instances->pdata[i];

		if (!strcmp(instance->decl.rack, rack_of->decl.rack) &&
		    !strcmp(instance->decl.dc, rack_of->decl.dc))
			sum += table_get(jobs->charged, instance->decl.name);
	}
	return sum;
}

static bool quota_allows(struct jobs *jobs, const struct fleet_job *job)
{
	const struct decl_member *member =
		fleet_member(kernel_fleet(jobs->kernel), job->decl.member);

	return !member || !member->quota_count ||
	       table_get(jobs->running, job->decl.member) < member->quota_count;
}

const struct fleet_instance *
jobs_find_instance(struct jobs *jobs, const struct tracked_job *tracked,
		   const struct fleet_job *job)
{
	const struct fleet_pool *pool =
		fleet_pool(kernel_fleet(jobs->kernel), job->decl.pool);
	uint32_t size = jobs_estimate_millislots(jobs, tracked, job);
	const struct fleet_instance *best = NULL;
	uint64_t best_load = UINT64_MAX;

	if (!pool || !quota_allows(jobs, job))
		return NULL;
	for (guint i = 0; i < pool->instances->len; i++) {
		const struct fleet_instance *instance =
			pool->instances->pdata[i];
		uint64_t load;

		if (instance->phase != INSTANCE_ACTIVE || instance->down ||
		    has_failed_on(job, instance) || !fits(jobs, instance, size))
			continue;
		/* Least used rack first, then the least used instance in it. */
		load = rack_millislots(jobs, pool, instance) << 32 |
		       table_get(jobs->charged, instance->decl.name);
		if (load >= best_load)
			continue;
		best_load = load;
		best = instance;
	}
	return best;
}

const char *jobs_unplaceable_reason(struct jobs *jobs,
				    const struct tracked_job *tracked,
				    const struct fleet_job *job)
{
	const struct fleet_pool *pool =
		fleet_pool(kernel_fleet(jobs->kernel), job->decl.pool);
	uint32_t size = jobs_estimate_millislots(jobs, tracked, job);
	bool too_large = true;
	bool all_failed = true;

	if (!pool)
		return "its pool is no longer declared";
	/* An empty pool may gain instances later. */
	if (!pool->instances->len)
		return NULL;
	for (guint i = 0; i < pool->instances->len; i++) {
		const struct fleet_instance *instance =
			pool->instances->pdata[i];

		too_large = too_large &&
			    size > (uint64_t)instance->decl.slot_count *
					    MILLISLOTS_PER_SLOT;
		all_failed = all_failed && has_failed_on(job, instance);
	}
	if (too_large)
		return "it needs more slots than any instance of its pool has";
	return all_failed ? "it failed on every instance of its pool" : NULL;
}
