#define _GNU_SOURCE
#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX_COUNT 512
#define HEAD_MAX_BYTES 8192
#define BODY_MAX_BYTES (4 * 1024 * 1024)

struct http_server {
	int fd;
	int port;
	http_handler *handler;
	void *self;
	pthread_t thread;
	pthread_mutex_t lock;
	bool stopped;
	int connections[CONNECTIONS_MAX_COUNT]; /* descriptors; -1: unused */
};

struct connection {
	struct http_server *server;
	int fd;
	int slot;
};

static void fail(const char *what)
{
	fprintf(stderr, "%s: %s\n", what, strerror(errno));
	exit(2);
}

static int open_listener(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_port = htons((uint16_t)port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd < 0 ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
	    listen(fd, 128) < 0)
		fail("can't listen");
	return fd;
}

static int port_of(int fd)
{
	struct sockaddr_in address;
	socklen_t size = sizeof(address);

	getsockname(fd, (struct sockaddr *)&address, &size);
	return ntohs(address.sin_port);
}

int http_free_port(void)
{
	int fd = open_listener(0);
	int port = port_of(fd);

	close(fd);
	return port;
}

static bool send_all(int fd, const char *data, size_t size_bytes)
{
	while (size_bytes) {
		ssize_t sent = send(fd, data, size_bytes, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		size_bytes -= (size_t)sent;
	}
	return true;
}

static void copy_header(const char *head, const char *name, char *to,
			size_t size_bytes)
{
	const char *line = strstr(head, "\r\n");
	size_t name_bytes = strlen(name);

	to[0] = '\0';
	while (line) {
		line += 2;
		if (!strncasecmp(line, name, name_bytes) &&
		    line[name_bytes] == ':') {
			const char *value = line + name_bytes + 1;
			size_t length;

			value += strspn(value, " ");
			length = strcspn(value, "\r");
			if (length >= size_bytes)
				length = size_bytes - 1;
			memcpy(to, value, length);
			to[length] = '\0';
			return;
		}
		line = strstr(line, "\r\n");
	}
}

/* Reads one request into buffer; returns false at the end of the stream. */
static bool read_request(int fd, char *buffer, size_t size_bytes,
			 size_t *kept_bytes, struct http_request *request)
{
	size_t used = *kept_bytes;
	char length_text[32];
	char target[512];
	char *end;
	char *query;
	size_t head_bytes;

	for (;;) {
		ssize_t got;

		buffer[used] = '\0';
		end = strstr(buffer, "\r\n\r\n");
		if (end)
			break;
		got = recv(fd, buffer + used, size_bytes - 1 - used, 0);
		if (got <= 0)
			return false;
		used += (size_t)got;
	}
	head_bytes = (size_t)(end - buffer) + 4;
	end[2] = '\0';
	if (sscanf(buffer, "%7s %511s", request->method, target) != 2)
		return false;
	copy_header(buffer, "X-Expected-Instance", request->expected_instance,
		    sizeof(request->expected_instance));
	copy_header(buffer, "Content-Length", length_text, sizeof(length_text));
	request->body_bytes = strtoul(length_text, NULL, 10);
	if (head_bytes + request->body_bytes >= size_bytes)
		return false;
	while (used < head_bytes + request->body_bytes) {
		ssize_t got = recv(fd, buffer + used, size_bytes - 1 - used, 0);

		if (got <= 0)
			return false;
		used += (size_t)got;
	}
	query = strchr(target, '?');
	if (query)
		*query++ = '\0';
	snprintf(request->path, sizeof(request->path), "%s", target);
	snprintf(request->query, sizeof(request->query), "%s",
		 query ? query : "");
	request->body = buffer + head_bytes;
	*kept_bytes = used - head_bytes - request->body_bytes;
	return true;
}

static bool answer(int fd, const struct http_reply *reply)
{
	char head[256];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 reply->status, reply->body_bytes);
	return send_all(fd, head, strlen(head)) &&
	       send_all(fd, reply->body ? reply->body : "", reply->body_bytes);
}

static void *serve_connection(void *data)
{
	struct connection *connection = data;
	struct http_server *server = connection->server;
	char *buffer = malloc(HEAD_MAX_BYTES + BODY_MAX_BYTES);
	size_t kept_bytes = 0;
	struct http_request request;
	bool open = true;

	while (open && read_request(connection->fd, buffer,
				    HEAD_MAX_BYTES + BODY_MAX_BYTES,
				    &kept_bytes, &request)) {
		struct http_reply reply = { .status = 200 };

		server->handler(server->self, &request, &reply);
		open = !reply.drop && answer(connection->fd, &reply);
		free(reply.body);
		memmove(buffer, request.body + request.body_bytes, kept_bytes);
	}
	pthread_mutex_lock(&server->lock);
	server->connections[connection->slot] = -1;
	close(connection->fd);
	pthread_mutex_unlock(&server->lock);
	free(buffer);
	free(connection);
	return NULL;
}

