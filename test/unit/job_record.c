/*
 * Guards against records of jobs that lose fields, that a damaged value passes
 * for, or that exceed the limit of the store.
 */

#include <math.h>
#include <string.h>

#include "codec/job_codec.h"
#include "jobs/table.h"
#include "runner/suite.h"

#define RECORD_MAX_BYTES ((size_t)256 * 1024) /* the platform's limit */

/* A job of one step. */
static struct job_spec *new_spec(uint32_t items_count)
{
	struct job_spec *spec = job_spec_new();
	struct job_step step = { .item_count = items_count, .cpu_milli = 500 };

	spec->text = g_strdup("t");
	g_array_append_val(spec->steps, step);
	return spec;
}

/* Decodes an encoded record; fatal to the test if that fails. */
static struct job_record *read_back(const char *key, GBytes *value)
{
	struct job_record *read = job_codec_decode(
		key, g_bytes_get_data(value, NULL), g_bytes_get_size(value));

	if (!read) {
		CU_FAIL_FATAL("the encoded record can't be decoded");
		abort(); /* The analyzer doesn't know that CUnit jumps out. */
	}
	return read;
}

/* Guards against losing fields, and against decoding damaged records. */
static void test_record(void)
{
	struct job_spec *spec = new_spec(3);
	struct job *job = job_new("00000000000000a1", spec);
	struct job_record *record;
	struct job_record *read;
	char **keys;
	GBytes *value;

	job_item(job, 0)->phase = ITEM_DONE;
	job_item(job, 1)->run = 4;
	job_item(job, 1)->worker = g_intern_string("w9");
	job_item(job, 1)->checkpoint = g_strdup("c");
	job->next_state = JOB_ACTIVE;
	record = job_record_progress(job, 0);
	keys = job_codec_keys(record);
	CU_ASSERT_EQUAL_FATAL(g_strv_length(keys), 1);
	value = job_codec_encode(record);
	read = read_back(keys[0], value);
	CU_ASSERT_STRING_EQUAL(read->id, job->id);
	CU_ASSERT_EQUAL(read->state, JOB_ACTIVE);
	CU_ASSERT_EQUAL(read->done->data[0], 1);
	CU_ASSERT_EQUAL(
		g_array_index(read->items, struct job_record_item, 0).run, 4);
	job_record_unref(read);
	CU_ASSERT_PTR_NULL(
		job_codec_decode(keys[0], (const uint8_t *)"\xff", 1));
	CU_ASSERT_PTR_NULL(
		job_codec_decode("j/short", (const uint8_t *)"x", 1));
	g_bytes_unref(value);
	job_record_unref(record);
	g_strfreev(keys);
	job_free(job);
	job_spec_unref(spec);
}

/*
 * Guards against records that the store refuses: those of a job with many work
 * items, each placed and with a long checkpoint.
 */
static void test_record_segments(void)
{
	struct job_spec *spec = new_spec(20000);
	struct job *job = job_new("00000000000000a1", spec);
	char worker[NAME_SIZE_BYTES];
	struct job_record *drop = job_record_new(JOB_RECORD_DROP);
	char **drop_keys;

	memset(worker, 'w', sizeof(worker) - 1);
	worker[sizeof(worker) - 1] = '\0';
	for (uint32_t i = 0; i < job->item_count; i++) {
		job_item(job, i)->run = UINT32_MAX;
		job_item(job, i)->failed_count = UINT32_MAX;
		job_item(job, i)->worker = g_intern_string(worker);
		job_item(job, i)->checkpoint =
			g_strnfill(CHECKPOINT_MAX_BYTES, 'c');
	}
	g_strlcpy(drop->id, job->id, sizeof(drop->id));
	drop->segment = job_segments_count(job);
	drop_keys = job_codec_keys(drop);
	for (uint32_t i = 0; i < job_segments_count(job); i++) {
		struct job_record *record = job_record_progress(job, i);
		char **keys = job_codec_keys(record);
		GBytes *value = job_codec_encode(record);
		struct job_record *read = read_back(keys[0], value);

		CU_ASSERT(g_bytes_get_size(value) < RECORD_MAX_BYTES);
		CU_ASSERT_STRING_EQUAL(read->id, job->id);
		CU_ASSERT_EQUAL(read->segment, i);
		CU_ASSERT_EQUAL(read->items->len, record->items->len);
		CU_ASSERT(g_strv_contains((const char *const *)drop_keys,
					  keys[0]));
		job_record_unref(read);
		g_bytes_unref(value);
		g_strfreev(keys);
		job_record_unref(record);
	}
	CU_ASSERT_PTR_NULL(job_codec_decode("s/00000000000000a1/",
					    (const uint8_t *)"", 0));
	CU_ASSERT_PTR_NULL(job_codec_decode("c/00000000000000a1/1",
					    (const uint8_t *)"x", 1));
	g_strfreev(drop_keys);
	job_record_unref(drop);
	job_free(job);
	job_spec_unref(spec);
}

