#ifndef CODEC_FORWARD_CODEC_H
#define CODEC_FORWARD_CODEC_H

/* Protobuf encoding of forwarded orders and of their results. */

#include "jobs/msg.h"

GBytes *forward_msg_encode(const struct forward_msg *msg);

/* Returns NULL if the message is damaged or has a field that doesn't fit. */
struct forward_msg *forward_msg_decode(const void *data, size_t size_bytes);

#endif
