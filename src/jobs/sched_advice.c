/*
 * Advice on which workers may run a step. The answer for a worker and a step
 * holds for the life of the worker, but its ticket expires and is requested
 * again when it is needed later.
 */

#include <string.h>

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* Workers per request; each of them delays the response. */
#define REQUEST_WORKERS_MAX_COUNT 30
/* Added to the response time that the configuration of the queue gives. */
#define RESPONSE_SLACK_US USEC_PER_SEC
/* After a request without an answer, and after a refused ticket. */
#define RETRY_DELAY_US (200 * USEC_PER_MSEC)
/* A ticket must outlast the write that precedes the start order. */
#define TICKET_MARGIN_US (300 * USEC_PER_MSEC)

struct ticket {
	char *text; /* NULL: the worker may not run the step */
	int64_t valid_until_us;
};

struct step_advice {
	GHashTable *tickets; /* worker id, interned -> struct ticket */
	int64_t retry_us;    /* no request before */
};

static void ticket_free(gpointer data)
{
	struct ticket *ticket = data;

	g_free(ticket->text);
	g_free(ticket);
}

void step_advice_free(gpointer data)
{
	struct step_advice *advice = data;

	g_hash_table_unref(advice->tickets);
	g_free(advice);
}

struct step_advice *advice_get(struct sched *sched, const struct job *job,
			       uint32_t occurrence, uint32_t step)
{
	struct step_advice *advice;
	char name[NAME_SIZE_BYTES];

	if (!job->policy.needs_advice)
		return NULL;
	job_step_name(job, occurrence, step, name, sizeof(name));
	advice = g_hash_table_lookup(sched->advice, name);
	if (advice)
		return advice;
	advice = g_new0(struct step_advice, 1);
	advice->tickets = g_hash_table_new_full(NULL, NULL, NULL, ticket_free);
	g_hash_table_insert(sched->advice, g_strdup(name), advice);
	return advice;
}

static bool is_valid(const struct ticket *ticket, int64_t now_us)
{
	return ticket->text && ticket->valid_until_us > now_us;
}

bool advice_allows(const struct sched *sched, const struct step_advice *advice,
		   const struct worker *worker)
{
	const struct ticket *ticket =
		g_hash_table_lookup(advice->tickets, worker->id);

	return ticket &&
	       is_valid(ticket, sched_now_us(sched) + TICKET_MARGIN_US);
}

bool advice_forbids(const struct step_advice *advice,
		    const struct worker *worker)
{
	const struct ticket *ticket =
		g_hash_table_lookup(advice->tickets, worker->id);

	return ticket && !ticket->text;
}

static bool needs_request(const struct sched *sched,
			  const struct step_advice *advice,
			  const struct worker *worker)
{
	const struct ticket *ticket =
		g_hash_table_lookup(advice->tickets, worker->id);

	return !ticket ||
	       (ticket->text && !advice_allows(sched, advice, worker));
}

static gint compare_load(gconstpointer a, gconstpointer b)
{
	const struct worker *left = *(struct worker *const *)a;
	const struct worker *right = *(struct worker *const *)b;

	if (left->used_cpu_milli != right->used_cpu_milli)
		return left->used_cpu_milli < right->used_cpu_milli ? -1 : 1;
	return strcmp(left->id, right->id);
}

bool advice_ask(struct sched *sched, const struct job *job, uint32_t occurrence,
		uint32_t step, const GPtrArray *workers)
{
	struct step_advice *advice = advice_get(sched, job, occurrence, step);
	GPtrArray *candidates;
	struct advice *msg;

	/* The service handles one request of an entry instance at a time. */
	if (sched->advice_pending || advice->retry_us > sched_now_us(sched))
		return true;
	candidates = g_ptr_array_new();
	for (guint i = 0; i < workers->len; i++) {
		if (needs_request(sched, advice, workers->pdata[i]))
			g_ptr_array_add(candidates, workers->pdata[i]);
	}
	if (!candidates->len) {
		g_ptr_array_unref(candidates);
		return false;
	}
	g_ptr_array_sort(candidates, compare_load);
	msg = advice_new();
	job_step_name(job, occurrence, step, msg->step, sizeof(msg->step));
	for (guint i = 0; i < MIN(candidates->len, REQUEST_WORKERS_MAX_COUNT);
	     i++)
		g_ptr_array_add(
			msg->workers,
			(gpointer)((struct worker *)candidates->pdata[i])->id);
	msg->timeout_us = job->policy.advice_decision_us +
			  job->policy.advice_period_us * msg->workers->len +
			  RESPONSE_SLACK_US;
	msg->asked_us = sched_now_us(sched);
	sched->advice_pending = true;
	g_ptr_array_unref(candidates);
	kernel_emit_msg(sched->kernel, EVENT_ADVICE_REQUEST, msg);
	return true;
}

