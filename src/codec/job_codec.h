#ifndef CODEC_JOB_CODEC_H
#define CODEC_JOB_CODEC_H

/* Job records as keys and values of the store's keyed topic. */

#include <glib.h>

#include "jobs/record.h"

/*
 * Returns the keys of a record: all those of the job for JOB_RECORD_DROP, at
 * most one for any other. Caller frees with g_strfreev().
 */
char **job_codec_keys(const struct job_record *record);

/* Caller frees; empty for a record that removes its keys. */
GBytes *job_codec_encode(const struct job_record *record);

/*
 * Returns NULL if the key or value is malformed, and JOB_RECORD_UNKNOWN for a
 * key of a newer version. An empty value decodes as JOB_RECORD_DROP for the
 * submission key of a job, and as JOB_RECORD_UNKNOWN for its other keys.
 */
struct job_record *job_codec_decode(const char *key, const uint8_t *value,
				    size_t size_bytes);

#endif
