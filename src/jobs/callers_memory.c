/* Refuses submissions that there is no memory for. */

#include "jobs/callers.h"
#include "jobs/job_memory.h"
#include "kernel/decision_log.h"

#define LOG_PERIOD_US USEC_PER_SEC

static struct job_memory memory_of(const struct callers *callers)
{
	return (struct job_memory){
		.max_bytes =
			kernel_settings(callers->kernel)->bounds.jobs_max_bytes,
		.held_bytes =
			job_table_held_bytes(kernel_jobs(callers->kernel)),
	};
}

static uint64_t pending_bytes(const struct callers *callers)
{
	uint64_t sum = 0;

	for (guint i = 0; i < callers->pending->len; i++) {
		const struct pending_call *pending = callers->pending->pdata[i];

		if (pending->record && pending->record->spec)
			sum += job_spec_held_bytes(pending->record->spec);
	}
	return sum;
}

static void refuse(struct callers *callers, const struct job_call *call,
		   const struct job_memory *memory)
{
	int64_t now_us = kernel_now_us(callers->kernel);

	counter_add(kernel_counters(callers->kernel),
		    "caller_refused_total{reason=\"job-memory\"}", 1);
	callers->memory_refused_count++;
	if (now_us >= callers->memory_log_us) {
		decision_log("job-memory",
			     "refused=%u job_bytes=%" G_GUINT64_FORMAT
			     " held_bytes=%" G_GUINT64_FORMAT
			     " pending_bytes=%" G_GUINT64_FORMAT
			     " max_bytes=%" G_GUINT64_FORMAT,
			     callers->memory_refused_count,
			     job_spec_held_bytes(call->spec),
			     memory->held_bytes, memory->pending_bytes,
			     memory->max_bytes);
		callers->memory_refused_count = 0;
		callers->memory_log_us = now_us + LOG_PERIOD_US;
	}
	callers_refuse(callers, call, 503,
		       "no memory for a job of this size; nothing was written");
}

bool callers_admit_memory(struct callers *callers, const struct job_call *call)
{
	struct job_memory memory = memory_of(callers);

	if (!memory.max_bytes)
		return true;
	memory.pending_bytes = pending_bytes(callers);
	if (job_memory_admits(&memory, job_spec_held_bytes(call->spec)))
		return true;
	refuse(callers, call, &memory);
	return false;
}

void callers_recheck_memory(struct callers *callers)
{
	struct job_memory memory = memory_of(callers);

	for (guint i = 0; memory.max_bytes && i < callers->pending->len;) {
		const struct pending_call *pending = callers->pending->pdata[i];

		if (pending->state != PENDING_QUEUED ||
		    !pending->record->spec ||
		    job_memory_admits(
			    &memory,
			    job_spec_held_bytes(pending->record->spec))) {
			i++;
			continue;
		}
		refuse(callers, pending->call, &memory);
		g_ptr_array_remove_index(callers->pending, i);
	}
}

void callers_show_memory(const struct callers *callers)
{
	counter_set(kernel_counters(callers->kernel), "jobs_held_bytes",
		    job_table_held_bytes(kernel_jobs(callers->kernel)));
}
