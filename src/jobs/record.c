#include "jobs/record.h"

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

struct job_record *job_record_progress(const struct job *job)
{
	struct job_record *record = job_record_new(JOB_RECORD_PROGRESS);

	g_strlcpy(record->id, job->id, sizeof(record->id));
	record->state = job->next_state;
	record->begun = job->begun;
	record->done = g_byte_array_new();
	g_byte_array_set_size(record->done, (job->items->len + 7) / 8);
	for (guint i = 0; i < record->done->len; i++)
		record->done->data[i] = 0;
	record->items =
		g_array_new(FALSE, TRUE, sizeof(struct job_record_item));
	g_array_set_clear_func(record->items, item_clear);
	for (uint32_t i = 0; i < job->items->len; i++) {
		const struct job_item *item = job_item(job, i);
		struct job_record_item progress = {
			.index = i,
			.run = item->run,
			.failed_count = item->failed_count,
			.worker = item->worker,
		};

		if (item->phase == ITEM_DONE || item->ended_done)
			record->done->data[i / 8] |= (guint8)(1 << (i % 8));
		else if (item->run) {
			progress.checkpoint = g_strdup(item->checkpoint);
			g_array_append_val(record->items, progress);
		}
	}
	return record;
}
