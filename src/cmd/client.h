#ifndef CMD_CLIENT_H
#define CMD_CLIENT_H

/* HTTP client of the entry instances' operator interface. */

#include <argp.h>
#include <glib.h>
#include <jansson.h>

#include "cmd/command.h"
#include "core/types.h"

/* Options that all client commands share: --server and --token-file. */
struct client_options {
	GPtrArray *servers; /* of char *: IP:port, owned */
	char *token;
};

enum client_result {
	CLIENT_RESPONDED,
	CLIENT_UNREACHABLE, /* the server has not received the request */
	CLIENT_NO_RESPONSE, /* the server may have received the request */
};

struct client_call {
	char *server;
	enum client_result result;
	uint32_t status;  /* HTTP status */
	json_t *response; /* response body; NULL if it is not JSON */
	char *error;	  /* why there is no response */
};

/*
 * Child parsers for the shared options. The input of the first is a
 * struct client_options.
 */
extern const struct argp_child client_parsers[];

void client_options_clear(struct client_options *options);

/*
 * Sends the same request to several servers (of char *) concurrently and waits
 * for all of them. body may be NULL. Returns an array of struct client_call in
 * the order of servers.
 */
GPtrArray *client_call_all(const struct client_options *options,
			   const GPtrArray *servers, const char *method,
			   const char *target, const char *body,
			   int64_t timeout_us);

/* Tries the servers of the options in turn until one is reachable. */
struct client_call *client_call_first(const struct client_options *options,
				      const char *method, const char *target,
				      const char *body, int64_t timeout_us);

void client_call_free(gpointer call);

/*
 * If a call has failed, prints the reasons to standard error. Returns the exit
 * code for the result of the call.
 */
enum exit_code client_report(const struct client_call *call);

/* String member of a JSON object; "" if there is none. */
const char *client_text(const json_t *object, const char *key);

#endif
