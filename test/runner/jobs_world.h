#ifndef RUNNER_JOBS_WORLD_H
#define RUNNER_JOBS_WORLD_H

/*
 * Simulation of job scheduling in virtual time: entry instances, each a real
 * kernel with the plug-ins of src/jobs, and fakes of the store, the workers and
 * the machines. The fakes follow the interfaces that the platform documents,
 * and check invariants that hold in every script.
 */

#include "jobs/msg.h"
#include "jobs/resources.h"
#include "kernel/kernel.h"
#include "runner/world.h"

/* Text of a job whose runs all fail. */
#define JOB_FAILS "fails"

/* Until an order to a worker is answered */
#define FAKE_ORDER_LATENCY_US USEC_PER_MSEC

/* What entries may let a member exceed its limit by. */
#define FAKE_QUOTA_OVERAGE_PERCENT 10

/* A simulated entry instance. */
struct jobs_entry {
	char name[NAME_SIZE_BYTES];
	struct jobs_world *jobs;
	struct settings *settings;
	struct kernel *kernel; /* NULL after a kill */
	uint32_t boot_count;   /* starts and kills */
	bool store_unreachable;
	bool workers_unreachable; /* its orders and their answers are lost */
	bool link_down; /* messages to and from other entries are lost */
	int64_t frozen_until_us; /* handles no events before */
	uint64_t read_offset;	 /* of the next record to read */
	bool read_due;		 /* a read is scheduled */
	bool snapshot_due;	 /* the next read starts from a snapshot */
	bool is_holder;
	bool reads_urgently;	  /* as its latest EVENT_STORE_PACE says */
	uint64_t config_version;  /* of the newest configuration sent to it */
	uint64_t last_wake_count; /* at the previous check */
	int64_t next_wake_check_us;
	int64_t config_poll_us; /* when its waiting poll was sent; 0: none */
};

/* A run of an item on a worker. */
struct fake_run {
	char item[NAME_SIZE_BYTES];
	char member[NAME_SIZE_BYTES]; /* of its job; empty: none */
	uint32_t run;		      /* number of the run of this item */
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu_count;
	bool long_running;
	uint32_t step_item_count;
	uint32_t max_unavailable_count; /* of its step; 0: no budget */
	int64_t started_us;
	int64_t ends_us;
	bool after_cancel; /* its job was cancelled before it started */
	enum item_end end;
	bool gang;
	bool checkpointable;
	char *checkpoint; /* that it started from; NULL: none */
	/* Gang or checkpointable */
	int64_t began_us; /* of its work; 0: it waits for its gang */
	int64_t work_us;  /* in all, with what its checkpoint stands for */
	enum item_end end_at_work; /* how it ends once its gang works */
};

/* A start or stop order in flight: the holder has no answer to it yet. */
struct fake_order {
	const struct jobs_entry *sender; /* its connections carry the order */
	enum order_kind kind;
	uint64_t token;
	char item[NAME_SIZE_BYTES];
	uint32_t run;
	int64_t settled_us; /* when its answer arrives, or it times out */
};

