#ifndef JOBS_SCHED_STATE_H
#define JOBS_SCHED_STATE_H

/*
 * State of the scheduler: what the holder knows of workers, machines, waves and
 * the load of pools. It is kept in memory only; a new holder rebuilds it from
 * the store, the directory and the workers' lists.
 */

#include "jobs/forecast.h"
#include "jobs/lease.h"
#include "jobs/msg.h"
#include "jobs/order_timing.h"
#include "jobs/resources.h"
#include "kernel/kernel.h"

/* A work item that is placed on a worker. */
struct placement {
	struct job *job;
	uint32_t index;
};

/* Why a worker gets no new work. A wave doesn't replace a higher value. */
enum cordon {
	CORDON_NONE,
	CORDON_DRAIN,	    /* the platform is removing the worker */
	CORDON_MAINTENANCE, /* a wave empties its machine */
	CORDON_MOVE,	    /* its machine is to move to another pool */
};

/*
 * What the holder knows of a worker. A hold is the request that renews the
 * lease of a worker and returns the runs that are active and those that have
 * ended; it may wait for an end. Each worker numbers its ends.
 */
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
	bool listed;	     /* in the directory */
	int64_t unlisted_us; /* when it left it, or was added unlisted */
	bool draining;
	int64_t listed_started_ms; /* start time in the directory; 0: unknown */
	int64_t reported_started_ms; /* start time in its replies; 0: unknown */

	/* This life of it knows our fencing token, and we have its lists. */
	bool synced;
	bool gone; /* ended or its lease expired; nothing runs there */
	bool has_clock;
	int64_t clock_ms; /* lower bound of its clock at clock_read_us */
	int64_t clock_read_us;
	int64_t lease_end_ms; /* of its longest lease, on its clock; 0: none */
	/*
	 * The known life is the one that answered the last hold; a later one
	 * may be up. The times after which no lease lasts any longer:
	 */
	int64_t lease_expiry_us;    /* in the known life */
	int64_t any_life_expiry_us; /* in any life */
	/* Until then a late order may give a lease to a life after the known */
	int64_t late_lease_us;
	int64_t restarted_us; /* when the known life was noticed; 0: first one
			       */
	/* The hold that it answered, and its clock in the answer */
	int64_t life_asked_us; /* 0: none */
	int64_t life_clock_us;
	int64_t life_clock_read_us;

	uint64_t seen_end_number;     /* newest end received */
	uint64_t flushing_end_number; /* covered by the current flush */
	uint64_t stored_end_number;
	uint64_t acked_end_number;
	bool ack_deferred; /* the last hold only asked whether it still lives */

	bool hold_pending;
	int64_t hold_sent_us; /* of the newest hold; older ones don't count */
	int64_t hold_due_us;
	int64_t hold_not_before_us;    /* retry delay */
	uint32_t unanswered_count;     /* consecutive holds without an answer */
	int64_t silent_since_us;       /* first such hold; 0: it answers */
	int64_t answered_us;	       /* when a hold was answered last */
	int64_t any_answered_us;       /* when any order was answered last */
	uint32_t missed_orders_count;  /* since then */
	uint32_t missed_holds_count;   /* since a hold was answered */
	int64_t missed_since_us;       /* first of these holds */
	uint32_t pending_starts_count; /* start orders without a result yet */
	uint32_t pending_stops_count;  /* the same of stop orders */
	uint32_t unstarted_count; /* items whose start was not ordered yet */
	bool resend_pending;	  /* some order may have to be sent again */

	uint32_t used_cpu_milli;
	uint32_t used_mem_mb;
	uint32_t used_gpu_count;
	GArray *placed;	     /* of struct placement */
	GArray *late_starts; /* of struct late_start */

	enum cordon cordon;
	int64_t cordoned_us;	  /* start of CORDON_MOVE */
	int64_t avoid_until_us;	  /* no new work after a refusal or failure */
	uint32_t failures_count;  /* of different jobs since a success */
	uint32_t ejections_count; /* since the last success */
	int64_t fillers_paced_us; /* last change of its fillers' pace */
};

/* A start that may be carried out after its item was taken off the worker. */
struct late_start {
	char item[NAME_SIZE_BYTES];
	uint32_t run;
	int64_t until_us;    /* it isn't carried out later */
	bool refused;	     /* by the present life, should it arrive there */
	bool pending;	     /* a stop is under way */
	int64_t retry_us;    /* earliest next stop */
	struct quota *quota; /* of its member; NULL: none */
	struct resources amount;
	bool counted;	    /* in the quota */
	int64_t stopped_us; /* once it is refused: no run of it is left */
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
	bool order_pending;
	int64_t step_started_us; /* of emptying or of maintenance */
	int64_t retry_us;
	bool outcome_unknown; /* an order got no answer */
	int64_t unlisted_us;  /* as-of time of the first list without it */
	bool departed;	      /* no longer part of the platform */
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
	uint64_t status_write_id; /* write in progress; 0: none */
	bool dirty;		  /* has progress to store */
};

