/*
 * Drives jobs from submission to their end, on the entry instance that holds
 * the planner lease. Jobs are processed in slices, so that thousands of
 * simultaneous changes do not block the event loop.
 */

#include "decide/jobs.h"

#include <string.h>

#include "kernel/klog.h"
#include "policy/plan.h"

#define LOG_PREFIX "jobs"
#define SLICE_MAX_JOBS 64
#define SLICE_INTERVAL_US (10 * USEC_PER_MSEC)
#define TICK_INTERVAL_US (1 * USEC_PER_SEC)
/* Records of two appends, so that the proposer's queue has room for others. */
#define MAX_PENDING_COUNT 128
/* A job for which no instance had room is tried again after this time. */
#define PLACEMENT_RETRY_US (5 * USEC_PER_SEC)
/* A checkpoint or stop without a report is requested again. */
#define REQUEST_RETRY_US (30 * USEC_PER_SEC)
/*
 * The platform's own lease ends a task within this time after its worker was
 * lost. Placing the job elsewhere any sooner could run it twice.
 */
#define DOWN_TIMEOUT_US (60 * USEC_PER_SEC)
/*
 * 1,600 running jobs renewed every 600 s are 2.7 records per second, a few
 * bytes in each of the 20 appends per second that an entry instance may make.
 */
#define RENEW_INTERVAL_US (600 * USEC_PER_SEC)
#define MAX_RENEWALS_PER_TICK 4

static void *jobs_init(struct kernel *kernel)
{
	struct jobs *jobs = g_new0(struct jobs, 1);

	jobs->kernel = kernel;
	jobs->pending = pending_new(kernel);
	jobs->tracked =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	jobs->work_queue = g_queue_new();
	jobs->charged =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	jobs->running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	jobs->listed_live =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	jobs->usage =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return jobs;
}

static void jobs_fini(void *self)
{
	struct jobs *jobs = self;

	pending_free(jobs->pending);
	g_hash_table_unref(jobs->tracked);
	g_queue_free_full(jobs->work_queue, g_free);
	g_hash_table_unref(jobs->charged);
	g_hash_table_unref(jobs->running);
	g_hash_table_unref(jobs->listed_live);
	g_hash_table_unref(jobs->usage);
	g_free(jobs);
}

/* Drops the state that only the holder of the lease keeps. */
static void stop_planning(struct jobs *jobs)
{
	jobs->token = 0;
	pending_clear(jobs->pending);
	g_hash_table_remove_all(jobs->tracked);
	g_hash_table_remove_all(jobs->charged);
	g_hash_table_remove_all(jobs->running);
	g_queue_clear_full(jobs->work_queue, g_free);
}

static void enqueue(struct jobs *jobs, struct tracked_job *tracked)
{
	if (tracked->queued)
		return;
	tracked->queued = true;
	g_queue_push_tail(jobs->work_queue, g_strdup(tracked->name));
}

static bool is_on_instance(const struct fleet_job *job)
{
	return job->state == JOB_RUNNING || job->state == JOB_CANCELLING;
}

static bool in_progress(const struct fleet_job *job)
{
	return job->state == JOB_WAITING || is_on_instance(job);
}

static struct tracked_job *track(struct jobs *jobs, const struct fleet_job *job)
{
	struct tracked_job *tracked =
		g_hash_table_lookup(jobs->tracked, job->decl.job);

	if (tracked)
		return tracked;
	tracked = g_new0(struct tracked_job, 1);
	name_copy(tracked->name, NAME_SIZE_BYTES, job->decl.job);
	name_copy(tracked->member, NAME_SIZE_BYTES, job->decl.member);
	g_hash_table_insert(jobs->tracked, tracked->name, tracked);
	return tracked;
}

/* Updates a tracked job from the replicated state and enqueues it. */
static void sync_job(struct jobs *jobs, const char *name)
{
	const struct fleet_job *job =
		fleet_job(kernel_fleet(jobs->kernel), name);
	struct tracked_job *tracked = g_hash_table_lookup(jobs->tracked, name);

	if (!job || !in_progress(job)) {
		if (!tracked)
			return;
		jobs_charge(jobs, tracked, "", 0);
		g_hash_table_remove(jobs->tracked, name);
		return;
	}
	tracked = track(jobs, job);
	tracked->changed_offset = job->changed_offset;
	if (strcmp(tracked->charged_to, job->instance) != 0) {
		tracked->ended = false;
		tracked->requested_us = 0;
		tracked->down_since_us = 0;
		tracked->renew_at_us = 0;
	}
	jobs_charge(jobs, tracked, job->instance,
		    jobs_estimate_millislots(jobs, tracked, job));
	enqueue(jobs, tracked);
}

