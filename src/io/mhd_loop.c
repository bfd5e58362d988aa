#include "io/mhd_loop.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <microhttpd.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kernel/klog.h"

#define LOG_PREFIX "httpd"

#define HEADERS_MAX_BYTES 16384
/* Above HEADERS_MAX_BYTES, so that most too large headers get our answer and
 * not libmicrohttpd's own.
 */
#define CONNECTION_MEMORY_BYTES 49152
/* A body over the bound is read and dropped up to here, so that a client that
 * sends it all before it reads gets the answer and not a reset connection.
 */
#define DISCARD_MAX_BYTES (UINT64_C(8) * 1024 * 1024)
#define FLUSH_MAX_US (5 * USEC_PER_SEC)
#define DISCONNECTS_AT_ONCE_COUNT 64

enum exchange_state {
	EXCHANGE_HEADERS,   /* the request line was read */
	EXCHANGE_RECEIVING, /* the body is being read */
	EXCHANGE_WAITING,   /* handed over, no answer yet */
	EXCHANGE_ANSWERED,
	EXCHANGE_GONE,
};

struct conn {
	struct httpd *httpd;
	struct MHD_Connection *mhd;
	struct exchange *exchange; /* in progress, or NULL */
	int fd;
	bool used;	     /* a request was answered on it */
	bool watched;	     /* for a disconnect */
	int64_t deadline_us; /* 0: none */
	GList link;	     /* of httpd->deadlines */
};

struct exchange {
	struct conn *conn;
	enum exchange_state state;
	bool suspended;
	char *target;
	char *path;
	char *method;
	GByteArray *received;
	uint64_t received_bytes; /* with what was dropped */
	bool too_large;
	GBytes *body;
	void *data;
	uint32_t status;
	char *content_type;
	GPtrArray *headers; /* of char *: name, value, name, ... */
	GBytes *answer;
};

struct httpd {
	struct ev_loop *ev;
	struct MHD_Daemon *daemon;
	struct httpd_limits limits;
	const struct httpd_ops *ops;
	void *self;
	ev_io io;	   /* libmicrohttpd's epoll descriptor */
	ev_timer timer;	   /* libmicrohttpd's next timeout */
	int disconnect_fd; /* epoll of suspended connections */
	ev_io disconnect_io;
	/*
	 * Connections in order of deadline: all get the same time, so the
	 * newest deadline is the last.
	 */
	GQueue deadlines;
	ev_timer deadline_timer;
	uint32_t answering_count; /* answers given and not yet sent */
	uint32_t connection_count;
	bool has_room_again; /* was at the bound of connections */
};

static int64_t now_us(void)
{
	return g_get_monotonic_time();
}

static void arm(struct httpd *httpd)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	ev_timer_stop(httpd->ev, &httpd->timer);
	if (MHD_get_timeout(httpd->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&httpd->timer, (double)timeout_ms / 1000., 0.);
	ev_timer_start(httpd->ev, &httpd->timer);
}

static void run_soon(struct httpd *httpd)
{
	ev_timer_stop(httpd->ev, &httpd->timer);
	ev_timer_set(&httpd->timer, 0., 0.);
	ev_timer_start(httpd->ev, &httpd->timer);
}

static void run(struct httpd *httpd)
{
	MHD_run(httpd->daemon);
	arm(httpd);
	/*
	 * At the bound, libmicrohttpd stops watching its listening socket. It
	 * watches it again in the first run after a connection has ended.
	 */
	if (httpd->has_room_again)
		run_soon(httpd);
	httpd->has_room_again = false;
}

static void on_ready(struct ev_loop *ev, ev_io *watcher, int revents)
{
	(void)ev;
	(void)revents;
	run(watcher->data);
}

static void on_timer(struct ev_loop *ev, ev_timer *watcher, int revents)
{
	(void)ev;
	(void)revents;
	run(watcher->data);
}

/* Connection deadlines */

