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
	bool earlier_ended; /* all before it have stopped sending orders */
};

enum holder_origin {
	ORIGIN_OTHER_ENTRY,	/* another entry instance, or none */
	ORIGIN_EARLIER_PROCESS, /* an earlier process of this entry instance */
	ORIGIN_THIS_PROCESS,
};

/* Process that wrote a holder record. */
enum holder_origin holder_record_origin(const struct job_record *record,
					const char *own_entry,
					uint64_t own_boot_id);

/* Process that is the newest holder. */
enum holder_origin holder_origin(const struct holder *holder,
				 const char *own_entry, uint64_t own_boot_id);

/* Token of a holder record. A claim creates it from its own offset. */
uint64_t holder_record_token(const struct job_record *record);

/*
 * Whether a record is in force: a renewal or resignation whose token is not
 * older than the holder's, or a claim that replaces the holder's token.
 */
bool holder_record_is_valid(const struct holder *holder,
			    const struct job_record *record);

/* Updates the holder from a valid record. */
void holder_update(struct holder *holder, const struct job_record *record);

/*
 * Returns the holder records of a snapshot, whose records are unordered. The
 * claims come last and by offset, so that a claim is compared with the token of
 * the newest renewal or resignation. Caller frees the array only.
 */
GPtrArray *holder_sorted_records(const struct store_read *snapshot);

#endif
