/* The HTTP server: its connections and its integration into libev. */

#include "io/mhd_loop.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "core/address.h"
#include "io/mhd_private.h"
#include "kernel/clock.h"
#include "kernel/klog.h"

/*
 * Size of the receive and of the send buffer of each socket: limits what the
 * machine holds of data that was received and not read, or sent and not
 * acknowledged. The kernel takes twice as much.
 */
#define SOCKET_BUFFER_BYTES 16384
#define FLUSH_MAX_US (5 * USEC_PER_SEC)
#define SWEEP_PERIOD_S 1.
#define DISCONNECT_BATCH_MAX_COUNT 64

static void arm_timer(struct httpd *httpd)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	ev_timer_stop(httpd->ev, &httpd->timer);
	if (MHD_get_timeout(httpd->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&httpd->timer, (double)timeout_ms / 1000., 0.);
	ev_timer_start(httpd->ev, &httpd->timer);
}

void httpd_run_soon(struct httpd *httpd)
{
	ev_timer_stop(httpd->ev, &httpd->timer);
	ev_timer_set(&httpd->timer, 0., 0.);
	ev_timer_start(httpd->ev, &httpd->timer);
}

static void run_daemon(struct httpd *httpd)
{
	MHD_run(httpd->daemon);
	arm_timer(httpd);
	/*
	 * At its connection limit, libmicrohttpd stops watching the listening
	 * socket. It resumes in the first run after a connection has ended.
	 */
	if (httpd->limit_cleared)
		httpd_run_soon(httpd);
	httpd->limit_cleared = false;
}

static void on_ready(struct ev_loop *ev, ev_io *watcher, int revents)
{
	(void)ev;
	(void)revents;
	run_daemon(watcher->data);
}

static void on_timer(struct ev_loop *ev, ev_timer *watcher, int revents)
{
	(void)ev;
	(void)revents;
	run_daemon(watcher->data);
}

/* Disconnects of suspended connections, which libmicrohttpd does not watch */

void conn_watch_disconnect(struct conn *conn)
{
	struct epoll_event event = {
		.events = EPOLLRDHUP | EPOLLONESHOT,
		.data.ptr = conn,
	};

	if (epoll_ctl(conn->httpd->disconnect_fd, EPOLL_CTL_ADD, conn->fd,
		      &event) == 0)
		conn->watched = true;
}

void conn_unwatch_disconnect(struct conn *conn)
{
	if (!conn->watched)
		return;
	conn->watched = false;
	epoll_ctl(conn->httpd->disconnect_fd, EPOLL_CTL_DEL, conn->fd, NULL);
}

static void on_disconnect(struct ev_loop *ev, ev_io *watcher, int revents)
{
	struct httpd *httpd = watcher->data;
	struct epoll_event events[DISCONNECT_BATCH_MAX_COUNT];
	int32_t count = epoll_wait(httpd->disconnect_fd, events,
				   DISCONNECT_BATCH_MAX_COUNT, 0);

	(void)ev;
	(void)revents;
	for (int32_t i = 0; i < count; i++) {
		struct conn *conn = events[i].data.ptr;

		if (conn->exchange && conn->exchange->state == EXCHANGE_WAITING)
			exchange_disconnect(conn->exchange);
	}
}

static void limit_socket_buffers(const struct conn *conn)
{
	const int size_bytes = SOCKET_BUFFER_BYTES;

	if (setsockopt(conn->fd, SOL_SOCKET, SO_RCVBUF, &size_bytes,
		       sizeof(size_bytes)) < 0 ||
	    setsockopt(conn->fd, SOL_SOCKET, SO_SNDBUF, &size_bytes,
		       sizeof(size_bytes)) < 0)
		klog_debug(LOG_PREFIX, "can't limit a socket's buffers: %s",
			   g_strerror(errno));
}

static uint32_t daemon_limit(const struct httpd *httpd)
{
	return httpd->limits.connections_max_count + CONNECTIONS_SPARE_COUNT;
}

static void on_connection(void *self, struct MHD_Connection *mhd,
			  void **socket_context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct httpd *httpd = self;
	struct conn *conn = *socket_context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		conn = g_new0(struct conn, 1);
		conn->httpd = httpd;
		conn->mhd = mhd;
		conn->fd = MHD_get_connection_info(
				   mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
				   ->connect_fd;
		conn->link.data = conn;
		httpd->connection_count++;
		*socket_context = conn;
		if (!ev_is_active(&httpd->sweep_timer))
			ev_timer_again(httpd->ev, &httpd->sweep_timer);
		limit_socket_buffers(conn);
		conn_set_deadline(conn);
		conn_open_account(conn);
		return;
	}
	if (!conn)
		return;
	if (conn->exchange)
		exchange_free(conn->exchange);
	conn_close_account(conn);
	conn_unwatch_disconnect(conn);
	conn_clear_deadline(conn);
	if (httpd->connection_count == daemon_limit(httpd))
		httpd->limit_cleared = true;
	httpd->connection_count--;
	g_free(conn);
	*socket_context = NULL;
}

