/*
 * Answers callers. A job is accepted once it is stored, and its state is the
 * stored one. A call is refused only while it is certain that nothing was
 * written for it.
 */

#include <string.h>

#include "jobs/callers.h"
#include "kernel/decision_log.h"

/*
 * An unknown job may have been accepted by another entry instance, so the next
 * read decides. The read before it may be held back for 500 ms by the store.
 */
#define UNKNOWN_JOB_WAIT_US (1200 * USEC_PER_MSEC)
/* The depth of a queue may be this old. */
#define STATE_AGE_MAX_US (2 * USEC_PER_SEC)
#define RETRY_AFTER_US USEC_PER_SEC
/*
 * The load balancer stops sending calls after two failed health checks, a
 * second apart.
 */
#define DRAIN_ACCEPT_US (2500 * USEC_PER_MSEC)

static void pending_free(gpointer data)
{
	struct pending_call *pending = data;
	struct event event = { .type = EVENT_JOB_CALL };

	event.msg = pending->call;
	event_clear(&event);
	job_record_unref(pending->record);
	g_free(pending);
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

/* detail: pairs for the log that each begin with a space */
static void reply_with(struct callers *callers, const struct job_call *call,
		       const struct job_reply *given, const char *detail)
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
	/* Successful reads change nothing and are not logged. */
	if (call->kind == CALL_SUBMIT || call->kind == CALL_CANCEL ||
	    given->status != 200)
		decision_log("reply",
			     "job=%s call=%s status=%u reason=\"%s\" "
			     "read_age_ms=%" G_GINT64_FORMAT "%s",
			     id ? id + 1 : "", call_name(call->kind),
			     given->status, given->reason,
			     (kernel_now_us(callers->kernel) -
			      callers->caught_up_us) /
				     USEC_PER_MSEC,
			     detail);
	kernel_emit_msg(callers->kernel, EVENT_JOB_REPLY, msg);
}

static void reply(struct callers *callers, const struct job_call *call,
		  const struct job_reply *given)
{
	reply_with(callers, call, given, "");
}

void callers_refuse_with(struct callers *callers, const struct job_call *call,
			 uint32_t status, const char *reason,
			 const char *detail)
{
	struct job_reply msg = { .status = status };

	if (status == 429 || status == 503 || status == 504)
		msg.retry_after_us = RETRY_AFTER_US;
	g_strlcpy(msg.reason, reason, sizeof(msg.reason));
	reply_with(callers, call, &msg, detail);
}

void callers_refuse(struct callers *callers, const struct job_call *call,
		    uint32_t status, const char *reason)
{
	callers_refuse_with(callers, call, status, reason, "");
}

void callers_confirm(struct callers *callers, const struct job_call *call)
{
	reply(callers, call, &(struct job_reply){ .status = 200 });
}

static void add_pending(struct callers *callers, struct job_call *call,
			const char *member, struct job_record *record,
			enum pending_state state, int64_t wait_us)
{
	struct pending_call *pending = g_new0(struct pending_call, 1);
	int64_t now_us = kernel_now_us(callers->kernel);

	pending->call = g_rc_box_acquire(call);
	g_strlcpy(pending->member, member, sizeof(pending->member));
	pending->record = record;
	pending->state = state;
	pending->arrived_us = now_us;
	if (state == PENDING_QUEUED)
		wait_us += MAX(callers->next_write_us - now_us, 0);
	pending->deadline_us = MIN(now_us + wait_us, call->deadline_us);
	g_ptr_array_add(callers->pending, pending);
	kernel_wake_at(callers->kernel, pending->deadline_us);
}

static bool has_stopped_accepting(const struct callers *callers)
{
	return callers->stop_accepting_us &&
	       kernel_now_us(callers->kernel) >= callers->stop_accepting_us;
}

static void refuse_over_rate(struct callers *callers,
			     const struct job_call *call,
			     const struct member *member)
{
	char *detail =
		g_strdup_printf(" member=%s rate_milli=%" G_GUINT64_FORMAT,
				member->name, member->policy.weight_milli);

	counter_add(kernel_counters(callers->kernel),
		    "caller_refused_total{reason=\"over-rate\"}", 1);
	callers_refuse_with(callers, call, 429,
			    "the member submits more jobs than its rate, and "
			    "there is no room for them",
			    detail);
	g_free(detail);
}

