#ifndef JOBS_SCHED_H
#define JOBS_SCHED_H

/*
 * Internal interface of the scheduler. It runs only on the holder of the jobs
 * lease: it places work items on workers, stores each placement before it
 * orders the start, and stores each end before it acknowledges it to the
 * worker.
 */

#include "jobs/sched_state.h"

/* sched.c */
int64_t sched_now_us(const struct sched *sched);
void sched_request_placement(struct sched *sched);
void sched_wake_at(struct sched *sched, int64_t deadline_us);

/* Finds an item by its name; returns its job, or NULL if it is unknown. */
struct job *sched_find_item(const struct sched *sched, const char *name,
			    uint32_t *index);

/* sched_item.c: the state machine of an item */

/* Puts an item on a worker; the start is ordered once this is stored. */
void item_place(struct sched *sched, struct job *job, uint32_t index,
		struct worker *worker);

/* Called when the worker lists the run or has confirmed its start. */
void item_mark_running(struct sched *sched, struct job *job, uint32_t index);

/* Takes an item that certainly doesn't run off its worker. */
void item_release(struct sched *sched, struct job *job, uint32_t index,
		  const char *reason);

/* Handles an ended run from a worker's list. */
void item_on_end(struct sched *sched, struct worker *worker,
		 const struct ended_row *row);

/*
 * Keeps the checkpoint of a run if it is the newest: of a gang, the one of most
 * progress, as those of its members arrive in any order. NULL or empty: none.
 */
void item_set_checkpoint(struct job *job, uint32_t index,
			 const char *checkpoint, uint32_t percent);

void item_send_start(struct sched *sched, struct job *job, uint32_t index);

/* Ends the run of an item; releases it if its start was not ordered yet. */
void item_stop(struct sched *sched, struct job *job, uint32_t index,
	       const char *reason);

/* Returns a new order for the current run of an item. */
struct order *item_order_new(struct sched *sched, struct worker *worker,
			     const struct job *job, uint32_t index,
			     enum order_kind kind);
void item_send_stop(struct sched *sched, struct worker *worker, struct job *job,
		    uint32_t index);
void item_on_order(struct sched *sched, struct worker *worker,
		   const struct order *order);

/* Delay before an order without an answer is sent again. */
#define ORDER_RESEND_DELAY_US (200 * USEC_PER_MSEC)

/* Stops all items of a job, and any that are found running later. */
void job_stop_items(struct sched *sched, struct job *job, const char *reason);

/* The next write stores the state of the job. */
void job_mark_dirty(struct sched *sched, struct job *job);
/* The next write stores the progress of the item. */
void item_mark_dirty(struct sched *sched, struct job *job, uint32_t index);
/* The next write stores the state and the progress of all items. */
void job_mark_all_dirty(struct sched *sched, struct job *job);

/* Ends a job as complete if all its items are done. */
void job_check_complete(struct sched *sched, struct job *job);

/* Items of a long-running step that are not running or not ready yet. */
uint32_t step_unavailable_count(const struct job *job, uint32_t occurrence,
				uint32_t step);

/* Whether stopping this item now keeps its step within max_unavailable. */
bool item_may_be_stopped(const struct job *job, uint32_t index);

/* sched_start.c: start orders, a few at a time to each worker */

/* Whether so many starts wait for the worker that others should get the work.
 */
bool starts_queue_is_full(const struct worker *worker);

/* Whether another start order may be sent to the worker now. */
bool starts_may_send(const struct sched *sched, const struct worker *worker);

/* Notes that the store has accepted a write of this holder. */
void starts_on_confirmed(struct sched *sched, const struct store_write *write);

/* Orders the starts that the worker may get now, the oldest first. */
void starts_send_next(struct sched *sched, struct worker *worker);

/* Starts the items whose placement was stored by this write. */
void starts_on_stored(struct sched *sched, struct job *job, uint64_t write_id);
/* Handles the result of a start order. */
void starts_on_order(struct sched *sched, struct worker *worker,
		     const struct order *order);
/* Releases the placements on a worker whose start was not ordered yet. */
void starts_cancel(struct sched *sched, struct worker *worker,
		   const char *reason);

/* sched_life.c: the lives of a worker, and which of them a run belongs to */

/*
 * Releases the items of a worker whose last known life has ended, but for those
 * that may run in a later life: an order for them is under way, or they were
 * listed or their start got its result, from an unknown life or from none, at
 * or after ended_us. That is the time at which every life had ended; 0 if only
 * the known one has.
 */
