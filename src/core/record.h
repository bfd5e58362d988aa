#ifndef CORE_RECORD_H
#define CORE_RECORD_H

/* Records of the platform's log as plain structs; codec/ encodes them. */

#include <glib.h>

#include "core/decl.h"
#include "core/types.h"

/* Unique over all processes and restarts. */
struct record_id {
	char entry[NAME_SIZE_BYTES];
	uint64_t incarnation;
	uint64_t sequence;
};

enum record_kind {
	RECORD_UNKNOWN, /* written by a newer version; ignored */
	RECORD_CONFIG_PUT,
	RECORD_CONFIG_REMOVE,
	RECORD_ENTRY_JOIN,
	RECORD_ENTRY_LEAVE,
	RECORD_ENTRY_GONE,
	RECORD_LEASE_CLAIM,
	RECORD_LEASE_RENEW,
	RECORD_MOVE_START,
	RECORD_DRAIN_ACK,
	RECORD_MOVE_COMMIT,
	RECORD_MOVE_ABORT,
	RECORD_MAINT_START,
	RECORD_MAINT_REBOOT,
	RECORD_MAINT_DONE,
	RECORD_WAVE_HALT,
	RECORD_INSTANCE_DOWN,
	RECORD_INSTANCE_UP,
	RECORD_CLAIM,
	RECORD_CLAIM_RESULT,
	RECORD_JOB_SUBMIT,
	RECORD_JOB_PLACE,
	RECORD_JOB_RENEW,
	RECORD_JOB_END,
	RECORD_JOB_CANCEL,
	RECORD_JOB_SET_ASIDE,
	RECORD_SNAPSHOT_PART,
	RECORD_KIND_COUNT,
};

/* Body of the config_put and config_remove kinds. */
struct record_config {
	char file[NAME_SIZE_BYTES];
	uint64_t base_offset; /* of the version that it replaces; 0: none */
	struct decl *decl;    /* NULL on config_remove */
};

/* Body of the entry_* kinds. */
struct record_entry {
	char name[NAME_SIZE_BYTES];
	uint64_t incarnation;
	char dc[NAME_SIZE_BYTES];
	char caller_address[ADDRESS_SIZE_BYTES];
	char operator_address[ADDRESS_SIZE_BYTES];
	char peer_address[ADDRESS_SIZE_BYTES];
};

/* Body of the lease_* kinds. */
struct record_lease {
	uint64_t token; /* lease_claim: the token that it replaces; 0: none */
};

/* Body of the move_*, drain_ack, maint_*, wave_halt, instance_* kinds. */
struct record_instance {
	uint64_t token; /* fencing token of the planner; 0 on drain_ack */
	char instance[NAME_SIZE_BYTES];
	uint64_t drain_offset; /* of the move_start or maint_start record */
	char to_pool[NAME_SIZE_BYTES];
	char wave[NAME_SIZE_BYTES];
	bool failed;	      /* maint_done: not healthy after the reboot */
	uint64_t incarnation; /* drain_ack: of the entry in the record's id */
};

/* Body of the claim kinds. */
struct record_claim {
	char key[KEY_SIZE_BYTES];
	char service[NAME_SIZE_BYTES];
	uint64_t request_id;
	enum verdict verdict; /* claim_result only */
	uint32_t status; /* claim_result: HTTP status of the answer, or 0 */
};

/* Body of the job_* kinds. */
struct record_job {
	uint64_t token;
	char job[NAME_SIZE_BYTES];
	char member[NAME_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES];
	char instance[NAME_SIZE_BYTES];
	uint32_t declared_slots_count;
	uint32_t attempt_count;
	bool succeeded;	   /* job_end */
	bool checkpointed; /* job_end: stopped on request, to be resumed */
	char reason[REASON_SIZE_BYTES];
};

struct record_snapshot {
	uint64_t base_offset; /* last offset that the snapshot contains */
	uint32_t part;
	uint32_t part_count;
	uint64_t state_hash;
	GBytes *bytes;
};

struct record {
	grefcount refs;
	struct record_id id;
	/* Clock of the writer; for key expiry and rate limits, not for safety
	 */
	int64_t wall_us;
	enum record_kind kind;
	union {
		struct record_config config;
		struct record_entry entry;
		struct record_lease lease;
		struct record_instance instance;
		struct record_claim claim;
		struct record_job job;
		struct record_snapshot snapshot;
	};
};

struct record *record_new(enum record_kind kind);
struct record *record_ref(struct record *record);
void record_unref(struct record *record);

/* Returns the name of a kind in logs and scripts, for example "config_put". */
const char *record_kind_name(enum record_kind kind);

/* Returns RECORD_UNKNOWN for an unknown name. */
enum record_kind record_kind_from_name(const char *name);

bool record_id_equal(const struct record_id *a, const struct record_id *b);

#endif
