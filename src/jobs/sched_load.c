/* Measures the work of each pool and the rate at which more arrives. */

#include <math.h>
#include <string.h>

#include "jobs/sched_quota.h"

/* The arrival rate is measured over this window. */
#define ARRIVAL_WINDOW_US (800 * USEC_PER_MSEC)
/* Arrivals in a shorter window; from this many jobs on they are a burst. */
#define BURST_WINDOW_US (300 * USEC_PER_MSEC)
#define BURST_MIN_COUNT 5
/* The peak of a pool's need is kept for this long. */
#define NEED_PEAK_WINDOW_US (700 * USEC_PER_MSEC)
/* Weight of a new run time in the moving average of its queue. */
#define MEAN_WEIGHT_PERCENT 10
#define ESTIMATE_MIN_US (100 * USEC_PER_MSEC)
#define ESTIMATE_DEFAULT_US USEC_PER_SEC

void loads_record_run_time(struct sched *sched, const struct job *job,
			   int64_t took_us)
{
	int64_t *mean_us =
		g_hash_table_lookup(sched->mean_run_times, job->queue);

	if (mean_us) {
		*mean_us += (took_us - *mean_us) * MEAN_WEIGHT_PERCENT / 100;
		return;
	}
	mean_us = g_new0(int64_t, 1);
	*mean_us = took_us;
	g_hash_table_insert(sched->mean_run_times, g_strdup(job->queue),
			    mean_us);
}

/*
 * Declared times are often far off, so the geometric mean of the declared time
 * and the average of the queue is taken.
 */
int64_t step_estimate_us(const struct sched *sched, const struct job *job,
			 uint32_t step)
{
	const int64_t *mean_us =
		g_hash_table_lookup(sched->mean_run_times, job->queue);
	int64_t declared_us = job_step(job, step)->estimate_ms * USEC_PER_MSEC;

	if (!declared_us)
		return mean_us ? *mean_us : ESTIMATE_DEFAULT_US;
	if (mean_us)
		declared_us =
			(int64_t)sqrt((double)declared_us * (double)*mean_us);
	return MAX(declared_us, ESTIMATE_MIN_US);
}

struct pool_load *pool_load_get(struct sched *sched, const char *pool)
{
	struct pool_load *load = g_hash_table_lookup(sched->loads, pool);

	if (load)
		return load;
	load = g_new0(struct pool_load, 1);
	g_hash_table_insert(sched->loads, g_strdup(pool), load);
	return load;
}

/* Returns whether the quota of its member holds back some of the step. */
static bool add_step_load(const struct job *job, uint32_t occurrence,
			  uint32_t index, struct pool_load *load)
{
	const struct job_step *step = job_step(job, index);
	const struct step_count count = job_step_count(job, occurrence, index);
	uint32_t placed_count = count.left - count.waiting;
	uint32_t ready_count = count.waiting;
	uint32_t startable_count;
	struct resources item = resources_of_step(step);

	if (!count.left)
		return false;
	if (!step->long_running && !job_step_is_ready(job, occurrence, index))
		ready_count = 0;
	startable_count = quota_startable_count(job, index, ready_count);
	/* Fillers use cores that other items leave, but memory of their own. */
	if (step->filler)
		item.amounts[RESOURCE_CPU_MILLI] = 0;
	if (step->long_running) {
		load->unplaced_count += step->filler ? 0 : startable_count;
		resources_add(&load->long_running, &item,
			      placed_count + startable_count);
		return startable_count < ready_count;
	}
	resources_add(&load->running, &item, placed_count);
	resources_add(&load->ready, &item, startable_count);
	if (job->late || job->over_rate)
		resources_add(&load->late, &item,
			      placed_count + startable_count);
	return startable_count < ready_count;
}

static bool add_job_load(const struct job *job, struct pool_load *load)
{
	bool is_held = false;

	for (uint32_t i = 0; i < job_spec_occurrences(job->spec); i++) {
		for (uint32_t j = 0; j < job->spec->steps->len; j++)
			is_held |= add_step_load(job, i, j, load);
	}
	return is_held;
}

/* Work of a whole job: what its items take, times microseconds. */
static struct resources job_work(const struct sched *sched,
				 const struct job *job)
{
	struct resources work = { 0 };

	for (uint32_t i = 0; i < job->spec->steps->len; i++) {
		const struct job_step *step = job_step(job, i);
		struct resources item = resources_of_step(step);

		if (!step->long_running)
			resources_add(&work, &item,
				      step->item_count *
					      (uint64_t)step_estimate_us(
						      sched, job, i));
	}
	return work;
}

static void add_arrival(const struct sched *sched, const struct job *job,
			struct pool_load *load, int64_t now_us)
{
	struct resources work = job_work(sched, job);
	struct resources rate = resources_divide(&work, ARRIVAL_WINDOW_US);

	if (job->quota)
		quota_spend(&job->quota->limits, &job->quota->arriving, &rate);
	resources_add(&load->arriving, &rate, 1);
	if (now_us - job->first_seen_us >= BURST_WINDOW_US)
		return;
	rate = resources_divide(&work, BURST_WINDOW_US);
	if (job->quota)
		quota_spend(&job->quota->limits, &job->quota->burst, &rate);
	resources_add(&load->burst, &rate, 1);
	load->burst_count++;
}

static void reset_loads(struct sched *sched)
{
	static const struct resources none;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_load *load = value;

		load->running = none;
		load->ready = none;
		load->long_running = none;
		load->late = none;
		load->unplaced_count = 0;
		load->arriving = none;
		load->burst = none;
		load->burst_count = 0;
	}
}

/* Long-running work, and the larger of what is there and what will arrive. */
static struct resources total_need(const struct pool_load *load,
				   const struct resources *work)
{
	struct resources need = resources_max(work, &load->expected);

	resources_add(&need, &load->long_running, 1);
	return need;
}

static void compute_needs(struct sched *sched, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_load *load = value;
		struct resources work = load->running;
		struct resources need;

		/* The shorter window shows first that a queue becomes busy. */
		if (load->burst_count >= BURST_MIN_COUNT)
			load->arriving =
				resources_max(&load->arriving, &load->burst);
		load->expected =
			forecast_update(&load->forecast, &load->arriving,
					now_us, sched->bounds->move_us);
		/* A few jobs show no growth. */
		if (load->burst_count < BURST_MIN_COUNT)
			load->expected = load->arriving;
		resources_add(&work, &load->ready, 1);
		need = total_need(load, &work);
		resources_peak_update(&load->need, &need, now_us,
				      NEED_PEAK_WINDOW_US);
		resources_subtract(&work, &load->late);
		need = total_need(load, &work);
		resources_peak_update(&load->on_time, &need, now_us,
				      NEED_PEAK_WINDOW_US);
	}
}

void loads_measure(struct sched *sched)
{
	int64_t now_us = sched_now_us(sched);

	reset_loads(sched);
	quotas_begin_measure(sched);
	for (guint i = 0; i < sched->open_jobs->len; i++) {
		struct job *job = sched->open_jobs->pdata[i];
		struct pool_load *load;
		bool is_held;

		if (job->next_state >= JOB_COMPLETE || job->cancelled)
			continue;
		load = pool_load_get(sched, job->pool);
		job_update_objective(sched, job);
		is_held = add_job_load(job, load);
		/* Work that may not start asks for no machines. */
		if (!is_held && !job->over_rate &&
		    now_us - job->first_seen_us < ARRIVAL_WINDOW_US)
			add_arrival(sched, job, load, now_us);
	}
	compute_needs(sched, now_us);
}
