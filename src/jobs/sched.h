#ifndef JOBS_SCHED_H
#define JOBS_SCHED_H

/*
 * What the parts of the scheduler share. The scheduler runs on the holder of
 * the jobs only: it places work items on workers, stores each placement before
 * it orders the start, and stores each end before the worker may forget it.
 */

#include "jobs/lease.h"
#include "jobs/msg.h"
#include "kernel/kernel.h"

/* One item on a worker. */
struct placement {
	struct job *job;
	uint32_t index;
};

enum cordon {
	CORDON_NONE,
	CORDON_DRAIN,	    /* the platform takes the worker away */
	CORDON_MAINTENANCE, /* a wave wants its machine */
	CORDON_MOVE,	    /* its machine is to change its pool */
};

struct worker {
	const char *id; /* interned */
	char address[ADDRESS_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES];
	char dc[NAME_SIZE_BYTES];
	char rack[NAME_SIZE_BYTES];
	GPtrArray *labels; /* of interned strings */
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu_count;
	bool listed;	     /* the directory has it */
	int64_t unlisted_us; /* since when it has not */
	bool draining;
	int64_t leaves_us;	  /* 0: not told */
	int64_t listed_born_ms;	  /* of its life as the directory tells; 0: not
				     told */
	int64_t reported_born_ms; /* of its life as it tells itself; 0: not told
				   */

	bool synced; /* it has seen our token, and we its lists */
	bool gone;   /* lapsed or gone; nothing runs there */
	bool has_clock;
	int64_t clock_ms; /* its clock at clock_us of ours, or later */
	int64_t clock_read_us;
	int64_t lease_end_ms; /* the longest one given, on its clock; 0: none */
	int64_t lease_expiry_us; /* by then all leases given have lapsed */

	uint64_t seen_end_number;     /* newest end taken in */
	uint64_t flushing_end_number; /* being stored */
	uint64_t stored_end_number;   /* stored */
	uint64_t acked_end_number;    /* told to the worker */

	bool hold_pending;
	int64_t hold_due_us;
	int64_t hold_not_before_us; /* not before */
	uint32_t unanswered_count;  /* holds in a row without an answer */
	int64_t silent_since_us;    /* first hold of that row; 0: it answers */
	uint32_t pending_starts_count; /* start orders under way */
	bool resend_pending;	       /* an order may have to be sent again */

	uint32_t used_cpu_milli;
	uint32_t used_mem_mb;
	uint32_t used_gpu_count;
	GArray *placed; /* of struct placement */

	enum cordon cordon;
	int64_t cordoned_us;	  /* closed so that its machine can move */
	int64_t avoid_until_us;	  /* refused or failed work */
	uint32_t failures_count;  /* ends failed in a row */
	const char *failed_job;	  /* the first job of that row; interned */
	uint32_t ejections_count; /* in a row */
	int64_t fillers_paced_us; /* pace of its fillers was last changed */
};

enum wave_step {
	WAVE_WAITING,
	WAVE_EMPTYING,
	WAVE_ORDERED, /* being maintained */
	WAVE_DONE,
};

struct wave_machine {
	const char *name; /* interned */
	enum wave_step step;
	bool order_pending; /* an order is under way */
	int64_t step_started_us;
	int64_t retry_us;
	bool outcome_unknown; /* an order got no answer */
	int64_t unlisted_us;  /* asking time of the first list without it */
	bool departed;	      /* it has departed the platform */
};

struct wave {
	uint64_t number;
	GArray *machines; /* of struct wave_machine */
	uint32_t max_down_count;
	int64_t seen_us;
	int64_t due_us;
	bool complete;
	bool active_reported;
	bool complete_reported;
	uint64_t status_write_id; /* under way */
	bool dirty;		  /* its progress is to be stored */
};

/* A machine of the platform's list. */
struct machine {
	const char *name; /* interned */
	char pool[NAME_SIZE_BYTES];
	enum machine_state state;
	const char *worker; /* interned; NULL: none */
	bool listed;	    /* in the newest list */
	/* A move that was ordered */
	bool moving;
	bool order_pending;
	int64_t recorded_until_us; /* its last order stays in the record */
	char to_pool[NAME_SIZE_BYTES];
	int64_t ordered_us;
	int64_t order_not_before_us; /* not ordered before */
};

