#ifndef JOBS_ACCESS_H
#define JOBS_ACCESS_H

/* Decides whether a call may be served: its API key, and whose job it is on. */

#include "jobs/job.h"

enum access {
	ACCESS_ALLOWED,
	ACCESS_KEY_UNKNOWN,    /* also: none was sent */
	ACCESS_CANNOT_TELL,    /* a newer configuration may have the key */
	ACCESS_CONFIG_TOO_OLD, /* a newer configuration may lack the key */
	ACCESS_OTHER_MEMBER,   /* the job belongs to another member */
	ACCESS_COUNT,
};

/* How an access that is not allowed is answered and counted. */
struct access_refusal {
	uint32_t status;
	const char *name; /* in logs and counters */
	const char *reason;
};

/* When the configuration was known to be the newest one. */
struct config_age {
	/* When the newest read that reached the end was sent; 0: none */
	int64_t current_us;
	int64_t read_us; /* when the last such read was answered */
};

struct access_input {
	bool needs_key;		     /* members exist, the queue isn't public */
	const struct member *member; /* of the key; NULL: unknown or no key */
	struct config_age config;
	int64_t now_us;	   /* not before the call was received */
	int64_t revoke_us; /* see struct job_bounds; 0: not strict */
};

/* Whether it is recent enough to tell that what it lacks does not exist. */
bool access_config_is_recent(const struct config_age *config, int64_t now_us);

/* Whether the key of a call allows it. */
enum access access_check(const struct access_input *input);

/*
 * Whether a call that access_check() has allowed may be about this job. member:
 * name of the member that calls; empty: none.
 */
enum access access_check_job(const struct queues *queues, const struct job *job,
			     const char *member);

/* The refusal for any access but ACCESS_ALLOWED. */
const struct access_refusal *access_refusal(enum access access);

#endif
