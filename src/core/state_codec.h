#ifndef CORE_STATE_CODEC_H
#define CORE_STATE_CODEC_H

/*
 * Table of a PLUGIN_STATE_CODEC plug-in, which serialises the replicated state.
 * Decision plug-ins use it without knowing the encoding.
 */

#include <glib.h>

#include "core/fleet.h"

struct state_codec_ops {
	/* The encoding is canonical: equal states have equal bytes. */
	GBytes *(*encode)(const struct fleet *fleet);
	/* Returns NULL and sets the reason if the bytes are damaged. */
	struct fleet *(*decode)(GBytes *bytes, char reason[REASON_SIZE_BYTES]);
	uint64_t (*hash)(GBytes *bytes);
};

#endif
