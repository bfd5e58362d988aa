/* The snapshot plug-in: reads snapshots from the log and checks them. */

#include "decide/snapshot.h"

#include <string.h>

#include "kernel/klog.h"

static void *snapshot_init(struct kernel *kernel)
{
	struct snapshot *snapshot = g_new0(struct snapshot, 1);

	snapshot->kernel = kernel;
	snapshot->codec = kernel_ops(kernel, PLUGIN_STATE_CODEC);
	snapshot_write_init(snapshot);
	return snapshot;
}

static void assembly_clear(struct snapshot_assembly *assembly)
{
	for (uint32_t i = 0; i < assembly->part_count; i++) {
		if (assembly->parts[i])
			g_bytes_unref(assembly->parts[i]);
	}
	g_free(assembly->parts);
	*assembly = (struct snapshot_assembly){ 0 };
}

static void snapshot_fini(void *self)
{
	struct snapshot *snapshot = self;

	for (uint32_t i = 0; i < SNAPSHOT_ASSEMBLY_COUNT; i++)
		assembly_clear(&snapshot->assemblies[i]);
	snapshot_write_clear(snapshot);
	snapshot_peer_clear(snapshot);
	g_free(snapshot);
}

static void increment(struct snapshot *snapshot, const char *counter)
{
	counter_add(kernel_counters(snapshot->kernel), counter, 1);
}

bool snapshot_has_gap(const struct snapshot *snapshot)
{
	return snapshot->read_offset >
	       fleet_offset(kernel_fleet(snapshot->kernel));
}

bool snapshot_install(struct snapshot *snapshot, GBytes *bytes)
{
	uint64_t applied_offset = fleet_offset(kernel_fleet(snapshot->kernel));
	struct event reset = { .type = EVENT_FLEET_RESET };
	char reason[REASON_SIZE_BYTES] = "";
	struct fleet *fleet = snapshot->codec->decode(bytes, reason);

	if (!fleet) {
		klog_error(SNAPSHOT_LOG_PREFIX, "snapshot refused: %s", reason);
		increment(snapshot, "snapshots_damaged_total");
		return false;
	}
	if (fleet_offset(fleet) <= applied_offset) {
		fleet_free(fleet);
		return false;
	}
	reset.subject.offset = fleet_offset(fleet);
	kernel_set_fleet(snapshot->kernel, fleet);
	increment(snapshot, "snapshots_installed_total");
	kernel_emit(snapshot->kernel, &reset);
	return true;
}

static bool is_part_of(const struct snapshot_assembly *assembly,
		       const struct record *record)
{
	const struct record_snapshot *body = &record->snapshot;

	return assembly->part_count == body->part_count &&
	       assembly->base_offset == body->base_offset &&
	       assembly->state_hash == body->state_hash &&
	       assembly->writer.incarnation == record->id.incarnation &&
	       !strcmp(assembly->writer.entry, record->id.entry);
}

/* The assembly of a part. A new one replaces the one with the lowest base. */
static struct snapshot_assembly *get_assembly(struct snapshot *snapshot,
					      const struct record *record)
{
	struct snapshot_assembly *oldest = &snapshot->assemblies[0];

	for (uint32_t i = 0; i < SNAPSHOT_ASSEMBLY_COUNT; i++) {
		struct snapshot_assembly *assembly = &snapshot->assemblies[i];

		if (is_part_of(assembly, record))
			return assembly;
		if (assembly->base_offset < oldest->base_offset)
			oldest = assembly;
	}
	assembly_clear(oldest);
	oldest->writer = record->id;
	oldest->base_offset = record->snapshot.base_offset;
	oldest->state_hash = record->snapshot.state_hash;
	oldest->part_count = record->snapshot.part_count;
	oldest->parts = g_new0(GBytes *, oldest->part_count);
	return oldest;
}

