#include "jobs/record.h"

#include <string.h>

static void record_clear(gpointer data)
{
	struct job_record *record = data;

	job_spec_unref(record->spec);
	if (record->done)
		g_byte_array_unref(record->done);
	if (record->items)
		g_array_unref(record->items);
	if (record->machines)
		g_ptr_array_unref(record->machines);
}

struct job_record *job_record_new(enum job_record_kind kind)
{
	struct job_record *record = g_rc_box_new0(struct job_record);

	record->kind = kind;
	return record;
}

struct job_record *job_record_ref(struct job_record *record)
{
	return g_rc_box_acquire(record);
}

void job_record_unref(struct job_record *record)
{
	if (record)
		g_rc_box_release_full(record, record_clear);
}

static void item_clear(gpointer data)
{
	struct job_record_item *item = data;

	g_free(item->checkpoint);
}

static void add_item_progress(struct job_record *record, const struct job *job,
			      uint32_t index)
{
	const struct job_item *item = job_item_view(job, index);
	uint32_t bit = index % JOB_SEGMENT_ITEMS_COUNT;
	struct job_record_item progress = {
		.index = index,
		.run = item->run,
		.failed_count = item->failed_count,
		.worker = item->worker,
	};

	if (item->phase == ITEM_DONE || item->ended_done) {
		record->done->data[bit / 8] |= (guint8)(1 << (bit % 8));
	} else if (item->run) {
		progress.checkpoint = g_strdup(item->checkpoint);
		g_array_append_val(record->items, progress);
	}
}

struct job_record *job_record_progress(const struct job *job, uint32_t segment)
{
	struct job_record *record = job_record_new(JOB_RECORD_PROGRESS);
	uint32_t first = segment * JOB_SEGMENT_ITEMS_COUNT;
	uint32_t end = MIN(first + JOB_SEGMENT_ITEMS_COUNT, job->item_count);

	g_strlcpy(record->id, job->id, sizeof(record->id));
	record->segment = segment;
	record->state = job->next_state;
	record->begun = job->begun;
	record->done = g_byte_array_new();
	g_byte_array_set_size(record->done, (end - first + 7) / 8);
	memset(record->done->data, 0, record->done->len);
	record->items =
		g_array_new(FALSE, TRUE, sizeof(struct job_record_item));
	g_array_set_clear_func(record->items, item_clear);
	for (uint32_t i = first; i < end; i++)
		add_item_progress(record, job, i);
	return record;
}
