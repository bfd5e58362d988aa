/* Writes to the platform's store, against a server that does not answer. */

#include "contract/bench.h"
#include "contract/fake_http.h"
#include "jobs/msg.h"
#include "platform/node.h"
#include "runner/suite.h"

#define HANG_COUNT 2

struct store_test {
	struct bench *bench;
	struct fake_http *fake;
	uint32_t request_count;
	int64_t request_us[HANG_COUNT + 1];
	char *targets[HANG_COUNT + 1];
};

/* The last of the requests is answered. */
static void handle(void *data, const struct fake_request *request,
		   struct fake_reply *reply)
{
	struct store_test *test = data;

	if (test->request_count <= HANG_COUNT) {
		test->request_us[test->request_count] = g_get_monotonic_time();
		test->targets[test->request_count] = g_strdup(request->target);
	}
	if (test->request_count++ < HANG_COUNT)
		reply->action = FAKE_HANG;
	else
		reply->body = g_strdup("{\"offset\": 0, \"end_offset\": 1}");
}

static struct store_test *test_new(void)
{
	struct store_test *test = g_new0(struct store_test, 1);
	struct node *node = g_new0(struct node, 1);

	test->bench = bench_new("e1");
	test->fake = fake_http_new(test->bench->ev, handle, test);
	g_strlcpy(node->name, "e1", sizeof(node->name));
	g_strlcpy(node->store_address, fake_http_address(test->fake),
		  sizeof(node->store_address));
	node_set(node);
	bench_start(test->bench, PLUGIN_PLATFORM, "store_write");
	return test;
}

static void test_free(struct store_test *test)
{
	kernel_free(test->bench->kernel);
	test->bench->kernel = NULL;
	fake_http_free(test->fake);
	bench_free(test->bench);
	node_set(NULL);
	for (uint32_t i = 0; i <= HANG_COUNT; i++)
		g_free(test->targets[i]);
	g_free(test);
}

/*
 * Guards against appends that are repeated every 700 ms while the store is
 * slow: with many writers, their repeats left room for no first append.
 */
static void repeats_later(void)
{
	struct store_test *test = test_new();
	struct store_write *write = store_write_new(STORE_WRITER_ENTRY);
	struct job_record *record = job_record_new(JOB_RECORD_CANCEL);
	struct event event = { .type = EVENT_STORE_WRITE };
	const struct store_write *written;

	g_strlcpy(record->id, "00000000000000a1", sizeof(record->id));
	g_ptr_array_add(write->records, record);
	event.msg = write;
	bench_emit(test->bench, &event);
	bench_run(test->bench, EVENT_STORE_WRITTEN, 1);
	written = bench_event(test->bench, EVENT_STORE_WRITTEN, 0)->msg;
	CU_ASSERT_EQUAL(written->result, STORE_DONE);
	CU_ASSERT_EQUAL(test->request_count, HANG_COUNT + 1);
	/* Unchanged, so that the store recognises the repeats. */
	CU_ASSERT_STRING_EQUAL(test->targets[0], test->targets[1]);
	CU_ASSERT_STRING_EQUAL(test->targets[0], test->targets[2]);
	CU_ASSERT(test->request_us[1] - test->request_us[0] >=
		  700 * USEC_PER_MSEC);
	CU_ASSERT(test->request_us[2] - test->request_us[1] >=
		  1400 * USEC_PER_MSEC);
	test_free(test);
}

static const CU_TestInfo tests[] = {
	{ "repeats_later", repeats_later },
	CU_TEST_INFO_NULL,
};

static struct suite store_suite = { .name = "store_write", .tests = tests };

SUITE_REGISTER(store_suite)