static void arm_deadline(struct httpd *httpd)
{
	const struct conn *first = g_queue_peek_head(&httpd->deadlines);
	int64_t left_us;

	if (!first) {
		ev_timer_stop(httpd->ev, &httpd->deadline_timer);
		return;
	}
	/* A timer that is armed for an earlier deadline arms itself again. */
	if (ev_is_active(&httpd->deadline_timer))
		return;
	left_us = MAX(first->deadline_us - now_us(), 0);
	ev_now_update(httpd->ev);
	ev_timer_set(&httpd->deadline_timer,
		     (double)left_us / (double)USEC_PER_SEC, 0.);
	ev_timer_start(httpd->ev, &httpd->deadline_timer);
}

static void clear_deadline(struct conn *conn)
{
	if (!conn->deadline_us)
		return;
	conn->deadline_us = 0;
	g_queue_unlink(&conn->httpd->deadlines, &conn->link);
}

static void set_deadline(struct conn *conn)
{
	clear_deadline(conn);
	conn->deadline_us = now_us() + conn->httpd->limits.slow_client_us;
	g_queue_push_tail_link(&conn->httpd->deadlines, &conn->link);
	arm_deadline(conn->httpd);
}

static char *refusal_text(const char *reason, enum verdict verdict,
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

/*
 * libmicrohttpd takes no answer before a request is complete, so this one
 * goes to the socket directly. Nothing else was sent for this request.
 */
static void refuse_directly(const struct conn *conn, const char *status,
			    const char *reason)
{
	char *body = refusal_text(reason, VERDICT_NOT_RUN, NULL);
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

static void expire(struct conn *conn)
{
	const struct exchange *exchange = conn->exchange;
	bool receiving =
		exchange ? exchange->state <= EXCHANGE_RECEIVING : !conn->used;

	clear_deadline(conn);
	if (receiving)
		refuse_directly(conn, "408 Request Timeout",
				"the request took too long to arrive");
	/* libmicrohttpd sees the end of the stream and closes it. */
	shutdown(conn->fd, SHUT_RDWR);
}

static void on_deadline(struct ev_loop *ev, ev_timer *watcher, int revents)
{
	struct httpd *httpd = watcher->data;
	struct conn *first;

	(void)ev;
	(void)revents;
	while ((first = g_queue_peek_head(&httpd->deadlines)) &&
	       first->deadline_us <= now_us())
		expire(first);
	arm_deadline(httpd);
}

/* Disconnects of suspended connections, which libmicrohttpd does not watch */

static void watch_disconnect(struct conn *conn)
{
	struct epoll_event event = {
		.events = EPOLLRDHUP | EPOLLONESHOT,
		.data.ptr = conn,
	};

	if (epoll_ctl(conn->httpd->disconnect_fd, EPOLL_CTL_ADD, conn->fd,
		      &event) == 0)
		conn->watched = true;
}

static void unwatch_disconnect(struct conn *conn)
{
	if (!conn->watched)
		return;
	conn->watched = false;
	epoll_ctl(conn->httpd->disconnect_fd, EPOLL_CTL_DEL, conn->fd, NULL);
}

static void resume(struct exchange *exchange)
{
	struct httpd *httpd = exchange->conn->httpd;

	unwatch_disconnect(exchange->conn);
	if (!exchange->suspended)
		return;
	exchange->suspended = false;
	MHD_resume_connection(exchange->conn->mhd);
	/* With external polling, a resumed connection does not wake the loop.
	 */
	run_soon(httpd);
}

static void give_up(struct exchange *exchange)
{
	struct httpd *httpd = exchange->conn->httpd;

	exchange->state = EXCHANGE_GONE;
	httpd->ops->gone(httpd->self, exchange);
	resume(exchange);
}

static void on_disconnect(struct ev_loop *ev, ev_io *watcher, int revents)
{
	struct httpd *httpd = watcher->data;
	struct epoll_event events[DISCONNECTS_AT_ONCE_COUNT];
	int count = epoll_wait(httpd->disconnect_fd, events,
			       DISCONNECTS_AT_ONCE_COUNT, 0);

	(void)ev;
	(void)revents;
	for (int i = 0; i < count; i++) {
		struct conn *conn = events[i].data.ptr;

		if (conn->exchange && conn->exchange->state == EXCHANGE_WAITING)
			give_up(conn->exchange);
	}
}

/* Exchanges */

static void exchange_free(struct exchange *exchange)
{
	struct conn *conn = exchange->conn;

	if (exchange->state == EXCHANGE_WAITING) {
		exchange->suspended = false;
		give_up(exchange);
	}
	if (exchange->state == EXCHANGE_ANSWERED)
		conn->httpd->answering_count--;
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
	if (exchange->answer)
		g_bytes_unref(exchange->answer);
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
	exchange->state = EXCHANGE_ANSWERED;
	exchange->conn->httpd->answering_count++;
	exchange->status = status;
	exchange->content_type = g_strdup(content_type);
	exchange->answer = body ? g_bytes_ref(body) : g_bytes_new(NULL, 0);
	resume(exchange);
}

void exchange_refuse(struct exchange *exchange, uint32_t status,
		     const char *reason, enum verdict verdict,
		     const char *request)
{
	char *text = refusal_text(reason, verdict, request);
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
		set_deadline(conn);
		return;
	}
	if (!conn)
		return;
	if (conn->exchange)
		exchange_free(conn->exchange);
	unwatch_disconnect(conn);
	clear_deadline(conn);
	if (httpd->connection_count == httpd->limits.connections_max_count)
		httpd->has_room_again = true;
	httpd->connection_count--;
	g_free(conn);
	*socket_context = NULL;
}

/* The only place where the request's target is seen as it was sent. */
static void *on_target(void *self, const char *target,
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

static void on_completed(void *self, struct MHD_Connection *mhd,
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
	set_deadline(conn);
}

static void release_answer(void *bytes)
{
	g_bytes_unref(bytes);
}

static enum MHD_Result queue_answer(struct exchange *exchange)
{
	gsize size_bytes;
	const void *data = g_bytes_get_data(exchange->answer, &size_bytes);
	struct MHD_Response *response;
	enum MHD_Result queued;

	response = MHD_create_response_from_buffer_with_free_callback_cls(
		size_bytes, (void *)data, release_answer,
		g_bytes_ref(exchange->answer));
	if (!response) {
		g_bytes_unref(exchange->answer);
		return MHD_NO;
	}
	if (exchange->content_type && exchange->content_type[0])
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
					exchange->content_type);
	for (guint i = 0; i + 1 < exchange->headers->len; i += 2)
		MHD_add_response_header(response, exchange->headers->pdata[i],
					exchange->headers->pdata[i + 1]);
	queued = MHD_queue_response(exchange->conn->mhd, exchange->status,
				    response);
	MHD_destroy_response(response);
	set_deadline(exchange->conn);
	return queued;
}

static void refuse_body(struct exchange *exchange)
{
	char *reason = g_strdup_printf(
		"the body is larger than %" G_GUINT64_FORMAT " bytes",
		exchange->conn->httpd->limits.body_max_bytes);

	exchange_refuse(exchange, MHD_HTTP_CONTENT_TOO_LARGE, reason,
			VERDICT_NOT_RUN, NULL);
	g_free(reason);
}

static void check_headers(struct exchange *exchange)
{
	const struct httpd *httpd = exchange->conn->httpd;
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		exchange->conn->mhd, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	const char *length = exchange_header(exchange, "Content-Length");
	uint64_t length_bytes = length ? g_ascii_strtoull(length, NULL, 10) : 0;

	if (info && info->header_size > HEADERS_MAX_BYTES) {
		exchange_refuse(exchange,
				MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
				"the headers are larger than 16384 bytes",
				VERDICT_NOT_RUN, NULL);
		return;
	}
	if (length_bytes <= httpd->limits.body_max_bytes)
		return;
	if (exchange_header(exchange, "Expect") ||
	    length_bytes > DISCARD_MAX_BYTES)
		refuse_body(exchange);
}

static void begin(struct exchange *exchange, const char *path,
		  const char *method)
{
	exchange->state = EXCHANGE_RECEIVING;
	exchange->path = g_strdup(path);
	exchange->method = g_strdup(method);
	set_deadline(exchange->conn);
	check_headers(exchange);
}

static enum MHD_Result receive(struct exchange *exchange, const char *data,
			       size_t size_bytes)
{
	exchange->received_bytes += size_bytes;
	if (exchange->received_bytes > DISCARD_MAX_BYTES) {
		refuse_directly(exchange->conn, "413 Content Too Large",
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

static void hand_over(struct exchange *exchange)
{
	struct httpd *httpd = exchange->conn->httpd;

	clear_deadline(exchange->conn);
	if (exchange->too_large) {
		refuse_body(exchange);
		return;
	}
	if (exchange->received)
		exchange->body = g_byte_array_free_to_bytes(exchange->received);
	exchange->received = NULL;
	exchange->state = EXCHANGE_WAITING;
	httpd->ops->request(httpd->self, exchange);
	if (exchange->state != EXCHANGE_WAITING)
		return;
	exchange->suspended = true;
	MHD_suspend_connection(exchange->conn->mhd);
	watch_disconnect(exchange->conn);
}

static enum MHD_Result on_request(void *self, struct MHD_Connection *mhd,
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
	if (!exchange)
		return MHD_NO;
	if (exchange->state == EXCHANGE_HEADERS) {
		begin(exchange, path, method);
	} else if (*upload_size_bytes) {
		result = receive(exchange, upload, *upload_size_bytes);
		*upload_size_bytes = 0;
		return result;
	} else if (exchange->state == EXCHANGE_RECEIVING) {
		hand_over(exchange);
	}
	if (exchange->state == EXCHANGE_ANSWERED)
		return queue_answer(exchange);
	return exchange->state == EXCHANGE_GONE ? MHD_NO : MHD_YES;
}

/* Start and end */

static bool parse_address(const char *address, struct sockaddr_in *to)
{
	const char *colon = strrchr(address, ':');
	char ip[INET_ADDRSTRLEN];
	guint64 port;

	if (!colon || (size_t)(colon - address) >= sizeof(ip) ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX, &port,
					NULL))
		return false;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	to->sin_family = AF_INET;
	to->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &to->sin_addr) == 1;
}

static struct MHD_Daemon *start_daemon(struct httpd *httpd,
				       const struct sockaddr_in *address)
{
	return MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		on_request, httpd, MHD_OPTION_SOCK_ADDR, address,
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)httpd->limits.connections_max_count,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, httpd, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
		httpd, MHD_OPTION_URI_LOG_CALLBACK, on_target, httpd,
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
	ev_timer_init(&httpd->deadline_timer, on_deadline, 0., 0.);
	httpd->deadline_timer.data = httpd;
	arm(httpd);
}

struct httpd *httpd_new(struct ev_loop *ev, const char *address,
			const struct httpd_limits *limits,
			const struct httpd_ops *ops, void *self)
{
	struct sockaddr_in to = { 0 };
	struct httpd *httpd;

	if (!parse_address(address, &to)) {
		klog_error(LOG_PREFIX, "\"%s\" is no IP:port to listen on",
			   address);
		return NULL;
	}
	httpd = g_new0(struct httpd, 1);
	httpd->ev = ev;
	httpd->limits = *limits;
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
	g_free(httpd);
	return NULL;
}

static void flush(struct httpd *httpd)
{
	int64_t end_us = now_us() + FLUSH_MAX_US;
	struct pollfd wait = { .fd = httpd->io.fd, .events = POLLIN };

	MHD_run(httpd->daemon);
	while (httpd->answering_count && now_us() < end_us) {
		MHD_UNSIGNED_LONG_LONG next_ms;
		int64_t wait_ms = (end_us - now_us()) / USEC_PER_MSEC + 1;

		if (MHD_get_timeout(httpd->daemon, &next_ms) == MHD_YES)
			wait_ms = MIN(wait_ms, (int64_t)next_ms);
		if (poll(&wait, 1, (int)wait_ms) < 0 && errno != EINTR)
			return;
		MHD_run(httpd->daemon);
	}
}

void httpd_free(struct httpd *httpd)
{
	if (!httpd)
		return;
	flush(httpd);
	ev_io_stop(httpd->ev, &httpd->io);
	ev_timer_stop(httpd->ev, &httpd->timer);
	ev_io_stop(httpd->ev, &httpd->disconnect_io);
	MHD_stop_daemon(httpd->daemon);
	ev_timer_stop(httpd->ev, &httpd->deadline_timer);
	close(httpd->disconnect_fd);
	g_free(httpd);
}

uint16_t httpd_port(const struct httpd *httpd)
{
	return MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_BIND_PORT)
		->port;
}