/* A machine in the platform's list. */
struct machine {
	const char *name; /* interned */
	char pool[NAME_SIZE_BYTES];
	enum machine_state state;
	const char *worker; /* interned; NULL: none */
	bool listed;	    /* in the newest list */
	bool moving;	    /* a move was ordered and has not shown yet */
	bool order_pending;
	int64_t recorded_until_us; /* end of its listing in the record */
	char to_pool[NAME_SIZE_BYTES];
	int64_t ordered_us;
	int64_t order_not_before_us;
};

/* Work done by placement passes. */
struct placement_stats {
	uint64_t passes_count;
	uint64_t jobs_count;	    /* jobs with work that could start */
	uint64_t evaluations_count; /* of a worker for an item */
	uint64_t items_count;	    /* items placed */
};

struct parking_ops;

struct sched {
	struct kernel *kernel;
	const struct job_bounds *bounds;
	bool is_holder;
	uint64_t token;
	int64_t held_since_us;
	/* The store has confirmed that it held the jobs at this time. */
	int64_t confirmed_us;
	int64_t earlier_holder_until_us; /* 0: there was no earlier holder */
	bool directory_seen;		 /* a full list has been received */

	GHashTable *workers;		/* id -> struct worker */
	GHashTable *machines;		/* name -> struct machine */
	GHashTable *machines_by_worker; /* interned id -> struct machine */
	GPtrArray *open_jobs; /* of struct job: neither ended nor cancelled */
	GHashTable *mean_run_times; /* queue -> int64_t in us */
	GPtrArray *waves; /* of struct wave; also kept by non-holders */
	/* Wave -> GByteArray: bitmap of the machines with an accepted order */
	GHashTable *stored_wave_progress;
	bool waves_dirty;

	GPtrArray *dirty_jobs;	 /* of struct job */
	GArray *flushing_jobs;	 /* of struct flushing_job */
	uint64_t next_write_id;	 /* even; writes of the lease have odd ids */
	uint64_t flush_write_id; /* 0: no write in progress */
	int64_t flush_sent_us;	 /* of the newest write */
	int64_t next_flush_us;
	int64_t next_drop_us; /* next search for ended jobs to drop */
	bool ends_unstored;   /* ends were received since the last flush */

	struct order_timing order_timing; /* of orders other than long polls */
	uint64_t list_number;	     /* counts the workers' lists received */
	uint32_t busy_workers_count; /* with work, at the last check */
	bool workers_check_requested;
	int64_t next_workers_check_us;
	bool placement_requested;
	int64_t next_placement_us;
	struct placement_stats placement_stats; /* since the last log line */
	int64_t next_placement_log_us;
	int64_t next_tick_us;
	bool machine_list_pending;
	int64_t next_machine_list_us;
	int64_t machine_list_as_of_us; /* request time of the newest list */
	bool machine_list_known;
	bool machine_list_failed;    /* the last request had no answer */
	uint32_t order_window_count; /* orders in the current rate window */
	int64_t order_window_start_us;
	GPtrArray *orders_queued;  /* of struct machine_order; not stored yet */
	GPtrArray *orders_storing; /* in the current write */
	/* Names from the last record of earlier holders; NULL: no record. */
	GHashTable *earlier_ordered_machines;
	GHashTable *advice; /* step name -> struct step_advice */
	bool advice_pending;
	const struct parking_ops *parking;
	GHashTable *loads;  /* pool -> struct pool_load */
	GHashTable *quotas; /* member -> struct quota */
	int64_t next_loads_log_us;
};

/* Load of a pool. */
struct pool_load {
	struct resources running; /* placed items that are not long-running */
	struct resources ready; /* items that could start but are not placed */
	struct resources long_running;
	uint32_t unplaced_count;   /* long-running items on no worker */
	struct resources arriving; /* recent arrival rate of work */
	struct resources burst;	   /* the same over a shorter window */
	uint32_t burst_count;	   /* jobs in that window */
	struct forecast forecast;  /* of the arrival rate */
	struct resources expected; /* arrival rate after a machine's move */
	/* Part of running and ready that is late or beyond its member's rate */
	struct resources late;
	struct resources_peak need;    /* recent peak of the need */
	struct resources_peak on_time; /* the same without the work in late */
	/* Set by the parking policy */
	uint32_t have_count;	/* machines in the pool or moving to it */
	uint32_t need_count;	/* reduced if there are too few for all pools */
	uint32_t on_time_count; /* for long-running work and work on time */
	uint32_t min_count;	/* for long-running work alone */
	bool standby;
};

/* A job whose state is being stored. */
struct flushing_job {
	struct job *job;
	enum job_state state;
};

#endif
