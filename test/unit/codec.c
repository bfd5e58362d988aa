/* Encodings of records and of messages between entry instances. */

#include <string.h>

#include <xxhash.h>

#include "codec/decl_yaml.h"
#include "codec/peer_codec.h"
#include "codec/proto/peer.pb-c.h"
#include "codec/proto/record.pb-c.h"
#include "codec/record_body.h"
#include "codec/record_codec.h"
#include "runner/suite.h"

#define SOURCE "members:\n- name: a\n  weight: 3\n"

static struct decl *source_decl(void)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct decl *decl =
		decl_parse("a.yaml", SOURCE, strlen(SOURCE), false, errors);

	g_ptr_array_unref(errors);
	return decl;
}

static void fill_config(struct record *record)
{
	struct record_config *body = &record->config;

	name_copy(body->file, sizeof(body->file), "a.yaml");
	body->base_offset = 7;
	if (record->kind == RECORD_CONFIG_PUT)
		body->decl = source_decl();
}

static void fill_entry(struct record_entry *body)
{
	name_copy(body->name, sizeof(body->name), "e1");
	body->incarnation = UINT64_MAX;
	name_copy(body->dc, sizeof(body->dc), "dc1");
	name_copy(body->caller_address, ADDRESS_SIZE_BYTES, "127.0.0.1:1");
	name_copy(body->operator_address, ADDRESS_SIZE_BYTES, "127.0.0.1:2");
	name_copy(body->peer_address, ADDRESS_SIZE_BYTES, "127.0.0.1:3");
}

static void fill_instance(struct record_instance *body)
{
	body->token = 5;
	name_copy(body->instance, sizeof(body->instance), "i1");
	body->drain_offset = 6;
	name_copy(body->to_pool, sizeof(body->to_pool), "p2");
	name_copy(body->wave, sizeof(body->wave), "w");
	body->failed = true;
	body->incarnation = 3;
}

static void fill_claim(struct record_claim *body)
{
	name_copy(body->key, sizeof(body->key), "1500-k");
	name_copy(body->service, sizeof(body->service), "s");
	body->request_id = 9;
	body->verdict = VERDICT_RAN;
	body->status = 201;
}

static void fill_job(struct record_job *body)
{
	body->token = 1;
	name_copy(body->job, sizeof(body->job), "j");
	name_copy(body->member, sizeof(body->member), "m");
	name_copy(body->pool, sizeof(body->pool), "p");
	name_copy(body->instance, sizeof(body->instance), "i");
	body->declared_slots_count = 2;
	body->attempt_count = 3;
	body->succeeded = true;
	body->checkpointed = true;
	name_copy(body->reason, sizeof(body->reason), "out of cloth");
}

static void fill_snapshot(struct record_snapshot *body)
{
	body->base_offset = 4096;
	body->part = 1;
	body->part_count = 3;
	body->state_hash = UINT64_C(0x8000000000000001);
	body->bytes = g_bytes_new_static("\0part", 5);
}

/* A record of a kind with a value in every field. */
static struct record *full_record(enum record_kind kind)
{
	struct record *record = record_new(kind);

	name_copy(record->id.entry, sizeof(record->id.entry), "e1");
	record->id.incarnation = 2;
	record->id.sequence = 3 + (uint64_t)kind;
	record->wall_us = 4;
	switch (kind) {
	case RECORD_CONFIG_PUT:
	case RECORD_CONFIG_REMOVE:
		fill_config(record);
		break;
	case RECORD_ENTRY_JOIN ... RECORD_ENTRY_GONE:
		fill_entry(&record->entry);
		break;
	case RECORD_LEASE_CLAIM:
	case RECORD_LEASE_RENEW:
		record->lease.token = 8;
		break;
	case RECORD_MOVE_START ... RECORD_INSTANCE_UP:
		fill_instance(&record->instance);
		break;
	case RECORD_CLAIM:
	case RECORD_CLAIM_RESULT:
		fill_claim(&record->claim);
		break;
	case RECORD_JOB_SUBMIT ... RECORD_JOB_SET_ASIDE:
		fill_job(&record->job);
		break;
	case RECORD_SNAPSHOT_PART:
		fill_snapshot(&record->snapshot);
		break;
	default:
		break;
	}
	return record;
}

static struct record *decode(GBytes *bytes, char *reason)
{
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);

	return record_decode(data, size_bytes, reason);
}

