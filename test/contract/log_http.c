/* The client of the platform's log against a faulty server. */

#include <string.h>

#include "codec/record_codec.h"
#include "contract/harness.h"
#include "io/log_wire.h"
#include "runner/suite.h"

struct log_test {
	struct harness *harness;
	struct fake_http *fake;
	struct fake_reply append; /* the reply to each append */
	const char *const *reads; /* one after another; the last one repeats */
	uint32_t read_count;
	bool hang_polls; /* long polls get no answer */
	char *last_target;
	GByteArray *last_append;
};

static void handle(void *data, const struct fake_request *request,
		   struct fake_reply *reply)
{
	struct log_test *test = data;

	if (!strcmp(request->method, "POST")) {
		g_byte_array_set_size(test->last_append, 0);
		g_byte_array_append(test->last_append, request->body,
				    (guint)request->body_size_bytes);
		*reply = test->append;
		reply->body = g_strdup(reply->body);
		return;
	}
	if (!test->reads || !test->reads[test->read_count] ||
	    (test->hang_polls && !g_str_has_suffix(request->target, "=0"))) {
		reply->action = FAKE_HANG;
		return;
	}
	g_free(test->last_target);
	test->last_target = g_strdup(request->target);
	reply->body = g_strdup(test->reads[test->read_count++]);
	if (!strcmp(reply->body, "close"))
		reply->action = FAKE_CLOSE;
	else if (!strcmp(reply->body, "500"))
		reply->status = 500;
}

static struct log_test *test_new(const char *const *reads)
{
	struct log_test *test = g_new0(struct log_test, 1);

	test->harness = harness_new("e1");
	test->fake = fake_http_new(test->harness->ev, handle, test);
	test->reads = reads;
	test->last_append = g_byte_array_new();
	name_copy(test->harness->settings->log_address, ADDRESS_SIZE_BYTES,
		  fake_http_address(test->fake));
	harness_start(test->harness, PLUGIN_LOG, "http");
	return test;
}

static void test_free(struct log_test *test)
{
	kernel_free(test->harness->kernel);
	test->harness->kernel = NULL;
	fake_http_free(test->fake);
	harness_free(test->harness);
	g_free(test->last_target);
	g_byte_array_unref(test->last_append);
	g_free(test);
}

static void unref_record(gpointer data)
{
	record_unref(data);
}

static struct record *renewal(uint64_t sequence)
{
	struct record *record = record_new(RECORD_LEASE_RENEW);

	name_copy(record->id.entry, sizeof(record->id.entry), "e1");
	record->id.incarnation = 1;
	record->id.sequence = sequence;
	return record;
}

/* Appends two records and returns the resulting event. */
static const struct event *append(struct log_test *test)
{
	uint32_t seen_count = test->harness->seen_counts[EVENT_LOG_APPENDED];
	struct event event = { .type = EVENT_LOG_APPEND };

	event.append.append_id = 7 + seen_count;
	event.append.records = g_ptr_array_new_with_free_func(unref_record);
	g_ptr_array_add(event.append.records, renewal(1));
	g_ptr_array_add(event.append.records, renewal(2));
	harness_emit(test->harness, &event);
	harness_run_until(test->harness, EVENT_LOG_APPENDED, seen_count + 1);
	return harness_event(test->harness, EVENT_LOG_APPENDED, seen_count);
}

struct append_case {
	enum fake_action action;
	unsigned int status;
	const char *body;
	enum append_result expected;
};

