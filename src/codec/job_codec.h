#ifndef CODEC_JOB_CODEC_H
#define CODEC_JOB_CODEC_H

/* Keys and values of the keyed topic in which jobs are kept. */

#include <glib.h>

#include "jobs/record.h"

#define JOB_KEY_MAX_BYTES (NAME_SIZE_BYTES + 8)

/*
 * Keys of a record, up to three for JOB_RECORD_DROP. Returns how many there
 * are.
 */
uint32_t job_codec_keys(const struct job_record *record,
			char keys[3][JOB_KEY_MAX_BYTES]);

/* Caller frees; empty for a record that removes its keys. */
GBytes *job_codec_encode(const struct job_record *record);

/*
 * NULL if the value is damaged; JOB_RECORD_UNKNOWN for a key of a newer
 * version. An empty value of a submission reads as JOB_RECORD_DROP, of any
 * other key as JOB_RECORD_UNKNOWN.
 */
struct job_record *job_codec_decode(const char *key, const uint8_t *value,
				    size_t size_bytes);

#endif
