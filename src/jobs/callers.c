/*
 * Answers callers: a job is accepted when it is stored, and its state is what
 * the store holds. A refusal is given only while it is certain that nothing
 * was written.
 */

#include <string.h>

#include "jobs/msg.h"
#include "kernel/decision_log.h"
#include "kernel/kernel.h"

/* A call that waits behind a write that does not end is refused. */
#define QUEUED_MAX_US (300 * USEC_PER_MSEC)
/* A write that takes longer waits in the store for those of others. */
#define WRITE_ALONE_US (250 * USEC_PER_MSEC)
/* The pause after such a write, in times of what it took longer. */
#define PAUSE_FACTOR 4
#define PAUSE_MAX_US (2 * USEC_PER_SEC)
/* After this, the outcome of a write under way is reported as not known. */
#define UNSETTLED_MAX_US (1200 * USEC_PER_MSEC)
/* A job that is not known here may just have been accepted elsewhere. */
#define UNKNOWN_WAIT_US (400 * USEC_PER_MSEC)
/* Older reads of the store don't tell what exists. */
#define FRESH_US (2 * USEC_PER_SEC)
/* A store that did not answer for so long is not written to for callers. */
#define STORE_SILENT_US (1500 * USEC_PER_MSEC)
#define RETRY_AFTER_US USEC_PER_SEC
#define BATCH_MAX_COUNT 64
/* The balancer takes two misses, a second apart, to send callers elsewhere. */
#define SERVE_WHILE_LEAVING_US (2500 * USEC_PER_MSEC)

enum waiting_for {
	WAITING_QUEUED,	 /* nothing of it was sent to the store */
	WAITING_WRITTEN, /* a write that carries it is under way */
	WAITING_KNOWN,	 /* for the job to become known here */
};

struct waiting {
	struct job_call *call; /* owned reference */
	enum waiting_for state;
	uint64_t write_id;
	struct job_record *record; /* submit, cancel */
	int64_t arrived_us;
	int64_t until_us; /* answered at the latest */
};

struct callers {
	struct kernel *kernel;
	GPtrArray *waiting; /* of struct waiting, in order of arrival */
	uint64_t write_id;  /* under way; 0: none */
	uint64_t next_write_id;
	int64_t write_sent_us;
	int64_t next_write_us; /* none is sent before */
	int64_t read_us;       /* newest read up to the end of the store */
	bool has_state;
	int64_t store_lost_us; /* taken for silent since; 0: it answers */
	int64_t leave_us;      /* refuses new work from then on; 0: stays */
	bool drained;
};

static void waiting_free(gpointer data)
{
	struct waiting *waiting = data;
	struct event event = { .type = EVENT_JOB_CALL };

	event.msg = waiting->call;
	event_clear(&event);
	job_record_unref(waiting->record);
	g_free(waiting);
}

static bool is_fresh(const struct callers *callers)
{
	return callers->has_state &&
	       kernel_now_us(callers->kernel) - callers->read_us <= FRESH_US;
}

static const char *call_name(enum call_kind kind)
{
	static const char *const names[] = {
		[CALL_SUBMIT] = "submit",
		[CALL_STATE] = "state",
		[CALL_CANCEL] = "cancel",
		[CALL_DEPTH] = "depth",
	};

	return names[kind];
}

static void reply(struct callers *callers, const struct job_call *call,
		  const struct job_reply *given)
{
	struct job_reply *msg = g_rc_box_new0(struct job_reply);
	const char *id = strrchr(call->path, '/');
	char counter[64];

	*msg = *given;
	msg->call_id = call->call_id;
	g_snprintf(counter, sizeof(counter),
		   "caller_replies_total{kind=\"%s\",status=\"%u\"}",
		   call_name(call->kind), given->status);
	counter_add(kernel_counters(callers->kernel), counter, 1);
	/* Looks at the state of a job touch nothing. */
	if (call->kind == CALL_SUBMIT || call->kind == CALL_CANCEL ||
	    given->status != 200)
		decision_log(
			"reply",
			"job=%s call=%s status=%u reason=\"%s\" "
			"read_age_ms=%" G_GINT64_FORMAT,
			id ? id + 1 : "", call_name(call->kind), given->status,
			given->reason,
			(kernel_now_us(callers->kernel) - callers->read_us) /
				USEC_PER_MSEC);
	kernel_emit_msg(callers->kernel, EVENT_JOB_REPLY, msg);
}

