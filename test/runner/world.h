#ifndef RUNNER_WORLD_H
#define RUNNER_WORLD_H

/*
 * Deterministic simulation in virtual time: several nodes, each a real kernel
 * with the real decision plug-ins, and fakes of the log, the endpoints, the
 * platform's instance list and the link between peers. The fakes only pass
 * events on; CPU and network load are not modelled.
 */

#include "kernel/kernel.h"

struct world;

/* A simulated entry instance. */
struct node {
	struct world *world;
	char name[NAME_SIZE_BYTES];
	struct settings *settings;
	struct kernel *kernel; /* NULL after a kill */
	uint64_t incarnation;
	bool paused;
	int64_t paused_at_us;
	bool exited;	      /* after EVENT_LEFT; the kernel is freed next */
	bool log_unreachable; /* the instance list is unreachable too */
	int64_t skew_us;      /* its wall clock minus the world's */
	uint64_t read_offset; /* of the next log record to deliver to it */
	int64_t last_task_order_us;    /* time of its latest task order */
	uint32_t task_order_count;     /* task orders at that time */
	int64_t last_read_arrival_us;  /* when its latest log read arrives */
	GHashTable *unreachable_peers; /* names of nodes */
	GHashTable *request_names; /* request id -> name used by the script */
	GHashTable *relays;	   /* request id -> struct relay */
	GHashTable *listed;	   /* instances that it has seen on the list */
	GHashTable *leaving_since_us; /* instance -> when it saw it leaving */
	char **enabled_plugins; /* decision plug-ins to start; NULL: all */
};

enum endpoint_mode {
	ENDPOINT_AUTO,	     /* answers after its service time */
	ENDPOINT_MANUAL,     /* answers on the command "done" */
	ENDPOINT_FAIL,	     /* answers 500 after 1 ms */
	ENDPOINT_REFUSE,     /* refuses connections */
	ENDPOINT_HANG,	     /* never answers */
	ENDPOINT_DISCONNECT, /* disconnects after half of its service time */
};

/* A fake endpoint. */
struct endpoint {
	char name[NAME_SIZE_BYTES];
	enum endpoint_mode mode;
	int64_t service_us;
	uint32_t running_count; /* requests that run on it now */
	int64_t rebooted_us;	/* latest order to reboot; 0: none */
	bool unlisted;		/* left out of the platform's list */
};

struct jobs_world;

struct world {
	int64_t now_us;	       /* the clocks of nodes are at now_us + 1 */
	int64_t wall_start_us; /* wall clock at now_us 0 */
	uint32_t seed;
	GPtrArray *nodes;    /* of struct node */
	GSequence *schedule; /* of struct scheduled, by time */
	uint64_t scheduled_count;
	GPtrArray *log;		   /* of struct record; offset 1 is index 0 */
	uint64_t log_first_offset; /* older records are trimmed */
	uint64_t last_move_offset; /* latest move commit that was checked */
	bool log_down;
	bool log_lose_answers;	  /* appends take effect, answers are lost */
	bool log_limited;	  /* refuses appends above log_limit_count */
	uint32_t log_limit_count; /* records in one append */
	bool log_drop_appends;	  /* appends and their answers are lost */
	/* Delay after which a dropped append still takes effect; 0: never. */
	int64_t late_append_delay_us;
	int64_t log_delay_us; /* latency of an append and of a read */
	int64_t peer_delay_us;
	GHashTable *endpoints;	      /* name -> struct endpoint */
	int64_t service_us;	      /* default service time */
	enum endpoint_mode mode;      /* default mode */
	GHashTable *accepted_records; /* ids of records that took effect */
	GHashTable *dropped_records; /* ids of records that proposers gave up */
	GHashTable *runs_per_key;    /* idempotency key -> number of runs */
	GHashTable *started_requests;	    /* "node/incarnation/request" */
	uint64_t printed_event_types;	    /* EVENT_BIT() of each */
	uint64_t skipped_record_kinds;	    /* bit set; these are not printed */
	char printed_node[NAME_SIZE_BYTES]; /* empty: all nodes */
	bool quiet;			    /* prints no events */
	struct jobs_world *jobs; /* made by the first command on jobs */
	GString *output;
	uint32_t violation_count;
	uint32_t reply_counts[VERDICT_COUNT]; /* to callers */
	GTree *member_counts; /* member -> uint32_t[VERDICT_COUNT] */
	uint64_t reply_hash;  /* of all replies in order, for repeatability */
};

struct world *world_new(uint32_t seed);
void world_free(struct world *world);

struct node *world_node(struct world *world, const char *name);

/* Adds a node without starting it; an existing one is left as it is. */
struct node *world_add_node(struct world *world, const char *name,
			    const char *dc);

/* Adds and starts a node, or starts a killed one in a new incarnation. */
struct node *world_start_node(struct world *world, const char *name,
			      const char *dc);

/* Frees a node's kernel; messages in flight and running requests go on. */
void world_kill_node(struct world *world, struct node *node);

void world_set_paused(struct world *world, struct node *node, bool paused);

/* Adds an endpoint with the default mode if there is none of this name. */
struct endpoint *world_endpoint(struct world *world, const char *name);

/* Advances virtual time to until_us. */
void world_run_until(struct world *world, int64_t until_us);

/* Delivers an event to a node now. Takes ownership of the event's data. */
void world_inject(struct world *world, struct node *node,
		  const struct event *event);

/* Delivers an event to a node at at_us. Takes ownership of its data. */
void world_schedule(struct world *world, int64_t at_us, struct node *node,
		    const struct event *event);

/* Sends all nodes the state of the log as they see it, and its bounds. */
void world_announce_log(struct world *world);

/* Ends an attempt at an ENDPOINT_MANUAL with attempt->result. */
void world_finish_attempt(struct world *world, struct node *node,
			  const struct event_attempt *attempt);

/* Reports a broken invariant. */
void world_violation(struct world *world, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* Adds a line to the output. */
void world_print(struct world *world, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* link.c: delivers a message to its receivers that the node can reach. */
void link_send(struct world *world, struct node *node,
	       const struct event *event);

/* node.c */
void node_free(struct node *node);
void node_start_plugins(struct node *node);

/* print.c: one line for an event that a node emitted. */
void print_event(struct world *world, struct node *node,
		 const struct event *event);

/* relay.c: requests that one node passes on to another */
void relay_send(struct world *world, struct node *node,
		const struct event *event);
void relay_reply(struct world *world, struct node *node,
		 const struct event *event);
void relay_cancel(struct world *world, struct node *node,
		  const struct event *event);

/* checks.c: invariants, checked on the events that a node emits */
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