/* What passes of placement have looked at. */
struct placement_stats {
	uint64_t passes_count;
	uint64_t jobs_count;	    /* with work that could start */
	uint64_t evaluations_count; /* at a worker for an item */
	uint64_t items_count;	    /* placed */
};

struct parking_ops;

struct sched {
	struct kernel *kernel;
	const struct job_bounds *bounds;
	bool is_holder;
	uint64_t token;
	int64_t held_since_us;
	int64_t earlier_holder_until_us;
	bool directory_seen;

	GHashTable *workers;		/* id -> struct worker */
	GHashTable *machines;		/* name -> struct machine */
	GHashTable *machines_by_worker; /* interned id -> struct machine */
	GPtrArray *open_jobs; /* of struct job: neither ended nor cancelled */
	GHashTable *mean_run_times; /* queue -> int64_t, mean of items in us */
	GPtrArray *waves;	    /* of struct wave, kept while not held */
	/* Wave -> GByteArray: its machines that earlier holders have ordered.
	 */
	GHashTable *stored_wave_progress;
	bool waves_dirty;

	GPtrArray *dirty_jobs; /* of struct job */
	GArray *flushing_jobs; /* of struct flushing_job */
	uint64_t next_write_id;
	uint64_t flush_write_id; /* 0: none under way */
	int64_t next_flush_us;	 /* next one not before */
	int64_t next_forget_us;	 /* ended jobs looked for not before */
	bool ends_unstored;	 /* an end was seen that changed no job */

	uint64_t list_number;	     /* of workers' lists that were taken in */
	uint32_t busy_workers_count; /* with work, at the last look */
	bool workers_check_requested;
	int64_t next_workers_check_us; /* next look at all of them not before */
	bool placement_requested;
	int64_t next_placement_us;		/* next pass not before */
	struct placement_stats placement_stats; /* not yet logged */
	int64_t next_placement_log_us;
	int64_t next_tick_us;
	bool machine_list_pending;
	int64_t next_machine_list_us; /* list asked for next */
	int64_t machine_list_as_of_us;
	bool machine_list_known;
	bool machine_list_failed;    /* the newest question had no answer */
	uint32_t order_window_count; /* in this second */
	int64_t order_window_start_us;
	GPtrArray *orders_queued;  /* of struct machine_order, not stored */
	GPtrArray *orders_storing; /* in the write that is under way */
	/* Names of those that earlier holders ordered last; NULL: unknown. */
	GHashTable *earlier_ordered_machines;
	GHashTable *advice;  /* step -> struct step_advice */
	bool advice_pending; /* a question is under way */
	const struct parking_ops *parking;
	GHashTable *loads; /* pool -> struct pool_load */
	int64_t next_loads_log_us;
};

/* What a pool has to do, as far as it shows. */
struct pool_load {
	uint64_t running_milli; /* of items that do not last */
	uint64_t ready_milli;	/* could start, on no worker */
	uint64_t long_running_milli;
	uint32_t unplaced_count; /* lasting items on no worker */
	uint64_t arriving_milli; /* work that comes in, in cores */
	uint64_t burst_milli;	 /* the same over a shorter past */
	uint32_t burst_count;	 /* jobs of that past */
	uint64_t late_milli;	 /* of those running or ready, too late */
	uint64_t need_milli;	 /* highest need of the newest past */
	int64_t need_us;	 /* when that was seen */
	uint64_t on_time_milli;	 /* the same without work that is too late */
	int64_t on_time_us;
	/* Filled in by the parking policy */
	uint32_t have_count;	/* machines that work or come */
	uint32_t need_count;	/* as far as there are machines for all pools */
	uint32_t on_time_count; /* for lasting work, and what is not too late */
	uint32_t min_count;	/* for lasting work alone */
	bool standby;
};

/* State of a job that is being stored. */
struct flushing_job {
	struct job *job;
	enum job_state state;
};

/* sched.c */
int64_t sched_now_us(const struct sched *sched);
void sched_request_placement(struct sched *sched);
void sched_wake_at(struct sched *sched, int64_t deadline_us);
const struct queue *sched_queue(const struct sched *sched,
				const struct job *job);