static const struct append_case append_cases[] = {
	{ FAKE_ANSWER, 200, "{\"offset\":5}", APPEND_OK },
	{ FAKE_ANSWER, 400, "", APPEND_NOT_STORED },
	{ FAKE_ANSWER, 413, "", APPEND_NOT_STORED },
	{ FAKE_ANSWER, 503, "{\"taken\":false}", APPEND_NOT_STORED },
	{ FAKE_ANSWER, 503, "", APPEND_UNKNOWN },
	{ FAKE_ANSWER, 503, "{\"taken\":true}", APPEND_UNKNOWN },
	{ FAKE_ANSWER, 500, "", APPEND_UNKNOWN },
	{ FAKE_ANSWER, 200, "{\"offset\":0}", APPEND_UNKNOWN },
	{ FAKE_ANSWER, 200, "{\"offset\":-1}", APPEND_UNKNOWN },
	{ FAKE_ANSWER, 200, "{\"offset\":\"5\"}", APPEND_UNKNOWN },
	{ FAKE_ANSWER, 200, "{\"offset\":9223372036854775807}",
	  APPEND_UNKNOWN },
	{ FAKE_ANSWER, 200, "5", APPEND_UNKNOWN },
	{ FAKE_ANSWER, 200, "", APPEND_UNKNOWN },
	{ FAKE_TRUNCATE, 200, "{\"offset\":5}", APPEND_UNKNOWN },
	{ FAKE_CLOSE, 0, NULL, APPEND_UNKNOWN },
};

/*
 * Guards against repeating an append that took effect, and against waiting
 * for one that did not.
 */
static void test_append(void)
{
	struct log_test *test = test_new(NULL);
	const struct event *appended;
	char reason[REASON_SIZE_BYTES];
	GPtrArray *records;

	for (uint32_t i = 0; i < G_N_ELEMENTS(append_cases); i++) {
		test->append.action = append_cases[i].action;
		test->append.status = append_cases[i].status;
		test->append.body = (char *)append_cases[i].body;
		appended = append(test);
		CU_ASSERT_EQUAL(appended->append.append_id, 7 + i);
		CU_ASSERT_EQUAL(appended->append.result,
				append_cases[i].expected);
		records = batch_decode(test->last_append->data,
				       test->last_append->len, reason);
		CU_ASSERT_PTR_NOT_NULL(records);
		if (!records)
			break;
		CU_ASSERT_EQUAL(records->len, 2);
		g_ptr_array_unref(records);
	}
	appended = harness_event(test->harness, EVENT_LOG_APPENDED, 0);
	CU_ASSERT_EQUAL(appended->append.first_offset, 5 * 128 - 1);
	fake_http_listen(test->fake, false);
	appended = append(test);
	CU_ASSERT_EQUAL(appended->append.result, APPEND_NOT_STORED);
	test_free(test);
}

/* {"offset":N,"data":...} of a batch of record_count records. */
static char *item(uint64_t offset, uint32_t record_count)
{
	GPtrArray *records = g_ptr_array_new_with_free_func(unref_record);
	gsize size_bytes;
	const guchar *data;
	GBytes *bytes;
	char *text;
	char *item;

	for (uint32_t i = 0; i < record_count; i++)
		g_ptr_array_add(records, renewal(i + 1));
	bytes = batch_encode(records);
	data = g_bytes_get_data(bytes, &size_bytes);
	text = g_base64_encode(data, size_bytes);
	item = g_strdup_printf("{\"offset\":%" G_GUINT64_FORMAT
			       ",\"data\":\"%s\"}",
			       offset, text);
	g_free(text);
	g_bytes_unref(bytes);
	g_ptr_array_unref(records);
	return item;
}

static const struct event_record *read_back(const struct log_test *test,
					    uint32_t index)
{
	static const struct event_record none;
	const struct event *event =
		harness_event(test->harness, EVENT_LOG_RECORD, index);

	return event ? &event->record : &none;
}

