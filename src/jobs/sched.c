/* Plug-in of the scheduler: passes events to its parts in a fixed order. */

#include "jobs/sched.h"

#include <string.h>

#include "jobs/parking.h"
#include "jobs/sched_quota.h"
#include "kernel/decision_log.h"

/* Maximum time between two runs of the periodic tasks. */
#define TICK_PERIOD_US (100 * USEC_PER_MSEC)
#define WORKERS_CHECK_PERIOD_US (5 * USEC_PER_MSEC)
/* Minimum time between placement passes, so that one covers several changes. */
#define PLACEMENT_PERIOD_US (5 * USEC_PER_MSEC)

int64_t sched_now_us(const struct sched *sched)
{
	return kernel_now_us(sched->kernel);
}

void sched_wake_at(struct sched *sched, int64_t deadline_us)
{
	kernel_wake_at(sched->kernel,
		       MAX(deadline_us, sched_now_us(sched) + 1));
}

void sched_request_placement(struct sched *sched)
{
	sched->placement_requested = true;
}

struct job *sched_find_item(const struct sched *sched, const char *name,
			    uint32_t *index)
{
	char id[JOB_ID_SIZE_BYTES];
	uint32_t occurrence;
	uint32_t step;
	uint32_t in_step;
	struct job *job;

	if (!job_item_parse(name, id, &occurrence, &step, &in_step))
		return NULL;
	job = job_table_find(kernel_jobs(sched->kernel), id);
	if (!job || occurrence >= job_spec_occurrences(job->spec) ||
	    step >= job->spec->steps->len ||
	    in_step >= job_step(job, step)->item_count)
		return NULL;
	*index = job_first_item(job, occurrence, step) + in_step;
	return job;
}

static void reset_state(struct sched *sched)
{
	g_hash_table_remove_all(sched->workers);
	quotas_reset(sched);
	g_hash_table_remove_all(sched->machines);
	g_hash_table_remove_all(sched->machines_by_worker);
	for (guint i = 0; i < sched->open_jobs->len; i++)
		((struct job *)sched->open_jobs->pdata[i])->open = false;
	g_ptr_array_set_size(sched->open_jobs, 0);
	machine_orders_clear(sched);
	g_hash_table_remove_all(sched->advice);
	sched->advice_pending = false;
	g_ptr_array_set_size(sched->dirty_jobs, 0);
	g_array_set_size(sched->flushing_jobs, 0);
	sched->flush_write_id = 0;
	sched->directory_seen = false;
	sched->machine_list_known = false;
	sched->machine_list_pending = false;
	sched->ends_unstored = false;
	sched->waves_dirty = false;
	for (guint i = 0; i < sched->waves->len; i++) {
		struct wave *wave = sched->waves->pdata[i];

		wave->status_write_id = 0;
		wave->active_reported = false;
		for (guint j = 0; j < wave->machines->len; j++) {
			struct wave_machine *machine = &g_array_index(
				wave->machines, struct wave_machine, j);

			machine->order_pending = false;
			if (machine->step == WAVE_EMPTYING)
				machine->step = WAVE_WAITING;
		}
	}
}

static void open_job(struct sched *sched, struct job *job)
{
	if (job->open)
		return;
	quota_assign(sched, job);
	job->open = true;
	g_ptr_array_add(sched->open_jobs, job);
}

/* Removes jobs that have ended or were cancelled from the open jobs. */
static void close_ended_jobs(struct sched *sched)
{
	for (guint i = sched->open_jobs->len; i > 0; i--) {
		struct job *job = sched->open_jobs->pdata[i - 1];

		if (job->next_state < JOB_COMPLETE && !job->cancelled)
			continue;
		job->open = false;
		g_ptr_array_remove_index_fast(sched->open_jobs, i - 1);
	}
}

static void adopt_item(const struct sched *sched, struct job *job,
		       struct job_item *item)
{
	item->settled = false;
	item->start_unanswered = false;
	/* Late starts of earlier holders are refused by their token. */
	item->start_late_until_us = 0;
	item->life_known = false;
	item->start_settled_us = sched->held_since_us + EARLIER_ORDER_MAX_US;
	item->ordered_us = 0;
	item->pending_orders_count = 0;
	item->confirmed_us = 0;
	item->store_write_id = 0;
	item->progress_percent = 0;
	item->checkpoint_percent = 0;
	item->ended_broken = false;
	job_replace_checkpoint(job, &item->start_checkpoint, NULL);
	item->retry_us = 0;
	item->failed_worker = NULL;
	item->unavailable_since_us = sched->held_since_us;
	item->pace_percent = 100;
	if (item->phase != ITEM_DONE)
		item->phase = item->worker ? ITEM_STARTING : ITEM_WAITING;
}

/*
 * Resets what only a holder knows of a job. Items that an earlier holder
 * placed may be running until their worker's lists show that they are not.
 */
