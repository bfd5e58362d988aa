#ifndef CODEC_SNAPSHOT_CODEC_H
#define CODEC_SNAPSHOT_CODEC_H

/* The replicated state in protobuf. */

#include "core/fleet.h"

/* Equal states have equal encodings. */
GBytes *snapshot_encode(const struct fleet *fleet);

/* Returns NULL and sets the reason if the bytes are damaged. */
struct fleet *snapshot_decode(GBytes *bytes, char reason[REASON_SIZE_BYTES]);

/* XXH3 of an encoding. */
uint64_t snapshot_hash(GBytes *bytes);

#endif