/* Name of the pool whose workers run a job. */
const char *sched_pool(const struct sched *sched, const struct job *job);

/* sched_item.c: the life of an item */

/* Puts an item on a worker; the start is ordered when this is stored. */
void item_place(struct sched *sched, struct job *job, uint32_t index,
		struct worker *worker);

/* A worker has begun the run: it lists it, or has confirmed its start. */
void item_mark_running(struct sched *sched, struct job *job, uint32_t index);

/* Takes an item that runs nowhere off its worker. */
void item_release(struct sched *sched, struct job *job, uint32_t index,
		  const char *why);

/* A run has ended as its worker lists it. */
void item_on_end(struct sched *sched, struct worker *worker,
		 const struct ended_row *row);

void item_send_start(struct sched *sched, struct job *job, uint32_t index);
void item_stop(struct sched *sched, struct job *job, uint32_t index,
	       const char *why);
/* An order for one item, not yet sent. */
struct order *item_order_new(struct sched *sched, struct worker *worker,
			     const struct job *job, uint32_t index,
			     enum order_kind kind);
void item_send_stop(struct sched *sched, struct worker *worker, struct job *job,
		    uint32_t index);
void item_on_order(struct sched *sched, struct worker *worker,
		   const struct order *order);

/* An order without an answer is sent again after this. */
#define ORDER_AGAIN_US (200 * USEC_PER_MSEC)

/* Stops whatever of a job still runs. */
void job_stop_items(struct sched *sched, struct job *job, const char *why);

void job_mark_dirty(struct sched *sched, struct job *job);

/* Lasting items of a step that are not at work. */
uint32_t step_unavailable_count(const struct job *job, uint32_t occurrence,
				uint32_t step);

/* Whether a planned stop of this item keeps to its step's budget. */
bool item_may_be_stopped(const struct job *job, uint32_t index);

/* Item of an order or a row; NULL if it is not known. */
struct job *sched_find_item(const struct sched *sched, const char *name,
			    uint32_t *index);

/* sched_start.c: start orders, a few at a time to each worker */

/* Placements of the job that this write has stored may be ordered. */
void starts_on_stored(struct sched *sched, struct job *job, uint64_t write_id);
/* A start order has ended. */
void starts_on_order(struct sched *sched, struct worker *worker,
		     const struct order *order);
/* Takes what was not yet ordered off a worker that should start nothing now. */
void starts_cancel(struct sched *sched, struct worker *worker, const char *why);

/* sched_directory.c */
void workers_on_seen(struct sched *sched, const struct workers_seen *seen);

/* sched_worker.c: what is known of workers */
struct worker *worker_get(struct sched *sched, const char *id);
struct worker *worker_find(const struct sched *sched, const char *id);
void worker_free(gpointer worker);
void workers_on_order(struct sched *sched, const struct order *order);
void workers_tick(struct sched *sched);
struct order *worker_order_new(struct sched *sched, struct worker *worker,
			       enum order_kind kind);
void worker_send_order(struct sched *sched, struct worker *worker,
		       struct order *order);
/* Nothing runs there any more. */
void worker_mark_gone(struct sched *sched, struct worker *worker,
		      const char *why);
/* One of the items that are placed on the worker, and what they are. */
struct placement worker_placement(const struct worker *worker, uint32_t at);
struct job_item *placement_item(const struct placement *placement);
const struct job_step *placement_step(const struct placement *placement);
void worker_attach(struct worker *worker, struct job *job, uint32_t index);
void worker_detach(struct worker *worker, const struct job *job,
		   uint32_t index);
bool worker_accepts_work(const struct sched *sched,
			 const struct worker *worker);
void worker_record_end(struct sched *sched, struct worker *worker,
		       const struct job *job, bool failed);
/* The end numbers that were being stored are stored. */
void workers_on_stored(struct sched *sched);
void workers_on_flush(struct sched *sched);

/* sched_objective.c */

/*
 * Measures by when the job should end to be worth its full price, and whether
 * what is left of it takes longer than until then.
 */
void job_measure_objective(const struct sched *sched, struct job *job);

/* sched_place.c */
void sched_place(struct sched *sched);

