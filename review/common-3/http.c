/* A small HTTP server, one thread for each connection, and a client. */

#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX_BYTES 16384
#define BODY_MAX_BYTES (8 * 1024 * 1024)

struct server {
	int fd;
	handler_fn *handler;
	void *self;
};

struct connection {
	int fd;
	const struct server *server;
};

static bool send_all(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		size -= (size_t)sent;
	}
	return true;
}

static size_t header_value(const char *head, const char *name, char *to,
			   size_t size)
{
	size_t length = strlen(name);

	for (const char *line = strstr(head, "\r\n"); line;
	     line = strstr(line + 2, "\r\n")) {
		size_t end;

		if (strncasecmp(line + 2, name, length) != 0 ||
		    line[2 + length] != ':')
			continue;
		line += 2 + length + 1;
		line += strspn(line, " ");
		end = strcspn(line, "\r\n");
		if (end >= size)
			end = size - 1;
		memcpy(to, line, end);
		to[end] = '\0';
		return end;
	}
	to[0] = '\0';
	return 0;
}

/* Reads up to the end of the head; returns the bytes in the buffer, or 0. */
static size_t read_head(int fd, char *buffer, size_t have, char **end)
{
	for (;;) {
		ssize_t got;

		buffer[have] = '\0';
		*end = strstr(buffer, "\r\n\r\n");
		if (*end)
			return have;
		if (have == HEAD_MAX_BYTES)
			return 0;
		got = recv(fd, buffer + have, HEAD_MAX_BYTES - have, 0);
		if (got <= 0)
			return 0;
		have += (size_t)got;
	}
}

static bool parse_target(struct request *request, const char *head)
{
	char target[1536];
	char *query;

	if (sscanf(head, "%7s %1535s", request->method, target) != 2)
		return false;
	query = strchr(target, '?');
	if (query)
		*query++ = '\0';
	snprintf(request->path, sizeof(request->path), "%s", target);
	snprintf(request->query, sizeof(request->query), "%s",
		 query ? query : "");
	return true;
}

/* Reads a request; returns the bytes that follow it in the buffer, or -1. */
static ssize_t read_request(int fd, char *buffer, size_t have,
			    struct request *request)
{
	char length[32];
	char *end;
	size_t head_size;
	size_t extra;

	have = read_head(fd, buffer, have, &end);
	if (!have || !parse_target(request, buffer))
		return -1;
	*end = '\0';
	head_size = (size_t)(end - buffer) + 4;
	header_value(buffer, "X-Expected-Instance", request->expected,
		     sizeof(request->expected));
	header_value(buffer, "Content-Length", length, sizeof(length));
	request->size = strtoul(length, NULL, 10);
	if (request->size > BODY_MAX_BYTES)
		return -1;
	request->body = calloc(1, request->size + 1);
	extra = have - head_size;
	if (extra > request->size)
		extra = request->size;
	memcpy(request->body, buffer + head_size, extra);
	for (size_t at = extra; at < request->size;) {
		ssize_t got =
			recv(fd, request->body + at, request->size - at, 0);

		if (got <= 0)
			return -1;
		at += (size_t)got;
	}
	have -= head_size + extra;
	memmove(buffer, buffer + head_size + extra, have);
	return (ssize_t)have;
}

static bool send_response(int fd, const struct response *response)
{
	char head[256];
	int size =
		snprintf(head, sizeof(head),
			 "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 response->status,
			 response->type ? response->type : "application/json",
			 response->size);

	return send_all(fd, head, (size_t)size) &&
	       send_all(fd, response->body, response->size);
}

static void *serve_connection(void *data)
{
	struct connection connection = *(struct connection *)data;
	char *buffer = malloc(HEAD_MAX_BYTES + 1);
	ssize_t have = 0;
	bool open = true;

	free(data);
	while (open) {
		struct request request = { 0 };
		struct response response = { .status = 404 };

		have = read_request(connection.fd, buffer, (size_t)have,
				    &request);
		if (have < 0) {
			free(request.body);
			break;
		}
		connection.server->handler(connection.server->self, &request,
					   &response);
		/* A channel that lost an answer says nothing any more. */
		while (response.silent &&
		       recv(connection.fd, buffer, HEAD_MAX_BYTES, 0) > 0)
			;
		open = !response.silent &&
		       send_response(connection.fd, &response);
		free(request.body);
		free(response.body);
	}
	close(connection.fd);
	free(buffer);
	return NULL;
}

