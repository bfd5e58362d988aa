#ifndef CODEC_RECORD_CODEC_H
#define CODEC_RECORD_CODEC_H

/* Records of the log in protobuf. */

#include "core/record.h"

#define BATCH_RECORDS_MAX 64 /* records in one append */

GBytes *record_encode(const struct record *record);

/*
 * Returns NULL and sets the reason if the bytes are damaged. A kind that this
 * version does not know becomes RECORD_UNKNOWN. Declarations that this
 * version can't read leave config.decl NULL; readers ignore that record.
 */
struct record *record_decode(const void *data, size_t size_bytes,
			     char reason[REASON_SIZE_BYTES]);

/* records: of struct record *, 1 to BATCH_RECORDS_MAX. */
GBytes *batch_encode(const GPtrArray *records);

/*
 * Records of one append, of struct record *, owned. Returns NULL and sets the
 * reason if the batch is damaged. An invalid record of an undamaged batch
 * becomes RECORD_UNKNOWN and sets the reason, so that the others keep their
 * places.
 */
GPtrArray *batch_decode(const void *data, size_t size_bytes,
			char reason[REASON_SIZE_BYTES]);

#endif