void worker_mark_gone(struct sched *sched, struct worker *worker,
		      const char *reason, int64_t ended_us);

/* Notes the lease that an order may have given, once it has its result. */
void worker_note_lease(struct sched *sched, struct worker *worker,
		       const struct order *order);
/* Takes off the items whose leases have expired on a worker that is silent. */
void worker_release_lapsed(struct sched *sched, struct worker *worker);

/* Notes the life that has answered a hold. */
void worker_note_life(struct sched *sched, struct worker *worker,
		      const struct order *order);

/*
 * Whether the answer of an order comes from the life that answered the last
 * hold. False if its clock doesn't show that: the clock of a later life begins
 * at zero or elsewhere.
 */
bool worker_life_is_known(const struct sched *sched,
			  const struct worker *worker,
			  const struct order *order);

/*
 * Counts the leases of the present life from now, or from when an order may
 * still be carried out that was sent to a former one.
 */
void worker_extend_life_leases(struct sched *sched, struct worker *worker);

/* sched_late.c: starts that may be carried out late */

/*
 * An order without an answer may be carried out seconds later; this long after
 * it was sent, or was given up, it is taken for lost.
 */
#define ORDER_LATE_MAX_US (15 * USEC_PER_SEC)

/* Called when an item is taken off a worker. */
void late_starts_note(struct sched *sched, struct worker *worker,
		      const struct job *job, uint32_t index);
/* A new life of the worker has answered; it refuses none of them yet. */
void late_starts_on_restart(struct sched *sched, struct worker *worker);
/* Stops the runs that the present life doesn't refuse yet. */
void late_starts_tick(struct sched *sched, struct worker *worker);
/* Whether such a start is known, and so its run will be stopped. */
bool late_starts_contain(const struct worker *worker, const char *item,
			 uint32_t run);
/* Handles the result of a stop. */
void late_starts_on_order(struct sched *sched, struct worker *worker,
			  const struct order *order);

/* sched_directory.c: updates of the workers from the directory */
void workers_on_seen(struct sched *sched, const struct workers_seen *seen);

/* sched_worker.c: the workers, their leases, and orders to them */

/* Finds a worker, or adds it. */
struct worker *worker_get(struct sched *sched, const char *id);
struct worker *worker_find(const struct sched *sched, const char *id);
void worker_free(gpointer worker);
void workers_on_order(struct sched *sched, const struct order *order);
void workers_tick(struct sched *sched);
struct order *worker_order_new(struct sched *sched, struct worker *worker,
			       enum order_kind kind);
void worker_send_order(struct sched *sched, struct worker *worker,
		       struct order *order);
/* The placement at an index of worker->placed. */
struct placement worker_placement(const struct worker *worker, uint32_t at);
struct job_item *placement_item(const struct placement *placement);
const struct job_step *placement_step(const struct placement *placement);
void worker_attach(struct worker *worker, struct job *job, uint32_t index);
void worker_detach(struct worker *worker, const struct job *job,
		   uint32_t index);
bool worker_accepts_work(const struct sched *sched,
			 const struct worker *worker);

/* Each life of a worker numbers its ends anew. */
void worker_forget_ends(struct worker *worker);

/* sched_eject.c */

/* A run has ended as done, or a long-running one is at work. */
void worker_record_success(struct worker *worker);
/* A run has failed; ejects a worker on which too many jobs fail. */
void worker_record_failure(struct sched *sched, struct worker *worker,
			   struct job *job);

/* sched_hold.c: renewing the leases of workers and reading their lists */

/* Delay after a hold without an answer, for a worker that has no items. */
#define HOLD_IDLE_RETRY_US USEC_PER_SEC

void hold_send_if_due(struct sched *sched, struct worker *worker);
void hold_on_result(struct sched *sched, struct worker *worker,
		    const struct order *order);

/* A flush covers the ends received so far; they are stored when it is done. */
void workers_on_flush(struct sched *sched);
void workers_on_stored(struct sched *sched);

/* sched_objective.c */

/*
 * Sets the objective of a job, which is the time by which it must end to be
 * worth the full price, and whether it is expected to end later.
 */
void job_update_objective(const struct sched *sched, struct job *job);

/* sched_place.c */

/* Places what can start now. */
void sched_place(struct sched *sched);

/* sched_advice.c: which workers may run a step */
struct step_advice;

/* Finds or adds the advice on a step; NULL if its queue needs none. */
struct step_advice *advice_get(struct sched *sched, const struct job *job,
			       uint32_t occurrence, uint32_t step);

