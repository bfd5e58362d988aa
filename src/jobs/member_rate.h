#ifndef JOBS_MEMBER_RATE_H
#define JOBS_MEMBER_RATE_H

/*
 * The rate at which a member submits jobs, against the one it is granted. The
 * load that it is for: a member sends many times its usual number of jobs.
 * Those beyond its rate give way to the jobs of others.
 */

#include "jobs/members.h"

/* Token bucket with one token a job, and room for the tokens of a second. */
struct member_rate {
	int64_t tokens_micro; /* millionths of a token */
	int64_t refilled_us;  /* 0: not used yet */
};

/*
 * Takes a token for a job. Returns false if the job is beyond the rate; with a
 * weight of 0 none is. now_us: monotonic.
 */
bool member_rate_take(struct member_rate *rate,
		      const struct member_policy *policy, int64_t now_us);

/* Whether a job that is submitted now would be beyond the rate. */
bool member_rate_is_used_up(struct member_rate *rate,
			    const struct member_policy *policy, int64_t now_us);

/*
 * Whether a job beyond the rate is refused: as many jobs of its member as it
 * may submit in a second, all beyond the rate, wait for room.
 */
bool member_rate_refuses(const struct member_policy *policy,
			 uint32_t waiting_count);

#endif
