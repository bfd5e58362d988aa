#ifndef CORE_FLEET_H
#define CORE_FLEET_H

/*
 * The replicated state machine. Every entry instance applies the records of the
 * log in order of offset. The outcome depends only on the state and the record,
 * so that all instances accept and ignore the same records.
 *
 * Pointers into the state are valid until the next record is applied.
 */

#include <glib.h>

#include "core/record.h"
#include "core/types.h"

/* Age at which a key is refused and its claim is dropped. */
#define CLAIM_KEY_LIFETIME_US (INT64_C(24) * 3600 * USEC_PER_SEC)

/* Limit by which a key's time prefix may be ahead of the writer's clock. */
#define CLAIM_KEY_SKEW_US (INT64_C(300) * USEC_PER_SEC)

/* A job that has failed on this many instances is not placed again. */
#define JOB_DISTINCT_FAILURES_COUNT 3

/* A wave halts at this many failures in its last WAVE_WINDOW_COUNT results. */
#define WAVE_HALT_FAILURES_COUNT 2
#define WAVE_WINDOW_COUNT 10

enum instance_phase {
	INSTANCE_ACTIVE,
	INSTANCE_DRAINING_MOVE,	 /* no new work; moves to another pool next */
	INSTANCE_DRAINING_MAINT, /* no new work; reboots next */
	INSTANCE_REBOOTING,
	INSTANCE_REMOVED, /* no longer declared */
};

struct fleet_instance {
	struct decl_instance decl;
	char pool[NAME_SIZE_BYTES]; /* current; decl.pool: the initial one */
	enum instance_phase phase;
	bool down;	       /* failed or unknown */
	uint64_t drain_offset; /* of move_start or maint_start; 0 when active */
	char to_pool[NAME_SIZE_BYTES];
	char wave[NAME_SIZE_BYTES];
	GPtrArray *acks; /* of char *: entries with nothing in flight on it */
	uint64_t changed_offset;
};

struct fleet_pool {
	struct decl_pool decl;
	GPtrArray *instances;	    /* of struct fleet_instance, by name */
	uint32_t declared_count;    /* instances declared in this pool */
	uint32_t unavailable_count; /* draining, in maintenance or down */
	uint32_t min_available_count;
};

struct fleet_entry {
	struct record_entry decl;
	uint64_t join_offset;
	uint64_t last_sequence; /* of its applied records */
};

struct fleet_lease {
	char holder[NAME_SIZE_BYTES]; /* empty: vacant */
	uint64_t incarnation;
	uint64_t token; /* fencing token: offset of the lease_claim */
};

struct fleet_claim {
	char key[KEY_SIZE_BYTES];
	char service[NAME_SIZE_BYTES];
	char entry[NAME_SIZE_BYTES];
	uint64_t incarnation;
	uint64_t request_id;
	uint64_t offset;
	int64_t key_wall_us;  /* time prefix of the key */
	enum verdict verdict; /* VERDICT_NONE until it has a result */
	uint32_t status;
};

struct fleet_wave {
	struct decl_wave decl;
	GHashTable *done; /* of char *: instances that are done or failed */
	uint32_t recent_failures; /* bit mask of the latest results */
	bool halted;
	uint64_t halt_offset;
};

enum fleet_job_state {
	JOB_WAITING,
	JOB_RUNNING,
	JOB_CANCELLING, /* cancelled, but still running */
	JOB_DONE,
	JOB_CANCELLED,
	JOB_ASIDE, /* set aside: not placed again */
};

struct fleet_job {
	struct record_job decl;
	enum fleet_job_state state;
	char instance[NAME_SIZE_BYTES]; /* while running or cancelling */
	GPtrArray *failed_on;		/* of char *: distinct instances */
	uint32_t attempt_count;
	uint64_t changed_offset;
	char reason[REASON_SIZE_BYTES];
};

struct fleet_outcome {
	bool accepted;
	bool duplicate; /* a record with this id was applied before */
	char reason[REASON_SIZE_BYTES]; /* why it was ignored */
};

struct fleet;

struct fleet *fleet_new(void);
void fleet_free(struct fleet *fleet);

/*
 * Applies the record at an offset. An offset at or below the applied one
 * changes nothing. Returns whether the record was accepted; otherwise the
 * outcome has the reason.
 */
bool fleet_apply(struct fleet *fleet, uint64_t offset,
		 const struct record *record, struct fleet_outcome *outcome);

/* Offset of the last applied record; 0 before the first. */
uint64_t fleet_offset(const struct fleet *fleet);

/* Latest wall clock of the applied records. */
int64_t fleet_wall_us(const struct fleet *fleet);

const struct fleet_lease *fleet_lease(const struct fleet *fleet);

/* Return NULL if there is none of that name. */
const struct fleet_instance *fleet_instance(const struct fleet *fleet,
					    const char *name);
const struct fleet_pool *fleet_pool(const struct fleet *fleet,
				    const char *name);
const struct fleet_entry *fleet_entry(const struct fleet *fleet,
				      const char *name);
const struct fleet_claim *fleet_claim(const struct fleet *fleet,
				      const char *key);
const struct fleet_wave *fleet_wave(const struct fleet *fleet,
				    const char *name);
const struct fleet_job *fleet_job(const struct fleet *fleet, const char *name);
const struct decl_member *fleet_member(const struct fleet *fleet,
				       const char *name);
const struct decl_service *fleet_service(const struct fleet *fleet,
					 const char *name);

/* Returns the service with the longest prefix of a request path, or NULL. */
const struct decl_service *fleet_find_service_by_path(const struct fleet *fleet,
						      const char *path);

/*
 * Returns the declarations in force under a file name, or NULL. Sets the offset
 * of their config_put record, or 0, unless offset is NULL.
 */
const struct decl *fleet_file(const struct fleet *fleet, const char *file,
			      uint64_t *offset);

/* Return all of a kind in order of name; the fleet owns the arrays. */
const GPtrArray *fleet_instances(const struct fleet *fleet);
const GPtrArray *fleet_pools(const struct fleet *fleet);
const GPtrArray *fleet_entries(const struct fleet *fleet);
const GPtrArray *fleet_services(const struct fleet *fleet);
const GPtrArray *fleet_members(const struct fleet *fleet);
const GPtrArray *fleet_waves(const struct fleet *fleet);

/* Return all, in order of name or key; caller unrefs the array. */
GPtrArray *fleet_jobs(const struct fleet *fleet);
GPtrArray *fleet_claims(const struct fleet *fleet);

/* Returns the names of the files in force, sorted; caller unrefs the array. */
GPtrArray *fleet_files(const struct fleet *fleet);

/* Longest attempt timeout of any service; 0 if there are none. */
int64_t fleet_longest_timeout_us(const struct fleet *fleet);

/*
 * Whether the budget of an instance's pool lets a planned step take it out of
 * service now.
 */
bool fleet_budget_allows(const struct fleet *fleet,
			 const struct fleet_instance *instance);

/* Whether each entry that may still send to a draining instance has acked. */
bool fleet_drained(const struct fleet *fleet,
		   const struct fleet_instance *instance);

/* Number of jobs that run on an instance. */
uint32_t fleet_instance_job_count(const struct fleet *fleet,
				  const char *instance);

/*
 * Parses the time prefix of a key "<Unix time in ms>-<token>". Returns false if
 * the key has none.
 */
bool claim_key_wall_us(const char *key, int64_t *wall_us);

const char *instance_phase_name(enum instance_phase phase);
const char *job_state_name(enum fleet_job_state state);

#endif