static void refuse(struct callers *callers, const struct job_call *call,
		   uint32_t status, const char *reason)
{
	struct job_reply msg = { .status = status };

	if (status == 503 || status == 504)
		msg.retry_after_us = RETRY_AFTER_US;
	g_strlcpy(msg.reason, reason, sizeof(msg.reason));
	reply(callers, call, &msg);
}

static void confirm(struct callers *callers, const struct job_call *call)
{
	reply(callers, call, &(struct job_reply){ .status = 200 });
}

static void wait_for(struct callers *callers, struct job_call *call,
		     struct job_record *record, enum waiting_for state,
		     int64_t wait_us)
{
	struct waiting *waiting = g_new0(struct waiting, 1);
	int64_t now_us = kernel_now_us(callers->kernel);

	waiting->call = g_rc_box_acquire(call);
	waiting->record = record;
	waiting->state = state;
	waiting->arrived_us = now_us;
	if (state == WAITING_QUEUED)
		wait_us += MAX(callers->next_write_us - now_us, 0);
	waiting->until_us = MIN(now_us + wait_us, call->deadline_us);
	g_ptr_array_add(callers->waiting, waiting);
	kernel_wake_at(callers->kernel, waiting->until_us);
}

/* Puts all queued records into one write. */
static void send_queued(struct callers *callers)
{
	struct store_write *write;
	int64_t now_us = kernel_now_us(callers->kernel);

	if (callers->write_id)
		return;
	if (now_us < callers->next_write_us) {
		kernel_wake_at(callers->kernel, callers->next_write_us);
		return;
	}
	write = store_write_new(STORE_WRITER_ENTRY);
	for (guint i = 0; i < callers->waiting->len; i++) {
		struct waiting *waiting = callers->waiting->pdata[i];

		if (waiting->state != WAITING_QUEUED ||
		    write->records->len >= BATCH_MAX_COUNT)
			continue;
		waiting->state = WAITING_WRITTEN;
		waiting->write_id = callers->next_write_id;
		waiting->until_us = MIN(now_us + UNSETTLED_MAX_US,
					waiting->call->deadline_us);
		g_ptr_array_add(write->records,
				job_record_ref(waiting->record));
	}
	write->write_id = callers->next_write_id;
	if (!write->records->len) {
		struct event event = { .type = EVENT_STORE_WRITE };

		event.msg = write;
		event_clear(&event);
		return;
	}
	callers->write_id = callers->next_write_id++;
	callers->write_sent_us = now_us;
	kernel_emit_msg(callers->kernel, EVENT_STORE_WRITE, write);
}

static bool store_is_silent(const struct callers *callers)
{
	int64_t now_us = kernel_now_us(callers->kernel);

	return !callers->has_state ||
	       now_us - callers->read_us > STORE_SILENT_US ||
	       (callers->write_id &&
		now_us - callers->write_sent_us > STORE_SILENT_US);
}

static bool has_left(const struct callers *callers)
{
	return callers->leave_us &&
	       kernel_now_us(callers->kernel) >= callers->leave_us;
}

