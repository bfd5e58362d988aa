#ifndef DECIDE_JOBS_H
#define DECIDE_JOBS_H

/*
 * Internals of the jobs plug-in: jobs.c drives jobs from submission to their
 * end, jobs_place.c estimates their sizes and chooses instances.
 */

#include "decide/pending.h"

#define MILLISLOTS_PER_SLOT 1000

/* State of a job in progress, kept by the holder of the planner lease. */
struct tracked_job {
	char name[NAME_SIZE_BYTES];
	char member[NAME_SIZE_BYTES];
	char charged_to[NAME_SIZE_BYTES]; /* instance; empty: none */
	uint32_t charged_millislots;
	uint32_t used_millislots; /* highest that was reported; 0: unknown */
	uint32_t started_attempt; /* latest attempt that we have started */
	bool ended;		  /* the platform has reported the end */
	enum task_report outcome;
	char reason[REASON_SIZE_BYTES];
	uint64_t changed_offset; /* of its latest change of state */
	bool queued;		 /* in work_queue */
	int64_t recheck_at_us;	 /* process it again at this time */
	int64_t requested_us;	 /* latest request to end the task; 0: none */
	int64_t down_since_us;	 /* when its instance went down; 0: it is up */
	int64_t renew_at_us;	 /* of the job's lease; 0: not set yet */
};

struct jobs {
	struct kernel *kernel;
	uint64_t token; /* of the planner lease; 0: we don't hold it */
	int64_t tick_at_us;
	int64_t slice_at_us; /* earliest time of the next slice */
	bool log_reachable;
	uint64_t log_next_offset;
	uint32_t renewed_count; /* since the last tick */
	struct pending *pending;
	GHashTable *tracked;	 /* job -> struct tracked_job */
	GQueue *work_queue;	 /* of char *: names of jobs to process */
	GHashTable *charged;	 /* instance -> millislots of its jobs */
	GHashTable *running;	 /* member -> number of running jobs */
	GHashTable *listed_live; /* set of live instances of the newest list */
	GHashTable *usage;	 /* "member/pool" -> struct usage_history */
};

/* Adds the reported usage of a job to the history. 0 is ignored. */
void jobs_record_usage(struct jobs *jobs, struct tracked_job *tracked,
		       const struct fleet_job *job, uint32_t used_millislots);

/* Largest usage that a job has reported, or an estimate from the history. */
uint32_t jobs_estimate_millislots(struct jobs *jobs,
				  const struct tracked_job *tracked,
				  const struct fleet_job *job);

/* Charges a job to an instance instead of the one before; "" for none. */
void jobs_charge(struct jobs *jobs, struct tracked_job *tracked,
		 const char *instance, uint32_t millislots);

/* The instance to run a job on, or NULL if none has room for it now. */
const struct fleet_instance *
jobs_find_instance(struct jobs *jobs, const struct tracked_job *tracked,
		   const struct fleet_job *job);

/* Why a job can never run as its pool is now, or NULL if it may. */
const char *jobs_unplaceable_reason(struct jobs *jobs,
				    const struct tracked_job *tracked,
				    const struct fleet_job *job);

#endif
