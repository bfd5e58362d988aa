/*
 * Applies the records of jobs in store order. EVENT_JOBS_APPLIED is handled
 * before any other event, so that no plug-in sees the state of a later read.
 */

#include "jobs/msg.h"
#include "kernel/kernel.h"

#define AGE_MAX_US (20 * USEC_PER_SEC)

struct apply {
	struct kernel *kernel;
	bool held; /* this process is the holder, its own progress is newer */
};

/*
 * A job of a snapshot may have been submitted long before it was read. Since
 * wall clocks may step, a negative age counts as zero and a long one is capped.
 */
static void set_age(struct apply *apply, struct job *job)
{
	int64_t age_us = kernel_wall_us(apply->kernel) -
			 job->submitted_ms * USEC_PER_MSEC;

	job->first_seen_us =
		kernel_now_us(apply->kernel) - CLAMP(age_us, 0, AGE_MAX_US);
}

static void apply_submitted(struct apply *apply,
			    const struct job_record *record, bool snapshot)
{
	struct job *job =
		job_table_find(kernel_jobs(apply->kernel), record->id);

	if (!job)
		return;
	job_update_policy(job, kernel_queues(apply->kernel));
	if (!snapshot)
		return;
	set_age(apply, job);
	/* A snapshot doesn't show how fast its jobs were submitted. */
	job->over_rate = false;
}

static void apply_read(struct apply *apply, struct store_read *read)
{
	struct job_table *table = kernel_jobs(apply->kernel);
	struct event applied = { .type = EVENT_JOBS_APPLIED };

	if (read->snapshot && !apply->held)
		job_table_clear(table);
	for (guint i = 0; i < read->records->len; i++) {
		const struct job_record *record = read->records->pdata[i];

		job_table_apply(table, record, kernel_now_us(apply->kernel),
				apply->held);
		if (record->kind == JOB_RECORD_SUBMIT)
			apply_submitted(apply, record,
					read->snapshot && !apply->held);
	}
	applied.msg = g_rc_box_acquire(read);
	kernel_emit_front(apply->kernel, &applied);
}

static void apply_handle(void *self, const struct event *event)
{
	struct apply *apply = self;
	const struct holder_changed *changed;
	const struct config_seen *config;

	switch (event->type) {
	case EVENT_STORE_READ:
		apply_read(apply, event->msg);
		break;
	case EVENT_CONFIG_SEEN:
		config = event->msg;
		kernel_set_queues(apply->kernel, queues_ref(config->queues));
		job_table_update_policies(kernel_jobs(apply->kernel),
					  config->queues);
		break;
	default:
		changed = event->msg;
		apply->held = changed->held;
		break;
	}
}

static void *apply_init(struct kernel *kernel)
{
	struct apply *apply = g_new0(struct apply, 1);

	apply->kernel = kernel;
	return apply;
}

static const struct plugin apply_plugin = {
	.name = "apply",
	.kind = PLUGIN_JOBS,
	.subscriptions = EVENT_BIT(EVENT_STORE_READ) |
			 EVENT_BIT(EVENT_CONFIG_SEEN) |
			 EVENT_BIT(EVENT_HOLDER_CHANGED),
	.init = apply_init,
	.handle = apply_handle,
	.fini = g_free,
};

PLUGIN_REGISTER(apply_plugin)