struct fake_worker {
	const char *id; /* interned */
	char pool[NAME_SIZE_BYTES];
	char machine[NAME_SIZE_BYTES];
	char label[NAME_SIZE_BYTES]; /* empty: none */
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu_count;
	bool listed; /* in the directory */
	bool dead;
	bool unreachable;   /* orders and answers are lost, but items run on */
	bool loses_answers; /* orders take effect, but their answers are lost */
	bool delays_starts; /* starts get no answer and are kept in delayed */
	bool delays_holds;  /* the same for holds */
	bool refuses_connections; /* no order can be sent to it */
	bool fails_items;	  /* the items that it starts fail */
	bool draining;		  /* the directory shows it as draining */
	bool other_incarnation;	  /* another worker answers at its address */
	bool stalls_items;	 /* the items that it starts make no progress */
	bool allowed_by_advice;	 /* may run queues that need advice */
	int64_t answer_delay_us; /* of its answers, after it has made them */
	int64_t draining_since_us;
	int64_t started_ms;
	int64_t clock_start_us; /* its clock counts from here */
	uint64_t fence_token;	/* highest token of the orders so far */
	int64_t lease_until_us;
	uint64_t acked_number; /* ends up to this number are acknowledged */
	GArray *running;       /* of struct fake_run */
	GArray *ended;	       /* of struct ended_row, not acknowledged yet */
	uint64_t next_number;  /* of the next end */
	/* Item -> highest run that was stopped or has ended. */
	GHashTable *closed_runs;
	GArray *orders;	       /* of struct fake_order */
	GPtrArray *connecting; /* starts and stops sent while it was dead */
	GPtrArray *delayed;    /* orders to be carried out late */
	struct jobs_entry *waiting_entry; /* that has sent the waiting hold */
	struct order *waiting_hold; /* answered when an item ends, or NULL */
	int64_t hold_until_us;	    /* answered at the latest */
};

struct fake_machine {
	char name[NAME_SIZE_BYTES];
	const char *worker; /* id */
	enum machine_state state;
	int64_t up_at_us; /* end of its move or upkeep */
	uint32_t upkeep_count;
	uint64_t fence_token; /* highest token of the orders so far */
	int64_t last_order_us;
	bool outside_waves; /* no wave includes it; refuses maintenance */
};

/* A configuration that was replaced. */
struct fake_earlier_queues {
	struct queues *queues;
	int64_t replaced_us;
};

/* An API key that a configuration has held. */
struct fake_key {
	char member[NAME_SIZE_BYTES];
	int64_t removed_us; /* when the newest version was published that has
			     * removed it; 0: it is valid */
};

/* A call that needs a key. */
struct fake_call {
	char *key; /* NULL: none was sent */
	int64_t sent_us;
};

struct jobs_world {
	struct world *world;
	GPtrArray *entries;  /* of struct jobs_entry */
	GPtrArray *workers;  /* of struct fake_worker */
	GPtrArray *machines; /* of struct fake_machine */
	GPtrArray *store;    /* of struct job_record, NULL: no record */
	uint64_t epoch; /* highest token that has written; fences lower ones */
	bool store_down;
	bool refuses_progress;	 /* of the holder, for good */
	int64_t store_delay_us;	 /* until a write takes effect */
	uint32_t read_max_count; /* records of one read; 0: all */
	GSequence *schedule;	 /* of struct delivery */
	struct queues *queues;
	GArray *earlier_queues;	  /* of struct fake_earlier_queues */
	GHashTable *member_peaks; /* member -> struct resources that ran */
	int64_t item_duration_us;
	uint64_t next_call_id;
	GHashTable *done_items;	  /* items whose end was acknowledged as done */
	bool tickets_refused;	  /* workers refuse every ticket */
	int64_t lease_max_us;	  /* longest lease that workers grant */
	int64_t stop_duration_us; /* from a stop order to the end of the run */
	GHashTable *accepted_jobs; /* ids of jobs whose submission was stored */
	GHashTable
		*cancelled_jobs; /* ids of jobs that callers have cancelled */
	bool machine_list_down;	 /* the list of machines does not answer */
	int64_t machine_list_delay_us; /* of its answers, after it was read */
	bool machines_unfenced;	       /* machines accept orders of any token */
	bool quiet;		       /* prints no replies and orders */
	uint32_t entry_cpu_milli; /* of entries started later; 0: unknown */
	bool forwards_orders; /* entries started later forward at any load */
	char parking[NAME_SIZE_BYTES]; /* policy of entries started later */
	/* Item or step, with the run -> checkpoint of its first start */
	GHashTable *start_checkpoints;
	uint32_t present_count;	 /* members counted by fake_gang_begin() */
	uint32_t alone_count;	 /* runs that ended as alone */
	bool gang_broken;	 /* runs were broken and haven't ended yet */
	GHashTable *keys;	 /* API key -> struct fake_key */
	GHashTable *keyed_calls; /* call id -> struct fake_call */
	/* By HTTP status: answers to calls that need a key */
	uint32_t keyed_replies_count[600];
	int64_t revoke_us; /* of entries started later; see struct job_bounds */
	uint64_t memory_bytes; /* the same, jobs_max_bytes */
};

