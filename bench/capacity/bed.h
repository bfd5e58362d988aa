#ifndef CAPACITY_BED_H
#define CAPACITY_BED_H

/*
 * One entry instance in virtual time: a real kernel with all decision
 * plug-ins and the codecs. The other entry instances are only the messages
 * and records that they would send.
 */

#include "kernel/kernel.h"

struct size {
	uint32_t instance_count;
	uint32_t pool_count;
	uint32_t member_count;
	uint32_t dc_count;
	uint32_t entry_count;
};

/* What the measured entry instance is for the others. */
enum bed_role {
	BED_PLAIN,
	BED_LOWEST,  /* sends the digests of its data centre */
	BED_PLANNER, /* holds the lease; not the lowest */
	BED_ROLE_COUNT,
};

struct traffic {
	uint64_t message_count;
	uint64_t size_bytes;
};

struct bed {
	const struct size *size;
	enum bed_role role;
	struct settings *settings;
	struct kernel *kernel;
	GPtrArray *names;    /* of char *: entries, e000 and so on */
	GPtrArray *sequence; /* of each entry's records, by index */
	uint32_t own;	     /* index of the measured entry */
	int64_t now_us;
	int64_t next_beat_us;
	int64_t next_list_us;
	int64_t next_renew_us;
	int64_t next_remote_us;
	uint64_t offset;
	uint64_t token; /* of the lease, once it is held */
	uint32_t beat_count;
	struct traffic local;	 /* peer messages sent within the data centre */
	struct traffic remote;	 /* peer messages sent to other data centres */
	struct traffic received; /* peer messages */
	struct traffic appended; /* batches of records */
	GQueue *running;	 /* of struct event: attempts in flight */
};

#define BED_WALL_US (INT64_C(1796000000) * USEC_PER_SEC)

/* Processor time of this process. */
int64_t cpu_ns(void);

/* Bytes that malloc() has handed out. */
int64_t heap_bytes(void);

/* files: of struct decl *; all entries have joined and a lease is held. */
struct bed *bed_new(const struct size *size, enum bed_role role,
		    const GPtrArray *files);
void bed_free(struct bed *bed);

/*
 * Hands a record of another entry to the kernel. Returns the processor time;
 * takes the record over. entry: index of the writer.
 */
int64_t bed_record(struct bed *bed, uint32_t entry, struct record *record);

/* Runs the kernel, with heartbeats, lists and renewals of the others. */
void bed_run(struct bed *bed, int64_t duration_us);

/* Runs the kernel 1 ms later, without anything from the others. */
void bed_step(struct bed *bed);

/* Emits one answer of the list. */
void bed_list(struct bed *bed);

/* Index of an entry other than the measured one: the lease is its own. */
uint32_t bed_other(const struct bed *bed);

void bed_reset_traffic(struct bed *bed);

#endif
