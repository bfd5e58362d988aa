#ifndef RUNNER_WORLD_H
#define RUNNER_WORLD_H

/*
 * Virtual time, several nodes (each a real kernel with the real decision
 * plug-ins) and small fakes of the log, the endpoints, the platform's list
 * and the peer link. The fakes only carry events; they model no machines.
 */

#include "kernel/kernel.h"

struct world;

/* One node: an entry instance. */
struct node {
	struct world *world;
	char name[NAME_SIZE_BYTES];
	struct settings *settings;
	struct kernel *kernel; /* NULL after a kill */
	uint64_t incarnation;
	bool paused;
	int64_t paused_at_us;
	bool exited; /* the process has ended itself; the kernel is freed next
		      */
	bool log_unreachable; /* can't reach the log or the list */
	int64_t skew_us;      /* wall clock ahead of the world's */
	uint64_t read_offset; /* next offset that the log client hands out */
	int64_t last_task_order_us;   /* when it last told the platform of tasks
				       */
	uint32_t task_order_count;    /* how often at that time */
	int64_t last_read_arrival_us; /* when the last of them arrives */
	GHashTable *unreachable_peers; /* names of nodes that it can't reach */
	GHashTable *request_names; /* request id -> name used by the script */
	GHashTable *relays;	   /* request id -> struct relay */
	GHashTable *listed;	   /* names that a list has shown to it */
	GHashTable *leaving_since_us; /* name -> time since which it knows */
	char **enabled_plugins; /* the decision plug-ins that it runs; NULL: all
				 */
};

enum endpoint_mode {
	ENDPOINT_AUTO,	     /* answers after its service time */
	ENDPOINT_MANUAL,     /* answers when the script says so */
	ENDPOINT_FAIL,	     /* answers 500 after 1 ms */
	ENDPOINT_REFUSE,     /* refuses connections */
	ENDPOINT_HANG,	     /* never answers */
	ENDPOINT_DISCONNECT, /* breaks the connection after half of the time */
};

/* A fake endpoint; it also counts what runs on it. */
struct endpoint {
	char name[NAME_SIZE_BYTES];
	enum endpoint_mode mode;
	int64_t service_us;
	uint32_t running_count;
	int64_t rebooted_us; /* latest order to reboot; 0: none */
	bool unlisted;	     /* not on the platform's list */
};

struct jobs_world;

struct world {
	int64_t now_us;
	int64_t wall_start_us;
	uint32_t seed;
	GPtrArray *nodes;    /* of struct node */
	GSequence *schedule; /* of struct scheduled, by time */
	uint64_t scheduled_count;
	GPtrArray *log;		   /* of struct record; offset 1 is index 0 */
	uint64_t log_first_offset; /* retention */
	uint64_t last_move_offset; /* latest move that was checked */
	bool log_down;
	bool log_lose_answers; /* appends take effect, answers are lost */
	bool log_limited;      /* appends of more records are refused: */
	uint32_t log_limit_count;
	bool log_drop_appends;	      /* appends and their answers are lost */
	int64_t late_append_delay_us; /* a dropped append takes effect so
				       * late_records; 0: never
				       */
	int64_t log_delay_us;	      /* of an append and of a read */
	int64_t peer_delay_us;
	GHashTable *endpoints;	 /* name -> struct endpoint */
	int64_t service_us;	 /* default service time */
	enum endpoint_mode mode; /* default mode */
	GHashTable *accepted;	 /* ids of records that took effect */
	GHashTable *dropped;	 /* ids of records that proposers gave up */
	GHashTable *key_runs;	 /* idempotency key -> number of runs */
	GHashTable *started;	 /* "node/request" that reached an endpoint */
	uint64_t printed_event_types;  /* EVENT_BIT() of the types that are
					  printed */
	uint64_t skipped_record_kinds; /* bits of the record kinds that are not
					  printed */
	char printed_node[NAME_SIZE_BYTES]; /* empty: all nodes */
	bool quiet;
	struct jobs_world *jobs; /* made by the first command on jobs */
	GString *output;
	uint32_t violation_count;
	uint32_t reply_counts[VERDICT_COUNT]; /* to callers */
	GTree *member_counts; /* member -> uint32_t[VERDICT_COUNT] */
	uint64_t reply_hash;  /* order of all replies, for repeatability */
};

struct world *world_new(uint32_t seed);
void world_free(struct world *world);

struct node *world_node(struct world *world, const char *name);

/* Adds a node without starting it; an existing one is left as it is. */
struct node *world_add_node(struct world *world, const char *name,
			    const char *dc);

/* Adds and starts a node, or starts a killed one again. */
struct node *world_start_node(struct world *world, const char *name,
			      const char *dc);

/* Ends a node's kernel at once; what it had in flight goes on. */
void world_kill_node(struct world *world, struct node *node);

void world_set_paused(struct world *world, struct node *node, bool paused);

struct endpoint *world_endpoint(struct world *world, const char *name);

/* Runs until a time of the world's clock. */
void world_run_until(struct world *world, int64_t until_us);

/* Delivers an event to a node now. Takes over what the event owns. */
void world_inject(struct world *world, struct node *node,
		  const struct event *event);

/* Delivers an event to a node later. Takes over what the event owns. */
void world_schedule(struct world *world, int64_t at_us, struct node *node,
		    const struct event *event);

/* Tells all reachable nodes whether the log is up, and its bounds. */
void world_announce_log(struct world *world);

/* Ends an attempt that a manual endpoint holds, as its result says. */
void world_finish_attempt(struct world *world, struct node *node,
			  const struct event_attempt *attempt);

/* Reports a broken invariant. */
void world_violation(struct world *world, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* Adds a line to the output. */
void world_print(struct world *world, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* link.c: delivers a message to the nodes that it can reach. */
void link_send(struct world *world, struct node *node,
	       const struct event *event);

/* node.c */
void node_free(struct node *node);
void node_start_plugins(struct node *node);

/* print.c: one line for an event that a node emitted. */
void print_event(struct world *world, struct node *node,
		 const struct event *event);

/* relay.c: the hop between the nodes, as attempts of one of them. */
void relay_send(struct world *world, struct node *node,
		const struct event *event);
void relay_reply(struct world *world, struct node *node,
		 const struct event *event);
void relay_cancel(struct world *world, struct node *node,
		  const struct event *event);

/* checks.c: invariants, on each event that a node emitted. */
void check_send(struct world *world, struct node *node,
		const struct event *event);
void check_reply(struct world *world, struct node *node,
		 const struct event *event);
void track_leaving(struct world *world, struct node *node,
		   const struct event *event);
void check_dropped(struct world *world, const struct event *event);
void check_allowed_slots(struct world *world, const char *endpoint);
void check_reboot(struct world *world, struct node *node,
		  const struct event *event);
void check_record_applied(struct world *world, struct node *node,
			  const struct event *event);
void check_task_order(struct world *world, struct node *node);
void check_fleet_changed(struct world *world, struct node *node,
			 const struct event *event);

/* random.c: random faults and requests from a seed. */
void random_run(struct world *world, uint32_t seed, uint32_t step_count,
		const char *faults, bool trace);

#endif