/* Guards against offsets that decrease, repeat or hide a gap. */
static void test_read(void)
{
	char *one = item(1, 1);
	char *two = item(2, 3);
	char *nine = item(9, 2);
	char *first = g_strdup_printf(
		"{\"first\":1,\"next\":3,\"records\":[%s,%s]}", one, two);
	char *again = g_strdup_printf("{\"first\":2,\"next\":4,\"records\":[%s,"
				      "{\"offset\":3,\"data\":\"AAAA\"}]}",
				      two);
	char *trimmed = g_strdup_printf(
		"{\"first\":8,\"next\":10,\"records\":[%s]}", nine);
	const char *const reads[] = { first, again, trimmed, NULL };
	static const struct {
		uint64_t offset;
		uint64_t previous_offset;
	} expected[] = {
		{ 128, 0 },   { 254, 128 },  { 255, 254 },   { 256, 255 },
		{ 384, 256 }, { 1151, 896 }, { 1152, 1151 },
	};
	struct log_test *test = test_new(reads);

	harness_run_until(test->harness, EVENT_LOG_RECORD,
			  G_N_ELEMENTS(expected));
	for (uint32_t i = 0; i < G_N_ELEMENTS(expected); i++) {
		const struct event_record *record = read_back(test, i);

		CU_ASSERT_EQUAL(record->offset, expected[i].offset);
		CU_ASSERT_EQUAL(record->previous_offset,
				expected[i].previous_offset);
	}
	CU_ASSERT_EQUAL(read_back(test, 4)->record->kind, RECORD_UNKNOWN);
	CU_ASSERT_EQUAL(read_back(test, 3)->record->id.sequence, 3);
	CU_ASSERT_EQUAL(counter_get(kernel_counters(test->harness->kernel),
				    "log_damaged_total"),
			1);
	test_free(test);
	g_free(one);
	g_free(two);
	g_free(nine);
	g_free(first);
	g_free(again);
	g_free(trimmed);
}

static const struct event_log *state(const struct log_test *test,
				     uint32_t index)
{
	const struct event *event =
		harness_event(test->harness, EVENT_LOG_STATE, index);

	CU_ASSERT_PTR_NOT_NULL_FATAL(event);
	return &event->log;
}

/* Guards against an outage or a recovery that is not reported. */
static void test_state(void)
{
	static const char *const reads[] = {
		"{\"first\":1,\"next\":1,\"records\":[]}",
		"close",
		"{\"first\":1,\"next\":5,\"records\":[]}",
		"{\"first\":3,\"next\":5,\"records\":[]}",
		"500",
		"{\"first\":3,\"next\":0,\"records\":[]}",
		"close",
		"{\"first\":4,\"next\":6,\"records\":[]}",
		NULL,
	};
	struct log_test *test = test_new(reads);

	harness_run_until(test->harness, EVENT_LOG_STATE, 4);
	/* The next offset of an empty log is its first one. */
	CU_ASSERT_TRUE(state(test, 0)->reachable);
	CU_ASSERT_EQUAL(state(test, 0)->first_offset, 1);
	CU_ASSERT_EQUAL(state(test, 0)->next_offset, 1);
	/* One failed read is no outage; trimming is reported. */
	CU_ASSERT_TRUE(state(test, 1)->reachable);
	CU_ASSERT_EQUAL(state(test, 1)->first_offset, 257);
	CU_ASSERT_EQUAL(state(test, 1)->next_offset, 513);
	CU_ASSERT_FALSE(state(test, 2)->reachable);
	CU_ASSERT_TRUE(state(test, 3)->reachable);
	CU_ASSERT_EQUAL(state(test, 3)->first_offset, 385);
	CU_ASSERT_EQUAL(state(test, 3)->next_offset, 641);
	test_free(test);
}

/* Guards against reporting a log end from before the query. */
static void test_ask(void)
{
	static const char *const reads[] = {
		"{\"first\":1,\"next\":1,\"records\":[]}",
		"{\"first\":1,\"next\":9,\"records\":[]}",
		NULL,
	};
	struct log_test *test = test_new(reads);

	test->hang_polls = true;
	harness_run_until(test->harness, EVENT_LOG_STATE, 1);
	harness_emit(test->harness, &(struct event){ .type = EVENT_LOG_QUERY });
	harness_run_until(test->harness, EVENT_LOG_STATE, 2);
	CU_ASSERT_EQUAL(state(test, 1)->next_offset, 8 * 128 + 1);
	CU_ASSERT_STRING_EQUAL(test->last_target, "/read?from=1&wait_ms=0");
	test_free(test);
}

