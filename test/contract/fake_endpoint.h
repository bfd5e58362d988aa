#ifndef CONTRACT_FAKE_ENDPOINT_H
#define CONTRACT_FAKE_ENDPOINT_H

/* An endpoint on raw sockets that follows a script. */

#include "contract/contract.h"

enum after_answer {
	AFTER_KEEP,  /* the connection stays open */
	AFTER_CLOSE, /* orderly end of the stream */
	AFTER_RESET,
};

/* What an endpoint does with one request. */
struct fake_step {
	const char *answer; /* sent verbatim */
	enum after_answer after;
};

/* Answers its requests in order, one step for each. */
struct fake_endpoint {
	struct ev_loop *ev;
	uint16_t port;
	ev_io listener;
	ev_check check;
	GPtrArray *conns;	       /* of struct raw_conn */
	const struct fake_step *steps; /* ends with a NULL answer */
	uint32_t request_count;
	GString *last_request;
};

/* A list of steps with its terminator. */
#define STEPS(...)                                                             \
	{                                                                      \
		__VA_ARGS__,                                                   \
		{                                                              \
			NULL                                                   \
		}                                                              \
	}

struct fake_endpoint *fake_endpoint_new(struct ev_loop *ev,
					const struct fake_step *steps);
void fake_endpoint_free(struct fake_endpoint *endpoint);

#endif
