#ifndef CODEC_RECORD_BODY_H
#define CODEC_RECORD_BODY_H

/* Parts of the encoding that records, messages and snapshots share. */

#include "codec/proto/record.pb-c.h"
#include "core/record.h"

/*
 * Copies a decoded text. Returns false if it does not fit, is not valid UTF-8
 * or has control characters.
 */
bool body_text(char *to, size_t size_bytes, const char *from);

/* Like body_text(), but an empty text is refused as well. */
bool body_name(char *to, size_t size_bytes, const char *from);

/* The packed form points into the plain struct. */
void body_pack_entry(Pl__EntryBody *to, const struct record_entry *from);
bool body_unpack_entry(struct record_entry *to, const Pl__EntryBody *from);
void body_pack_job(Pl__JobBody *to, const struct record_job *from);
bool body_unpack_job(struct record_job *to, const Pl__JobBody *from);

/* The YAML source of declarations, not copied. */
ProtobufCBinaryData body_pack_source(const struct decl *decl);

/* Reads a YAML source leniently. Returns NULL if it can't be read. */
struct decl *body_unpack_source(const char *file,
				const ProtobufCBinaryData *source);

GBytes *body_serialise(const ProtobufCMessage *message);

#endif
