/* Records of the log, applied to a state as readers do. */

#include <string.h>

#include "codec/decl_yaml.h"
#include "codec/proto/record.pb-c.h"
#include "codec/record_codec.h"
#include "fuzz.h"

static GBytes *decode_and_encode(GBytes *bytes)
{
	char reason[REASON_SIZE_BYTES];
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);
	struct record *record = record_decode(data, size_bytes, reason);
	GBytes *again;

	fuzz_check(record != NULL, "an encoded record is valid");
	again = record_encode(record);
	record_unref(record);
	return again;
}

static void check_encoding(const struct record *record)
{
	GBytes *bytes;
	GBytes *again;

	/* Records of an unknown kind are not encoded again. */
	if (record->kind == RECORD_UNKNOWN)
		return;
	bytes = record_encode(record);
	again = decode_and_encode(bytes);
	fuzz_check(g_bytes_equal(bytes, again),
		   "a decoded record encodes to the same bytes");
	g_bytes_unref(again);
	g_bytes_unref(bytes);
}

/* Bypasses the hash of the batch, which mutated input does not match. */
static void apply_records(struct fleet *fleet, const Pl__Batch *batch)
{
	for (size_t i = 0; i < batch->n_records; i++) {
		char reason[REASON_SIZE_BYTES];
		struct fleet_outcome outcome;
		struct record *record = record_decode(
			batch->records[i].data, batch->records[i].len, reason);

		if (!record)
			continue;
		check_encoding(record);
		fleet_apply(fleet, fleet_offset(fleet) + 1, record, &outcome);
		record_unref(record);
	}
}

static void run(const uint8_t *data, size_t size_bytes)
{
	char reason[REASON_SIZE_BYTES];
	GPtrArray *records = batch_decode(data, size_bytes, reason);
	Pl__Batch *batch = pl__batch__unpack(NULL, size_bytes, data);
	struct fleet *fleet;

	if (records)
		g_ptr_array_unref(records);
	if (!batch)
		return;
	fleet = fuzz_fleet_new();
	apply_records(fleet, batch);
	fuzz_check_snapshot(fleet);
	fleet_free(fleet);
	pl__batch__free_unpacked(batch, NULL);
}

/* One record of a seed. The first has offset FUZZ_FLEET_OFFSET + 1. */
struct step {
	enum record_kind kind;
	const char *name;  /* instance, job, key, entry or file */
	const char *other; /* pool, wave, instance, service or text */
	uint64_t offset;   /* of the start record, base offset or verdict */
	bool flag;	   /* failed, succeeded */
};

#define STEPS_MAX_COUNT 10
#define LEASE_TOKEN (FUZZ_FLEET_OFFSET + 1)

struct scenario {
	const char *name;
	struct step steps[STEPS_MAX_COUNT];
};

static const struct scenario scenarios[] = {
	{ "move",
	  { { RECORD_LEASE_CLAIM, "", "", 0, false },
	    { RECORD_MOVE_START, "j1", "p", 0, false },
	    { RECORD_DRAIN_ACK, "j1", "", 4, false },
	    { RECORD_MOVE_COMMIT, "j1", "", 4, false },
	    { RECORD_LEASE_RENEW, "", "", 0, false },
	    { RECORD_MOVE_START, "i1", "q", 0, false },
	    { RECORD_MOVE_ABORT, "i1", "", 8, false } } },
	{ "maint",
	  { { RECORD_LEASE_CLAIM, "", "", 0, false },
	    { RECORD_MAINT_START, "i1", "w", 0, false },
	    { RECORD_DRAIN_ACK, "i1", "", 4, false },
	    { RECORD_MAINT_REBOOT, "i1", "w", 4, false },
	    { RECORD_MAINT_DONE, "i1", "w", 4, true },
	    { RECORD_WAVE_HALT, "", "w", 0, false },
	    { RECORD_INSTANCE_DOWN, "i2", "", 0, false },
	    { RECORD_INSTANCE_UP, "i2", "", 0, false } } },
	{ "claim",
	  { { RECORD_CLAIM, "1796000000000-a", "s", 0, false },
	    { RECORD_CLAIM_RESULT, "1796000000000-a", "s", VERDICT_RAN, false },
	    { RECORD_CLAIM, "1796000000000-b", "s", 0, false },
	    { RECORD_CLAIM_RESULT, "1796000000000-b", "s", VERDICT_NOT_RUN,
	      false },
	    { RECORD_CLAIM, "1796000000000-b", "s", 0, false } } },
	{ "job",
	  { { RECORD_LEASE_CLAIM, "", "", 0, false },
	    { RECORD_JOB_SUBMIT, "a", "p", 0, false },
	    { RECORD_JOB_PLACE, "a", "i1", 0, false },
	    { RECORD_JOB_RENEW, "a", "i1", 0, false },
	    { RECORD_JOB_END, "a", "i1", 0, false },
	    { RECORD_JOB_PLACE, "a", "i2", 0, false },
	    { RECORD_JOB_CANCEL, "a", "", 0, false },
	    { RECORD_JOB_SUBMIT, "b", "p", 0, false },
	    { RECORD_JOB_SET_ASIDE, "b", "", 0, false } } },
	{ "entry",
	  { { RECORD_ENTRY_JOIN, "e2", "d", 0, false },
	    { RECORD_ENTRY_GONE, "e2", "d", 0, false },
	    { RECORD_ENTRY_LEAVE, "e1", "d", 0, false } } },
	{ "config",
	  { { RECORD_CONFIG_PUT, "b.yaml", "members: [{name: n}]\n", 0, false },
	    { RECORD_CONFIG_REMOVE, "b.yaml", "", 3, false },
	    { RECORD_CONFIG_PUT, "a.yaml", "members: []\n", 2, false } } },
	{ "snapshot",
	  { { RECORD_SNAPSHOT_PART, "", "", 0, false },
	    { RECORD_SNAPSHOT_PART, "", "part", 2, false } } },
};

