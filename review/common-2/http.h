#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

/* A small HTTP/1.1 server and client for the stand-ins of the review. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_request {
	char method[8];
	char path[512]; /* without the query */
	char query[512];
	char expected_instance[64]; /* X-Expected-Instance */
	const char *body;
	size_t body_bytes;
};

struct http_reply {
	int status;
	char *body; /* malloc'ed; NULL: none */
	size_t body_bytes;
	bool drop; /* closes the connection without an answer */
};

typedef void http_handler(void *self, const struct http_request *request,
			  struct http_reply *reply);

struct http_server;

/* Listens on 127.0.0.1; port 0 takes a free one. Exits if it can't. */
struct http_server *http_server_new(int port, http_handler *handler,
				    void *self);
int http_server_port(const struct http_server *server);

/* Closes the listening socket and all connections. */
void http_server_stop(struct http_server *server);

/* Reads one parameter of a query; returns false if it is missing. */
bool http_query(const struct http_request *request, const char *name, char *to,
		size_t size_bytes);

/*
 * Sends one request over a new connection. Returns the status, or 0 if there
 * was no answer in time. host may be NULL.
 */
int http_call(const char *ip, int port, const char *method, const char *path,
	      const char *host, const char *body, int64_t timeout_ms,
	      char *answer, size_t answer_size_bytes);

/* A TCP port of 127.0.0.1 that is free now. */
int http_free_port(void);

#endif
