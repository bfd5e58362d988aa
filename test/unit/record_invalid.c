/* Records that can be encoded although one of their values is invalid. */

#include <string.h>

#include "codec/proto/record.pb-c.h"
#include "codec/record_body.h"
#include "codec/record_codec.h"
#include "runner/suite.h"

static char long_name[NAME_SIZE_BYTES + 1];
static char long_key[KEY_SIZE_BYTES + 1];

static Pl__ClaimBody claim_body = PL__CLAIM_BODY__INIT;
static Pl__EntryBody entry_body = PL__ENTRY_BODY__INIT;
static Pl__SnapshotBody snapshot_body = PL__SNAPSHOT_BODY__INIT;
static Pl__InstanceBody instance_body = PL__INSTANCE_BODY__INIT;
static Pl__JobBody job_body = PL__JOB_BODY__INIT;
static Pl__ConfigBody config_body = PL__CONFIG_BODY__INIT;

/* A valid claim, which each test case makes invalid by one change. */
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

static void time_too_large(Pl__Record *record)
{
	record->wall_us = INT64_MAX;
}

static void no_body(Pl__Record *record)
{
	record->body_case = PL__RECORD__BODY__NOT_SET;
}

static void wrong_body(Pl__Record *record)
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

static void (*const mutations[])(Pl__Record *) = {
	no_version,
	no_kind,
	no_writer,
	long_writer,
	control_character,
	bad_utf8,
	negative_time,
	time_too_large,
	no_body,
	wrong_body,
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

static struct record *encode_and_decode(const Pl__Record *encoded, char *reason)
{
	GBytes *bytes = body_serialise(&encoded->base);
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);
	struct record *record = record_decode(data, size_bytes, reason);

	g_bytes_unref(bytes);
	return record;
}

/* Guards against invalid values that reach the replicated state. */
static void test_record_invalid(void)
{
	char reason[REASON_SIZE_BYTES];
	Pl__Record valid = valid_claim();
	struct record *record = encode_and_decode(&valid, reason);

	CU_ASSERT_PTR_NOT_NULL(record);
	record_unref(record);
	for (uint32_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
		Pl__Record invalid = valid_claim();

		mutations[i](&invalid);
		reason[0] = '\0';
		CU_ASSERT_PTR_NULL(encode_and_decode(&invalid, reason));
		CU_ASSERT_NOT_EQUAL(reason[0], '\0');
	}
}

static const CU_TestInfo tests[] = {
	{ "record_invalid", test_record_invalid },
	CU_TEST_INFO_NULL,
};

static struct suite record_invalid_suite = {
	.name = "record_invalid",
	.tests = tests,
};

SUITE_REGISTER(record_invalid_suite)
