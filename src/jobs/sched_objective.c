/* The time until which a job should end, and whether it still can. */

#include "jobs/sched.h"

/* Critical path through all steps of a job, or through those not done yet. */
static int64_t critical_path_us(const struct sched *sched,
				const struct job *job, bool remaining_only)
{
	int64_t longest_us[JOB_STEPS_MAX_COUNT] = { 0 };
	int64_t total_us = 0;

	for (uint32_t i = 0; i < job->spec->steps->len; i++) {
		const struct job_step *step = job_step(job, i);

		for (uint32_t j = 0; j < i; j++) {
			if (step->dependency_mask >> j & 1)
				longest_us[i] =
					MAX(longest_us[i], longest_us[j]);
		}
		if (!remaining_only || !job_step_is_done(job, 0, i))
			longest_us[i] += step_estimate_us(sched, job, i);
		total_us = MAX(total_us, longest_us[i]);
	}
	return total_us;
}

static int64_t compute_objective_us(const struct sched *sched,
				    const struct job *job)
{
	return job->first_seen_us + job->policy.target_us +
	       (int64_t)(job->policy.slack_factor *
			 (double)critical_path_us(sched, job, false));
}

void job_update_objective(const struct sched *sched, struct job *job)
{
	job->objective_us = compute_objective_us(sched, job);
	job->late = job->objective_us <
		    sched_now_us(sched) + critical_path_us(sched, job, true);
}
