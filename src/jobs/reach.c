#include "jobs/reach.h"

/* Workers without an order in this time are not counted. */
#define RECENT_US (4 * USEC_PER_SEC)
/* With fewer workers than this, nothing is concluded about the network. */
#define RECENT_WORKERS_MIN_COUNT 4

struct contact {
	int64_t answered_us; /* newest order with an answer */
	int64_t lost_us;     /* newest order without an answer */
};

struct reach {
	GHashTable *workers; /* interned id -> struct contact */
};

struct reach *reach_new(void)
{
	struct reach *reach = g_new0(struct reach, 1);

	reach->workers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return reach;
}

void reach_free(struct reach *reach)
{
	g_hash_table_unref(reach->workers);
	g_free(reach);
}

void reach_clear(struct reach *reach)
{
	g_hash_table_remove_all(reach->workers);
}

void reach_note(struct reach *reach, const struct order *order, int64_t now_us)
{
	struct contact *contact =
		g_hash_table_lookup(reach->workers, order->worker);

	if (!contact) {
		contact = g_new0(struct contact, 1);
		g_hash_table_insert(reach->workers, (gpointer)order->worker,
				    contact);
	}
	if (order->result == ORDER_UNANSWERED)
		contact->lost_us = now_us;
	else
		contact->answered_us = now_us;
}

static bool is_silent(const struct contact *contact)
{
	return contact->lost_us > contact->answered_us;
}

void reach_drop_gone(struct reach *reach, const struct machines_seen *seen)
{
	GHashTable *up = machines_seen_up(seen);
	GHashTableIter iter;
	gpointer worker;
	gpointer contact;

	g_hash_table_iter_init(&iter, reach->workers);
	while (g_hash_table_iter_next(&iter, &worker, &contact)) {
		if (is_silent(contact) &&
		    ((struct contact *)contact)->lost_us <= seen->asked_us &&
		    !g_hash_table_contains(up, worker))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_unref(up);
}

bool reach_is_isolated(const struct reach *reach, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t silent_count = 0;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, reach->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct contact *contact = value;

		if (now_us - MAX(contact->lost_us, contact->answered_us) >
		    RECENT_US)
			continue;
		count++;
		silent_count += is_silent(contact);
	}
	return count >= RECENT_WORKERS_MIN_COUNT && 2 * silent_count > count;
}