/* Compares all fields; the structs hold no padding that is left unset. */
static bool same_record(const struct record *a, const struct record *b)
{
	struct record left;
	struct record right;

	if (!b)
		return false;
	left = *a;
	right = *b;
	left.refs = right.refs;
	if (a->kind == RECORD_CONFIG_PUT) {
		if (!g_bytes_equal(a->config.decl->source,
				   b->config.decl->source) ||
		    b->config.decl->members->len != 1)
			return false;
		left.config.decl = right.config.decl = NULL;
	}
	if (a->kind == RECORD_SNAPSHOT_PART) {
		if (!g_bytes_equal(a->snapshot.bytes, b->snapshot.bytes))
			return false;
		left.snapshot.bytes = right.snapshot.bytes = NULL;
	}
	return !memcmp((const void *)&left, (const void *)&right, sizeof(left));
}

/* Guards against a field that is lost or mixed up on the way to the log. */
static void test_record_round_trip(void)
{
	char reason[REASON_SIZE_BYTES];

	for (uint32_t kind = 1; kind < RECORD_KIND_COUNT; kind++) {
		struct record *record = full_record((enum record_kind)kind);
		GBytes *bytes = record_encode(record);
		struct record *decoded = decode(bytes, reason);

		CU_ASSERT_PTR_NOT_NULL_FATAL(decoded);
		CU_ASSERT_TRUE(same_record(record, decoded));
		record_unref(decoded);
		record_unref(record);
		g_bytes_unref(bytes);
	}
}

/* Guards against a record that was cut short and is taken as another one. */
static void test_record_truncated(void)
{
	char reason[REASON_SIZE_BYTES];

	for (uint32_t kind = 1; kind < RECORD_KIND_COUNT; kind++) {
		struct record *record = full_record((enum record_kind)kind);
		GBytes *bytes = record_encode(record);
		gsize size_bytes;
		const void *data = g_bytes_get_data(bytes, &size_bytes);

		for (gsize at = 0; at < size_bytes; at++)
			CU_ASSERT_PTR_NULL(record_decode(data, at, reason));
		record_unref(record);
		g_bytes_unref(bytes);
	}
}

/* Guards against a newer version's record that stops an older reader. */
static void test_record_unknown_kind(void)
{
	Pl__Record newer = PL__RECORD__INIT;
	char reason[REASON_SIZE_BYTES];
	struct record *record;
	GBytes *bytes;

	newer.version = 9;
	newer.entry = "e1";
	newer.kind = 4711;
	bytes = body_serialise(&newer.base);
	record = decode(bytes, reason);
	CU_ASSERT_PTR_NOT_NULL(record);
	if (!record)
		return;
	CU_ASSERT_EQUAL(record->kind, RECORD_UNKNOWN);
	CU_ASSERT_STRING_EQUAL(record->id.entry, "e1");
	record_unref(record);
	g_bytes_unref(bytes);
}

/* Guards against declarations of a newer version that end a reader. */
static void test_record_unreadable_decl(void)
{
	static const char *const sources[] = { "members: [", "" };

	for (uint32_t i = 0; i < G_N_ELEMENTS(sources); i++) {
		struct record *record = full_record(RECORD_CONFIG_PUT);
		char reason[REASON_SIZE_BYTES];
		struct record *decoded;
		GBytes *bytes;

		g_bytes_unref(record->config.decl->source);
		record->config.decl->source =
			g_bytes_new(sources[i], strlen(sources[i]));
		bytes = record_encode(record);
		decoded = decode(bytes, reason);
		CU_ASSERT_PTR_NOT_NULL(decoded);
		if (!decoded)
			return;
		CU_ASSERT_PTR_NULL(decoded->config.decl);
		record_unref(decoded);
		record_unref(record);
		g_bytes_unref(bytes);
	}
}

/* Field 100 with the number 1, as a newer version may add. */
static const uint8_t unknown_field[] = { 0xa0, 0x06, 0x01 };

static GBytes *with_unknown_field(GBytes *bytes)
{
	GByteArray *array = g_bytes_unref_to_array(bytes);

	g_byte_array_append(array, unknown_field, sizeof(unknown_field));
	return g_byte_array_free_to_bytes(array);
}

