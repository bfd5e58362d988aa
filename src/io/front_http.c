/* The callers' front end over plain HTTP/1.1. */

#include <string.h>

#include "io/serve_limits.h"
#include "io/token.h"
#include "kernel/clock.h"
#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "front"
#define BODY_MAX_BYTES (UINT64_C(1024) * 1024)
#define CLIENT_TIMEOUT_US (30 * USEC_PER_SEC)
#define DEADLINE_MAX_MS (UINT64_C(24) * 3600 * 1000)
#define DRAIN_RETRY_AFTER_US USEC_PER_SEC

struct front {
	struct kernel *kernel;
	struct httpd *httpd;
	GHashTable *waiting; /* request id -> struct exchange */
	char *relay_mac;     /* Pl-Relay of requests from other entries */
	bool draining;
};

/* Parsed headers of a request. */
struct front_headers {
	int64_t deadline_ms; /* 0: none given */
	const char *key;
	const char *content_type;
	bool relayed;
};

static bool has_only_visible(const char *text)
{
	for (; *text; text++) {
		if ((unsigned char)*text <= ' ' || *text == 0x7f)
			return false;
	}
	return true;
}

/* The read_ functions return the reason to reject a request, or NULL. */
static const char *read_deadline(const struct exchange *exchange,
				 struct front_headers *headers)
{
	const char *value = exchange_header(exchange, "Pl-Deadline-Ms");
	guint64 deadline_ms;

	if (!value)
		return NULL;
	if (!g_ascii_string_to_unsigned(value, 10, 1, DEADLINE_MAX_MS,
					&deadline_ms, NULL))
		return "Pl-Deadline-Ms: expected milliseconds, 1 to 86400000";
	headers->deadline_ms = (int64_t)deadline_ms;
	return NULL;
}

static const char *read_key(const struct exchange *exchange,
			    struct front_headers *headers)
{
	headers->key = exchange_header(exchange, "Idempotency-Key");
	if (!headers->key)
		return NULL;
	if (!headers->key[0])
		return "Idempotency-Key: expected a key, it is empty";
	if (strlen(headers->key) >= KEY_SIZE_BYTES)
		return "Idempotency-Key: expected at most 127 characters";
	if (!has_only_visible(headers->key))
		return "Idempotency-Key: expected visible characters only";
	return NULL;
}

static const char *read_content_type(const struct exchange *exchange,
				     struct front_headers *headers)
{
	headers->content_type = exchange_header(exchange, "Content-Type");
	if (headers->content_type &&
	    strlen(headers->content_type) >= CONTENT_TYPE_SIZE_BYTES)
		return "Content-Type: expected at most 255 characters";
	return NULL;
}

static const char *read_relay(const struct front *front,
			      const struct exchange *exchange,
			      struct front_headers *headers)
{
	const char *value = exchange_header(exchange, "Pl-Relay");

	headers->relayed = value != NULL;
	if (value && !token_equal(value, front->relay_mac))
		return "Pl-Relay: only entry instances of this fleet send it";
	return NULL;
}

static const char *read_request_line(const struct exchange *exchange)
{
	if (strlen(exchange_method(exchange)) >= METHOD_SIZE_BYTES)
		return "method: expected at most 15 characters";
	if (exchange_target(exchange)[0] != '/')
		return "target: expected a path with a leading '/'";
	if (!has_only_visible(exchange_target(exchange)))
		return "target: expected visible characters only";
	return NULL;
}

static const char *read_request(const struct front *front,
				const struct exchange *exchange,
				struct front_headers *headers)
{
	const char *reason = read_request_line(exchange);

	if (!reason)
		reason = read_deadline(exchange, headers);
	if (!reason)
		reason = read_key(exchange, headers);
	if (!reason)
		reason = read_content_type(exchange, headers);
	if (!reason)
		reason = read_relay(front, exchange, headers);
	return reason;
}

static struct request *add_request(struct front *front,
				   const struct exchange *exchange,
				   const struct front_headers *headers)
{
	struct request *request = request_add(kernel_requests(front->kernel));
	GBytes *body = exchange_body(exchange);

	name_copy(request->method, sizeof(request->method),
		  exchange_method(exchange));
	request->path = g_strdup(exchange_target(exchange));
	if (headers->content_type)
		name_copy(request->content_type, sizeof(request->content_type),
			  headers->content_type);
	if (headers->key)
		name_copy(request->key, sizeof(request->key), headers->key);
	request->relayed = headers->relayed;
	/* The kernel's clock is not advanced while the loop waits. */
	request->arrived_us = clock_now_us();
	if (headers->deadline_ms)
		request->deadline_us = request->arrived_us +
				       headers->deadline_ms * USEC_PER_MSEC;
	request->body = body ? g_bytes_ref(body) : NULL;
	return request;
}

static void add_retry_after(struct exchange *exchange, int64_t retry_after_us)
{
	char seconds[24];

	if (retry_after_us <= 0)
		return;
	g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
		   (retry_after_us + USEC_PER_SEC - 1) / USEC_PER_SEC);
	exchange_add_header(exchange, "Retry-After", seconds);
}

