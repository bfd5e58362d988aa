/*
 * Guards against decoders of the platform's data that accept damaged or
 * incomplete input, or that read a value of a wrong type as 0.
 */

#include <string.h>

#include "io/mhd_loop.h"
#include "platform/advice_wire.h"
#include "platform/job_wire.h"
#include "platform/json.h"
#include "platform/node.h"
#include "platform/order_wire.h"
#include "platform/topic.h"
#include "runner/suite.h"

static struct job_spec *read_job(const char *text)
{
	GBytes *body = g_bytes_new(text, strlen(text));
	struct job_spec *spec = job_wire_parse(body);

	g_bytes_unref(body);
	return spec;
}

static void test_job(void)
{
	struct job_spec *spec = read_job(
		"{\"spec\":\"t\",\"steps\":[{\"count\":4,\"cpu\":500},"
		"{\"count\":2,\"cpu\":900,\"depends_on\":[0],"
		"\"long_running\":true,\"max_unavailable\":1}],\"times\":2}");
	const struct job_step *step;

	CU_ASSERT_PTR_NOT_NULL(spec);
	if (!spec)
		return;
	CU_ASSERT_PTR_NULL(job_spec_check(spec));
	CU_ASSERT_EQUAL(job_spec_items_per_occurrence(spec), 6);
	CU_ASSERT_EQUAL(job_spec_occurrences(spec), 2);
	step = &g_array_index(spec->steps, struct job_step, 1);
	CU_ASSERT_TRUE(step->long_running);
	CU_ASSERT_EQUAL(step->dependency_mask, 1);
	job_spec_unref(spec);
}

static void test_job_refused(void)
{
	static const char *const damaged[] = {
		"",
		"{",
		"[]",
		"{\"spec\":\"t\"}",
		"{\"spec\":\"t\",\"steps\":[7]}",
		"{\"spec\":\"t\",\"steps\":[{\"count\":-1}]}",
		"{\"spec\":\"t\",\"steps\":[{\"count\":1,\"gang\":1}]}",
		("{\"spec\":\"t\",\"steps\":[{\"count\":1,"
		 "\"depends_on\":[64]}]}"),
		"{\"spec\":\"t\",\"steps\":[{\"count\":1}],\"times\":\"2\"}",
	};
	static const char *const invalid[] = {
		"{\"spec\":\"t\",\"steps\":[]}",
		"{\"spec\":\"t\",\"steps\":[{\"count\":0}]}",
		("{\"spec\":\"t\",\"steps\":[{\"count\":1,"
		 "\"depends_on\":[0]}]}"),
		"{\"spec\":\"t\",\"steps\":[{\"count\":20001}]}",
		/* 2^33 items 2^31 times: the product doesn't fit 64 bits. */
		("{\"spec\":\"t\",\"steps\":[{\"count\":4294967295},"
		 "{\"count\":4294967295},{\"count\":2}],"
		 "\"times\":2147483648}"),
		("{\"spec\":\"t\",\"steps\":[{\"count\":1}],\"times\":9,"
		 "\"start_at_ms\":9007199254740992}"),
		("{\"spec\":\"t\",\"steps\":[{\"count\":1}],\"times\":9,"
		 "\"interval_ms\":9007199254740992}"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(damaged); i++)
		CU_ASSERT_PTR_NULL(read_job(damaged[i]));
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		struct job_spec *spec = read_job(invalid[i]);

		CU_ASSERT_PTR_NOT_NULL_FATAL(spec);
		CU_ASSERT_PTR_NOT_NULL(job_spec_check(spec));
		job_spec_unref(spec);
	}
}

static void check_order(enum order_kind kind, uint32_t status, const char *text,
			enum order_result expected)
{
	struct order *order = order_new(kind);
	struct event event = { .type = EVENT_ORDER };

	order_wire_parse(order, status, text, strlen(text));
	CU_ASSERT_EQUAL(order->result, expected);
	event.msg = order;
	event_clear(&event);
}

