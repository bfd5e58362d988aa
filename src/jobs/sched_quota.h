#ifndef JOBS_SCHED_QUOTA_H
#define JOBS_SCHED_QUOTA_H

/*
 * What the items of each member take, and the limits that hold back more. An
 * item counts with all that it declares from its placement until it is taken
 * off its worker, and after that for as long as a start without an answer may
 * still be carried out.
 */

#include "jobs/quota.h"
#include "jobs/sched.h"

struct quota {
	char member[NAME_SIZE_BYTES];
	struct resources limits; /* 0 of a resource: no limit */
	uint32_t overage_percent;
	bool configured;  /* a configuration seen here has the member */
	uint64_t version; /* of the newest one that has */
	/* Without one: offset of the submission that the limits are from. */
	uint64_t limits_offset;
	struct resources used;

	/* Since the last measurement of the loads */
	struct resources planned; /* used, and what may still start */
	struct resources arriving;
	struct resources burst;
	uint32_t held_count;   /* items that the limits hold back */
	enum resource refused; /* that held back an item; RESOURCE_COUNT: none
				*/
	uint32_t last_held_count; /* of the measurement before */
	bool reported;		  /* the log says that work is held back */
	int64_t next_log_us;
};

/* Frees a struct quota; for GHashTable. */
void quota_free(gpointer quota);

/*
 * Sets job->quota, before any item of the job is placed: that of its member,
 * which is added if it is new, or NULL if the job has no member.
 */
void quota_assign(struct sched *sched, struct job *job);

/* Adds to, or takes off, what the member uses. NULL: no member, no effect. */
void quota_add_usage(struct quota *quota, const struct resources *amount);
void quota_remove_usage(struct quota *quota, const struct resources *amount);

/* Takes over the limits of a new configuration. */
void quotas_on_config(struct sched *sched, const struct queues *queues);
/* Forgets all usage, as no item is on a worker any more for this process. */
void quotas_reset(struct sched *sched);

/*
 * Whether the limits let the next item of the step be placed, or the whole
 * gang. If not, notes the resource in quota->refused.
 */
bool quota_allows(const struct job *job, uint32_t step);

/*
 * Begins a measurement of the load of the pools: all that the limits leave is
 * available again.
 */
void quotas_begin_measure(struct sched *sched);

/*
 * How many of the waiting items of a step may start. The next call of the same
 * measurement has so much less available.
 */
uint32_t quota_startable_count(const struct job *job, uint32_t step,
			       uint32_t waiting_count);

/* Logs which members are held back from now on, or no longer, and counts. */
void quotas_report(struct sched *sched);

/*
 * For tests: counts anew from the items of all jobs. Returns the first member
 * whose usage differs, or NULL.
 */
const char *quotas_differ(const struct sched *sched);

#endif
