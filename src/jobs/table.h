#ifndef JOBS_TABLE_H
#define JOBS_TABLE_H

/*
 * All jobs that the store keeps, as far as its records were read here. Records
 * are the only source; the holder's changes are applied when they are stored.
 */

#include "jobs/record.h"

struct job_table;

struct job_table *job_table_new(void);
void job_table_free(struct job_table *table);

/*
 * Applies a record of a job; others are ignored. A record that is older than
 * what was applied changes nothing. keep_progress: this process is the holder
 * and knows better than the records of progress that it reads back.
 */
void job_table_apply(struct job_table *table, const struct job_record *record,
		     int64_t now_us, bool keep_progress);

struct job *job_table_find(const struct job_table *table, const char *id);

/* Id -> struct job; only for reading. */
GHashTable *job_table_all(const struct job_table *table);

/* Jobs of a queue without occurrences of which no item was placed. */
uint32_t job_table_depth(const struct job_table *table, const char *queue);

/* Forgets all jobs, before a snapshot is applied. */
void job_table_clear(struct job_table *table);

/* Takes over a state that the holder has stored. */
void job_table_set_state(struct job_table *table, struct job *job,
			 enum job_state state, int64_t now_us);

#endif