static struct MHD_Daemon *start_daemon(struct httpd *httpd,
				       const struct sockaddr_in *address)
{
	return MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		exchange_on_request, httpd, MHD_OPTION_SOCK_ADDR, address,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)daemon_limit(httpd),
		MHD_OPTION_PER_IP_CONNECTION_LIMIT,
		(unsigned int)httpd->limits.address_connections_max_count,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)HTTPD_CONNECTION_MEMORY_BYTES,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, httpd,
		MHD_OPTION_NOTIFY_COMPLETED, exchange_on_completed, httpd,
		MHD_OPTION_URI_LOG_CALLBACK, exchange_on_target, httpd,
		MHD_OPTION_END);
}

static void start_watchers(struct httpd *httpd)
{
	int epoll_fd =
		MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD)
			->epoll_fd;

	ev_io_init(&httpd->io, on_ready, epoll_fd, EV_READ);
	httpd->io.data = httpd;
	ev_io_start(httpd->ev, &httpd->io);
	ev_timer_init(&httpd->timer, on_timer, 0., 0.);
	httpd->timer.data = httpd;
	ev_io_init(&httpd->disconnect_io, on_disconnect, httpd->disconnect_fd,
		   EV_READ);
	httpd->disconnect_io.data = httpd;
	ev_io_start(httpd->ev, &httpd->disconnect_io);
	ev_timer_init(&httpd->deadline_timer, httpd_on_deadline, 0., 0.);
	httpd->deadline_timer.data = httpd;
	ev_timer_init(&httpd->sweep_timer, httpd_on_sweep, SWEEP_PERIOD_S,
		      SWEEP_PERIOD_S);
	httpd->sweep_timer.data = httpd;
	arm_timer(httpd);
}

struct httpd *httpd_new(struct ev_loop *ev, const char *address,
			const struct httpd_limits *limits,
			const struct httpd_ops *ops, void *self)
{
	static const struct conn_limits no_limits = {
		.partition_max_bytes = { UINT64_MAX, UINT64_MAX },
		.grace_us = INT64_MAX / 2,
	};
	struct sockaddr_in to = { 0 };
	struct httpd *httpd;

	if (!address_parse(address, &to)) {
		klog_error(LOG_PREFIX,
			   "invalid listening address \"%s\": expected IP:port",
			   address);
		return NULL;
	}
	httpd = g_new0(struct httpd, 1);
	httpd->ev = ev;
	httpd->limits = *limits;
	httpd->budget = limits->budget;
	if (!limits->budget)
		httpd->own_budget = conn_budget_new(
			limits->conn_limits ? limits->conn_limits : &no_limits);
	if (httpd->own_budget)
		httpd->budget = httpd->own_budget;
	httpd->ops = ops;
	httpd->self = self;
	g_queue_init(&httpd->deadlines);
	httpd->disconnect_fd = epoll_create1(EPOLL_CLOEXEC);
	if (httpd->disconnect_fd < 0)
		goto fail;
	httpd->daemon = start_daemon(httpd, &to);
	if (!httpd->daemon)
		goto fail;
	start_watchers(httpd);
	return httpd;
fail:
	klog_error(LOG_PREFIX, "can't listen on %s: %s", address,
		   g_strerror(errno));
	if (httpd->disconnect_fd >= 0)
		close(httpd->disconnect_fd);
	conn_budget_free(httpd->own_budget);
	g_free(httpd);
	return NULL;
}

static void flush_responses(struct httpd *httpd)
{
	int64_t end_us = clock_now_us() + FLUSH_MAX_US;
	struct pollfd wait = { .fd = httpd->io.fd, .events = POLLIN };

	MHD_run(httpd->daemon);
	while (httpd->unsent_count && clock_now_us() < end_us) {
		MHD_UNSIGNED_LONG_LONG next_ms;
		int64_t wait_ms = (end_us - clock_now_us()) / USEC_PER_MSEC + 1;

		if (MHD_get_timeout(httpd->daemon, &next_ms) == MHD_YES)
			wait_ms = MIN(wait_ms, (int64_t)next_ms);
		if (poll(&wait, 1, (int)wait_ms) < 0 && errno != EINTR)
			return;
		MHD_run(httpd->daemon);
	}
}

/* Accepts no more connections; those that are open are still served. */
static void stop_listening(struct httpd *httpd)
{
	MHD_socket fd = MHD_quiesce_daemon(httpd->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

void httpd_free(struct httpd *httpd)
{
	if (!httpd)
		return;
	httpd->stopping = true;
	stop_listening(httpd);
	flush_responses(httpd);
	ev_io_stop(httpd->ev, &httpd->io);
	ev_timer_stop(httpd->ev, &httpd->timer);
	ev_io_stop(httpd->ev, &httpd->disconnect_io);
	MHD_stop_daemon(httpd->daemon);
	ev_timer_stop(httpd->ev, &httpd->deadline_timer);
	ev_timer_stop(httpd->ev, &httpd->sweep_timer);
	close(httpd->disconnect_fd);
	conn_budget_free(httpd->own_budget);
	g_free(httpd);
}

uint16_t httpd_port(const struct httpd *httpd)
{
	return MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_BIND_PORT)
		->port;
}
