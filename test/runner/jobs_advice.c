/* Fake of the advice service, and the tickets by which workers check it. */

#include <string.h>

#include "runner/jobs_world.h"

/* Latency of advice, plus a part for each worker asked about. */
#define ADVICE_LATENCY_US (100 * USEC_PER_MSEC)
#define ADVICE_PER_WORKER_US (10 * USEC_PER_MSEC)
#define TICKET_LIFETIME_US (2 * USEC_PER_SEC)

/* A ticket names its step, its worker and the end of its validity. */
static char *ticket_text(const char *step, const char *worker, int64_t until_us)
{
	return g_strdup_printf("%s/%s/%" G_GINT64_FORMAT, step, worker,
			       until_us);
}

bool fake_ticket_is_valid(const struct jobs_world *jobs,
			  const struct fake_worker *worker,
			  const struct order *order)
{
	const char *until = order->ticket ? strrchr(order->ticket, '/') : NULL;
	char *step = g_strndup(
		order->item, (gsize)(strrchr(order->item, '.') - order->item));
	char *expected;
	int64_t until_us;
	bool valid;

	until_us = until ? g_ascii_strtoll(until + 1, NULL, 10) : 0;
	expected = ticket_text(step, worker->id, until_us);
	valid = !jobs->tickets_refused && worker->allowed_by_advice &&
		until_us > jobs->world->now_us &&
		!g_strcmp0(order->ticket, expected);
	g_free(expected);
	g_free(step);
	return valid;
}

bool fake_needs_ticket(const struct jobs_world *jobs, const char *pool)
{
	for (guint i = 0; i < jobs->queues->queues->len; i++) {
		const struct queue *queue = jobs->queues->queues->pdata[i];

		if (!strcmp(queue->pool, pool) && queue->policy.needs_advice)
			return true;
	}
	return false;
}

void fake_advice(struct jobs_entry *entry, struct advice *advice)
{
	struct jobs_world *jobs = entry->jobs;
	int64_t took_us =
		ADVICE_LATENCY_US + ADVICE_PER_WORKER_US * advice->workers->len;
	struct event event = { .type = EVENT_ADVICE_REQUEST };

	world_print(jobs->world, "%.3f %s asks for %s about %u workers",
		    (double)jobs->world->now_us / USEC_PER_SEC, entry->name,
		    advice->step, advice->workers->len);
	advice->answered = true;
	advice->valid_us = TICKET_LIFETIME_US;
	for (guint i = 0; i < advice->workers->len; i++) {
		struct advice_row row = { .worker = advice->workers->pdata[i] };
		const struct fake_worker *worker =
			fake_worker_find(jobs, row.worker);

		if (!worker->allowed_by_advice)
			continue;
		row.ticket = ticket_text(advice->step, row.worker,
					 jobs->world->now_us + took_us +
						 TICKET_LIFETIME_US);
		g_array_append_val(advice->allowed, row);
	}
	event.msg = g_rc_box_acquire(advice);
	jobs_deliver(jobs, entry, EVENT_ADVICE_RESPONSE, event.msg, took_us);
}
