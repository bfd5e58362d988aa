#ifndef DECIDE_PLANNER_H
#define DECIDE_PLANNER_H

/*
 * Internals of the planner plug-in: planner.c keeps the lease and handles the
 * events, planner_watch.c tracks instances, data centres and demand, and
 * planner_steps.c drives moves and maintenance.
 */

#include "decide/pending.h"
#include "policy/moves.h"
#include "policy/waves.h"

/* What this entry instance has observed of one instance. */
struct instance_watch {
	char name[NAME_SIZE_BYTES];
	bool was_live;	     /* some list had it as live */
	bool listed_live;    /* in the newest list */
	bool listed_leaving; /* in the newest list */
	/* Of the drain that started at drain_offset, and of its reboot: */
	uint64_t drain_offset;
	int64_t drain_seen_us;	     /* when we first saw the drain */
	int64_t unwanted_since_us;   /* move not needed since; 0: needed */
	int64_t reboot_seen_us;	     /* first seen rebooting; 0: it is not */
	int64_t reboot_requested_us; /* our latest request; 0: none */
	bool seen_off_list;	     /* off the list, so it has rebooted */
	int64_t cooldown_until_us;   /* no planned step before */
};

struct planner {
	struct kernel *kernel;
	uint64_t token;	       /* of the lease; 0: we do not hold it */
	int64_t lease_seen_us; /* start of the lease timeout */
	int64_t claim_at_us;   /* with jitter; 0: not drawn yet */
	int64_t renew_at_us;
	int64_t tick_at_us;
	bool draining; /* this process drains and claims no lease */
	bool log_reachable;
	uint64_t log_next_offset;
	struct pending *pending;
	char starting_instance[NAME_SIZE_BYTES]; /* of the latest start */
	const struct moves_ops *moves;
	void *moves_self;
	const struct waves_ops *waves;
	void *waves_self;
	GHashTable *watches;	   /* instance -> struct instance_watch */
	bool has_list;		   /* some list was accepted */
	GHashTable *dead_entries;  /* set of entries in PEER_DEAD */
	GHashTable *roster;	   /* entry -> struct record_entry, last seen */
	GHashTable *served_dcs;	   /* set of data centres that had an entry */
	GHashTable *hold_until_us; /* data centre -> int64_t */
	int64_t hold_all_until_us; /* of all data centres */
	GHashTable *loads;   /* "dc/sender/pool" -> struct reported_load */
	GHashTable *demands; /* pool -> int64_t, at the latest tick */
};

/* planner.c */

/* A new record about an instance, with our fencing token. */
struct record *planner_record(const struct planner *planner,
			      enum record_kind kind, const char *instance);

/* planner_watch.c */

void planner_watch_init(struct planner *planner);
void planner_watch_free(struct planner *planner);

struct instance_watch *planner_get_watch(struct planner *planner,
					 const char *instance);

void planner_on_instance_list(struct planner *planner,
			      const struct event_list *list);
void planner_on_peer_state(struct planner *planner,
			   const struct event_peer *peer);
void planner_on_peer_msg(struct planner *planner,
			 const struct event_peer *peer);

/* Updates the roster, and holds data centres in which a process has ended. */
void planner_on_roster_changed(struct planner *planner);

/*
 * Holds all data centres when we become planner, since we don't know which
 * processes have ended before.
 */
void planner_hold_all_dcs(struct planner *planner);

/* Whether some entry instance of a data centre is not known to be dead. */
bool planner_dc_has_live_entry(const struct planner *planner, const char *dc);

/*
 * Whether a data centre is held: requests of a process that has ended may still
 * run there, so no drain counts as complete. A hold lasts for the longest
 * timeout of any service.
 */
bool planner_dc_is_held(const struct planner *planner, const char *dc);

/* Proposes instance_down and instance_up as the observations demand. */
void planner_propose_health(struct planner *planner);

/* Adds up the demand of all entry instances for each pool. */
void planner_sum_demands(struct planner *planner);

/* planner_steps.c */

/* Handles an accepted record about an instance, of any planner. */
void planner_on_record(struct planner *planner, const struct record *record);

/* Advances an instance's move or maintenance, if something is due. */
void planner_step_instance(struct planner *planner,
			   const struct fleet_instance *instance);

/* Advances all instances, and starts the steps that the policies choose. */
void planner_tick(struct planner *planner);

#endif
