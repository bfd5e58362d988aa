/* Encoding of the replicated state as a snapshot. */

#include <string.h>

#include "codec/decl_yaml.h"
#include "codec/snapshot_codec.h"
#include "core/fleet_state.h"
#include "runner/suite.h"

#define BASE_WALL_US (INT64_C(1796000000) * USEC_PER_SEC)

static const char base_yaml[] =
	"members:\n"
	"- {name: m}\n"
	"pools:\n"
	"- {name: p, member: m, max_unavailable: 6}\n"
	"- {name: q, max_unavailable: 1, spare: true}\n"
	"services:\n"
	"- {name: s, member: m, pool: p, path: /s, urgency: urgent,\n"
	"   idempotent: false}\n"
	"instances:\n"
	"- {name: i1, address: '127.0.0.1:1', dc: d, rack: r, pool: p}\n"
	"- {name: i2, address: '127.0.0.1:2', dc: d, rack: r, pool: p}\n"
	"- {name: i3, address: '127.0.0.1:3', dc: d, rack: r, pool: p}\n"
	"- {name: i4, address: '127.0.0.1:4', dc: d, rack: r, pool: p}\n"
	"- {name: i5, address: '127.0.0.1:5', dc: d, rack: r, pool: p}\n"
	"- {name: i6, address: '127.0.0.1:6', dc: d, rack: r, pool: p}\n"
	"- {name: i7, address: '127.0.0.1:7', dc: d, rack: r, pool: p}\n"
	"- {name: j1, address: '127.0.0.1:8', dc: d, rack: r, pool: q}\n"
	"- {name: j2, address: '127.0.0.1:9', dc: d, rack: r, pool: q}\n";

static const char extra_yaml[] =
	"instances:\n"
	"- {name: k1, address: '127.0.0.1:10', dc: d, rack: r, pool: p}\n"
	"- {name: k2, address: '127.0.0.1:11', dc: d, rack: r, pool: p}\n";

static const char empty_yaml[] = "members: []\n";

static const char waves_yaml[] = "waves:\n"
				 "- {name: w1, pools: [p], parallel: 4}\n"
				 "- {name: w2, pools: [p, q], parallel: 1}\n";

/* A state under construction, written by entry e1 unless said otherwise. */
struct writer {
	struct fleet *fleet;
	uint64_t offset;
	uint64_t sequence;
	const char *entry;
};

static bool append_record(struct writer *writer, struct record *record)
{
	struct fleet_outcome outcome;
	bool accepted;

	name_copy(record->id.entry, sizeof(record->id.entry), writer->entry);
	record->id.incarnation = 1;
	record->id.sequence = ++writer->sequence;
	record->wall_us = BASE_WALL_US + (int64_t)writer->offset;
	accepted =
		fleet_apply(writer->fleet, ++writer->offset, record, &outcome);
	if (!accepted)
		printf("\n    %s: %s", record_kind_name(record->kind),
		       outcome.reason);
	record_unref(record);
	return accepted;
}

static void put_entry(struct writer *writer, enum record_kind kind,
		      const char *name)
{
	struct record *record = record_new(kind);

	name_copy(record->entry.name, sizeof(record->entry.name), name);
	record->entry.incarnation = 1;
	name_copy(record->entry.dc, sizeof(record->entry.dc), "d");
	name_copy(record->entry.caller_address, ADDRESS_SIZE_BYTES, "a:1");
	name_copy(record->entry.operator_address, ADDRESS_SIZE_BYTES, "a:2");
	name_copy(record->entry.peer_address, ADDRESS_SIZE_BYTES, "a:3");
	CU_ASSERT_TRUE(append_record(writer, record));
}

static void put_file(struct writer *writer, const char *file, const char *text)
{
	struct record *record = record_new(RECORD_CONFIG_PUT);
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);

	name_copy(record->config.file, sizeof(record->config.file), file);
	record->config.decl =
		decl_parse(file, text, strlen(text), false, errors);
	fleet_file(writer->fleet, file, &record->config.base_offset);
	CU_ASSERT_PTR_NOT_NULL_FATAL(record->config.decl);
	CU_ASSERT_TRUE(append_record(writer, record));
	g_ptr_array_unref(errors);
}