/* Guards against a newer version's field that stops an older reader. */
static void test_record_unknown_field(void)
{
	char reason[REASON_SIZE_BYTES];

	for (uint32_t kind = 1; kind < RECORD_KIND_COUNT; kind++) {
		struct record *record = full_record((enum record_kind)kind);
		GBytes *bytes = with_unknown_field(record_encode(record));
		struct record *decoded = decode(bytes, reason);

		CU_ASSERT_PTR_NOT_NULL_FATAL(decoded);
		CU_ASSERT_TRUE(same_record(record, decoded));
		record_unref(decoded);
		record_unref(record);
		g_bytes_unref(bytes);
	}
}

static char long_name[NAME_SIZE_BYTES + 1];
static char long_key[KEY_SIZE_BYTES + 1];

static Pl__ClaimBody claim_body = PL__CLAIM_BODY__INIT;
static Pl__EntryBody entry_body = PL__ENTRY_BODY__INIT;
static Pl__SnapshotBody snapshot_body = PL__SNAPSHOT_BODY__INIT;
static Pl__InstanceBody instance_body = PL__INSTANCE_BODY__INIT;
static Pl__JobBody job_body = PL__JOB_BODY__INIT;
static Pl__ConfigBody config_body = PL__CONFIG_BODY__INIT;

/* A valid claim, to be made invalid by one change. */
static Pl__Record valid_claim(void)
{
	Pl__Record record = PL__RECORD__INIT;

	memset(long_name, 'n', NAME_SIZE_BYTES);
	memset(long_key, 'k', KEY_SIZE_BYTES);
	pl__claim_body__init(&claim_body);
	claim_body.key = "1-k";
	claim_body.service = "s";
	record.version = 1;
	record.entry = "e1";
	record.kind = 18;
	record.body_case = PL__RECORD__BODY_CLAIM;
	record.claim = &claim_body;
	return record;
}

static void no_version(Pl__Record *record)
{
	record->version = 0;
}

static void no_kind(Pl__Record *record)
{
	record->kind = 0;
}

static void no_writer(Pl__Record *record)
{
	record->entry = "";
}

static void long_writer(Pl__Record *record)
{
	record->entry = long_name;
}

static void control_character(Pl__Record *record)
{
	record->entry = "e\n1";
}

static void bad_utf8(Pl__Record *record)
{
	record->entry = "e\xff";
}

static void negative_time(Pl__Record *record)
{
	record->wall_us = -1;
}

static void far_time(Pl__Record *record)
{
	record->wall_us = INT64_MAX;
}

static void no_body(Pl__Record *record)
{
	record->body_case = PL__RECORD__BODY__NOT_SET;
}

static void other_body(Pl__Record *record)
{
	record->kind = 6;
}

static void no_key(Pl__Record *record)
{
	(void)record;
	claim_body.key = "";
}

static void key_too_long(Pl__Record *record)
{
	(void)record;
	claim_body.key = long_key;
}

static void service_too_long(Pl__Record *record)
{
	(void)record;
	claim_body.service = long_name;
}

static void bad_verdict(Pl__Record *record)
{
	(void)record;
	claim_body.verdict = VERDICT_COUNT;
}

static void entry_without_name(Pl__Record *record)
{
	record->kind = 3;
	record->body_case = PL__RECORD__BODY_ENTRY_BODY;
	record->entry_body = &entry_body;
}

static void part_past_count(Pl__Record *record)
{
	record->kind = 26;
	record->body_case = PL__RECORD__BODY_SNAPSHOT;
	record->snapshot = &snapshot_body;
	snapshot_body.part = 2;
	snapshot_body.part_count = 2;
}

static void instance_too_long(Pl__Record *record)
{
	record->kind = 8;
	record->body_case = PL__RECORD__BODY_INSTANCE;
	record->instance = &instance_body;
	instance_body.instance = long_name;
}

static void job_without_name(Pl__Record *record)
{
	record->kind = 20;
	record->body_case = PL__RECORD__BODY_JOB;
	record->job = &job_body;
}

static void config_without_file(Pl__Record *record)
{
	record->kind = 1;
	record->body_case = PL__RECORD__BODY_CONFIG;
	record->config = &config_body;
}

static void (*const record_damages[])(Pl__Record *) = {
	no_version,
	no_kind,
	no_writer,
	long_writer,
	control_character,
	bad_utf8,
	negative_time,
	far_time,
	no_body,
	other_body,
	no_key,
	key_too_long,
	service_too_long,
	bad_verdict,
	entry_without_name,
	part_past_count,
	instance_too_long,
	job_without_name,
	config_without_file,
};