static void submit(struct callers *callers, struct job_call *call,
		   const struct queue *queue, const char *id)
{
	struct job_record *record;

	if (!job_id_is_valid(id)) {
		refuse(callers, call, 400, "expected 16 hexadecimal digits");
		return;
	}
	if (job_table_find(kernel_jobs(callers->kernel), id)) {
		confirm(callers, call);
		return;
	}
	if (!call->spec || job_spec_check(call->spec)) {
		refuse(callers, call, 400,
		       call->spec ? job_spec_check(call->spec)
				  : "the body does not describe a job");
		return;
	}
	if (has_left(callers) || store_is_silent(callers)) {
		refuse(callers, call, 503,
		       has_left(callers) ? "this entry instance is leaving"
					 : "the store does not answer");
		return;
	}
	record = job_record_new(JOB_RECORD_SUBMIT);
	g_strlcpy(record->id, id, sizeof(record->id));
	g_strlcpy(record->queue, queue->name, sizeof(record->queue));
	g_strlcpy(record->pool, queue->pool, sizeof(record->pool));
	record->submitted_ms = kernel_wall_us(callers->kernel) / USEC_PER_MSEC;
	record->spec = job_spec_ref(call->spec);
	wait_for(callers, call, record, WAITING_QUEUED, QUEUED_MAX_US);
}

static void cancel(struct callers *callers, struct job_call *call,
		   const struct job *job)
{
	struct job_record *record;

	if (job_has_ended(job)) {
		confirm(callers, call);
		return;
	}
	if (store_is_silent(callers)) {
		refuse(callers, call, 503, "the store does not answer");
		return;
	}
	record = job_record_new(JOB_RECORD_CANCEL);
	g_strlcpy(record->id, job->id, sizeof(record->id));
	wait_for(callers, call, record, WAITING_QUEUED, QUEUED_MAX_US);
}

static void tell_state(struct callers *callers, const struct job_call *call,
		       const struct job *job)
{
	struct job_reply msg = { .status = 200, .has_state = true };

	msg.state = job->state;
	if (msg.state == JOB_PENDING && job->begun)
		msg.state = JOB_ACTIVE;
	reply(callers, call, &msg);
}

/* Answers a call about a job that is known here. Returns false if it isn't. */
static bool answer_known(struct callers *callers, struct job_call *call,
			 const struct queue *queue, const char *id)
{
	const struct job *job =
		job_table_find(kernel_jobs(callers->kernel), id);

	if (!job || strcmp(job->queue, queue->name) != 0)
		return false;
	if (call->kind == CALL_CANCEL)
		cancel(callers, call, job);
	else
		tell_state(callers, call, job);
	return true;
}

static void answer_unknown(struct callers *callers, const struct job_call *call)
{
	if (is_fresh(callers))
		refuse(callers, call, 410, "no such job");
	else
		refuse(callers, call, 503, "the state is too old to tell");
}

static void tell_depth(struct callers *callers, const struct job_call *call,
		       const struct queue *queue)
{
	struct job_reply msg = { .status = 200, .has_depth = true };

	msg.depth_count =
		job_table_depth(kernel_jobs(callers->kernel), queue->name);
	reply(callers, call, &msg);
}

static void on_call(struct callers *callers, struct job_call *call)
{
	const struct queues *queues = kernel_queues(callers->kernel);
	const struct queue *queue;
	const char *id = "";

	if (!queues) {
		refuse(callers, call, 503, "no configuration was read yet");
		return;
	}
	queue = queues_route(queues, call->host, call->path, &id);
	if (!queue) {
		refuse(callers, call, 404, "no such queue");
		return;
	}
	if (call->kind == CALL_SUBMIT) {
		submit(callers, call, queue, id);
	} else if (call->kind == CALL_STATE && !*id) {
		if (is_fresh(callers))
			tell_depth(callers, call, queue);
		else
			refuse(callers, call, 503, "the state is too old");
	} else if (!job_id_is_valid(id)) {
		refuse(callers, call, 410, "no such job");
	} else if (!answer_known(callers, call, queue, id)) {
		wait_for(callers, call, NULL, WAITING_KNOWN, UNKNOWN_WAIT_US);
	}
}

