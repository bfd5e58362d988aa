#ifndef CAPACITY_BED_H
#define CAPACITY_BED_H

/*
 * Runs one entry instance in virtual time: a real kernel with all decision
 * plug-ins and the codecs. Of the other entry instances, only the messages and
 * records that they would send are simulated.
 */

#include "kernel/kernel.h"

struct size {
	uint32_t instance_count;
	uint32_t pool_count;
	uint32_t member_count;
	uint32_t dc_count;
	uint32_t entry_count;
};

/* Role of the measured entry instance. */
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
	uint64_t token; /* of the lease, if another entry holds it */
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

/* Bytes currently allocated by malloc(). */
int64_t heap_bytes(void);

/*
 * Returns after all entries have joined and one holds the lease. files: of
 * struct decl *.
 */
struct bed *bed_new(const struct size *size, enum bed_role role,
		    const GPtrArray *files);
void bed_free(struct bed *bed);

/*
 * Feeds a record of another entry to the kernel, and takes ownership of it.
 * Returns the processor time. entry: index of the writer.
 */
int64_t bed_record(struct bed *bed, uint32_t entry, struct record *record);

/* Runs the kernel, with heartbeats and renewals of the others, and lists. */
void bed_run(struct bed *bed, int64_t duration_us);

/* Advances the time by 1 ms and runs the kernel, without simulated input. */
void bed_step(struct bed *bed);

/* Emits an instance list with all instances and entries live. */
void bed_list(struct bed *bed);

/* Index of an entry other than the measured one; it may hold the lease. */
uint32_t bed_other(const struct bed *bed);

void bed_reset_traffic(struct bed *bed);

#endif
