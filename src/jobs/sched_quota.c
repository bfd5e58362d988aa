#include "jobs/sched_quota.h"

#include <string.h>

#include "kernel/decision_log.h"

#define LOG_INTERVAL_US USEC_PER_SEC

static const char *const resource_names[] = {
	[RESOURCE_CPU_MILLI] = "cpu",
	[RESOURCE_MEM_MB] = "mem_mb",
	[RESOURCE_GPU_COUNT] = "gpu",
	[RESOURCE_COUNT] = "none",
};

void quota_free(gpointer quota)
{
	g_free(quota);
}

/* The limits of a member that a configuration has, or had. */
static bool set_configured(struct quota *quota, const struct queues *queues)
{
	const struct member *member =
		queues ? members_find(queues->members, quota->member) : NULL;

	if (!member)
		return false;
	quota->limits = quota_limits(&member->policy);
	quota->configured = true;
	quota->version = queues->version;
	return true;
}

/*
 * A member that no configuration seen here has was removed before this process
 * started. The newest submission has the limits that were known last.
 */
static void set_submitted(struct quota *quota, const struct job *job)
{
	if (quota->configured || job->submit_offset < quota->limits_offset)
		return;
	quota->limits = quota_limits(&job->member_policy);
	quota->limits_offset = job->submit_offset;
}

void quota_assign(struct sched *sched, struct job *job)
{
	struct quota *quota;

	job->quota = NULL;
	if (!job->member[0])
		return;
	quota = g_hash_table_lookup(sched->quotas, job->member);
	if (!quota) {
		quota = g_new0(struct quota, 1);
		g_strlcpy(quota->member, job->member, sizeof(quota->member));
		quota->overage_percent = sched->bounds->quota_overage_percent;
		quota->refused = RESOURCE_COUNT;
		set_configured(quota, kernel_queues(sched->kernel));
		g_hash_table_insert(sched->quotas, quota->member, quota);
	}
	set_submitted(quota, job);
	job->quota = quota;
}

void quota_add_usage(struct quota *quota, const struct resources *amount)
{
	if (quota)
		resources_add(&quota->used, amount, 1);
}

void quota_remove_usage(struct quota *quota, const struct resources *amount)
{
	if (quota)
		resources_subtract(&quota->used, amount);
}

void quotas_on_config(struct sched *sched, const struct queues *queues)
{
	GHashTableIter iter;
	gpointer quota;

	g_hash_table_iter_init(&iter, sched->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &quota)) {
		if (set_configured(quota, queues))
			sched_request_placement(sched);
	}
}

void quotas_reset(struct sched *sched)
{
	static const struct resources none;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quota *quota = value;

		quota->used = none;
		quota->held_count = 0;
		quota->last_held_count = 0;
		quota->refused = RESOURCE_COUNT;
		quota->reported = false;
		counter_set(kernel_counters(sched->kernel), "quota_held_items",
			    0);
	}
}

bool quota_allows(const struct job *job, uint32_t step)
{
	const struct job_step *of = job_step(job, step);
	struct resources item;
	enum resource exceeded;

	if (!job->quota)
		return true;
	item = resources_of_step(of);
	exceeded = of->gang ? quota_gang_exceeds(&job->quota->limits,
						 &job->quota->used, &item,
						 of->item_count,
						 job->quota->overage_percent)
			    : quota_item_exceeds(&job->quota->limits,
						 &job->quota->used, &item);
	if (exceeded == RESOURCE_COUNT)
		return true;
	job->quota->refused = exceeded;
	return false;
}

void quotas_begin_measure(struct sched *sched)
{
	static const struct resources none;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quota *quota = value;

		quota->planned = quota->used;
		quota->arriving = none;
		quota->burst = none;
		quota->last_held_count = quota->held_count;
		quota->held_count = 0;
	}
}