/* An answer is not valid for a life that began after the question. */
static void store_tickets(const struct sched *sched, struct step_advice *advice,
			  const struct advice *msg, int64_t now_us)
{
	for (guint i = 0; i < msg->workers->len; i++) {
		const char *id = msg->workers->pdata[i];
		const struct worker *worker = worker_find(sched, id);

		if (worker && worker->restarted_us > msg->asked_us)
			g_hash_table_remove(advice->tickets, id);
		else
			g_hash_table_replace(advice->tickets, (gpointer)id,
					     g_new0(struct ticket, 1));
	}
	for (guint i = 0; i < msg->allowed->len; i++) {
		const struct advice_row *row =
			&g_array_index(msg->allowed, struct advice_row, i);
		struct ticket *ticket =
			g_hash_table_lookup(advice->tickets, row->worker);

		if (!ticket || ticket->text)
			continue;
		ticket->text = g_strdup(row->ticket);
		ticket->valid_until_us = now_us + msg->valid_us;
	}
}

void advice_on_given(struct sched *sched, const struct advice *msg)
{
	struct step_advice *advice =
		g_hash_table_lookup(sched->advice, msg->step);
	int64_t now_us = sched_now_us(sched);

	decision_log("advice",
		     "step=%s workers=%u answered=%d allowed=%u "
		     "valid_ms=%" G_GINT64_FORMAT " took_ms=%" G_GINT64_FORMAT,
		     msg->step, msg->workers->len, msg->answered,
		     msg->allowed->len, msg->valid_us / USEC_PER_MSEC,
		     (now_us - msg->asked_us) / USEC_PER_MSEC);
	sched->advice_pending = false;
	sched_request_placement(sched);
	if (!advice)
		return;
	if (msg->answered) {
		store_tickets(sched, advice, msg, now_us);
		return;
	}
	advice->retry_us = now_us + RETRY_DELAY_US;
	sched_wake_at(sched, advice->retry_us);
}

static struct step_advice *find_item_advice(const struct sched *sched,
					    const struct job *job,
					    uint32_t index)
{
	char name[NAME_SIZE_BYTES];

	job_step_name(job, job_item_occurrence(job, index),
		      job_item_step(job, index), name, sizeof(name));
	return g_hash_table_lookup(sched->advice, name);
}

char *advice_ticket(const struct sched *sched, const struct job *job,
		    uint32_t index, const struct worker *worker)
{
	const struct step_advice *advice = find_item_advice(sched, job, index);
	const struct ticket *ticket =
		advice ? g_hash_table_lookup(advice->tickets, worker->id)
		       : NULL;

	return ticket ? g_strdup(ticket->text) : NULL;
}

void advice_refused(struct sched *sched, struct job *job, uint32_t index,
		    const struct worker *worker)
{
	struct step_advice *advice;

	/* The record of a job may not say so if an earlier version stored it.
	 */
	job->policy.needs_advice = true;
	advice = advice_get(sched, job, job_item_occurrence(job, index),
			    job_item_step(job, index));
	g_hash_table_remove(advice->tickets, worker->id);
	advice->retry_us = sched_now_us(sched) + RETRY_DELAY_US;
	sched_wake_at(sched, advice->retry_us);
}

void advice_forget_worker(struct sched *sched, const struct worker *worker)
{
	GHashTableIter iter;
	gpointer advice;

	g_hash_table_iter_init(&iter, sched->advice);
	while (g_hash_table_iter_next(&iter, NULL, &advice))
		g_hash_table_remove(((struct step_advice *)advice)->tickets,
				    worker->id);
}

static bool is_needed(const struct sched *sched, const char *step)
{
	const char *end = strchr(step, '.');
	char id[JOB_ID_SIZE_BYTES];
	const struct job *job;

	g_strlcpy(id, step, MIN(sizeof(id), (size_t)(end - step) + 1));
	job = job_table_find(kernel_jobs(sched->kernel), id);
	return job && job->next_state < JOB_COMPLETE && !job->cancelled;
}

void advice_tick(struct sched *sched)
{
	GHashTableIter iter;
	gpointer step;

	g_hash_table_iter_init(&iter, sched->advice);
	while (g_hash_table_iter_next(&iter, &step, NULL)) {
		if (!is_needed(sched, step))
			g_hash_table_iter_remove(&iter);
	}
}
