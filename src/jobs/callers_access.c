/* Refuses the calls that access.c does not allow, and says why. */

#include "jobs/callers.h"
#include "kernel/decision_log.h"

/* owner: member that the job belongs to; empty: not known, or none */
static void refuse(struct callers *callers, const struct job_call *call,
		   enum access access, const char *member, const char *owner)
{
	const struct access_refusal *refusal = access_refusal(access);
	const struct config_age *config = &callers->config;
	char counter[64];
	char detail[384];

	g_snprintf(counter, sizeof(counter),
		   "caller_refused_total{reason=\"%s\"}", refusal->name);
	counter_add(kernel_counters(callers->kernel), counter, 1);
	g_snprintf(detail, sizeof(detail),
		   " access=%s key_sent=%d member=%s owner=%s "
		   "config_version=%" G_GUINT64_FORMAT
		   " config_age_ms=%" G_GINT64_FORMAT,
		   refusal->name, call->key != NULL, member, owner,
		   kernel_queues(callers->kernel)->version,
		   config->current_us ? (kernel_now_us(callers->kernel) -
					 config->current_us) /
						USEC_PER_MSEC
				      : -1);
	callers_refuse_with(callers, call, refusal->status, refusal->reason,
			    detail);
}

bool callers_admit(struct callers *callers, const struct job_call *call,
		   const struct queue *queue, const struct member **member)
{
	const struct queues *queues = kernel_queues(callers->kernel);
	struct access_input input = {
		.needs_key = queues->members && !queue->is_public,
		.member = members_of_key(queues->members, call->key),
		.config = callers->config,
		.now_us = kernel_now_us(callers->kernel),
		.revoke_us = kernel_settings(callers->kernel)->bounds.revoke_us,
	};
	enum access access = access_check(&input);

	*member = input.member;
	if (access == ACCESS_ALLOWED)
		return true;
	refuse(callers, call, access, input.member ? input.member->name : "",
	       "");
	return false;
}

bool callers_admit_job(struct callers *callers, const struct job_call *call,
		       const struct job *job, const char *member)
{
	enum access access =
		access_check_job(kernel_queues(callers->kernel), job, member);

	if (access == ACCESS_ALLOWED)
		return true;
	refuse(callers, call, access, member, job->member);
	return false;
}

void callers_on_config_read(struct callers *callers,
			    const struct config_read *read)
{
	callers->config = (struct config_age){
		.current_us = MAX(callers->config.current_us, read->sent_us),
		.read_us = kernel_now_us(callers->kernel),
	};
}

bool callers_knows_config(const struct callers *callers)
{
	const struct queues *queues = kernel_queues(callers->kernel);

	if (!queues)
		return false;
	return !queues->members || callers->config.current_us ||
	       !kernel_settings(callers->kernel)->bounds.revoke_us;
}