struct jobs_world *jobs_world_get(struct world *world);
void jobs_world_free(struct jobs_world *jobs);

/* Advances virtual time by duration_us. */
void jobs_world_run(struct jobs_world *jobs, int64_t duration_us);

void jobs_violation(struct jobs_world *jobs, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

struct jobs_entry *jobs_entry_find(struct jobs_world *jobs, const char *name);
void jobs_entry_start(struct jobs_world *jobs, const char *name);
void jobs_entry_kill(struct jobs_entry *entry);

/* Delivers a message after a delay, unless the entry instance has restarted. */
void jobs_deliver(struct jobs_world *jobs, struct jobs_entry *entry,
		  enum event_type type, void *msg, int64_t delay_us);

/* Schedule a call of fake_store_read() or fake_store_apply(). */
void jobs_schedule_read(struct jobs_entry *entry, int64_t delay_us);
void jobs_schedule_write(struct jobs_entry *entry, struct store_write *write,
			 int64_t delay_us);

/* Schedule a call of fake_config_poll() or fake_config_timeout(). */
void jobs_schedule_config_poll(struct jobs_entry *entry, int64_t delay_us);
void jobs_schedule_config_timeout(struct jobs_entry *entry, int64_t delay_us);

/* jobs_members.c */
void fake_members_init(struct jobs_world *jobs);
void fake_members_clear(struct jobs_world *jobs);
/* Makes a key valid, from the next configuration on. */
void fake_key_add(struct jobs_world *jobs, const char *member, const char *key);
/*
 * A copy of the configuration with the keys that are valid now. without: a
 * member that is left out, or NULL.
 */
struct members *fake_members_copy(const struct jobs_world *jobs,
				  const char *without);
struct queues *fake_queues_copy(const struct jobs_world *jobs,
				const char *without);
struct queue *fake_queue_copy(const struct queue *from);

/* Replaces the configuration; the entries get it when they read it. */
void fake_config_publish(struct jobs_world *jobs, struct queues *queues);
/* The entry instance polls for the newest configuration. */
void fake_config_poll(struct jobs_entry *entry);
/* Answers a poll that has waited for its time. */
void fake_config_timeout(struct jobs_entry *entry);
/* Records a call that is sent now. */
void fake_call_note(struct jobs_world *jobs, const struct job_call *call);

/* jobs_store.c */
bool fake_store_is_reachable(const struct jobs_entry *entry);
void fake_store_write(struct jobs_entry *entry, struct store_write *write);
/* Applies the write now, and schedules its answer. */
void fake_store_apply(struct jobs_entry *entry, struct store_write *write);
void fake_store_read(struct jobs_entry *entry);
void fake_store_schedule_read(struct jobs_entry *entry, int64_t delay_us);

/* jobs_workers.c */
struct fake_worker *fake_worker_find(struct jobs_world *jobs, const char *id);
struct fake_worker *fake_worker_add(struct jobs_world *jobs, const char *id,
				    const char *pool, uint32_t cpu_milli);
void fake_worker_free(gpointer worker);
void fake_worker_order(struct jobs_entry *entry, struct order *order);
/* Ends the runs and holds that are due; returns the time of the next end. */
int64_t fake_workers_advance(struct jobs_world *jobs);
void fake_workers_send_list(struct jobs_world *jobs, struct jobs_entry *entry);
void fake_worker_kill(struct jobs_world *jobs, struct fake_worker *worker);
/*
 * Starts a killed worker again under its id, with clock_us on its clock; it
 * knows nothing of before.
 */
void fake_worker_restart(struct jobs_world *jobs, struct fake_worker *worker,
			 int64_t clock_us);
/* Carries out the orders kept in delayed, in the worker's present life. */
void fake_worker_carry_out(struct jobs_world *jobs, struct fake_worker *worker);
/* Drops the waiting hold without an answer. */
void fake_worker_drop_hold(struct fake_worker *worker);
/* Whether the worker has free capacity for an item of the step. */
bool fake_worker_has_room(const struct fake_worker *worker,
			  const struct job_step *step);
/* Whether this run of an item is on the worker; 0: any run of it. */
bool fake_worker_has_run(const struct fake_worker *worker, const char *item,
			 uint32_t run);
/* Whether a caller has cancelled the job of an item. */
bool fake_job_is_cancelled(const struct jobs_world *jobs, const char *item);

/* jobs_advice.c */
void fake_advice(struct jobs_entry *entry, struct advice *advice);
/* Whether a queue of the pool needs advice. */
bool fake_needs_ticket(const struct jobs_world *jobs, const char *pool);
bool fake_ticket_is_valid(const struct jobs_world *jobs,
			  const struct fake_worker *worker,
			  const struct order *order);

/* jobs_checks.c */

/* The step of an order's item, as it was submitted. */
const struct job_step *fake_order_step(const struct jobs_world *jobs,
				       const struct order *order);
/* Checks a start that the worker is about to carry out. */
void fake_check_start(struct jobs_world *jobs, const struct fake_worker *worker,
		      const struct order *order);
/* Checks a stop before the run is marked as stopped. */
void fake_check_stop(struct jobs_world *jobs, const struct fake_run *run);
/* Checks a start or stop at the time at which it is sent, and records it. */
void fake_check_order_in_flight(struct jobs_entry *sender,
				struct fake_worker *worker,
				const struct order *order, bool lost);
void fake_check_draining(struct jobs_world *jobs,
			 const struct fake_worker *worker,
			 const struct order *order);

/* The submission that an order's item belongs to. */
const struct job_record *fake_order_submission(const struct jobs_world *jobs,
					       const struct order *order);

/* jobs_quota.c: configurations with limits, and checks of these */

/*
 * Checks that a start doesn't bring what its member has running on all workers
 * above the limit, with overage and one item, that was the highest lately.
 */
void fake_check_quota(struct jobs_world *jobs, const struct order *order);
/* Checks the sums of the holder against its items. */
void jobs_check_usage(struct jobs_entry *entry);
void jobs_earlier_queues_clear(gpointer earlier);
/* What a member has running on all workers. */
struct resources fake_member_running(const struct jobs_world *jobs,
				     const char *member);

/* Checks that a call which is answered with success had a valid key. */
void fake_check_reply(const struct jobs_entry *entry,
		      const struct job_reply *reply);

/* jobs_gangs.c */

/* Checks the checkpoint of a start order, also of one that is repeated. */
void fake_checkpoint_check(struct jobs_world *jobs, const struct order *order,
			   const struct job_step *step);
/* Newest checkpoint of a run, or NULL; caller frees. */
char *fake_run_checkpoint(const struct jobs_world *jobs,
			  const struct fake_run *run, bool at_stop);
uint32_t fake_run_work_percent(const struct jobs_world *jobs,
			       const struct fake_run *run);
/* A run that belongs to no gang resumes from its checkpoint. */
void fake_run_resume(struct jobs_world *jobs, struct fake_run *run);
/* The run waits for the other members of its gang. */
void fake_gang_join(struct jobs_world *jobs, struct fake_run *run);
/* Lets a gang work if all members of the run are present. */
void fake_gang_begin(struct jobs_world *jobs, const struct fake_run *run);
/* Ends the other members of a gang that has worked. */
void fake_gang_break(struct jobs_world *jobs, const struct fake_run *run);

/* jobs_machines.c */
void fake_machines_send_list(struct jobs_entry *entry);
void fake_machine_order(struct jobs_entry *entry, struct machine_order *order);

#endif
