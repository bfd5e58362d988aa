/* The platform's list of machines, and their moves between pools. */

#include <string.h>

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* The list is read more often while a decision waits for it. */
#define LIST_BUSY_PERIOD_US (700 * USEC_PER_MSEC)
#define LIST_IDLE_PERIOD_US (3 * USEC_PER_SEC)
/* Delay before a machine is moved again, also after a refusal. */
#define MOVE_RETRY_US (700 * USEC_PER_MSEC)
#define LIST_RETRY_US (1 * USEC_PER_SEC)

void machine_free(gpointer machine)
{
	g_free(machine);
}

struct machine *machine_find(const struct sched *sched, const char *name)
{
	return g_hash_table_lookup(sched->machines, name);
}

struct machine *machine_of_worker(const struct sched *sched,
				  const struct worker *worker)
{
	return g_hash_table_lookup(sched->machines_by_worker, worker->id);
}

static void index_by_worker(struct sched *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(sched->machines_by_worker);
	g_hash_table_iter_init(&iter, sched->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct machine *machine = value;

		if (machine->worker)
			g_hash_table_insert(sched->machines_by_worker,
					    (gpointer)machine->worker, value);
	}
}

static void update_machine(struct sched *sched, const struct machine_row *row,
			   int64_t asked_us)
{
	struct machine *machine = machine_find(sched, row->name);

	if (!machine) {
		machine = g_new0(struct machine, 1);
		machine->name = g_intern_string(row->name);
		machine->order_not_before_us =
			machine_order_not_before_us(sched, row->name);
		machine->recorded_until_us = machine->order_not_before_us;
		g_hash_table_insert(sched->machines, (gpointer)machine->name,
				    machine);
	}
	g_strlcpy(machine->pool, row->pool, sizeof(machine->pool));
	machine->state = row->state;
	if (row->worker)
		machine->worker = row->worker;
	machine->listed = true;
	/* A list requested before the move took effect is too old. */
	if (machine->moving && machine->state == MACHINE_UP &&
	    asked_us > machine->ordered_us + sched->bounds->move_us)
		machine->moving = false;
}

static gboolean remove_unlisted(gpointer name, gpointer value, gpointer data)
{
	const struct machine *machine = value;

	(void)name;
	(void)data;
	if (!machine->listed)
		decision_log("machine-unlisted", "machine=%s pool=%s worker=%s",
			     machine->name, machine->pool,
			     machine->worker ? machine->worker : "");
	return !machine->listed;
}

/* A worker that was silent or not in the directory when the list was asked. */
static bool is_suspect(const struct sched *sched, const struct worker *worker,
		       int64_t asked_us)
{
	if (worker->gone)
		return false;
	if (!worker->address[0])
		return sched->directory_seen;
	if (!worker->listed && worker->unlisted_us < asked_us)
		return true;
	return worker->unanswered_count && worker->silent_since_us < asked_us;
}

/*
 * A machine gets a new worker each time it starts. So a suspect worker has
 * ended if a list that was requested since has no machine that is up with it.
 */
static void end_unlisted_suspects(struct sched *sched,
				  const struct machines_seen *seen)
{
	GHashTable *up = machines_seen_up(seen);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		if (is_suspect(sched, worker, seen->asked_us) &&
		    !g_hash_table_contains(up, worker->id))
			worker_mark_gone(sched, worker, "machine-list",
					 seen->asked_us);
	}
	g_hash_table_unref(up);
}

void machines_on_seen(struct sched *sched, const struct machines_seen *seen)
{
	GHashTableIter iter;
	gpointer value;

	sched->machine_list_pending = false;
	if (seen->complete == sched->machine_list_failed)
		decision_log("dependency", "name=machine-list state=%s",
			     seen->complete ? "regained" : "lost");
	sched->machine_list_failed = !seen->complete;
	if (!seen->complete) {
		sched->next_machine_list_us =
			sched_now_us(sched) + LIST_RETRY_US;
		return;
	}
	g_hash_table_iter_init(&iter, sched->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct machine *)value)->listed = false;
	for (guint i = 0; i < seen->rows->len; i++)
		update_machine(
			sched,
			&g_array_index(seen->rows, struct machine_row, i),
			seen->asked_us);
	end_unlisted_suspects(sched, seen);
	g_hash_table_foreach_remove(sched->machines, remove_unlisted, NULL);
	index_by_worker(sched);
	if (!sched->machine_list_known)
		decision_log("machines-listed", "count=%u", seen->rows->len);
	sched->machine_list_known = true;
	sched->machine_list_as_of_us = seen->asked_us;
	waves_on_machines(sched);
	sched_request_placement(sched);
}

bool machine_is_known_empty(const struct sched *sched,
			    const struct machine *machine)
{
	const struct pool *pool =
		queues_pool(kernel_queues(sched->kernel), machine->pool);
	const struct worker *worker = worker_find(sched, machine->worker);

	if (pool && pool->standby)
		return true;
	return worker && worker->listed && !worker->gone &&
	       !worker->placed->len;
}

static bool any_worker_is_suspect(const struct sched *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		if (!worker->gone && worker->placed->len &&
		    (worker->unanswered_count || !worker->listed))
			return true;
	}
	return false;
}

static bool any_machine_is_moving(const struct sched *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const struct machine *)value)->moving)
			return true;
	}
	return false;
}

static bool any_wave_is_open(const struct sched *sched)
{
	for (guint i = 0; i < sched->waves->len; i++) {
		const struct wave *wave = sched->waves->pdata[i];

		if (!wave->complete)
			return true;
	}
	return false;
}

void machines_tick(struct sched *sched)
{
	int64_t now_us = sched_now_us(sched);
	bool busy = any_worker_is_suspect(sched) || any_wave_is_open(sched) ||
		    any_machine_is_moving(sched);

	if (busy)
		sched->next_machine_list_us =
			MIN(sched->next_machine_list_us,
			    sched->machine_list_as_of_us + LIST_BUSY_PERIOD_US);
	if (sched->machine_list_pending || now_us < sched->next_machine_list_us)
		return;
	sched->machine_list_pending = true;
	sched->next_machine_list_us = now_us + LIST_IDLE_PERIOD_US;
	kernel_emit(sched->kernel,
		    &(struct event){ .type = EVENT_MACHINES_POLL });
}

void machines_on_ordered(struct sched *sched, const struct machine_order *order)
{
	struct machine *machine = machine_find(sched, order->machine);

	decision_log("machine-ordered", "machine=%s kind=%s result=%d",
		     order->machine, order->upkeep ? "upkeep" : "move",
		     (int)order->result);
	if (!machine || order->upkeep)
		return;
	machine->order_pending = false;
	machine->order_not_before_us = sched_now_us(sched) + MOVE_RETRY_US;
	/* A move without an answer counts as done until the list shows it. */
	if (order->result != MACHINE_OK && order->result != MACHINE_UNANSWERED)
		return;
	machine->moving = true;
	machine->ordered_us = sched_now_us(sched);
	g_strlcpy(machine->to_pool, order->pool, sizeof(machine->to_pool));
}
