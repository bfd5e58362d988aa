/* The callers' front end against raw HTTP. */

#include <string.h>

#include "contract/contract.h"

/* Stands in for the router: the path selects the answer. */
struct router {
	struct kernel *kernel;
	uint32_t new_count;
	uint32_t gone_count;
	uint64_t last_id;
	struct request last; /* its pointers are not valid */
	char *last_path;
};

static void reply(struct router *router, uint64_t id, const char *path)
{
	struct event event = { .type = EVENT_REQUEST_REPLY };
	const struct request *request =
		request_get(kernel_requests(router->kernel), id);

	event.request.request_id = id;
	if (!strcmp(path, "/refuse")) {
		event.request.status = 429;
		event.request.verdict = VERDICT_NOT_RUN;
		event.request.retry_after_us = 1200 * USEC_PER_MSEC;
		g_strlcpy(event.request.reason, "the queue is full",
			  sizeof(event.request.reason));
	} else {
		event.request.verdict = VERDICT_RAN;
		event.response = response_new(
			201, "text/x-echo",
			request->body ? g_bytes_ref(request->body) : NULL);
	}
	kernel_emit(router->kernel, &event);
}

static void router_handle(void *self, const struct event *event)
{
	struct router *router = self;
	const struct request *request;

	if (event->type == EVENT_REQUEST_GONE) {
		router->gone_count++;
		reply(router, event->request.request_id, "/refuse");
		return;
	}
	request = request_get(kernel_requests(router->kernel),
			      event->request.request_id);
	router->new_count++;
	router->last_id = request->id;
	router->last = *request;
	g_free(router->last_path);
	router->last_path = g_strdup(request->path);
	if (strcmp(request->path, "/late") != 0)
		reply(router, request->id, request->path);
}

static const struct plugin router_plugin = {
	.name = "router",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_REQUEST_NEW) | EVENT_BIT(EVENT_REQUEST_GONE),
	.handle = router_handle,
};

struct front_test {
	struct contract *contract;
	struct router router;
	struct raw_conn *conn;
};

static void setup(struct front_test *test)
{
	*test = (struct front_test){ .contract = contract_new() };
	test->router.kernel = test->contract->kernel;
	contract_start(test->contract, PLUGIN_FRONT, "front_http");
	kernel_start_plugin_with(test->contract->kernel, &router_plugin,
				 &test->router);
	test->conn = raw_conn_connect(test->contract->ev,
				      contract_caller_port(test->contract));
}

static void teardown(struct front_test *test)
{
	raw_conn_free(test->conn);
	contract_free(test->contract);
	g_free(test->router.last_path);
}

/* A request that the router does not answer, on a connection of its own. */
static struct raw_conn *send_unanswered(struct ev_loop *ev,
					const struct front_test *test)
{
	static const char late[] = "GET /late HTTP/1.1\r\nHost: x\r\n\r\n";
	struct raw_conn *conn =
		raw_conn_connect(ev, contract_caller_port(test->contract));

	raw_conn_send(conn, late, strlen(late));
	return conn;
}

struct exchange_case {
	const char *name;
	const char *request;
	const char *parts[6]; /* substrings of the answer */
	uint32_t new_count;   /* requests handed to the router */
};

#define LONG_50 "aaaaaaaaaabbbbbbbbbbccccccccccddddddddddeeeeeeeeee"
#define LONG_150 LONG_50 LONG_50 LONG_50
#define LONG_300 LONG_150 LONG_150

static const char refusal[] =
	"{\"reason\":\"the queue is full\",\"verdict\":\"not-run\","
	"\"request\":\"e1/1\"}";

