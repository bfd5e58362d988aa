#ifndef UNIT_CODEC_SAMPLE_H
#define UNIT_CODEC_SAMPLE_H

/* Records and messages with a value in every field, for tests of codecs. */

#include "core/peer_msg.h"
#include "core/record.h"

struct record *full_record(enum record_kind kind);

/* Compares all fields, bytewise: padding is zero in both. */
bool same_record(const struct record *a, const struct record *b);

struct peer_msg *full_msg(enum peer_msg_kind kind);
bool same_msg(const struct peer_msg *a, const struct peer_msg *b);

#endif
