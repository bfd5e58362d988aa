/* Placement: the order of the waiting items. */

#include <string.h>

#include "jobs/sched_place.h"
#include "jobs/sched_quota.h"
#include "kernel/decision_log.h"

#define STATS_LOG_PERIOD_US USEC_PER_SEC
/*
 * So many items of a job are placed although the starts of others wait for the
 * worker: a large job does not hold up small ones.
 */
#define START_QUEUE_EXEMPT_COUNT 4

static void add_candidate(struct pass *pass, struct job *job)
{
	struct candidate candidate = {
		.job = job,
		.pool = job->pool,
		.long_running = job_step(job, 0)->long_running,
		.priority = job->policy.priority,
	};

	if (!job->objective_us)
		job_update_objective(pass->sched, job);
	candidate.objective_us = job->objective_us;
	candidate.late = job->late;
	candidate.over_rate = job->over_rate;
	g_array_append_val(pass->candidates, candidate);
}

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->long_running != right->long_running)
		return left->long_running ? -1 : 1;
	if (left->over_rate != right->over_rate)
		return left->over_rate ? 1 : -1;
	if (left->late != right->late)
		return left->late ? 1 : -1;
	if (left->priority != right->priority)
		return left->priority < right->priority ? -1 : 1;
	if (left->objective_us != right->objective_us)
		return left->objective_us < right->objective_us ? -1 : 1;
	return strcmp(left->job->id, right->job->id);
}

static void place_items(struct pass *pass, const struct candidate *candidate,
			uint32_t occurrence, uint32_t index)
{
	struct job *job = candidate->job;
	uint32_t first = job_first_item(job, occurrence, index);
	uint32_t count = job_step(job, index)->item_count;

	for (uint32_t i = first; i < first + count; i++) {
		const struct job_item *item = job_item_view(job, i);
		struct worker *worker;

		if (item->phase != ITEM_WAITING)
			continue;
		if (item->retry_us > pass->now_us) {
			sched_wake_at(pass->sched, item->retry_us);
			sched_request_placement(pass->sched);
			continue;
		}
		if (!quota_allows(job, index))
			return;
		pass->failed_worker = item->failed_worker;
		pass->limits_starts =
			job->placed_count >= START_QUEUE_EXEMPT_COUNT;
		worker = place_choose_worker(pass, candidate->pool, job,
					     occurrence, index);
		if (!worker)
			return;
		item_place(pass->sched, job, i, worker);
		place_note_sibling(pass, worker);
		pass->stats.items_count++;
	}
}

static bool has_broken_member(const struct job *job, uint32_t first,
			      uint32_t count)
{
	for (uint32_t i = first; i < first + count; i++) {
		if (job_item_view(job, i)->ended_broken)
			return true;
	}
	return false;
}

/*
 * Stops the rest of a run that has lost a member: if the gang has not begun,
 * they would wait for it. One that has begun ends by itself, as broken. No
 * order goes to a silent worker, where it would only delay the proof that
 * nothing runs.
 */
static void stop_incomplete_gang(struct pass *pass, struct job *job,
				 uint32_t first, uint32_t count)
{
	if (has_broken_member(job, first, count))
		return;
	for (uint32_t i = first; i < first + count; i++) {
		const struct worker *worker =
			worker_find(pass->sched, job_item_view(job, i)->worker);

		if (worker && worker->synced && !worker->unanswered_count)
			item_stop(pass->sched, job, i, "gang-incomplete");
	}
}

/* Places all members of a gang under the same run number, or none. */
static void place_gang(struct pass *pass, const struct candidate *candidate,
		       uint32_t occurrence, uint32_t index)
{
	struct job *job = candidate->job;
	uint32_t first = job_first_item(job, occurrence, index);
	uint32_t count = job_step(job, index)->item_count;
	uint32_t run = 0;
	uint32_t placed_count = 0;
	struct worker *worker = NULL;

	if (job_step_count(job, occurrence, index).waiting < count) {
		stop_incomplete_gang(pass, job, first, count);
		return;
	}
	for (uint32_t i = first; i < first + count; i++) {
		const struct job_item *item = job_item_view(job, i);

		if (item->retry_us > pass->now_us) {
			sched_wake_at(pass->sched, item->retry_us);
			sched_request_placement(pass->sched);
			return;
		}
		run = MAX(run, item->run);
	}
	pass->failed_worker = NULL;
	pass->limits_starts = false;
	while (placed_count < count) {
		if (!worker || !place_worker_stays_best(pass, worker,
							job_step(job, index)))
			worker = place_choose_worker(pass, candidate->pool, job,
						     occurrence, index);
		if (!worker)
			break;
		job_item(job, first + placed_count)->run = run;
		item_place(pass->sched, job, first + placed_count, worker);
		place_note_sibling(pass, worker);
		placed_count++;
	}
	pass->stats.items_count += placed_count == count ? count : 0;
	/* None of these placements has been stored or ordered yet. */
	for (uint32_t i = 0; placed_count < count && i < placed_count; i++)
		item_release(pass->sched, job, first + i, "gang-incomplete");
}