static const struct exchange_case exchange_cases[] = {
	{ "answer",
	  "POST /echo?a=%20b HTTP/1.1\r\nHost: x\r\n"
	  "Content-Length: 5\r\n\r\nhello",
	  { "HTTP/1.1 201 ", "Content-Type: text/x-echo", "Pl-Verdict: ran",
	    "Pl-Request: e1/1", "\r\n\r\nhello" },
	  1 },
	{ "chunked body",
	  "POST /echo HTTP/1.1\r\nHost: x\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n"
	  "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
	  { "HTTP/1.1 201 ", "\r\n\r\nhello" },
	  1 },
	{ "refusal",
	  "GET /refuse HTTP/1.1\r\nHost: x\r\n\r\n",
	  { "HTTP/1.1 429 ", "Content-Type: application/json",
	    "Retry-After: 2\r\n", "Pl-Verdict: not-run", refusal },
	  1 },
	{ "deadline is no number",
	  "GET / HTTP/1.1\r\nHost: x\r\nPl-Deadline-Ms: soon\r\n\r\n",
	  { "HTTP/1.1 400 ", "Pl-Verdict: not-run", "Pl-Deadline-Ms" },
	  0 },
	{ "deadline of zero",
	  "GET / HTTP/1.1\r\nHost: x\r\nPl-Deadline-Ms: 0\r\n\r\n",
	  { "HTTP/1.1 400 ", "Pl-Deadline-Ms" },
	  0 },
	{ "negative deadline",
	  "GET / HTTP/1.1\r\nHost: x\r\nPl-Deadline-Ms: -5\r\n\r\n",
	  { "HTTP/1.1 400 ", "Pl-Deadline-Ms" },
	  0 },
	{ "deadline over the limit",
	  "GET / HTTP/1.1\r\nHost: x\r\nPl-Deadline-Ms: 86400001\r\n\r\n",
	  { "HTTP/1.1 400 ", "Pl-Deadline-Ms" },
	  0 },
	{ "caller with a wrong relay token",
	  "GET / HTTP/1.1\r\nHost: x\r\nPl-Relay: 1\r\n\r\n",
	  { "HTTP/1.1 400 ", "Pl-Verdict: not-run", "Pl-Relay" },
	  0 },
	{ "key too long",
	  "GET / HTTP/1.1\r\nHost: x\r\nIdempotency-Key: " LONG_150 "\r\n\r\n",
	  { "HTTP/1.1 400 ", "Pl-Verdict: not-run", "Idempotency-Key" },
	  0 },
	{ "empty key",
	  "GET / HTTP/1.1\r\nHost: x\r\nIdempotency-Key:\r\n\r\n",
	  { "HTTP/1.1 400 ", "Idempotency-Key" },
	  0 },
	{ "key with a space",
	  "GET / HTTP/1.1\r\nHost: x\r\nIdempotency-Key: 1 2\r\n\r\n",
	  { "HTTP/1.1 400 ", "Idempotency-Key" },
	  0 },
	{ "content type too long",
	  "POST / HTTP/1.1\r\nHost: x\r\nContent-Type: " LONG_300
	  "\r\nContent-Length: 0\r\n\r\n",
	  { "HTTP/1.1 400 ", "Content-Type" },
	  0 },
	{ "method too long",
	  "ABCDEFGHIJKLMNOPQ / HTTP/1.1\r\nHost: x\r\n\r\n",
	  { "HTTP/1.1 400 ", "method" },
	  0 },
	{ "target without a path",
	  "GET http://elsewhere/ HTTP/1.1\r\nHost: x\r\n\r\n",
	  { "HTTP/1.1 400 ", "target" },
	  0 },
	{ "Content-Length over the limit",
	  "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
	  "Content-Length: 1048577\r\n\r\n",
	  { "HTTP/1.1 413 ", "Pl-Verdict: not-run", "1048576" },
	  0 },
	{ "Content-Length far over the limit",
	  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000000000\r\n\r\n",
	  { "HTTP/1.1 413 ", "Pl-Verdict: not-run" },
	  0 },
};

/* Guards against answers and refusals that break the interface's contract. */
static void test_exchanges(void)
{
	for (gsize i = 0; i < G_N_ELEMENTS(exchange_cases); i++) {
		const struct exchange_case *test_case = &exchange_cases[i];
		struct front_test test;
		const char *answer;

		setup(&test);
		answer = raw_conn_ask(test.conn, test_case->request);
		for (gsize k = 0; k < G_N_ELEMENTS(test_case->parts); k++) {
			if (test_case->parts[k])
				contract_expect(test_case->name, answer,
						test_case->parts[k]);
		}
		CU_ASSERT_EQUAL(test.router.new_count, test_case->new_count);
		CU_ASSERT_EQUAL(
			request_count(kernel_requests(test.contract->kernel)),
			0);
		teardown(&test);
	}
}