static void start_connection(struct http_server *server, int fd)
{
	struct connection *connection;
	pthread_t thread;
	int one = 1;
	int slot = 0;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	pthread_mutex_lock(&server->lock);
	while (slot < CONNECTIONS_MAX_COUNT && server->connections[slot] >= 0)
		slot++;
	if (slot == CONNECTIONS_MAX_COUNT || server->stopped) {
		pthread_mutex_unlock(&server->lock);
		close(fd);
		return;
	}
	server->connections[slot] = fd;
	pthread_mutex_unlock(&server->lock);
	connection = calloc(1, sizeof(*connection));
	*connection = (struct connection){ server, fd, slot };
	if (pthread_create(&thread, NULL, serve_connection, connection))
		fail("can't start a thread");
	pthread_detach(thread);
}

static void *accept_connections(void *data)
{
	struct http_server *server = data;
	int fd;

	while ((fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
		start_connection(server, fd);
	return NULL;
}

struct http_server *http_server_new(int port, http_handler *handler, void *self)
{
	struct http_server *server = calloc(1, sizeof(*server));

	server->fd = open_listener(port);
	server->port = port_of(server->fd);
	server->handler = handler;
	server->self = self;
	pthread_mutex_init(&server->lock, NULL);
	for (int i = 0; i < CONNECTIONS_MAX_COUNT; i++)
		server->connections[i] = -1;
	if (pthread_create(&server->thread, NULL, accept_connections, server))
		fail("can't start a thread");
	return server;
}

int http_server_port(const struct http_server *server)
{
	return server->port;
}

/* The struct stays: threads of connections that end later still use it. */
void http_server_stop(struct http_server *server)
{
	pthread_mutex_lock(&server->lock);
	server->stopped = true;
	shutdown(server->fd, SHUT_RDWR);
	for (int i = 0; i < CONNECTIONS_MAX_COUNT; i++) {
		if (server->connections[i] >= 0)
			shutdown(server->connections[i], SHUT_RDWR);
	}
	pthread_mutex_unlock(&server->lock);
	pthread_join(server->thread, NULL);
	close(server->fd);
}

static int hex_digit(char c)
{
	return c <= '9' ? c - '0' : (c | 32) - 'a' + 10;
}

bool http_query(const struct http_request *request, const char *name, char *to,
		size_t size_bytes)
{
	size_t name_bytes = strlen(name);
	const char *at = request->query;
	size_t used = 0;

	while (strncmp(at, name, name_bytes) != 0 || at[name_bytes] != '=') {
		at = strchr(at, '&');
		if (!at)
			return false;
		at++;
	}
	for (at += name_bytes + 1; *at && *at != '&'; at++) {
		char c = *at;

		if (c == '%' && at[1] && at[2]) {
			c = (char)(hex_digit(at[1]) * 16 + hex_digit(at[2]));
			at += 2;
		}
		if (used + 1 < size_bytes)
			to[used++] = c;
	}
	to[used] = '\0';
	return true;
}

int http_call(const char *ip, int port, const char *method, const char *path,
	      const char *host, const char *body, int64_t timeout_ms,
	      char *answer_text, size_t answer_size_bytes)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	struct timeval timeout = { .tv_sec = timeout_ms / 1000,
				   .tv_usec = timeout_ms % 1000 * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char buffer[8192];
	size_t used = 0;
	ssize_t got = 0;
	int status = 0;

	address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0) {
		snprintf(buffer, sizeof(buffer),
			 "%s %s HTTP/1.1\r\nHost: %s\r\n"
			 "Content-Type: application/json\r\n"
			 "X-Deadline-Ms: %lld\r\nConnection: close\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 method, path, host ? host : ip, (long long)timeout_ms,
			 body ? strlen(body) : 0, body ? body : "");
		send_all(fd, buffer, strlen(buffer));
		while (used + 1 < sizeof(buffer) &&
		       (got = recv(fd, buffer + used, sizeof(buffer) - 1 - used,
				   0)) > 0)
			used += (size_t)got;
		buffer[used] = '\0';
		if (sscanf(buffer, "HTTP/1.1 %d", &status) != 1)
			status = 0;
		if (answer_text) {
			const char *text = strstr(buffer, "\r\n\r\n");

			snprintf(answer_text, answer_size_bytes, "%s",
				 text ? text + 4 : "");
		}
	}
	close(fd);
	return status;
}