uint32_t quota_startable_count(const struct job *job, uint32_t step,
			       uint32_t waiting_count)
{
	const struct job_step *of = job_step(job, step);
	struct quota *quota = job->quota;
	struct resources item;
	uint32_t count;

	if (!quota || !waiting_count)
		return waiting_count;
	item = resources_of_step(of);
	if (!of->gang)
		count = quota_items_fit(&quota->limits, &quota->planned, &item,
					waiting_count);
	else if (quota_gang_exceeds(&quota->limits, &quota->planned, &item,
				    waiting_count,
				    quota->overage_percent) == RESOURCE_COUNT)
		count = waiting_count;
	else
		count = 0;
	resources_add(&quota->planned, &item, count);
	quota->held_count += waiting_count - count;
	return count;
}

/* The limit that holds back most of what the member has. */
static enum resource tightest(const struct quota *quota)
{
	enum resource found = RESOURCE_COUNT;
	double most = 0.;

	for (enum resource i = 0; i < RESOURCE_COUNT; i++) {
		double share =
			quota->limits.amounts[i]
				? (double)quota->planned.amounts[i] /
					  (double)quota->limits.amounts[i]
				: 0.;

		if (share <= most)
			continue;
		most = share;
		found = i;
	}
	return found;
}

static void log_quota(const struct quota *quota, enum resource resource)
{
	bool known = resource != RESOURCE_COUNT;

	decision_log("quota",
		     "member=%s state=%s resource=%s used=%" G_GUINT64_FORMAT
		     " limit=%" G_GUINT64_FORMAT
		     " items=%u config=%" G_GUINT64_FORMAT,
		     quota->member, quota->reported ? "held" : "free",
		     resource_names[resource],
		     known ? quota->used.amounts[resource] : 0,
		     known ? quota->limits.amounts[resource] : 0,
		     quota->held_count, quota->version);
}

void quotas_report(struct sched *sched)
{
	struct counters *counters = kernel_counters(sched->kernel);
	int64_t now_us = sched_now_us(sched);
	uint64_t held_count = 0;
	GHashTableIter iter;
	gpointer value;

	if (!g_hash_table_size(sched->quotas))
		return;
	g_hash_table_iter_init(&iter, sched->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quota *quota = value;
		enum resource refused = quota->refused != RESOURCE_COUNT
						? quota->refused
						: tightest(quota);
		bool held =
			quota->held_count || quota->refused != RESOURCE_COUNT;

		held_count += quota->held_count;
		if (quota->held_count > quota->last_held_count)
			counter_add(counters, "quota_held_items_total",
				    quota->held_count - quota->last_held_count);
		quota->refused = RESOURCE_COUNT;
		if (held == quota->reported || now_us < quota->next_log_us)
			continue;
		quota->reported = held;
		quota->next_log_us = now_us + LOG_INTERVAL_US;
		log_quota(quota, refused);
	}
	counter_set(counters, "quota_held_items", held_count);
}

static void recount_jobs(const struct sched *sched, GHashTable *sums)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter,
			       job_table_all(kernel_jobs(sched->kernel)));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *job = value;
		struct resources *sum = g_hash_table_lookup(sums, job->member);

		for (uint32_t i = 0; sum && i < job->item_count; i++) {
			enum item_phase phase = job_item_view(job, i)->phase;
			struct resources amount = resources_of_step(
				job_step(job, job_item_step(job, i)));

			if (phase != ITEM_WAITING && phase != ITEM_DONE)
				resources_add(sum, &amount, 1);
		}
	}
}

static void recount_late_starts(const struct sched *sched, GHashTable *sums)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		for (guint i = 0; i < worker->late_starts->len; i++) {
			const struct late_start *late = &g_array_index(
				worker->late_starts, struct late_start, i);

			if (late->counted)
				resources_add(
					g_hash_table_lookup(
						sums, late->quota->member),
					&late->amount, 1);
		}
	}
}

const char *quotas_differ(const struct sched *sched)
{
	GHashTable *sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	const char *found = NULL;
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->quotas);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_hash_table_insert(sums, name, g_new0(struct resources, 1));
	if (sched->is_holder) {
		recount_jobs(sched, sums);
		recount_late_starts(sched, sums);
	}
	g_hash_table_iter_init(&iter, sched->quotas);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct quota *quota = value;

		if (memcmp(&quota->used, g_hash_table_lookup(sums, name),
			   sizeof(quota->used)) != 0)
			found = name;
	}
	g_hash_table_unref(sums);
	return found;
}