/* Guards against a request that is modified on the way to the router. */
static void test_request_fields(void)
{
	struct front_test test;

	setup(&test);
	raw_conn_ask(test.conn, "PUT /a%2Fb?q=%20&q=2 HTTP/1.1\r\nHost: x\r\n"
				"Pl-Deadline-Ms: 1500\r\n"
				"Pl-Relay: " CONTRACT_RELAY_HMAC "\r\n"
				"Idempotency-Key: 1700000000000-abc\r\n"
				"Content-Type: text/plain; charset=utf-8\r\n"
				"Content-Length: 2\r\n\r\nhi");
	CU_ASSERT_STRING_EQUAL(test.router.last.method, "PUT");
	CU_ASSERT_STRING_EQUAL(test.router.last_path, "/a%2Fb?q=%20&q=2");
	CU_ASSERT_STRING_EQUAL(test.router.last.key, "1700000000000-abc");
	CU_ASSERT_STRING_EQUAL(test.router.last.content_type,
			       "text/plain; charset=utf-8");
	CU_ASSERT_TRUE(test.router.last.relayed);
	CU_ASSERT_EQUAL(test.router.last.deadline_us -
				test.router.last.arrived_us,
			1500 * USEC_PER_MSEC);
	raw_conn_ask(test.conn, "GET /plain HTTP/1.1\r\nHost: x\r\n\r\n");
	CU_ASSERT_FALSE(test.router.last.relayed);
	CU_ASSERT_EQUAL(test.router.last.deadline_us, 0);
	CU_ASSERT_STRING_EQUAL(test.router.last.key, "");
	teardown(&test);
}

/* Guards against refusing a body at the size limit, and against accepting one
 * above it, also when the client sends the whole body before it reads.
 */
static void test_body_limit(void)
{
	static const size_t sizes_bytes[] = { 1048576, 1048577, 3000000 };

	for (gsize i = 0; i < G_N_ELEMENTS(sizes_bytes); i++) {
		struct front_test test;
		char *body = g_malloc0(sizes_bytes[i]);
		char *head = g_strdup_printf("POST /echo HTTP/1.1\r\nHost: x"
					     "\r\nContent-Length: %zu\r\n\r\n",
					     sizes_bytes[i]);

		setup(&test);
		raw_conn_send(test.conn, head, strlen(head));
		raw_conn_send(test.conn, body, sizes_bytes[i]);
		contract_expect("body limit", raw_conn_wait_answer(test.conn),
				sizes_bytes[i] <= 1048576 ? "HTTP/1.1 201 "
							  : "HTTP/1.1 413 ");
		CU_ASSERT_EQUAL(test.router.new_count,
				sizes_bytes[i] <= 1048576);
		g_free(head);
		g_free(body);
		teardown(&test);
	}
}

/* Guards against accepting headers that exceed the size limit. */
static void test_header_limit(void)
{
	static const size_t sizes_bytes[] = { 15000, 17000, 30000 };

	for (gsize i = 0; i < G_N_ELEMENTS(sizes_bytes); i++) {
		struct front_test test;
		char *value = g_strnfill(sizes_bytes[i], 'v');
		char *text = g_strdup_printf("GET / HTTP/1.1\r\nHost: x\r\n"
					     "X-Long: %s\r\n\r\n",
					     value);

		setup(&test);
		contract_expect("header limit", raw_conn_ask(test.conn, text),
				sizes_bytes[i] <= 16384 ? "HTTP/1.1 201 "
							: "HTTP/1.1 431 ");
		g_free(text);
		g_free(value);
		teardown(&test);
	}
}

static bool has_second(const void *data)
{
	return strstr(((const struct raw_conn *)data)->received->str, "two");
}

/* Guards against swapped answers to pipelined requests of one
 * connection.
 */
static void test_pipelined(void)
{
	static const char first[] = "POST /echo HTTP/1.1\r\nHost: x\r\n"
				    "Content-Length: 3\r\n\r\none";
	static const char second[] = "POST /echo HTTP/1.1\r\nHost: x\r\n"
				     "Content-Length: 3\r\n\r\ntwo";
	struct front_test test;
	const char *one;
	const char *two;

	setup(&test);
	raw_conn_send(test.conn, first, strlen(first));
	raw_conn_send(test.conn, second, strlen(second));
	raw_conn_wait_answer(test.conn);
	CU_ASSERT_TRUE(contract_wait(test.contract->ev, has_second, test.conn));
	one = strstr(test.conn->received->str, "\r\n\r\none");
	two = strstr(test.conn->received->str, "\r\n\r\ntwo");
	CU_ASSERT_PTR_NOT_NULL(one);
	CU_ASSERT_TRUE(two > one);
	teardown(&test);
}

