#ifndef JOBS_CALLERS_H
#define JOBS_CALLERS_H

/* The plug-in that answers callers, in two files: answers and writes. */

#include "jobs/msg.h"
#include "kernel/kernel.h"

/* A call that waits behind a write that does not end is refused. */
#define QUEUED_MAX_US (300 * USEC_PER_MSEC)

enum waiting_for {
	WAITING_QUEUED,	 /* nothing of it was sent to the store */
	WAITING_WRITTEN, /* a write that carries it is under way */
	WAITING_KNOWN,	 /* for the job to become known here */
};

struct waiting {
	struct job_call *call; /* owned reference */
	enum waiting_for state;
	uint64_t write_id;
	struct job_record *record; /* submit, cancel */
	int64_t arrived_us;
	int64_t until_us; /* answered at the latest */
};

struct callers {
	struct kernel *kernel;
	GPtrArray *waiting; /* of struct waiting, in order of arrival */
	uint64_t write_id;  /* under way; 0: none */
	uint64_t next_write_id;
	int64_t write_sent_us;
	int64_t next_write_us; /* none is sent before */
	int64_t read_us;       /* newest read up to the end of the store */
	bool has_state;
	int64_t store_lost_us; /* taken for silent since; 0: it answers */
	int64_t leave_us;      /* refuses new work from then on; 0: stays */
	bool drained;
};

/* callers.c */

/* Answers a call with 200. */
void callers_confirm(struct callers *callers, const struct job_call *call);

/* Answers with another status; 503 and 504 tell when to come back. */
void callers_refuse(struct callers *callers, const struct job_call *call,
		    uint32_t status, const char *reason);

/* callers_write.c: one write at a time carries all that was queued meanwhile */

/* Writes what is queued, unless a write or a pause is under way. */
void callers_send_queued(struct callers *callers);

/* Answers the calls that the write carried. */
void callers_on_written(struct callers *callers,
			const struct store_write *write);

/* Neither reads nor writes were answered lately. */
bool callers_store_is_silent(const struct callers *callers);

/* Logs when the store is lost and when it is back. */
void callers_watch_store(struct callers *callers);

#endif