/* Guards against accepting a partial list: running work would look ended. */
static void test_order(void)
{
	check_order(ORDER_START, 200, "{\"clock_ms\":1}", ORDER_OK);
	check_order(ORDER_START, 409, "{\"reason\":\"fence\"}", ORDER_FENCED);
	check_order(ORDER_START, 409, "{\"reason\":\"room\"}", ORDER_NO_ROOM);
	check_order(ORDER_START, 409, "{\"reason\":\"new\"}", ORDER_REFUSED);
	check_order(ORDER_START, 409, "no json", ORDER_REFUSED);
	check_order(ORDER_START, 421, "", ORDER_WRONG_WORKER);
	check_order(ORDER_START, 503, "", ORDER_REFUSED);
	check_order(ORDER_HOLD, 200,
		    "{\"running\":[[\"a\",1,\"\",100,3]],"
		    "\"finished\":[[1,\"b\",1,\"done\",\"\"]]}",
		    ORDER_OK);
	check_order(ORDER_HOLD, 200, "{\"running\":[]}", ORDER_UNANSWERED);
	check_order(ORDER_HOLD, 200, "{\"running\":[[\"a\"]],\"finished\":[]}",
		    ORDER_UNANSWERED);
	check_order(ORDER_HOLD, 200,
		    "{\"running\":[],\"finished\":[[1,\"b\",1,\"odd\",\"\"]]}",
		    ORDER_UNANSWERED);
}

#define HOLD(running, ended)                                                   \
	"{\"running\":[" running "],\"finished\":[" ended "]}"

/* Guards against numbers of a worker that do not fit and were cut. */
static void test_order_numbers(void)
{
	struct event event = { .type = EVENT_ORDER };
	struct order *order = order_new(ORDER_HOLD);
	static const char text[] =
		"{\"clock_ms\":9223372036854775807,\"running\":"
		"[[\"a\",1,\"\",1e300,-3]],\"finished\":[]}";

	order_wire_parse(order, 200, text, strlen(text));
	CU_ASSERT_EQUAL(order->result, ORDER_OK);
	CU_ASSERT_FALSE(order->has_clock);
	CU_ASSERT_EQUAL(
		g_array_index(order->running, struct running_row, 0).percent,
		UINT32_MAX);
	CU_ASSERT_EQUAL(
		g_array_index(order->running, struct running_row, 0).observed,
		0);
	event.msg = order;
	event_clear(&event);
	check_order(ORDER_HOLD, 200, HOLD("[\"a\",4294967296,\"\",1,1]", ""),
		    ORDER_UNANSWERED);
	check_order(ORDER_HOLD, 200, HOLD("", "[-1,\"b\",1,\"done\",\"\"]"),
		    ORDER_UNANSWERED);
	check_order(ORDER_HOLD, 200, HOLD("", "[0,\"b\",1,\"done\",\"\"]"),
		    ORDER_UNANSWERED);
}

static void check_advice(const char *text, bool answered, guint allowed_count)
{
	struct advice *advice = advice_new();
	struct event event = { .type = EVENT_ADVICE_RESPONSE };

	CU_ASSERT_EQUAL(advice_wire_parse(advice, text, strlen(text)),
			answered);
	CU_ASSERT_EQUAL(advice->allowed->len, allowed_count);
	event.msg = advice;
	event_clear(&event);
}

/* Guards against a damaged row that makes other workers look disallowed. */
static void test_advice(void)
{
	check_advice("{\"allowed\":[[\"w1\",\"t\"]],\"valid_ms\":3000}", true,
		     1);
	check_advice("{\"allowed\":[],\"valid_ms\":3000}", true, 0);
	check_advice("{\"allowed\":[[\"w1\",\"t\"],[\"w2\"]]}", false, 0);
	check_advice("{\"allowed\":[[\"w1\",\"t\"]],\"valid_ms\":\"x\"}", false,
		     0);
	check_advice("{\"valid_ms\":3000}", false, 0);
	check_advice("", false, 0);
}

