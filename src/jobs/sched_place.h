#ifndef JOBS_SCHED_PLACE_H
#define JOBS_SCHED_PLACE_H

/* Shared by the sched_place*.c files: the state of one pass of placement. */

#include "jobs/sched.h"

/* A job with work that could start now. */
struct candidate {
	struct job *job;
	const char *pool;
	bool long_running;
	bool late; /* can't meet its objective any more */
	bool over_rate;
	uint32_t priority;
	int64_t objective_us;
};

struct pass {
	struct sched *sched;
	GArray *candidates;  /* of struct candidate */
	GHashTable *by_pool; /* pool -> GPtrArray of struct worker */
	/* The same for the workers that are closed as surplus */
	GHashTable *surplus_by_pool;
	GHashTable *largest_free_by_pool; /* pool -> struct resources */
	GHashTable *full_pools; /* pool -> struct job_step that didn't fit */
	int64_t now_us;
	int64_t wall_ms;
	const struct step_advice *advice; /* of the step; NULL: needs none */
	const char *failed_worker; /* where the item failed last, or NULL */
	/* Racks of the items of the step; NULL: not computed for it yet */
	GHashTable *sibling_racks;
	bool limits_starts; /* workers with a full start queue are left out */
	/* A worker was left out for this item that may take it soon. */
	bool waits_for_worker;
	/* A worker has the cores for this item, but not all that it needs. */
	bool lacks_more_than_cores;
	struct placement_stats stats;
};

/* sched_place_worker.c */

/* Returns NULL if no worker can take the item now. */
struct worker *place_choose_worker(struct pass *pass, const char *pool,
				   const struct job *job, uint32_t occurrence,
				   uint32_t index);

/*
 * Whether a worker that was just chosen for an item would be chosen for the
 * next one of the step, too; false if that isn't certain. The fullest worker
 * with room is preferred, so that it stays the best one until it is full.
 */
bool place_worker_stays_best(const struct pass *pass,
			     const struct worker *worker,
			     const struct job_step *step);

/* Notes that an item of the step is placed on a worker. */
void place_note_sibling(struct pass *pass, const struct worker *worker);
/* Before another step is placed. */
void place_forget_siblings(struct pass *pass);

/* Asks which workers may run the waiting items of a step. */
void place_request_advice(struct pass *pass, const struct candidate *candidate,
			  uint32_t occurrence, uint32_t index);

#endif