static uint64_t put_instance(struct writer *writer, enum record_kind kind,
			     const char *instance, const char *to, bool failed)
{
	struct record *record = record_new(kind);
	const struct fleet_instance *found =
		fleet_instance(writer->fleet, instance);

	record->instance.token = fleet_lease(writer->fleet)->token;
	name_copy(record->instance.instance, NAME_SIZE_BYTES, instance);
	if (kind == RECORD_MOVE_START)
		name_copy(record->instance.to_pool, NAME_SIZE_BYTES, to);
	else
		name_copy(record->instance.wave, NAME_SIZE_BYTES, to);
	if (found)
		record->instance.drain_offset = found->drain_offset;
	record->instance.failed = failed;
	CU_ASSERT_TRUE(append_record(writer, record));
	return writer->offset;
}

static void put_claim(struct writer *writer, const char *key,
		      enum verdict verdict)
{
	struct record *record = record_new(RECORD_CLAIM);

	g_snprintf(record->claim.key, KEY_SIZE_BYTES, "%" G_GINT64_FORMAT "-%s",
		   BASE_WALL_US / USEC_PER_MSEC, key);
	name_copy(record->claim.service, NAME_SIZE_BYTES, "s");
	record->claim.request_id = 11;
	CU_ASSERT_TRUE(append_record(writer, record));
	if (verdict == VERDICT_NONE)
		return;
	record = record_new(RECORD_CLAIM_RESULT);
	g_snprintf(record->claim.key, KEY_SIZE_BYTES, "%" G_GINT64_FORMAT "-%s",
		   BASE_WALL_US / USEC_PER_MSEC, key);
	record->claim.request_id = 11;
	record->claim.verdict = verdict;
	record->claim.status = 200;
	CU_ASSERT_TRUE(append_record(writer, record));
}

static void put_job(struct writer *writer, enum record_kind kind,
		    const char *job, const char *instance, bool succeeded)
{
	struct record *record = record_new(kind);

	record->job.token = fleet_lease(writer->fleet)->token;
	name_copy(record->job.job, NAME_SIZE_BYTES, job);
	name_copy(record->job.member, NAME_SIZE_BYTES, "m");
	name_copy(record->job.pool, NAME_SIZE_BYTES, "p");
	name_copy(record->job.instance, NAME_SIZE_BYTES, instance);
	name_copy(record->job.reason, REASON_SIZE_BYTES, "lost link");
	record->job.declared_slots_count = 3;
	record->job.succeeded = succeeded;
	CU_ASSERT_TRUE(append_record(writer, record));
}

static void put_maintenance(struct writer *writer, const char *instance,
			    bool failed)
{
	put_instance(writer, RECORD_MAINT_START, instance, "w1", false);
	put_instance(writer, RECORD_DRAIN_ACK, instance, "", false);
	put_instance(writer, RECORD_MAINT_REBOOT, instance, "w1", false);
	put_instance(writer, RECORD_MAINT_DONE, instance, "w1", failed);
}

static void put_jobs(struct writer *writer)
{
	put_job(writer, RECORD_JOB_SUBMIT, "waiting", "", false);
	put_job(writer, RECORD_JOB_SUBMIT, "running", "", false);
	put_job(writer, RECORD_JOB_PLACE, "running", "k1", false);
	put_job(writer, RECORD_JOB_SUBMIT, "retried", "", false);
	put_job(writer, RECORD_JOB_PLACE, "retried", "i6", false);
	put_job(writer, RECORD_JOB_END, "retried", "i6", false);
	put_job(writer, RECORD_JOB_PLACE, "retried", "i7", false);
	put_job(writer, RECORD_JOB_CANCEL, "retried", "", false);
	put_job(writer, RECORD_JOB_SUBMIT, "done", "", false);
	put_job(writer, RECORD_JOB_PLACE, "done", "k2", false);
	put_job(writer, RECORD_JOB_SUBMIT, "cancelled", "", false);
	put_job(writer, RECORD_JOB_CANCEL, "cancelled", "", false);
	put_job(writer, RECORD_JOB_SUBMIT, "aside", "", false);
	put_job(writer, RECORD_JOB_SET_ASIDE, "aside", "", false);
}

