#ifndef RUNNER_JOBS_WORLD_H
#define RUNNER_JOBS_WORLD_H

/*
 * A store, workers and machines in virtual time, for the decisions on jobs.
 * The fakes do what the pages of the platform say, and check what must hold
 * whatever a script expects.
 */

#include "jobs/msg.h"
#include "kernel/kernel.h"
#include "runner/world.h"

/* One process of the fleet. */
struct jobs_entry {
	char name[NAME_SIZE_BYTES];
	struct jobs_world *jobs;
	struct settings *settings;
	struct kernel *kernel; /* NULL: killed */
	uint32_t boot_count;
	bool store_unreachable;
	bool workers_unreachable; /* its orders and their answers are lost */
	int64_t frozen_until_us;
	uint64_t read_offset;
	bool read_due; /* a read is scheduled */
	bool snapshot_due;
	bool is_holder;
	bool reads_urgently;	  /* reads again soon */
	uint64_t last_wake_count; /* at the start of this second */
	int64_t next_wake_check_us;
};

struct fake_run {
	char item[NAME_SIZE_BYTES];
	uint32_t run;
	uint32_t cpu_milli;
	bool lasting;
	uint32_t step_item_count; /* items of its step */
	uint32_t max_unavailable_count;
	int64_t started_us;
	int64_t ends_us;
	enum item_end end;
};

/* An order that the holder has no answer to yet. */
struct fake_order {
	enum order_kind kind;
	uint64_t token;
	char item[NAME_SIZE_BYTES];
	uint32_t run;
	int64_t settled_us; /* answered, or taken for lost */
};

struct fake_worker {
	const char *id; /* interned */
	char pool[NAME_SIZE_BYTES];
	char machine[NAME_SIZE_BYTES];
	uint32_t cpu_milli;
	bool listed;
	bool dead;
	bool unreachable;   /* orders and answers are lost, it runs on */
	bool loses_answers; /* orders are carried out, their answers are lost */
	bool fails_items;   /* fails all that it starts */
	bool draining;	    /* the platform is to take it away */
	bool other_incarnation; /* another boot answers at its address */
	bool stalls_items;	/* what it starts stands still */
	bool allowed_by_advice; /* may run queues that need advice */
	int64_t late_us; /* orders are lost and carried out so late; 0: never */
	int64_t born_ms;
	uint64_t fence_token;
	int64_t lease_until_us;
	uint64_t acked_number;
	GArray *running; /* of struct fake_run */
	GArray *ended;	 /* of struct ended_row */
	uint64_t next_number;
	GHashTable *closed_runs; /* item -> highest run stopped or ended, as
				    pointer */
	GArray *orders; /* of struct fake_order: starts and stops under way */
	struct jobs_entry *waiting_entry;
	struct order *waiting_hold; /* a hold that waits for an end */
	int64_t hold_until_us;
};

struct fake_machine {
	char name[NAME_SIZE_BYTES];
	const char *worker;
	enum machine_state state;
	int64_t up_us;
	uint32_t upkeep_count;
	uint64_t fence_token;
	int64_t last_order_us;
};

struct jobs_world {
	struct world *world;
	GPtrArray *entries;  /* of struct jobs_entry */
	GPtrArray *workers;  /* of struct fake_worker */
	GPtrArray *machines; /* of struct fake_machine */
	GPtrArray *store;    /* of struct job_record, NULL: no record */
	uint64_t epoch;	     /* of the producer of holders */
	bool store_down;
	int64_t store_delay_us;	 /* each write takes effect so late */
	uint32_t read_max_count; /* records of one read; 0: all */
	bool store_lose;	 /* the answer of the next write is late */
	GSequence *schedule;	 /* of struct delivery */
	struct queues *queues;
	int64_t duration_us; /* of one item */
	uint64_t next_call_id;
	GHashTable *done;	/* items whose end was acknowledged as done */
	bool tickets_refused;	/* workers refuse every ticket */
	int64_t stop_us;	/* a run takes so long to stop */
	GHashTable *accepted;	/* ids that callers were told are accepted */
	GHashTable *cancelled;	/* ids that callers have cancelled */
	bool machine_list_down; /* the machines' list does not answer */
	bool quiet;
	uint32_t entry_cpu_milli; /* of entries started later; 0: not told */
	char parking[NAME_SIZE_BYTES]; /* policy of entries started later */
};

struct jobs_world *jobs_world_get(struct world *world);
void jobs_world_free(struct jobs_world *jobs);

/* Advances virtual time. */
void jobs_world_run(struct jobs_world *jobs, int64_t duration_us);

void jobs_violation(struct jobs_world *jobs, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

struct jobs_entry *jobs_entry_find(struct jobs_world *jobs, const char *name);
void jobs_entry_start(struct jobs_world *jobs, const char *name);
void jobs_entry_kill(struct jobs_entry *entry);

/* Delivers a message to an entry instance after a delay. */
void jobs_deliver(struct jobs_world *jobs, struct jobs_entry *entry,
		  enum event_type type, void *msg, int64_t delay_us);

/* Has the store read for an entry instance, or take its write, later. */
void jobs_schedule_read(struct jobs_entry *entry, int64_t delay_us);
void jobs_schedule_write(struct jobs_entry *entry, struct store_write *write,
			 int64_t delay_us);

/* jobs_store.c */
void fake_store_write(struct jobs_entry *entry, struct store_write *write);
/* The write takes effect now. */
void fake_store_apply(struct jobs_entry *entry, struct store_write *write);
void fake_store_read(struct jobs_entry *entry);
void fake_store_schedule_read(struct jobs_entry *entry, int64_t delay_us);

/* jobs_workers.c */
struct fake_worker *fake_worker_find(struct jobs_world *jobs, const char *id);
struct fake_worker *fake_worker_add(struct jobs_world *jobs, const char *id,
				    const char *pool, uint32_t cpu_milli);
void fake_worker_free(gpointer worker);
void fake_worker_order(struct jobs_entry *entry, struct order *order);
/* Ends what is due; returns the next time at which something is. */
int64_t fake_workers_advance(struct jobs_world *jobs);
void fake_workers_list(struct jobs_world *jobs, struct jobs_entry *entry);
void fake_worker_die(struct jobs_world *jobs, struct fake_worker *worker);
void fake_advice(struct jobs_entry *entry, struct advice *advice);
/* Drops a hold that waits; nothing answers it. */
void fake_worker_drop_hold(struct fake_worker *worker);

/* jobs_machines.c */
void fake_machines_list(struct jobs_entry *entry);
void fake_machine_order(struct jobs_entry *entry, struct machine_order *order);

#endif
