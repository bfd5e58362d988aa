#ifndef CAPACITY_SIM_H
#define CAPACITY_SIM_H

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
enum sim_role {
	SIM_PLAIN,
	SIM_DIGEST_SENDER, /* lowest name of its data centre */
	SIM_PLANNER,	   /* holds the lease; sends no digests */
	SIM_ROLE_COUNT,
};

struct traffic {
	uint64_t message_count;
	uint64_t size_bytes;
};

struct sim {
	const struct size *size;
	enum sim_role role;
	struct settings *settings;
	struct kernel *kernel;
	GPtrArray *entry_names; /* of char *: e000 and so on */
	GPtrArray *sequences;	/* of uint64_t: last record of each entry */
	uint32_t own_index;	/* of the measured entry */
	int64_t now_us;
	int64_t next_heartbeat_us;
	int64_t next_list_us;
	int64_t next_renew_us;
	int64_t next_remote_us;
	uint64_t offset;
	uint64_t token; /* of the lease, if another entry holds it */
	uint32_t heartbeat_count;
	struct traffic local;	 /* peer messages sent within the data centre */
	struct traffic remote;	 /* peer messages sent to other data centres */
	struct traffic received; /* peer messages */
	struct traffic appended; /* batches of records */
	GQueue *attempts;	 /* of struct event: in flight, oldest first */
};

/* Wall-clock time at the start of the simulation. */
#define SIM_WALL_US (INT64_C(1796000000) * USEC_PER_SEC)

/* Processor time of this process. */
int64_t cpu_ns(void);

/* Bytes currently allocated by malloc(). */
int64_t heap_bytes(void);

/*
 * Returns after all entries have joined and one holds the lease. files: of
 * struct decl *.
 */
struct sim *sim_new(const struct size *size, enum sim_role role,
		    const GPtrArray *files);
void sim_free(struct sim *sim);

/*
 * Feeds a record of another entry to the kernel, and takes ownership of it.
 * Returns the processor time. entry: index of the writer.
 */
int64_t sim_feed_record(struct sim *sim, uint32_t entry, struct record *record);

/* Runs the kernel, with heartbeats and renewals of the others, and lists. */
void sim_run(struct sim *sim, int64_t duration_us);

/* Advances the time by 1 ms and runs the kernel, without simulated input. */
void sim_step(struct sim *sim);

/* Emits an instance list with all instances and entries live. */
void sim_emit_list(struct sim *sim);

/* Index of an entry other than the measured one; it may hold the lease. */
uint32_t sim_other_entry(const struct sim *sim);

void sim_reset_traffic(struct sim *sim);

#endif
