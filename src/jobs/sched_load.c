/* How much work each pool has, and how much more is coming in. */

#include <math.h>
#include <string.h>

#include "jobs/sched.h"

/* Arrivals of this long a past show how much is coming in. */
#define ARRIVALS_US (800 * USEC_PER_MSEC)
/* So many arrivals in this shorter past show a sudden rise. */
#define RISE_US (300 * USEC_PER_MSEC)
#define RISE_MIN_COUNT 5
/* A need that has passed is kept in mind for so long. */
#define NEED_KEPT_US (700 * USEC_PER_MSEC)
/* Weight of one more run time in the mean of its queue, in percent. */
#define LEARN_PERCENT 10
#define ESTIMATE_MIN_US (100 * USEC_PER_MSEC)
#define ESTIMATE_UNKNOWN_US USEC_PER_SEC

void loads_learn(struct sched *sched, const struct job *job, int64_t took_us)
{
	int64_t *mean_us = g_hash_table_lookup(sched->run_times, job->queue);

	if (mean_us) {
		*mean_us += (took_us - *mean_us) * LEARN_PERCENT / 100;
		return;
	}
	mean_us = g_new0(int64_t, 1);
	*mean_us = took_us;
	g_hash_table_insert(sched->run_times, g_strdup(job->queue), mean_us);
}

/* The declared time is far off; the mean of the queue tempers it. */
int64_t step_estimate_us(const struct sched *sched, const struct job *job,
			 uint32_t step)
{
	const int64_t *mean_us =
		g_hash_table_lookup(sched->run_times, job->queue);
	int64_t declared_us = job_step(job, step)->estimate_ms * USEC_PER_MSEC;

	if (!declared_us)
		return mean_us ? *mean_us : ESTIMATE_UNKNOWN_US;
	if (mean_us)
		declared_us =
			(int64_t)sqrt((double)declared_us * (double)*mean_us);
	return MAX(declared_us, ESTIMATE_MIN_US);
}

struct pool_load *load_of(struct sched *sched, const char *pool)
{
	struct pool_load *load = g_hash_table_lookup(sched->loads, pool);

	if (load)
		return load;
	load = g_new0(struct pool_load, 1);
	g_hash_table_insert(sched->loads, g_strdup(pool), load);
	return load;
}

static void add_step(const struct job *job, uint32_t occurrence, uint32_t index,
		     struct pool_load *load)
{
	const struct job_step *step = job_step(job, index);
	const struct step_count *count = job_step_count(job, occurrence, index);
	uint64_t placed_milli =
		(uint64_t)step->cpu_milli * (count->left - count->waiting);
	uint64_t ready_milli = 0;

	if (step->filler || !count->left)
		return;
	if (step->lasting) {
		load->stuck_count += count->waiting;
		load->lasting_milli += (uint64_t)step->cpu_milli * count->left;
		return;
	}
	if (job_step_is_ready(job, occurrence, index))
		ready_milli = (uint64_t)step->cpu_milli * count->waiting;
	load->running_milli += placed_milli;
	load->ready_milli += ready_milli;
	if (job->late)
		load->late_milli += placed_milli + ready_milli;
}

static void add_items(const struct job *job, struct pool_load *load)
{
	for (uint32_t i = 0; i < job_spec_occurrences(job->spec); i++) {
		for (uint32_t j = 0; j < job->spec->steps->len; j++)
			add_step(job, i, j, load);
	}
}

/* Work of a whole job, in thousandths of a core times microseconds. */
static uint64_t work_of(const struct sched *sched, const struct job *job)
{
	uint64_t work = 0;

	for (uint32_t i = 0; i < job->spec->steps->len; i++) {
		const struct job_step *step = job_step(job, i);

		if (!step->lasting)
			work += (uint64_t)step->cpu_milli * step->item_count *
				(uint64_t)step_estimate_us(sched, job, i);
	}
	return work;
}

static void add_arrival(const struct sched *sched, const struct job *job,
			struct pool_load *load, int64_t now_us)
{
	uint64_t work = work_of(sched, job);

	load->arriving_milli += work / ARRIVALS_US;
	if (now_us - job->first_seen_us >= RISE_US)
		return;
	load->rising_milli += work / RISE_US;
	load->rising_count++;
}

static void start_measure(struct sched *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_load *load = value;

		load->running_milli = 0;
		load->ready_milli = 0;
		load->lasting_milli = 0;
		load->late_milli = 0;
		load->stuck_count = 0;
		load->arriving_milli = 0;
		load->rising_milli = 0;
		load->rising_count = 0;
	}
}

/* Keeps the highest need of the newest past. */
static void keep_need(uint64_t need_milli, int64_t now_us, uint64_t *kept_milli,
		      int64_t *kept_us)
{
	if (need_milli < *kept_milli && now_us - *kept_us <= NEED_KEPT_US)
		return;
	*kept_milli = need_milli;
	*kept_us = now_us;
}

static void end_measure(struct sched *sched, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_load *load = value;
		uint64_t work_milli = load->running_milli + load->ready_milli;

		/* The start of a queue's turn shows here first. */
		if (load->rising_count >= RISE_MIN_COUNT)
			load->arriving_milli =
				MAX(load->arriving_milli, load->rising_milli);
		keep_need(load->lasting_milli +
				  MAX(work_milli, load->arriving_milli),
			  now_us, &load->need_milli, &load->need_us);
		keep_need(load->lasting_milli +
				  MAX(work_milli - load->late_milli,
				      load->arriving_milli),
			  now_us, &load->timely_milli, &load->timely_us);
	}
}

void loads_measure(struct sched *sched)
{
	int64_t now_us = sched_now_us(sched);

	start_measure(sched);
	for (guint i = 0; i < sched->open->len; i++) {
		struct job *job = sched->open->pdata[i];
		struct pool_load *load;

		if (job->next_state >= JOB_COMPLETE || job->cancelled)
			continue;
		load = load_of(sched, sched_pool(sched, job));
		job_measure_objective(sched, job);
		add_items(job, load);
		if (now_us - job->first_seen_us < ARRIVALS_US)
			add_arrival(sched, job, load, now_us);
	}
	end_measure(sched, now_us);
}
