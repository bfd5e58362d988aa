#ifndef POLICY_RETRY_H
#define POLICY_RETRY_H

/* Policies that decide whether a failed attempt is retried. */

#include "core/types.h"

struct retry_case {
	const char *member;
	const char *pool;
	bool idempotent;
	enum verdict verdict; /* over all attempts so far */
	int64_t now_us;
	int64_t service_us; /* expected service time; 0: unknown */
	int64_t deadline_us;
};

struct retry_ops {
	void *(*create)(void);
	void (*free)(void *self);
	/* Called on the first attempt of a request. */
	void (*request_started)(void *self, const char *member,
				const char *pool);
	/* Returns whether a retry is allowed, and charges the budget for it. */
	bool (*allow)(void *self, const struct retry_case *failed);
};

#endif