static struct job_record *submit_record_new(const struct callers *callers,
					    const struct job_call *call,
					    const struct queue *queue,
					    const char *id,
					    const struct member *member)
{
	struct job_record *record = job_record_new(JOB_RECORD_SUBMIT);

	g_strlcpy(record->id, id, sizeof(record->id));
	g_strlcpy(record->queue, queue->name, sizeof(record->queue));
	g_strlcpy(record->pool, queue->pool, sizeof(record->pool));
	record->policy = queue->policy;
	if (member) {
		g_strlcpy(record->member, member->name, sizeof(record->member));
		record->member_policy = member->policy;
	}
	record->submitted_ms = kernel_wall_us(callers->kernel) / USEC_PER_MSEC;
	record->spec = job_spec_ref(call->spec);
	return record;
}

static void submit(struct callers *callers, struct job_call *call,
		   const struct queue *queue, const char *id,
		   const struct member *member)
{
	const struct job_bounds *bounds =
		&kernel_settings(callers->kernel)->bounds;
	const char *member_name = member ? member->name : "";
	const struct job *job;

	if (!job_id_is_valid(id)) {
		callers_refuse(callers, call, 400,
			       "expected 16 hexadecimal digits");
		return;
	}
	job = job_table_find(kernel_jobs(callers->kernel), id);
	if (job) {
		if (callers_admit_job(callers, call, job, member_name))
			callers_confirm(callers, call);
		return;
	}
	if (!call->spec || job_spec_check(call->spec)) {
		callers_refuse(callers, call, 400,
			       call->spec ? job_spec_check(call->spec)
					  : "the body does not describe a job");
		return;
	}
	if (job_spec_stored_max_bytes(call->spec) >
	    MIN(bounds->record_max_bytes, bounds->batch_max_bytes)) {
		callers_refuse(callers, call, 400,
			       "the job is too large to be stored");
		return;
	}
	if (has_stopped_accepting(callers) ||
	    callers_store_is_silent(callers)) {
		callers_refuse(callers, call, 503,
			       has_stopped_accepting(callers)
				       ? "this entry instance is leaving"
				       : "the store does not answer");
		return;
	}
	if (member && job_table_refuses(kernel_jobs(callers->kernel), member,
					kernel_now_us(callers->kernel))) {
		refuse_over_rate(callers, call, member);
		return;
	}
	if (!callers_admit_memory(callers, call))
		return;
	add_pending(callers, call, member_name,
		    submit_record_new(callers, call, queue, id, member),
		    PENDING_QUEUED, QUEUE_WAIT_MAX_US);
}

static void cancel(struct callers *callers, struct job_call *call,
		   const struct job *job, const char *member)
{
	struct job_record *record;

	if (job_has_ended(job)) {
		callers_confirm(callers, call);
		return;
	}
	if (callers_store_is_silent(callers)) {
		callers_refuse(callers, call, 503, "the store does not answer");
		return;
	}
	record = job_record_new(JOB_RECORD_CANCEL);
	g_strlcpy(record->id, job->id, sizeof(record->id));
	add_pending(callers, call, member, record, PENDING_QUEUED,
		    QUEUE_WAIT_MAX_US);
}

static void reply_state(struct callers *callers, const struct job_call *call,
			const struct job *job)
{
	struct job_reply msg = { .status = 200, .has_state = true };

	msg.state = job->state;
	if (msg.state == JOB_PENDING && job->begun)
		msg.state = JOB_ACTIVE;
	reply(callers, call, &msg);
}

/*
 * Answers a call about a job that is known here. Returns false if it isn't. The
 * id alone names the job: a configuration may have given the path of its queue
 * to another one, and callers still ask where they submitted it.
 */
static bool reply_known(struct callers *callers, struct job_call *call,
			const char *id, const char *member)
{
	const struct job *job =
		job_table_find(kernel_jobs(callers->kernel), id);

	if (!job)
		return false;
	if (!callers_admit_job(callers, call, job, member))
		return true;
	if (call->kind == CALL_CANCEL)
		cancel(callers, call, job, member);
	else
		reply_state(callers, call, job);
	return true;
}

/* Only a read that is sent after the call shows that there is no such job. */
static void await_read(struct callers *callers, struct job_call *call,
		       const char *member)
{
	if (callers_reads_are_silent(callers))
		callers_refuse(callers, call, 503,
			       "the state is too old to tell");
	else
		add_pending(callers, call, member, NULL, PENDING_RECORD,
			    UNKNOWN_JOB_WAIT_US);
}

