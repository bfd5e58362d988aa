#include "standin/common_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#define TRUNCATED_ANSWER_BYTES 64

struct server {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_timer timer;
	gboolean resumed; /* a connection was resumed inside MHD_run() */
	server_handler *handler;
	void *data;
};

static void run(struct server *server)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	/*
	 * libmicrohttpd does not process a connection that is resumed inside
	 * MHD_run() before the next event, so run again.
	 */
	do {
		server->resumed = FALSE;
		MHD_run(server->daemon);
	} while (server->resumed);
	ev_timer_stop(server->loop, &server->timer);
	if (MHD_get_timeout(server->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&server->timer, (double)timeout_ms / 1000., 0.);
	ev_timer_start(server->loop, &server->timer);
}

static void on_io(struct ev_loop *loop, ev_io *watcher, int revents)
{
	(void)loop;
	(void)revents;
	run(watcher->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	(void)loop;
	(void)revents;
	run(watcher->data);
}

/* Queues the reply of a request, or closes its connection. */
static enum MHD_Result queue_response(struct server_request *request)
{
	enum MHD_Result result;

	if (request->aborted)
		return MHD_NO;
	result = MHD_queue_response(request->connection, request->status,
				    request->response);
	return result;
}

static enum MHD_Result on_request(void *data, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **state)
{
	struct server *server = data;
	struct server_request *request = *state;

	(void)version;
	if (!request) {
		request = g_new0(struct server_request, 1);
		request->server = server;
		request->connection = connection;
		request->method = g_strdup(method);
		request->path = g_strdup(url);
		request->body = g_byte_array_new();
		*state = request;
		return MHD_YES;
	}
	if (*upload_size) {
		g_byte_array_append(request->body, (const guint8 *)upload,
				    (guint)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (!request->response && !request->aborted) {
		server->handler(request, server->data);
		if (!request->response && !request->aborted) {
			request->suspended = TRUE;
			MHD_suspend_connection(connection);
			return MHD_YES;
		}
	}
	return queue_response(request);
}

static void on_completed(void *data, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	struct server_request *request = *state;

	(void)data;
	(void)connection;
	(void)code;
	if (!request)
		return;
	if (request->gone)
		*request->gone = TRUE;
	if (request->response)
		MHD_destroy_response(request->response);
	g_byte_array_unref(request->body);
	g_free(request->method);
	g_free(request->path);
	g_free(request);
	*state = NULL;
}

struct server *server_new(struct ev_loop *loop, uint16_t port,
			  uint32_t connection_limit, server_handler *handler,
			  void *data)
{
	struct server *server = g_new0(struct server, 1);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr = { .s_addr = htonl(INADDR_LOOPBACK) },
	};
	const union MHD_DaemonInfo *info;

	server->loop = loop;
	server->handler = handler;
	server->data = data;
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL,
		on_request, server, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_CONNECTION_LIMIT,
		connection_limit ? connection_limit : 1000u,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
		MHD_OPTION_END);
	if (!server->daemon)
		g_error("standin: can't listen on port %u", port);
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&server->io, on_io, info->epoll_fd, EV_READ);
	server->io.data = server;
	ev_io_start(loop, &server->io);
	ev_timer_init(&server->timer, on_timer, 0., 0.);
	server->timer.data = server;
	return server;
}

void server_free(struct server *server)
{
	ev_io_stop(server->loop, &server->io);
	ev_timer_stop(server->loop, &server->timer);
	MHD_stop_daemon(server->daemon);
	g_free(server);
}

const char *server_argument(const struct server_request *request,
			    const char *name)
{
	const char *value = MHD_lookup_connection_value(
		request->connection, MHD_GET_ARGUMENT_KIND, name);

	return value ? value
		     : MHD_lookup_connection_value(request->connection,
						   MHD_HEADER_KIND, name);
}

static void resume(struct server_request *request)
{
	struct server *server = request->server;

	if (!request->suspended)
		return;
	request->suspended = FALSE;
	MHD_resume_connection(request->connection);
	server->resumed = TRUE;
	/* Run in the next turn, as MHD_run() can't be called by callbacks. */
	ev_timer_stop(server->loop, &server->timer);
	ev_timer_set(&server->timer, 0., 0.);
	ev_timer_start(server->loop, &server->timer);
}

void server_reply(struct server_request *request, unsigned int status,
		  const char *content_type, const char *body, size_t size_bytes)
{
	request->status = status;
	request->response = MHD_create_response_from_buffer(
		size_bytes, (void *)body, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(request->response, "Content-Type",
				content_type);
	resume(request);
}

void server_add_header(struct server_request *request, const char *name,
		       const char *value)
{
	MHD_add_response_header(request->response, name, value);
}

static ssize_t send_truncated(void *data, uint64_t position, char *buffer,
			      size_t max_bytes)
{
	size_t size_bytes = MIN(max_bytes, TRUNCATED_ANSWER_BYTES / 2);

	(void)data;
	if (position)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	memset(buffer, 'x', size_bytes);
	return (ssize_t)size_bytes;
}

void server_reply_truncated(struct server_request *request)
{
	request->status = MHD_HTTP_OK;
	request->response = MHD_create_response_from_callback(
		TRUNCATED_ANSWER_BYTES, TRUNCATED_ANSWER_BYTES, send_truncated,
		NULL, NULL);
	resume(request);
}

void server_abort(struct server_request *request)
{
	request->aborted = TRUE;
	resume(request);
}
