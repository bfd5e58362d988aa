#ifndef DECIDE_JOBS_H
#define DECIDE_JOBS_H

/* The parts of the jobs plug-in: jobs.c carries jobs, jobs_place.c places. */

#include "decide/pending.h"

#define MILLISLOTS_PER_SLOT 1000 /* of one slot */

/* One job in progress, as the holder of the planner lease sees it. */
struct tracked_job {
	char name[NAME_SIZE_BYTES];
	char member[NAME_SIZE_BYTES];
	char charged_to[NAME_SIZE_BYTES]; /* instance; empty: none */
	uint32_t charged_millislots;
	uint32_t used_millislots; /* most that was reported; 0: unknown */
	uint32_t started_attempt; /* latest attempt that we have started */
	bool ended;		  /* the platform has reported the end */
	enum task_report outcome;
	char reason[REASON_SIZE_BYTES];
	uint64_t changed_offset; /* of its latest change of state */
	bool queued;		 /* in todo */
	int64_t recheck_at_us;	 /* attend to it again at this time */
	int64_t requested_us;	 /* latest checkpoint or stop; 0: none */
	int64_t down_since_us;	 /* since when its instance is down; 0: is up */
	int64_t renew_at_us;	 /* of the job's lease; 0: not set yet */
};

struct jobs {
	struct kernel *kernel;
	uint64_t token; /* of the planner lease; 0: we do not hold it */
	int64_t tick_at_us;
	int64_t slice_at_us; /* earliest time of the next slice */
	bool log_reachable;
	uint64_t log_next_offset;
	uint32_t renewed_count; /* since the last tick */
	struct pending *pending;
	GHashTable *tracked;	 /* job -> struct tracked_job */
	GQueue *work_queue;	 /* of char *: jobs to attend to */
	GHashTable *charged;	 /* instance -> millislots of its jobs */
	GHashTable *running;	 /* member -> number of running jobs */
	GHashTable *listed_live; /* set of instances live on the newest list */
	GHashTable *usage;	 /* "member/pool" -> struct usage_history */
};

/* Notes the reported use of a job. */
void jobs_record_usage(struct jobs *jobs, struct tracked_job *tracked,
		       const struct fleet_job *job, uint32_t used_millislots);

/* Slots that a job is expected to use, corrected by what was observed. */
uint32_t jobs_estimate_millislots(struct jobs *jobs,
				  const struct tracked_job *tracked,
				  const struct fleet_job *job);

/* Books a job's use of an instance; instance "" ends it. */
void jobs_charge(struct jobs *jobs, struct tracked_job *tracked,
		 const char *instance, uint32_t millislots);

/* The instance to run a job on, or NULL if none is free for it now. */
const struct fleet_instance *
jobs_find_instance(struct jobs *jobs, const struct tracked_job *tracked,
		   const struct fleet_job *job);

/* Why a job can never run as things are, or NULL if it may. */
const char *jobs_unplaceable_reason(struct jobs *jobs,
				    const struct tracked_job *tracked,
				    const struct fleet_job *job);

#endif