static void start_planning(struct jobs *jobs, uint64_t token)
{
	GPtrArray *list = fleet_jobs(kernel_fleet(jobs->kernel));

	stop_planning(jobs);
	jobs->token = token;
	jobs->tick_at_us = kernel_now_us(jobs->kernel) + TICK_INTERVAL_US;
	for (guint i = 0; i < list->len; i++)
		sync_job(jobs, ((struct fleet_job *)list->pdata[i])->decl.job);
	g_ptr_array_unref(list);
}

static struct record *job_record(const struct jobs *jobs, enum record_kind kind,
				 const struct fleet_job *job)
{
	struct record *record = record_new(kind);

	record->job.token = jobs->token;
	name_copy(record->job.job, NAME_SIZE_BYTES, job->decl.job);
	name_copy(record->job.instance, NAME_SIZE_BYTES, job->instance);
	record->job.attempt_count = job->attempt_count;
	return record;
}

static void emit_task_event(struct jobs *jobs, enum event_type type,
			    const struct fleet_job *job)
{
	struct event event = { .type = type };

	name_copy(event.task.job, NAME_SIZE_BYTES, job->decl.job);
	name_copy(event.task.instance, NAME_SIZE_BYTES, job->instance);
	event.task.attempt = job->attempt_count;
	event.task.slots_count = job->decl.declared_slots_count;
	kernel_emit(jobs->kernel, &event);
}

static void propose_end(struct jobs *jobs, const struct tracked_job *tracked,
			const struct fleet_job *job)
{
	struct record *record = job_record(jobs, RECORD_JOB_END, job);

	record->job.succeeded = tracked->outcome == TASK_SUCCEEDED;
	record->job.checkpointed = tracked->outcome == TASK_CHECKPOINTED;
	g_strlcpy(record->job.reason, tracked->reason, REASON_SIZE_BYTES);
	pending_propose(jobs->pending, tracked->name, record);
}

static void propose_set_aside(struct jobs *jobs,
			      const struct tracked_job *tracked,
			      const struct fleet_job *job, const char *reason)
{
	struct record *record = job_record(jobs, RECORD_JOB_SET_ASIDE, job);

	g_strlcpy(record->job.reason, reason, REASON_SIZE_BYTES);
	pending_propose(jobs->pending, tracked->name, record);
	klog_info(LOG_PREFIX, "job %s is set aside: %s", tracked->name, reason);
}

static void process_waiting(struct jobs *jobs, struct tracked_job *tracked,
			    const struct fleet_job *job)
{
	const char *reason = jobs_unplaceable_reason(jobs, tracked, job);
	const struct fleet_instance *instance;
	struct record *record;

	if (reason) {
		propose_set_aside(jobs, tracked, job, reason);
		return;
	}
	instance = jobs_find_instance(jobs, tracked, job);
	tracked->recheck_at_us =
		kernel_now_us(jobs->kernel) + PLACEMENT_RETRY_US;
	if (!instance)
		return;
	record = job_record(jobs, RECORD_JOB_PLACE, job);
	name_copy(record->job.instance, NAME_SIZE_BYTES, instance->decl.name);
	/* Charged at once, so that the next job of this slice sees it. */
	jobs_charge(jobs, tracked, instance->decl.name,
		    jobs_estimate_millislots(jobs, tracked, job));
	pending_propose(jobs->pending, tracked->name, record);
}

static void request_task_end(struct jobs *jobs, struct tracked_job *tracked,
			     const struct fleet_job *job, enum event_type type)
{
	int64_t now_us = kernel_now_us(jobs->kernel);

	if (tracked->requested_us &&
	    now_us - tracked->requested_us < REQUEST_RETRY_US) {
		tracked->recheck_at_us =
			tracked->requested_us + REQUEST_RETRY_US;
		return;
	}
	tracked->requested_us = MAX(now_us, 1);
	tracked->recheck_at_us = now_us + REQUEST_RETRY_US;
	emit_task_event(jobs, type, job);
}

