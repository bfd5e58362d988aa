/* Writes snapshots while our entry holds the planner lease. */

#include <string.h>

#include "decide/snapshot.h"
#include "kernel/klog.h"

#define INTERVAL_RECORD_COUNT 4096
/*
 * A large state is written less often, so that snapshots add at most this much
 * to each record of the log on average.
 */
#define OVERHEAD_BYTES_PER_RECORD 256
/* The log's retention is unknown until it trims, but longer than this. */
#define FIRST_SNAPSHOT_DELAY_US (600 * USEC_PER_SEC)
#define RETRY_DELAY_US (1 * USEC_PER_SEC)

void snapshot_write_init(struct snapshot *snapshot)
{
	snapshot->writer.retry_at_us = DEADLINE_NEVER_US;
	snapshot->writer.first_due_us = DEADLINE_NEVER_US;
}

static void reset_writer(struct snapshot *snapshot)
{
	struct snapshot_writer *writer = &snapshot->writer;

	g_clear_pointer(&writer->proposal, record_unref);
	g_clear_pointer(&writer->bytes, g_bytes_unref);
	writer->phase = SNAPSHOT_IDLE;
	writer->retry_at_us = DEADLINE_NEVER_US;
}

void snapshot_write_clear(struct snapshot *snapshot)
{
	reset_writer(snapshot);
}

static bool holds_lease(const struct snapshot *snapshot)
{
	const struct fleet_lease *lease =
		fleet_lease(kernel_fleet(snapshot->kernel));
	const struct settings *settings = kernel_settings(snapshot->kernel);

	return !strcmp(lease->holder, settings->entry) &&
	       lease->incarnation == kernel_incarnation(snapshot->kernel);
}

/*
 * Whether a new snapshot is due. A starting process needs the newest complete
 * snapshot and all records after its base, so the next one must be complete
 * before the log trims up to that base. It is due once half of the records that
 * the log kept before the base are trimmed, which leaves the time of the other
 * half to write it.
 */
static bool is_due(struct snapshot *snapshot)
{
	uint64_t interval_count =
		MAX(INTERVAL_RECORD_COUNT,
		    snapshot->complete_size_bytes / OVERHEAD_BYTES_PER_RECORD);
	int64_t now_us = kernel_now_us(snapshot->kernel);

	if (snapshot->record_count - snapshot->complete_record_count >=
	    interval_count)
		return true;
	if (snapshot->complete_offset)
		return snapshot->first_offset >= snapshot->renew_offset;
	return snapshot->first_offset > 1 ||
	       now_us >= snapshot->writer.first_due_us;
}

static void propose(struct snapshot *snapshot)
{
	struct snapshot_writer *writer = &snapshot->writer;
	struct event event = { .type = EVENT_PROPOSE };
	struct record *record = record_new(RECORD_SNAPSHOT_PART);
	struct record_snapshot *body = &record->snapshot;

	if (writer->phase == SNAPSHOT_WRITING) {
		gsize part_start =
			(gsize)writer->part * SNAPSHOT_PART_SIZE_BYTES;
		gsize left_bytes = g_bytes_get_size(writer->bytes) - part_start;

		body->base_offset = writer->base_offset;
		body->part = writer->part;
		body->part_count = writer->part_count;
		body->state_hash = writer->state_hash;
		body->bytes = g_bytes_new_from_bytes(
			writer->bytes, part_start,
			MIN(left_bytes, SNAPSHOT_PART_SIZE_BYTES));
	} else {
		body->bytes = g_bytes_new(NULL, 0);
	}
	record->wall_us = kernel_wall_us(snapshot->kernel);
	writer->proposal = record;
	event.record.record = record_ref(record);
	kernel_emit(snapshot->kernel, &event);
}

