#ifndef CORE_FLEET_H
#define CORE_FLEET_H

/*
 * The replicated state. Every entry instance applies the log's records in
 * order of offset; the outcome depends on the state and the record only, so
 * that all of them accept and ignore the same records.
 *
 * Pointers into the state are valid until the next record is applied.
 */

#include <glib.h>

#include "core/record.h"
#include "core/types.h"

#define CLAIM_KEY_LIFE_US (INT64_C(24) * 3600 * USEC_PER_SEC)
#define CLAIM_KEY_SKEW_US (INT64_C(300) * USEC_PER_SEC)
#define JOB_DISTINCT_FAILURES_COUNT 3
#define WAVE_WINDOW_COUNT 10 /* latest results that can halt a wave */
#define WAVE_HALT_FAILURES_COUNT 2

enum instance_phase {
	INSTANCE_ACTIVE,
	INSTANCE_DRAINING_MOVE,	 /* no new work; then another pool */
	INSTANCE_DRAINING_MAINT, /* no new work; then a reboot */
	INSTANCE_REBOOTING,
	INSTANCE_REMOVED, /* no longer declared */
};

struct fleet_instance {
	struct decl_instance decl;
	char pool[NAME_SIZE_BYTES]; /* the one pool that it belongs to now */
	enum instance_phase phase;
	bool down;	       /* failed or unknown */
	uint64_t drain_offset; /* of the start record; 0 when active */
	char to_pool[NAME_SIZE_BYTES];
	char wave[NAME_SIZE_BYTES];
	GPtrArray *acks; /* of char *: entries that have drained it */
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
	uint64_t last_sequence; /* of its records applied so far */
};

struct fleet_lease {
	char holder[NAME_SIZE_BYTES]; /* empty: vacant */
	uint64_t incarnation;
	uint64_t token; /* offset of the claim; fences older planners */
};

struct fleet_claim {
	char key[KEY_SIZE_BYTES];
	char service[NAME_SIZE_BYTES];
	char entry[NAME_SIZE_BYTES];
	uint64_t incarnation;
	uint64_t request_id;
	uint64_t offset;
	int64_t key_wall_us;  /* time prefix of the key */
	enum verdict verdict; /* VERDICT_NONE while it may be running */
	uint32_t status;
};

struct fleet_wave {
	struct decl_wave decl;
	GHashTable *done; /* of char *: instances maintained, or failed */
	uint32_t recent_failures; /* bit set of the latest results */
	bool halted;
	uint64_t halt_offset;
};

enum fleet_job_state {
	JOB_WAITING,
	JOB_RUNNING,
	JOB_CANCELLING, /* cancelled while it ran */
	JOB_DONE,
	JOB_CANCELLED,
	JOB_ASIDE, /* failed on several distinct instances */
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
	bool duplicate;			/* this id was applied before */
	char reason[REASON_SIZE_BYTES]; /* why it was ignored */
};

struct fleet;

struct fleet *fleet_new(void);
void fleet_free(struct fleet *fleet);

/*
 * Applies the record at an offset. An offset at or below the applied one
 * changes nothing. Returns whether the record was accepted; the outcome says
 * why if it was not.
 */
bool fleet_apply(struct fleet *fleet, uint64_t offset,
		 const struct record *record, struct fleet_outcome *outcome);

/* Offset of the last applied record; 0 before the first. */
uint64_t fleet_offset(const struct fleet *fleet);

/* Highest wall clock of any applied record. */
int64_t fleet_wall_us(const struct fleet *fleet);

const struct fleet_lease *fleet_lease(const struct fleet *fleet);

/* Look-ups by name; NULL if there is none. */
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

/* The service with the longest path prefix of a request path, or NULL. */
const struct decl_service *fleet_route(const struct fleet *fleet,
				       const char *path);

/* Declarations in force under a file name; NULL if there are none. */
const struct decl *fleet_file(const struct fleet *fleet, const char *file,
			      uint64_t *offset);

/* All of a kind in order of name; the arrays belong to the fleet. */
const GPtrArray *fleet_instances(const struct fleet *fleet);
const GPtrArray *fleet_pools(const struct fleet *fleet);
const GPtrArray *fleet_entries(const struct fleet *fleet);
const GPtrArray *fleet_services(const struct fleet *fleet);
const GPtrArray *fleet_members(const struct fleet *fleet);
const GPtrArray *fleet_waves(const struct fleet *fleet);

/* All jobs or claims in order of name; caller frees the array only. */
GPtrArray *fleet_jobs(const struct fleet *fleet);
GPtrArray *fleet_claims(const struct fleet *fleet);

/* Names of the files in force, in order; caller frees the array only. */
GPtrArray *fleet_files(const struct fleet *fleet);

/* Longest attempt timeout of any service, in microseconds; 0 if none. */
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

uint32_t fleet_jobs_on(const struct fleet *fleet, const char *instance);

/*
 * Reads the time prefix of "<unix milliseconds>-<token>". Returns false if
 * the key has none.
 */
bool claim_key_wall_us(const char *key, int64_t *wall_us);

const char *instance_phase_name(enum instance_phase phase);
const char *job_state_name(enum fleet_job_state state);

#endif
