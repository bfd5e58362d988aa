/* The store: one topic of records, with epochs and a condition on its end. */

#include "runner/jobs_world.h"

#define WRITE_US (5 * USEC_PER_MSEC)
#define READ_US (3 * USEC_PER_MSEC)
#define READ_AGAIN_US (150 * USEC_PER_MSEC)
#define READ_URGENT_AGAIN_US (15 * USEC_PER_MSEC)
/* A further part of what there is to read. */
#define READ_MORE_US (250 * USEC_PER_MSEC)
#define READ_FAILED_US (200 * USEC_PER_MSEC)

static bool reaches(const struct jobs_entry *entry)
{
	return !entry->store_cut && !entry->jobs->store_down;
}

void fake_store_schedule_read(struct jobs_entry *entry, int64_t delay_us)
{
	if (entry->read_due)
		return;
	entry->read_due = true;
	jobs_schedule_read(entry, delay_us);
}

void fake_store_read(struct jobs_entry *entry)
{
	struct jobs_world *jobs = entry->jobs;
	struct store_read *read = store_read_new();
	int64_t again_us = entry->urgent ? READ_URGENT_AGAIN_US : READ_AGAIN_US;

	entry->read_due = false;
	read->reachable = reaches(entry);
	if (read->reachable) {
		if (entry->snapshot_due)
			entry->read_offset = 0;
		read->snapshot = entry->snapshot_due;
		entry->snapshot_due = false;
		for (uint32_t i = 0; entry->read_offset < jobs->store->len &&
				     (read->snapshot || !jobs->read_max_count ||
				      i < jobs->read_max_count);
		     i++, entry->read_offset++) {
			struct job_record *record =
				jobs->store->pdata[entry->read_offset];

			g_ptr_array_add(read->records, job_record_ref(record));
		}
		read->next_offset = entry->read_offset;
		read->end_offset = jobs->store->len;
		if (entry->read_offset < jobs->store->len)
			again_us = READ_MORE_US;
	} else {
		again_us = READ_FAILED_US;
	}
	jobs_deliver(jobs, entry, EVENT_STORE_READ, read, READ_US);
	fake_store_schedule_read(entry, again_us);
}

static void append(struct jobs_world *jobs, struct store_write *write)
{
	for (guint i = 0; i < write->records->len; i++) {
		struct job_record *record = write->records->pdata[i];
		struct job_record *stored =
			g_rc_box_dup(sizeof(*record), record);

		/* The copy has its own offset and shares what is immutable. */
		if (stored->spec)
			job_spec_ref(stored->spec);
		if (stored->done)
			g_byte_array_ref(stored->done);
		if (stored->items)
			g_array_ref(stored->items);
		if (stored->machines)
			g_ptr_array_ref(stored->machines);
		stored->offset = jobs->store->len;
		g_ptr_array_add(jobs->store, stored);
	}
}

static enum store_result take(struct jobs_world *jobs,
			      struct store_write *write)
{
	switch (write->writer) {
	case STORE_WRITER_HOLDER:
	case STORE_WRITER_FENCE:
		if (write->token < jobs->epoch)
			return STORE_FENCED;
		jobs->epoch = write->token;
		append(jobs, write);
		return STORE_DONE;
	case STORE_WRITER_CLAIM:
	case STORE_WRITER_ENTRY:
		append(jobs, write);
		return STORE_DONE;
	default:
		return STORE_DONE;
	}
}

static void note_accepted(struct jobs_world *jobs,
			  const struct store_write *write)
{
	for (guint i = 0; i < write->records->len; i++) {
		const struct job_record *record = write->records->pdata[i];

		if (record->kind == JOB_RECORD_SUBMIT)
			g_hash_table_add(jobs->accepted, g_strdup(record->id));
	}
}

void fake_store_take(struct jobs_entry *entry, struct store_write *write)
{
	struct jobs_world *jobs = entry->jobs;

	write->result = take(jobs, write);
	write->end_offset = jobs->store->len;
	write->took_us = jobs->store_delay_us + WRITE_US;
	if (write->result == STORE_DONE)
		note_accepted(jobs, write);
	jobs_deliver(jobs, entry, EVENT_STORE_WRITTEN, g_rc_box_acquire(write),
		     WRITE_US);
	for (guint i = 0; i < jobs->entries->len; i++) {
		struct jobs_entry *reader = jobs->entries->pdata[i];

		if (reader->kernel && reaches(reader))
			fake_store_schedule_read(reader, READ_US);
	}
}

void fake_store_write(struct jobs_entry *entry, struct store_write *write)
{
	struct jobs_world *jobs = entry->jobs;

	if (!reaches(entry)) {
		/* The adapter repeats a write until it is settled. */
		jobs_deliver(jobs, entry, EVENT_STORE_WRITE,
			     g_rc_box_acquire(write), READ_FAILED_US);
		return;
	}
	if (jobs->store_delay_us)
		jobs_schedule_write(entry, write, jobs->store_delay_us);
	else
		fake_store_take(entry, write);
}