/* Whether the gentle window of a service of the job's member is open. */
static bool in_gentle_window(struct jobs *jobs, const struct fleet_job *job)
{
	struct plan_view view = { .fleet = kernel_fleet(jobs->kernel),
				  .wall_us = kernel_wall_us(jobs->kernel) };

	return plan_member_in_gentle_window(&view, job->decl.member,
					    job->decl.pool);
}

static void renew_lease(struct jobs *jobs, struct tracked_job *tracked,
			const struct fleet_job *job)
{
	int64_t now_us = kernel_now_us(jobs->kernel);

	if (!tracked->renew_at_us)
		/* Random, so that jobs that started together spread out. */
		tracked->renew_at_us =
			now_us + g_rand_int_range(kernel_random(jobs->kernel),
						  RENEW_INTERVAL_US / 2,
						  RENEW_INTERVAL_US);
	if (now_us >= tracked->renew_at_us &&
	    jobs->renewed_count < MAX_RENEWALS_PER_TICK) {
		jobs->renewed_count++;
		tracked->renew_at_us = now_us + RENEW_INTERVAL_US;
		pending_propose(jobs->pending, tracked->name,
				job_record(jobs, RECORD_JOB_RENEW, job));
	}
	tracked->recheck_at_us =
		MAX(tracked->renew_at_us, now_us + TICK_INTERVAL_US);
}

/*
 * An instance is also recorded as down while no entry of its data centre can be
 * heard. Its jobs continue as long as the platform lists it as live.
 */
static bool is_instance_gone(const struct jobs *jobs,
			     const struct fleet_instance *instance)
{
	if (!instance || instance->phase == INSTANCE_REMOVED)
		return true;
	return instance->down &&
	       !g_hash_table_contains(jobs->listed_live, instance->decl.name);
}

/*
 * Returns whether the instance of a job is gone. Ends the job if that has
 * lasted for DOWN_TIMEOUT_US.
 */
static bool process_instance_gone(struct jobs *jobs,
				  struct tracked_job *tracked,
				  const struct fleet_job *job,
				  const struct fleet_instance *instance)
{
	int64_t now_us = kernel_now_us(jobs->kernel);

	if (!is_instance_gone(jobs, instance)) {
		tracked->down_since_us = 0;
		return false;
	}
	if (!tracked->down_since_us)
		tracked->down_since_us = MAX(now_us, 1);
	tracked->recheck_at_us = tracked->down_since_us + DOWN_TIMEOUT_US;
	if (now_us < tracked->recheck_at_us) {
		/* A leaving instance may still save the job's state. */
		if (!tracked->requested_us && job->state == JOB_RUNNING)
			request_task_end(jobs, tracked, job,
					 EVENT_TASK_CHECKPOINT);
		tracked->recheck_at_us =
			tracked->down_since_us + DOWN_TIMEOUT_US;
		return true;
	}
	emit_task_event(jobs, EVENT_TASK_STOP, job);
	tracked->ended = true;
	tracked->outcome = TASK_FAILED;
	g_strlcpy(tracked->reason, "its instance went down", REASON_SIZE_BYTES);
	propose_end(jobs, tracked, job);
	return true;
}

static void process_running(struct jobs *jobs, struct tracked_job *tracked,
			    const struct fleet_job *job)
{
	const struct fleet_instance *instance =
		fleet_instance(kernel_fleet(jobs->kernel), job->instance);

	if (tracked->ended) {
		propose_end(jobs, tracked, job);
		return;
	}
	if (process_instance_gone(jobs, tracked, job, instance))
		return;
	if (job->state == JOB_CANCELLING) {
		request_task_end(jobs, tracked, job, EVENT_TASK_STOP);
		return;
	}
	if (tracked->started_attempt != job->attempt_count) {
		tracked->started_attempt = job->attempt_count;
		emit_task_event(jobs, EVENT_TASK_START, job);
	}
	if (instance->phase != INSTANCE_ACTIVE &&
	    !in_gentle_window(jobs, job)) {
		request_task_end(jobs, tracked, job, EVENT_TASK_CHECKPOINT);
		return;
	}
	renew_lease(jobs, tracked, job);
	/* Poll: no record follows when a down instance leaves the list. */
	if (instance->down)
		tracked->recheck_at_us =
			MIN(tracked->recheck_at_us,
			    kernel_now_us(jobs->kernel) + PLACEMENT_RETRY_US);
}

