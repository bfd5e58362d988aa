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

/*
 * libmicrohttpd accepts no response before a request is complete, so this one
 * is written to the socket directly. Nothing else was sent for this request.
 */
static void send_error_directly(const struct conn *conn, const char *status,
				const char *reason)
{
	char *body = exchange_error_text(reason, VERDICT_NOT_RUN, NULL);
	char *text;

	if (!body)
		return;
	text = g_strdup_printf("HTTP/1.1 %s\r\n"
			       "Connection: close\r\n"
			       "Content-Type: application/json\r\n"
			       "Pl-Verdict: not-run\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
			       status, strlen(body), body);
	if (send(conn->fd, text, strlen(text), MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
		klog_debug(LOG_PREFIX, "could not send status %s: %s", status,
			   g_strerror(errno));
	g_free(text);
	free(body);
}

static void expire_conn(struct conn *conn)
{
	const struct exchange *exchange = conn->exchange;
	bool receiving =
		exchange ? exchange->state <= EXCHANGE_RECEIVING : !conn->used;

	conn_clear_deadline(conn);
	if (receiving)
		send_error_directly(conn, "408 Request Timeout",
				    "the request took too long to arrive");
	/* libmicrohttpd sees the end of the stream and closes the socket. */
	shutdown(conn->fd, SHUT_RDWR);
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

	exchange_reply_error(exchange, MHD_HTTP_CONTENT_TOO_LARGE, reason,
			     VERDICT_NOT_RUN, NULL);
	g_free(reason);
}

void exchange_check_headers(struct exchange *exchange)
{
	const struct httpd *httpd = exchange->conn->httpd;
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		exchange->conn->mhd, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	const char *length = exchange_header(exchange, "Content-Length");
	uint64_t length_bytes = length ? g_ascii_strtoull(length, NULL, 10) : 0;

	if (info && info->header_size > HEADERS_MAX_BYTES) {
		exchange_reply_error(exchange,
				     MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
				     "the headers are larger than 16384 bytes",
				     VERDICT_NOT_RUN, NULL);
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
	exchange->received_bytes += size_bytes;
	if (exchange->received_bytes > DISCARD_MAX_BYTES) {
		send_error_directly(exchange->conn, "413 Content Too Large",
				    "the body is far too large");
		return MHD_NO;
	}
	if (exchange->received_bytes >
	    exchange->conn->httpd->limits.body_max_bytes) {
		exchange->too_large = true;
		return MHD_YES;
	}
	if (!exchange->received)
		exchange->received = g_byte_array_new();
	g_byte_array_append(exchange->received, (const guint8 *)data,
			    (guint)size_bytes);
	return MHD_YES;
}
