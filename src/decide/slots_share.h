#ifndef DECIDE_SLOTS_SHARE_H
#define DECIDE_SLOTS_SHARE_H

/* Divides the slots of an endpoint among entry instances. */

#include "core/fleet.h"

/*
 * Slots of an endpoint that an entry instance owns by the roster. entries: of
 * struct fleet_entry; those of other data centres own nothing. The shares add
 * up to slot_count, and no share shrinks when another entry is removed.
 */
uint32_t slots_share(const GPtrArray *entries, const char *dc,
		     const char *entry, const char *endpoint,
		     uint32_t slot_count);

#endif