static void adopt_job(struct sched *sched, struct job *job)
{
	quota_assign(sched, job);
	job->dirty = false;
	memset(job->dirty_segments, 0,
	       job_segments_count(job) * sizeof(*job->dirty_segments));
	job->failed_workers_count = 0;
	job->next_state = job->state;
	adopt_item(sched, job, &job->untouched);
	for (uint32_t i = 0; i < job->item_count; i++) {
		struct job_item *item;

		if (job_segment_is_shared(job, job_item_segment(i)))
			continue;
		item = job_item(job, i);
		adopt_item(sched, job, item);
		if (item->worker && item->phase != ITEM_DONE) {
			struct worker *worker = worker_get(sched, item->worker);

			worker->resend_pending = true;
			worker_attach(worker, job, i);
		}
	}
	job_recount(job);
	open_job(sched, job);
	/* The last item may be stored as done while a later run is stopped. */
	job_check_complete(sched, job);
}

static void on_holder_changed(struct sched *sched,
			      const struct holder_changed *changed)
{
	GHashTableIter iter;
	gpointer job;

	reset_state(sched);
	sched->is_holder = changed->held;
	sched->token = changed->token;
	sched->held_since_us = sched_now_us(sched);
	sched->confirmed_us = sched->held_since_us;
	sched->earlier_holder_until_us = changed->earlier_holder_until_us;
	if (!sched->is_holder)
		return;
	quotas_on_config(sched, kernel_queues(sched->kernel));
	g_hash_table_iter_init(&iter,
			       job_table_all(kernel_jobs(sched->kernel)));
	while (g_hash_table_iter_next(&iter, NULL, &job))
		adopt_job(sched, job);
	sched->next_machine_list_us = sched->held_since_us;
	sched_request_placement(sched);
}

static void log_job(const struct job *job)
{
	const struct job_step *first = job_step(job, 0);

	decision_log("job",
		     "job=%s queue=%s pool=%s steps=%u items=%u cpu=%u mem=%u "
		     "estimate_ms=%u lasting=%d filler=%d per_worker=%u "
		     "away_max=%u target_ms=%u",
		     job->id, job->queue, job->pool, job->spec->steps->len,
		     job->item_count, first->cpu_milli, first->mem_mb,
		     first->estimate_ms, first->long_running, first->filler,
		     first->max_per_worker, first->max_unavailable,
		     first->target_ms);
}

static void on_jobs_applied(struct sched *sched, const struct store_read *read)
{
	for (guint i = 0; i < read->records->len; i++) {
		const struct job_record *record = read->records->pdata[i];
		struct job *job =
			job_table_find(kernel_jobs(sched->kernel), record->id);

		if (!job)
			continue;
		if (record->kind == JOB_RECORD_CANCEL && job->cancelled)
			job_stop_items(sched, job, "cancelled");
		if (record->kind == JOB_RECORD_SUBMIT) {
			open_job(sched, job);
			sched_request_placement(sched);
			if (!read->local)
				log_job(job);
		}
	}
}

static void on_machine_records(struct sched *sched,
			       const struct store_read *read)
{
	for (guint i = 0; i < read->records->len; i++) {
		const struct job_record *record = read->records->pdata[i];

		if (record->kind == JOB_RECORD_WAVE)
			waves_on_record(sched, record);
		else if (record->kind == JOB_RECORD_MACHINES &&
			 !sched->is_holder)
			machine_orders_on_record(sched, record);
	}
}

/*
 * Runs the tasks that are due, on the holder after each event. The result of
 * an order requires no check of all workers: it concerns only one of them,
 * which the handler of the result has checked.
 */
static void run_due_tasks(struct sched *sched, enum event_type type)
{
	int64_t now_us = sched_now_us(sched);

	if (now_us >= sched->next_tick_us) {
		sched->next_tick_us = now_us + TICK_PERIOD_US;
		close_ended_jobs(sched);
		loads_measure(sched);
		quotas_report(sched);
		waves_tick(sched);
		advice_tick(sched);
		sched->parking->tick(sched);
		machines_tick(sched);
		sched_request_placement(sched);
	}
	sched->workers_check_requested |= type != EVENT_ORDER_DONE;
	if (sched->workers_check_requested &&
	    now_us >= sched->next_workers_check_us) {
		sched->workers_check_requested = false;
		sched->next_workers_check_us = now_us + WORKERS_CHECK_PERIOD_US;
		workers_tick(sched);
	}
	if (sched->workers_check_requested)
		sched_wake_at(sched, sched->next_workers_check_us);
	if (sched->placement_requested && now_us >= sched->next_placement_us) {
		sched->placement_requested = false;
		sched->next_placement_us = now_us + PLACEMENT_PERIOD_US;
		sched_place(sched);
	}
	if (sched->placement_requested)
		sched_wake_at(sched, sched->next_placement_us);
	sched_flush(sched);
	sched_wake_at(sched, sched->next_tick_us);
}