/* Whether there is a valid ticket for the step on this worker. */
bool advice_allows(const struct sched *sched, const struct step_advice *advice,
		   const struct worker *worker);

/* Whether the answer was that this worker may not run the step. */
bool advice_forbids(const struct step_advice *advice,
		    const struct worker *worker);

/*
 * Asks about those of the workers (struct worker) that lack an answer. Returns
 * false if none does.
 */
bool advice_ask(struct sched *sched, const struct job *job, uint32_t occurrence,
		uint32_t step, const GPtrArray *workers);

/* Ticket for a start order; NULL if there is none. Caller frees. */
char *advice_ticket(const struct sched *sched, const struct job *job,
		    uint32_t index, const struct worker *worker);

/*
 * Drops a ticket that the worker has refused. If none was sent, the refusal
 * shows that the job needs advice.
 */
void advice_refused(struct sched *sched, struct job *job, uint32_t index,
		    const struct worker *worker);

/* Drops all advice on a worker that is gone. */
void advice_forget_worker(struct sched *sched, const struct worker *worker);
void advice_on_given(struct sched *sched, const struct advice *msg);
void advice_tick(struct sched *sched);
void step_advice_free(gpointer advice);

/* sched_flush.c */

/* Starts a write of all changes unless one is in progress. */
void sched_flush(struct sched *sched);
void sched_on_written(struct sched *sched, const struct store_write *write);

/* sched_stragglers.c: moves stalled and slow items to other workers */
void stragglers_on_hold(struct sched *sched, struct worker *worker);

/* sched_pacing.c: limits filler items in favour of serving items */
void fillers_on_hold(struct sched *sched, struct worker *worker);

/* sched_load.c: the load of the pools */
void loads_measure(struct sched *sched);
struct pool_load *pool_load_get(struct sched *sched, const char *pool);

/* Adds the run time of a successful item to the mean of its queue. */
void loads_record_run_time(struct sched *sched, const struct job *job,
			   int64_t took_us);

/* Expected run time of an item of this step. */
int64_t step_estimate_us(const struct sched *sched, const struct job *job,
			 uint32_t step);

/* sched_wave.c: maintenance of machines in waves */
void waves_on_seen(struct sched *sched, const struct wave_seen *seen);
void waves_on_ordered(struct sched *sched, const struct machine_order *order);
void waves_on_machines(struct sched *sched);
void waves_tick(struct sched *sched);
void waves_on_written(struct sched *sched, const struct store_write *write);
void wave_free(gpointer wave);
void waves_on_record(struct sched *sched, const struct job_record *record);

/* Adds a record to the write for each wave that has made progress. */
void waves_add_progress(struct sched *sched, struct store_write *write);

/* Whether an open wave has yet to finish this machine. */
bool machine_is_pending_in_wave(const struct sched *sched, const char *name);

/* Whether a wave empties or maintains this machine now. */
bool machine_is_active_in_wave(const struct sched *sched, const char *name);

/* sched_machine.c: the platform's list of machines */
void machines_on_seen(struct sched *sched, const struct machines_seen *seen);
void machines_tick(struct sched *sched);
void machine_free(gpointer machine);
struct machine *machine_find(const struct sched *sched, const char *name);
struct machine *machine_of_worker(const struct sched *sched,
				  const struct worker *worker);

/*
 * Whether nothing can run on a machine. That its listed worker has ended is no
 * proof: the list may be older than the machine's newest worker.
 */
bool machine_is_known_empty(const struct sched *sched,
			    const struct machine *machine);
void machines_on_ordered(struct sched *sched,
			 const struct machine_order *order);

/* sched_machine_order.c: orders for machines, stored before they are sent */

/* Whether an order of an earlier holder may still be in effect. */
bool machine_may_have_order(const struct sched *sched, const char *name);

/* Earliest time of this holder's first order for a machine; 0: any time. */
int64_t machine_order_not_before_us(const struct sched *sched,
				    const char *name);

/*
 * Queues an order, which will be sent or end as refused. Returns false if the
 * machine is unknown or the rate limit is reached.
 */
bool machine_order_queue(struct sched *sched,
			 const struct machine_order *order);

/* Adds a record of the queued orders to the write. */
void machine_orders_add_queued(struct sched *sched, struct store_write *write);

/* Sends the orders of the write; refuses them if they were not stored. */
void machine_orders_on_written(struct sched *sched, bool stored);
void machine_orders_on_record(struct sched *sched,
			      const struct job_record *record);
void machine_orders_clear(struct sched *sched);

#endif
