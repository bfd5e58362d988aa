/* Replicated state: long jobs. */

#include <string.h>

#include "core/fleet_state.h"

static const char *const state_names[] = {
	[JOB_WAITING] = "waiting",	 [JOB_RUNNING] = "running",
	[JOB_CANCELLING] = "cancelling", [JOB_DONE] = "done",
	[JOB_CANCELLED] = "cancelled",	 [JOB_ASIDE] = "aside",
};

const char *job_state_name(enum fleet_job_state state)
{
	return state <= JOB_ASIDE ? state_names[state] : "unknown";
}

void fleet_job_insert(struct fleet *fleet, struct fleet_job *job)
{
	g_hash_table_insert(fleet->jobs, job->decl.job, job);
}

uint32_t fleet_instance_job_count(const struct fleet *fleet,
				  const char *instance)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(fleet->job_counts, instance));
}

static void adjust_job_count(struct fleet *fleet, const char *instance,
			     int32_t change)
{
	uint32_t count =
		fleet_instance_job_count(fleet, instance) + (uint32_t)change;

	if (count)
		g_hash_table_insert(fleet->job_counts, g_strdup(instance),
				    GUINT_TO_POINTER(count));
	else
		g_hash_table_remove(fleet->job_counts, instance);
}

static struct fleet_job *find_job(const struct fleet *fleet,
				  const struct record *record)
{
	return g_hash_table_lookup(fleet->jobs, record->job.job);
}

static void set_state(struct fleet_job *job, enum fleet_job_state state,
		      uint64_t offset, const char *reason)
{
	job->state = state;
	job->changed_offset = offset;
	g_strlcpy(job->reason, reason, sizeof(job->reason));
}

bool fleet_apply_job_submit(struct fleet *fleet, uint64_t offset,
			    const struct record *record,
			    struct fleet_outcome *outcome)
{
	const struct decl_member *member =
		fleet_member(fleet, record->job.member);
	struct fleet_job *job;

	if (!member)
		return fleet_ignore(outcome, "member is not declared");
	if (member->left)
		return fleet_ignore(outcome, "member has left");
	if (!g_hash_table_contains(fleet->pools, record->job.pool))
		return fleet_ignore(outcome, "pool is not declared");
	if (g_hash_table_contains(fleet->jobs, record->job.job))
		return fleet_ignore(outcome, "job exists");
	job = fleet_job_new();
	job->decl = record->job;
	set_state(job, JOB_WAITING, offset, "");
	fleet_job_insert(fleet, job);
	return true;
}

bool fleet_apply_job_place(struct fleet *fleet, uint64_t offset,
			   const struct record *record,
			   struct fleet_outcome *outcome)
{
	struct fleet_job *job = find_job(fleet, record);
	const struct fleet_instance *instance =
		fleet_instance(fleet, record->job.instance);

	if (!fleet_check_lease(fleet, record, record->job.token, outcome))
		return false;
	if (!job || job->state != JOB_WAITING)
		return fleet_ignore(outcome, "job is not waiting");
	if (!instance || instance->phase != INSTANCE_ACTIVE || instance->down)
		return fleet_ignore(outcome, "instance is not active");
	if (strcmp(instance->pool, job->decl.pool) != 0)
		return fleet_ignore(outcome, "instance is in another pool");
	name_copy(job->instance, sizeof(job->instance), record->job.instance);
	job->attempt_count++;
	set_state(job, JOB_RUNNING, offset, "");
	adjust_job_count(fleet, job->instance, 1);
	return true;
}

bool fleet_apply_job_renew(struct fleet *fleet, uint64_t offset,
			   const struct record *record,
			   struct fleet_outcome *outcome)
{
	struct fleet_job *job = find_job(fleet, record);

	if (!fleet_check_lease(fleet, record, record->job.token, outcome))
		return false;
	if (!job || job->state != JOB_RUNNING)
		return fleet_ignore(outcome, "job is not running");
	job->changed_offset = offset;
	return true;
}

static void add_failure(struct fleet_job *job, uint64_t offset,
			const char *reason)
{
	if (!g_ptr_array_find_with_equal_func(job->failed_on, job->instance,
					      g_str_equal, NULL))
		g_ptr_array_add(job->failed_on, g_strdup(job->instance));
	if (job->failed_on->len < JOB_DISTINCT_FAILURES_COUNT)
		set_state(job, JOB_WAITING, offset, reason);
	else
		set_state(job, JOB_ASIDE, offset, reason);
}

bool fleet_apply_job_end(struct fleet *fleet, uint64_t offset,
			 const struct record *record,
			 struct fleet_outcome *outcome)
{
	struct fleet_job *job = find_job(fleet, record);

	if (!fleet_check_lease(fleet, record, record->job.token, outcome))
		return false;
	if (!job || !job->instance[0] ||
	    strcmp(job->instance, record->job.instance) != 0)
		return fleet_ignore(outcome, "job does not run there");
	adjust_job_count(fleet, job->instance, -1);
	if (record->job.succeeded)
		set_state(job, JOB_DONE, offset, "");
	else if (job->state == JOB_CANCELLING)
		set_state(job, JOB_CANCELLED, offset, "");
	else if (record->job.checkpointed)
		set_state(job, JOB_WAITING, offset, "checkpointed");
	else
		add_failure(job, offset, record->job.reason);
	job->instance[0] = '\0';
	return true;
}

bool fleet_apply_job_cancel(struct fleet *fleet, uint64_t offset,
			    const struct record *record,
			    struct fleet_outcome *outcome)
{
	struct fleet_job *job = find_job(fleet, record);

	if (!job || (job->state != JOB_WAITING && job->state != JOB_RUNNING))
		return fleet_ignore(outcome, "job is not in progress");
	set_state(job,
		  job->state == JOB_RUNNING ? JOB_CANCELLING : JOB_CANCELLED,
		  offset, "cancelled");
	return true;
}

bool fleet_apply_job_set_aside(struct fleet *fleet, uint64_t offset,
			       const struct record *record,
			       struct fleet_outcome *outcome)
{
	struct fleet_job *job = find_job(fleet, record);

	if (!fleet_check_lease(fleet, record, record->job.token, outcome))
		return false;
	if (!job || job->state != JOB_WAITING)
		return fleet_ignore(outcome, "job is not waiting");
	set_state(job, JOB_ASIDE, offset, record->job.reason);
	return true;
}
