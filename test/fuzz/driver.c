/* The entry points of libFuzzer, for all targets. */

#include "fuzz.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec/decl_yaml.h"
#include "codec/snapshot_codec.h"

static const char declarations[] =
	"members:\n"
	"- {name: m}\n"
	"pools:\n"
	"- {name: p, member: m, max_unavailable: 1}\n"
	"- {name: q, max_unavailable: 1, spare: true}\n"
	"services:\n"
	"- {name: s, member: m, pool: p, path: /s, urgency: urgent,\n"
	"   idempotent: false}\n"
	"instances:\n"
	"- {name: i1, address: '127.0.0.1:1', dc: d, rack: r, pool: p}\n"
	"- {name: i2, address: '127.0.0.1:2', dc: d, rack: r, pool: p}\n"
	"- {name: i3, address: '127.0.0.1:3', dc: d, rack: r, pool: p}\n"
	"- {name: j1, address: '127.0.0.1:4', dc: d, rack: r, pool: q}\n"
	"- {name: j2, address: '127.0.0.1:5', dc: d, rack: r, pool: q}\n"
	"waves:\n"
	"- {name: w, pools: [p], parallel: 1}\n";

void fuzz_check(bool holds, const char *property)
{
	if (holds)
		return;
	fprintf(stderr, "property violated: %s\n", property);
	abort();
}

void fuzz_seed_write(const char *folder, const char *name, GBytes *bytes)
{
	char *path = g_build_filename(folder, name, NULL);
	gsize size_bytes;
	const char *data = g_bytes_get_data(bytes, &size_bytes);
	GError *error = NULL;

	if (!g_file_set_contents(path, data, (gssize)size_bytes, &error)) {
		fprintf(stderr, "%s\n", error->message);
		exit(1);
	}
	g_free(path);
}

static void apply(struct fleet *fleet, struct record *record)
{
	struct fleet_outcome outcome;
	uint64_t offset = fleet_offset(fleet) + 1;
	bool accepted;

	name_copy(record->id.entry, sizeof(record->id.entry), "e1");
	record->id.incarnation = 1;
	record->id.sequence = offset;
	record->wall_us = FUZZ_WALL_US;
	accepted = fleet_apply(fleet, offset, record, &outcome);
	fuzz_check(accepted, accepted ? "" : outcome.reason);
	record_unref(record);
}

struct fleet *fuzz_fleet_new(void)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct record *join = record_new(RECORD_ENTRY_JOIN);
	struct record *put = record_new(RECORD_CONFIG_PUT);
	struct fleet *fleet = fleet_new();

	name_copy(join->entry.name, sizeof(join->entry.name), "e1");
	join->entry.incarnation = 1;
	name_copy(join->entry.dc, sizeof(join->entry.dc), "d");
	name_copy(join->entry.caller_address, ADDRESS_SIZE_BYTES, "a:1");
	name_copy(join->entry.operator_address, ADDRESS_SIZE_BYTES, "a:2");
	name_copy(join->entry.peer_address, ADDRESS_SIZE_BYTES, "a:3");
	apply(fleet, join);
	name_copy(put->config.file, sizeof(put->config.file), "a.yaml");
	put->config.decl = decl_parse("a.yaml", declarations,
				      strlen(declarations), false, errors);
	apply(fleet, put);
	g_ptr_array_unref(errors);
	return fleet;
}

void fuzz_check_snapshot(const struct fleet *fleet)
{
	GBytes *bytes = snapshot_encode(fleet);
	char reason[REASON_SIZE_BYTES];
	struct fleet *decoded = snapshot_decode(bytes, reason);
	GBytes *again;

	fuzz_check(decoded != NULL, "the snapshot of a state is valid");
	again = snapshot_encode(decoded);
	fuzz_check(g_bytes_equal(bytes, again),
		   "a decoded snapshot encodes to the same bytes");
	g_bytes_unref(again);
	fleet_free(decoded);
	g_bytes_unref(bytes);
}

/* Drops log messages about invalid input, which hide libFuzzer's output. */
static GLogWriterOutput drop_message(GLogLevelFlags level,
				     const GLogField *fields, gsize field_count,
				     gpointer data)
{
	if (level & (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR))
		return g_log_writer_default(level, fields, field_count, data);
	return G_LOG_WRITER_HANDLED;
}

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

/* "PROGRAM seed FOLDER" writes the initial corpus instead of fuzzing. */
int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	g_log_set_writer_func(drop_message, NULL, NULL);
	/* Treats a failed g_return_if_fail() as a crash. */
	g_log_set_always_fatal(G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR);
	if (*argc == 3 && !strcmp((*argv)[1], "seed")) {
		if (fuzz_target.seed)
			fuzz_target.seed((*argv)[2]);
		exit(0);
	}
	return 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	fuzz_target.run(data, size_bytes);
	return 0;
}
