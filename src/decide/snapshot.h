#ifndef DECIDE_SNAPSHOT_H
#define DECIDE_SNAPSHOT_H

/*
 * Inside of the snapshot plug-in: reading snapshots (snapshot.c), writing
 * them (snapshot_write.c) and state between peers (snapshot_peer.c).
 *
 * A snapshot starts with a mark, a part record with a part count of 0. The
 * state at the mark's offset is what the parts carry. Every reader hashes its
 * state at the mark and compares when the snapshot is whole.
 */

#include "core/state_codec.h"
#include "kernel/kernel.h"

#define SNAPSHOT_PART_SIZE_BYTES (UINT64_C(64) * 1024)
#define SNAPSHOT_MAX_PARTS 512 /* 32 MiB */
#define SNAPSHOT_ASSEMBLY_COUNT 2
#define SNAPSHOT_MARK_COUNT 4
#define SNAPSHOT_LOG_PREFIX "snapshot"

/* A snapshot of which some parts have been read. */
struct snapshot_assembly {
	struct record_id writer; /* sequence: unused */
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
	SNAPSHOT_MARKING, /* the mark is proposed */
	SNAPSHOT_WRITING, /* a part is proposed */
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
	int64_t first_due_us; /* of the first snapshot of the log */
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
	/* The newest whole snapshot in the log: */
	uint64_t complete_offset; /* its base; 0: none */
	uint64_t complete_record_count;
	uint64_t complete_size_bytes;
	uint64_t renew_offset; /* first offset at which it must be renewed */
	struct snapshot_writer writer;
	int64_t next_request_us;
	uint32_t next_peer;
	GBytes *cached_state; /* encoded state for peers, or NULL */
	uint64_t cached_state_offset;
};

/* Whether records that were read wait for a snapshot. */
bool snapshot_has_gap(const struct snapshot *snapshot);

/* Replaces the replicated state. Returns false if the bytes are damaged. */
bool snapshot_install(struct snapshot *snapshot, GBytes *bytes);

/* snapshot_write.c */
void snapshot_write_init(struct snapshot *snapshot);
void snapshot_write_clear(struct snapshot *snapshot);
/* Starts, goes on with or gives up a snapshot, as the state demands. */
void snapshot_write_advance(struct snapshot *snapshot);
/* Our proposal was read back. bytes: our state at the offset of a mark. */
void snapshot_write_on_read_back(struct snapshot *snapshot,
				 const struct event_record *read,
				 GBytes *bytes);
void snapshot_write_on_dropped(struct snapshot *snapshot,
			       const struct record *record);
/* Whether a record is the one that we have proposed. */
bool snapshot_write_is_own(const struct snapshot *snapshot,
			   const struct record *record);

/* snapshot_peer.c */
void snapshot_peer_start(struct snapshot *snapshot);
void snapshot_peer_clear(struct snapshot *snapshot);
/* Asks a peer for its state if ours can't come from the log. */
void snapshot_peer_advance(struct snapshot *snapshot);
void snapshot_peer_on_received(struct snapshot *snapshot,
			       const struct event_peer *received);

#endif
