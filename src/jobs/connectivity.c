#include "jobs/connectivity.h"

/* Workers without an order in this time are not counted. */
#define RECENT_US (4 * USEC_PER_SEC)
/* With fewer workers than this, nothing is concluded about the network. */
#define RECENT_WORKERS_MIN_COUNT 4

struct contact {
	int64_t answered_us; /* newest order with an answer */
	int64_t lost_us;     /* newest order without an answer */
};

struct connectivity {
	GHashTable *workers; /* interned id -> struct contact */
};

struct connectivity *connectivity_new(void)
{
	struct connectivity *connectivity = g_new0(struct connectivity, 1);

	connectivity->workers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return connectivity;
}

void connectivity_free(struct connectivity *connectivity)
{
	g_hash_table_unref(connectivity->workers);
	g_free(connectivity);
}

void connectivity_clear(struct connectivity *connectivity)
{
	g_hash_table_remove_all(connectivity->workers);
}

void connectivity_record_order(struct connectivity *connectivity,
			       const struct order *order, int64_t now_us)
{
	struct contact *contact =
		g_hash_table_lookup(connectivity->workers, order->worker);

	if (!contact) {
		contact = g_new0(struct contact, 1);
		g_hash_table_insert(connectivity->workers,
				    (gpointer)order->worker, contact);
	}
	if (order_is_answered(order))
		contact->answered_us = now_us;
	else
		contact->lost_us = now_us;
}

static bool is_silent(const struct contact *contact)
{
	return contact->lost_us > contact->answered_us;
}

void connectivity_drop_gone(struct connectivity *connectivity,
			    const struct machines_seen *seen)
{
	GHashTable *up = machines_seen_up(seen);
	GHashTableIter iter;
	gpointer worker;
	gpointer contact;

	g_hash_table_iter_init(&iter, connectivity->workers);
	while (g_hash_table_iter_next(&iter, &worker, &contact)) {
		if (is_silent(contact) &&
		    ((struct contact *)contact)->lost_us <= seen->asked_us &&
		    !g_hash_table_contains(up, worker))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_unref(up);
}

bool connectivity_is_lost(const struct connectivity *connectivity,
			  int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t silent_count = 0;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, connectivity->workers);
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