static GBytes *join_parts(const struct snapshot_assembly *assembly)
{
	GByteArray *joined = g_byte_array_new();

	for (uint32_t i = 0; i < assembly->part_count; i++) {
		gsize size_bytes;
		const uint8_t *data =
			g_bytes_get_data(assembly->parts[i], &size_bytes);

		g_byte_array_append(joined, data, (guint)size_bytes);
	}
	return g_byte_array_free_to_bytes(joined);
}

static const struct snapshot_mark *find_mark(const struct snapshot *snapshot,
					     uint64_t offset)
{
	for (uint32_t i = 0; i < SNAPSHOT_MARK_COUNT; i++) {
		if (snapshot->marks[i].offset == offset)
			return &snapshot->marks[i];
	}
	return NULL;
}

/*
 * Hash of a state in our own encoding: another software version may encode the
 * same state differently.
 */
static bool own_version_hash(struct snapshot *snapshot, GBytes *bytes,
			     uint64_t *hash)
{
	char reason[REASON_SIZE_BYTES];
	struct fleet *fleet = snapshot->codec->decode(bytes, reason);
	GBytes *reencoded;

	if (!fleet)
		return false;
	reencoded = snapshot->codec->encode(fleet);
	*hash = snapshot->codec->hash(reencoded);
	g_bytes_unref(reencoded);
	fleet_free(fleet);
	return true;
}

static void compare_with_mark(struct snapshot *snapshot,
			      const struct snapshot_assembly *assembly,
			      GBytes *bytes)
{
	const struct snapshot_mark *mark =
		find_mark(snapshot, assembly->base_offset);
	uint64_t hash = assembly->state_hash;

	if (!mark)
		return;
	increment(snapshot, "snapshots_compared_total");
	if (hash == mark->state_hash)
		return;
	if (own_version_hash(snapshot, bytes, &hash) &&
	    hash == mark->state_hash)
		return;
	klog_error(SNAPSHOT_LOG_PREFIX,
		   "state at offset %" G_GUINT64_FORMAT
		   " differs from the snapshot written by %s",
		   assembly->base_offset, assembly->writer.entry);
	increment(snapshot, "snapshots_differ_total");
}

static void update_newest_complete(struct snapshot *snapshot,
				   const struct snapshot_assembly *assembly,
				   gsize size_bytes)
{
	const struct snapshot_mark *mark =
		find_mark(snapshot, assembly->base_offset);
	uint64_t first_offset =
		MIN(snapshot->first_offset, assembly->base_offset);

	if (assembly->base_offset <= snapshot->complete_offset)
		return;
	snapshot->complete_offset = assembly->base_offset;
	snapshot->complete_size_bytes = size_bytes;
	snapshot->complete_record_count =
		mark ? mark->record_count : snapshot->record_count;
	snapshot->renew_offset =
		first_offset + (assembly->base_offset - first_offset) / 2 + 1;
	counter_set(kernel_counters(snapshot->kernel), "snapshot_offset",
		    assembly->base_offset);
}

static void on_complete(struct snapshot *snapshot,
			struct snapshot_assembly *assembly)
{
	GBytes *bytes = join_parts(assembly);

	if (snapshot->codec->hash(bytes) != assembly->state_hash) {
		klog_error(SNAPSHOT_LOG_PREFIX,
			   "snapshot of %s refused: hash mismatch",
			   assembly->writer.entry);
		increment(snapshot, "snapshots_damaged_total");
	} else {
		update_newest_complete(snapshot, assembly,
				       g_bytes_get_size(bytes));
		if (assembly->base_offset >
		    fleet_offset(kernel_fleet(snapshot->kernel)))
			snapshot_install(snapshot, bytes);
		else
			compare_with_mark(snapshot, assembly, bytes);
	}
	g_bytes_unref(bytes);
	assembly_clear(assembly);
}

