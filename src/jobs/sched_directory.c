/* Updates the workers from the directory: added, draining and removed ones. */

#include <string.h>

#include "jobs/sched.h"
#include "kernel/decision_log.h"

static void update_worker(struct sched *sched, const struct worker_entry *entry)
{
	struct worker *worker = worker_get(sched, entry->id);
	bool was_listed = worker->listed;
	bool was_draining = worker->draining;

	g_strlcpy(worker->address, entry->address, sizeof(worker->address));
	g_strlcpy(worker->pool, entry->pool, sizeof(worker->pool));
	g_strlcpy(worker->dc, entry->dc, sizeof(worker->dc));
	g_strlcpy(worker->rack, entry->rack, sizeof(worker->rack));
	if (worker->labels)
		g_ptr_array_unref(worker->labels);
	worker->labels = g_ptr_array_ref(entry->labels);
	worker->cpu_milli = entry->cpu_milli;
	worker->mem_mb = entry->mem_mb;
	worker->gpu_count = entry->gpu_count;
	worker->listed = true;
	worker->draining = entry->draining;
	if (worker->draining)
		worker->cordon = CORDON_DRAIN;
	else if (worker->cordon == CORDON_DRAIN)
		worker->cordon = CORDON_NONE;
	if (entry->started_ms &&
	    entry->started_ms != worker->listed_started_ms) {
		worker->listed_started_ms = entry->started_ms;
		worker->hold_due_us = 0;
		worker->hold_not_before_us = 0;
		/*
		 * Another life: its lists are read before it gets more work. A
		 * hold that waits at the former one won't be answered, and an
		 * answer that is still under way doesn't count.
		 */
		if (worker->reported_started_ms != entry->started_ms) {
			worker->synced = false;
			worker->hold_pending = false;
			worker->hold_sent_us = sched_now_us(sched);
		}
	}
	if (worker->draining && !was_draining)
		starts_cancel(sched, worker, "draining");
	if (!was_listed || was_draining != worker->draining) {
		decision_log("worker-seen",
			     "worker=%s pool=%s state=%s cpu=%u "
			     "born=%" G_GINT64_FORMAT,
			     worker->id, worker->pool,
			     worker->draining ? "draining" : "ready",
			     worker->cpu_milli, worker->listed_started_ms);
		sched_request_placement(sched);
	}
}

/*
 * An entry is removed when its worker has left, but also when the worker can't
 * reach the store. Only the list of machines tells the two apart.
 */
static void mark_unlisted(struct sched *sched, struct worker *worker)
{
	if (!worker->listed)
		return;
	worker->listed = false;
	worker->unlisted_us = sched_now_us(sched);
	decision_log("worker-unlisted", "worker=%s items=%u drained=%d",
		     worker->id, worker->placed->len, worker->draining);
	starts_cancel(sched, worker, "unlisted");
	if (worker->placed->len)
		sched->next_machine_list_us = sched_now_us(sched);
}

void workers_on_seen(struct sched *sched, const struct workers_seen *seen)
{
	GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < seen->entries->len; i++) {
		const struct worker_entry *entry = seen->entries->pdata[i];

		update_worker(sched, entry);
		g_hash_table_add(present, (gpointer)entry->id);
	}
	for (guint i = 0; i < seen->removed->len; i++) {
		struct worker *worker =
			worker_find(sched, seen->removed->pdata[i]);

		if (worker)
			mark_unlisted(sched, worker);
	}
	g_hash_table_iter_init(&iter, sched->workers);
	while (seen->all && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		if (!g_hash_table_contains(present, worker->id))
			mark_unlisted(sched, worker);
	}
	if (seen->all)
		sched->directory_seen = true;
	g_hash_table_unref(present);
}
