#ifndef JOBS_CALLERS_H
#define JOBS_CALLERS_H

/* Shared by the files of the plug-in that answers callers. */

#include "jobs/access.h"
#include "jobs/msg.h"
#include "kernel/kernel.h"

/* A queued call that no write has included within this time is refused. */
#define QUEUE_WAIT_MAX_US (300 * USEC_PER_MSEC)

enum pending_state {
	PENDING_QUEUED, /* not sent to the store yet */
	PENDING_WRITE,	/* its write is under way */
	PENDING_RECORD, /* its job isn't known; waits for the next read */
};

struct pending_call {
	struct job_call *call; /* owned reference */
	enum pending_state state;
	uint64_t write_id;
	struct job_record *record;    /* submit, cancel */
	char member[NAME_SIZE_BYTES]; /* that calls; empty: none */
	int64_t arrived_us;
	int64_t deadline_us; /* of the answer */
};

struct callers {
	struct kernel *kernel;
	GPtrArray *pending; /* of struct pending_call, in order of arrival */
	uint64_t write_id;  /* 0: none under way */
	uint64_t next_write_id;
	int64_t write_sent_us;
	int64_t next_write_us; /* earliest next write */
	/* Newest read that reached the store's end; 0: none yet */
	int64_t caught_up_us;
	/* When that read was sent: all that was stored before is known. */
	int64_t state_as_of_us;
	bool has_snapshot; /* a snapshot was read */
	struct config_age config;
	int64_t store_lost_since_us; /* store silent since; 0: it answers */
	int64_t stop_accepting_us;   /* new jobs; 0: not draining */
	bool drained_sent;	     /* EVENT_DRAINED was sent */
	/* Jobs refused for want of memory since the last log line on it */
	uint32_t memory_refused_count;
	int64_t memory_log_us; /* earliest next line */
};

/* callers.c */

/* Answers a call with 200. */
void callers_confirm(struct callers *callers, const struct job_call *call);

/* Answers a call with an error status; 503 and 504 carry a Retry-After. */
void callers_refuse(struct callers *callers, const struct job_call *call,
		    uint32_t status, const char *reason);

/* The same, with more for the log: pairs that each begin with a space. */
void callers_refuse_with(struct callers *callers, const struct job_call *call,
			 uint32_t status, const char *reason,
			 const char *detail);

/* callers_access.c */

/*
 * Returns false if the key of the call does not allow it, which was answered.
 * member: set to that of the key, also if it is refused; NULL: none.
 */
bool callers_admit(struct callers *callers, const struct job_call *call,
		   const struct queue *queue, const struct member **member);

/* Returns false if the job belongs to another member, which was answered. */
bool callers_admit_job(struct callers *callers, const struct job_call *call,
		       const struct job *job, const char *member);

/* Takes the age of the configuration from a read that reached its end. */
void callers_on_config_read(struct callers *callers,
			    const struct config_read *read);

/*
 * Whether a configuration was read, also up to its end if keys may be accepted
 * only then.
 */
bool callers_knows_config(const struct callers *callers);

/* callers_memory.c */

/* Returns false if there is no memory for the job, which was answered. */
bool callers_admit_memory(struct callers *callers, const struct job_call *call);

/*
 * Refuses queued submissions for which there is no memory any more, as other
 * processes have taken jobs meanwhile.
 */
void callers_recheck_memory(struct callers *callers);

/* Sets the counter of the memory that jobs hold. */
void callers_show_memory(const struct callers *callers);

/* callers_write.c: calls queue up while a write is under way */

/* Writes the queued calls, unless a write or a pause is under way. */
void callers_send_queued(struct callers *callers);

/* Answers the calls of a write that has ended. */
void callers_on_written(struct callers *callers,
			const struct store_write *write);

/* Whether reads have had no answer for too long. */
bool callers_reads_are_silent(const struct callers *callers);

/* Whether reads, or the write under way, have had no answer for too long. */
bool callers_store_is_silent(const struct callers *callers);

/* Logs when the store stops answering and when it answers again. */
void callers_watch_store(struct callers *callers);

#endif
