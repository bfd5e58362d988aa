#include "jobs/access.h"

#include <string.h>

/*
 * Reads of the configuration are answered after a second at most, so without
 * an answer for this time the store is not reached.
 */
#define CONFIG_SILENT_US (1500 * USEC_PER_MSEC)
/*
 * A read is sent at most 1.1 s before its answer is handled. An answer that lay
 * in the socket while the process was frozen belongs to an older read.
 */
#define CONFIG_RECENT_US (CONFIG_SILENT_US + 1100 * USEC_PER_MSEC)
/*
 * The share of the time limit for a removed key during which the configuration
 * counts as current; the rest is for clocks that run at different rates.
 */
#define REVOKE_SHARE_PERCENT 90

static const struct access_refusal refusals[ACCESS_COUNT] = {
	[ACCESS_KEY_UNKNOWN] = {
		.status = 401,
		.name = "key-unknown",
		.reason = "unknown or missing API key",
	},
	[ACCESS_CANNOT_TELL] = {
		.status = 503,
		.name = "cannot-tell",
		.reason = "the configuration is too old to tell",
	},
	[ACCESS_CONFIG_TOO_OLD] = {
		.status = 503,
		.name = "config-too-old",
		.reason = "the configuration is too old to accept API keys",
	},
	[ACCESS_OTHER_MEMBER] = {
		.status = 403,
		.name = "other-member",
		.reason = "the job belongs to another member",
	},
};

bool access_config_is_recent(const struct config_age *config, int64_t now_us)
{
	return config->current_us &&
	       now_us - config->read_us <= CONFIG_SILENT_US &&
	       now_us - config->current_us <= CONFIG_RECENT_US;
}

static bool may_be_revoked(const struct access_input *input)
{
	int64_t limit_us = input->revoke_us / 100 * REVOKE_SHARE_PERCENT;

	return input->revoke_us &&
	       (!input->config.current_us ||
		input->now_us - input->config.current_us > limit_us);
}

enum access access_check(const struct access_input *input)
{
	if (!input->needs_key)
		return ACCESS_ALLOWED;
	if (!input->member)
		return access_config_is_recent(&input->config, input->now_us)
			       ? ACCESS_KEY_UNKNOWN
			       : ACCESS_CANNOT_TELL;
	return may_be_revoked(input) ? ACCESS_CONFIG_TOO_OLD : ACCESS_ALLOWED;
}

/*
 * The queue of the job decides, not the one whose path was called: the id alone
 * names a job, so the path of a public queue leads to all jobs.
 */
enum access access_check_job(const struct queues *queues, const struct job *job,
			     const char *member)
{
	const struct queue *queue = queues_find(queues, job->queue);

	if (!queues->members || !*job->member || (queue && queue->is_public) ||
	    !strcmp(job->member, member))
		return ACCESS_ALLOWED;
	return ACCESS_OTHER_MEMBER;
}

const struct access_refusal *access_refusal(enum access access)
{
	return &refusals[access];
}