/* sched_advice.c: which workers may run a step */
struct step_advice;
/* What is known of a step; NULL if its queue needs no advice. */
struct step_advice *advice_get(struct sched *sched, const struct job *job,
			       uint32_t occurrence, uint32_t step);
/* Whether the worker may run the step, and a valid ticket is at hand. */
bool advice_allows(const struct sched *sched, const struct step_advice *advice,
		   const struct worker *worker);
/* Asks about those of the workers (struct worker) that nothing is known of. */
void advice_ask(struct sched *sched, const struct job *job, uint32_t occurrence,
		uint32_t step, const GPtrArray *workers);
/* Ticket of a start order; NULL if there is none. Caller frees. */
char *advice_ticket(const struct sched *sched, const struct job *job,
		    uint32_t index, const struct worker *worker);
/* The worker has refused the ticket. */
void advice_refused(struct sched *sched, const struct job *job, uint32_t index,
		    const struct worker *worker);
/* Its life has ended, and with it all its tickets. */
void advice_forget_worker(struct sched *sched, const struct worker *worker);
void advice_on_given(struct sched *sched, const struct advice *msg);
void advice_tick(struct sched *sched);
void step_advice_free(gpointer advice);

/* sched_flush.c */
void sched_flush(struct sched *sched);
void sched_on_written(struct sched *sched, const struct store_write *write);

/* sched_stragglers.c: items that stand still or crawl */
void stragglers_on_hold(struct sched *sched, struct worker *worker);

/* sched_pacing.c: items that fill beside items that serve */
void fillers_on_hold(struct sched *sched, struct worker *worker);

/* sched_load.c */
void loads_measure(struct sched *sched);
struct pool_load *pool_load_get(struct sched *sched, const char *pool);
/* Takes the run time of an item that has ended as done into account. */
void loads_record_run_time(struct sched *sched, const struct job *job,
			   int64_t took_us);
/* How long an item of this step may run, in microseconds. */
int64_t step_estimate_us(const struct sched *sched, const struct job *job,
			 uint32_t step);

/* sched_wave.c */
void waves_on_seen(struct sched *sched, const struct wave_seen *seen);
void waves_on_ordered(struct sched *sched, const struct machine_order *order);
void waves_on_machines(struct sched *sched);
void waves_tick(struct sched *sched);
void waves_on_written(struct sched *sched, const struct store_write *write);
void wave_free(gpointer wave);
void waves_on_record(struct sched *sched, const struct job_record *record);
/* Adds the progress of waves that has changed to a write. */
void waves_add_progress(struct sched *sched, struct store_write *write);
bool machine_is_pending_in_wave(const struct sched *sched, const char *name);
/* Whether a wave empties or maintains it now. */
bool machine_is_active_in_wave(const struct sched *sched, const char *name);

/* sched_machine.c */
void machines_on_seen(struct sched *sched, const struct machines_seen *seen);
void machines_tick(struct sched *sched);
void machine_free(gpointer machine);
struct machine *machine_find(const struct sched *sched, const char *name);
struct machine *machine_of_worker(const struct sched *sched,
				  const struct worker *worker);
/*
 * Whether nothing can run on a machine. The list may be older than its newest
 * worker, so a worker that has ended proves nothing.
 */
bool machine_is_known_empty(const struct sched *sched,
			    const struct machine *machine);
void machines_on_ordered(struct sched *sched,
			 const struct machine_order *order);

/* sched_machine_order.c: orders for machines, which the store learns of first
 */

/* Whether an earlier holder may have ordered it within the last lease. */
bool machine_may_have_order(const struct sched *sched, const char *name);
/* Earliest time of the first order for a machine. */
int64_t machine_order_not_before_us(const struct sched *sched,
				    const char *name);
/* Whether the order will be sent, or end as refused; false: not now. */
bool machine_order_queue(struct sched *sched,
			 const struct machine_order *order);
/* Adds the orders that wait to a write. */
void machine_orders_add_queued(struct sched *sched, struct store_write *write);
/* Sends them, or ends them as refused if they were not stored. */
void machine_orders_on_written(struct sched *sched, bool stored);
void machine_orders_on_record(struct sched *sched,
			      const struct job_record *record);
void machine_orders_clear(struct sched *sched);

#endif