/* Guards against values out of range that reach the replicated state. */
static void test_record_invalid(void)
{
	char reason[REASON_SIZE_BYTES];
	Pl__Record valid = valid_claim();
	GBytes *bytes = body_serialise(&valid.base);
	struct record *record = decode(bytes, reason);

	CU_ASSERT_PTR_NOT_NULL(record);
	record_unref(record);
	g_bytes_unref(bytes);
	for (uint32_t i = 0; i < G_N_ELEMENTS(record_damages); i++) {
		Pl__Record invalid = valid_claim();

		record_damages[i](&invalid);
		bytes = body_serialise(&invalid.base);
		reason[0] = '\0';
		CU_ASSERT_PTR_NULL(decode(bytes, reason));
		CU_ASSERT_NOT_EQUAL(reason[0], '\0');
		g_bytes_unref(bytes);
	}
}

static void unref_record(gpointer data)
{
	record_unref(data);
}

static GPtrArray *full_batch(void)
{
	GPtrArray *records = g_ptr_array_new_with_free_func(unref_record);

	for (uint32_t kind = 1; kind < RECORD_KIND_COUNT; kind++)
		g_ptr_array_add(records, full_record((enum record_kind)kind));
	return records;
}

/* Guards against records of one append that change their order. */
static void test_batch_round_trip(void)
{
	GPtrArray *records = full_batch();
	GBytes *bytes = batch_encode(records);
	char reason[REASON_SIZE_BYTES];
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);
	GPtrArray *decoded = batch_decode(data, size_bytes, reason);

	CU_ASSERT_PTR_NOT_NULL(decoded);
	if (!decoded)
		return;
	CU_ASSERT_EQUAL_FATAL(decoded->len, records->len);
	for (guint i = 0; i < records->len; i++)
		CU_ASSERT_TRUE(
			same_record(records->pdata[i], decoded->pdata[i]));
	CU_ASSERT_STRING_EQUAL(reason, "");
	g_ptr_array_unref(decoded);
	g_ptr_array_unref(records);
	g_bytes_unref(bytes);
}

/* Guards against a newer version's field that stops an older reader. */
static void test_batch_unknown_field(void)
{
	GPtrArray *records = full_batch();
	GBytes *bytes = with_unknown_field(batch_encode(records));
	char reason[REASON_SIZE_BYTES];
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);
	GPtrArray *decoded = batch_decode(data, size_bytes, reason);

	CU_ASSERT_PTR_NOT_NULL(decoded);
	if (!decoded)
		return;
	CU_ASSERT_EQUAL(decoded->len, records->len);
	CU_ASSERT_STRING_EQUAL(reason, "");
	g_ptr_array_unref(decoded);
	g_ptr_array_unref(records);
	g_bytes_unref(bytes);
}

/* Guards against an append that was changed in one bit or cut short. */
static void test_batch_damaged(void)
{
	GPtrArray *records = full_batch();
	GBytes *bytes = batch_encode(records);
	char reason[REASON_SIZE_BYTES];
	gsize size_bytes;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);
	uint8_t *copy = g_memdup2(data, size_bytes);

	for (gsize at = 0; at < size_bytes; at++) {
		CU_ASSERT_PTR_NULL(batch_decode(data, at, reason));
		/* The version may be that of a newer writer. */
		if (at == 1)
			continue;
		copy[at] ^= 1;
		CU_ASSERT_PTR_NULL(batch_decode(copy, size_bytes, reason));
		copy[at] ^= 1;
	}
	g_free(copy);
	g_ptr_array_unref(records);
	g_bytes_unref(bytes);
}

/* Guards against an invalid record that shifts the offsets of the others. */
static void test_batch_invalid_record(void)
{
	GPtrArray *records = g_ptr_array_new_with_free_func(unref_record);
	char reason[REASON_SIZE_BYTES];
	GPtrArray *decoded;
	gsize size_bytes;
	const void *data;
	GBytes *bytes;

	g_ptr_array_add(records, full_record(RECORD_CLAIM));
	g_ptr_array_add(records, record_new(RECORD_CLAIM));
	g_ptr_array_add(records, full_record(RECORD_LEASE_RENEW));
	bytes = batch_encode(records);
	data = g_bytes_get_data(bytes, &size_bytes);
	decoded = batch_decode(data, size_bytes, reason);
	CU_ASSERT_PTR_NOT_NULL(decoded);
	if (!decoded)
		return;
	CU_ASSERT_EQUAL_FATAL(decoded->len, 3);
	CU_ASSERT_EQUAL(((struct record *)decoded->pdata[1])->kind,
			RECORD_UNKNOWN);
	CU_ASSERT_EQUAL(((struct record *)decoded->pdata[2])->kind,
			RECORD_LEASE_RENEW);
	CU_ASSERT_NOT_EQUAL(reason[0], '\0');
	g_ptr_array_unref(decoded);
	g_ptr_array_unref(records);
	g_bytes_unref(bytes);
}

