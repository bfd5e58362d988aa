/* Limits of an HTTP request: size of headers and body, and time. */

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "io/mhd_private.h"
#include "kernel/clock.h"
#include "kernel/klog.h"

#define HEADERS_MAX_BYTES 16384
/*
 * A body over its limit is read and discarded up to here, so that a client
 * that sends all of it before reading gets the response and not a connection
 * reset.
 */
#define DISCARD_MAX_BYTES (UINT64_C(8) * 1024 * 1024)

static void arm_deadline_timer(struct httpd *httpd)
{
	const struct conn *first = g_queue_peek_head(&httpd->deadlines);
	int64_t left_us;

	if (!first) {
		ev_timer_stop(httpd->ev, &httpd->deadline_timer);
		return;
	}
	/* A timer armed for an earlier deadline re-arms when it expires. */
	if (ev_is_active(&httpd->deadline_timer))
		return;
	left_us = MAX(first->deadline_us - clock_now_us(), 0);
	ev_now_update(httpd->ev);
	ev_timer_set(&httpd->deadline_timer,
		     (double)left_us / (double)USEC_PER_SEC, 0.);
	ev_timer_start(httpd->ev, &httpd->deadline_timer);
}

void conn_clear_deadline(struct conn *conn)
{
	if (!conn->deadline_us)
		return;
	conn->deadline_us = 0;
	g_queue_unlink(&conn->httpd->deadlines, &conn->link);
}

void conn_set_deadline(struct conn *conn)
{
	conn_clear_deadline(conn);
	conn->deadline_us =
		clock_now_us() + conn->httpd->limits.client_timeout_us;
	g_queue_push_tail_link(&conn->httpd->deadlines, &conn->link);
	arm_deadline_timer(conn->httpd);
}

void conn_send_error(const struct conn *conn, const char *status,
		     const char *reason)
{
	char *body = exchange_error_text(reason, VERDICT_NOT_RUN, NULL);
	char *text;

	if (!body)
		return;
	text = g_strdup_printf(
		"HTTP/1.1 %s\r\n"
		"Connection: close\r\n"
		"Content-Type: application/json\r\n"
		"Pl-Verdict: not-run\r\n"
		"%s"
		"Content-Length: %zu\r\n\r\n%s",
		status,
		g_str_has_prefix(status, "503") ? "Retry-After: 1\r\n" : "",
		strlen(body), body);
	if (send(conn->fd, text, strlen(text), MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
		klog_debug(LOG_PREFIX, "could not send status %s: %s", status,
			   g_strerror(errno));
	g_free(text);
	free(body);
}

static void drop_received(struct exchange *exchange)
{
	if (exchange->received)
		g_byte_array_unref(exchange->received);
	exchange->received = NULL;
}

bool conn_is_receiving(const struct conn *conn)
{
	return conn->exchange ? conn->exchange->state <= EXCHANGE_RECEIVING
			      : !conn->used;
}

void conn_shut_down(struct conn *conn)
{
	struct exchange *exchange = conn->exchange;

	conn_clear_deadline(conn);
	conn_begin_phase(conn, CONN_CLOSING, 0);
	if (exchange)
		drop_received(exchange);
	/* libmicrohttpd sees the end of the stream and closes the socket. */
	shutdown(conn->fd, SHUT_RDWR);
}

static void expire_conn(struct conn *conn)
{
	if (conn_is_receiving(conn)) {
		conn_report(conn, CONN_CAUSE_TIMEOUT);
		conn_send_error(conn, "408 Request Timeout",
				"the request took too long to arrive");
	} else if (conn->exchange) {
		conn_report(conn, CONN_CAUSE_SLOW_READER);
	}
	conn_shut_down(conn);
}

void httpd_on_deadline(struct ev_loop *ev, ev_timer *watcher, int revents)
{
	struct httpd *httpd = watcher->data;
	struct conn *first;

	(void)ev;
	(void)revents;
	while ((first = g_queue_peek_head(&httpd->deadlines)) &&
	       first->deadline_us <= clock_now_us())
		expire_conn(first);
	arm_deadline_timer(httpd);
}

void exchange_reply_too_large(struct exchange *exchange)
{
	char *reason = g_strdup_printf(
		"the body is larger than %" G_GUINT64_FORMAT " bytes",
		exchange->conn->httpd->limits.body_max_bytes);

	conn_report(exchange->conn, CONN_CAUSE_BODY);
	exchange_reply_error(exchange, MHD_HTTP_CONTENT_TOO_LARGE, reason,
			     VERDICT_NOT_RUN, NULL);
	g_free(reason);
}

static bool has_too_many_lines(const struct exchange *exchange)
{
	uint32_t max_count =
		exchange->conn->httpd->limits.header_lines_max_count;
	int count = MHD_get_connection_values(exchange->conn->mhd,
					      MHD_HEADER_KIND, NULL, NULL);

	return max_count && count > 0 && (uint32_t)count > max_count;
}

static void refuse_headers(struct exchange *exchange, const char *reason)
{
	conn_report(exchange->conn, CONN_CAUSE_HEADERS);
	exchange_reply_error(exchange, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
			     reason, VERDICT_NOT_RUN, NULL);
}

void exchange_check_headers(struct exchange *exchange)
{
	const struct httpd *httpd = exchange->conn->httpd;
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		exchange->conn->mhd, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	const char *length = exchange_header(exchange, "Content-Length");
	uint64_t length_bytes = length ? g_ascii_strtoull(length, NULL, 10) : 0;

	if (info && info->header_size > HEADERS_MAX_BYTES) {
		refuse_headers(exchange,
			       "the headers are larger than 16384 bytes");
		return;
	}
	if (has_too_many_lines(exchange)) {
		refuse_headers(exchange,
			       "the request has too many header lines");
		return;
	}
	if (length_bytes <= httpd->limits.body_max_bytes)
		return;
	if (exchange_header(exchange, "Expect") ||
	    length_bytes > DISCARD_MAX_BYTES)
		exchange_reply_too_large(exchange);
}

enum MHD_Result exchange_receive(struct exchange *exchange, const char *data,
				 size_t size_bytes)
{
	struct conn *conn = exchange->conn;

	exchange->received_bytes += size_bytes;
	conn_budget_progress(conn->httpd->budget, &conn->account, size_bytes,
			     clock_now_us());
	if (exchange->received_bytes > DISCARD_MAX_BYTES) {
		conn_report(conn, CONN_CAUSE_BODY);
		conn_send_error(conn, "413 Content Too Large",
				"the body is far too large");
		return MHD_NO;
	}
	if (exchange->too_large)
		return MHD_YES;
	if (exchange->received_bytes > conn->httpd->limits.body_max_bytes) {
		exchange->too_large = true;
		drop_received(exchange);
		return conn_recount(conn) ? MHD_YES : MHD_NO;
	}
	if (!exchange->received)
		exchange->received = g_byte_array_new();
	g_byte_array_append(exchange->received, (const guint8 *)data,
			    (guint)size_bytes);
	return conn_recount(conn) ? MHD_YES : MHD_NO;
}