/* Looks again for jobs that were not known. */
static void on_applied(struct callers *callers, const struct store_read *read)
{
	if (!read->reachable)
		return;
	/* A read that ends before the store does tells an older state. */
	if (!read->local && !read->snapshot &&
	    read->next_offset >= read->end_offset)
		callers->read_us = kernel_now_us(callers->kernel);
	if (read->snapshot)
		callers->has_state = true;
	for (guint i = 0; i < callers->waiting->len;) {
		struct waiting *waiting = callers->waiting->pdata[i];
		const char *id = strrchr(waiting->call->path, '/') + 1;

		if (waiting->state != WAITING_KNOWN ||
		    !job_table_find(kernel_jobs(callers->kernel), id)) {
			i++;
			continue;
		}
		waiting = g_ptr_array_steal_index(callers->waiting, i);
		on_call(callers, waiting->call);
		waiting_free(waiting);
	}
}

/* What was just stored is in force here before it is read back. */
static void apply_written(struct callers *callers,
			  const struct store_write *write)
{
	struct store_read *read = store_read_new();
	struct event applied = { .type = EVENT_JOBS_APPLIED };

	for (guint i = 0; i < write->records->len; i++) {
		struct job_record *record = write->records->pdata[i];

		job_table_apply(kernel_jobs(callers->kernel), record,
				kernel_now_us(callers->kernel), true);
		g_ptr_array_add(read->records, job_record_ref(record));
	}
	read->reachable = true;
	read->local = true;
	applied.msg = read;
	kernel_emit_next(callers->kernel, &applied);
}

/*
 * The store takes the writes of all entry instances one after the other. While
 * they queue up there, each pauses, so that the writes of the holder, on which
 * all work depends, do not wait behind those of every other one.
 */
static void pause_writes(struct callers *callers)
{
	int64_t now_us = kernel_now_us(callers->kernel);
	int64_t waited_us = now_us - callers->write_sent_us - WRITE_ALONE_US;

	if (waited_us <= 0)
		return;
	callers->next_write_us =
		now_us + MIN(waited_us * PAUSE_FACTOR, PAUSE_MAX_US);
	/* What is queued goes into the next write. */
	for (guint i = 0; i < callers->waiting->len; i++) {
		struct waiting *waiting = callers->waiting->pdata[i];

		if (waiting->state == WAITING_QUEUED)
			waiting->until_us =
				MIN(callers->next_write_us + QUEUED_MAX_US,
				    waiting->call->deadline_us);
	}
}

static void on_written(struct callers *callers, const struct store_write *write)
{
	if (write->write_id != callers->write_id ||
	    write->writer != STORE_WRITER_ENTRY)
		return;
	callers->write_id = 0;
	pause_writes(callers);
	if (write->result == STORE_DONE)
		apply_written(callers, write);
	for (guint i = 0; i < callers->waiting->len;) {
		struct waiting *waiting = callers->waiting->pdata[i];

		if (waiting->state != WAITING_WRITTEN ||
		    waiting->write_id != write->write_id) {
			i++;
			continue;
		}
		counter_observe(
			kernel_counters(callers->kernel), "caller_store",
			kernel_now_us(callers->kernel) - waiting->arrived_us);
		if (write->result == STORE_DONE)
			confirm(callers, waiting->call);
		else
			refuse(callers, waiting->call, 503,
			       "the store did not take it");
		g_ptr_array_remove_index(callers->waiting, i);
	}
	send_queued(callers);
}

static void answer_late(struct callers *callers, const struct waiting *waiting)
{
	switch (waiting->state) {
	case WAITING_QUEUED:
		refuse(callers, waiting->call, 503,
		       "the store is slow; nothing was written");
		break;
	case WAITING_WRITTEN:
		refuse(callers, waiting->call, 504,
		       "the store has not confirmed it yet");
		break;
	default:
		answer_unknown(callers, waiting->call);
		break;
	}
}

static void expire(struct callers *callers)
{
	int64_t now_us = kernel_now_us(callers->kernel);

	for (guint i = 0; i < callers->waiting->len;) {
		struct waiting *waiting = callers->waiting->pdata[i];

		if (now_us < waiting->until_us) {
			kernel_wake_at(callers->kernel, waiting->until_us);
			i++;
			continue;
		}
		answer_late(callers, waiting);
		g_ptr_array_remove_index(callers->waiting, i);
	}
}