static struct peer_msg *full_msg(enum peer_msg_kind kind)
{
	struct peer_msg *msg = peer_msg_new(kind);
	struct peer_pool_load load = {
		.pool = "p",
		.free_slots_count = 4,
		.queued_count = 5,
		.wait_us = 6,
		.demand_us_per_s = 10,
	};

	name_copy(msg->from, sizeof(msg->from), "e1");
	msg->incarnation = 1;
	name_copy(msg->dc, sizeof(msg->dc), "dc1");
	msg->applied_offset = 2;
	msg->hlc = 3;
	msg->loads = g_array_new(FALSE, TRUE, sizeof(load));
	g_array_append_val(msg->loads, load);
	g_array_append_val(msg->loads, load);
	name_copy(msg->endpoint, sizeof(msg->endpoint), "i1");
	msg->loan_id = 7;
	msg->slots_count = 8;
	msg->join_offset = 9;
	msg->state = g_bytes_new_static("\0state", 6);
	return msg;
}

static bool same_msg(const struct peer_msg *a, const struct peer_msg *b)
{
	struct peer_msg left;
	struct peer_msg right;

	if (!b)
		return false;
	left = *a;
	right = *b;
	if (!g_bytes_equal(a->state, b->state) ||
	    a->loads->len != b->loads->len ||
	    memcmp(a->loads->data, b->loads->data,
		   a->loads->len * sizeof(struct peer_pool_load)) != 0)
		return false;
	left.state = right.state = NULL;
	left.loads = right.loads = NULL;
	return !memcmp((const void *)&left, (const void *)&right, sizeof(left));
}

/* Guards against a field that is lost or mixed up between entries. */
static void test_peer_round_trip(void)
{
	char reason[REASON_SIZE_BYTES];

	for (uint32_t kind = 1; kind < PEER_MSG_KIND_COUNT; kind++) {
		struct peer_msg *msg = full_msg((enum peer_msg_kind)kind);
		GBytes *bytes = peer_msg_encode(msg);
		gsize size_bytes;
		const void *data = g_bytes_get_data(bytes, &size_bytes);
		struct peer_msg *decoded =
			peer_msg_decode(data, size_bytes, reason);

		CU_ASSERT_PTR_NOT_NULL_FATAL(decoded);
		CU_ASSERT_TRUE(same_msg(msg, decoded));
		peer_msg_free(decoded);
		peer_msg_free(msg);
		g_bytes_unref(bytes);
	}
}

/* Guards against a message that was changed in one bit or cut short. */
static void test_peer_damaged(void)
{
	struct peer_msg *msg = full_msg(PEER_MSG_LOAN_GRANT);
	GBytes *bytes = peer_msg_encode(msg);
	char reason[REASON_SIZE_BYTES];
	gsize size_bytes;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);
	uint8_t *copy = g_memdup2(data, size_bytes);

	for (gsize at = 0; at < size_bytes; at++) {
		CU_ASSERT_PTR_NULL(peer_msg_decode(data, at, reason));
		/* The version may be that of a newer sender. */
		if (at == 1)
			continue;
		copy[at] ^= 1;
		CU_ASSERT_PTR_NULL(peer_msg_decode(copy, size_bytes, reason));
		copy[at] ^= 1;
	}
	g_free(copy);
	peer_msg_free(msg);
	g_bytes_unref(bytes);
}

static GBytes *framed(const Pl__PeerMsg *msg)
{
	GBytes *packed = with_unknown_field(body_serialise(&msg->base));
	Pl__PeerFrame frame = PL__PEER_FRAME__INIT;
	GBytes *bytes;
	gsize size_bytes;

	frame.version = msg->version;
	frame.msg.data = (uint8_t *)g_bytes_get_data(packed, &size_bytes);
	frame.msg.len = size_bytes;
	frame.hash = XXH3_64bits(frame.msg.data, frame.msg.len);
	bytes = with_unknown_field(body_serialise(&frame.base));
	g_bytes_unref(packed);
	return bytes;
}