static void test_topic(void)
{
	static const uint8_t read[] = {
		0, 0, 0, 0, 0, 0, 0,   9,   0,	 0, 0, 0, 0, 0, 0,
		0, 0, 0, 0, 4, 1, 'k', 'v', 'w', 0, 0, 0, 2, 1, 'd',
	};
	struct topic_batch *batch = topic_batch_new();
	GBytes *body = g_bytes_new(read, sizeof(read));
	const struct topic_record *record;

	CU_ASSERT_TRUE(topic_parse_read(body, 5, batch));
	CU_ASSERT_EQUAL(batch->end_offset, 9);
	CU_ASSERT_EQUAL_FATAL(batch->records->len, 2);
	record = &g_array_index(batch->records, struct topic_record, 0);
	CU_ASSERT_STRING_EQUAL(record->key, "k");
	CU_ASSERT_EQUAL(record->size_bytes, 2);
	record = &g_array_index(batch->records, struct topic_record, 1);
	CU_ASSERT_EQUAL(record->offset, 6);
	CU_ASSERT_EQUAL(record->size_bytes, 0);
	topic_batch_free(batch);
	g_bytes_unref(body);
	for (size_t length = 1; length < sizeof(read); length++) {
		bool whole = length == 16 || length == 24;

		batch = topic_batch_new();
		body = g_bytes_new(read, length);
		CU_ASSERT_EQUAL(topic_parse_read(body, 5, batch), whole);
		topic_batch_free(batch);
		g_bytes_unref(body);
	}
}

/* Guards against a record without a valid key that is read again for ever. */
static void test_topic_invalid_record(void)
{
	static const uint8_t read[] = {
		0, 0, 0, 0, 0, 0,   0, 9,   0, 0, 0, 0, 0, 0, 0, 0, /* header */
		0, 0, 0, 0,					    /* empty */
		0, 0, 0, 2, 0, 'v',	    /* an empty key */
		0, 0, 0, 2, 9, 'v',	    /* a key beyond the end */
		0, 0, 0, 4, 2, 'k', 0, 'v', /* a key with a NUL */
	};
	struct topic_batch *batch = topic_batch_new();
	GBytes *body = g_bytes_new(read, sizeof(read));

	CU_ASSERT_TRUE(topic_parse_read(body, 5, batch));
	CU_ASSERT_EQUAL(batch->records->len, 0);
	CU_ASSERT_EQUAL(batch->invalid_count, 4);
	CU_ASSERT_EQUAL(batch->next_offset, 9);
	topic_batch_free(batch);
	g_bytes_unref(body);
}

static void check_page(const char *text, bool parsed, guint records_count,
		       const char *expected_next_key)
{
	struct topic_batch *batch = topic_batch_new();
	char *next_key;

	CU_ASSERT_EQUAL(
		topic_parse_snapshot(text, strlen(text), batch, &next_key),
		parsed);
	CU_ASSERT_EQUAL(batch->records->len, records_count);
	CU_ASSERT_EQUAL(g_strcmp0(next_key, expected_next_key), 0);
	g_free(next_key);
	topic_batch_free(batch);
}

#define PAGE(items, has_more)                                                  \
	"{\"items\":[" items "],\"has_more\":" has_more ",\"end_offset\":9}"
#define ITEM(key) "{\"key\":\"" key "\",\"value\":\"\",\"offset\":1}"

/*
 * Guards against one odd record that makes a page of 500 unreadable, and
 * against a page that can't be continued but passes for the last one.
 */
static void test_topic_snapshot(void)
{
	check_page(PAGE(ITEM("a") "," ITEM("b c"), "true"), true, 2, "b%20c");
	check_page(PAGE(ITEM("a") ",{\"key\":\"b\"},7," ITEM("c"), "false"),
		   true, 2, NULL);
	check_page(PAGE(ITEM("a") "," ITEM("b\\u0000"), "true"), true, 1, "a");
	check_page(PAGE(ITEM("b\\u0000"), "true"), true, 0, "b%00");
	check_page(PAGE(ITEM("a") "," ITEM("") "," ITEM("c"), "true"), true, 2,
		   "c");
	check_page(PAGE(ITEM("\xff") "," ITEM("c"), "false"), true, 2, NULL);
	check_page(PAGE("7", "true"), false, 0, NULL);
	check_page("{\"items\":{}}", false, 0, NULL);
	check_page("[", false, 0, NULL);
}

/* Guards against a length of the key that is cut to 8 bits. */
static void test_topic_encode(void)
{
	GByteArray *body = g_byte_array_new();
	GBytes *value = g_bytes_new_static("v", 1);
	char *key = g_strnfill(256, 'k');

	CU_ASSERT_FALSE(topic_encode_record(body, key, value));
	CU_ASSERT_FALSE(topic_encode_record(body, "", value));
	CU_ASSERT_EQUAL(body->len, 0);
	CU_ASSERT_TRUE(topic_encode_record(body, key + 1, value));
	CU_ASSERT_EQUAL(body->len, 4 + 1 + 255 + 1);
	g_free(key);
	g_bytes_unref(value);
	g_byte_array_unref(body);
}

