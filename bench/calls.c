/*
 * Measures the processor time of one call of the HTTP client, for
 * docs/CAPACITY.md: most of the jobs holder's processor time goes into orders
 * to workers. Needs a running `standin-endpoints --port=PORT --count=COUNT`:
 *
 *   bench-calls PORT COUNT [CONCURRENT-CALLS [CONNECTIONS-PER-ENDPOINT]]
 *
 * With fewer connections than concurrent calls, calls queue in the client, and
 * the length of its queue adds to the time of each call.
 */

#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "io/http_call.h"

#define CALLS_COUNT 20000U
#define CONCURRENT_COUNT 60U
#define TIMEOUT_US (2 * USEC_PER_SEC)
#define BODY                                                                   \
	"{\"fence_token\":12345,\"task\":\"00000000000000a1.0.1.2\","          \
	"\"run_number\":1,\"deadline_ms\":123456789,\"spec\":\"text\"}"

struct bench {
	struct ev_loop *ev;
	struct curl_loop *curl;
	GBytes *body;
	uint32_t port;
	uint32_t endpoints_count;
	uint32_t concurrent_count;
	uint32_t started_count;
	uint32_t ended_count;
	uint32_t failed_count;
};

static void start(struct bench *bench);

static void on_done(void *data, const struct http_result *result)
{
	struct bench *bench = data;

	bench->ended_count++;
	bench->failed_count += !result->complete || result->status != 200;
	if (bench->started_count < CALLS_COUNT)
		start(bench);
	else if (bench->ended_count == CALLS_COUNT)
		ev_break(bench->ev, EVBREAK_ALL);
}

static void start(struct bench *bench)
{
	static const char *const headers[] = {
		"X-Expected-Instance: i-0123456789", NULL
	};
	char url[64];
	struct http_spec spec = {
		.url = url,
		.body = bench->body,
		.content_type = "application/json",
		.headers = headers,
		.timeout_us = TIMEOUT_US,
		.response_max_bytes = 65536,
	};

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/api/order",
		   bench->port + bench->started_count % bench->endpoints_count);
	bench->started_count++;
	if (!http_call_start(bench->curl, &spec, on_done, bench))
		exit(1);
}

static double cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

int main(int argc, char **argv)
{
	struct bench bench = { .ev = ev_default_loop(0) };
	double start_us;

	if (argc < 3 || argc > 5) {
		fprintf(stderr,
			"usage: bench-calls PORT COUNT "
			"[CONCURRENT-CALLS [CONNECTIONS-PER-ENDPOINT]]\n");
		return 2;
	}
	bench.port = (uint32_t)strtoul(argv[1], NULL, 10);
	bench.endpoints_count = MAX((uint32_t)strtoul(argv[2], NULL, 10), 1);
	bench.concurrent_count = argc > 3 ? (uint32_t)strtoul(argv[3], NULL, 10)
					  : CONCURRENT_COUNT;
	bench.body = g_bytes_new_static(BODY, sizeof(BODY) - 1);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	bench.curl = curl_loop_new(bench.ev);
	if (argc > 4)
		curl_loop_limit_connections(
			bench.curl, (uint32_t)strtoul(argv[4], NULL, 10));
	start_us = cpu_us();
	for (uint32_t i = 0; i < bench.concurrent_count; i++)
		start(&bench);
	ev_run(bench.ev, 0);
	printf("%u calls, %u failed, %.1f us of processor time a call\n",
	       CALLS_COUNT, bench.failed_count,
	       (cpu_us() - start_us) / CALLS_COUNT);
	curl_loop_free(bench.curl);
	curl_global_cleanup();
	g_bytes_unref(bench.body);
	return bench.failed_count != 0;
}
