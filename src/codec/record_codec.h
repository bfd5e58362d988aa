#ifndef CODEC_RECORD_CODEC_H
#define CODEC_RECORD_CODEC_H

/* Protobuf encoding of the log's records. */

#include "core/record.h"

#define BATCH_RECORDS_MAX 64 /* records in one append */

GBytes *record_encode(const struct record *record);

/*
 * Returns NULL and sets the reason if the record is damaged or invalid. A kind
 * that this version does not know decodes as RECORD_UNKNOWN. Declarations that
 * this version can't parse leave config.decl NULL; the record is then ignored.
 */
struct record *record_decode(const void *data, size_t size_bytes,
			     char reason[REASON_SIZE_BYTES]);

/* Encodes 1 to BATCH_RECORDS_MAX records (of struct record *). */
GBytes *batch_encode(const GPtrArray *records);

/*
 * Returns the records of one append, of struct record *, owned. Returns NULL
 * and sets the reason if the batch is damaged. An invalid record of an intact
 * batch sets the reason and becomes RECORD_UNKNOWN, so that the others keep
 * their offsets.
 */
GPtrArray *batch_decode(const void *data, size_t size_bytes,
			char reason[REASON_SIZE_BYTES]);

#endif
