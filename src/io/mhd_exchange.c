/* Exchanges: a request and its response, driven by libmicrohttpd. */

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "io/mhd_private.h"

/* Of requests that are received while the server stops. */
#define STOPPING_RETRY_AFTER_S "1"
/* More than the headers of a response take. */
#define RESPONSE_HEADERS_BYTES 1024

char *exchange_error_text(const char *reason, enum verdict verdict,
			  const char *request)
{
	gchar *valid = g_utf8_make_valid(reason, -1);
	json_t *json = json_pack("{s:s, s:s, s:s?}", "reason", valid, "verdict",
				 verdict_name(verdict), "request", request);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	json_decref(json);
	g_free(valid);
	return text;
}

static void resume(struct exchange *exchange)
{
	struct httpd *httpd = exchange->conn->httpd;

	conn_unwatch_disconnect(exchange->conn);
	if (!exchange->suspended)
		return;
	exchange->suspended = false;
	MHD_resume_connection(exchange->conn->mhd);
	/* With external polling, resuming does not wake the loop. */
	httpd_run_soon(httpd);
}

void exchange_disconnect(struct exchange *exchange)
{
	struct httpd *httpd = exchange->conn->httpd;

	exchange->state = EXCHANGE_DISCONNECTED;
	httpd->ops->disconnected(httpd->self, exchange);
	resume(exchange);
}

void exchange_free(struct exchange *exchange)
{
	struct conn *conn = exchange->conn;

	if (exchange->state == EXCHANGE_WAITING) {
		exchange->suspended = false;
		exchange_disconnect(exchange);
	}
	if (exchange->state == EXCHANGE_REPLIED)
		conn->httpd->unsent_count--;
	conn->exchange = NULL;
	g_free(exchange->target);
	g_free(exchange->path);
	g_free(exchange->method);
	if (exchange->received)
		g_byte_array_unref(exchange->received);
	if (exchange->body)
		g_bytes_unref(exchange->body);
	g_free(exchange->content_type);
	g_ptr_array_unref(exchange->headers);
	if (exchange->response_body)
		g_bytes_unref(exchange->response_body);
	g_free(exchange);
}

const char *exchange_method(const struct exchange *exchange)
{
	return exchange->method;
}

const char *exchange_target(const struct exchange *exchange)
{
	return exchange->target;
}

const char *exchange_path(const struct exchange *exchange)
{
	return exchange->path;
}

const char *exchange_argument(const struct exchange *exchange, const char *name)
{
	return MHD_lookup_connection_value(exchange->conn->mhd,
					   MHD_GET_ARGUMENT_KIND, name);
}

const char *exchange_header(const struct exchange *exchange, const char *name)
{
	return MHD_lookup_connection_value(exchange->conn->mhd, MHD_HEADER_KIND,
					   name);
}

GBytes *exchange_body(const struct exchange *exchange)
{
	return exchange->body;
}

void exchange_drop_body(struct exchange *exchange)
{
	if (exchange->body)
		g_bytes_unref(exchange->body);
	exchange->body = NULL;
}

void exchange_set_data(struct exchange *exchange, void *data)
{
	exchange->data = data;
}

void *exchange_data(const struct exchange *exchange)
{
	return exchange->data;
}

void exchange_add_header(struct exchange *exchange, const char *name,
			 const char *value)
{
	g_ptr_array_add(exchange->headers, g_strdup(name));
	g_ptr_array_add(exchange->headers, g_strdup(value));
}

void exchange_reply(struct exchange *exchange, uint32_t status,
		    const char *content_type, GBytes *body)
{
	exchange->state = EXCHANGE_REPLIED;
	exchange->conn->httpd->unsent_count++;
	exchange->status = status;
	exchange->content_type = g_strdup(content_type);
	exchange->response_body =
		body ? g_bytes_ref(body) : g_bytes_new(NULL, 0);
	resume(exchange);
}

void exchange_reply_error(struct exchange *exchange, uint32_t status,
			  const char *reason, enum verdict verdict,
			  const char *request)
{
	char *text = exchange_error_text(reason, verdict, request);
	GBytes *body = g_bytes_new_with_free_func(text, text ? strlen(text) : 0,
						  free, text);

	exchange_add_header(exchange, "Pl-Verdict", verdict_name(verdict));
	exchange_reply(exchange, status, "application/json", body);
	g_bytes_unref(body);
}

/* Callbacks of libmicrohttpd */