static void on_gone(struct callers *callers, uint64_t call_id)
{
	for (guint i = 0; i < callers->waiting->len; i++) {
		struct waiting *waiting = callers->waiting->pdata[i];

		if (waiting->call->call_id == call_id) {
			g_ptr_array_remove_index(callers->waiting, i);
			return;
		}
	}
}

/* Tells the end of the drain: no caller waits any more. */
static void check_drained(struct callers *callers)
{
	if (callers->leave_us && !has_left(callers))
		kernel_wake_at(callers->kernel, callers->leave_us);
	if (!has_left(callers) || callers->waiting->len || callers->drained)
		return;
	callers->drained = true;
	kernel_emit(callers->kernel, &(struct event){ .type = EVENT_DRAINED });
}

/* Tells when the store is lost and when it is back. */
static void watch_store(struct callers *callers)
{
	int64_t now_us = kernel_now_us(callers->kernel);
	bool silent = callers->has_state && store_is_silent(callers);

	if (silent && !callers->store_lost_us) {
		callers->store_lost_us = now_us;
		counter_add(kernel_counters(callers->kernel),
			    "store_lost_total", 1);
		decision_log(
			"dependency",
			"name=store state=lost read_age_ms=%" G_GINT64_FORMAT
			" write_age_ms=%" G_GINT64_FORMAT,
			(now_us - callers->read_us) / USEC_PER_MSEC,
			callers->write_id ? (now_us - callers->write_sent_us) /
						    USEC_PER_MSEC
					  : 0);
	} else if (!silent && callers->store_lost_us) {
		decision_log("dependency",
			     "name=store state=regained "
			     "lost_ms=%" G_GINT64_FORMAT,
			     (now_us - callers->store_lost_us) / USEC_PER_MSEC);
		callers->store_lost_us = 0;
	}
}

static void callers_handle(void *self, const struct event *event)
{
	struct callers *callers = self;

	switch (event->type) {
	case EVENT_JOB_CALL:
		on_call(callers, event->msg);
		break;
	case EVENT_JOB_CALL_GONE:
		on_gone(callers, event->request.request_id);
		break;
	case EVENT_JOBS_APPLIED:
		on_applied(callers, event->msg);
		break;
	case EVENT_STORE_WRITTEN:
		on_written(callers, event->msg);
		break;
	case EVENT_DRAIN:
		if (!callers->leave_us)
			callers->leave_us = kernel_now_us(callers->kernel) +
					    SERVE_WHILE_LEAVING_US;
		break;
	default:
		break;
	}
	send_queued(callers);
	expire(callers);
	watch_store(callers);
	kernel_set_ready(callers->kernel, kernel_queues(callers->kernel) &&
						  !callers->leave_us &&
						  !store_is_silent(callers));
	check_drained(callers);
}

static void *callers_init(struct kernel *kernel)
{
	struct callers *callers = g_new0(struct callers, 1);

	callers->kernel = kernel;
	callers->waiting = g_ptr_array_new_with_free_func(waiting_free);
	callers->next_write_id = 1;
	return callers;
}

static void callers_fini(void *self)
{
	struct callers *callers = self;

	g_ptr_array_unref(callers->waiting);
	g_free(callers);
}

static const struct plugin callers_plugin = {
	.name = "callers",
	.kind = PLUGIN_JOBS,
	.takes = EVENT_BIT(EVENT_JOB_CALL) | EVENT_BIT(EVENT_JOB_CALL_GONE) |
		 EVENT_BIT(EVENT_JOBS_APPLIED) |
		 EVENT_BIT(EVENT_STORE_WRITTEN) | EVENT_BIT(EVENT_DRAIN) |
		 EVENT_BIT(EVENT_WAKE),
	.init = callers_init,
	.handle = callers_handle,
	.fini = callers_fini,
};

PLUGIN_REGISTER(callers_plugin)