static void process_job(struct jobs *jobs, struct tracked_job *tracked)
{
	const struct fleet_job *job =
		fleet_job(kernel_fleet(jobs->kernel), tracked->name);

	tracked->recheck_at_us = kernel_now_us(jobs->kernel) + TICK_INTERVAL_US;
	if (!job || pending_has(jobs->pending, tracked->name))
		return;
	if (job->state == JOB_WAITING)
		process_waiting(jobs, tracked, job);
	else if (is_on_instance(job))
		process_running(jobs, tracked, job);
}

static bool may_propose(const struct jobs *jobs)
{
	return jobs->token && jobs->log_reachable &&
	       fleet_offset(kernel_fleet(jobs->kernel)) + 1 >=
		       jobs->log_next_offset;
}

static bool is_pending_full(const struct jobs *jobs)
{
	return pending_count(jobs->pending) >= MAX_PENDING_COUNT;
}

static void run_slice(struct jobs *jobs)
{
	for (uint32_t i = 0; i < SLICE_MAX_JOBS && !is_pending_full(jobs);
	     i++) {
		char *name = g_queue_pop_head(jobs->work_queue);
		struct tracked_job *tracked;

		if (!name)
			return;
		tracked = g_hash_table_lookup(jobs->tracked, name);
		g_free(name);
		if (!tracked)
			continue;
		tracked->queued = false;
		process_job(jobs, tracked);
	}
}

static gint compare_ages(gconstpointer a, gconstpointer b)
{
	const struct tracked_job *const *left = a;
	const struct tracked_job *const *right = b;

	if ((*left)->changed_offset != (*right)->changed_offset)
		return (*left)->changed_offset < (*right)->changed_offset ? -1
									  : 1;
	return strcmp((*left)->name, (*right)->name);
}

/* Enqueues due jobs, longest waiting first, so that no job starves. */
static void enqueue_due(struct jobs *jobs)
{
	int64_t now_us = kernel_now_us(jobs->kernel);
	GPtrArray *due = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, jobs->tracked);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct tracked_job *)value)->recheck_at_us <= now_us)
			g_ptr_array_add(due, value);
	}
	g_ptr_array_sort(due, compare_ages);
	for (guint i = 0; i < due->len; i++)
		enqueue(jobs, due->pdata[i]);
	g_ptr_array_unref(due);
}

static void run_due(struct jobs *jobs)
{
	int64_t now_us = kernel_now_us(jobs->kernel);

	if (!jobs->token)
		return;
	if (now_us >= jobs->tick_at_us) {
		jobs->tick_at_us = now_us + TICK_INTERVAL_US;
		jobs->renewed_count = 0;
		enqueue_due(jobs);
	}
	/* One slice per interval, however many changes arrive at once. */
	if (jobs->work_queue->length && may_propose(jobs) &&
	    now_us >= jobs->slice_at_us) {
		jobs->slice_at_us = now_us + SLICE_INTERVAL_US;
		run_slice(jobs);
	}
	kernel_wake_at(jobs->kernel, jobs->tick_at_us);
	/* At the limit, the outcome of a proposal runs the next slice. */
	if (jobs->work_queue->length && may_propose(jobs) &&
	    !is_pending_full(jobs))
		kernel_wake_at(jobs->kernel, jobs->slice_at_us);
}

/* Enqueues the jobs on an instance whose state has changed. */
static void enqueue_jobs_on(struct jobs *jobs, const char *instance)
{
	GHashTableIter iter;
	gpointer value;

	if (!g_hash_table_contains(jobs->charged, instance))
		return;
	g_hash_table_iter_init(&iter, jobs->tracked);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct tracked_job *tracked = value;

		if (!strcmp(tracked->charged_to, instance))
			enqueue(jobs, tracked);
	}
}

