/*
 * Which workers may run the steps of queues that need advice. The answer for
 * one worker and one step holds for the worker's life; its ticket only for a
 * time, so that it is asked for again when it is needed later.
 */

#include <string.h>

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* Workers of one question; each of them makes the answer later. */
#define ASK_MAX_COUNT 30
/* Of an answer, beyond the time that the queue tells. */
#define ANSWER_SLACK_US USEC_PER_SEC
/* After a question without an answer, and after a refused ticket. */
#define ASK_AGAIN_US (200 * USEC_PER_MSEC)
/* A start is stored before it is ordered; its ticket must be valid then. */
#define TICKET_MARGIN_US (300 * USEC_PER_MSEC)

struct ticket {
	char *text; /* NULL: the worker may not run the step */
	int64_t valid_until_us;
};

struct step_advice {
	GHashTable *tickets; /* worker id, interned -> struct ticket */
	int64_t again_us;    /* no question before */
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

struct step_advice *advice_of_step(struct sched *sched, const struct job *job,
				   uint32_t occurrence, uint32_t step)
{
	const struct queue *queue = sched_queue(sched, job);
	struct step_advice *advice;
	char name[NAME_SIZE_BYTES];

	if (!queue || !queue->needs_advice)
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

static bool is_to_be_asked(const struct sched *sched,
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

void advice_ask(struct sched *sched, const struct job *job, uint32_t occurrence,
		uint32_t step, const GPtrArray *workers)
{
	struct step_advice *advice =
		advice_of_step(sched, job, occurrence, step);
	const struct queue *queue = sched_queue(sched, job);
	GPtrArray *asked;
	struct advice *msg;

	/* The service answers one question of an entry instance at a time. */
	if (sched->advice_asked || advice->again_us > sched_now_us(sched))
		return;
	asked = g_ptr_array_new();
	for (guint i = 0; i < workers->len; i++) {
		if (is_to_be_asked(sched, advice, workers->pdata[i]))
			g_ptr_array_add(asked, workers->pdata[i]);
	}
	if (!asked->len) {
		g_ptr_array_unref(asked);
		return;
	}
	g_ptr_array_sort(asked, compare_load);
	msg = advice_new();
	job_step_name(job, occurrence, step, msg->step, sizeof(msg->step));
	for (guint i = 0; i < MIN(asked->len, ASK_MAX_COUNT); i++)
		g_ptr_array_add(
			msg->workers,
			(gpointer)((struct worker *)asked->pdata[i])->id);
	msg->timeout_us = queue->advice_decision_us +
			  queue->advice_period_us * msg->workers->len +
			  ANSWER_SLACK_US;
	msg->asked_us = sched_now_us(sched);
	sched->advice_asked = true;
	g_ptr_array_unref(asked);
	kernel_emit_msg(sched->kernel, EVENT_ADVICE_ASK, msg);
}

static void take_rows(struct step_advice *advice, const struct advice *msg,
		      int64_t now_us)
{
	for (guint i = 0; i < msg->workers->len; i++)
		g_hash_table_replace(advice->tickets, msg->workers->pdata[i],
				     g_new0(struct ticket, 1));
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
	sched->advice_asked = false;
	sched_want_place(sched);
	if (!advice)
		return;
	if (msg->answered) {
		take_rows(advice, msg, now_us);
		return;
	}
	advice->again_us = now_us + ASK_AGAIN_US;
	sched_wake_at(sched, advice->again_us);
}

static struct step_advice *find_of_item(const struct sched *sched,
					const struct job *job, uint32_t index)
{
	char name[NAME_SIZE_BYTES];

	job_step_name(job, job_item_occurrence(job, index),
		      job_item_step(job, index), name, sizeof(name));
	return g_hash_table_lookup(sched->advice, name);
}

char *advice_ticket(const struct sched *sched, const struct job *job,
		    uint32_t index, const struct worker *worker)
{
	const struct step_advice *advice = find_of_item(sched, job, index);
	const struct ticket *ticket =
		advice ? g_hash_table_lookup(advice->tickets, worker->id)
		       : NULL;

	return ticket ? g_strdup(ticket->text) : NULL;
}

void advice_refused(struct sched *sched, const struct job *job, uint32_t index,
		    const struct worker *worker)
{
	struct step_advice *advice = find_of_item(sched, job, index);

	if (!advice)
		return;
	g_hash_table_remove(advice->tickets, worker->id);
	advice->again_us = sched_now_us(sched) + ASK_AGAIN_US;
	sched_wake_at(sched, advice->again_us);
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
