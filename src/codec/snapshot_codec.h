#ifndef CODEC_SNAPSHOT_CODEC_H
#define CODEC_SNAPSHOT_CODEC_H

/* Protobuf encoding of the replicated state. */

#include "core/fleet.h"

/* Equal states have equal encodings. */
GBytes *snapshot_encode(const struct fleet *fleet);

/* Returns NULL and sets the reason if the bytes are damaged or invalid. */
struct fleet *snapshot_decode(GBytes *bytes, char reason[REASON_SIZE_BYTES]);

/* XXH3 hash of an encoded state. */
uint64_t snapshot_hash(GBytes *bytes);

#endif