/* Guards against a newer version's message that stops an older reader. */
static void test_peer_newer(void)
{
	static const struct {
		uint32_t wire_kind;
		enum peer_msg_kind kind;
	} newer[] = { { 9, PEER_MSG_BYE }, { 4711, PEER_MSG_UNKNOWN } };

	for (uint32_t i = 0; i < G_N_ELEMENTS(newer); i++) {
		Pl__PeerMsg from = PL__PEER_MSG__INIT;
		char reason[REASON_SIZE_BYTES];
		struct peer_msg *msg;
		gsize size_bytes;
		const void *data;
		GBytes *bytes;

		from.version = 9;
		from.kind = newer[i].wire_kind;
		from.from = "e1";
		bytes = framed(&from);
		data = g_bytes_get_data(bytes, &size_bytes);
		msg = peer_msg_decode(data, size_bytes, reason);
		CU_ASSERT_PTR_NOT_NULL(msg);
		if (!msg)
			return;
		CU_ASSERT_EQUAL(msg->kind, newer[i].kind);
		CU_ASSERT_STRING_EQUAL(msg->from, "e1");
		peer_msg_free(msg);
		g_bytes_unref(bytes);
	}
}

struct invalid_msg {
	enum peer_msg_kind kind;
	const char *from;
	const char *endpoint;
	const char *pool;
	bool has_state;
	const char *expected;
};

static const struct invalid_msg invalid_msgs[] = {
	{ PEER_MSG_HEARTBEAT, "", "", "p", false,
	  "message has no valid sender" },
	{ PEER_MSG_HEARTBEAT, "e\t1", "", "p", false,
	  "message has no valid sender" },
	{ PEER_MSG_HEARTBEAT, "e1", "", "", false,
	  "message has invalid loads" },
	{ PEER_MSG_LOAN_ASK, "e1", "", "p", false,
	  "message has no valid endpoint" },
	{ PEER_MSG_LOAN_ACK, "e1", "", "p", false,
	  "message has no valid endpoint" },
	{ PEER_MSG_STATE, "e1", "", "p", false, "message has no state" },
	{ PEER_MSG_UNKNOWN, "e1", "", "p", false,
	  "message has no version or no kind" },
};

/* Guards against messages without the fields that their kind needs. */
static void test_peer_invalid(void)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(invalid_msgs); i++) {
		const struct invalid_msg *invalid = &invalid_msgs[i];
		struct peer_msg *msg = full_msg(invalid->kind);
		char reason[REASON_SIZE_BYTES];
		gsize size_bytes;
		const void *data;
		GBytes *bytes;

		g_strlcpy(msg->from, invalid->from, sizeof(msg->from));
		g_strlcpy(msg->endpoint, invalid->endpoint,
			  sizeof(msg->endpoint));
		g_strlcpy(g_array_index(msg->loads, struct peer_pool_load, 0)
				  .pool,
			  invalid->pool, NAME_SIZE_BYTES);
		g_clear_pointer(&msg->state, g_bytes_unref);
		bytes = peer_msg_encode(msg);
		data = g_bytes_get_data(bytes, &size_bytes);
		CU_ASSERT_PTR_NULL(peer_msg_decode(data, size_bytes, reason));
		CU_ASSERT_STRING_EQUAL(reason, invalid->expected);
		peer_msg_free(msg);
		g_bytes_unref(bytes);
	}
}

static const CU_TestInfo tests[] = {
	{ "record_round_trip", test_record_round_trip },
	{ "record_truncated", test_record_truncated },
	{ "record_unknown_kind", test_record_unknown_kind },
	{ "record_unreadable_decl", test_record_unreadable_decl },
	{ "record_unknown_field", test_record_unknown_field },
	{ "record_invalid", test_record_invalid },
	{ "batch_round_trip", test_batch_round_trip },
	{ "batch_unknown_field", test_batch_unknown_field },
	{ "batch_damaged", test_batch_damaged },
	{ "batch_invalid_record", test_batch_invalid_record },
	{ "peer_round_trip", test_peer_round_trip },
	{ "peer_damaged", test_peer_damaged },
	{ "peer_newer", test_peer_newer },
	{ "peer_invalid", test_peer_invalid },
	CU_TEST_INFO_NULL,
};

static struct suite codec_suite = { .name = "codec", .tests = tests };

SUITE_REGISTER(codec_suite)
