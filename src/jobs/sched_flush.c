/*
 * Stores the progress of jobs. One write at a time carries all that changed
 * meanwhile. Starts are ordered, ends are acknowledged to workers and states
 * are shown to callers only when the write is done.
 */

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* Writes are this far apart, so that each carries several changes. */
#define FLUSH_GAP_US (8 * USEC_PER_MSEC)
/* Ended jobs are kept for callers longer than they may ask for them. */
#define FORGET_SLACK_US (30 * USEC_PER_SEC)
/* All jobs that are kept are looked through for them, so not in each write. */
#define FORGET_EVERY_US USEC_PER_SEC
#define FORGET_MAX_COUNT 256
#define FORGET_AFTER_US (5 * USEC_PER_SEC) /* of holding the jobs */

static void add_job(struct sched *sched, struct store_write *write,
		    struct job *job)
{
	struct flushed flushed = { .job = job, .state = job->next_state };

	for (uint32_t i = 0; i < job->items->len; i++) {
		struct job_item *item = job_item(job, i);

		if (item->phase == ITEM_STORING && !item->store_write_id)
			item->store_write_id = write->write_id;
	}
	job->dirty = false;
	g_ptr_array_add(write->records, job_record_progress(job));
	g_array_append_val(sched->flushing, flushed);
}

static bool may_forget(const struct sched *sched, const struct job *job)
{
	return job_has_ended(job) && !job->placed_count && !job->dirty &&
	       sched_now_us(sched) - job->ended_us >
		       sched->bounds->status_us + FORGET_SLACK_US;
}

static void add_forgotten(struct sched *sched, struct store_write *write)
{
	int64_t now_us = sched_now_us(sched);
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	if (now_us < sched->forget_us ||
	    now_us - sched->held_us < FORGET_AFTER_US)
		return;
	sched->forget_us = now_us + FORGET_EVERY_US;
	g_hash_table_iter_init(&iter,
			       job_table_all(kernel_jobs(sched->kernel)));
	while (count < FORGET_MAX_COUNT &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;
		struct job_record *record;

		if (!may_forget(sched, job))
			continue;
		record = job_record_new(JOB_RECORD_DROP);
		g_strlcpy(record->id, job->id, sizeof(record->id));
		g_ptr_array_add(write->records, record);
		count++;
	}
}

void sched_flush(struct sched *sched)
{
	int64_t now_us = sched_now_us(sched);
	struct store_write *write;

	if (sched->flush_write_id ||
	    (!sched->dirty->len && !sched->ends_unstored &&
	     !sched->waves_dirty && !sched->orders_waiting->len))
		return;
	if (now_us < sched->flush_us) {
		sched_wake_at(sched, sched->flush_us);
		return;
	}
	workers_flushing(sched);
	sched->ends_unstored = false;
	if (!sched->dirty->len && !sched->waves_dirty &&
	    !sched->orders_waiting->len) {
		/* The ends that were seen changed nothing that is stored. */
		workers_stored(sched);
		return;
	}
	write = store_write_new(STORE_WRITER_HOLDER);
	write->write_id = sched->next_write_id;
	write->token = sched->token;
	sched->next_write_id += 2;
	for (guint i = 0; i < sched->dirty->len; i++)
		add_job(sched, write, sched->dirty->pdata[i]);
	g_ptr_array_set_size(sched->dirty, 0);
	waves_add_dirty(sched, write);
	machine_orders_add(sched, write);
	add_forgotten(sched, write);
	sched->flush_write_id = write->write_id;
	sched->flush_us = now_us + FLUSH_GAP_US;
	kernel_emit_msg(sched->kernel, EVENT_STORE_WRITE, write);
}

static void on_stored(struct sched *sched, uint64_t write_id)
{
	int64_t now_us = sched_now_us(sched);

	workers_stored(sched);
	for (guint i = 0; i < sched->flushing->len; i++) {
		struct flushed *flushed =
			&g_array_index(sched->flushing, struct flushed, i);

		job_table_set_state(kernel_jobs(sched->kernel), flushed->job,
				    flushed->state, now_us);
		starts_on_stored(sched, flushed->job, write_id);
	}
}

void sched_on_written(struct sched *sched, const struct store_write *write)
{
	if (write->writer != STORE_WRITER_HOLDER ||
	    write->write_id != sched->flush_write_id)
		return;
	sched->flush_write_id = 0;
	counter_observe(kernel_counters(sched->kernel), "store_write",
			sched_now_us(sched) - sched->flush_us + FLUSH_GAP_US);
	if (write->result == STORE_DONE)
		on_stored(sched, write->write_id);
	else if (write->result == STORE_NOT_DONE)
		/* The same progress goes into the next write. */
		for (guint i = 0; i < sched->flushing->len; i++)
			job_mark_dirty(sched, g_array_index(sched->flushing,
							    struct flushed, i)
						      .job);
	if (write->result == STORE_NOT_DONE)
		sched->ends_unstored = true;
	machine_orders_stored(sched, write->result == STORE_DONE);
	g_array_set_size(sched->flushing, 0);
}