/*
 * Guards against lost progress after an upgrade: the record of an earlier
 * version covers all items of the job.
 */
static void test_record_whole_job(void)
{
	struct job_table *table = job_table_new();
	struct job_record *submit = job_record_new(JOB_RECORD_SUBMIT);
	struct job_record *record = job_record_new(JOB_RECORD_PROGRESS);
	struct job_record_item placed = { .index = 250, .run = 3 };
	const struct job *job;

	submit->spec = new_spec(300);
	g_strlcpy(submit->id, "00000000000000a1", sizeof(submit->id));
	g_strlcpy(record->id, submit->id, sizeof(record->id));
	record->offset = 1;
	record->done = g_byte_array_new();
	g_byte_array_set_size(record->done, 38);
	memset(record->done->data, 0, 38);
	record->done->data[37] = 8; /* item 299 */
	record->items = g_array_new(FALSE, TRUE, sizeof(placed));
	placed.worker = g_intern_string("w1");
	g_array_append_val(record->items, placed);
	job_table_apply(table, submit, 0, false);
	job_table_apply(table, record, 0, false);
	job = job_table_find(table, submit->id);
	if (!job) {
		CU_FAIL_FATAL("the job is not known");
		abort(); /* The analyzer doesn't know that CUnit jumps out. */
	}
	CU_ASSERT_EQUAL(job->left_count, 299);
	CU_ASSERT_EQUAL(job->placed_count, 1);
	CU_ASSERT_EQUAL(job_item_view(job, 250)->run, 3);
	CU_ASSERT_EQUAL(job_item_view(job, 299)->phase, ITEM_DONE);
	job_record_unref(submit);
	job_record_unref(record);
	job_table_free(table);
}

/*
 * Guards against a gang that starts anew after an upgrade: earlier versions
 * have stored a checkpoint with each member.
 */
static void test_record_gang(void)
{
	struct job_table *table = job_table_new();
	struct job_record *submit = job_record_new(JOB_RECORD_SUBMIT);
	struct job_record *record = job_record_new(JOB_RECORD_PROGRESS);
	char *checkpoints[] = { NULL, "c1", "c2" };
	const struct job *job;

	submit->spec = new_spec(3);
	g_array_index(submit->spec->steps, struct job_step, 0).gang = true;
	g_strlcpy(submit->id, "00000000000000a1", sizeof(submit->id));
	g_strlcpy(record->id, submit->id, sizeof(record->id));
	record->offset = 1;
	record->done = g_byte_array_new();
	g_byte_array_append(record->done, (const guint8 *)"", 1);
	record->items =
		g_array_new(FALSE, TRUE, sizeof(struct job_record_item));
	for (uint32_t i = 0; i < 3; i++) {
		struct job_record_item item = { .index = i, .run = 2 };

		item.checkpoint = checkpoints[i];
		g_array_append_val(record->items, item);
	}
	job_table_apply(table, submit, 0, false);
	job_table_apply(table, record, 0, false);
	job = job_table_find(table, submit->id);
	if (!job) {
		CU_FAIL_FATAL("the job is not known");
		abort(); /* The analyzer doesn't know that CUnit jumps out. */
	}
	CU_ASSERT_EQUAL(job_checkpoint_index(job, 2), 0);
	CU_ASSERT_STRING_EQUAL(job_item_view(job, 0)->checkpoint, "c1");
	CU_ASSERT_PTR_NULL(job_item_view(job, 2)->checkpoint);
	job_record_unref(submit);
	job_record_unref(record);
	job_table_free(table);
}

