#ifndef CMD_CLIENT_H
#define CMD_CLIENT_H

/* Calls to the operator interface of entry instances. */

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
	CLIENT_ANSWERED,
	CLIENT_UNREACHABLE, /* certain: the server did not get the call */
	CLIENT_LOST,	    /* sent, but not answered */
};

struct client_call {
	char *server;
	enum client_result result;
	uint32_t status; /* HTTP status of an answer */
	json_t *answer;	 /* NULL if the answer is no JSON */
	char *error;	 /* why there is no answer */
};

/*
 * Children of the commands' parsers; the input of the first is
 * struct client_options.
 */
extern const struct argp_child client_parsers[];

void client_options_clear(struct client_options *options);

/*
 * Makes the same call to several servers (of char *) at once and waits for
 * all. body may be NULL. Returns struct client_call, in order of servers.
 */
GPtrArray *client_call_all(const struct client_options *options,
			   const GPtrArray *servers, const char *method,
			   const char *target, const char *body,
			   int64_t timeout_us);

/* Calls the servers of the options in turn until one is reached. */
struct client_call *client_call_first(const struct client_options *options,
				      const char *method, const char *target,
				      const char *body, int64_t timeout_us);

void client_call_free(gpointer call);

/*
 * Prints the reasons of a call without a good answer to standard error.
 * Returns the exit code that follows from the call.
 */
enum exit_code client_report(const struct client_call *call);

/* A text of an answer; empty if there is none. */
const char *client_text(const json_t *object, const char *key);

#endif
