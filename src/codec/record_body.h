#ifndef CODEC_RECORD_BODY_H
#define CODEC_RECORD_BODY_H

/* Helpers shared by the codecs of records, peer messages and snapshots. */

#include "codec/proto/record.pb-c.h"
#include "core/record.h"

/*
 * Copies a decoded string. Returns false if it does not fit, is not valid UTF-8
 * or contains control characters.
 */
bool body_copy_text(char *to, size_t size_bytes, const char *from);

/* Like body_copy_text(), but also returns false for an empty string. */
bool body_copy_name(char *to, size_t size_bytes, const char *from);

/* A packed message points into the struct and must not outlive it. */
void body_pack_entry(Pl__EntryBody *to, const struct record_entry *from);
bool body_unpack_entry(struct record_entry *to, const Pl__EntryBody *from);
void body_pack_job(Pl__JobBody *to, const struct record_job *from);
bool body_unpack_job(struct record_job *to, const Pl__JobBody *from);

/* The YAML source of a declaration file, not copied. */
ProtobufCBinaryData body_pack_source(const struct decl *decl);

/* Parses a YAML source, ignoring unknown keys. Returns NULL on errors. */
struct decl *body_unpack_source(const char *file,
				const ProtobufCBinaryData *source);

GBytes *body_serialise(const ProtobufCMessage *message);

#endif
