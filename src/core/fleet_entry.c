/* Replicated state: the roster of entry instances and the planner lease. */

#include <string.h>

#include "core/fleet_state.h"

/* A fence is dropped after this many records: none is in transit so long. */
#define FENCE_LIFE_RECORDS 200000

static gint compare_entries(gconstpointer a, gconstpointer b)
{
	const struct fleet_entry *const *left = a;
	const struct fleet_entry *const *right = b;

	return strcmp((*left)->decl.name, (*right)->decl.name);
}

static void rebuild_entry_list(struct fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(fleet->entry_list, 0);
	g_hash_table_iter_init(&iter, fleet->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(fleet->entry_list, value);
	g_ptr_array_sort(fleet->entry_list, compare_entries);
}

static gboolean fence_is_expired(gpointer key, gpointer value, gpointer data)
{
	const struct fleet_fence *fence = value;
	uint64_t offset = *(uint64_t *)data;

	(void)key;
	return fence->offset + FENCE_LIFE_RECORDS < offset;
}

static void fence_entry(struct fleet *fleet, const struct fleet_entry *entry,
			uint64_t offset)
{
	struct fleet_fence *fence = g_new0(struct fleet_fence, 1);

	name_copy(fence->name, sizeof(fence->name), entry->decl.name);
	fence->incarnation = entry->decl.incarnation;
	fence->offset = offset;
	g_hash_table_foreach_remove(fleet->fences, fence_is_expired, &offset);
	g_hash_table_replace(fleet->fences, fence->name, fence);
}

static void release_lease_and_claims(struct fleet *fleet,
				     const struct fleet_entry *entry)
{
	fleet_claims_orphan(fleet, entry->decl.name, entry->decl.incarnation);
	if (!strcmp(fleet->lease.holder, entry->decl.name) &&
	    fleet->lease.incarnation == entry->decl.incarnation)
		fleet->lease.holder[0] = '\0';
}

bool fleet_apply_entry_join(struct fleet *fleet, uint64_t offset,
			    const struct record *record,
			    struct fleet_outcome *outcome)
{
	const struct fleet_fence *fence;
	const struct fleet_entry *old;
	struct fleet_entry *entry;

	if (strcmp(record->entry.name, record->id.entry) != 0 ||
	    record->entry.incarnation != record->id.incarnation)
		return fleet_ignore(outcome, "entry joins under another name");
	fence = g_hash_table_lookup(fleet->fences, record->entry.name);
	if (fence && record->entry.incarnation <= fence->incarnation)
		return fleet_ignore(outcome, "incarnation has ended");
	old = g_hash_table_lookup(fleet->entries, record->entry.name);
	if (old && record->entry.incarnation <= old->decl.incarnation)
		return fleet_ignore(outcome, "incarnation is on the roster");
	if (old) {
		release_lease_and_claims(fleet, old);
		g_hash_table_remove(fleet->entries, record->entry.name);
	}
	entry = g_new0(struct fleet_entry, 1);
	entry->decl = record->entry;
	entry->join_offset = offset;
	entry->last_sequence = record->id.sequence;
	g_hash_table_insert(fleet->entries, entry->decl.name, entry);
	rebuild_entry_list(fleet);
	return true;
}

/* entry_leave and entry_gone */
bool fleet_apply_entry_end(struct fleet *fleet, uint64_t offset,
			   const struct record *record,
			   struct fleet_outcome *outcome)
{
	const struct fleet_entry *entry =
		g_hash_table_lookup(fleet->entries, record->entry.name);

	if (!entry || entry->decl.incarnation != record->entry.incarnation)
		return fleet_ignore(outcome, "entry is not on the roster");
	if (record->kind == RECORD_ENTRY_LEAVE &&
	    strcmp(record->entry.name, record->id.entry) != 0)
		return fleet_ignore(outcome, "only the entry itself can leave");
	release_lease_and_claims(fleet, entry);
	fence_entry(fleet, entry, offset);
	g_hash_table_remove(fleet->entries, record->entry.name);
	rebuild_entry_list(fleet);
	return true;
}

bool fleet_apply_lease_claim(struct fleet *fleet, uint64_t offset,
			     const struct record *record,
			     struct fleet_outcome *outcome)
{
	if (record->lease.token != fleet->lease.token)
		return fleet_ignore(outcome,
				    "lease token is no longer current");
	name_copy(fleet->lease.holder, sizeof(fleet->lease.holder),
		  record->id.entry);
	fleet->lease.incarnation = record->id.incarnation;
	fleet->lease.token = offset;
	return true;
}

bool fleet_apply_lease_renew(struct fleet *fleet, uint64_t offset,
			     const struct record *record,
			     struct fleet_outcome *outcome)
{
	(void)offset;
	return fleet_check_lease(fleet, record, record->lease.token, outcome);
}

bool fleet_check_lease(const struct fleet *fleet, const struct record *record,
		       uint64_t token, struct fleet_outcome *outcome)
{
	if (token != fleet->lease.token)
		return fleet_ignore(outcome,
				    "lease token is no longer current");
	if (strcmp(fleet->lease.holder, record->id.entry) != 0 ||
	    fleet->lease.incarnation != record->id.incarnation)
		return fleet_ignore(outcome, "entry does not hold the lease");
	return true;
}