static void sched_handle(void *self, const struct event *event)
{
	struct sched *sched = self;

	if (event->type == EVENT_HOLDER_CHANGED)
		on_holder_changed(sched, event->msg);
	else if (event->type == EVENT_WAVE_SEEN)
		waves_on_seen(sched, event->msg);
	else if (event->type == EVENT_JOBS_APPLIED)
		on_machine_records(sched, event->msg);
	if (!sched->is_holder)
		return;
	switch (event->type) {
	case EVENT_JOBS_APPLIED:
		on_jobs_applied(sched, event->msg);
		break;
	case EVENT_STORE_WRITTEN:
		starts_on_confirmed(sched, event->msg);
		sched_on_written(sched, event->msg);
		waves_on_written(sched, event->msg);
		break;
	case EVENT_CONFIG_SEEN:
		quotas_on_config(
			sched,
			((const struct config_seen *)event->msg)->queues);
		break;
	case EVENT_WORKERS_SEEN:
		workers_on_seen(sched, event->msg);
		break;
	case EVENT_ORDER_DONE:
		workers_on_order(sched, event->msg);
		break;
	case EVENT_ADVICE_RESPONSE:
		advice_on_given(sched, event->msg);
		break;
	case EVENT_MACHINES_SEEN:
		machines_on_seen(sched, event->msg);
		break;
	case EVENT_MACHINE_ORDERED:
		waves_on_ordered(sched, event->msg);
		machines_on_ordered(sched, event->msg);
		break;
	default:
		break;
	}
	run_due_tasks(sched, event->type);
}

static void *sched_init(struct kernel *kernel)
{
	struct sched *sched = g_new0(struct sched, 1);

	sched->kernel = kernel;
	sched->bounds = &kernel_settings(kernel)->bounds;
	sched->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       worker_free);
	sched->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						machine_free);
	sched->machines_by_worker = g_hash_table_new(NULL, NULL);
	sched->open_jobs = g_ptr_array_new();
	sched->waves = g_ptr_array_new_with_free_func(wave_free);
	sched->stored_wave_progress =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)g_byte_array_unref);
	sched->orders_queued = g_ptr_array_new_with_free_func(g_rc_box_release);
	sched->orders_storing =
		g_ptr_array_new_with_free_func(g_rc_box_release);
	sched->parking = kernel_ops(kernel, PLUGIN_PARKING);
	sched->advice = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      step_advice_free);
	sched->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched->quotas = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      quota_free);
	sched->mean_run_times =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched->dirty_jobs = g_ptr_array_new();
	sched->flushing_jobs =
		g_array_new(FALSE, TRUE, sizeof(struct flushing_job));
	sched->next_write_id = 2;
	return sched;
}

static void sched_fini(void *self)
{
	struct sched *sched = self;

	g_hash_table_unref(sched->workers);
	g_hash_table_unref(sched->machines);
	g_hash_table_unref(sched->machines_by_worker);
	g_ptr_array_unref(sched->open_jobs);
	g_ptr_array_unref(sched->waves);
	g_hash_table_unref(sched->stored_wave_progress);
	g_ptr_array_unref(sched->orders_queued);
	g_ptr_array_unref(sched->orders_storing);
	if (sched->earlier_ordered_machines)
		g_hash_table_unref(sched->earlier_ordered_machines);
	g_hash_table_unref(sched->advice);
	g_hash_table_unref(sched->loads);
	g_hash_table_unref(sched->quotas);
	g_hash_table_unref(sched->mean_run_times);
	g_ptr_array_unref(sched->dirty_jobs);
	g_array_unref(sched->flushing_jobs);
	g_free(sched);
}

static const struct plugin sched_plugin = {
	.name = "sched",
	.kind = PLUGIN_JOBS,
	.subscriptions =
		EVENT_BIT(EVENT_HOLDER_CHANGED) |
		EVENT_BIT(EVENT_JOBS_APPLIED) | EVENT_BIT(EVENT_STORE_WRITTEN) |
		EVENT_BIT(EVENT_WORKERS_SEEN) | EVENT_BIT(EVENT_CONFIG_SEEN) |
		EVENT_BIT(EVENT_ORDER_DONE) | EVENT_BIT(EVENT_WAVE_SEEN) |
		EVENT_BIT(EVENT_MACHINES_SEEN) |
		EVENT_BIT(EVENT_MACHINE_ORDERED) |
		EVENT_BIT(EVENT_ADVICE_RESPONSE) | EVENT_BIT(EVENT_WAKE),
	.init = sched_init,
	.handle = sched_handle,
	.fini = sched_fini,
};

PLUGIN_REGISTER(sched_plugin)
