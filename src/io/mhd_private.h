#ifndef IO_MHD_PRIVATE_H
#define IO_MHD_PRIVATE_H

/* Internals of the HTTP server; its interface is mhd_loop.h. */

#include <microhttpd.h>

#include "io/mhd_loop.h"

#define LOG_PREFIX "httpd"

enum exchange_state {
	EXCHANGE_HEADERS,   /* the request line was received */
	EXCHANGE_RECEIVING, /* the body is being received */
	EXCHANGE_WAITING,   /* for the response */
	EXCHANGE_REPLIED,
	EXCHANGE_DISCONNECTED,
};

struct conn {
	struct httpd *httpd;
	struct MHD_Connection *mhd;
	struct exchange *exchange; /* in progress, or NULL */
	int fd;
	bool used;	     /* has completed a request */
	bool watched;	     /* for a disconnect */
	int64_t deadline_us; /* 0: none */
	GList link;	     /* of httpd->deadlines */
	struct conn_account account;
};

struct exchange {
	struct conn *conn;
	enum exchange_state state;
	bool suspended;
	char *target;
	char *path;
	char *method;
	GByteArray *received;
	uint64_t received_bytes; /* including discarded ones */
	bool too_large;
	GBytes *body;
	void *data;
	uint32_t status;
	char *content_type;
	GPtrArray *headers; /* of char *: name, value, name, ... */
	GBytes *response_body;
};

struct httpd {
	struct ev_loop *ev;
	struct MHD_Daemon *daemon;
	struct httpd_limits limits;
	struct conn_budget *budget;
	struct conn_budget *own_budget; /* NULL if it was given */
	const struct httpd_ops *ops;
	void *self;
	ev_io io;	   /* libmicrohttpd's epoll descriptor */
	ev_timer timer;	   /* libmicrohttpd's next timeout */
	int disconnect_fd; /* epoll of suspended connections */
	ev_io disconnect_io;
	/*
	 * Connections in order of deadline. All get the same timeout, so a new
	 * deadline goes to the end.
	 */
	GQueue deadlines;
	ev_timer deadline_timer;
	ev_timer sweep_timer;  /* runs while there are connections */
	uint32_t unsent_count; /* responses given and not yet sent */
	uint32_t connection_count;
	bool limit_cleared; /* has just dropped below libmicrohttpd's limit */
	bool stopping;	    /* httpd_free() sends the last responses */
};

/*
 * Connections that libmicrohttpd accepts beyond the limit. Each makes another
 * one close, so that clients that do nothing can't keep others out.
 */
#define CONNECTIONS_SPARE_COUNT 8

/* mhd_loop.c */

/* Runs libmicrohttpd in the next iteration of the loop. */
void httpd_run_soon(struct httpd *httpd);

/* For suspended connections, which libmicrohttpd does not watch. */
void conn_watch_disconnect(struct conn *conn);
void conn_unwatch_disconnect(struct conn *conn);

/* mhd_exchange.c */

/* Body of exchange_reply_error(); free() it. NULL if it can't be encoded. */
char *exchange_error_text(const char *reason, enum verdict verdict,
			  const char *request);

/* Ends an exchange whose client has disconnected before the response. */
void exchange_disconnect(struct exchange *exchange);

void exchange_free(struct exchange *exchange);

/* Callbacks of libmicrohttpd; the first argument is the httpd. */
void *exchange_on_target(void *self, const char *target,
			 struct MHD_Connection *mhd);
void exchange_on_completed(void *self, struct MHD_Connection *mhd,
			   void **request_context,
			   enum MHD_RequestTerminationCode code);
enum MHD_Result exchange_on_request(void *self, struct MHD_Connection *mhd,
				    const char *path, const char *method,
				    const char *version, const char *upload,
				    size_t *upload_size_bytes,
				    void **request_context);

/* mhd_limits.c */

/* Restarts the client's timeout, limits.client_timeout_us. */
void conn_set_deadline(struct conn *conn);
void conn_clear_deadline(struct conn *conn);
void httpd_on_deadline(struct ev_loop *ev, ev_timer *watcher, int revents);

/*
 * Sends a response before the request is complete, which libmicrohttpd doesn't
 * accept. Nothing else may have been sent for this request. status: code and
 * reason phrase; 503 adds Retry-After. A failure to send is only logged.
 */
void conn_send_error(const struct conn *conn, const char *status,
		     const char *reason);

/* Whether a request is incomplete, or the first one has not begun. */
bool conn_is_receiving(const struct conn *conn);

/* Closes the connection; a request that wasn't passed on won't be any more. */
void conn_shut_down(struct conn *conn);

/* Refuses a request whose headers, or announced body, exceed a limit. */
void exchange_check_headers(struct exchange *exchange);

/* Stores a part of the body, or discards it beyond the limit. */
enum MHD_Result exchange_receive(struct exchange *exchange, const char *data,
				 size_t size_bytes);

/* Replies 413 to a request whose body exceeds the limit of the server. */
void exchange_reply_too_large(struct exchange *exchange);

/* mhd_budget.c */

/*
 * Opens the account of a new connection. If its server exceeds its
 * connection limit now, closes the worst one of that server.
 */
void conn_open_account(struct conn *conn);
void conn_close_account(struct conn *conn);

/* The client has to send a request, or to read so many bytes of a response. */
void conn_begin_phase(struct conn *conn, enum conn_phase phase,
		      uint64_t transfer_bytes);

/*
 * Counts what the connection holds now. Closes connections, of any server that
 * shares the partition, while it is exceeded. Returns false if this one was
 * closed.
 */
bool conn_recount(struct conn *conn);

/* Counts a refusal or closed connection; logs it if it is time to. */
void conn_report(const struct conn *conn, enum conn_cause cause);

/* Closes connections that are overdue, and counts the socket buffers. */
void httpd_on_sweep(struct ev_loop *ev, ev_timer *watcher, int revents);

#endif
