/*
 * Writes the submissions and cancellations of callers in batches: one write at
 * a time, with what was queued during the previous one.
 */

#include "jobs/callers.h"
#include "kernel/decision_log.h"

/* A slower write had to wait in the store behind those of other processes. */
#define UNCONTENDED_WRITE_MAX_US (250 * USEC_PER_MSEC)
/* The pause after such a write, as a multiple of the excess time. */
#define PAUSE_FACTOR 4
#define PAUSE_MAX_US (2 * USEC_PER_SEC)
/* After this time the caller is told that the outcome is unknown (504). */
#define WRITE_WAIT_MAX_US (1200 * USEC_PER_MSEC)
/* After this time without an answer from the store, callers get a 503. */
#define STORE_SILENT_US (1500 * USEC_PER_MSEC)
#define BATCH_MAX_COUNT 64
#define CANCEL_STORED_MAX_BYTES 64

/* Upper bound of the size of a submission or cancellation in the store. */
static uint64_t stored_max_bytes(const struct job_record *record)
{
	return record->spec ? job_spec_stored_max_bytes(record->spec)
			    : CANCEL_STORED_MAX_BYTES;
}

void callers_send_queued(struct callers *callers)
{
	const struct job_bounds *bounds =
		&kernel_settings(callers->kernel)->bounds;
	uint64_t left_bytes = bounds->batch_max_bytes;
	struct store_write *write;
	int64_t now_us = kernel_now_us(callers->kernel);

	if (callers->write_id)
		return;
	if (now_us < callers->next_write_us) {
		kernel_wake_at(callers->kernel, callers->next_write_us);
		return;
	}
	callers_recheck_memory(callers);
	write = store_write_new(STORE_WRITER_ENTRY);
	for (guint i = 0; i < callers->pending->len; i++) {
		struct pending_call *pending = callers->pending->pdata[i];

		if (pending->state != PENDING_QUEUED ||
		    write->records->len >= BATCH_MAX_COUNT ||
		    stored_max_bytes(pending->record) > left_bytes)
			continue;
		left_bytes -= stored_max_bytes(pending->record);
		pending->state = PENDING_WRITE;
		pending->write_id = callers->next_write_id;
		pending->deadline_us = MIN(now_us + WRITE_WAIT_MAX_US,
					   pending->call->deadline_us);
		g_ptr_array_add(write->records,
				job_record_ref(pending->record));
	}
	write->write_id = callers->next_write_id;
	if (!write->records->len) {
		store_write_unref(write);
		return;
	}
	callers->write_id = callers->next_write_id++;
	callers->write_sent_us = now_us;
	kernel_emit_msg(callers->kernel, EVENT_STORE_WRITE, write);
}

bool callers_reads_are_silent(const struct callers *callers)
{
	return !callers->has_snapshot ||
	       kernel_now_us(callers->kernel) - callers->caught_up_us >
		       STORE_SILENT_US;
}

bool callers_store_is_silent(const struct callers *callers)
{
	return callers_reads_are_silent(callers) ||
	       (callers->write_id &&
		kernel_now_us(callers->kernel) - callers->write_sent_us >
			STORE_SILENT_US);
}

/* Applies stored records at once, without waiting to read them back. */
static void apply_written(struct callers *callers,
			  const struct store_write *write)
{
	struct store_read *read = store_read_new();
	struct event applied = { .type = EVENT_JOBS_APPLIED };

	for (guint i = 0; i < write->records->len; i++) {
		struct job_record *record = write->records->pdata[i];

		job_table_apply(kernel_jobs(callers->kernel), record,
				kernel_now_us(callers->kernel), true);
		g_ptr_array_add(read->records, job_record_ref(record));
	}
	read->reachable = true;
	read->local = true;
	applied.msg = read;
	kernel_emit_front(callers->kernel, &applied);
}

/*
 * The store serializes the writes of all entry instances. While they queue up
 * there, each entry instance pauses, so that the writes of the holder, on which
 * all work depends, do not wait behind those of all the others.
 */
static void pause_writes(struct callers *callers, int64_t took_us)
{
	int64_t now_us = kernel_now_us(callers->kernel);
	int64_t pause_us =
		MIN((took_us - UNCONTENDED_WRITE_MAX_US) * PAUSE_FACTOR,
		    PAUSE_MAX_US);

	if (pause_us <= 0)
		return;
	decision_log("pause",
		     "took_ms=%" G_GINT64_FORMAT " pause_ms=%" G_GINT64_FORMAT,
		     took_us / USEC_PER_MSEC, pause_us / USEC_PER_MSEC);
	counter_add(kernel_counters(callers->kernel),
		    "caller_write_pauses_total", 1);
	callers->next_write_us = now_us + pause_us;
	/* The queued calls wait for the next write. */
	for (guint i = 0; i < callers->pending->len; i++) {
		struct pending_call *pending = callers->pending->pdata[i];

		if (pending->state == PENDING_QUEUED)
			pending->deadline_us =
				MIN(callers->next_write_us + QUEUE_WAIT_MAX_US,
				    pending->call->deadline_us);
	}
}

void callers_on_written(struct callers *callers,
			const struct store_write *write)
{
	if (write->write_id != callers->write_id ||
	    write->writer != STORE_WRITER_ENTRY)
		return;
	callers->write_id = 0;
	pause_writes(callers, write->took_us);
	if (write->result == STORE_WRITTEN)
		apply_written(callers, write);
	for (guint i = 0; i < callers->pending->len;) {
		struct pending_call *pending = callers->pending->pdata[i];

		if (pending->state != PENDING_WRITE ||
		    pending->write_id != write->write_id) {
			i++;
			continue;
		}
		counter_observe(
			kernel_counters(callers->kernel), "caller_store",
			kernel_now_us(callers->kernel) - pending->arrived_us);
		if (write->result == STORE_WRITTEN)
			callers_confirm(callers, pending->call);
		else
			callers_refuse(callers, pending->call, 503,
				       "the store did not take it");
		g_ptr_array_remove_index(callers->pending, i);
	}
	callers_send_queued(callers);
}

void callers_watch_store(struct callers *callers)
{
	int64_t now_us = kernel_now_us(callers->kernel);
	/* A process that has just started has not lost the store. */
	bool silent = callers->caught_up_us && callers_store_is_silent(callers);

	if (silent && !callers->store_lost_since_us) {
		callers->store_lost_since_us = now_us;
		counter_add(kernel_counters(callers->kernel),
			    "store_lost_total", 1);
		decision_log(
			"dependency",
			"name=store state=lost read_age_ms=%" G_GINT64_FORMAT
			" write_age_ms=%" G_GINT64_FORMAT,
			(now_us - callers->caught_up_us) / USEC_PER_MSEC,
			callers->write_id ? (now_us - callers->write_sent_us) /
						    USEC_PER_MSEC
					  : 0);
	} else if (!silent && callers->store_lost_since_us) {
		decision_log("dependency",
			     "name=store state=regained "
			     "lost_ms=%" G_GINT64_FORMAT,
			     (now_us - callers->store_lost_since_us) /
				     USEC_PER_MSEC);
		callers->store_lost_since_us = 0;
	}
}
