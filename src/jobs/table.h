#ifndef JOBS_TABLE_H
#define JOBS_TABLE_H

/*
 * The jobs in the store, built from the records that this process has read.
 * Changes by the holder of the jobs lease take effect here once they are
 * stored.
 */

#include "jobs/record.h"

struct job_table;

struct job_table *job_table_new(void);
void job_table_free(struct job_table *table);

/*
 * Applies a record of a job and ignores records of other kinds. A record that
 * is older than the applied state changes nothing. With keep_progress, progress
 * records are skipped: the holder's own progress is newer than what it reads
 * back.
 */
void job_table_apply(struct job_table *table, const struct job_record *record,
		     int64_t now_us, bool keep_progress);

struct job *job_table_find(const struct job_table *table, const char *id);

/*
 * Takes over what a configuration says of a job, or of all jobs. A job whose
 * queue or member is not in it keeps what is known of that.
 */
void job_update_policy(struct job *job, const struct queues *queues);
void job_table_update_policies(struct job_table *table,
			       const struct queues *queues);

/* Memory that all jobs hold, in bytes. */
uint64_t job_table_held_bytes(const struct job_table *table);

/* Id -> struct job; read-only. */
GHashTable *job_table_all(const struct job_table *table);

/* Number of unfinished jobs of a queue, not recurring, with no item started. */
uint32_t job_table_depth(const struct job_table *table, const char *queue);

/*
 * Whether a job that a member submits now is refused: it is beyond the
 * member's rate, and too many such jobs have not begun; see
 * member_rate_refuses(). These are counted at most every 100 ms.
 */
bool job_table_refuses(struct job_table *table, const struct member *member,
		       int64_t now_us);

/* Removes all jobs before a snapshot is applied. */
void job_table_clear(struct job_table *table);

/* Sets a state that was stored. A job that has ended keeps its state. */
void job_table_set_state(struct job_table *table, struct job *job,
			 enum job_state state, int64_t now_us);

#endif
