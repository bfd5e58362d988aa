/* The HTTP server against slow clients and many connections. */

#include <string.h>

#include "contract/contract.h"
#include "io/mhd_loop.h"

#define CONNECTIONS_COUNT 16
#define BIG_BYTES ((gsize)64 * 1024 * 1024)

/* The HTTP server with a short client timeout. */
struct httpd_test {
	struct ev_loop *ev;
	struct httpd *httpd;
	uint32_t request_count;
	bool big; /* answers exceed the socket buffers */
};

static void request(void *self, struct exchange *exchange)
{
	struct httpd_test *test = self;
	GBytes *body = NULL;

	test->request_count++;
	if (test->big)
		body = g_bytes_new_take(g_malloc0(BIG_BYTES), BIG_BYTES);
	exchange_reply(exchange, 200, "", body);
	if (body)
		g_bytes_unref(body);
}

static void gone(void *self, struct exchange *exchange)
{
	(void)self;
	(void)exchange;
}

static const struct httpd_ops ops = {
	.request = request,
	.disconnected = gone,
};

static void setup(struct httpd_test *test)
{
	const struct httpd_limits limits = {
		.body_max_bytes = 1024,
		.connections_max_count = CONNECTIONS_COUNT,
		.client_timeout_us = 50 * USEC_PER_MSEC,
	};

	*test = (struct httpd_test){ .ev = ev_loop_new(EVFLAG_AUTO) };
	test->httpd = httpd_new(test->ev, "127.0.0.1:0", &limits, &ops, test);
	CU_ASSERT_PTR_NOT_NULL_FATAL(test->httpd);
}

static void teardown(struct httpd_test *test)
{
	httpd_free(test->httpd);
	ev_loop_destroy(test->ev);
}

struct slow_case {
	const char *name;
	const char *sent;
	const char *part; /* substring of the answer */
};

static const struct slow_case slow_cases[] = {
	{ "no request", "", "HTTP/1.1 408 " },
	{ "half of the headers", "GET / HTTP/1.1\r\nHost:", "HTTP/1.1 408 " },
	{ "half of the body",
	  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf",
	  "HTTP/1.1 408 " },
	{ "an unfinished chunk",
	  "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "9\r\nhalf",
	  "HTTP/1.1 408 " },
};

/* Guards against clients that hold a connection with a partial request. */
static void test_slow_sender(void)
{
	for (gsize i = 0; i < G_N_ELEMENTS(slow_cases); i++) {
		struct httpd_test test;
		struct wire *wire;

		setup(&test);
		wire = wire_connect(test.ev, httpd_port(test.httpd));
		wire_send(wire, slow_cases[i].sent, strlen(slow_cases[i].sent));
		CU_ASSERT_TRUE(wire_until_closed(wire));
		contract_expect(slow_cases[i].name, wire->received->str,
				slow_cases[i].part);
		CU_ASSERT_EQUAL(test.request_count, 0);
		wire_free(wire);
		teardown(&test);
	}
}

/* Guards against a 408 on an idle connection, read as the next answer. */
static void test_idle_connection(void)
{
	struct httpd_test test;
	struct wire *wire;

	setup(&test);
	wire = wire_connect(test.ev, httpd_port(test.httpd));
	contract_expect("first", wire_ask(wire, GET_ROOT), "HTTP/1.1 200 ");
	CU_ASSERT_TRUE(wire_until_closed(wire));
	CU_ASSERT_PTR_NULL(strstr(wire->received->str, " 408 "));
	wire_free(wire);
	teardown(&test);
}

/* Guards against exceeding the connection limit, and against never serving a
 * connection above it.
 */
static void test_connection_bound(void)
{
	struct wire *wires[CONNECTIONS_COUNT];
	struct httpd_test test;
	struct wire *last;
	uint32_t closed_count = 0;

	setup(&test);
	for (gsize i = 0; i < G_N_ELEMENTS(wires); i++)
		wires[i] = wire_connect(test.ev, httpd_port(test.httpd));
	last = wire_connect(test.ev, httpd_port(test.httpd));
	contract_expect("over the limit", wire_ask(last, GET_ROOT),
			"HTTP/1.1 200 ");
	for (gsize i = 0; i < G_N_ELEMENTS(wires); i++) {
		closed_count += wires[i]->closed || wires[i]->received->len;
		wire_free(wires[i]);
	}
	CU_ASSERT_TRUE(closed_count > 0);
	wire_free(last);
	teardown(&test);
}

static bool is_asked(const void *data)
{
	return ((const struct httpd_test *)data)->request_count > 0;
}

/* Guards against a client that never reads its answer. */
static void test_slow_reader(void)
{
	static const char request[] = GET_ROOT;
	struct httpd_test test;
	struct wire *reader;
	struct wire *watcher;

	setup(&test);
	test.big = true;
	reader = wire_connect(test.ev, httpd_port(test.httpd));
	ev_io_stop(test.ev, &reader->reader);
	wire_send(reader, request, strlen(request));
	/* Opened later, so it is closed after the reader's connection. */
	CU_ASSERT_TRUE(contract_until(test.ev, is_asked, &test));
	watcher = wire_connect(test.ev, httpd_port(test.httpd));
	CU_ASSERT_TRUE(wire_until_closed(watcher));
	ev_io_start(test.ev, &reader->reader);
	CU_ASSERT_TRUE(wire_until_closed(reader));
	CU_ASSERT_TRUE(reader->received->len < BIG_BYTES);
	wire_free(watcher);
	wire_free(reader);
	teardown(&test);
}

static const CU_TestInfo tests[] = {
	{ "slow_sender", test_slow_sender },
	{ "idle_connection", test_idle_connection },
	{ "connection_bound", test_connection_bound },
	{ "slow_reader", test_slow_reader },
	CU_TEST_INFO_NULL,
};

static struct suite httpd_suite = { .name = "httpd", .tests = tests };

SUITE_REGISTER(httpd_suite)