/* Without members, the age of the state is that of the configuration. */
static bool config_may_be_old(const struct callers *callers)
{
	return kernel_queues(callers->kernel)->members
		       ? !access_config_is_recent(
				 &callers->config,
				 kernel_now_us(callers->kernel))
		       : callers_reads_are_silent(callers);
}

/* A newer configuration, not read yet, may have the queue. */
static void reply_no_queue(struct callers *callers, const struct job_call *call)
{
	if (config_may_be_old(callers))
		callers_refuse(callers, call, 503,
			       "the configuration is too old to tell");
	else
		callers_refuse(callers, call, 404, "no such queue");
}

static void reply_depth(struct callers *callers, const struct job_call *call,
			const struct queue *queue)
{
	struct job_reply msg = { .status = 200, .has_depth = true };

	if (!callers->has_snapshot ||
	    kernel_now_us(callers->kernel) - callers->state_as_of_us >
		    STATE_AGE_MAX_US) {
		callers_refuse(callers, call, 503, "the state is too old");
		return;
	}
	msg.depth_count =
		job_table_depth(kernel_jobs(callers->kernel), queue->name);
	reply(callers, call, &msg);
}

/* Returns NULL if there is no such queue, which was answered. */
static const struct queue *find_queue(struct callers *callers,
				      const struct job_call *call,
				      const char **id)
{
	const struct queues *queues = kernel_queues(callers->kernel);
	const struct queue *queue =
		queues_route(queues, call->host, call->path, id);

	if (!queue)
		reply_no_queue(callers, call);
	return queue;
}

static void on_job_call(struct callers *callers, struct job_call *call,
			const char *id, const char *member)
{
	if (!job_id_is_valid(id))
		callers_refuse(callers, call, 410, "no such job");
	else if (!reply_known(callers, call, id, member))
		await_read(callers, call, member);
}

static void on_call(struct callers *callers, struct job_call *call)
{
	const struct queue *queue;
	const struct member *member;
	const char *id = "";

	if (!kernel_queues(callers->kernel)) {
		callers_refuse(callers, call, 503,
			       "no configuration was read yet");
		return;
	}
	queue = find_queue(callers, call, &id);
	if (!queue || !callers_admit(callers, call, queue, &member))
		return;
	if (call->kind == CALL_SUBMIT)
		submit(callers, call, queue, id, member);
	else if (call->kind == CALL_STATE && !*id)
		reply_depth(callers, call, queue);
	else
		on_job_call(callers, call, id, member ? member->name : "");
}

/* Takes the calls that wait for a job which is known now off the list. */
static GPtrArray *take_known_calls(struct callers *callers)
{
	GPtrArray *known = g_ptr_array_new_with_free_func(pending_free);

	for (guint i = 0; i < callers->pending->len;) {
		struct pending_call *pending = callers->pending->pdata[i];
		const char *id = strrchr(pending->call->path, '/') + 1;

		if (pending->state == PENDING_RECORD &&
		    job_table_find(kernel_jobs(callers->kernel), id))
			g_ptr_array_add(known, g_ptr_array_steal_index(
						       callers->pending, i));
		else
			i++;
	}
	return known;
}

/*
 * Answers the calls that still wait for their job and came in before the read
 * was sent: it would have shown every job that was accepted before the call.
 */
static void refuse_unknown(struct callers *callers)
{
	for (guint i = 0; i < callers->pending->len;) {
		struct pending_call *pending = callers->pending->pdata[i];

		if (pending->state != PENDING_RECORD ||
		    pending->arrived_us > callers->state_as_of_us) {
			i++;
			continue;
		}
		callers_refuse(callers, pending->call, 410, "no such job");
		g_ptr_array_remove_index(callers->pending, i);
	}
}

static void note_caught_up(struct callers *callers, int64_t read_sent_us)
{
	if (!callers->caught_up_us)
		decision_log("dependency", "name=store state=reached");
	callers->caught_up_us = kernel_now_us(callers->kernel);
	callers->state_as_of_us = read_sent_us;
}

