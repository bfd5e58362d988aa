#ifndef IO_ZMQ_LINK_H
#define IO_ZMQ_LINK_H

/*
 * Messages between processes: one ROUTER socket receives from all of them, one
 * DEALER socket sends to each. libzmq does network I/O on a thread of its own;
 * everything here runs on the loop's thread.
 */

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct zmq_link;

/* data is NULL for a message that isn't two frames, identity and content. */
typedef void zmq_receive_fn(void *self, const void *data, size_t size_bytes);

/* Their product bounds the bytes queued that one process has sent. */
struct zmq_link_limits {
	int64_t message_max_bytes;   /* a larger one ends its connection */
	uint32_t received_max_count; /* queued; then TCP holds back the rest */
};

/* address: "IP:port" to listen on. Returns NULL after logging an error. */
struct zmq_link *zmq_link_new(struct ev_loop *ev, const char *log_prefix,
			      const char *address,
			      const struct zmq_link_limits *limits,
			      zmq_receive_fn *receive, void *self);
void zmq_link_free(struct zmq_link *link);

/* A connection to one other process; NULL if it can't be opened. */
void *zmq_link_connect(struct zmq_link *link, const char *address);
void zmq_link_disconnect(void *conn);

/* Returns false if the process isn't connected or the queue is full. */
bool zmq_link_send(void *conn, GBytes *bytes);

#endif
