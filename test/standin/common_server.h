#ifndef STANDIN_COMMON_SERVER_H
#define STANDIN_COMMON_SERVER_H

/* A small HTTP server for the stand-ins: libmicrohttpd on a libev loop. */

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>

struct server;

/* One request; valid until it is answered. */
struct server_request {
	struct server *server;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	GByteArray *body;
	void *data;		       /* private to the handler */
	struct MHD_Response *response; /* set when it is answered */
	unsigned int status;
	gboolean suspended;
	gboolean aborted; /* the connection is closed without an answer */
	gboolean *gone; /* set to TRUE when the connection ends, may be NULL */
};

typedef void server_handler(struct server_request *request, void *data);

/* Listens on 127.0.0.1. connection_limit 0: a default of 1000. */
struct server *server_new(struct ev_loop *loop, uint16_t port,
			  uint32_t connection_limit, server_handler *handler,
			  void *data);
void server_free(struct server *server);

/* Value of a query argument or a header, or NULL. */
const char *server_argument(const struct server_request *request,
			    const char *name);

/* Answers a request, from inside its handler or later. */
void server_reply(struct server_request *request, unsigned int status,
		  const char *content_type, const char *body,
		  size_t size_bytes);

/* Adds a header to a reply. Only inside the handler, before it is sent. */
void server_add_header(struct server_request *request, const char *name,
		       const char *value);

/* Sends part of an answer, then closes the connection. */
void server_reply_truncated(struct server_request *request);

/* Closes the connection without an answer. */
void server_abort(struct server_request *request);

#endif