static void on_fleet_changed(struct jobs *jobs, const struct event *event)
{
	const struct record *record = event->record.record;

	pending_settle(jobs->pending, event);
	if (!jobs->token)
		return;
	if (record->kind >= RECORD_JOB_SUBMIT &&
	    record->kind <= RECORD_JOB_SET_ASIDE) {
		if (record->kind != RECORD_JOB_RENEW)
			sync_job(jobs, record->job.job);
	} else if (event->record.accepted &&
		   record->kind >= RECORD_MOVE_START &&
		   record->kind <= RECORD_INSTANCE_UP &&
		   record->kind != RECORD_DRAIN_ACK) {
		enqueue_jobs_on(jobs, record->instance.instance);
	}
}

static void on_proposal_dropped(struct jobs *jobs, const struct event *event)
{
	if (pending_settle(jobs->pending, event) && jobs->token)
		sync_job(jobs, event->record.record->job.job);
}

static void on_task_report(struct jobs *jobs, const struct event_task *task)
{
	const struct fleet_job *job =
		fleet_job(kernel_fleet(jobs->kernel), task->job);
	struct tracked_job *tracked =
		g_hash_table_lookup(jobs->tracked, task->job);

	if (!jobs->token || !job || !tracked || !is_on_instance(job) ||
	    strcmp(job->instance, task->instance) != 0 ||
	    job->attempt_count != task->attempt)
		return;
	jobs_record_usage(jobs, tracked, job, task->used_millislots);
	jobs_charge(jobs, tracked, job->instance,
		    jobs_estimate_millislots(jobs, tracked, job));
	if (task->report == TASK_RUNNING || tracked->ended)
		return;
	tracked->ended = true;
	tracked->outcome = task->report;
	g_strlcpy(tracked->reason, task->reason, REASON_SIZE_BYTES);
	enqueue(jobs, tracked);
}

static void on_instance_list(struct jobs *jobs, const struct event_list *list)
{
	/* An empty list is a fault of the list; it is ignored. */
	if (!list->items || !list->items->len)
		return;
	g_hash_table_remove_all(jobs->listed_live);
	for (guint i = 0; i < list->items->len; i++) {
		const struct instance_list_item *item = &g_array_index(
			list->items, struct instance_list_item, i);

		if (item->state == LIST_LIVE)
			g_hash_table_add(jobs->listed_live,
					 g_strdup(item->name));
	}
}

static void jobs_handle(void *self, const struct event *event)
{
	struct jobs *jobs = self;

	switch (event->type) {
	case EVENT_ROLE_CHANGED:
		if (event->subject.value)
			start_planning(jobs, event->subject.offset);
		else
			stop_planning(jobs);
		break;
	case EVENT_RESUMED:
		/* The planner plug-in reports the loss of the lease later. */
		stop_planning(jobs);
		break;
	case EVENT_FLEET_CHANGED:
		on_fleet_changed(jobs, event);
		break;
	case EVENT_FLEET_RESET:
		if (jobs->token)
			start_planning(jobs, jobs->token);
		break;
	case EVENT_PROPOSAL_DROPPED:
		on_proposal_dropped(jobs, event);
		break;
	case EVENT_LOG_STATE:
		jobs->log_reachable = event->log.reachable;
		jobs->log_next_offset = event->log.next_offset;
		break;
	case EVENT_INSTANCE_LIST:
		on_instance_list(jobs, &event->list);
		break;
	case EVENT_TASK_REPORT:
		on_task_report(jobs, &event->task);
		break;
	default:
		break;
	}
	run_due(jobs);
}

static const struct plugin jobs_plugin = {
	.name = "jobs",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_WAKE) | EVENT_BIT(EVENT_RESUMED) |
		EVENT_BIT(EVENT_ROLE_CHANGED) | EVENT_BIT(EVENT_FLEET_CHANGED) |
		EVENT_BIT(EVENT_FLEET_RESET) |
		EVENT_BIT(EVENT_PROPOSAL_DROPPED) | EVENT_BIT(EVENT_LOG_STATE) |
		EVENT_BIT(EVENT_TASK_REPORT) | EVENT_BIT(EVENT_INSTANCE_LIST),
	.init = jobs_init,
	.handle = jobs_handle,
	.fini = jobs_fini,
};

PLUGIN_REGISTER(jobs_plugin)
