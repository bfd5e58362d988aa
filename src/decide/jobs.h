#ifndef DECIDE_JOBS_H
#define DECIDE_JOBS_H

/* The parts of the jobs plug-in: jobs.c carries jobs, jobs_place.c places. */

#include "decide/pending.h"

#define MILLISLOTS 1000 /* of one slot */

/* One job in progress, as the holder of the planner lease sees it. */
struct tracked {
	char name[NAME_SIZE_BYTES];
	char member[NAME_SIZE_BYTES];
	char charged_to[NAME_SIZE_BYTES]; /* instance; empty: none */
	uint32_t charged_millislots;
	uint32_t used_millislots; /* most that was reported; 0: unknown */
	uint32_t started_attempt; /* latest attempt that we have started */
	bool ended;		  /* the platform has reported the end */
	enum task_report outcome;
	char reason[REASON_SIZE_BYTES];
	uint64_t since_offset; /* of its latest change of state */
	bool queued;	       /* in todo */
	int64_t next_us;       /* attend to it again at this time */
	int64_t asked_us;      /* latest checkpoint or stop; 0: none */
	int64_t down_us;       /* since when its instance is down; 0: is up */
	int64_t renew_at_us;   /* of the job's lease; 0: not set yet */
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
	GHashTable *tracked;  /* job -> struct tracked */
	GQueue *todo;	      /* of char *: jobs to attend to */
	GHashTable *charges;  /* instance -> millislots of its jobs */
	GHashTable *running;  /* member -> number of running jobs */
	GHashTable *listed;   /* set of instances live on the newest list */
	GHashTable *observed; /* "member/pool" -> struct observed */
};

/* Notes the reported use of a job. */
void jobs_observe(struct jobs *jobs, struct tracked *tracked,
		  const struct fleet_job *job, uint32_t used_millislots);

/* Slots that a job is expected to use, corrected by what was observed. */
uint32_t jobs_size_millislots(struct jobs *jobs, const struct tracked *tracked,
			      const struct fleet_job *job);

/* Books a job's use of an instance; instance "" ends it. */
void jobs_charge(struct jobs *jobs, struct tracked *tracked,
		 const char *instance, uint32_t millislots);

/* The instance to run a job on, or NULL if none is free for it now. */
const struct fleet_instance *jobs_find_place(struct jobs *jobs,
					     const struct tracked *tracked,
					     const struct fleet_job *job);

/* Why a job can never run as things are, or NULL if it may. */
const char *jobs_never_runs(struct jobs *jobs, const struct tracked *tracked,
			    const struct fleet_job *job);

#endif