static struct conn *conn_of(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

/* Only this callback gets the target before libmicrohttpd decodes it. */
void *exchange_on_target(void *self, const char *target,
			 struct MHD_Connection *mhd)
{
	struct conn *conn = conn_of(mhd);
	struct exchange *exchange;

	(void)self;
	if (!conn)
		return NULL;
	exchange = g_new0(struct exchange, 1);
	exchange->conn = conn;
	exchange->target = g_strdup(target);
	exchange->headers = g_ptr_array_new_with_free_func(g_free);
	if (conn->exchange)
		exchange_free(conn->exchange);
	conn->exchange = exchange;
	return exchange;
}

void exchange_on_completed(void *self, struct MHD_Connection *mhd,
			   void **request_context,
			   enum MHD_RequestTerminationCode code)
{
	struct conn *conn = conn_of(mhd);

	(void)self;
	(void)code;
	*request_context = NULL;
	if (!conn)
		return;
	if (conn->exchange)
		exchange_free(conn->exchange);
	conn->used = true;
	conn_set_deadline(conn);
	conn_begin_phase(conn, CONN_IDLE, 0);
	(void)conn_recount(conn);
}

static void release_bytes(void *bytes)
{
	g_bytes_unref(bytes);
}

static enum MHD_Result queue_response(struct exchange *exchange)
{
	gsize size_bytes;
	const void *data =
		g_bytes_get_data(exchange->response_body, &size_bytes);
	struct MHD_Response *response;
	enum MHD_Result queued;

	response = MHD_create_response_from_buffer_with_free_callback_cls(
		size_bytes, (void *)data, release_bytes,
		g_bytes_ref(exchange->response_body));
	if (!response) {
		g_bytes_unref(exchange->response_body);
		return MHD_NO;
	}
	if (exchange->content_type && exchange->content_type[0])
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
					exchange->content_type);
	for (guint i = 0; i + 1 < exchange->headers->len; i += 2)
		MHD_add_response_header(response, exchange->headers->pdata[i],
					exchange->headers->pdata[i + 1]);
	if (exchange->conn->httpd->stopping)
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION,
					"close");
	queued = MHD_queue_response(exchange->conn->mhd, exchange->status,
				    response);
	MHD_destroy_response(response);
	conn_set_deadline(exchange->conn);
	conn_begin_phase(exchange->conn, CONN_SENDING,
			 size_bytes + RESPONSE_HEADERS_BYTES);
	(void)conn_recount(exchange->conn);
	return queued;
}

static void begin_request(struct exchange *exchange, const char *path,
			  const char *method)
{
	exchange->state = EXCHANGE_RECEIVING;
	exchange->path = g_strdup(path);
	exchange->method = g_strdup(method);
	conn_set_deadline(exchange->conn);
	conn_begin_phase(exchange->conn, CONN_RECEIVING, 0);
	exchange_check_headers(exchange);
}

/* Nobody is left to answer a request that waits. */
static void refuse_stopping(struct exchange *exchange)
{
	exchange_add_header(exchange, MHD_HTTP_HEADER_RETRY_AFTER,
			    STOPPING_RETRY_AFTER_S);
	exchange_reply_error(exchange, MHD_HTTP_SERVICE_UNAVAILABLE,
			     "this entry instance is leaving", VERDICT_NOT_RUN,
			     NULL);
}

static void dispatch_request(struct exchange *exchange)
{
	struct httpd *httpd = exchange->conn->httpd;

	conn_clear_deadline(exchange->conn);
	if (exchange->too_large) {
		exchange_reply_too_large(exchange);
		return;
	}
	if (httpd->stopping) {
		refuse_stopping(exchange);
		return;
	}
	if (exchange->received)
		exchange->body = g_byte_array_free_to_bytes(exchange->received);
	exchange->received = NULL;
	exchange->state = EXCHANGE_WAITING;
	conn_begin_phase(exchange->conn, CONN_WAITING, 0);
	httpd->ops->request(httpd->self, exchange);
	if (exchange->state != EXCHANGE_WAITING)
		return;
	(void)conn_recount(exchange->conn);
	exchange->suspended = true;
	MHD_suspend_connection(exchange->conn->mhd);
	conn_watch_disconnect(exchange->conn);
}

enum MHD_Result exchange_on_request(void *self, struct MHD_Connection *mhd,
				    const char *path, const char *method,
				    const char *version, const char *upload,
				    size_t *upload_size_bytes,
				    void **request_context)
{
	struct exchange *exchange = *request_context;
	enum MHD_Result result = MHD_YES;

	(void)self;
	(void)mhd;
	(void)version;
	if (!exchange || exchange->conn->account.phase == CONN_CLOSING)
		return MHD_NO;
	if (exchange->state == EXCHANGE_HEADERS) {
		begin_request(exchange, path, method);
	} else if (*upload_size_bytes) {
		result = exchange_receive(exchange, upload, *upload_size_bytes);
		*upload_size_bytes = 0;
		return result;
	} else if (exchange->state == EXCHANGE_RECEIVING) {
		dispatch_request(exchange);
	}
	if (exchange->state == EXCHANGE_REPLIED)
		return queue_response(exchange);
	return exchange->state == EXCHANGE_DISCONNECTED ? MHD_NO : MHD_YES;
}
