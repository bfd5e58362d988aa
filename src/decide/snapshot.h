#ifndef DECIDE_SNAPSHOT_H
#define DECIDE_SNAPSHOT_H

/*
 * Internals of the snapshot plug-in: snapshot.c reads snapshots from the log,
 * snapshot_write.c writes them, and snapshot_peer.c transfers state between
 * peers.
 *
 * A snapshot starts with a mark, a part record with a part count of 0. The
 * parts that follow carry the state at the mark's offset. Every reader hashes
 * its own state at the mark, and compares the hashes once the snapshot is
 * complete.
 */

#include "core/state_codec.h"
#include "kernel/kernel.h"

#define SNAPSHOT_PART_SIZE_BYTES (UINT64_C(64) * 1024)
#define SNAPSHOT_MAX_PARTS 512 /* 32 MiB */
#define SNAPSHOT_ASSEMBLY_COUNT 2
#define SNAPSHOT_MARK_COUNT 4
#define SNAPSHOT_LOG_PREFIX "snapshot"

/* A snapshot whose parts are being read. */
struct snapshot_assembly {
	struct record_id writer; /* its sequence is ignored */
	uint64_t base_offset;
	uint64_t state_hash;
	uint32_t part_count; /* 0: unused */
	uint32_t received_count;
	GBytes **parts;
};

/* Our own state at the offset of a mark. */
struct snapshot_mark {
	uint64_t offset;
	uint64_t state_hash;
	uint64_t record_count; /* records read up to the mark */
};

enum snapshot_phase {
	SNAPSHOT_IDLE,
	SNAPSHOT_MARKING, /* proposes the mark */
	SNAPSHOT_WRITING, /* proposes the parts */
};

struct snapshot_writer {
	enum snapshot_phase phase;
	struct record *proposal; /* NULL: to be proposed again */
	GBytes *bytes;
	uint64_t base_offset;
	uint64_t state_hash;
	uint32_t part;
	uint32_t part_count;
	int64_t retry_at_us;
	int64_t first_due_us; /* of a snapshot if the log has none */
};

struct snapshot {
	struct kernel *kernel;
	const struct state_codec_ops *codec;
	struct snapshot_assembly assemblies[SNAPSHOT_ASSEMBLY_COUNT];
	struct snapshot_mark marks[SNAPSHOT_MARK_COUNT];
	uint32_t next_mark;
	bool log_reachable;
	uint64_t first_offset; /* oldest record that the log keeps */
	uint64_t read_offset;  /* newest record that was read */
	uint64_t record_count; /* records read, without snapshot parts */
	/* The newest complete snapshot in the log: */
	uint64_t complete_offset; /* its base; 0: none */
	uint64_t complete_record_count;
	uint64_t complete_size_bytes;
	uint64_t renew_offset; /* write a new one if first_offset reaches it */
	struct snapshot_writer writer;
	int64_t next_request_us;
	uint32_t next_peer;
	GBytes *cached_state; /* encoded state for peers, or NULL */
	uint64_t cached_state_offset;
};

/* Whether records were read that can't be applied without a snapshot. */
bool snapshot_has_gap(const struct snapshot *snapshot);

/*
 * Replaces the replicated state. Returns false if the bytes are damaged, or
 * hold no newer state than ours.
 */
bool snapshot_install(struct snapshot *snapshot, GBytes *bytes);

/* snapshot_write.c */
void snapshot_write_init(struct snapshot *snapshot);
void snapshot_write_clear(struct snapshot *snapshot);
/* Starts a snapshot that is due, retries a proposal, or gives up. */
void snapshot_write_advance(struct snapshot *snapshot);
/*
 * Goes on after our proposal was read back. bytes: our state at the offset of a
 * mark, or NULL.
 */
void snapshot_write_on_read_back(struct snapshot *snapshot,
				 const struct event_record *read,
				 GBytes *bytes);
void snapshot_write_on_dropped(struct snapshot *snapshot,
			       const struct record *record);
/* Whether a record is our current proposal. */
bool snapshot_write_is_own(const struct snapshot *snapshot,
			   const struct record *record);

/* snapshot_peer.c */
void snapshot_peer_start(struct snapshot *snapshot);
void snapshot_peer_clear(struct snapshot *snapshot);
/* Requests the state of a peer if ours can't come from the log. */
void snapshot_peer_advance(struct snapshot *snapshot);
void snapshot_peer_on_received(struct snapshot *snapshot,
			       const struct event_peer *received);

#endif
