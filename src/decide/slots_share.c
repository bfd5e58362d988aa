#include "decide/slots_share.h"

#include <string.h>
#include <xxhash.h>

static uint64_t rank_key(const char *endpoint, const char *entry)
{
	char text[2 * NAME_SIZE_BYTES];
	g_snprintf(text, sizeof(text), "%s/%s", endpoint, entry);
	return XXH3_64bits(text, strlen(text));
}

/*
 * Entries are ranked for each endpoint by a hash of both names, as in
 * rendezvous hashing. The removal of one never raises the rank of another, so
 * no share shrinks. A rotation of the sorted names would change all ranks: with
 * 8 slots and 10 entries, some shares would drop from 1 to 0.
 */
uint32_t slots_share(const GPtrArray *entries, const char *dc,
		     const char *entry, const char *endpoint,
		     uint32_t slot_count)
{
	uint64_t own_key = rank_key(endpoint, entry);
	uint32_t entry_count = 0;
	uint32_t rank = 0;
	bool found = false;

	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *other = entries->pdata[i];
		const char *name = other->decl.name;
		uint64_t key;

		if (strcmp(other->decl.dc, dc) != 0)
			continue;
		entry_count++;
		if (!strcmp(name, entry)) {
			found = true;
			continue;
		}
		key = rank_key(endpoint, name);
		rank += key < own_key ||
			(key == own_key && strcmp(name, entry) < 0);
	}
	if (!found)
		return 0;
	return slot_count / entry_count + (rank < slot_count % entry_count);
}
