#ifndef CODEC_PEER_CODEC_H
#define CODEC_PEER_CODEC_H

/* Protobuf encoding of messages between entry instances. */

#include "core/peer_msg.h"

GBytes *peer_msg_encode(const struct peer_msg *msg);

/*
 * Returns NULL and sets the reason if the message is damaged or invalid. A kind
 * that this version does not know decodes as PEER_MSG_UNKNOWN.
 */
struct peer_msg *peer_msg_decode(const void *data, size_t size_bytes,
				 char reason[REASON_SIZE_BYTES]);

#endif