/* Guards against a body that can't be encoded and ended the process. */
static void test_json_to_bytes(void)
{
	GBytes *bytes = json_to_bytes(json_string("\xe2\x82"));

	CU_ASSERT_EQUAL(g_bytes_get_size(bytes), 2);
	g_bytes_unref(bytes);
}

static void test_node_refused(void)
{
	static const char *const damaged[] = {
		"",
		"[]",
		"{}",
		"{\"node_name\":7}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(damaged); i++) {
		GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);

		CU_ASSERT_PTR_NULL(
			node_parse(damaged[i], strlen(damaged[i]), errors));
		CU_ASSERT_TRUE(errors->len > 0);
		g_ptr_array_unref(errors);
	}
}

#define NODE_TEXT                                                               \
	"{\"node_name\":\"e1\",\"ip\":\"10.0.0.1\",\"zone\":\"z\",\"listen\":{" \
	"\"frontend\":\"10.0.0.1:1\",\"readiness\":\"10.0.0.1:2\"},"            \
	"\"platform\":{\"address\":\"10.0.0.2:1\"},"                            \
	"\"cloud\":{\"address\":\"10.0.0.3:1\",\"duty_per_s\":%s},\"bounds\":{%s}}"

/*
 * Guards against ignoring a rate that is written as a fraction: machines were
 * then ordered at the default rate, which is too low for a large fleet.
 */
static void test_node_rate(void)
{
	static const struct {
		const char *text;
		uint32_t per_s; /* 0: refused */
	} cases[] = {
		{ "64", 64 },  { "215.0", 215 }, { "0.5", 1 },	 { "0", 0 },
		{ "-1.0", 0 }, { "\"64\"", 0 },	 { "1e300", 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
		char *text = g_strdup_printf(NODE_TEXT, cases[i].text, "");
		struct node *node = node_parse(text, strlen(text), errors);

		CU_ASSERT_EQUAL(node != NULL, cases[i].per_s != 0);
		CU_ASSERT_EQUAL(errors->len, cases[i].per_s ? 0 : 1);
		if (node)
			CU_ASSERT_EQUAL(node->bounds.machine_orders_per_s,
					cases[i].per_s);
		g_free(node);
		g_free(text);
		g_ptr_array_unref(errors);
	}
}

/* Guards against an overage that is cut to the percent below, or is ignored. */
static void test_node_overage(void)
{
	static const struct {
		const char *text;
		bool refused;
		uint32_t percent;
	} cases[] = {
		{ "", false, 0 },
		{ "\"quota_overage\":0.29", false, 29 },
		{ "\"quota_overage\":1", false, 100 },
		{ "\"quota_overage\":1.5", true, 0 },
		{ "\"quota_overage\":-0.1", true, 0 },
		{ "\"quota_overage\":\"0.1\"", true, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
		char *text = g_strdup_printf(NODE_TEXT, "64", cases[i].text);
		struct node *node = node_parse(text, strlen(text), errors);

		CU_ASSERT_EQUAL(node == NULL, cases[i].refused);
		if (node)
			CU_ASSERT_EQUAL(node->bounds.quota_overage_percent,
					cases[i].percent);
		g_free(node);
		g_free(text);
		g_ptr_array_unref(errors);
	}
}

/* Guards against limits of the HTTP servers that are ignored when wrong. */
static void test_node_http(void)
{
	static const struct {
		const char *text;
		const char *field; /* NULL: accepted */
	} cases[] = {
		{ "\"limits\":{\"memory_mb\":160,\"max_fds\":4100}", NULL },
		{ "\"http\":{\"budget_percent\":30,\"grace_ms\":500}", NULL },
		{ "\"limits\":{\"memory_mb\":8}", "limits.memory_mb:" },
		{ "\"limits\":{\"max_fds\":\"many\"}", "limits.max_fds:" },
		{ "\"http\":7", "http:" },
		{ "\"http\":{\"budget_percent\":90}", "http.budget_percent:" },
		{ "\"http\":{\"callers_connections\":4000}",
		  "http.callers_connections:" },
		{ "\"http\":{\"probe_connections\":0}",
		  "http.probe_connections:" },
		{ "\"http\":{\"address_connections\":-1}",
		  "http.address_connections:" },
		{ "\"http\":{\"header_lines\":2}", "http.header_lines:" },
		{ "\"http\":{\"rate_bytes_per_s\":0}",
		  "http.rate_bytes_per_s:" },
		{ "\"http\":{\"grace_ms\":60000}", "http.grace_ms:" },
		{ "\"jobs\":{\"budget_percent\":45}", NULL },
		{ "\"jobs\":{\"budget_percent\":46}", "jobs.budget_percent:" },
		{ "\"jobs\":{\"budget_percent\":4}", "jobs.budget_percent:" },
		{ "\"jobs\":[]", "jobs:" },
		{ "\"http\":{\"budget_percent\":80}", NULL },
	};
	char *base = g_strdup_printf(NODE_TEXT, "64", "");

	base[strlen(base) - 1] = '\0';
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
		char *text = g_strdup_printf("%s,%s}", base, cases[i].text);
		struct node *node = node_parse(text, strlen(text), errors);

		CU_ASSERT_EQUAL(node != NULL, cases[i].field == NULL);
		CU_ASSERT_EQUAL(errors->len, cases[i].field ? 1 : 0);
		if (cases[i].field && errors->len)
			CU_ASSERT_PTR_NOT_NULL(
				strstr(errors->pdata[0], cases[i].field));
		g_free(node);
		g_free(text);
		g_ptr_array_unref(errors);
	}
	g_free(base);
}

/*
 * Guards against defaults that ordinary clients meet: 1,500 connections with
 * bodies of 4 KB on a machine of 160 MB with 4,100 descriptors.
 */
static void test_node_http_defaults(void)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	char *text = g_strdup_printf(NODE_TEXT, "64", "");
	struct node *node = node_parse(text, strlen(text), errors);
	uint64_t used_bytes = UINT64_C(1500) * (HTTPD_CONNECTION_BYTES + 4096) +
			      UINT64_C(32) * (HTTPD_CONNECTION_BYTES + 65536);

	CU_ASSERT_PTR_NOT_NULL(node);
	if (node) {
		CU_ASSERT_TRUE(node->http.callers_max_count >= 1500);
		CU_ASSERT_TRUE(
			node->http.conn
				.partition_max_bytes[CONN_PARTITION_SHARED] >=
			used_bytes);
		CU_ASSERT_EQUAL(node->bounds.jobs_max_bytes,
				UINT64_C(160) * 1024 * 1024 / 100 * 30);
	}
	g_free(node);
	g_free(text);
	g_ptr_array_unref(errors);
}

