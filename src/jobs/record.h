#ifndef JOBS_RECORD_H
#define JOBS_RECORD_H

/* What the store keeps of jobs, as plain structs; codec/job_codec encodes. */

#include "jobs/job.h"

enum job_record_kind {
	JOB_RECORD_UNKNOWN, /* written by a newer version; ignored */
	JOB_RECORD_SUBMIT,
	JOB_RECORD_PROGRESS,
	JOB_RECORD_CANCEL,
	JOB_RECORD_HOLDER,
	JOB_RECORD_DROP,	/* a job is forgotten: all its keys go */
	JOB_RECORD_WAVE_STATUS, /* for the operator */
	JOB_RECORD_WAVE,	/* for the next holder */
	JOB_RECORD_MACHINES,	/* ordered by the holder lately */
	JOB_RECORD_ENTRY,	/* an entry instance has started */
};

enum holder_step {
	HOLDER_CLAIM,
	HOLDER_RENEW,
	HOLDER_RESIGN,
};

/* Progress of one item that is not done, or was tried more than once. */
struct job_record_item {
	uint32_t index;
	uint32_t run;
	uint32_t failed_count;
	const char *worker; /* interned; NULL: on none */
	char *saved;	    /* owned; NULL: none */
};

/* Refcounted with g_rc_box. */
struct job_record {
	enum job_record_kind kind;
	uint64_t offset; /* where it was read */
	char id[JOB_ID_SIZE_BYTES];
	/* submit */
	char queue[NAME_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES];
	int64_t submitted_ms;
	struct job_spec *spec;
	/* progress */
	enum job_state state;
	bool begun;
	GByteArray *done; /* bitmap over the items, or a wave's machines */
	GArray *items;	  /* of struct job_record_item */
	/* holder, entry */
	char entry[NAME_SIZE_BYTES];
	uint64_t boot_id;
	uint64_t token; /* of the holder; claim: that of the one it replaces */
	enum holder_step step;
	uint32_t cpu_milli; /* of the processor that it may use */
	/* machines */
	GPtrArray *machines; /* of interned names */
	/* wave, wave status */
	uint64_t wave;
	bool complete;
};

struct job_record *job_record_new(enum job_record_kind kind);
struct job_record *job_record_ref(struct job_record *record);
void job_record_unref(struct job_record *record);

/* The progress of a job as it stands now. */
struct job_record *job_record_progress(const struct job *job);

#endif
