#include "io/http_call.h"

#include <sys/socket.h>

#include "kernel/clock.h"

#define CONNECT_MAX_MS 1000L

struct http_call {
	struct curl_loop *loop;
	CURL *easy;
	struct curl_slist *headers;
	GBytes *body;
	GByteArray *response;
	size_t response_max_bytes;
	int64_t send_by_us; /* 0: no limit */
	bool sent;
	http_done_fn *done;
	void *data;
};

static void call_free(struct http_call *call)
{
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	if (call->body)
		g_bytes_unref(call->body);
	g_byte_array_unref(call->response);
	g_free(call);
}

static size_t on_body(char *data, size_t size, size_t count, void *self)
{
	struct http_call *call = self;
	size_t size_bytes = size * count;

	if (call->response->len + size_bytes > call->response_max_bytes)
		return 0;
	g_byte_array_append(call->response, (const guint8 *)data,
			    (guint)size_bytes);
	return size_bytes;
}

/*
 * Called before each request that libcurl sends. libcurl retries by itself
 * when a reused connection breaks; an append could then take effect twice, so
 * retries are left to the caller.
 */
static int on_before_request(void *self, char *remote_ip, char *local_ip,
			     int remote_port, int local_port)
{
	struct http_call *call = self;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (call->sent ||
	    (call->send_by_us && clock_now_us() > call->send_by_us))
		return CURL_PREREQFUNC_ABORT;
	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

/* With a linger time of 0, closing a socket resets the connection. */
static int set_reset_on_close(void *self, curl_socket_t fd,
			      curlsocktype purpose)
{
	const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	(void)self;
	(void)purpose;
	return setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger))
		       ? CURL_SOCKOPT_ERROR
		       : CURL_SOCKOPT_OK;
}

static void on_done(void *data, CURL *easy, CURLcode code)
{
	struct http_call *call = data;
	struct curl_header *etag;
	struct http_result result = {
		.sent = call->sent,
		.complete = code == CURLE_OK,
		.body = call->response,
	};

	if (result.complete)
		result.status = curl_loop_status(easy);
	if (curl_easy_header(easy, "ETag", 0, CURLH_HEADER, -1, &etag) ==
	    CURLHE_OK)
		result.etag = etag->value;
	call->done(call->data, &result);
	call_free(call);
}

static void set_headers(struct http_call *call, const struct http_spec *spec)
{
	gsize size_bytes;
	const void *data;
	char *type;

	/* An empty value suppresses libcurl's own header. */
	call->headers = curl_slist_append(call->headers, "Expect:");
	if (spec->if_none_match) {
		char *match = g_strdup_printf("If-None-Match: %s",
					      spec->if_none_match);

		call->headers = curl_slist_append(call->headers, match);
		g_free(match);
	}
	for (size_t i = 0; spec->headers && spec->headers[i]; i++)
		call->headers =
			curl_slist_append(call->headers, spec->headers[i]);
	if (spec->body) {
		call->body = g_bytes_ref(spec->body);
		data = g_bytes_get_data(call->body, &size_bytes);
		type = g_strdup_printf("Content-Type: %s", spec->content_type);
		call->headers = curl_slist_append(call->headers, type);
		g_free(type);
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)size_bytes);
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS,
				 data ? data : "");
	}
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
}

struct http_call *http_call_start(struct curl_loop *loop,
				  const struct http_spec *spec,
				  http_done_fn *done, void *data)
{
	CURL *easy = curl_loop_easy_new();
	struct http_call *call;

	if (!easy)
		return NULL;
	call = g_new0(struct http_call, 1);
	call->loop = loop;
	call->easy = easy;
	call->response = g_byte_array_new();
	call->response_max_bytes = spec->response_max_bytes;
	call->send_by_us = spec->send_by_us;
	call->done = done;
	call->data = data;
	curl_easy_setopt(easy, CURLOPT_URL, spec->url);
	set_headers(call, spec);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(spec->timeout_us / USEC_PER_MSEC));
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MAX_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	if (spec->reset_on_close)
		curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION,
				 set_reset_on_close);
	if (curl_loop_submit(loop, easy, on_done, call))
		return call;
	call_free(call);
	return NULL;
}

void http_call_cancel(struct http_call *call)
{
	if (!call)
		return;
	curl_loop_cancel(call->loop, call->easy);
	call_free(call);
}
