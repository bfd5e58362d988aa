#ifndef CORE_FLEET_STATE_H
#define CORE_FLEET_STATE_H

/*
 * Internals of the replicated state, for fleet*.c and the snapshot encoding.
 * Decision modules use fleet.h.
 */

#include "core/fleet.h"

struct fleet_file {
	char name[NAME_SIZE_BYTES];
	uint64_t offset; /* of its config_put record */
	struct decl *decl;
};

/*
 * The latest incarnation of an entry that has left or was removed. It keeps
 * that incarnation from joining again.
 */
struct fleet_fence {
	char name[NAME_SIZE_BYTES];
	uint64_t incarnation;
	uint64_t offset;
};

struct fleet {
	uint64_t offset;
	int64_t wall_us;
	struct fleet_lease lease;
	GHashTable *files;	/* name -> struct fleet_file */
	GHashTable *instances;	/* name -> struct fleet_instance */
	GHashTable *pools;	/* name -> struct fleet_pool */
	GHashTable *entries;	/* name -> struct fleet_entry */
	GHashTable *fences;	/* name -> struct fleet_fence */
	GHashTable *waves;	/* name -> struct fleet_wave */
	GHashTable *claims;	/* key -> struct fleet_claim */
	GQueue *claim_order;	/* of struct fleet_claim, by time prefix */
	GHashTable *jobs;	/* name -> struct fleet_job */
	GHashTable *job_counts; /* instance -> number of its jobs */
	/* Derived from the files: */
	GPtrArray *instance_list;
	GPtrArray *pool_list;
	GPtrArray *entry_list;
	GPtrArray *member_list;	 /* of struct decl_member, not owned */
	GPtrArray *service_list; /* of struct decl_service, not owned */
	GPtrArray *wave_list;
	int64_t longest_timeout_us;
};

typedef bool fleet_apply_fn(struct fleet *fleet, uint64_t offset,
			    const struct record *record,
			    struct fleet_outcome *outcome);

/* Sets the reason and evaluates to false. */
#define fleet_ignore(outcome, ...)                                             \
	(g_snprintf((outcome)->reason, REASON_SIZE_BYTES, __VA_ARGS__), false)

/* Whether the record has the current lease token and is by the lease holder. */
bool fleet_check_lease(const struct fleet *fleet, const struct record *record,
		       uint64_t token, struct fleet_outcome *outcome);

/* Rebuilds the data that is derived from the files. */
void fleet_rebuild_derived(struct fleet *fleet);

/* Rebuilds the instance lists and unavailable counts of the pools. */
void fleet_rebuild_pools(struct fleet *fleet);

struct fleet_instance *fleet_instance_new(void);
struct fleet_wave *fleet_wave_new(void);
struct fleet_job *fleet_job_new(void);

/* Inserts a claim in order of its time prefix and takes ownership of it. */
void fleet_claim_insert(struct fleet *fleet, struct fleet_claim *claim);

/* Sets open claims of an entry that has ended to VERDICT_MAY_HAVE_RUN. */
void fleet_claims_orphan(struct fleet *fleet, const char *entry,
			 uint64_t incarnation);

/* Takes ownership of the job. */
void fleet_job_insert(struct fleet *fleet, struct fleet_job *job);

fleet_apply_fn fleet_apply_config_put;
fleet_apply_fn fleet_apply_config_remove;
fleet_apply_fn fleet_apply_entry_join;
fleet_apply_fn fleet_apply_entry_end;
fleet_apply_fn fleet_apply_lease_claim;
fleet_apply_fn fleet_apply_lease_renew;
fleet_apply_fn fleet_apply_drain_start;
fleet_apply_fn fleet_apply_drain_ack;
fleet_apply_fn fleet_apply_move_commit;
fleet_apply_fn fleet_apply_move_abort;
fleet_apply_fn fleet_apply_maint_reboot;
fleet_apply_fn fleet_apply_maint_done;
fleet_apply_fn fleet_apply_wave_halt;
fleet_apply_fn fleet_apply_instance_health;
fleet_apply_fn fleet_apply_claim;
fleet_apply_fn fleet_apply_claim_result;
fleet_apply_fn fleet_apply_job_submit;
fleet_apply_fn fleet_apply_job_place;
fleet_apply_fn fleet_apply_job_renew;
fleet_apply_fn fleet_apply_job_end;
fleet_apply_fn fleet_apply_job_cancel;
fleet_apply_fn fleet_apply_job_set_aside;

#endif