static void front_request(void *self, struct exchange *exchange)
{
	struct front *front = self;
	struct event event = { .type = EVENT_REQUEST_NEW };
	struct front_headers headers = { 0 };
	const char *reason = read_request(front, exchange, &headers);
	struct request *request;
	uint64_t *id;

	if (reason) {
		counter_add(kernel_counters(front->kernel),
			    "requests_malformed_total", 1);
		exchange_reply_error(exchange, 400, reason, VERDICT_NOT_RUN,
				     NULL);
		return;
	}
	if (front->draining) {
		add_retry_after(exchange, DRAIN_RETRY_AFTER_US);
		exchange_reply_error(exchange, 503,
				     "this entry instance is leaving",
				     VERDICT_NOT_RUN, NULL);
		return;
	}
	request = add_request(front, exchange, &headers);
	event.request.request_id = request->id;
	id = g_memdup2(&request->id, sizeof(request->id));
	exchange_set_data(exchange, id);
	g_hash_table_insert(front->waiting, id, exchange);
	kernel_emit(front->kernel, &event);
}

static void front_disconnected(void *self, struct exchange *exchange)
{
	struct front *front = self;
	const uint64_t *id = exchange_data(exchange);
	struct event event = { .type = EVENT_REQUEST_GONE };

	event.request.request_id = *id;
	g_hash_table_remove(front->waiting, &event.request.request_id);
	kernel_emit(front->kernel, &event);
}

static const struct httpd_ops front_ops = {
	.request = front_request,
	.disconnected = front_disconnected,
};

static void send_reply(struct front *front, struct exchange *exchange,
		       const struct event *event)
{
	char *id = g_strdup_printf("%s/%" G_GUINT64_FORMAT,
				   kernel_settings(front->kernel)->entry,
				   event->request.request_id);

	exchange_add_header(exchange, "Pl-Request", id);
	if (event->response) {
		exchange_add_header(exchange, "Pl-Verdict",
				    verdict_name(event->request.verdict));
		exchange_reply(exchange, event->response->status,
			       event->response->content_type,
			       event->response->body);
	} else {
		add_retry_after(exchange, event->request.retry_after_us);
		exchange_reply_error(exchange, event->request.status,
				     event->request.reason,
				     event->request.verdict, id);
	}
	g_free(id);
}

static void on_reply(struct front *front, const struct event *event)
{
	uint64_t id = event->request.request_id;
	struct exchange *exchange = g_hash_table_lookup(front->waiting, &id);

	if (exchange) {
		g_hash_table_remove(front->waiting, &id);
		send_reply(front, exchange, event);
	}
	request_remove(kernel_requests(front->kernel), id);
}

static void front_handle(void *self, const struct event *event)
{
	struct front *front = self;

	if (event->type == EVENT_REQUEST_REPLY)
		on_reply(front, event);
	else if (event->type == EVENT_DRAIN)
		front->draining = true;
}

static void *front_init(struct kernel *kernel)
{
	struct conn_limits conn_limits;
	struct httpd_limits limits = {
		.body_max_bytes = BODY_MAX_BYTES,
		.client_timeout_us = CLIENT_TIMEOUT_US,
	};
	struct front *front = g_new0(struct front, 1);
	char *token = token_read(kernel_settings(kernel)->token_file);

	if (!token)
		goto fail;
	front->relay_mac = token_relay_mac(token);
	front->kernel = kernel;
	serve_limits_callers(kernel, &limits, &conn_limits);
	front->httpd = httpd_new(kernel_loop(kernel),
				 kernel_settings(kernel)->caller_address,
				 &limits, &front_ops, front);
	if (!front->httpd)
		goto fail;
	g_free(token);
	front->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, NULL);
	counter_set(kernel_counters(kernel),
		    "listening_port{interface=\"callers\"}",
		    httpd_port(front->httpd));
	klog_info(LOG_PREFIX, "listening for callers on port %u",
		  httpd_port(front->httpd));
	return front;
fail:
	g_free(token);
	g_free(front->relay_mac);
	g_free(front);
	return NULL;
}

/* Pending requests may have been sent to an endpoint already. */
static void front_fini(void *self)
{
	struct front *front = self;
	struct event event = { .type = EVENT_REQUEST_REPLY };
	GHashTableIter iter;
	gpointer exchange;
	gpointer id;

	event.request.status = 503;
	event.request.verdict = VERDICT_MAY_HAVE_RUN;
	g_strlcpy(event.request.reason, "this entry instance has ended",
		  sizeof(event.request.reason));
	g_hash_table_iter_init(&iter, front->waiting);
	while (g_hash_table_iter_next(&iter, &id, &exchange)) {
		event.request.request_id = *(uint64_t *)id;
		send_reply(front, exchange, &event);
	}
	httpd_free(front->httpd);
	g_hash_table_unref(front->waiting);
	g_free(front->relay_mac);
	g_free(front);
}

static const struct plugin front_plugin = {
	.name = "front_http",
	.kind = PLUGIN_FRONT,
	.subscriptions =
		EVENT_BIT(EVENT_REQUEST_REPLY) | EVENT_BIT(EVENT_DRAIN),
	.init = front_init,
	.handle = front_handle,
	.fini = front_fini,
};

PLUGIN_REGISTER(front_plugin)
