/* Encodings of records and of messages between entry instances. */

#include <string.h>

#include <xxhash.h>

#include "codec/peer_codec.h"
#include "codec/proto/peer.pb-c.h"
#include "codec/proto/record.pb-c.h"
#include "codec/record_body.h"
#include "codec/record_codec.h"
#include "runner/suite.h"
#include "unit/codec_sample.h"

static struct record *decode(GBytes *bytes, char *reason)
{
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);

	return record_decode(data, size_bytes, reason);
}

/* Guards against a field that is lost or swapped by encoding a record. */
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

/* Guards against a truncated record that is decoded as a valid one. */
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

/* Guards against rejecting a record kind that a newer version has added. */
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

/* Guards against rejecting a record with declarations of a newer version. */
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

/* Field 100 with the value 1: a newer version may add unknown fields. */
static const uint8_t unknown_field[] = { 0xa0, 0x06, 0x01 };

static GBytes *with_unknown_field(GBytes *bytes)
{
	GByteArray *array = g_bytes_unref_to_array(bytes);

	g_byte_array_append(array, unknown_field, sizeof(unknown_field));
	return g_byte_array_free_to_bytes(array);
}

/* Guards against rejecting a record field that a newer version has added. */
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

/* Guards against records of one append that are reordered. */
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

/* Guards against rejecting a batch field that a newer version has added. */
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

typedef void *decode_fn(const void *data, size_t size_bytes, char *reason);

/* Truncates a message or flips one bit of a byte: decoding must fail. */
static void check_damage(GBytes *bytes, decode_fn *decode_one)
{
	char reason[REASON_SIZE_BYTES];
	gsize size_bytes;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);
	uint8_t *copy = g_memdup2(data, size_bytes);

	for (gsize at = 0; at < size_bytes; at++) {
		CU_ASSERT_PTR_NULL(decode_one(data, at, reason));
		/* Byte 1 is the version: any other one is valid as well. */
		if (at == 1)
			continue;
		copy[at] ^= 1;
		CU_ASSERT_PTR_NULL(decode_one(copy, size_bytes, reason));
		copy[at] ^= 1;
	}
	g_free(copy);
}

static void *decode_batch(const void *data, size_t size_bytes, char *reason)
{
	return batch_decode(data, size_bytes, reason);
}

static void *decode_peer_msg(const void *data, size_t size_bytes, char *reason)
{
	return peer_msg_decode(data, size_bytes, reason);
}

/* Guards against decoding a batch with a flipped bit or a missing end. */
static void test_batch_damaged(void)
{
	GPtrArray *records = full_batch();
	GBytes *bytes = batch_encode(records);

	check_damage(bytes, decode_batch);
	g_ptr_array_unref(records);
	g_bytes_unref(bytes);
}

/* Guards against dropping an invalid record, which would shift offsets. */
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

/* Guards against a field that is lost or swapped by encoding a message. */
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

/* Guards against decoding a message with a flipped bit or a missing end. */
static void test_peer_damaged(void)
{
	struct peer_msg *msg = full_msg(PEER_MSG_LOAN_GRANT);
	GBytes *bytes = peer_msg_encode(msg);

	check_damage(bytes, decode_peer_msg);
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

/* Guards against rejecting a message of a newer version. */
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

/* Guards against messages that lack a field that their kind requires. */
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