/* Guards against bodies whose parsing takes many times their size. */
static void test_json_is_within(void)
{
	static const struct {
		const char *text;
		bool is_within; /* a depth of 3 and 5 values */
	} cases[] = {
		{ "{\"a\":[1,2,3]}", true },
		{ "[1,2,3,4,5]", true },
		{ "[1,2,3,4,5,6]", false },
		{ "[[[]]]", true },
		{ "[[[[]]]]", false },
		{ "[[[]],[]]", true },
		{ "\"[[[[,,,,,,,,\"", true },
		{ "[\"\\\"\",[[[", false },
		{ "]]]]", true },
		{ "", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_EQUAL(json_is_within(cases[i].text,
					       strlen(cases[i].text), 3, 5),
				cases[i].is_within);
}

static const CU_TestInfo tests[] = {
	{ "job", test_job },
	{ "job refused", test_job_refused },
	{ "order", test_order },
	{ "order, numbers", test_order_numbers },
	{ "advice", test_advice },
	{ "topic", test_topic },
	{ "topic, invalid record", test_topic_invalid_record },
	{ "topic, snapshot", test_topic_snapshot },
	{ "topic, encode", test_topic_encode },
	{ "json to bytes", test_json_to_bytes },
	{ "settings refused", test_node_refused },
	{ "json, size", test_json_is_within },
	{ "settings, a rate", test_node_rate },
	{ "settings, an overage", test_node_overage },
	{ "settings, HTTP", test_node_http },
	{ "settings, HTTP defaults", test_node_http_defaults },
	CU_TEST_INFO_NULL,
};

static struct suite platform_suite = { .name = "platform", .tests = tests };

SUITE_REGISTER(platform_suite)
