#ifndef JOBS_RECORD_H
#define JOBS_RECORD_H

/* Records of the jobs topic as plain structs; codec/job_codec encodes them. */

#include "jobs/job.h"

enum job_record_kind {
	JOB_RECORD_UNKNOWN, /* written by a newer version; ignored */
	JOB_RECORD_SUBMIT,
	JOB_RECORD_PROGRESS,
	JOB_RECORD_CANCEL,
	JOB_RECORD_HOLDER,
	JOB_RECORD_DROP,	/* removes all keys of a job */
	JOB_RECORD_WAVE_STATUS, /* for the operator */
	JOB_RECORD_WAVE,	/* progress of a wave, for the next holder */
	JOB_RECORD_MACHINES,	/* machines with recent orders of the holder */
	JOB_RECORD_ENTRY,	/* an entry instance has started */
};

enum holder_action {
	HOLDER_CLAIM,
	HOLDER_RENEW,
	HOLDER_RESIGN,
};

/* Progress of an item that was placed at least once and is not done. */
struct job_record_item {
	uint32_t index;
	uint32_t run;
	uint32_t failed_count;
	const char *worker; /* interned; NULL: not placed */
	char *checkpoint;   /* checkpoint, owned; NULL: none */
};

/* Refcounted with g_rc_box. */
struct job_record {
	enum job_record_kind kind;
	uint64_t offset; /* of the record in the store, if it was read */
	char id[JOB_ID_SIZE_BYTES];
	/* submit */
	char queue[NAME_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES];
	struct queue_policy policy;	    /* of the queue at submission */
	char member[NAME_SIZE_BYTES];	    /* empty: none */
	struct member_policy member_policy; /* at submission */
	int64_t submitted_ms;
	struct job_spec *spec;
	/* progress; drop: the number of segments of the job */
	uint32_t segment;
	enum job_state state; /* segment 0 only, as is begun */
	bool begun;
	/* Bitmap of the segment's items, or of a wave's machines */
	GByteArray *done;
	GArray *items; /* of struct job_record_item */
	/* holder, entry */
	char entry[NAME_SIZE_BYTES];
	uint64_t boot_id;
	uint64_t token; /* of the holder; claim: the token that it replaces */
	enum holder_action action;
	/* holder: all holders before it have stopped sending orders */
	bool earlier_ended;
	uint32_t cpu_milli; /* entry: CPU that it may use */
	/* entry: of its link for forwarded orders; empty: it has none */
	char address[ADDRESS_SIZE_BYTES];
	char dc[NAME_SIZE_BYTES]; /* entry */
	/* machines */
	GPtrArray *machines; /* of interned names */
	/* wave, wave status */
	uint64_t wave;
	bool complete;
};

struct job_record *job_record_new(enum job_record_kind kind);
struct job_record *job_record_ref(struct job_record *record);
void job_record_unref(struct job_record *record);

/* Returns a record of the current progress of a segment of a job. */
struct job_record *job_record_progress(const struct job *job, uint32_t segment);

#endif
