#include <string.h>

#include "decide/slots.h"

struct local_peer *slots_find_peer(const struct slots *slots, const char *name)
{
	for (guint i = 0; i < slots->peers->len; i++) {
		struct local_peer *peer = slots->peers->pdata[i];

		if (!strcmp(peer->name, name))
			return peer;
	}
	return NULL;
}

static struct local_peer *local_peer_new(const struct fleet_entry *entry)
{
	struct local_peer *peer = g_new0(struct local_peer, 1);

	name_copy(peer->name, sizeof(peer->name), entry->decl.name);
	peer->incarnation = entry->decl.incarnation;
	peer->join_offset = entry->join_offset;
	return peer;
}

GPtrArray *slots_read_peers(struct slots *slots, bool *changed)
{
	const struct settings *settings = kernel_settings(slots->kernel);
	const GPtrArray *entries = fleet_entries(kernel_fleet(slots->kernel));
	GPtrArray *peers = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];
		const struct local_peer *old =
			slots_find_peer(slots, entry->decl.name);

		if (strcmp(entry->decl.dc, settings->dc) != 0 ||
		    !strcmp(entry->decl.name, settings->entry))
			continue;
		if (old && old->incarnation == entry->decl.incarnation) {
			g_ptr_array_add(peers, g_memdup2(old, sizeof(*old)));
		} else {
			g_ptr_array_add(peers, local_peer_new(entry));
			*changed = true;
		}
	}
	*changed |= peers->len != slots->peers->len;
	return peers;
}

bool slots_any_peer_ended(const struct slots *slots, const GPtrArray *peers)
{
	for (guint i = 0; i < slots->peers->len; i++) {
		const struct local_peer *old = slots->peers->pdata[i];
		bool found = false;

		for (guint k = 0; k < peers->len; k++) {
			const struct local_peer *peer = peers->pdata[k];

			found |= !strcmp(peer->name, old->name) &&
				 peer->incarnation == old->incarnation;
		}
		if (!found)
			return true;
	}
	return false;
}
