/* Replicated state: claims of non-idempotent requests. */

#include <string.h>

#include "core/fleet_state.h"

bool claim_key_wall_us(const char *key, int64_t *wall_us)
{
	gchar *end = NULL;
	guint64 wall_ms = 0;

	if (key[0] < '0' || key[0] > '9')
		return false;
	wall_ms = g_ascii_strtoull(key, &end, 10);
	if (*end != '-' || !end[1] ||
	    wall_ms > (guint64)(INT64_MAX / USEC_PER_MSEC))
		return false;
	*wall_us = (int64_t)wall_ms * USEC_PER_MSEC;
	return true;
}

static gint compare_claims(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct fleet_claim *left = a;
	const struct fleet_claim *right = b;

	(void)data;
	if (left->key_wall_us != right->key_wall_us)
		return left->key_wall_us < right->key_wall_us ? -1 : 1;
	return strcmp(left->key, right->key);
}

void fleet_claim_insert(struct fleet *fleet, struct fleet_claim *claim)
{
	GList *link = fleet->claim_order->tail;

	/* New keys are nearly always the newest, so search from the end. */
	while (link && compare_claims(link->data, claim, NULL) > 0)
		link = link->prev;
	if (link)
		g_queue_insert_after(fleet->claim_order, link, claim);
	else
		g_queue_push_head(fleet->claim_order, claim);
	g_hash_table_insert(fleet->claims, claim->key, claim);
}

/*
 * A claim is dropped only when its key would be refused as too old, so its
 * request can't run a second time, whatever the clocks of the writers are.
 */
static void drop_expired(struct fleet *fleet)
{
	int64_t limit_us = fleet->wall_us - CLAIM_KEY_LIFETIME_US;

	for (;;) {
		struct fleet_claim *oldest =
			g_queue_peek_head(fleet->claim_order);

		if (!oldest || oldest->key_wall_us >= limit_us)
			return;
		g_queue_pop_head(fleet->claim_order);
		g_hash_table_remove(fleet->claims, oldest->key);
	}
}

static bool check_key(const struct fleet *fleet, const struct record *record,
		      int64_t *key_wall_us, struct fleet_outcome *outcome)
{
	if (!claim_key_wall_us(record->claim.key, key_wall_us))
		return fleet_ignore(outcome, "key has no time prefix");
	if (*key_wall_us < fleet->wall_us - CLAIM_KEY_LIFETIME_US)
		return fleet_ignore(outcome, "key is too old");
	if (*key_wall_us > record->wall_us + CLAIM_KEY_SKEW_US)
		return fleet_ignore(outcome, "key is in the future");
	return true;
}

bool fleet_apply_claim(struct fleet *fleet, uint64_t offset,
		       const struct record *record,
		       struct fleet_outcome *outcome)
{
	struct fleet_claim *claim;
	int64_t key_wall_us = 0;

	drop_expired(fleet);
	if (!check_key(fleet, record, &key_wall_us, outcome))
		return false;
	claim = g_hash_table_lookup(fleet->claims, record->claim.key);
	if (claim && claim->verdict != VERDICT_NOT_RUN)
		return fleet_ignore(outcome, "key is claimed");
	if (!claim) {
		claim = g_new0(struct fleet_claim, 1);
		name_copy(claim->key, sizeof(claim->key), record->claim.key);
		claim->key_wall_us = key_wall_us;
		fleet_claim_insert(fleet, claim);
	}
	name_copy(claim->service, sizeof(claim->service),
		  record->claim.service);
	name_copy(claim->entry, sizeof(claim->entry), record->id.entry);
	claim->incarnation = record->id.incarnation;
	claim->request_id = record->claim.request_id;
	claim->offset = offset;
	claim->verdict = VERDICT_NONE;
	claim->status = 0;
	return true;
}

bool fleet_apply_claim_result(struct fleet *fleet, uint64_t offset,
			      const struct record *record,
			      struct fleet_outcome *outcome)
{
	struct fleet_claim *claim =
		g_hash_table_lookup(fleet->claims, record->claim.key);

	(void)offset;
	if (!claim || strcmp(claim->entry, record->id.entry) != 0 ||
	    claim->incarnation != record->id.incarnation ||
	    claim->request_id != record->claim.request_id)
		return fleet_ignore(outcome,
				    "claim belongs to another request");
	if (claim->verdict != VERDICT_NONE)
		return fleet_ignore(outcome, "claim has a result");
	if (record->claim.verdict == VERDICT_NONE ||
	    record->claim.verdict >= VERDICT_COUNT)
		return fleet_ignore(outcome, "result has no verdict");
	claim->verdict = record->claim.verdict;
	claim->status = record->claim.status;
	return true;
}

void fleet_claims_orphan(struct fleet *fleet, const char *entry,
			 uint64_t incarnation)
{
	for (GList *link = fleet->claim_order->head; link; link = link->next) {
		struct fleet_claim *claim = link->data;

		if (claim->verdict == VERDICT_NONE &&
		    claim->incarnation == incarnation &&
		    !strcmp(claim->entry, entry))
			claim->verdict = VERDICT_MAY_HAVE_RUN;
	}
}
