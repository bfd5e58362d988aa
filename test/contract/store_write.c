/*
 * Writes to the platform's store, which leaves some requests unanswered and
 * limits the size of an append.
 */

#include "contract/fake_http.h"
#include "contract/harness.h"
#include "jobs/msg.h"
#include "platform/node.h"
#include "runner/suite.h"

#define REQUESTS_COUNT 5
#define BATCH_MAX_BYTES 400
/* A cancellation: length, length of the key, key, value */
#define RECORD_BYTES (4 + 1 + 18 + 1)

struct store_test {
	struct harness *harness;
	struct fake_http *fake;
	const bool *answers;	   /* by request: whether it is answered */
	unsigned int first_status; /* of the first answer; 0: success */
	bool reads_succeed;	   /* while appends wait */
	int64_t delay_us;	   /* of the answers */
	uint32_t request_count;
	int64_t start_us; /* before the first write */
	int64_t request_us[REQUESTS_COUNT];
	char *targets[REQUESTS_COUNT];
	gsize body_size_bytes[REQUESTS_COUNT];
};

static void answer_read(struct store_test *test)
{
	struct store_read *read = store_read_new();
	struct event event = { .type = EVENT_STORE_READ };

	read->reachable = true;
	event.msg = read;
	harness_emit(test->harness, &event);
}

static void handle(void *data, const struct fake_request *request,
		   struct fake_reply *reply)
{
	struct store_test *test = data;

	if (test->request_count >= REQUESTS_COUNT) {
		reply->action = FAKE_HANG;
		return;
	}
	test->request_us[test->request_count] = g_get_monotonic_time();
	test->targets[test->request_count] = g_strdup(request->target);
	test->body_size_bytes[test->request_count] = request->body_size_bytes;
	if (test->reads_succeed)
		answer_read(test);
	reply->delay_us = test->delay_us;
	if (!test->request_count)
		reply->status = test->first_status;
	if (test->answers[test->request_count++])
		reply->body = g_strdup("{\"offset\": 0, \"end_offset\": 1}");
	else
		reply->action = FAKE_HANG;
}

static struct store_test *test_new(const bool *answers, bool reads_succeed)
{
	struct store_test *test = g_new0(struct store_test, 1);
	struct node *node = g_new0(struct node, 1);

	test->answers = answers;
	test->reads_succeed = reads_succeed;
	test->harness = harness_new("e1");
	test->fake = fake_http_new(test->harness->ev, handle, test);
	g_strlcpy(node->name, "e1", sizeof(node->name));
	g_strlcpy(node->store_address, fake_http_address(test->fake),
		  sizeof(node->store_address));
	node->bounds.record_max_bytes = BATCH_MAX_BYTES;
	node->bounds.batch_max_bytes = BATCH_MAX_BYTES;
	node_set(node);
	harness_start(test->harness, PLUGIN_PLATFORM, "store_write");
	test->start_us = g_get_monotonic_time();
	return test;
}

static void test_free(struct store_test *test)
{
	kernel_free(test->harness->kernel);
	test->harness->kernel = NULL;
	fake_http_free(test->fake);
	harness_free(test->harness);
	node_set(NULL);
	for (uint32_t i = 0; i < REQUESTS_COUNT; i++)
		g_free(test->targets[i]);
	g_free(test);
}

/* Writes a cancellation and waits until all writes have completed. */
static void write_one(struct store_test *test, uint32_t written_count)
{
	struct store_write *write = store_write_new(STORE_WRITER_ENTRY);
	struct job_record *record = job_record_new(JOB_RECORD_CANCEL);
	struct event event = { .type = EVENT_STORE_WRITE };
	const struct store_write *written;

	g_strlcpy(record->id, "00000000000000a1", sizeof(record->id));
	g_ptr_array_add(write->records, record);
	event.msg = write;
	harness_emit(test->harness, &event);
	harness_run_until(test->harness, EVENT_STORE_WRITTEN, written_count);
	written = harness_event(test->harness, EVENT_STORE_WRITTEN,
				written_count - 1)
			  ->msg;
	CU_ASSERT_EQUAL(written->result, STORE_WRITTEN);
	/* The time of the answered attempt only. */
	CU_ASSERT(written->took_us >= test->delay_us - USEC_PER_MSEC);
	CU_ASSERT(written->took_us < 700 * USEC_PER_MSEC);
}

/*
 * Guards against retries at a fixed interval of 700 ms while the store is
 * slow: with many writers, the retries crowded out all first appends. And
 * against a backoff that is not reset once the store is fast again.
 */