static void on_part(struct snapshot *snapshot, const struct record *record)
{
	const struct record_snapshot *body = &record->snapshot;
	struct snapshot_assembly *assembly;

	if (body->part_count > SNAPSHOT_MAX_PARTS ||
	    body->part >= body->part_count || !body->bytes ||
	    g_bytes_get_size(body->bytes) > SNAPSHOT_PART_SIZE_BYTES) {
		increment(snapshot, "snapshots_damaged_total");
		return;
	}
	if (body->base_offset <= snapshot->complete_offset)
		return;
	assembly = get_assembly(snapshot, record);
	if (assembly->parts[body->part])
		return;
	assembly->parts[body->part] = g_bytes_ref(body->bytes);
	assembly->received_count++;
	if (assembly->received_count == assembly->part_count)
		on_complete(snapshot, assembly);
}

/* Returns our encoded state, or NULL if it is not that at the mark's offset. */
static GBytes *on_mark(struct snapshot *snapshot, uint64_t offset)
{
	const struct fleet *fleet = kernel_fleet(snapshot->kernel);
	struct snapshot_mark *mark = &snapshot->marks[snapshot->next_mark];
	GBytes *bytes;

	if (fleet_offset(fleet) != offset)
		return NULL;
	bytes = snapshot->codec->encode(fleet);
	mark->offset = offset;
	mark->state_hash = snapshot->codec->hash(bytes);
	mark->record_count = snapshot->record_count;
	snapshot->next_mark = (snapshot->next_mark + 1) % SNAPSHOT_MARK_COUNT;
	return bytes;
}

/* The replay plug-in has applied the record: its name sorts before ours. */
static void on_log_record(struct snapshot *snapshot,
			  const struct event_record *read)
{
	const struct record *record = read->record;
	GBytes *bytes = NULL;

	if (record->kind != RECORD_SNAPSHOT_PART) {
		/* Records that waited for a snapshot arrive twice. */
		snapshot->record_count += read->offset > snapshot->read_offset;
		snapshot->read_offset =
			MAX(snapshot->read_offset, read->offset);
		return;
	}
	snapshot->read_offset = MAX(snapshot->read_offset, read->offset);
	if (record->snapshot.part_count)
		on_part(snapshot, record);
	else
		bytes = on_mark(snapshot, read->offset);
	if (snapshot_write_is_own(snapshot, record))
		snapshot_write_on_read_back(snapshot, read, bytes);
	if (bytes)
		g_bytes_unref(bytes);
}

static void snapshot_handle(void *self, const struct event *event)
{
	struct snapshot *snapshot = self;

	switch (event->type) {
	case EVENT_STARTED:
		snapshot_peer_start(snapshot);
		break;
	case EVENT_LOG_RECORD:
		on_log_record(snapshot, &event->record);
		break;
	case EVENT_LOG_STATE:
		snapshot->log_reachable = event->log.reachable;
		if (event->log.reachable)
			snapshot->first_offset = event->log.first_offset;
		break;
	case EVENT_PROPOSAL_DROPPED:
		snapshot_write_on_dropped(snapshot, event->record.record);
		break;
	case EVENT_PEER_RECEIVED:
		snapshot_peer_on_received(snapshot, &event->peer);
		return;
	default:
		break;
	}
	snapshot_write_advance(snapshot);
	snapshot_peer_advance(snapshot);
}

static const struct plugin snapshot_plugin = {
	.name = "snapshot",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_STARTED) | EVENT_BIT(EVENT_WAKE) |
		EVENT_BIT(EVENT_FLEET_RESET) | EVENT_BIT(EVENT_LOG_RECORD) |
		EVENT_BIT(EVENT_LOG_STATE) | EVENT_BIT(EVENT_PROPOSAL_DROPPED) |
		EVENT_BIT(EVENT_PEER_RECEIVED),
	.init = snapshot_init,
	.handle = snapshot_handle,
	.fini = snapshot_fini,
};

PLUGIN_REGISTER(snapshot_plugin)