/* No list is empty, and each field is set in some element. */
static struct writer full_state(void)
{
	struct writer writer = { .fleet = fleet_new(), .entry = "e1" };
	struct record *claim;

	put_entry(&writer, RECORD_ENTRY_JOIN, "e1");
	writer.entry = "e2";
	put_entry(&writer, RECORD_ENTRY_JOIN, "e2");
	put_entry(&writer, RECORD_ENTRY_LEAVE, "e2");
	writer.entry = "e1";
	put_file(&writer, "base.yaml", base_yaml);
	put_file(&writer, "extra.yaml", extra_yaml);
	put_file(&writer, "waves.yaml", waves_yaml);
	claim = record_new(RECORD_LEASE_CLAIM);
	CU_ASSERT_TRUE(append_record(&writer, claim));
	put_jobs(&writer);
	/* k1 stays as a removed instance, as does k2 after its job ended. */
	put_file(&writer, "extra.yaml", empty_yaml);
	put_job(&writer, RECORD_JOB_END, "done", "k2", true);
	put_maintenance(&writer, "i1", true);
	put_maintenance(&writer, "i2", false);
	put_instance(&writer, RECORD_MAINT_START, "i3", "w1", false);
	put_instance(&writer, RECORD_DRAIN_ACK, "i3", "", false);
	put_instance(&writer, RECORD_MAINT_REBOOT, "i3", "w1", false);
	put_instance(&writer, RECORD_MAINT_START, "i4", "w1", false);
	put_instance(&writer, RECORD_MOVE_START, "j1", "p", false);
	put_instance(&writer, RECORD_DRAIN_ACK, "j1", "", false);
	put_instance(&writer, RECORD_WAVE_HALT, "", "w2", false);
	put_instance(&writer, RECORD_INSTANCE_DOWN, "i5", "", false);
	put_claim(&writer, "none", VERDICT_NONE);
	put_claim(&writer, "not-run", VERDICT_NOT_RUN);
	put_claim(&writer, "ran", VERDICT_RAN);
	put_claim(&writer, "may", VERDICT_MAY_HAVE_RUN);
	return writer;
}

static bool same_state(const struct fleet *a, const struct fleet *b)
{
	GBytes *left = snapshot_encode(a);
	GBytes *right = snapshot_encode(b);
	bool same = g_bytes_equal(left, right) &&
		    snapshot_hash(left) == snapshot_hash(right);

	g_bytes_unref(left);
	g_bytes_unref(right);
	return same;
}

static struct fleet *copy_state(const struct fleet *fleet)
{
	char reason[REASON_SIZE_BYTES] = "";
	GBytes *bytes = snapshot_encode(fleet);
	struct fleet *copy = snapshot_decode(bytes, reason);

	if (!copy)
		printf("\n    %s", reason);
	g_bytes_unref(bytes);
	return copy;
}

