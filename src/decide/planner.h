#ifndef DECIDE_PLANNER_H
#define DECIDE_PLANNER_H

/*
 * The parts of the planner plug-in: planner.c holds the lease and the plug-in,
 * planner_watch.c what is known of instances and data centres, and
 * planner_steps.c drives moves and waves.
 */

#include "decide/pending.h"
#include "policy/moves.h"
#include "policy/waves.h"

/* What this entry instance has seen of one instance. */
struct instance_watch {
	char name[NAME_SIZE_BYTES];
	bool was_live;		   /* on some list */
	bool listed_live;	   /* on the newest list */
	bool listed_leaving;	   /* on the newest list */
	uint64_t drain_offset;	   /* of the drain that the times are about */
	int64_t drain_seen_us;	   /* when we first saw this drain */
	int64_t unwanted_since_us; /* since when its reason is gone; 0: stands
				    */
	int64_t reboot_seen_us;	   /* when we saw it rebooting; 0: it is not */
	int64_t reboot_requested_us; /* our latest request; 0: none */
	bool seen_off_list;	   /* it was off the list, so it has rebooted */
	int64_t cooldown_until_us; /* no planned step before */
};

struct planner {
	struct kernel *kernel;
	uint64_t token;	       /* of the lease; 0: we are not the planner */
	int64_t lease_seen_us; /* latest record of any planner */
	int64_t claim_at_us;   /* with its spread; 0: not drawn yet */
	int64_t renew_at_us;
	int64_t tick_at_us;
	bool draining; /* the process drains; it claims no lease */
	bool log_reachable;
	uint64_t log_next_offset;
	struct pending *pending;
	char starting_instance[NAME_SIZE_BYTES]; /* instance of the latest start
						  */
	const struct moves_ops *moves;
	void *moves_self;
	const struct waves_ops *waves;
	void *waves_self;
	GHashTable *watches; /* instance -> struct instance_watch */
	bool has_list;
	GHashTable *dead_entries; /* set of entries that were not heard */
	GHashTable *roster;	/* entry -> struct record_entry, as last seen */
	GHashTable *served_dcs; /* set of data centres that had an entry */
	GHashTable
		*hold_until_us; /* data centre -> int64_t: no commit before */
	int64_t hold_all_until_us;
	GHashTable *loads;   /* "sender/pool" -> struct reported_load */
	GHashTable *demands; /* pool -> int64_t, at the latest tick */
};

/* planner.c */

/* A new record of the instance kinds with our token. */
struct record *planner_record(const struct planner *planner,
			      enum record_kind kind, const char *instance);

/* planner_watch.c */

void planner_watch_init(struct planner *planner);
void planner_watch_free(struct planner *planner);

struct instance_watch *planner_get_watch(struct planner *planner,
					 const char *instance);

/* EVENT_INSTANCE_LIST, EVENT_PEER_STATE and EVENT_PEER_RECEIVED. */
void planner_on_instance_list(struct planner *planner,
			      const struct event_list *list);
void planner_on_peer_state(struct planner *planner,
			   const struct event_peer *peer);
void planner_on_peer_msg(struct planner *planner,
			 const struct event_peer *peer);

/* Follows the roster; holds data centres in which a process has ended. */
void planner_on_roster_changed(struct planner *planner);

/* Holds all data centres: what ran under earlier planners is unknown. */
void planner_hold_all_dcs(struct planner *planner);

/* Whether some entry instance of a data centre was heard. */
bool planner_dc_has_live_entry(const struct planner *planner, const char *dc);

/* Whether requests of an ended process may still run in a data centre. */
bool planner_dc_is_held(const struct planner *planner, const char *dc);

/* Proposes instance_down and instance_up as the list says. */
void planner_propose_health(struct planner *planner);

/* Adds up the demand of all entry instances for each pool. */
void planner_sum_demands(struct planner *planner);

/* planner_steps.c */

/* Takes an accepted record of the instance kinds, of any planner. */
void planner_on_record(struct planner *planner, const struct record *record);

/* Carries on an instance's move or maintenance, if something is due. */
void planner_step_instance(struct planner *planner,
			   const struct fleet_instance *instance);

/* Carries on all, and starts what the policies choose. */
void planner_tick(struct planner *planner);

#endif
