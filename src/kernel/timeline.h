#ifndef KERNEL_TIMELINE_H
#define KERNEL_TIMELINE_H

/*
 * A ring buffer of typed entries for diagnosis. Each has a hybrid logical clock
 * timestamp, so that the entries of several processes can be merged in causal
 * order.
 */

#include <glib.h>

#include "core/types.h"

#define TIMELINE_CAPACITY_COUNT 16384 /* about 6 MB with 384-byte entries */

enum timeline_kind {
	TIMELINE_REQUEST,
	TIMELINE_ATTEMPT,
	TIMELINE_REPLY,
	TIMELINE_RECORD,
	TIMELINE_LOG,
	TIMELINE_PEER,
	TIMELINE_ROLE,
	TIMELINE_SLOTS,
	TIMELINE_HEALTH,
	TIMELINE_PROCESS,
	TIMELINE_KIND_COUNT,
};

struct timeline_entry {
	uint64_t hlc; /* 48 bits of Unix time in ms, 16 bits of counter */
	enum timeline_kind kind;
	uint64_t request_id; /* 0: none */
	uint64_t offset;     /* 0: none */
	char instance[NAME_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES];
	char text[REASON_SIZE_BYTES];
};

struct timeline;

struct timeline *timeline_new(const char *process);
void timeline_free(struct timeline *timeline);

/* Sets the physical clock, in microseconds of Unix time. */
void timeline_set_wall(struct timeline *timeline, int64_t wall_us);

/* Advances the hybrid logical clock; for the timestamp of a message to send. */
uint64_t timeline_next_hlc(struct timeline *timeline);

/* Advances the hybrid logical clock to at least that of a received message. */
void timeline_merge_hlc(struct timeline *timeline, uint64_t hlc);

/* Stores a copy of an entry with a new hlc. Overwrites the oldest if full. */
void timeline_add(struct timeline *timeline,
		  const struct timeline_entry *entry);

/* Number of entries that were overwritten. */
uint64_t timeline_lost_count(const struct timeline *timeline);

uint32_t timeline_count(const struct timeline *timeline);

/* index 0 is the oldest entry left. Returns NULL past the newest. */
const struct timeline_entry *timeline_get(const struct timeline *timeline,
					  uint32_t index);

const char *timeline_kind_name(enum timeline_kind kind);
const char *timeline_process(const struct timeline *timeline);

#endif