/* Guards against a snapshot that omits a part of the state. */
static void test_round_trip(void)
{
	struct writer writer = full_state();
	struct fleet *copy = copy_state(writer.fleet);
	struct fleet *empty = fleet_new();
	struct fleet *empty_copy = copy_state(empty);

	CU_ASSERT_PTR_NOT_NULL_FATAL(copy);
	CU_ASSERT_TRUE(same_state(writer.fleet, copy));
	CU_ASSERT_EQUAL(fleet_offset(copy), writer.offset);
	CU_ASSERT_EQUAL(fleet_instance(copy, "k2")->phase, INSTANCE_REMOVED);
	CU_ASSERT_EQUAL(fleet_instance_job_count(copy, "k1"), 1);
	CU_ASSERT_TRUE(fleet_wave(copy, "w2")->halted);
	CU_ASSERT_EQUAL(g_hash_table_size(copy->claims), 4);
	CU_ASSERT_EQUAL(g_hash_table_size(copy->fences), 1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(empty_copy);
	CU_ASSERT_TRUE(same_state(empty, empty_copy));
	fleet_free(empty_copy);
	fleet_free(empty);
	fleet_free(copy);
	fleet_free(writer.fleet);
}

/* Guards against derived values that differ in a restored state. */
static void test_same_after_restore(void)
{
	struct writer writer = full_state();
	struct fleet *copy = copy_state(writer.fleet);
	struct writer other = writer;

	CU_ASSERT_PTR_NOT_NULL_FATAL(copy);
	other.fleet = copy;
	for (uint32_t i = 0; i < 2; i++) {
		struct writer *to = i ? &other : &writer;

		put_instance(to, RECORD_MOVE_COMMIT, "j1", "", false);
		put_instance(to, RECORD_MAINT_DONE, "i3", "w1", true);
		put_job(to, RECORD_JOB_PLACE, "waiting", "i6", false);
		put_job(to, RECORD_JOB_END, "running", "k1", true);
		put_claim(to, "not-run", VERDICT_RAN);
		put_entry(to, RECORD_ENTRY_LEAVE, "e1");
	}
	CU_ASSERT_TRUE(fleet_wave(copy, "w1")->halted);
	CU_ASSERT_EQUAL(fleet_pool(copy, "p")->unavailable_count,
			fleet_pool(writer.fleet, "p")->unavailable_count);
	CU_ASSERT_TRUE(same_state(writer.fleet, copy));
	fleet_free(copy);
	fleet_free(writer.fleet);
}

/* Guards against equal hashes of different states. */
static void test_hash_differs(void)
{
	struct writer writer = full_state();
	GBytes *before = snapshot_encode(writer.fleet);
	GBytes *after;

	put_instance(&writer, RECORD_INSTANCE_UP, "i5", "", false);
	after = snapshot_encode(writer.fleet);
	CU_ASSERT_NOT_EQUAL(snapshot_hash(before), snapshot_hash(after));
	g_bytes_unref(before);
	g_bytes_unref(after);
	fleet_free(writer.fleet);
}

/* Guards against accepting a truncated snapshot. */
static void test_truncated(void)
{
	struct writer writer = full_state();
	GBytes *bytes = snapshot_encode(writer.fleet);
	char reason[REASON_SIZE_BYTES];

	for (gsize at = 0; at < g_bytes_get_size(bytes); at++) {
		GBytes *part = g_bytes_new_from_bytes(bytes, 0, at);

		CU_ASSERT_PTR_NULL(snapshot_decode(part, reason));
		g_bytes_unref(part);
	}
	g_bytes_unref(bytes);
	fleet_free(writer.fleet);
}

/* Guards against corrupt bytes that crash the decoder or the state. */
static void test_changed_bytes(void)
{
	struct writer writer = full_state();
	GBytes *bytes = snapshot_encode(writer.fleet);
	gsize size_bytes;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);
	uint32_t refused_count = 0;

	for (gsize at = 0; at < size_bytes; at++) {
		uint8_t *changed = g_memdup2(data, size_bytes);
		char reason[REASON_SIZE_BYTES];
		struct fleet *fleet;
		GBytes *input;

		changed[at] ^= 0x81;
		input = g_bytes_new_take(changed, size_bytes);
		fleet = snapshot_decode(input, reason);
		refused_count += !fleet;
		if (fleet) {
			struct fleet *again = copy_state(fleet);

			CU_ASSERT_PTR_NOT_NULL(again);
			fleet_free(again);
		}
		fleet_free(fleet);
		g_bytes_unref(input);
	}
	CU_ASSERT_TRUE(refused_count > 0);
	g_bytes_unref(bytes);
	fleet_free(writer.fleet);
}

static const CU_TestInfo tests[] = {
	{ "round_trip", test_round_trip },
	{ "same_after_restore", test_same_after_restore },
	{ "hash_differs", test_hash_differs },
	{ "truncated", test_truncated },
	{ "changed_bytes", test_changed_bytes },
	CU_TEST_INFO_NULL,
};

static struct suite snapshot_suite = { .name = "snapshot", .tests = tests };

SUITE_REGISTER(snapshot_suite)