/* Guards against lost names: the next holder would order them again. */
static void test_record_machines(void)
{
	struct job_record *record = job_record_new(JOB_RECORD_MACHINES);
	char **keys;
	struct job_record *read;
	GBytes *value;

	record->machines = g_ptr_array_new();
	g_ptr_array_add(record->machines, (gpointer)g_intern_string("m1"));
	g_ptr_array_add(record->machines, (gpointer)g_intern_string("m2"));
	keys = job_codec_keys(record);
	CU_ASSERT_EQUAL_FATAL(g_strv_length(keys), 1);
	value = job_codec_encode(record);
	read = read_back(keys[0], value);
	CU_ASSERT_EQUAL(read->kind, JOB_RECORD_MACHINES);
	CU_ASSERT_EQUAL_FATAL(read->machines->len, 2);
	CU_ASSERT_STRING_EQUAL(read->machines->pdata[1], "m2");
	CU_ASSERT_PTR_NULL(
		job_codec_decode(keys[0], (const uint8_t *)"\xff", 1));
	job_record_unref(read);
	g_bytes_unref(value);
	job_record_unref(record);
	g_strfreev(keys);
}

/* Guards against a failed claim that overwrites the holder's last step. */
static void test_record_claim(void)
{
	struct job_record *record = job_record_new(JOB_RECORD_HOLDER);
	char **keys;
	char **renew_keys;
	struct job_record *read;
	GBytes *value;

	g_strlcpy(record->entry, "e1", sizeof(record->entry));
	record->token = 7;
	record->action = HOLDER_CLAIM;
	keys = job_codec_keys(record);
	CU_ASSERT_EQUAL_FATAL(g_strv_length(keys), 1);
	value = job_codec_encode(record);
	record->action = HOLDER_RENEW;
	record->earlier_ended = true;
	renew_keys = job_codec_keys(record);
	CU_ASSERT_EQUAL_FATAL(g_strv_length(renew_keys), 1);
	CU_ASSERT_STRING_NOT_EQUAL(keys[0], renew_keys[0]);
	read = read_back(keys[0], value);
	CU_ASSERT_EQUAL(read->action, HOLDER_CLAIM);
	CU_ASSERT_EQUAL(read->token, 7);
	CU_ASSERT_STRING_EQUAL(read->entry, "e1");
	CU_ASSERT_FALSE(read->earlier_ended);
	job_record_unref(read);
	g_bytes_unref(value);
	value = job_codec_encode(record);
	read = read_back(renew_keys[0], value);
	CU_ASSERT_EQUAL(read->action, HOLDER_RENEW);
	CU_ASSERT_TRUE(read->earlier_ended);
	job_record_unref(read);
	g_bytes_unref(value);
	job_record_unref(record);
	g_strfreev(keys);
	g_strfreev(renew_keys);
}

/*
 * Guards against losing the CPU share: an entry instance with little CPU would
 * hold jobs.
 */
static void test_record_entry(void)
{
	struct job_record *record = job_record_new(JOB_RECORD_ENTRY);
	char **keys;
	struct job_record *read;
	GBytes *value;

	g_strlcpy(record->entry, "e1", sizeof(record->entry));
	record->cpu_milli = 120;
	keys = job_codec_keys(record);
	CU_ASSERT_EQUAL_FATAL(g_strv_length(keys), 1);
	value = job_codec_encode(record);
	read = read_back(keys[0], value);
	CU_ASSERT_EQUAL(read->kind, JOB_RECORD_ENTRY);
	CU_ASSERT_STRING_EQUAL(read->entry, "e1");
	CU_ASSERT_EQUAL(read->cpu_milli, 120);
	job_record_unref(read);
	g_bytes_unref(value);
	job_record_unref(record);
	g_strfreev(keys);
}