static void test_repeats_later(void)
{
	static const bool answers[REQUESTS_COUNT] = { false, false, true, false,
						      true };
	struct store_test *test = test_new(answers, true);

	write_one(test, 1);
	CU_ASSERT_EQUAL(test->request_count, 3);
	/* Unchanged, so that the store recognises the retries. */
	CU_ASSERT_STRING_EQUAL(test->targets[0], test->targets[1]);
	CU_ASSERT_STRING_EQUAL(test->targets[0], test->targets[2]);
	/* From start_us, as a request may be sent long before it is read. */
	CU_ASSERT(test->request_us[1] - test->start_us >= 700 * USEC_PER_MSEC);
	CU_ASSERT(test->request_us[2] - test->start_us >=
		  (700 + 1400) * USEC_PER_MSEC);
	write_one(test, 2);
	CU_ASSERT_EQUAL(test->request_count, REQUESTS_COUNT);
	CU_ASSERT_STRING_NOT_EQUAL(test->targets[2], test->targets[3]);
	CU_ASSERT(test->request_us[4] - test->request_us[3] < 2 * USEC_PER_SEC);
	test_free(test);
}

/*
 * Guards against a long backoff after an append to a store that was down: that
 * append is never answered, even when the store is up again.
 */
static void test_repeats_soon(void)
{
	static const bool answers[REQUESTS_COUNT] = { false, false, false,
						      true };
	struct store_test *test = test_new(answers, false);

	write_one(test, 1);
	CU_ASSERT_EQUAL(test->request_count, 4);
	CU_ASSERT(test->request_us[3] - test->request_us[0] <
		  3500 * USEC_PER_MSEC);
	test_free(test);
}

/* Guards against write pauses based on no latency or a wrong one. */
static void test_latency(void)
{
	static const bool answers[REQUESTS_COUNT] = { true };
	struct store_test *test = test_new(answers, false);

	test->delay_us = 200 * USEC_PER_MSEC;
	write_one(test, 1);
	test_free(test);
}

/* Emits a write of so many cancellations. */
static void emit_write(struct store_test *test, enum store_writer writer,
		       uint32_t records_count)
{
	struct store_write *write = store_write_new(writer);
	struct event event = { .type = EVENT_STORE_WRITE };

	write->token = 7;
	for (uint32_t i = 0; i < records_count; i++) {
		struct job_record *record = job_record_new(JOB_RECORD_CANCEL);

		g_snprintf(record->id, sizeof(record->id), "%016x", i);
		g_ptr_array_add(write->records, record);
	}
	event.msg = write;
	harness_emit(test->harness, &event);
}

static enum store_result written_result(struct store_test *test,
					uint32_t written_count)
{
	const struct store_write *written;

	harness_run_until(test->harness, EVENT_STORE_WRITTEN, written_count);
	written = harness_event(test->harness, EVENT_STORE_WRITTEN,
				written_count - 1)
			  ->msg;
	return written->result;
}

/*
 * Guards against appends that exceed the store's limit: it refuses them each
 * time, and nothing else of the holder is stored any more.
 */
static void test_splits(void)
{
	static const bool answers[REQUESTS_COUNT] = { true, true, true, true,
						      true };
	struct store_test *test = test_new(answers, false);
	gsize total_bytes = 0;

	emit_write(test, STORE_WRITER_HOLDER, 40);
	CU_ASSERT_EQUAL(written_result(test, 1), STORE_WRITTEN);
	CU_ASSERT_EQUAL(test->request_count, 3);
	for (uint32_t i = 0; i < test->request_count; i++) {
		CU_ASSERT(test->body_size_bytes[i] <= BATCH_MAX_BYTES);
		CU_ASSERT(g_str_has_suffix(
			test->targets[i],
			(const char *const[]){ "seq=0", "seq=1",
					       "seq=2" }[i % 3]));
		total_bytes += test->body_size_bytes[i];
	}
	CU_ASSERT_EQUAL(total_bytes, (gsize)40 * RECORD_BYTES);
	/* Of a caller's write, no part is stored without the others. */
	emit_write(test, STORE_WRITER_ENTRY, 40);
	CU_ASSERT_EQUAL(written_result(test, 2), STORE_NOT_WRITTEN);
	CU_ASSERT_EQUAL(test->request_count, 3);
	test_free(test);
}

/*
 * Guards against an append that is repeated for ever though the store refuses
 * it each time: the holder's renewals wait behind it.
 */
static void test_refused(void)
{
	static const bool answers[REQUESTS_COUNT] = { true, true };
	struct store_test *test = test_new(answers, false);

	test->first_status = 400;
	emit_write(test, STORE_WRITER_HOLDER, 1);
	CU_ASSERT_EQUAL(written_result(test, 1), STORE_NOT_WRITTEN);
	CU_ASSERT_EQUAL(test->request_count, 1);
	emit_write(test, STORE_WRITER_HOLDER, 1);
	CU_ASSERT_EQUAL(written_result(test, 2), STORE_WRITTEN);
	CU_ASSERT_EQUAL(test->request_count, 2);
	/* The refused append has used no sequence number. */
	CU_ASSERT_STRING_EQUAL(test->targets[0], test->targets[1]);
	test_free(test);
}

static const CU_TestInfo tests[] = {
	{ "repeats_later", test_repeats_later },
	{ "repeats_soon", test_repeats_soon },
	{ "latency", test_latency },
	{ "splits", test_splits },
	{ "refused", test_refused },
	CU_TEST_INFO_NULL,
};

static struct suite store_suite = { .name = "store_write", .tests = tests };

SUITE_REGISTER(store_suite)
