#include "jobs/table.h"

#include <string.h>

#include "jobs/member_rate.h"

/* The waiting jobs of a member are counted again after this time. */
#define RECOUNT_PERIOD_US (100 * USEC_PER_MSEC)

struct job_table {
	GHashTable *jobs;      /* id -> struct job */
	GHashTable *cancelled; /* ids of jobs that have not been read yet */
	GHashTable *loads;     /* name of a member -> struct member_load */
	uint64_t held_bytes;   /* by the jobs */
};

/* What a member has submitted. */
struct member_load {
	struct member_rate rate;
	uint32_t waiting_count; /* jobs beyond the rate that have not begun */
	int64_t recount_us;	/* earliest time of the next count */
};

static void job_destroy(gpointer job)
{
	job_free(job);
}

struct job_table *job_table_new(void)
{
	struct job_table *table = g_new0(struct job_table, 1);

	table->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    job_destroy);
	table->cancelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

void job_table_free(struct job_table *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->jobs);
	g_hash_table_unref(table->cancelled);
	g_hash_table_unref(table->loads);
	g_free(table);
}

struct job *job_table_find(const struct job_table *table, const char *id)
{
	return g_hash_table_lookup(table->jobs, id);
}

uint64_t job_table_held_bytes(const struct job_table *table)
{
	return table->held_bytes;
}

GHashTable *job_table_all(const struct job_table *table)
{
	return table->jobs;
}

void job_table_clear(struct job_table *table)
{
	g_hash_table_remove_all(table->jobs);
	g_hash_table_remove_all(table->cancelled);
}

void job_table_set_state(struct job_table *table, struct job *job,
			 enum job_state state, int64_t now_us)
{
	(void)table;
	if (job->state >= JOB_COMPLETE)
		return;
	job->state = state;
	if (state >= JOB_COMPLETE && !job->ended_us)
		job->ended_us = now_us;
}

static void cancel(struct job *job, int64_t now_us)
{
	if (job->state >= JOB_COMPLETE || job->cancelled)
		return;
	job->cancelled = true;
	job->state = JOB_CANCELED;
	job->next_state = JOB_CANCELED;
	job->ended_us = now_us;
}

void job_update_policy(struct job *job, const struct queues *queues)
{
	const struct queue *queue = queues_find(queues, job->queue);
	const struct member *member =
		queues ? members_find(queues->members, job->member) : NULL;

	if (member)
		job->member_policy = member->policy;
	if (!queue)
		return;
	g_strlcpy(job->pool, queue->pool, sizeof(job->pool));
	job->policy = queue->policy;
}

void job_table_update_policies(struct job_table *table,
			       const struct queues *queues)
{
	GHashTableIter iter;
	gpointer job;

	g_hash_table_iter_init(&iter, table->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &job))
		job_update_policy(job, queues);
}

static struct member_load *member_load(struct job_table *table,
				       const char *member)
{
	struct member_load *load = g_hash_table_lookup(table->loads, member);

	if (load)
		return load;
	load = g_new0(struct member_load, 1);
	g_hash_table_insert(table->loads, g_strdup(member), load);
	return load;
}

static void apply_submit(struct job_table *table,
			 const struct job_record *record, int64_t now_us)
{
	struct job *job = job_table_find(table, record->id);

	if (job)
		return;
	job = job_new(record->id, record->spec);
	job_count_in(job, &table->held_bytes);
	g_strlcpy(job->queue, record->queue, sizeof(job->queue));
	g_strlcpy(job->pool, record->pool, sizeof(job->pool));
	job->policy = record->policy;
	g_strlcpy(job->member, record->member, sizeof(job->member));
	job->member_policy = record->member_policy;
	job->submitted_ms = record->submitted_ms;
	job->submit_offset = record->offset;
	job->first_seen_us = now_us;
	g_hash_table_insert(table->jobs, job->id, job);
	if (*job->member)
		job->over_rate = !member_rate_take(
			&member_load(table, job->member)->rate,
			&job->member_policy, now_us);
	if (g_hash_table_remove(table->cancelled, job->id))
		cancel(job, now_us);
}

static void reset_item(struct job *job, uint32_t index, bool done)
{
	struct job_item *item;
	enum item_phase phase;

	/* Nothing to reset, or to free by the new phase. */
	if (job_segment_is_shared(job, job_item_segment(index)) &&
	    job_item_view(job, index)->phase ==
		    (done ? ITEM_DONE : ITEM_WAITING))
		return;
	item = job_item(job, index);
	phase = item->phase;
	job_replace_checkpoint(job, &item->checkpoint, NULL);
	job_replace_checkpoint(job, &item->start_checkpoint, NULL);
	*item = (struct job_item){ .phase = phase };
	job_set_phase(job, index, done ? ITEM_DONE : ITEM_WAITING);
}