static struct job_record *new_submission(void)
{
	struct job_record *record = job_record_new(JOB_RECORD_SUBMIT);

	g_strlcpy(record->id, "00000000000000a1", sizeof(record->id));
	record->spec = new_spec(1);
	record->policy = (struct queue_policy){
		.priority = 2,
		.attempts_max = 4,
		.slack_factor = 2.5,
		.target_us = 600000,
		.needs_advice = true,
		.advice_decision_us = 30000,
		.advice_period_us = 4000,
	};
	g_strlcpy(record->member, "a", sizeof(record->member));
	record->member_policy = (struct member_policy){
		.priority = 1,
		.weight_milli = 2500,
		.cpu_max_milli = 8000,
		.mem_max_mb = 900,
		.gpu_max_count = 3,
	};
	return record;
}

/*
 * Guards against stored jobs that lack what their queue and their member say of
 * them: it is known from nowhere else once these are removed.
 */
static void test_record_policy(void)
{
	struct job_record *record = new_submission();
	GBytes *value = job_codec_encode(record);
	struct job_record *read = read_back("j/00000000000000a1", value);

	CU_ASSERT_EQUAL(read->policy.priority, 2);
	CU_ASSERT_EQUAL(read->policy.attempts_max, 4);
	CU_ASSERT_EQUAL(read->policy.slack_factor, 2.5);
	CU_ASSERT_EQUAL(read->policy.target_us, 600000);
	CU_ASSERT_TRUE(read->policy.needs_advice);
	CU_ASSERT_EQUAL(read->policy.advice_decision_us, 30000);
	CU_ASSERT_EQUAL(read->policy.advice_period_us, 4000);
	CU_ASSERT_STRING_EQUAL(read->member, "a");
	CU_ASSERT_EQUAL(read->member_policy.priority, 1);
	CU_ASSERT_EQUAL(read->member_policy.weight_milli, 2500);
	CU_ASSERT_EQUAL(read->member_policy.cpu_max_milli, 8000);
	CU_ASSERT_EQUAL(read->member_policy.mem_max_mb, 900);
	CU_ASSERT_EQUAL(read->member_policy.gpu_max_count, 3);
	job_record_unref(read);
	g_bytes_unref(value);
	job_record_unref(record);
}

static bool policy_is_decoded(const struct queue_policy *policy)
{
	struct job_record *record = new_submission();
	struct job_record *read;
	GBytes *value;

	record->policy = *policy;
	value = job_codec_encode(record);
	read = job_codec_decode("j/00000000000000a1",
				g_bytes_get_data(value, NULL),
				g_bytes_get_size(value));
	g_bytes_unref(value);
	job_record_unref(record);
	if (!read)
		return false;
	job_record_unref(read);
	return true;
}

/* Guards against overflows by times and factors of a damaged record. */
static void test_record_policy_range(void)
{
	static const struct queue_policy invalid[] = {
		{ .slack_factor = NAN },
		{ .slack_factor = -1. },
		{ .slack_factor = 2 * SLACK_FACTOR_MAX },
		{ .target_us = -1 },
		{ .target_us = QUEUE_DURATION_MAX_US + 1 },
		{ .advice_decision_us = INT64_MAX },
		{ .advice_period_us = INT64_MIN },
	};

	CU_ASSERT_TRUE(policy_is_decoded(&(struct queue_policy){ 0 }));
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		CU_ASSERT_FALSE(policy_is_decoded(&invalid[i]));
}

static const CU_TestInfo tests[] = {
	{ "record", test_record },
	{ "record of each segment", test_record_segments },
	{ "record of a whole job", test_record_whole_job },
	{ "record of a gang of an earlier version", test_record_gang },
	{ "record of machines", test_record_machines },
	{ "record of a claim", test_record_claim },
	{ "record of an entry instance", test_record_entry },
	{ "record of a submission", test_record_policy },
	{ "submission out of range", test_record_policy_range },
	CU_TEST_INFO_NULL,
};

static struct suite record_suite = { .name = "job record", .tests = tests };

SUITE_REGISTER(record_suite)