/* Guards against not detecting that the log has lost its newest records. */
static void test_went_back(void)
{
	char *one = item(1, 1);
	char *two = item(2, 1);
	char *first = g_strdup_printf(
		"{\"first\":1,\"next\":2,\"records\":[%s]}", one);
	char *last = g_strdup_printf(
		"{\"first\":1,\"next\":3,\"records\":[%s]}", two);
	const char *const reads[] = { first,
				      "{\"first\":1,\"next\":1,\"records\":[]}",
				      last, NULL };
	struct log_test *test = test_new(reads);

	harness_run_until(test->harness, EVENT_LOG_RECORD, 2);
	CU_ASSERT_EQUAL(read_back(test, 1)->offset, 256);
	CU_ASSERT_EQUAL(counter_get(kernel_counters(test->harness->kernel),
				    "log_went_back_total"),
			1);
	test_free(test);
	g_free(one);
	g_free(two);
	g_free(first);
	g_free(last);
}

static const char *const bad_answers[] = {
	"",
	"[]",
	"{\"first\":1,\"next\":2,\"records\":[]",
	"{\"first\":1,\"next\":2}",
	"{\"first\":1,\"records\":[]}",
	"{\"next\":1,\"records\":[]}",
	"{\"first\":0,\"next\":1,\"records\":[]}",
	"{\"first\":2,\"next\":1,\"records\":[]}",
	"{\"first\":1.5,\"next\":2,\"records\":[]}",
	"{\"first\":1,\"next\":9223372036854775807,\"records\":[]}",
	"{\"first\":1,\"next\":2,\"records\":{}}",
	"{\"first\":1,\"next\":2,\"records\":[5]}",
	"{\"first\":1,\"next\":2,\"records\":[{\"offset\":1}]}",
	"{\"first\":1,\"next\":2,\"records\":[{\"data\":\"\"}]}",
	"{\"first\":1,\"next\":2,\"records\":[{\"offset\":2,\"data\":\"\"}]}",
	"{\"first\":2,\"next\":3,\"records\":[{\"offset\":1,\"data\":\"\"}]}",
	"{\"first\":1,\"next\":2,\"records\":[{\"offset\":1,\"data\":5}]}",
	"{\"first\":1,\"next\":2,\"records\":[{\"offset\":1,\"data\":\"A\"}]}",
	("{\"first\":1,\"next\":2,\"records\":[{\"offset\":1,"
	 "\"data\":\"AA A\"}]}"),
	("{\"first\":1,\"next\":2,\"records\":[{\"offset\":1,"
	 "\"data\":\"A===\"}]}"),
	("{\"first\":1,\"next\":3,\"records\":[{\"offset\":2,\"data\":\"\"},"
	 "{\"offset\":1,\"data\":\"\"}]}"),
	("{\"first\":1,\"next\":3,\"records\":[{\"offset\":1,\"data\":\"\"},"
	 "{\"offset\":1,\"data\":\"\"}]}"),
};

/* Guards against accepting invalid answers, which move the read offset. */
static void test_bad_answers(void)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(bad_answers); i++) {
		struct log_response answer;
		char reason[REASON_SIZE_BYTES] = "";

		CU_ASSERT_FALSE(log_response_parse(&answer, bad_answers[i],
						   strlen(bad_answers[i]),
						   reason));
		CU_ASSERT_NOT_EQUAL(reason[0], '\0');
		log_response_clear(&answer);
	}
}

/* Guards against record offsets that overlap or leave gaps. */
static void test_offsets(void)
{
	CU_ASSERT_EQUAL(log_block_end(0), 0);
	for (uint64_t block = 1; block < 5; block++) {
		for (uint32_t count = 1; count <= BATCH_RECORDS_MAX; count++) {
			uint64_t first = log_block_first(block, count);

			CU_ASSERT_TRUE(first > log_block_end(block - 1));
			CU_ASSERT_EQUAL(first + count - 1,
					log_block_end(block));
			/* A read from within a block reads all of it. */
			CU_ASSERT_EQUAL(log_block_after(first - 1), block);
		}
		CU_ASSERT_EQUAL(log_block_after(log_block_end(block)),
				block + 1);
	}
}

static const CU_TestInfo tests[] = {
	{ "append", test_append },	 { "read", test_read },
	{ "state", test_state },	 { "ask", test_ask },
	{ "went_back", test_went_back }, { "bad_answers", test_bad_answers },
	{ "offsets", test_offsets },	 CU_TEST_INFO_NULL,
};

static struct suite log_suite = { .name = "log_http", .tests = tests };

SUITE_REGISTER(log_suite)
