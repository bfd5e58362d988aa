/* Until when a job should end, and whether it still can. */

#include "jobs/sched.h"

/* Longest chain of steps, of all of them or of those that are left. */
static int64_t chain_us(const struct sched *sched, const struct job *job,
			bool left)
{
	int64_t longest_us[JOB_STEPS_MAX_COUNT] = { 0 };
	int64_t chain = 0;

	for (uint32_t i = 0; i < job->spec->steps->len; i++) {
		const struct job_step *step = job_step(job, i);

		for (uint32_t j = 0; j < i; j++) {
			if (step->after_mask >> j & 1)
				longest_us[i] =
					MAX(longest_us[i], longest_us[j]);
		}
		if (!left || !job_step_is_done(job, 0, i))
			longest_us[i] += step_estimate_us(sched, job, i);
		chain = MAX(chain, longest_us[i]);
	}
	return chain;
}

static int64_t objective_us(const struct sched *sched, const struct job *job)
{
	const struct queue *queue = sched_queue(sched, job);

	if (!queue)
		return job->first_seen_us;
	return job->first_seen_us + queue->target_us +
	       (int64_t)(queue->slack * (double)chain_us(sched, job, false));
}

void job_measure_objective(const struct sched *sched, struct job *job)
{
	job->objective_us = objective_us(sched, job);
	job->late = job->objective_us <
		    sched_now_us(sched) + chain_us(sched, job, true);
}
