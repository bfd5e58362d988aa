#ifndef IO_LOG_WIRE_H
#define IO_LOG_WIRE_H

/*
 * The answers of the platform's log, and its offsets.
 *
 * One append takes one offset of the platform, counted from 1, and carries up
 * to 64 records. Each platform offset stands for a block of 128 record
 * offsets, and the records of an append take the last ones of its block. So
 * record offsets rise, and the last record of an append comes just before the
 * block of the next one.
 */

#include <glib.h>

#include "core/types.h"

#define LOG_BLOCK_COUNT 128

/* Last record offset of a platform offset's block; 0 for offset 0. */
uint64_t log_block_end(uint64_t platform_offset);

/* Record offset of the first of record_count records of one append. */
uint64_t log_block_first(uint64_t platform_offset, uint32_t record_count);

/* Platform offset of the first append that has records after an offset. */
uint64_t log_block_after(uint64_t record_offset);

struct log_item {
	uint64_t platform_offset;
	GBytes *data;
};

struct log_answer {
	uint64_t first_offset; /* platform offsets */
	uint64_t next_offset;
	GArray *items; /* of struct log_item, rising by offset */
};

/*
 * Reads {"first","next","records":[{"offset","data"}]}. Returns false and
 * sets the reason if the answer is invalid; the answer is empty then.
 */
bool log_answer_parse(struct log_answer *answer, const void *data,
		      size_t size_bytes, char reason[REASON_SIZE_BYTES]);
void log_answer_clear(struct log_answer *answer);

/* Reads {"offset"}. */
bool log_appended_parse(const void *data, size_t size_bytes, uint64_t *offset);

/* Whether an answer says {"taken": false}. */
bool log_refused_parse(const void *data, size_t size_bytes);

#endif
