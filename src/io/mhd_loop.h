#ifndef IO_MHD_LOOP_H
#define IO_MHD_LOOP_H

/*
 * HTTP servers on libev: libmicrohttpd in external epoll mode. A server
 * receives each request within its limits, passes it on when it is complete,
 * and suspends the connection until the response is given.
 */

#include <ev.h>
#include <glib.h>

#include "core/types.h"
#include "io/conn_budget.h"
#include "kernel/counter.h"

/*
 * Memory of libmicrohttpd for each connection. Enough for the largest headers
 * that are accepted, with room for larger ones to be refused by name. Above
 * 32 KB libmicrohttpd maps it, so that it goes back when the connection ends.
 */
#define HTTPD_CONNECTION_MEMORY_BYTES 36864
/* With the structures of the connection and its request, without its text. */
#define HTTPD_CONNECTION_BYTES (HTTPD_CONNECTION_MEMORY_BYTES + 2048)

struct httpd;
struct exchange; /* one request and its response */

struct httpd_limits {
	uint64_t body_max_bytes;
	uint32_t connections_max_count;
	/* Timeout of each: receiving headers, body, sending the response. */
	int64_t client_timeout_us;
	uint32_t header_lines_max_count;	/* 0: no limit */
	uint32_t address_connections_max_count; /* of one client; 0: no limit */
	/* Shared by servers, must outlive them; NULL: one of its own. */
	struct conn_budget *budget;
	/* Of a budget of its own; NULL: nothing is limited. */
	const struct conn_limits *conn_limits;
	enum conn_partition partition;
	struct counters *counters; /* of refusals; may be NULL */
};

struct httpd_ops {
	/* A request is complete. exchange_reply() must follow, now or later. */
	void (*request)(void *self, struct exchange *exchange);
	/*
	 * The client has disconnected before the response was given. The
	 * exchange is invalid after this call.
	 */
	void (*disconnected)(void *self, struct exchange *exchange);
};

/* address: IP:port to listen on. NULL on failure, after logging the cause. */
struct httpd *httpd_new(struct ev_loop *ev, const char *address,
			const struct httpd_limits *limits,
			const struct httpd_ops *ops, void *self);

/*
 * Sends pending responses for a limited time, then closes all connections.
 * Every exchange must have got its response. A request that is received
 * meanwhile is refused with 503 and not passed on.
 */
void httpd_free(struct httpd *httpd);

/* The listening port; differs from the address if that had port 0. */
uint16_t httpd_port(const struct httpd *httpd);

const char *exchange_method(const struct exchange *exchange);

/* Path and query as sent, not decoded. */
const char *exchange_target(const struct exchange *exchange);

/* Decoded path without the query. */
const char *exchange_path(const struct exchange *exchange);

/* Decoded argument of the query; NULL if there is none. */
const char *exchange_argument(const struct exchange *exchange,
			      const char *name);

/* NULL if the request has no such header. */
const char *exchange_header(const struct exchange *exchange, const char *name);

/* NULL if the request has no body. Owned by the exchange. */
GBytes *exchange_body(const struct exchange *exchange);

/* Releases the body of a request that waits for its response. */
void exchange_drop_body(struct exchange *exchange);

void exchange_set_data(struct exchange *exchange, void *data);
void *exchange_data(const struct exchange *exchange);

/* Adds a header to the response. */
void exchange_add_header(struct exchange *exchange, const char *name,
			 const char *value);

/*
 * Sends the response; the exchange must not be used afterwards. content_type
 * may be empty, body NULL. Takes a reference of its own to the body.
 */
void exchange_reply(struct exchange *exchange, uint32_t status,
		    const char *content_type, GBytes *body);

/* Replies with {"reason","verdict","request"}; request may be NULL. */
void exchange_reply_error(struct exchange *exchange, uint32_t status,
			  const char *reason, enum verdict verdict,
			  const char *request);

#endif
