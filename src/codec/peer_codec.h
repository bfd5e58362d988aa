#ifndef CODEC_PEER_CODEC_H
#define CODEC_PEER_CODEC_H

/* Messages between entry instances in protobuf. */

#include "core/peer_msg.h"

GBytes *peer_msg_encode(const struct peer_msg *msg);

/*
 * Returns NULL and sets the reason if the bytes are damaged. A kind that this
 * version does not know becomes PEER_MSG_UNKNOWN.
 */
struct peer_msg *peer_msg_decode(const void *data, size_t size_bytes,
				 char reason[REASON_SIZE_BYTES]);

#endif
