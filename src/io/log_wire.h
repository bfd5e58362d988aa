#ifndef IO_LOG_WIRE_H
#define IO_LOG_WIRE_H

/*
 * JSON responses of the platform's log, and the mapping of its offsets.
 *
 * An append takes one platform offset, counted from 1, and carries up to 64
 * records. Each platform offset maps to a block of 128 record offsets, and the
 * records of an append take the last ones of its block. So record offsets
 * rise, and the last record of an append directly precedes the next block.
 */

#include <glib.h>

#include "core/types.h"

#define LOG_BLOCK_COUNT 128

/* Last record offset of the block of a platform offset; 0 for offset 0. */
uint64_t log_block_end(uint64_t platform_offset);

/* Record offset of the first of record_count records of one append. */
uint64_t log_block_first(uint64_t platform_offset, uint32_t record_count);

/* Platform offset of the first append with records after a record offset. */
uint64_t log_block_after(uint64_t record_offset);

struct log_item {
	uint64_t platform_offset;
	GBytes *data;
};

struct log_response {
	uint64_t first_offset; /* platform offsets */
	uint64_t next_offset;
	GArray *items; /* of struct log_item, in order of offset */
};

/*
 * Parses {"first","next","records":[{"offset","data"}]}. If it is invalid,
 * returns false, sets the reason and leaves no items.
 */
bool log_response_parse(struct log_response *response, const void *data,
			size_t size_bytes, char reason[REASON_SIZE_BYTES]);
void log_response_clear(struct log_response *response);

/* Parses {"offset"}, the response to an append. */
bool log_appended_parse(const void *data, size_t size_bytes, uint64_t *offset);

/* Whether a response is {"taken": false}: the append was not stored. */
bool log_is_append_refused(const void *data, size_t size_bytes);

#endif
