/* Decision plug-ins alone, with events that test scripts can't produce. */

#include <string.h>

#include "codec/decl_yaml.h"
#include "codec/snapshot_codec.h"
#include "kernel/kernel.h"
#include "runner/suite.h"

#define WALL_US (INT64_C(1796000000) * USEC_PER_SEC)
#define KEY "1796000000000-k"

static const char config[] =
	"members:\n"
	"- {name: m}\n"
	"pools:\n"
	"- {name: p, max_unavailable: 1}\n"
	"instances:\n"
	"- {name: i1, address: '127.0.0.1:1', dc: d, rack: r, pool: p}\n"
	"- {name: i2, address: '127.0.0.1:2', dc: d, rack: r, pool: p}\n"
	"services:\n"
	"- {name: s, member: m, pool: p, path: /s, urgency: urgent,\n"
	"   idempotent: false}\n";

/* A kernel with some plug-ins, and the events that they emitted. */
struct probe {
	struct settings *settings;
	struct kernel *kernel;
	int64_t now_us;
	uint64_t offset;
	GPtrArray *proposed; /* of struct record */
	GArray *decided;     /* of struct event_claim */
	uint32_t reset_count;
};

static void probe_handle(void *self, const struct event *event)
{
	struct probe *probe = self;

	if (event->type == EVENT_PROPOSE)
		g_ptr_array_add(probe->proposed,
				record_ref(event->record.record));
	else if (event->type == EVENT_CLAIM_DECIDED)
		g_array_append_val(probe->decided, event->claim);
	else
		probe->reset_count++;
}

static const struct plugin probe_plugin = {
	.name = "~probe",
	.kind = PLUGIN_FRONT,
	.subscriptions = EVENT_BIT(EVENT_PROPOSE) |
			 EVENT_BIT(EVENT_CLAIM_DECIDED) |
			 EVENT_BIT(EVENT_FLEET_RESET),
	.handle = probe_handle,
};

static void unref_record(gpointer data)
{
	record_unref(data);
}

static void advance(struct probe *probe, int64_t duration_us)
{
	probe->now_us += duration_us;
	kernel_set_time(probe->kernel, probe->now_us, WALL_US + probe->now_us);
	kernel_run(probe->kernel);
}

static void emit(struct probe *probe, const struct event *event)
{
	kernel_emit(probe->kernel, event);
	kernel_run(probe->kernel);
}

static struct probe *probe_new(const char *const *names)
{
	struct probe *probe = g_new0(struct probe, 1);

	probe->settings = settings_new();
	name_copy(probe->settings->entry, NAME_SIZE_BYTES, "e1");
	name_copy(probe->settings->dc, NAME_SIZE_BYTES, "d");
	probe->kernel = kernel_new(probe->settings, 1, 1);
	probe->proposed = g_ptr_array_new_with_free_func(unref_record);
	probe->decided = g_array_new(FALSE, TRUE, sizeof(struct event_claim));
	for (; *names; names++)
		kernel_start_plugin(probe->kernel,
				    plugin_find(PLUGIN_DECIDE, *names));
	kernel_start_plugin_with(probe->kernel, &probe_plugin, probe);
	advance(probe, 1);
	emit(probe, &(struct event){
			    .type = EVENT_LOG_STATE,
			    .log = { .reachable = true, .first_offset = 1 } });
	return probe;
}

static void probe_free(struct probe *probe)
{
	kernel_free(probe->kernel);
	settings_free(probe->settings);
	g_ptr_array_unref(probe->proposed);
	g_array_unref(probe->decided);
	g_free(probe);
}

static uint64_t counter_value(struct probe *probe, const char *name)
{
	return counter_get(kernel_counters(probe->kernel), name);
}

/* Delivers a record as read from the log; takes ownership. */
static void read_record(struct probe *probe, const char *entry,
			struct record *record)
{
	struct event event = { .type = EVENT_LOG_RECORD };