static void fill_config(struct record *record, const struct step *step)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);

	name_copy(record->config.file, NAME_SIZE_BYTES, step->name);
	record->config.base_offset = step->offset;
	if (record->kind == RECORD_CONFIG_PUT)
		record->config.decl =
			decl_parse(step->name, step->other, strlen(step->other),
				   false, errors);
	g_ptr_array_unref(errors);
}

static void fill_entry(struct record_entry *body, const struct step *step)
{
	name_copy(body->name, sizeof(body->name), step->name);
	body->incarnation = 1;
	name_copy(body->dc, sizeof(body->dc), step->other);
	name_copy(body->caller_address, ADDRESS_SIZE_BYTES, "a:4");
	name_copy(body->operator_address, ADDRESS_SIZE_BYTES, "a:5");
	name_copy(body->peer_address, ADDRESS_SIZE_BYTES, "a:6");
}

static void fill_instance(struct record *record, const struct step *step)
{
	struct record_instance *body = &record->instance;
	bool is_move = record->kind == RECORD_MOVE_START;

	body->token = record->kind == RECORD_DRAIN_ACK ? 0 : LEASE_TOKEN;
	name_copy(body->instance, sizeof(body->instance), step->name);
	name_copy(is_move ? body->to_pool : body->wave, NAME_SIZE_BYTES,
		  step->other);
	body->drain_offset = step->offset;
	body->failed = step->flag;
	body->incarnation = 1;
}

static void fill_claim(struct record_claim *body, const struct step *step)
{
	name_copy(body->key, sizeof(body->key), step->name);
	name_copy(body->service, sizeof(body->service), step->other);
	body->request_id = 1;
	body->verdict = (enum verdict)step->offset;
}

static void fill_job(struct record *record, const struct step *step)
{
	struct record_job *body = &record->job;
	bool is_submit = record->kind == RECORD_JOB_SUBMIT;

	body->token = LEASE_TOKEN;
	name_copy(body->job, sizeof(body->job), step->name);
	name_copy(body->member, sizeof(body->member), "m");
	name_copy(is_submit ? body->pool : body->instance, NAME_SIZE_BYTES,
		  step->other);
	body->declared_slots_count = 1;
	body->succeeded = step->flag;
	name_copy(body->reason, sizeof(body->reason), "out of cloth");
}

static void fill_snapshot(struct record_snapshot *body, const struct step *step)
{
	body->base_offset = step->offset;
	body->part_count = step->other[0] ? 1 : 0;
	body->bytes = g_bytes_new_static(step->other, strlen(step->other));
}

static void fill_body(struct record *record, const struct step *step)
{
	switch (record->kind) {
	case RECORD_CONFIG_PUT:
	case RECORD_CONFIG_REMOVE:
		fill_config(record, step);
		break;
	case RECORD_ENTRY_JOIN ... RECORD_ENTRY_GONE:
		fill_entry(&record->entry, step);
		break;
	case RECORD_LEASE_RENEW:
		record->lease.token = LEASE_TOKEN;
		break;
	case RECORD_MOVE_START ... RECORD_INSTANCE_UP:
		fill_instance(record, step);
		break;
	case RECORD_CLAIM:
	case RECORD_CLAIM_RESULT:
		fill_claim(&record->claim, step);
		break;
	case RECORD_JOB_SUBMIT ... RECORD_JOB_SET_ASIDE:
		fill_job(record, step);
		break;
	case RECORD_SNAPSHOT_PART:
		fill_snapshot(&record->snapshot, step);
		break;
	default:
		break;
	}
}

static void unref_record(gpointer data)
{
	record_unref(data);
}

static GPtrArray *scenario_records(const struct scenario *scenario)
{
	GPtrArray *records = g_ptr_array_new_with_free_func(unref_record);

	for (gsize i = 0; scenario->steps[i].kind; i++) {
		const struct step *step = &scenario->steps[i];
		struct record *record = record_new(step->kind);
		bool is_join = step->kind == RECORD_ENTRY_JOIN;

		name_copy(record->id.entry, sizeof(record->id.entry),
			  is_join ? step->name : "e1");
		record->id.incarnation = 1;
		record->id.sequence = FUZZ_FLEET_OFFSET + 1 + i;
		record->wall_us = FUZZ_WALL_US;
		fill_body(record, step);
		g_ptr_array_add(records, record);
	}
	return records;
}

/*
 * Checks that the state accepts all records of a seed, as ignored ones cover
 * little code. Parts of snapshots are not applied to the state.
 */
static void check_accepted(const GPtrArray *records)
{
	struct fleet *fleet = fuzz_fleet_new();

	for (guint i = 0; i < records->len; i++) {
		const struct record *record = records->pdata[i];
		struct fleet_outcome outcome;
		bool accepted = fleet_apply(fleet, fleet_offset(fleet) + 1,
					    record, &outcome);

		if (record->kind != RECORD_SNAPSHOT_PART)
			fuzz_check(accepted, accepted ? "" : outcome.reason);
	}
	fleet_free(fleet);
}

static void seed(const char *folder)
{
	for (gsize i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		GPtrArray *records = scenario_records(&scenarios[i]);
		GBytes *bytes = batch_encode(records);

		check_accepted(records);
		fuzz_seed_write(folder, scenarios[i].name, bytes);
		g_bytes_unref(bytes);
		g_ptr_array_unref(records);
	}
}

const struct fuzz_target fuzz_target = { .run = run, .seed = seed };
