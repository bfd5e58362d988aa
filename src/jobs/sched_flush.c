/*
 * Stores the progress of jobs. There is one write at a time, with all changes
 * since the one before. Only after it are starts ordered, ends acknowledged to
 * workers and states shown to callers.
 */

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* Minimum time between writes, so that one covers several changes. */
#define FLUSH_PERIOD_US (8 * USEC_PER_MSEC)
/* After a write that the store has refused. */
#define REFUSED_DELAY_US (500 * USEC_PER_MSEC)
/* Ended jobs are kept this much longer than callers may ask for them. */
#define DROP_SLACK_US (30 * USEC_PER_SEC)
/* The search for ended jobs visits all jobs, so it isn't part of each write. */
#define DROP_PERIOD_US USEC_PER_SEC
#define DROP_MAX_COUNT 256
/* From this part of their memory on, ended jobs are dropped without delay. */
#define DROP_SOON_DIVISOR 4
/* A new holder drops no jobs for this long. */
#define DROP_MIN_HELD_US (5 * USEC_PER_SEC)

static void add_job_progress(struct sched *sched, struct store_write *write,
			     struct job *job)
{
	struct flushing_job flushed = { .job = job, .state = job->next_state };

	for (uint32_t i = 0; i < job->item_count; i++) {
		if (job_item_view(job, i)->phase == ITEM_STORING)
			job_item(job, i)->store_write_id = write->write_id;
	}
	for (uint32_t i = 0; i < job_segments_count(job); i++) {
		if (!job->dirty_segments[i])
			continue;
		g_ptr_array_add(write->records, job_record_progress(job, i));
		job->dirty_segments[i] = false;
		job_release_done_segment(job, i);
	}
	job->dirty = false;
	g_array_append_val(sched->flushing_jobs, flushed);
}

static bool may_drop(const struct sched *sched, const struct job *job)
{
	return job_has_ended(job) && !job->placed_count && !job->dirty &&
	       sched_now_us(sched) - job->ended_us >
		       sched->bounds->status_retention_us + DROP_SLACK_US;
}

/*
 * Drops are part of writes that have another cause, unless jobs take so much
 * memory that further ones may be refused: then nothing else may be written.
 */
static bool needs_drops(const struct sched *sched)
{
	uint64_t max_bytes = sched->bounds->jobs_max_bytes;
	int64_t now_us = sched_now_us(sched);

	return max_bytes && now_us >= sched->next_drop_us &&
	       now_us - sched->held_since_us >= DROP_MIN_HELD_US &&
	       job_table_held_bytes(kernel_jobs(sched->kernel)) >
		       max_bytes / DROP_SOON_DIVISOR;
}

static void add_job_drops(struct sched *sched, struct store_write *write)
{
	int64_t now_us = sched_now_us(sched);
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	if (now_us < sched->next_drop_us ||
	    now_us - sched->held_since_us < DROP_MIN_HELD_US)
		return;
	sched->next_drop_us = now_us + DROP_PERIOD_US;
	g_hash_table_iter_init(&iter,
			       job_table_all(kernel_jobs(sched->kernel)));
	while (count < DROP_MAX_COUNT &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;
		struct job_record *record;

		if (!may_drop(sched, job))
			continue;
		record = job_record_new(JOB_RECORD_DROP);
		g_strlcpy(record->id, job->id, sizeof(record->id));
		record->segment = job_segments_count(job);
		g_ptr_array_add(write->records, record);
		count++;
	}
}

void sched_flush(struct sched *sched)
{
	int64_t now_us = sched_now_us(sched);
	bool drops = needs_drops(sched);
	struct store_write *write;

	if (sched->flush_write_id ||
	    (!sched->dirty_jobs->len && !sched->ends_unstored &&
	     !sched->waves_dirty && !sched->orders_queued->len && !drops))
		return;
	if (now_us < sched->next_flush_us) {
		sched_wake_at(sched, sched->next_flush_us);
		return;
	}
	workers_on_flush(sched);
	sched->ends_unstored = false;
	if (!sched->dirty_jobs->len && !sched->waves_dirty &&
	    !sched->orders_queued->len && !drops) {
		/* The ends since the last flush changed no stored state. */
		workers_on_stored(sched);
		return;
	}
	write = store_write_new(STORE_WRITER_HOLDER);
	write->write_id = sched->next_write_id;
	write->token = sched->token;
	write->sent_us = now_us;
	sched->next_write_id += 2;
	for (guint i = 0; i < sched->dirty_jobs->len; i++)
		add_job_progress(sched, write, sched->dirty_jobs->pdata[i]);
	g_ptr_array_set_size(sched->dirty_jobs, 0);
	waves_add_progress(sched, write);
	machine_orders_add_queued(sched, write);
	add_job_drops(sched, write);
	if (!write->records->len) {
		store_write_unref(write);
		workers_on_stored(sched);
		return;
	}
	sched->flush_write_id = write->write_id;
	sched->flush_sent_us = now_us;
	sched->next_flush_us = now_us + FLUSH_PERIOD_US;
	kernel_emit_msg(sched->kernel, EVENT_STORE_WRITE, write);
}

static void on_stored(struct sched *sched, uint64_t write_id)
{
	int64_t now_us = sched_now_us(sched);

	workers_on_stored(sched);
	for (guint i = 0; i < sched->flushing_jobs->len; i++) {
		struct flushing_job *flushed = &g_array_index(
			sched->flushing_jobs, struct flushing_job, i);

		job_table_set_state(kernel_jobs(sched->kernel), flushed->job,
				    flushed->state, now_us);
		starts_on_stored(sched, flushed->job, write_id);
	}
}

/* The same progress goes into the next write. */
static void on_not_stored(struct sched *sched, uint64_t write_id)
{
	decision_log("write", "id=%" G_GUINT64_FORMAT " result=refused jobs=%u",
		     write_id, sched->flushing_jobs->len);
	for (guint i = 0; i < sched->flushing_jobs->len; i++)
		job_mark_all_dirty(sched, g_array_index(sched->flushing_jobs,
							struct flushing_job, i)
						  .job);
	sched->ends_unstored = true;
	sched->next_flush_us = sched_now_us(sched) + REFUSED_DELAY_US;
}

void sched_on_written(struct sched *sched, const struct store_write *write)
{
	if (write->writer != STORE_WRITER_HOLDER ||
	    write->write_id != sched->flush_write_id)
		return;
	sched->flush_write_id = 0;
	counter_observe(kernel_counters(sched->kernel), "store_write",
			sched_now_us(sched) - sched->flush_sent_us);
	if (write->result == STORE_WRITTEN)
		on_stored(sched, write->write_id);
	else if (write->result == STORE_NOT_WRITTEN)
		on_not_stored(sched, write->write_id);
	machine_orders_on_written(sched, write->result == STORE_WRITTEN);
	g_array_set_size(sched->flushing_jobs, 0);
}
