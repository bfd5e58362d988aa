/* The scheduler's plug-in: hands events to its parts, in one fixed order. */

#include "jobs/sched.h"

#include <string.h>

#include "jobs/parking.h"
#include "kernel/decision_log.h"

/* Upper bound of the time between two looks at what is due. */
#define TICK_US (100 * USEC_PER_MSEC)
/* Looks at all workers are this far apart. */
#define WORKERS_GAP_US (5 * USEC_PER_MSEC)
/* Passes of placement are this far apart, so that each sees several changes. */
#define PLACE_GAP_US (5 * USEC_PER_MSEC)

int64_t sched_now_us(const struct sched *sched)
{
	return kernel_now_us(sched->kernel);
}

void sched_wake_at(struct sched *sched, int64_t deadline_us)
{
	kernel_wake_at(sched->kernel,
		       MAX(deadline_us, sched_now_us(sched) + 1));
}

void sched_want_place(struct sched *sched)
{
	sched->place_wanted = true;
}

const struct queue *sched_queue(const struct sched *sched,
				const struct job *job)
{
	return queues_find(kernel_queues(sched->kernel), job->queue);
}

const char *sched_pool(const struct sched *sched, const struct job *job)
{
	const struct queue *queue = sched_queue(sched, job);

	return queue ? queue->pool : job->pool;
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

static void forget_all(struct sched *sched)
{
	g_hash_table_remove_all(sched->workers);
	g_hash_table_remove_all(sched->machines);
	g_hash_table_remove_all(sched->machines_by_worker);
	for (guint i = 0; i < sched->open->len; i++)
		((struct job *)sched->open->pdata[i])->open = false;
	g_ptr_array_set_size(sched->open, 0);
	machine_orders_forget(sched);
	g_hash_table_remove_all(sched->advice);
	sched->advice_asked = false;
	g_ptr_array_set_size(sched->dirty, 0);
	g_array_set_size(sched->flushing, 0);
	sched->flush_write_id = 0;
	sched->directory_seen = false;
	sched->machines_known = false;
	sched->machines_asked = false;
	sched->ends_unstored = false;
	sched->waves_dirty = false;
	for (guint i = 0; i < sched->waves->len; i++) {
		struct wave *wave = sched->waves->pdata[i];

		wave->status_write_id = 0;
		wave->active_told = false;
		for (guint j = 0; j < wave->machines->len; j++) {
			struct wave_machine *machine = &g_array_index(
				wave->machines, struct wave_machine, j);

			machine->asked = false;
			if (machine->step == WAVE_EMPTYING)
				machine->step = WAVE_WAITING;
		}
	}
}

static void open_job(struct sched *sched, struct job *job)
{
	if (job->open)
		return;
	job->open = true;
	g_ptr_array_add(sched->open, job);
}

/* Nothing is placed any more of jobs that have ended or were cancelled. */
static void close_jobs(struct sched *sched)
{
	for (guint i = sched->open->len; i > 0; i--) {
		struct job *job = sched->open->pdata[i - 1];

		if (job->next_state < JOB_COMPLETE && !job->cancelled)
			continue;
		job->open = false;
		g_ptr_array_remove_index_fast(sched->open, i - 1);
	}
}

/* Items that an earlier holder placed may run until their worker was seen. */
static void take_over_job(struct sched *sched, struct job *job)
{
	job->dirty = false;
	job->next_state = job->state;
	for (uint32_t i = 0; i < job->items->len; i++) {
		struct job_item *item = job_item(job, i);

		item->settled = false;
		item->ordered_us = 0;
		item->orders_count = 0;
		item->confirmed_us = 0;
		item->store_write_id = 0;
		item->progress_percent = 0;
		item->retry_us = 0;
		item->unavailable_since_us = sched->held_us;
		item->pace_percent = 100;
		if (item->phase != ITEM_DONE)
			item->phase =
				item->worker ? ITEM_STARTING : ITEM_WAITING;
		if (item->worker && item->phase != ITEM_DONE) {
			struct worker *worker = worker_get(sched, item->worker);

			worker->unsettled = true;
			worker_attach(worker, job, i);
		}
	}
	job_recount(job);
	open_job(sched, job);
}

static void on_holder(struct sched *sched, const struct holder_changed *changed)
{
	GHashTableIter iter;
	gpointer job;

	forget_all(sched);
	sched->held = changed->held;
	sched->token = changed->token;
	sched->held_us = sched_now_us(sched);
	sched->earlier_until_us = changed->earlier_holder_until_us;
	if (!sched->held)
		return;
	g_hash_table_iter_init(&iter,
			       job_table_all(kernel_jobs(sched->kernel)));
	while (g_hash_table_iter_next(&iter, NULL, &job))
		take_over_job(sched, job);
	sched->machines_us = sched->held_us;
	sched_want_place(sched);
}

static void log_job(const struct job *job)
{
	const struct job_step *first = job_step(job, 0);

	decision_log("job",
		     "job=%s queue=%s pool=%s steps=%u items=%u cpu=%u mem=%u "
		     "estimate_ms=%u lasting=%d filler=%d per_worker=%u "
		     "away_max=%u target_ms=%u",
		     job->id, job->queue, job->pool, job->spec->steps->len,
		     job->items->len, first->cpu_milli, first->mem_mb,
		     first->estimate_ms, first->lasting, first->filler,
		     first->max_per_worker, first->max_unavailable,
		     first->target_ms);
}

static void on_applied(struct sched *sched, const struct store_read *read)
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
			sched_want_place(sched);
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
		else if (record->kind == JOB_RECORD_MACHINES && !sched->held)
			machine_orders_on_record(sched, record);
	}
}