	name_copy(record->id.entry, sizeof(record->id.entry), entry);
	record->id.incarnation = 1;
	record->id.sequence = probe->offset + 1;
	record->wall_us = WALL_US;
	event.record.previous_offset = probe->offset++;
	event.record.offset = probe->offset;
	event.record.record = record;
	emit(probe, &event);
}

static void read_join(struct probe *probe, const char *entry)
{
	struct record *record = record_new(RECORD_ENTRY_JOIN);

	name_copy(record->entry.name, sizeof(record->entry.name), entry);
	record->entry.incarnation = 1;
	name_copy(record->entry.dc, sizeof(record->entry.dc), "d");
	read_record(probe, entry, record);
}

static void read_config(struct probe *probe)
{
	struct record *record = record_new(RECORD_CONFIG_PUT);
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);

	name_copy(record->config.file, NAME_SIZE_BYTES, "c");
	record->config.decl =
		decl_parse("c", config, strlen(config), false, errors);
	CU_ASSERT_EQUAL_FATAL(errors->len, 0);
	g_ptr_array_unref(errors);
	read_record(probe, "e1", record);
}

static struct record *part_record(GBytes *bytes, uint64_t base_offset,
				  uint64_t hash)
{
	struct record *record = record_new(RECORD_SNAPSHOT_PART);

	record->snapshot.base_offset = base_offset;
	record->snapshot.state_hash = hash;
	record->snapshot.part_count = bytes ? 1 : 0;
	record->snapshot.bytes =
		bytes ? g_bytes_ref(bytes) : g_bytes_new(NULL, 0);
	return record;
}

static const char *const replay_names[] = { "replay", "snapshot", NULL };
static const char *const once_names[] = { "once", "replay", NULL };

/* Guards against states of entries that diverge without being detected. */
static void test_snapshot_differs(void)
{
	struct probe *probe = probe_new(replay_names);
	struct fleet *fleet = kernel_fleet(probe->kernel);
	struct fleet_outcome outcome;
	struct record *claim;
	uint64_t base_offset;
	GBytes *bytes;

	read_join(probe, "e2");
	read_record(probe, "e2", part_record(NULL, 0, 0));
	base_offset = fleet_offset(fleet);
	bytes = snapshot_encode(fleet);
	read_record(probe, "e2",
		    part_record(bytes, base_offset, snapshot_hash(bytes)));
	CU_ASSERT_EQUAL(counter_value(probe, "snapshots_compared_total"), 1);
	CU_ASSERT_EQUAL(counter_value(probe, "snapshots_differ_total"), 0);
	g_bytes_unref(bytes);
	/* The other entry's state differs at the mark. */
	read_record(probe, "e2", part_record(NULL, 0, 0));
	base_offset = fleet_offset(fleet);
	bytes = snapshot_encode(fleet);
	fleet = snapshot_decode(bytes, outcome.reason);
	g_bytes_unref(bytes);
	claim = record_new(RECORD_LEASE_CLAIM);
	name_copy(claim->id.entry, NAME_SIZE_BYTES, "e2");
	claim->id.incarnation = 1;
	claim->id.sequence = 100;
	fleet_apply(fleet, base_offset + 1, claim, &outcome);
	CU_ASSERT_TRUE(outcome.accepted);
	bytes = snapshot_encode(fleet);
	read_record(probe, "e2",
		    part_record(bytes, base_offset, snapshot_hash(bytes)));
	CU_ASSERT_EQUAL(counter_value(probe, "snapshots_compared_total"), 2);
	CU_ASSERT_EQUAL(counter_value(probe, "snapshots_differ_total"), 1);
	g_bytes_unref(bytes);
	record_unref(claim);
	fleet_free(fleet);
	probe_free(probe);
}