static void update_first_due(struct snapshot *snapshot)
{
	struct snapshot_writer *writer = &snapshot->writer;

	if (!holds_lease(snapshot)) {
		writer->first_due_us = DEADLINE_NEVER_US;
		return;
	}
	if (writer->first_due_us == DEADLINE_NEVER_US)
		writer->first_due_us = kernel_now_us(snapshot->kernel) +
				       FIRST_SNAPSHOT_DELAY_US;
	if (!snapshot->complete_offset &&
	    writer->first_due_us > kernel_now_us(snapshot->kernel))
		kernel_wake_at(snapshot->kernel, writer->first_due_us);
}

void snapshot_write_advance(struct snapshot *snapshot)
{
	struct snapshot_writer *writer = &snapshot->writer;

	update_first_due(snapshot);
	if (!holds_lease(snapshot)) {
		reset_writer(snapshot);
		return;
	}
	if (!snapshot->log_reachable || snapshot_has_gap(snapshot))
		return;
	if (writer->phase == SNAPSHOT_IDLE && is_due(snapshot)) {
		writer->phase = SNAPSHOT_MARKING;
		writer->retry_at_us = DEADLINE_NEVER_US;
		propose(snapshot);
	} else if (writer->phase != SNAPSHOT_IDLE && !writer->proposal) {
		if (kernel_now_us(snapshot->kernel) >= writer->retry_at_us)
			propose(snapshot);
		else
			kernel_wake_at(snapshot->kernel, writer->retry_at_us);
	}
}

bool snapshot_write_is_own(const struct snapshot *snapshot,
			   const struct record *record)
{
	const struct record *own = snapshot->writer.proposal;

	if (!own)
		return false;
	return own == record ||
	       (own->id.sequence && record_id_equal(&own->id, &record->id));
}

static void start_writing(struct snapshot *snapshot, uint64_t base_offset,
			  GBytes *bytes)
{
	struct snapshot_writer *writer = &snapshot->writer;
	gsize size_bytes = g_bytes_get_size(bytes);

	writer->phase = SNAPSHOT_WRITING;
	writer->bytes = g_bytes_ref(bytes);
	writer->base_offset = base_offset;
	writer->state_hash = snapshot->codec->hash(bytes);
	writer->part = 0;
	writer->part_count =
		(uint32_t)((size_bytes + SNAPSHOT_PART_SIZE_BYTES - 1) /
			   SNAPSHOT_PART_SIZE_BYTES);
	if (writer->part_count <= SNAPSHOT_MAX_PARTS) {
		propose(snapshot);
		return;
	}
	klog_error(SNAPSHOT_LOG_PREFIX,
		   "state of %" G_GSIZE_FORMAT
		   " bytes is too large for a snapshot",
		   size_bytes);
	counter_add(kernel_counters(snapshot->kernel),
		    "snapshots_too_large_total", 1);
	reset_writer(snapshot);
}

void snapshot_write_on_read_back(struct snapshot *snapshot,
				 const struct event_record *read, GBytes *bytes)
{
	struct snapshot_writer *writer = &snapshot->writer;

	g_clear_pointer(&writer->proposal, record_unref);
	if (writer->phase == SNAPSHOT_MARKING) {
		if (bytes && holds_lease(snapshot))
			start_writing(snapshot, read->offset, bytes);
		else
			reset_writer(snapshot);
		return;
	}
	writer->part++;
	if (writer->part == writer->part_count) {
		counter_add(kernel_counters(snapshot->kernel),
			    "snapshots_written_total", 1);
		reset_writer(snapshot);
	} else {
		propose(snapshot);
	}
}

void snapshot_write_on_dropped(struct snapshot *snapshot,
			       const struct record *record)
{
	struct snapshot_writer *writer = &snapshot->writer;

	if (!snapshot_write_is_own(snapshot, record))
		return;
	g_clear_pointer(&writer->proposal, record_unref);
	writer->retry_at_us = kernel_now_us(snapshot->kernel) + RETRY_DELAY_US;
	kernel_wake_at(snapshot->kernel, writer->retry_at_us);
}
