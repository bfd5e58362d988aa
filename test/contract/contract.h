#ifndef CONTRACT_CONTRACT_H
#define CONTRACT_CONTRACT_H

/*
 * Contract tests run the real I/O plug-ins on a libev loop, against raw
 * sockets on loopback. Waiting is bounded only by a long timeout.
 */

#include <ev.h>

#include "kernel/kernel.h"
#include "kernel/loop.h"
#include "runner/suite.h"

#define CONTRACT_TOKEN "contract-token"
/* HMAC-SHA256 of "relay" with the token, from another implementation. */
#define CONTRACT_RELAY_HMAC                                                    \
	"1d8db7229ff008c493869c250ca6bcf1be8e61f661932be66b77c98523c70c7e"

struct contract {
	struct settings *settings;
	struct kernel *kernel;
	struct loop *loop;
	struct ev_loop *ev;
	char *token_path;
};

/* A kernel whose listening addresses are ephemeral loopback ports. */
struct contract *contract_new(void);
void contract_free(struct contract *contract);

/* Starts a plug-in of the product; fatal to the test if it fails. */
void contract_start(struct contract *contract, enum plugin_kind kind,
		    const char *name);

/* Ports that the started front ends listen on. */
uint16_t contract_caller_port(struct contract *contract);
uint16_t contract_operator_port(struct contract *contract);

/* Applies a writer's record to the replicated state; takes ownership. */
void contract_apply(struct contract *contract, const char *writer,
		    uint64_t incarnation, struct record *record);

/* Puts an entry instance on the roster. */
void contract_join(struct contract *contract, const char *name,
		   uint64_t incarnation);

/* Applies a declaration file, written by the entry instance "other". */
void contract_declare(struct contract *contract, const char *name,
		      const char *text);

/* Runs the loop until the condition holds; false on timeout. */
bool contract_wait(struct ev_loop *ev, bool (*holds)(const void *data),
		   const void *data);

/* Loop iterations within 50 ms; a busy loop makes thousands. */
uint32_t contract_idle_turns(struct ev_loop *ev);

/* Checks that an answer contains a string; prints both if it doesn't. */
void contract_expect(const char *name, const char *answer, const char *part);

#define GET_ROOT "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

/* One end of a TCP connection that sends and receives raw bytes. */
struct raw_conn {
	struct ev_loop *ev;
	ev_io reader;
	ev_io writer;
	GString *sent; /* still to be sent */
	GString *received;
	bool closed; /* by the peer */
};

struct raw_conn *raw_conn_connect(struct ev_loop *ev, uint16_t port);
/* Takes ownership of a connected socket. */
struct raw_conn *raw_conn_new(struct ev_loop *ev, int fd);
void raw_conn_free(struct raw_conn *conn);
void raw_conn_send(struct raw_conn *conn, const char *data, size_t size_bytes);

/* Sends text and waits for a complete answer. */
const char *raw_conn_ask(struct raw_conn *conn, const char *text);

/* Waits for a complete answer, or until the peer closes the connection. */
const char *raw_conn_wait_answer(struct raw_conn *conn);
bool raw_conn_wait_closed(struct raw_conn *conn);

/* Whether the received bytes hold a complete HTTP message. */
bool raw_conn_has_message(const struct raw_conn *conn);

/* A bound loopback socket that does not listen yet; sets *port. */
int contract_bind(uint16_t *port);

#endif