/* Answers calls whose job has become known, or is known not to exist. */
static void on_applied(struct callers *callers, const struct store_read *read)
{
	GPtrArray *known;

	if (!read->reachable)
		return;
	/* A read that stops before the store's end gives an older state. */
	if (!read->local && !read->snapshot &&
	    read->next_offset >= read->end_offset)
		note_caught_up(callers, read->sent_us);
	if (read->snapshot)
		callers->has_snapshot = true;
	/*
	 * on_job_call() may add a call to the list again. The key is not
	 * checked again: the call was sent before a removal that is known only
	 * now.
	 */
	callers_show_memory(callers);
	known = take_known_calls(callers);
	for (guint i = 0; i < known->len; i++) {
		struct pending_call *pending = known->pdata[i];
		const char *id = "";

		if (find_queue(callers, pending->call, &id))
			on_job_call(callers, pending->call, id,
				    pending->member);
	}
	g_ptr_array_unref(known);
	refuse_unknown(callers);
}

static void reply_timed_out(struct callers *callers,
			    const struct pending_call *pending)
{
	switch (pending->state) {
	case PENDING_QUEUED:
		callers_refuse(callers, pending->call, 503,
			       "the store is slow; nothing was written");
		break;
	case PENDING_WRITE:
		callers_refuse(callers, pending->call, 504,
			       "the store has not confirmed it yet");
		break;
	default:
		callers_refuse(callers, pending->call, 503,
			       "the store was not read in time to tell");
		break;
	}
}

static void expire(struct callers *callers)
{
	int64_t now_us = kernel_now_us(callers->kernel);

	for (guint i = 0; i < callers->pending->len;) {
		struct pending_call *pending = callers->pending->pdata[i];

		if (now_us < pending->deadline_us) {
			kernel_wake_at(callers->kernel, pending->deadline_us);
			i++;
			continue;
		}
		reply_timed_out(callers, pending);
		g_ptr_array_remove_index(callers->pending, i);
	}
}

static void on_gone(struct callers *callers, uint64_t call_id)
{
	for (guint i = 0; i < callers->pending->len; i++) {
		struct pending_call *pending = callers->pending->pdata[i];

		if (pending->call->call_id == call_id) {
			g_ptr_array_remove_index(callers->pending, i);
			return;
		}
	}
}

/* Reports the drain as done when no new jobs are taken and no call waits. */
static void check_drained(struct callers *callers)
{
	if (callers->stop_accepting_us && !has_stopped_accepting(callers))
		kernel_wake_at(callers->kernel, callers->stop_accepting_us);
	if (!has_stopped_accepting(callers) || callers->pending->len ||
	    callers->drained_sent)
		return;
	callers->drained_sent = true;
	kernel_emit(callers->kernel, &(struct event){ .type = EVENT_DRAINED });
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
		callers_on_written(callers, event->msg);
		break;
	case EVENT_CONFIG_READ:
		callers_on_config_read(callers, event->msg);
		break;
	case EVENT_DRAIN:
		if (!callers->stop_accepting_us)
			callers->stop_accepting_us =
				kernel_now_us(callers->kernel) +
				DRAIN_ACCEPT_US;
		break;
	default:
		break;
	}
	callers_send_queued(callers);
	expire(callers);
	callers_watch_store(callers);
	kernel_set_ready(callers->kernel,
			 callers_knows_config(callers) &&
				 !callers->stop_accepting_us &&
				 !callers_store_is_silent(callers));
	check_drained(callers);
}

static void *callers_init(struct kernel *kernel)
{
	struct callers *callers = g_new0(struct callers, 1);

	callers->kernel = kernel;
	callers->pending = g_ptr_array_new_with_free_func(pending_free);
	callers->next_write_id = 1;
	return callers;
}

static void callers_fini(void *self)
{
	struct callers *callers = self;

	g_ptr_array_unref(callers->pending);
	g_free(callers);
}

static const struct plugin callers_plugin = {
	.name = "callers",
	.kind = PLUGIN_JOBS,
	.subscriptions =
		EVENT_BIT(EVENT_JOB_CALL) | EVENT_BIT(EVENT_JOB_CALL_GONE) |
		EVENT_BIT(EVENT_JOBS_APPLIED) | EVENT_BIT(EVENT_STORE_WRITTEN) |
		EVENT_BIT(EVENT_CONFIG_READ) | EVENT_BIT(EVENT_DRAIN) |
		EVENT_BIT(EVENT_WAKE),
	.init = callers_init,
	.handle = callers_handle,
	.fini = callers_fini,
};

PLUGIN_REGISTER(callers_plugin)
