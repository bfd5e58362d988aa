/* The endpoint client against a scripted endpoint. */

#include <string.h>
#include <unistd.h>

#include "contract/fake_endpoint.h"

/* Stands in for the router: records the results of attempts. */
struct outcome {
	uint32_t count;
	struct event_attempt last;
	struct response *answer;
};

static void outcome_handle(void *self, const struct event *event)
{
	struct outcome *outcome = self;

	outcome->count++;
	outcome->last = event->attempt;
	response_unref(outcome->answer);
	outcome->answer =
		event->response ? response_ref(event->response) : NULL;
}

static const struct plugin outcome_plugin = {
	.name = "outcome",
	.kind = PLUGIN_DECIDE,
	.subscriptions = EVENT_BIT(EVENT_ATTEMPT_DONE),
	.handle = outcome_handle,
};

struct client_test {
	struct contract *contract;
	struct fake_endpoint *endpoint;
	struct outcome outcome;
	uint32_t expected_count;
};

/* Requests below /safe are idempotent, all others are not. */
static const char declarations[] =
	"members: [{name: m}]\n"
	"pools: [{name: p, member: m, max_unavailable: 0}]\n"
	"instances: [{name: i, address: '127.0.0.1:1', dc: d, rack: r,"
	" pool: p}]\n"
	"services:\n"
	"- {name: safe, member: m, pool: p, path: /safe, urgency: urgent,"
	" idempotent: true}\n"
	"- {name: pay, member: m, pool: p, path: /pay, urgency: urgent,"
	" idempotent: false}\n";

static void setup(struct client_test *test, const struct fake_step *steps)
{
	*test = (struct client_test){ .contract = contract_new() };
	contract_declare(test->contract, "a.yaml", declarations);
	contract_start(test->contract, PLUGIN_ENDPOINT, "curl");
	kernel_start_plugin_with(test->contract->kernel, &outcome_plugin,
				 &test->outcome);
	test->endpoint = fake_endpoint_new(test->contract->ev, steps);
}

static void teardown(struct client_test *test)
{
	fake_endpoint_free(test->endpoint);
	contract_free(test->contract);
	response_unref(test->outcome.answer);
}

static struct request *add_request(struct client_test *test, const char *method,
				   const char *path, const char *body)
{
	struct request *request =
		request_add(kernel_requests(test->contract->kernel));

	name_copy(request->method, sizeof(request->method), method);
	request->path = g_strdup(path);
	if (body)
		request->body = g_bytes_new(body, strlen(body));
	return request;
}

static struct event attempt_event(struct client_test *test,
				  const struct request *request,
				  int64_t timeout_us)
{
	struct event event = { .type = EVENT_ATTEMPT_SEND };

	event.attempt.request_id = request->id;
	event.attempt.attempt = 1;
	event.attempt.deadline_us = g_get_monotonic_time() + timeout_us;
	name_copy(event.attempt.endpoint, sizeof(event.attempt.endpoint), "i");
	g_snprintf(event.attempt.address, sizeof(event.attempt.address),
		   "127.0.0.1:%u", test->endpoint->port);
	return event;
}

static bool is_done(const void *data)
{
	const struct client_test *test = data;

	return test->outcome.count >= test->expected_count;
}

static void run_event(struct client_test *test, const struct event *event)
{
	test->expected_count++;
	kernel_emit(test->contract->kernel, event);
	CU_ASSERT_TRUE(contract_wait(test->contract->ev, is_done, test));
}

static void run_attempt(struct client_test *test, const char *method,
			const char *path, const char *body)
{
	struct request *request = add_request(test, method, path, body);
	struct event event = attempt_event(test, request, 30 * USEC_PER_SEC);

	run_event(test, &event);
}

static void expect(const char *name, const struct outcome *outcome,
		   enum attempt_result result, enum verdict verdict,
		   uint32_t status)
{
	if (outcome->last.result != result ||
	    outcome->last.verdict != verdict || outcome->last.status != status)
		printf("\n    %s: result %d, verdict %s, status %u\n", name,
		       (int)outcome->last.result,
		       verdict_name(outcome->last.verdict),
		       outcome->last.status);
	CU_ASSERT_EQUAL(outcome->last.result, result);
	CU_ASSERT_EQUAL(outcome->last.verdict, verdict);
	CU_ASSERT_EQUAL(outcome->last.status, status);
	/* Only a complete answer may be forwarded. */
	CU_ASSERT_EQUAL(outcome->answer != NULL, result == ATTEMPT_ANSWERED);
}