static bool is_gone(const void *data)
{
	return ((const struct router *)data)->gone_count > 0;
}

static bool is_new(const void *data)
{
	return ((const struct router *)data)->new_count > 0;
}

/* Guards against going on with a request whose caller has disconnected, and
 * against a front end that fails on the late reply.
 */
static void test_disconnect(void)
{
	struct front_test test;
	struct raw_conn *other;

	setup(&test);
	other = send_unanswered(test.contract->ev, &test);
	CU_ASSERT_TRUE(contract_wait(test.contract->ev, is_new, &test.router));
	raw_conn_free(other);
	CU_ASSERT_TRUE(contract_wait(test.contract->ev, is_gone, &test.router));
	contract_expect("after a disconnect", raw_conn_ask(test.conn, GET_ROOT),
			"HTTP/1.1 201 ");
	CU_ASSERT_EQUAL(test.router.gone_count, 1);
	CU_ASSERT_EQUAL(request_count(kernel_requests(test.contract->kernel)),
			0);
	teardown(&test);
}

/* Guards against accepting requests while draining, and against a request in
 * flight that gets no answer.
 */
static void test_drain(void)
{
	struct event drain = { .type = EVENT_DRAIN };
	struct front_test test;
	struct raw_conn *other;
	const char *answer;

	setup(&test);
	other = send_unanswered(test.contract->ev, &test);
	CU_ASSERT_TRUE(contract_wait(test.contract->ev, is_new, &test.router));
	drain.drain.deadline_us = g_get_monotonic_time() + USEC_PER_SEC;
	kernel_emit(test.contract->kernel, &drain);
	kernel_run(test.contract->kernel);
	answer = raw_conn_ask(test.conn, GET_ROOT);
	contract_expect("drain", answer, "HTTP/1.1 503 ");
	contract_expect("drain", answer, "Pl-Verdict: not-run");
	contract_expect("drain", answer, "Retry-After: 1");
	CU_ASSERT_EQUAL(test.router.new_count, 1);
	reply(&test.router, test.router.last_id, "/echo");
	contract_expect("in flight", raw_conn_wait_answer(other),
			"HTTP/1.1 201 ");
	raw_conn_free(other);
	teardown(&test);
}

static bool is_sent(const void *data)
{
	return ((const struct raw_conn *)data)->sent->len == 0;
}

/* Guards against a shutdown that leaves callers without a verdict. */
static void test_shutdown(void)
{
	struct front_test test;
	struct ev_loop *ev = ev_loop_new(EVFLAG_AUTO);
	struct raw_conn *other;

	setup(&test);
	other = send_unanswered(ev, &test);
	CU_ASSERT_TRUE(contract_wait(ev, is_sent, other));
	CU_ASSERT_TRUE(contract_wait(test.contract->ev, is_new, &test.router));
	teardown(&test);
	contract_expect("shutdown", raw_conn_wait_answer(other),
			"HTTP/1.1 503 ");
	contract_expect("shutdown", other->received->str,
			"Pl-Verdict: may-have-run");
	raw_conn_free(other);
	ev_loop_destroy(ev);
}

/* Guards against a front end that spins while it waits. */
static void test_idle(void)
{
	struct front_test test;
	struct raw_conn *other;

	setup(&test);
	raw_conn_ask(test.conn, GET_ROOT);
	CU_ASSERT_TRUE(contract_idle_turns(test.contract->ev) < 20);
	other = send_unanswered(test.contract->ev, &test);
	CU_ASSERT_TRUE(contract_idle_turns(test.contract->ev) < 20);
	raw_conn_send(test.conn, "GET /par", 8);
	CU_ASSERT_TRUE(contract_idle_turns(test.contract->ev) < 20);
	raw_conn_free(other);
	teardown(&test);
}

static const CU_TestInfo tests[] = {
	{ "exchanges", test_exchanges },
	{ "request_fields", test_request_fields },
	{ "body_limit", test_body_limit },
	{ "header_limit", test_header_limit },
	{ "pipelined", test_pipelined },
	{ "disconnect", test_disconnect },
	{ "drain", test_drain },
	{ "shutdown", test_shutdown },
	{ "idle", test_idle },
	CU_TEST_INFO_NULL,
};

static struct suite front_suite = { .name = "front_http", .tests = tests };

SUITE_REGISTER(front_suite)
