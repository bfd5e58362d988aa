/*
 * Minimal reverse proxy, the baseline of bench/run: uses the same libraries and
 * event loop bindings as persimmonlatch, but makes no decisions. Distributes
 * requests to the endpoints round-robin.
 *
 * Usage: bench-passthrough LISTEN ENDPOINT...
 */

#include <stdio.h>
#include <string.h>

#include "io/curl_loop.h"
#include "io/mhd_loop.h"
#include "kernel/klog.h"

#define BODY_MAX_BYTES UINT64_C(1048576)
#define CONNECTIONS_MAX_COUNT 1024
#define SLOW_CLIENT_US (30 * USEC_PER_SEC)

struct passthrough {
	struct curl_loop *curl;
	char **endpoints;
	int endpoint_count;
	uint32_t next;
};

struct call {
	struct passthrough *passthrough;
	struct exchange *exchange;
	CURL *easy;
	GByteArray *body;
};

static void call_free(struct call *call)
{
	curl_easy_cleanup(call->easy);
	g_byte_array_unref(call->body);
	g_free(call);
}

static size_t on_body(char *data, size_t size, size_t count, void *user)
{
	struct call *call = user;

	g_byte_array_append(call->body, (const guint8 *)data,
			    (guint)(size * count));
	return size * count;
}

static void on_done(void *data, CURL *easy, CURLcode result)
{
	struct call *call = data;
	const char *type = NULL;
	long status = 502;
	GBytes *body;

	if (result == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(easy, CURLINFO_CONTENT_TYPE, &type);
	body = g_bytes_new(call->body->data, call->body->len);
	exchange_reply(call->exchange, (uint32_t)status, type ? type : "",
		       body);
	g_bytes_unref(body);
	call_free(call);
}

static void on_request(void *self, struct exchange *exchange)
{
	struct passthrough *passthrough = self;
	struct call *call = g_new0(struct call, 1);
	GBytes *body = exchange_body(exchange);
	char *url = g_strdup_printf(
		"http://%s%s",
		passthrough->endpoints[passthrough->next++ %
				       (uint32_t)passthrough->endpoint_count],
		exchange_target(exchange));

	call->passthrough = passthrough;
	call->exchange = exchange;
	call->body = g_byte_array_new();
	call->easy = curl_loop_easy_new();
	exchange_set_data(exchange, call);
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST,
			 exchange_method(exchange));
	if (body) {
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)g_bytes_get_size(body));
		curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS,
				 g_bytes_get_data(body, NULL));
	}
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_loop_submit(passthrough->curl, call->easy, on_done, call);
	g_free(url);
}

static void on_gone(void *self, struct exchange *exchange)
{
	struct passthrough *passthrough = self;
	struct call *call = exchange_data(exchange);

	curl_loop_cancel(passthrough->curl, call->easy);
	call_free(call);
}

static void on_signal(struct ev_loop *ev, ev_signal *watcher, int revents)
{
	(void)watcher;
	(void)revents;
	ev_break(ev, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	static const struct httpd_ops ops = {
		.request = on_request,
		.disconnected = on_gone,
	};
	const struct httpd_limits limits = {
		.body_max_bytes = BODY_MAX_BYTES,
		.connections_max_count = CONNECTIONS_MAX_COUNT,
		.client_timeout_us = SLOW_CLIENT_US,
	};
	struct ev_loop *ev = ev_default_loop(EVFLAG_AUTO);
	struct passthrough passthrough = { .curl = NULL };
	struct httpd *httpd;
	ev_signal watcher;

	if (argc < 3) {
		fprintf(stderr, "usage: %s LISTEN ENDPOINT...\n", argv[0]);
		return 2;
	}
	klog_init("passthrough");
	curl_global_init(CURL_GLOBAL_DEFAULT);
	passthrough.curl = curl_loop_new(ev);
	passthrough.endpoints = argv + 2;
	passthrough.endpoint_count = argc - 2;
	httpd = httpd_new(ev, argv[1], &limits, &ops, &passthrough);
	if (!httpd)
		return 1;
	ev_signal_init(&watcher, on_signal, SIGTERM);
	ev_signal_start(ev, &watcher);
	ev_run(ev, 0);
	httpd_free(httpd);
	curl_loop_free(passthrough.curl);
	curl_global_cleanup();
	return 0;
}
