/* Ejection: a worker on which too many jobs fail gets no new work for a while.
 */

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* Failures in a row, each of another job, after which a worker is ejected. */
#define EJECT_FAILURES_COUNT 3
#define EJECT_US (3 * USEC_PER_SEC)
#define EJECT_DOUBLINGS_MAX 4

void worker_record_success(struct worker *worker)
{
	worker->failures_count = 0;
	worker->ejections_count = 0;
}

/*
 * A job may fail wherever it runs. So it counts once for a worker, and not at
 * all once it has failed on others.
 */
static bool counts_against(const struct worker *worker, struct job *job)
{
	for (uint32_t i = 0; i < job->failed_workers_count; i++) {
		if (job->failed_workers[i] == worker->id)
			return false;
	}
	if (job->failed_workers_count == JOB_FAILED_WORKERS_MAX_COUNT)
		return false;
	job->failed_workers[job->failed_workers_count++] = worker->id;
	return true;
}

void worker_record_failure(struct sched *sched, struct worker *worker,
			   struct job *job)
{
	uint32_t doublings;

	if (!counts_against(worker, job))
		return;
	worker->failures_count++;
	if (worker->failures_count < EJECT_FAILURES_COUNT)
		return;
	worker->failures_count = 0;
	doublings = MIN(worker->ejections_count, EJECT_DOUBLINGS_MAX);
	worker->ejections_count++;
	worker->avoid_until_us = sched_now_us(sched) + (EJECT_US << doublings);
	decision_log("eject", "worker=%s failures=%d for_ms=%" G_GINT64_FORMAT,
		     worker->id, EJECT_FAILURES_COUNT,
		     (worker->avoid_until_us - sched_now_us(sched)) /
			     USEC_PER_MSEC);
	sched_wake_at(sched, worker->avoid_until_us);
}