/* Guards against installing a damaged snapshot. */
static void test_snapshot_damaged(void)
{
	struct probe *probe = probe_new(replay_names);
	GBytes *bytes = g_bytes_new_static("x", 1);
	GBytes *large = g_bytes_new_take(g_malloc0(65537), 65537);
	struct record *record;

	probe->offset = 10;
	read_join(probe, "e2");
	CU_ASSERT_EQUAL(counter_value(probe, "records_waiting"), 1);
	CU_ASSERT_EQUAL(fleet_offset(kernel_fleet(probe->kernel)), 0);
	/* A hash that doesn't match, and bytes that can't be decoded. */
	read_record(probe, "e2", part_record(bytes, 10, 5));
	CU_ASSERT_EQUAL(counter_value(probe, "snapshots_damaged_total"), 1);
	read_record(probe, "e2", part_record(bytes, 10, snapshot_hash(bytes)));
	CU_ASSERT_EQUAL(counter_value(probe, "snapshots_damaged_total"), 2);
	/* A part that is too large, and a number and a count out of range. */
	read_record(probe, "e2", part_record(large, 10, 5));
	CU_ASSERT_EQUAL(counter_value(probe, "snapshots_damaged_total"), 3);
	record = part_record(bytes, 10, 5);
	record->snapshot.part = 1;
	read_record(probe, "e2", record);
	CU_ASSERT_EQUAL(counter_value(probe, "snapshots_damaged_total"), 4);
	record = part_record(bytes, 10, 5);
	record->snapshot.part_count = 1000000;
	read_record(probe, "e2", record);
	CU_ASSERT_EQUAL(counter_value(probe, "snapshots_damaged_total"), 5);
	CU_ASSERT_EQUAL(probe->reset_count, 0);
	g_bytes_unref(bytes);
	g_bytes_unref(large);
	probe_free(probe);
}

/* Guards against parts that are repeated, reordered or of two writers. */
static void test_snapshot_parts(void)
{
	struct probe *probe = probe_new(replay_names);
	struct probe *source = probe_new(replay_names);
	static const uint32_t order[] = { 2, 0, 2, 1 };
	uint64_t hash;
	GBytes *bytes;
	gsize third;

	read_join(source, "e2");
	read_join(source, "e1");
	read_config(source);
	bytes = snapshot_encode(kernel_fleet(source->kernel));
	hash = snapshot_hash(bytes);
	third = g_bytes_get_size(bytes) / 3;
	probe->offset = 10;
	for (uint32_t i = 0; i < G_N_ELEMENTS(order); i++) {
		gsize at = order[i] * third;
		gsize end =
			order[i] == 2 ? g_bytes_get_size(bytes) : at + third;
		GBytes *part = g_bytes_new_from_bytes(bytes, at, end - at);
		struct record *record = part_record(part, 11, hash);
		struct record *other = part_record(part, 11, hash);

		CU_ASSERT_EQUAL(probe->reset_count, 0);
		record->snapshot.part = other->snapshot.part = order[i];
		record->snapshot.part_count = 3;
		other->snapshot.part_count = 4;
		read_record(probe, "e3", other);
		read_record(probe, "e2", record);
		g_bytes_unref(part);
	}
	/* The snapshot's offset is 3, so the records after it still wait. */
	CU_ASSERT_EQUAL(probe->reset_count, 1);
	CU_ASSERT_EQUAL(fleet_offset(kernel_fleet(probe->kernel)), 3);
	CU_ASSERT_EQUAL(counter_value(probe, "records_waiting"), 8);
	g_bytes_unref(bytes);
	probe_free(source);
	probe_free(probe);
}

/* Guards against records that still wait after the gap was filled. */
static void test_replay_out_of_order(void)
{
	struct probe *probe = probe_new(replay_names);

	probe->offset = 2;
	read_join(probe, "e3");
	probe->offset = 0;
	read_join(probe, "e1");
	CU_ASSERT_EQUAL(fleet_offset(kernel_fleet(probe->kernel)), 1);
	CU_ASSERT_EQUAL(counter_value(probe, "records_waiting"), 1);
	read_join(probe, "e2");
	CU_ASSERT_EQUAL(fleet_offset(kernel_fleet(probe->kernel)), 3);
	CU_ASSERT_EQUAL(counter_value(probe, "records_waiting"), 0);
	CU_ASSERT_EQUAL(fleet_entries(kernel_fleet(probe->kernel))->len, 3);
	/* Offset 2 was applied already. */
	probe->offset = 1;
	read_join(probe, "e2");
	CU_ASSERT_EQUAL(counter_value(probe, "records_repeated_total"), 1);
	probe_free(probe);
}

