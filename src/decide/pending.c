#include "decide/pending.h"

struct pending {
	struct kernel *kernel;
	GHashTable *records; /* key -> struct record */
};

static void unref_record(gpointer data)
{
	record_unref(data);
}

struct pending *pending_new(struct kernel *kernel)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->kernel = kernel;
	pending->records = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, unref_record);
	return pending;
}

void pending_free(struct pending *pending)
{
	g_hash_table_unref(pending->records);
	g_free(pending);
}

void pending_clear(struct pending *pending)
{
	g_hash_table_remove_all(pending->records);
}

bool pending_has(const struct pending *pending, const char *key)
{
	return g_hash_table_contains(pending->records, key);
}

uint32_t pending_count(const struct pending *pending)
{
	return g_hash_table_size(pending->records);
}

void pending_propose(struct pending *pending, const char *key,
		     struct record *record)
{
	struct event event = { .type = EVENT_PROPOSE };

	event.record.record = record_ref(record);
	g_hash_table_replace(pending->records, g_strdup(key), record);
	kernel_emit(pending->kernel, &event);
}

bool pending_settle(struct pending *pending, const struct event *event)
{
	const struct record *ended = event->record.record;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pending->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct record *record = value;

		/* The proposer sets the id; until then the sequence is 0. */
		if (record != ended &&
		    (!record->id.sequence ||
		     !record_id_equal(&record->id, &ended->id)))
			continue;
		g_hash_table_iter_remove(&iter);
		return true;
	}
	return false;
}