/* Earlier versions have stored a checkpoint with each member of a gang. */
static void apply_checkpoint(struct job *job,
			     const struct job_record_item *progress)
{
	uint32_t index = job_checkpoint_index(job, progress->index);
	struct job_item *item = job_item(job, index);

	if (index != progress->index &&
	    (item->checkpoint || !progress->checkpoint))
		return;
	job_replace_checkpoint(job, &item->checkpoint, progress->checkpoint);
}

static void apply_item(struct job *job, const struct job_record_item *progress)
{
	struct job_item *item = job_item(job, progress->index);

	item->run = progress->run;
	item->failed_count = progress->failed_count;
	item->worker = progress->worker;
	job_set_phase(job, progress->index,
		      progress->worker ? ITEM_STARTING : ITEM_WAITING);
	apply_checkpoint(job, progress);
}

/*
 * Resets the items that the bitmap of a record covers: one segment, or in a
 * record of an earlier version the whole job. Segments with newer progress are
 * left as they are.
 */
static void reset_segments(struct job *job, const struct job_record *record)
{
	uint32_t first = record->segment * JOB_SEGMENT_ITEMS_COUNT;

	for (uint32_t i = 0; i / 8 < record->done->len; i++) {
		uint32_t index = first + i;
		uint64_t *offset;

		if (index >= job->item_count)
			return;
		offset = &job->segment_offsets[job_item_segment(index)];
		if (record->offset < *offset)
			continue;
		*offset = record->offset;
		reset_item(job, index,
			   record->done->data[i / 8] >> (i % 8) & 1);
	}
}

static void apply_progress(struct job_table *table,
			   const struct job_record *record, int64_t now_us)
{
	struct job *job = job_table_find(table, record->id);

	if (!job || record->segment >= job_segments_count(job))
		return;
	reset_segments(job, record);
	for (guint i = 0; i < record->items->len; i++) {
		const struct job_record_item *progress = &g_array_index(
			record->items, struct job_record_item, i);

		if (progress->index < job->item_count &&
		    job->segment_offsets[job_item_segment(progress->index)] ==
			    record->offset)
			apply_item(job, progress);
	}
	job_release_done_segment(job, record->segment);
	if (record->segment || job->segment_offsets[0] != record->offset)
		return;
	job->begun = record->begun;
	job->next_state = record->state;
	job_table_set_state(table, job, record->state, now_us);
}

void job_table_apply(struct job_table *table, const struct job_record *record,
		     int64_t now_us, bool keep_progress)
{
	struct job *job = job_table_find(table, record->id);

	switch (record->kind) {
	case JOB_RECORD_SUBMIT:
		apply_submit(table, record, now_us);
		break;
	case JOB_RECORD_PROGRESS:
		if (!keep_progress)
			apply_progress(table, record, now_us);
		break;
	case JOB_RECORD_CANCEL:
		if (job)
			cancel(job, now_us);
		else
			g_hash_table_add(table->cancelled,
					 g_strdup(record->id));
		break;
	case JOB_RECORD_DROP:
		if (job && record->offset >= job->submit_offset)
			g_hash_table_remove(table->jobs, record->id);
		break;
	default:
		break;
	}
}

static uint32_t count_waiting_over_rate(const struct job_table *table,
					const char *member)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, table->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *job = value;

		count += job->over_rate && !job->begun && !job_has_ended(job) &&
			 !strcmp(job->member, member);
	}
	return count;
}

bool job_table_refuses(struct job_table *table, const struct member *member,
		       int64_t now_us)
{
	struct member_load *load = member_load(table, member->name);

	if (!member_rate_is_used_up(&load->rate, &member->policy, now_us))
		return false;
	if (now_us >= load->recount_us) {
		load->waiting_count =
			count_waiting_over_rate(table, member->name);
		load->recount_us = now_us + RECOUNT_PERIOD_US;
	}
	return member_rate_refuses(&member->policy, load->waiting_count);
}

uint32_t job_table_depth(const struct job_table *table, const char *queue)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, table->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *job = value;

		if (!job->begun && !job_has_ended(job) &&
		    !job->spec->occurrence_count && !strcmp(job->queue, queue))
			count++;
	}
	return count;
}
