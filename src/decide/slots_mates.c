#include <string.h>

#include "decide/slots.h"

struct mate *slots_mate(const struct slots *slots, const char *name)
{
	for (guint i = 0; i < slots->mates->len; i++) {
		struct mate *mate = slots->mates->pdata[i];

		if (!strcmp(mate->name, name))
			return mate;
	}
	return NULL;
}

static struct mate *mate_of(const struct fleet_entry *entry)
{
	struct mate *mate = g_new0(struct mate, 1);

	name_copy(mate->name, sizeof(mate->name), entry->decl.name);
	mate->incarnation = entry->decl.incarnation;
	mate->join_offset = entry->join_offset;
	return mate;
}

GPtrArray *mates_read(struct slots *slots, bool *changed)
{
	const struct settings *settings = kernel_settings(slots->kernel);
	const GPtrArray *entries = fleet_entries(kernel_fleet(slots->kernel));
	GPtrArray *mates = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];
		const struct mate *old = slots_mate(slots, entry->decl.name);

		if (strcmp(entry->decl.dc, settings->dc) != 0 ||
		    !strcmp(entry->decl.name, settings->entry))
			continue;
		if (old && old->incarnation == entry->decl.incarnation) {
			g_ptr_array_add(mates, g_memdup2(old, sizeof(*old)));
		} else {
			g_ptr_array_add(mates, mate_of(entry));
			*changed = true;
		}
	}
	*changed |= mates->len != slots->mates->len;
	return mates;
}

bool mates_ended(const struct slots *slots, const GPtrArray *mates)
{
	for (guint i = 0; i < slots->mates->len; i++) {
		const struct mate *old = slots->mates->pdata[i];
		bool found = false;

		for (guint k = 0; k < mates->len; k++) {
			const struct mate *mate = mates->pdata[k];

			found |= !strcmp(mate->name, old->name) &&
				 mate->incarnation == old->incarnation;
		}
		if (!found)
			return true;
	}
	return false;
}
