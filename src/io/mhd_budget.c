/* What the connections of an HTTP server hold, and which are closed for it. */

#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>

#include "io/mhd_private.h"
#include "kernel/clock.h"
#include "kernel/klog.h"

void conn_report(const struct conn *conn, enum conn_cause cause)
{
	struct httpd *httpd = conn->httpd;
	const char *name = conn_cause_name(cause);
	char counter[NAME_SIZE_BYTES];
	uint32_t count;

	if (httpd->limits.counters) {
		g_snprintf(counter, sizeof(counter),
			   "http_refused_total{cause=\"%s\"}", name);
		counter_add(httpd->limits.counters, counter, 1);
	}
	if (!conn_budget_report(httpd->budget, cause, clock_now_us(), &count))
		return;
	klog_warn(LOG_PREFIX,
		  "refused or closed %u connections: %s; this one held "
		  "%" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
		  " bytes, %u connections are open",
		  count, name, conn->account.held_bytes,
		  conn_budget_held(httpd->budget, conn->account.partition),
		  httpd->connection_count);
}

static void evict(struct conn_account *account, enum conn_cause cause)
{
	struct conn *conn = account->owner;

	conn_report(conn, cause);
	if (conn_is_receiving(conn))
		conn_send_error(conn, "503 Service Unavailable",
				"too many clients send requests");
	conn_shut_down(conn);
}

/* A GByteArray takes the next power of two. */
static uint64_t array_bytes(const GByteArray *array)
{
	uint64_t size_bytes = 16;

	while (array && size_bytes < array->len)
		size_bytes *= 2;
	return array ? size_bytes : 0;
}

static uint64_t text_bytes(const char *text)
{
	return text ? strlen(text) + 1 : 0;
}

static uint64_t bytes_size(GBytes *bytes)
{
	return bytes ? g_bytes_get_size(bytes) : 0;
}

/* Received and not read, or sent and not acknowledged. */
static uint64_t socket_bytes(const struct conn *conn)
{
	int received_bytes = 0;
	int unsent_bytes = 0;

	if (ioctl(conn->fd, SIOCINQ, &received_bytes) < 0 ||
	    ioctl(conn->fd, SIOCOUTQ, &unsent_bytes) < 0)
		return 0;
	return (uint64_t)received_bytes + (uint64_t)unsent_bytes;
}

static uint64_t held_bytes(const struct conn *conn)
{
	const struct exchange *exchange = conn->exchange;

	if (!exchange)
		return HTTPD_CONNECTION_BYTES;
	return HTTPD_CONNECTION_BYTES + text_bytes(exchange->target) +
	       text_bytes(exchange->path) + array_bytes(exchange->received) +
	       bytes_size(exchange->body) + bytes_size(exchange->response_body);
}

static void make_room(struct conn *conn)
{
	struct conn_budget *budget = conn->httpd->budget;
	int64_t now_us = clock_now_us();
	struct conn_account *account;

	while ((account = conn_budget_excess(budget, conn->account.partition,
					     now_us)))
		evict(account, CONN_CAUSE_MEMORY);
}

bool conn_recount(struct conn *conn)
{
	conn_budget_hold(conn->httpd->budget, &conn->account, held_bytes(conn));
	make_room(conn);
	return conn->account.phase != CONN_CLOSING;
}

void conn_begin_phase(struct conn *conn, enum conn_phase phase,
		      uint64_t transfer_bytes)
{
	conn_budget_begin(conn->httpd->budget, &conn->account, phase,
			  transfer_bytes, clock_now_us());
}

void conn_open_account(struct conn *conn)
{
	struct httpd *httpd = conn->httpd;
	struct conn_account *account;

	conn->account.owner = conn;
	conn->account.server = httpd;
	conn->account.partition = httpd->limits.partition;
	conn_budget_open(httpd->budget, &conn->account, clock_now_us());
	(void)conn_recount(conn);
	if (httpd->connection_count <= httpd->limits.connections_max_count)
		return;
	account = conn_budget_worst(httpd->budget, httpd, clock_now_us());
	if (account)
		evict(account, CONN_CAUSE_CONNECTIONS);
}

void conn_close_account(struct conn *conn)
{
	conn_budget_close(conn->httpd->budget, &conn->account);
}

static void close_overdue(struct httpd *httpd)
{
	struct conn_account *account;

	while ((account = conn_budget_overdue(httpd->budget, httpd,
					      clock_now_us()))) {
		struct conn *conn = account->owner;

		if (account->phase == CONN_RECEIVING) {
			conn_report(conn, CONN_CAUSE_SLOW_REQUEST);
			conn_send_error(conn, "408 Request Timeout",
					"the request arrives too slowly");
		} else {
			conn_report(conn, CONN_CAUSE_SLOW_READER);
		}
		conn_shut_down(conn);
	}
}

void httpd_on_sweep(struct ev_loop *ev, ev_timer *watcher, int revents)
{
	struct httpd *httpd = watcher->data;
	struct conn_account *account = NULL;

	(void)revents;
	close_overdue(httpd);
	while ((account = conn_budget_next(httpd->budget, httpd, account))) {
		struct conn *conn = account->owner;

		conn_budget_hold(httpd->budget, account,
				 held_bytes(conn) + socket_bytes(conn));
		make_room(conn);
	}
	if (!httpd->connection_count)
		ev_timer_stop(ev, watcher);
}