struct fault_case {
	const char *name;
	struct fake_step steps[2];
	enum attempt_result result;
	enum verdict verdict;
	uint32_t status;
	const char *body; /* of a complete answer */
};

static const struct fault_case fault_cases[] = {
	{ "complete answer",
	  STEPS({ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc" }),
	  ATTEMPT_ANSWERED, VERDICT_RAN, 200, "abc" },
	{ "error status",
	  STEPS({ "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n" }),
	  ATTEMPT_ANSWERED, VERDICT_RAN, 503, "" },
	{ "redirect that is not followed",
	  STEPS({ "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n"
		  "Content-Length: 0\r\n\r\n" }),
	  ATTEMPT_ANSWERED, VERDICT_RAN, 302, "" },
	{ "chunks",
	  STEPS({ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n" }),
	  ATTEMPT_ANSWERED, VERDICT_RAN, 200, "abc" },
	{ "no content", STEPS({ "HTTP/1.1 204 No Content\r\n\r\n" }),
	  ATTEMPT_ANSWERED, VERDICT_RAN, 204, "" },
	{ "interim answer first",
	  STEPS({ "HTTP/1.1 102 Processing\r\n\r\n"
		  "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na" }),
	  ATTEMPT_ANSWERED, VERDICT_RAN, 200, "a" },
	{ "closed without an answer", STEPS({ "", AFTER_CLOSE }),
	  ATTEMPT_FAILED, VERDICT_MAY_HAVE_RUN, 0, NULL },
	{ "reset without an answer", STEPS({ "", AFTER_RESET }), ATTEMPT_FAILED,
	  VERDICT_MAY_HAVE_RUN, 0, NULL },
	{ "closed within the headers",
	  STEPS({ "HTTP/1.1 200 OK\r\nContent-Len", AFTER_CLOSE }),
	  ATTEMPT_TRUNCATED, VERDICT_MAY_HAVE_RUN, 0, NULL },
	{ "closed after the length in the headers",
	  STEPS({ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nPl-V",
		  AFTER_CLOSE }),
	  ATTEMPT_TRUNCATED, VERDICT_MAY_HAVE_RUN, 0, NULL },
	{ "closed within the headers of no content",
	  STEPS({ "HTTP/1.1 204 No Content\r\nPl-V", AFTER_CLOSE }),
	  ATTEMPT_TRUNCATED, VERDICT_MAY_HAVE_RUN, 0, NULL },
	{ "only an interim answer",
	  STEPS({ "HTTP/1.1 102 Processing\r\n\r\n", AFTER_CLOSE }),
	  ATTEMPT_FAILED, VERDICT_MAY_HAVE_RUN, 0, NULL },
	{ "no HTTP", STEPS({ "220 mail ready\r\n", AFTER_CLOSE }),
	  ATTEMPT_FAILED, VERDICT_MAY_HAVE_RUN, 0, NULL },
	{ "too short",
	  STEPS({ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
		  AFTER_CLOSE }),
	  ATTEMPT_TRUNCATED, VERDICT_MAY_HAVE_RUN, 0, NULL },
	{ "too long",
	  STEPS({ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcdef" }),
	  ATTEMPT_TRUNCATED, VERDICT_MAY_HAVE_RUN, 0, NULL },
	{ "unfinished chunks",
	  STEPS({ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nab\r\n",
		  AFTER_CLOSE }),
	  ATTEMPT_TRUNCATED, VERDICT_MAY_HAVE_RUN, 0, NULL },
	{ "no Content-Length",
	  STEPS({ "HTTP/1.1 200 OK\r\n\r\nabc", AFTER_CLOSE }),
	  ATTEMPT_TRUNCATED, VERDICT_MAY_HAVE_RUN, 0, NULL },
	{ "Content-Length over the limit",
	  STEPS({ "HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\nabc" }),
	  ATTEMPT_TRUNCATED, VERDICT_MAY_HAVE_RUN, 0, NULL },
};

/* Guards against forwarding an incomplete answer, and against a wrong
 * verdict.
 */
static void test_faults(void)
{
	for (gsize i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		const struct fault_case *test_case = &fault_cases[i];
		struct client_test test;

		setup(&test, test_case->steps);
		run_attempt(&test, "POST", "/safe", "x");
		expect(test_case->name, &test.outcome, test_case->result,
		       test_case->verdict, test_case->status);
		CU_ASSERT_EQUAL(test.endpoint->request_count, 1);
		if (test_case->body && test.outcome.answer) {
			gsize size_bytes;
			const char *data = g_bytes_get_data(
				test.outcome.answer->body, &size_bytes);

			CU_ASSERT_EQUAL(size_bytes, strlen(test_case->body));
			CU_ASSERT_TRUE(
				!size_bytes ||
				!memcmp(data, test_case->body, size_bytes));
		}
		teardown(&test);
	}
}

static bool is_requested(const void *data)
{
	const struct client_test *test = data;

	return test->endpoint->request_count > 0;
}

/* Sends an attempt and waits until the endpoint has received it. */
static struct event start_attempt(struct client_test *test, const char *method,
				  const char *path, const char *body)
{
	struct request *request = add_request(test, method, path, body);
	struct event event = attempt_event(test, request, 30 * USEC_PER_SEC);

	kernel_emit(test->contract->kernel, &event);
	CU_ASSERT_TRUE(contract_wait(test->contract->ev, is_requested, test));
	return event;
}

/* Guards against accepting a chunked body that exceeds the limit. */
static void test_chunks_over_limit(void)
{
	static const struct fake_step silent[] = STEPS({ "" });
	GString *answer = g_string_new(
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	char *chunk = g_strnfill(0x10000, 'c');
	struct client_test test;

	for (uint32_t i = 0; i < 65; i++)
		g_string_append_printf(answer, "10000\r\n%s\r\n", chunk);
	g_string_append(answer, "0\r\n\r\n");
	setup(&test, silent);
	start_attempt(&test, "GET", "/safe", NULL);
	raw_conn_send(test.endpoint->conns->pdata[0], answer->str, answer->len);
	test.expected_count++;
	CU_ASSERT_TRUE(contract_wait(test.contract->ev, is_done, &test));
	expect("chunks over the limit", &test.outcome, ATTEMPT_TRUNCATED,
	       VERDICT_MAY_HAVE_RUN, 0);
	g_free(chunk);
	g_string_free(answer, TRUE);
	teardown(&test);
}

/* Guards against reporting a refused connection as may have run. */
static void test_refused(void)
{
	static const struct fake_step none[] = { { NULL } };
	struct client_test test;
	struct request *request;
	struct event event;
	uint16_t port;
	int fd = contract_bind(&port);

	setup(&test, none);
	request = add_request(&test, "POST", "/pay", "x");
	event = attempt_event(&test, request, 30 * USEC_PER_SEC);
	g_snprintf(event.attempt.address, sizeof(event.attempt.address),
		   "127.0.0.1:%u", port);
	run_event(&test, &event);
	expect("refused", &test.outcome, ATTEMPT_REFUSED, VERDICT_NOT_RUN, 0);
	close(fd);
	teardown(&test);
}

/* Guards against an attempt that outlives its deadline. */
static void test_timeout(void)
{
	static const struct fake_step silent[] = STEPS({ "" });
	struct client_test test;
	struct request *request;
	struct event event;

	setup(&test, silent);
	request = add_request(&test, "POST", "/pay", "x");
	event = attempt_event(&test, request, 100 * USEC_PER_MSEC);
	run_event(&test, &event);
	expect("timeout", &test.outcome, ATTEMPT_TIMED_OUT,
	       VERDICT_MAY_HAVE_RUN, 0);
	CU_ASSERT_EQUAL(test.endpoint->request_count, 1);
	CU_ASSERT_TRUE(test.outcome.last.latency_us >= 100 * USEC_PER_MSEC);
	event = attempt_event(&test, request, 0);
	event.attempt.attempt = 2;
	run_event(&test, &event);
	expect("deadline passed", &test.outcome, ATTEMPT_TIMED_OUT,
	       VERDICT_NOT_RUN, 0);
	CU_ASSERT_EQUAL(test.endpoint->request_count, 1);
	teardown(&test);
}

/* Guards against a late answer that is read as the answer to the next
 * request, whose caller would get another caller's data.
 */
static void test_late_answer(void)
{
	static const struct fake_step steps[] =
		STEPS({ "" },
		      { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright" });
	static const char late[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
	struct client_test test;
	struct request *request;
	struct event event;

	setup(&test, steps);
	request = add_request(&test, "GET", "/safe", NULL);
	event = attempt_event(&test, request, 50 * USEC_PER_MSEC);
	run_event(&test, &event);
	CU_ASSERT_EQUAL(test.outcome.last.result, ATTEMPT_TIMED_OUT);
	raw_conn_send(test.endpoint->conns->pdata[0], late, strlen(late));
	run_attempt(&test, "GET", "/safe", NULL);
	expect("after a late answer", &test.outcome, ATTEMPT_ANSWERED,
	       VERDICT_RAN, 200);
	CU_ASSERT_TRUE(!memcmp(
		g_bytes_get_data(test.outcome.answer->body, NULL), "right", 5));
	CU_ASSERT_EQUAL(test.endpoint->conns->len, 2);
	teardown(&test);
}

/* Guards against libcurl's own retry when a reused connection breaks: the
 * endpoint would get the request twice.
 */
static void test_broken_reuse(void)
{
	static const struct fake_step steps[] =
		STEPS({ "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na" },
		      { "", AFTER_CLOSE },
		      { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb" });
	struct client_test test;

	setup(&test, steps);
	run_attempt(&test, "GET", "/safe", NULL);
	run_attempt(&test, "GET", "/safe", NULL);
	expect("broken reuse", &test.outcome, ATTEMPT_FAILED,
	       VERDICT_MAY_HAVE_RUN, 0);
	CU_ASSERT_EQUAL(test.endpoint->request_count, 2);
	/* libcurl may connect again, but must send nothing. */
	for (guint i = 1; i < test.endpoint->conns->len; i++) {
		struct raw_conn *conn = test.endpoint->conns->pdata[i];

		CU_ASSERT_TRUE(raw_conn_wait_closed(conn));
		CU_ASSERT_EQUAL(conn->received->len, 0);
	}
	teardown(&test);
}

/* Guards against connections that are not reused for idempotent requests, or
 * that are reused for others.
 */
static void test_reuse(void)
{
	static const struct fake_step steps[] =
		STEPS({ "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na" },
		      { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb" },
		      { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nc" });
	struct client_test test;

	setup(&test, steps);
	run_attempt(&test, "GET", "/safe", NULL);
	run_attempt(&test, "GET", "/safe", NULL);
	CU_ASSERT_EQUAL(test.endpoint->conns->len, 1);
	run_attempt(&test, "POST", "/pay", "x");
	CU_ASSERT_EQUAL(test.endpoint->conns->len, 2);
	CU_ASSERT_EQUAL(test.endpoint->request_count, 3);
	teardown(&test);
}

/* Guards against a cancelled attempt that stays open or completes twice. */
static void test_cancel(void)
{
	static const struct fake_step silent[] = STEPS({ "" });
	struct client_test test;
	struct event event;

	setup(&test, silent);
	event = start_attempt(&test, "POST", "/pay", "x");
	event.type = EVENT_ATTEMPT_CANCEL;
	run_event(&test, &event);
	expect("cancel", &test.outcome, ATTEMPT_CANCELLED, VERDICT_MAY_HAVE_RUN,
	       0);
	CU_ASSERT_TRUE(raw_conn_wait_closed(test.endpoint->conns->pdata[0]));
	kernel_emit(test.contract->kernel, &event);
	kernel_run(test.contract->kernel);
	CU_ASSERT_EQUAL(test.outcome.count, 1);
	teardown(&test);
}

/* Guards against a request that is modified on the way to the endpoint. */
static void test_forwarded(void)
{
	static const struct fake_step steps[] =
		STEPS({ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
		      { "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" });
	struct client_test test;
	struct request *request;
	struct event event;
	const char *got;

	setup(&test, steps);
	request = add_request(&test, "PATCH", "/pay/../a%2f?q=%20", "body");
	name_copy(request->content_type, sizeof(request->content_type),
		  "text/plain");
	name_copy(request->key, sizeof(request->key), "1-k");
	event = attempt_event(&test, request, 30 * USEC_PER_SEC);
	run_event(&test, &event);
	got = test.endpoint->last_request->str;
	CU_ASSERT_TRUE(
		g_str_has_prefix(got, "PATCH /pay/../a%2f?q=%20 HTTP/1.1\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(got, "Content-Type: text/plain\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(got, "Content-Length: 4\r\n"));
	CU_ASSERT_TRUE(g_str_has_suffix(got, "\r\n\r\nbody"));
	CU_ASSERT_PTR_NULL(strstr(got, "Pl-Relay"));
	CU_ASSERT_PTR_NULL(strstr(got, "Idempotency-Key"));
	run_attempt(&test, "HEAD", "/safe", NULL);
	CU_ASSERT_TRUE(g_str_has_prefix(test.endpoint->last_request->str,
					"HEAD /safe HTTP/1.1\r\n"));
	expect("HEAD", &test.outcome, ATTEMPT_ANSWERED, VERDICT_RAN, 200);
	teardown(&test);
}

struct relay_case {
	const char *name;
	const char *answer;
	enum verdict verdict;
	uint32_t status;
};

static const struct relay_case relay_cases[] = {
	{ "ran",
	  "HTTP/1.1 200 OK\r\nPl-Verdict: ran\r\nContent-Length: 0\r\n\r\n",
	  VERDICT_RAN, 200 },
	{ "not run",
	  "HTTP/1.1 429 Too Many\r\nPl-Verdict: not-run\r\n"
	  "Content-Length: 0\r\n\r\n",
	  VERDICT_NOT_RUN, 429 },
	{ "may have run",
	  "HTTP/1.1 503 Lost\r\nPl-Verdict: may-have-run\r\n"
	  "Content-Length: 0\r\n\r\n",
	  VERDICT_MAY_HAVE_RUN, 503 },
	{ "no verdict", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
	  VERDICT_MAY_HAVE_RUN, 503 },
	{ "unknown verdict",
	  "HTTP/1.1 503 Busy\r\nPl-Verdict: perhaps\r\n"
	  "Content-Length: 0\r\n\r\n",
	  VERDICT_MAY_HAVE_RUN, 503 },
};

/* Guards against replacing the verdict of the entry instance relayed to. */
static void test_relay(void)
{
	for (gsize i = 0; i < G_N_ELEMENTS(relay_cases); i++) {
		const struct relay_case *test_case = &relay_cases[i];
		const struct fake_step steps[] = STEPS({ test_case->answer });
		struct client_test test;
		struct request *request;
		struct event event;
		const char *got;
		const char *deadline;

		setup(&test, steps);
		request = add_request(&test, "POST", "/pay", "x");
		name_copy(request->key, sizeof(request->key), "1-k");
		event = attempt_event(&test, request, 30 * USEC_PER_SEC);
		event.attempt.relayed = true;
		run_event(&test, &event);
		expect(test_case->name, &test.outcome, ATTEMPT_ANSWERED,
		       test_case->verdict, test_case->status);
		got = test.endpoint->last_request->str;
		CU_ASSERT_PTR_NOT_NULL(
			strstr(got, "Pl-Relay: " CONTRACT_RELAY_HMAC "\r\n"));
		CU_ASSERT_PTR_NOT_NULL(strstr(got, "Idempotency-Key: 1-k\r\n"));
		deadline = strstr(got, "Pl-Deadline-Ms: ");
		CU_ASSERT_PTR_NOT_NULL_FATAL(deadline);
		deadline += strlen("Pl-Deadline-Ms: ");
		CU_ASSERT_TRUE(g_ascii_strtoull(deadline, NULL, 10) > 0);
		CU_ASSERT_TRUE(g_ascii_strtoull(deadline, NULL, 10) <= 30000);
		teardown(&test);
	}
}

/* Guards against sending a request that has ended already. */
static void test_unknown_request(void)
{
	static const struct fake_step none[] = { { NULL } };
	struct client_test test;
	struct request *request;
	struct event event;

	setup(&test, none);
	request = add_request(&test, "GET", "/safe", NULL);
	event = attempt_event(&test, request, 30 * USEC_PER_SEC);
	request_remove(kernel_requests(test.contract->kernel), request->id);
	run_event(&test, &event);
	expect("unknown request", &test.outcome, ATTEMPT_CANCELLED,
	       VERDICT_NOT_RUN, 0);
	CU_ASSERT_EQUAL(test.endpoint->conns->len, 0);
	teardown(&test);
}

static const CU_TestInfo tests[] = {
	{ "faults", test_faults },
	{ "chunks_over_limit", test_chunks_over_limit },
	{ "refused", test_refused },
	{ "timeout", test_timeout },
	{ "late_answer", test_late_answer },
	{ "broken_reuse", test_broken_reuse },
	{ "reuse", test_reuse },
	{ "cancel", test_cancel },
	{ "forwarded", test_forwarded },
	{ "relay", test_relay },
	{ "unknown_request", test_unknown_request },
	CU_TEST_INFO_NULL,
};

static struct suite endpoint_suite = {
	.name = "endpoint_curl",
	.tests = tests,
};

SUITE_REGISTER(endpoint_suite)