static struct probe *once_probe(void)
{
	struct probe *probe = probe_new(once_names);

	read_join(probe, "e1");
	read_join(probe, "e2");
	read_config(probe);
	return probe;
}

static void request_claim(struct probe *probe, uint64_t request_id,
			  const char *key)
{
	struct event event = { .type = EVENT_CLAIM_WANTED };

	event.claim.request_id = request_id;
	name_copy(event.claim.key, KEY_SIZE_BYTES, key);
	name_copy(event.claim.service, NAME_SIZE_BYTES, "s");
	emit(probe, &event);
}

static const struct event_claim *decided(const struct probe *probe, guint at)
{
	static const struct event_claim none = { .status = 1 };

	return at < probe->decided->len
		       ? &g_array_index(probe->decided, struct event_claim, at)
		       : &none;
}

/* Gives the latest proposal its id, as the proposer does. */
static struct record *assign_id(struct probe *probe)
{
	struct record *record =
		probe->proposed->pdata[probe->proposed->len - 1];

	name_copy(record->id.entry, NAME_SIZE_BYTES, "e1");
	record->id.incarnation = 1;
	record->id.sequence = 50 + probe->proposed->len;
	record->wall_us = WALL_US;
	return record;
}

/* Installs a state in which a record is applied at an offset. */
static void install_fleet_with(struct probe *probe, const struct record *record,
			       uint64_t offset)
{
	GBytes *bytes = snapshot_encode(kernel_fleet(probe->kernel));
	struct fleet_outcome outcome;
	struct fleet *fleet = snapshot_decode(bytes, outcome.reason);
	struct event reset = { .type = EVENT_FLEET_RESET };

	fleet_apply(fleet, offset, record, &outcome);
	CU_ASSERT_TRUE(outcome.accepted);
	kernel_set_fleet(probe->kernel, fleet);
	reset.subject.offset = offset;
	emit(probe, &reset);
	g_bytes_unref(bytes);
}

static struct record *other_claim(enum record_kind kind)
{
	struct record *record = record_new(kind);

	name_copy(record->id.entry, NAME_SIZE_BYTES, "e2");
	record->id.incarnation = 1;
	record->id.sequence = 70;
	record->wall_us = WALL_US;
	name_copy(record->claim.key, KEY_SIZE_BYTES, KEY);
	record->claim.request_id = 1;
	return record;
}

/* Guards against a claim left undecided when a snapshot includes it. */
static void test_once_reset_won(void)
{
	struct probe *probe = once_probe();

	request_claim(probe, 1, KEY);
	CU_ASSERT_EQUAL(probe->decided->len, 0);
	install_fleet_with(probe, assign_id(probe), 20);
	CU_ASSERT_EQUAL(probe->decided->len, 1);
	CU_ASSERT_TRUE(decided(probe, 0)->may_run);
	probe_free(probe);
}

/* Guards against mistaking another request's claim for our own. */
static void test_once_reset_lost(void)
{
	struct probe *probe = once_probe();
	struct record *claim = other_claim(RECORD_CLAIM);

	request_claim(probe, 1, KEY);
	assign_id(probe);
	install_fleet_with(probe, claim, 20);
	/* Our claim may still be appended, so nothing is decided yet. */
	CU_ASSERT_EQUAL(probe->decided->len, 0);
	read_record(probe, "e1", record_ref(probe->proposed->pdata[0]));
	CU_ASSERT_EQUAL(probe->decided->len, 0);
	probe->offset = 20;
	read_record(probe, "e1", record_ref(probe->proposed->pdata[0]));
	CU_ASSERT_EQUAL(probe->decided->len, 1);
	CU_ASSERT_FALSE(decided(probe, 0)->may_run);
	CU_ASSERT_EQUAL(decided(probe, 0)->status, 409);
	CU_ASSERT_EQUAL(decided(probe, 0)->verdict, VERDICT_MAY_HAVE_RUN);
	record_unref(claim);
	probe_free(probe);
}