static void place_step(struct pass *pass, const struct candidate *candidate,
		       uint32_t occurrence, uint32_t index)
{
	struct job *job = candidate->job;

	place_forget_siblings(pass);
	pass->advice = advice_get(pass->sched, job, occurrence, index);
	pass->lacks_more_than_cores = false;
	if (job_step(job, index)->gang)
		place_gang(pass, candidate, occurrence, index);
	else
		place_items(pass, candidate, occurrence, index);
	if (pass->advice && job_step_count(job, occurrence, index).waiting)
		place_request_advice(pass, candidate, occurrence, index);
}

static bool step_may_start(const struct job *job, uint32_t occurrence,
			   uint32_t step)
{
	uint32_t waiting_count = job_step_count(job, occurrence, step).waiting;

	if (!waiting_count || !job_step_is_ready(job, occurrence, step))
		return false;
	/* The rest of a gang that has lost a member is stopped at any usage. */
	return (job_step(job, step)->gang &&
		waiting_count < job_step(job, step)->item_count) ||
	       quota_allows(job, step);
}

static void place_job(struct pass *pass, const struct candidate *candidate)
{
	struct job *job = candidate->job;

	for (uint32_t i = 0; i < job_spec_occurrences(job->spec); i++) {
		int64_t due_ms = job_due_ms(job, i);

		if (due_ms > pass->wall_ms) {
			sched_wake_at(pass->sched,
				      pass->now_us + (due_ms - pass->wall_ms) *
							     USEC_PER_MSEC);
			break;
		}
		for (uint32_t j = 0; j < job->spec->steps->len; j++) {
			if (step_may_start(job, i, j))
				place_step(pass, candidate, i, j);
		}
	}
}

/* Whether a pass may be able to place an item of the job. */
static bool has_work_to_place(const struct job *job)
{
	if (job->next_state >= JOB_COMPLETE || job->cancelled ||
	    job->stop_all || job->placed_count >= job->left_count)
		return false;
	/* place_job() checks which occurrences are due. */
	if (job->spec->occurrence_count)
		return true;
	for (uint32_t i = 0; i < job->spec->steps->len; i++) {
		if (step_may_start(job, 0, i))
			return true;
	}
	return false;
}

/* Logs the statistics of the passes, at most once a second. */
static void log_stats(struct sched *sched)
{
	const struct placement_stats *stats = &sched->placement_stats;

	if (sched_now_us(sched) < sched->next_placement_log_us)
		return;
	sched->next_placement_log_us =
		sched_now_us(sched) + STATS_LOG_PERIOD_US;
	decision_log("placing",
		     "passes=%" G_GUINT64_FORMAT " jobs=%" G_GUINT64_FORMAT
		     " looks=%" G_GUINT64_FORMAT " items=%" G_GUINT64_FORMAT,
		     stats->passes_count, stats->jobs_count,
		     stats->evaluations_count, stats->items_count);
	sched->placement_stats = (struct placement_stats){ 0 };
}

static void count_stats(struct sched *sched,
			const struct placement_stats *stats)
{
	struct counters *counters = kernel_counters(sched->kernel);

	counter_add(counters, "place_passes_total", stats->passes_count);
	counter_add(counters, "place_jobs_total", stats->jobs_count);
	counter_add(counters, "place_looks_total", stats->evaluations_count);
	counter_add(counters, "place_items_total", stats->items_count);
	sched->placement_stats.passes_count += stats->passes_count;
	sched->placement_stats.jobs_count += stats->jobs_count;
	sched->placement_stats.evaluations_count += stats->evaluations_count;
	sched->placement_stats.items_count += stats->items_count;
	log_stats(sched);
}

void sched_place(struct sched *sched)
{
	struct pass pass = {
		.sched = sched,
		.now_us = sched_now_us(sched),
		.wall_ms = kernel_wall_us(sched->kernel) / USEC_PER_MSEC,
	};
	pass.candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	pass.by_pool = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)g_ptr_array_unref);
	pass.surplus_by_pool =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	pass.full_pools = g_hash_table_new(g_str_hash, g_str_equal);
	pass.largest_free_by_pool =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (guint i = 0; i < sched->open_jobs->len; i++) {
		if (has_work_to_place(sched->open_jobs->pdata[i]))
			add_candidate(&pass, sched->open_jobs->pdata[i]);
	}
	g_array_sort(pass.candidates, compare_candidates);
	for (guint i = 0; i < pass.candidates->len; i++)
		place_job(&pass,
			  &g_array_index(pass.candidates, struct candidate, i));
	pass.stats.passes_count = 1;
	pass.stats.jobs_count = pass.candidates->len;
	count_stats(sched, &pass.stats);
	place_forget_siblings(&pass);
	g_hash_table_unref(pass.by_pool);
	g_hash_table_unref(pass.surplus_by_pool);
	g_hash_table_unref(pass.full_pools);
	g_hash_table_unref(pass.largest_free_by_pool);
	g_array_unref(pass.candidates);
}