/*
 * What of the scheduler must happen on the holder after each event. The answer
 * to an order concerns its own worker only, which was looked at already.
 */
static void advance(struct sched *sched, enum event_type type)
{
	int64_t now_us = sched_now_us(sched);

	if (now_us >= sched->tick_us) {
		sched->tick_us = now_us + TICK_US;
		close_jobs(sched);
		loads_measure(sched);
		waves_tick(sched);
		advice_tick(sched);
		sched->parking->tick(sched);
		machines_tick(sched);
		sched_want_place(sched);
	}
	sched->workers_wanted |= type != EVENT_ORDER_DONE;
	if (sched->workers_wanted && now_us >= sched->workers_us) {
		sched->workers_wanted = false;
		sched->workers_us = now_us + WORKERS_GAP_US;
		workers_tick(sched);
	}
	if (sched->workers_wanted)
		sched_wake_at(sched, sched->workers_us);
	if (sched->place_wanted && now_us >= sched->place_us) {
		sched->place_wanted = false;
		sched->place_us = now_us + PLACE_GAP_US;
		sched_place(sched);
	}
	if (sched->place_wanted)
		sched_wake_at(sched, sched->place_us);
	sched_flush(sched);
	sched_wake_at(sched, sched->tick_us);
}

static void sched_handle(void *self, const struct event *event)
{
	struct sched *sched = self;

	if (event->type == EVENT_HOLDER_CHANGED)
		on_holder(sched, event->msg);
	else if (event->type == EVENT_WAVE_SEEN)
		waves_on_seen(sched, event->msg);
	else if (event->type == EVENT_JOBS_APPLIED)
		on_machine_records(sched, event->msg);
	if (!sched->held)
		return;
	switch (event->type) {
	case EVENT_JOBS_APPLIED:
		on_applied(sched, event->msg);
		break;
	case EVENT_STORE_WRITTEN:
		sched_on_written(sched, event->msg);
		waves_on_written(sched, event->msg);
		break;
	case EVENT_WORKERS_SEEN:
		workers_on_seen(sched, event->msg);
		break;
	case EVENT_ORDER_DONE:
		workers_on_order(sched, event->msg);
		break;
	case EVENT_ADVICE_GIVEN:
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
	advance(sched, event->type);
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
	sched->open = g_ptr_array_new();
	sched->waves = g_ptr_array_new_with_free_func(wave_free);
	sched->waves_ordered =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)g_byte_array_unref);
	sched->orders_waiting =
		g_ptr_array_new_with_free_func(g_rc_box_release);
	sched->orders_storing =
		g_ptr_array_new_with_free_func(g_rc_box_release);
	sched->parking = kernel_ops(kernel, PLUGIN_PARKING);
	sched->advice = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      step_advice_free);
	sched->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched->run_times =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched->dirty = g_ptr_array_new();
	sched->flushing = g_array_new(FALSE, TRUE, sizeof(struct flushed));
	sched->next_write_id = 2;
	return sched;
}

static void sched_fini(void *self)
{
	struct sched *sched = self;

	g_hash_table_unref(sched->workers);
	g_hash_table_unref(sched->machines);
	g_hash_table_unref(sched->machines_by_worker);
	g_ptr_array_unref(sched->open);
	g_ptr_array_unref(sched->waves);
	g_hash_table_unref(sched->waves_ordered);
	g_ptr_array_unref(sched->orders_waiting);
	g_ptr_array_unref(sched->orders_storing);
	if (sched->machines_ordered)
		g_hash_table_unref(sched->machines_ordered);
	g_hash_table_unref(sched->advice);
	g_hash_table_unref(sched->loads);
	g_hash_table_unref(sched->run_times);
	g_ptr_array_unref(sched->dirty);
	g_array_unref(sched->flushing);
	g_free(sched);
}

static const struct plugin sched_plugin = {
	.name = "sched",
	.kind = PLUGIN_JOBS,
	.takes = EVENT_BIT(EVENT_HOLDER_CHANGED) |
		 EVENT_BIT(EVENT_JOBS_APPLIED) |
		 EVENT_BIT(EVENT_STORE_WRITTEN) |
		 EVENT_BIT(EVENT_WORKERS_SEEN) | EVENT_BIT(EVENT_CONFIG_SEEN) |
		 EVENT_BIT(EVENT_ORDER_DONE) | EVENT_BIT(EVENT_WAVE_SEEN) |
		 EVENT_BIT(EVENT_MACHINES_SEEN) |
		 EVENT_BIT(EVENT_MACHINE_ORDERED) |
		 EVENT_BIT(EVENT_ADVICE_GIVEN) | EVENT_BIT(EVENT_WAKE),
	.init = sched_init,
	.handle = sched_handle,
	.fini = sched_fini,
};

PLUGIN_REGISTER(sched_plugin)
