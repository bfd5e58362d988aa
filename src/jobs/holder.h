#ifndef JOBS_HOLDER_H
#define JOBS_HOLDER_H

/* The newest holder of the jobs lease according to the store's records. */

#include "jobs/record.h"

struct store_read;

struct holder {
	uint64_t token; /* fencing token; 0: no holder is known */
	char entry[NAME_SIZE_BYTES];
	uint64_t boot_id;
	bool resigned;
};

enum process {
	PROCESS_OTHER,	 /* another entry instance, or none */
	PROCESS_EARLIER, /* an earlier process of this entry instance */
	PROCESS_THIS,
};

/* Process that wrote a holder record. */
enum process holder_step_process(const struct job_record *step,
				 const char *own_entry, uint64_t own_boot_id);

/* Process that is the newest holder. */
enum process holder_process(const struct holder *holder, const char *own_entry,
			    uint64_t own_boot_id);

/* Token of a holder record. A claim creates it from its own offset. */
uint64_t holder_step_token(const struct job_record *step);

/*
 * Whether a record updates the holder: a renewal or resignation whose token is
 * not older, or a claim that replaces the holder's token.
 */
bool holder_step_counts(const struct holder *holder,
			const struct job_record *step);

/* Updates the holder from a record for which holder_step_counts() holds. */
void holder_take(struct holder *holder, const struct job_record *step);

/*
 * Returns the holder records of a snapshot, whose records are unordered. The
 * claims come last and by offset, so that a claim is compared with the token of
 * the newest renewal or resignation. Caller frees the array only.
 */
GPtrArray *holder_steps(const struct store_read *snapshot);

#endif