static void start_thread(void *(*run)(void *), void *data)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, run, data) != 0)
		abort();
	pthread_attr_destroy(&attr);
}

static void *accept_connections(void *data)
{
	struct server *server = data;

	for (;;) {
		struct connection *connection;
		const int on = 1;
		int fd = accept(server->fd, NULL, NULL);

		if (fd < 0 && errno != EMFILE && errno != ECONNABORTED &&
		    errno != EINTR)
			return NULL;
		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection = malloc(sizeof(*connection));
		connection->fd = fd;
		connection->server = server;
		start_thread(serve_connection, connection);
	}
}

static int bound_socket(const char *ip, uint16_t *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
		fprintf(stderr, "no port on %s\n", ip);
		exit(2);
	}
	*port = ntohs(address.sin_port);
	return fd;
}

uint16_t free_port(const char *ip)
{
	uint16_t port;

	close(bound_socket(ip, &port));
	return port;
}

uint16_t server_start(const char *ip, handler_fn *handler, void *self)
{
	struct server *server = calloc(1, sizeof(*server));
	uint16_t port;

	server->fd = bound_socket(ip, &port);
	server->handler = handler;
	server->self = self;
	listen(server->fd, 512);
	start_thread(accept_connections, server);
	return port;
}

void response_json(struct response *response, int status, json_t *json)
{
	response->status = status;
	response->body = json_dumps(json, JSON_COMPACT);
	response->size = strlen(response->body);
	json_decref(json);
}

bool query_value(const struct request *request, const char *name, char *to,
		 size_t size)
{
	size_t length = strlen(name);
	const char *at = request->query;
	size_t used = 0;

	while (at && (strncmp(at, name, length) != 0 || at[length] != '=')) {
		at = strchr(at, '&');
		at = at ? at + 1 : NULL;
	}
	to[0] = '\0';
	if (!at)
		return false;
	for (at += length + 1; *at && *at != '&' && used + 1 < size; at++) {
		unsigned code;

		if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
			to[used++] = (char)code;
			at += 2;
		} else {
			to[used++] = *at;
		}
	}
	to[used] = '\0';
	return true;
}

static bool wait_readable(int fd, int64_t until_ms)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
	int64_t left_ms = until_ms - world_ms();

	return left_ms > 0 && poll(&poll_fd, 1, (int)left_ms) > 0;
}

/* Reads a whole response; returns its status or 0. */
static int read_response(int fd, int64_t until_ms, char **reply)
{
	char *buffer = malloc(65537);
	size_t have = 0;
	char length[32];
	char *end = NULL;
	size_t total = 0;
	int status = 0;

	while (have < 65536 && wait_readable(fd, until_ms)) {
		ssize_t got = recv(fd, buffer + have, 65536 - have, 0);

		if (got <= 0)
			break;
		have += (size_t)got;
		buffer[have] = '\0';
		end = strstr(buffer, "\r\n\r\n");
		if (!end)
			continue;
		header_value(buffer, "Content-Length", length, sizeof(length));
		total = (size_t)(end - buffer) + 4 + strtoul(length, NULL, 10);
		if (have >= total)
			break;
	}
	if (end && have >= total &&
	    sscanf(buffer, "HTTP/1.1 %d", &status) == 1 && reply)
		*reply = strdup(end + 4);
	free(buffer);
	return status;
}

int http_call(const char *ip, uint16_t port, const char *method,
	      const char *path, const char *body, int timeout_ms, char **reply)
{
	int64_t until_ms = world_ms() + timeout_ms;
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	size_t size = body ? strlen(body) : 0;
	char *text = malloc(size + 1024);
	int status = 0;
	int used;

	if (reply)
		*reply = NULL;
	inet_pton(AF_INET, ip, &address.sin_addr);
	used = snprintf(text, size + 1024,
			"%s %s HTTP/1.1\r\nHost: jobs.example\r\n"
			"X-Deadline-Ms: %d\r\n"
			"Content-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			method, path, timeout_ms, size, body ? body : "");
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    send_all(fd, text, (size_t)used))
		status = read_response(fd, until_ms, reply);
	close(fd);
	free(text);
	return status;
}
