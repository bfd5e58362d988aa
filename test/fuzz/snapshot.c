/* Snapshots from the log and from other entry instances. */

#include "codec/snapshot_codec.h"
#include "fuzz.h"

static struct record *config_record(struct fleet *fleet, enum record_kind kind)
{
	struct record *record = record_new(kind);

	name_copy(record->config.file, sizeof(record->config.file), "a.yaml");
	fleet_file(fleet, "a.yaml", &record->config.base_offset);
	return record;
}

static struct record *leave_record(struct fleet *fleet)
{
	struct record *record = record_new(RECORD_ENTRY_LEAVE);

	(void)fleet;
	name_copy(record->entry.name, sizeof(record->entry.name), "e1");
	record->entry.incarnation = 1;
	return record;
}

static struct record *claim_record(struct fleet *fleet)
{
	struct record *record = record_new(RECORD_CLAIM);

	(void)fleet;
	name_copy(record->claim.key, sizeof(record->claim.key),
		  "1796000000000-k");
	name_copy(record->claim.service, sizeof(record->claim.service), "s");
	return record;
}

static struct record *remove_file(struct fleet *fleet)
{
	return config_record(fleet, RECORD_CONFIG_REMOVE);
}

static struct record *(*const change_records[])(struct fleet *) = {
	claim_record,
	remove_file,
	leave_record,
};

/* Applies further records, which a decoded state must handle. */
static void apply_changes(struct fleet *fleet)
{
	for (gsize i = 0; i < G_N_ELEMENTS(change_records); i++) {
		struct record *record = change_records[i](fleet);
		struct fleet_outcome outcome;

		name_copy(record->id.entry, sizeof(record->id.entry), "e1");
		record->id.incarnation = 1;
		record->id.sequence = fleet_offset(fleet) + 1;
		record->wall_us = FUZZ_WALL_US;
		fleet_apply(fleet, fleet_offset(fleet) + 1, record, &outcome);
		record_unref(record);
	}
}

static void run(const uint8_t *data, size_t size_bytes)
{
	GBytes *bytes = g_bytes_new(data, size_bytes);
	char reason[REASON_SIZE_BYTES];
	struct fleet *fleet = snapshot_decode(bytes, reason);

	g_bytes_unref(bytes);
	if (!fleet)
		return;
	fuzz_check_snapshot(fleet);
	apply_changes(fleet);
	fuzz_check_snapshot(fleet);
	fleet_free(fleet);
}

static void seed(const char *folder)
{
	struct fleet *fleet = fuzz_fleet_new();
	GBytes *bytes = snapshot_encode(fleet);

	fuzz_seed_write(folder, "declared", bytes);
	g_bytes_unref(bytes);
	apply_changes(fleet);
	bytes = snapshot_encode(fleet);
	fuzz_seed_write(folder, "left", bytes);
	g_bytes_unref(bytes);
	fleet_free(fleet);
	fleet = fleet_new();
	bytes = snapshot_encode(fleet);
	fuzz_seed_write(folder, "empty", bytes);
	g_bytes_unref(bytes);
	fleet_free(fleet);
}

const struct fuzz_target fuzz_target = { .run = run, .seed = seed };
