#ifndef JOBS_HOLDER_H
#define JOBS_HOLDER_H

/* The newest holder of the jobs, as far as the records of the store tell. */

#include "jobs/record.h"

struct store_read;

struct holder {
	uint64_t token; /* 0: none is known */
	char entry[NAME_SIZE_BYTES];
	uint64_t boot_id;
	bool resigned;
};

enum process {
	PROCESS_OTHER,	 /* of another entry instance */
	PROCESS_EARLIER, /* of this entry instance, before its restart */
	PROCESS_THIS,
};

/* Which process a step of a holder comes from. */
enum process holder_step_process(const struct job_record *step,
				 const char *own_entry, uint64_t own_boot_id);

/* The process that held the jobs last, or holds them. */
enum process holder_process(const struct holder *holder, const char *own_entry,
			    uint64_t own_boot_id);

/* Token under which a step was taken, or that it makes. */
uint64_t holder_step_token(const struct job_record *step);

/* Whether the step is one of the newest holder, or makes one. */
bool holder_step_counts(const struct holder *holder,
			const struct job_record *step);

/* Takes over what a step that counts tells. */
void holder_take(struct holder *holder, const struct job_record *step);

/*
 * The steps in a snapshot, where records come in no order: the claims last, so
 * that those newer than the last renewal or resignation are checked from there
 * on. Caller frees the array only.
 */
GPtrArray *holder_steps(const struct store_read *snapshot);

#endif