/* Guards against losing a result that the proposer has dropped. */
static void test_once_result_again(void)
{
	struct probe *probe = once_probe();
	struct event dropped = { .type = EVENT_PROPOSAL_DROPPED };
	struct event reply = { .type = EVENT_REQUEST_REPLY };

	request_claim(probe, 1, KEY);
	read_record(probe, "e1", record_ref(assign_id(probe)));
	CU_ASSERT_TRUE(decided(probe, 0)->may_run);
	reply.request.request_id = 1;
	reply.request.verdict = VERDICT_RAN;
	reply.request.status = 201;
	emit(probe, &reply);
	CU_ASSERT_EQUAL_FATAL(probe->proposed->len, 2);
	dropped.record.record = record_ref(probe->proposed->pdata[1]);
	emit(probe, &dropped);
	advance(probe, USEC_PER_SEC - 1);
	CU_ASSERT_EQUAL(probe->proposed->len, 2);
	advance(probe, 1);
	CU_ASSERT_EQUAL_FATAL(probe->proposed->len, 3);
	read_record(probe, "e1", record_ref(assign_id(probe)));
	CU_ASSERT_EQUAL(fleet_claim(kernel_fleet(probe->kernel), KEY)->verdict,
			VERDICT_RAN);
	CU_ASSERT_EQUAL(fleet_claim(kernel_fleet(probe->kernel), KEY)->status,
			201);
	/* The result is recorded, so it is not proposed again. */
	advance(probe, 5 * USEC_PER_SEC);
	CU_ASSERT_EQUAL(probe->proposed->len, 3);
	probe_free(probe);
}

/* Guards against running a request whose claim was dropped. */
static void test_once_dropped(void)
{
	struct probe *probe = once_probe();
	struct event dropped = { .type = EVENT_PROPOSAL_DROPPED };

	request_claim(probe, 1, KEY);
	dropped.record.record = record_ref(probe->proposed->pdata[0]);
	emit(probe, &dropped);
	CU_ASSERT_EQUAL(probe->decided->len, 1);
	CU_ASSERT_FALSE(decided(probe, 0)->may_run);
	CU_ASSERT_EQUAL(decided(probe, 0)->status, 503);
	CU_ASSERT_EQUAL(decided(probe, 0)->verdict, VERDICT_NOT_RUN);
	/* The key is free for the next request. */
	request_claim(probe, 2, KEY);
	CU_ASSERT_EQUAL(probe->proposed->len, 2);
	probe_free(probe);
}

/* Guards against unbounded memory while the log does not answer. */
static void test_once_bounded(void)
{
	struct probe *probe = once_probe();

	for (uint64_t i = 1; i <= 4096; i++) {
		char key[KEY_SIZE_BYTES];

		g_snprintf(key, sizeof(key), "%s%" G_GUINT64_FORMAT, KEY, i);
		request_claim(probe, i, key);
	}
	CU_ASSERT_EQUAL(probe->decided->len, 0);
	request_claim(probe, 5000, KEY);
	CU_ASSERT_EQUAL(probe->decided->len, 1);
	CU_ASSERT_EQUAL(decided(probe, 0)->status, 503);
	CU_ASSERT_EQUAL(probe->proposed->len, 4096);
	probe_free(probe);
}

static const CU_TestInfo tests[] = {
	{ "snapshot_differs", test_snapshot_differs },
	{ "snapshot_damaged", test_snapshot_damaged },
	{ "snapshot_parts", test_snapshot_parts },
	{ "replay_out_of_order", test_replay_out_of_order },
	{ "once_reset_won", test_once_reset_won },
	{ "once_reset_lost", test_once_reset_lost },
	{ "once_result_again", test_once_result_again },
	{ "once_dropped", test_once_dropped },
	{ "once_bounded", test_once_bounded },
	CU_TEST_INFO_NULL,
};

static struct suite decide_suite = { .name = "decide", .tests = tests };

SUITE_REGISTER(decide_suite)
