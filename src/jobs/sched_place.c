/* Placement: the order of the waiting items, and the choice of a worker. */

#include <string.h>

#include "jobs/sched.h"
#include "kernel/decision_log.h"

#define STATS_LOG_PERIOD_US USEC_PER_SEC
/*
 * So many items of a job are placed although the starts of others wait for the
 * worker: a large job does not hold up small ones.
 */
#define START_QUEUE_EXEMPT_COUNT 4

/* Parts of a worker's score, in which the share of free cores is up to 1000. */
#define SCORE_SAME_RACK 2000
#define SCORE_LONG_RUNNING_PACKED 300
#define PENALTY_SIBLING_RACK 100
#define PENALTY_FILLER_NEIGHBOUR 1500
#define PENALTY_PENDING_WAVE 3000
#define PENALTY_FAILED_HERE 4000

/* A job with work that could start now. */
struct candidate {
	struct job *job;
	const char *pool;
	bool long_running;
	bool late; /* can't meet its objective any more */
	uint32_t priority;
	int64_t objective_us;
};

struct pass {
	struct sched *sched;
	GArray *candidates;  /* of struct candidate */
	GHashTable *by_pool; /* pool -> GPtrArray of struct worker */
	/* The same for the workers that are closed as surplus */
	GHashTable *surplus_by_pool;
	GHashTable *full_pools; /* pool -> struct job_step that didn't fit */
	int64_t now_us;
	int64_t wall_ms;
	const struct step_advice *advice; /* of the step; NULL: needs none */
	const char *failed_worker; /* where the item failed last, or NULL */
	bool limits_starts; /* workers with a full start queue are left out */
	/* A worker was left out for this item that may take it soon. */
	bool waits_for_worker;
	/* A worker has the cores for this item, but not all that it needs. */
	bool lacks_more_than_cores;
	struct placement_stats stats;
};

static void add_candidate(struct pass *pass, struct job *job)
{
	struct candidate candidate = {
		.job = job,
		.pool = job->pool,
		.long_running = job_step(job, 0)->long_running,
		.priority = job->policy.priority,
	};

	if (!job->objective_us)
		job_update_objective(pass->sched, job);
	candidate.objective_us = job->objective_us;
	candidate.late = job->late;
	g_array_append_val(pass->candidates, candidate);
}

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->long_running != right->long_running)
		return left->long_running ? -1 : 1;
	if (left->late != right->late)
		return left->late ? 1 : -1;
	if (left->priority != right->priority)
		return left->priority < right->priority ? -1 : 1;
	if (left->objective_us != right->objective_us)
		return left->objective_us < right->objective_us ? -1 : 1;
	return strcmp(left->job->id, right->job->id);
}

static GPtrArray *pool_workers(struct pass *pass, const char *pool)
{
	GPtrArray *workers = g_hash_table_lookup(pass->by_pool, pool);
	GHashTableIter iter;
	gpointer value;

	if (workers)
		return workers;
	workers = g_ptr_array_new();
	g_hash_table_iter_init(&iter, pass->sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		if (!strcmp(worker->pool, pool) &&
		    worker_accepts_work(pass->sched, worker))
			g_ptr_array_add(workers, value);
	}
	g_hash_table_insert(pass->by_pool, g_strdup(pool), workers);
	return workers;
}

/* Whether a worker would accept work if it weren't closed as surplus. */
static bool is_only_surplus(const struct sched *sched, struct worker *worker)
{
	const struct machine *machine = machine_of_worker(sched, worker);
	bool accepts;

	if (worker->cordon != CORDON_MOVE || !machine ||
	    machine->order_pending || machine->moving)
		return false;
	worker->cordon = CORDON_NONE;
	accepts = worker_accepts_work(sched, worker);
	worker->cordon = CORDON_MOVE;
	return accepts;
}

static GPtrArray *surplus_workers(struct pass *pass, const char *pool)
{
	GPtrArray *workers = g_hash_table_lookup(pass->surplus_by_pool, pool);
	GHashTableIter iter;
	gpointer value;

	if (workers)
		return workers;
	workers = g_ptr_array_new();
	g_hash_table_iter_init(&iter, pass->sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		if (!strcmp(worker->pool, pool) &&
		    is_only_surplus(pass->sched, worker))
			g_ptr_array_add(workers, worker);
	}
	g_hash_table_insert(pass->surplus_by_pool, g_strdup(pool), workers);
	return workers;
}

static bool has_label(const struct worker *worker, const char *label)
{
	if (!label[0])
		return true;
	for (guint i = 0; worker->labels && i < worker->labels->len; i++) {
		if (!strcmp(worker->labels->pdata[i], label))
			return true;
	}
	return false;
}

static bool has_cores(const struct worker *worker, const struct job_step *step)
{
	return step->filler ||
	       worker->used_cpu_milli + step->cpu_milli <= worker->cpu_milli;
}

static bool fits(const struct worker *worker, const struct job_step *step)
{
	return has_cores(worker, step) &&
	       worker->used_mem_mb + step->mem_mb <= worker->mem_mb &&
	       worker->used_gpu_count + step->gpu_count <= worker->gpu_count;
}

/* Items on a worker that affect a step. */
struct neighbours {
	uint32_t siblings_count; /* items of the step itself */
	uint32_t long_running_count;
	uint32_t serving_count;
	uint32_t fillers_count;
};

static struct neighbours count_neighbours(const struct worker *worker,
					  const struct job *job,
					  uint32_t occurrence, uint32_t step)
{
	struct neighbours neighbours = { 0 };

	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		uint32_t other_step =
			job_item_step(placement.job, placement.index);
		const struct job_step *other =
			job_step(placement.job, other_step);

		neighbours.long_running_count += other->long_running;
		neighbours.serving_count += other->target_ms > 0;
		neighbours.fillers_count += other->filler;
		if (placement.job == job && other_step == step &&
		    job_item_occurrence(job, placement.index) == occurrence)
			neighbours.siblings_count++;
	}
	return neighbours;
}

/* Whether the items on a worker can affect where this step is placed. */
static bool needs_neighbours(const struct job_step *step)
{
	return step->long_running || step->filler || step->target_ms ||
	       step->max_per_worker;
}

static bool rack_has_sibling(const struct sched *sched, const struct job *job,
			     uint32_t first, uint32_t count, const char *rack)
{
	for (uint32_t i = 0; i < count; i++) {
		const struct worker *worker =
			worker_find(sched, job_item(job, first + i)->worker);

		if (worker && !strcmp(worker->rack, rack))
			return true;
	}
	return false;
}

static int64_t score(const struct pass *pass, const struct worker *worker,
		     const struct job *job, uint32_t occurrence, uint32_t index,
		     const struct neighbours *neighbours)
{
	const struct job_step *step = job_step(job, index);
	uint32_t first = job_first_item(job, occurrence, index);
	int64_t free_share = worker->cpu_milli
				     ? 1000 *
					       ((int64_t)worker->cpu_milli -
						worker->used_cpu_milli) /
					       worker->cpu_milli
				     : 0;
	/*
	 * Best fit: the fullest worker with room is preferred, which keeps
	 * large gaps for large items and empties whole machines.
	 */
	int64_t value = step->long_running ? -free_share / 4 : -free_share;

	if (step->long_running) {
		const struct machine *machine =
			machine_of_worker(pass->sched, worker);

		value += (int64_t)neighbours->long_running_count *
			 SCORE_LONG_RUNNING_PACKED;
		if (rack_has_sibling(pass->sched, job, first, step->item_count,
				     worker->rack))
			value -= PENALTY_SIBLING_RACK;
		if (machine &&
		    machine_is_pending_in_wave(pass->sched, machine->name))
			value -= PENALTY_PENDING_WAVE;
	}
	if (worker->id == pass->failed_worker)
		value -= PENALTY_FAILED_HERE;
	if (step->rack[0] && !strcmp(step->rack, worker->rack))
		value += SCORE_SAME_RACK;
	if (step->colocated && rack_has_sibling(pass->sched, job, first,
						step->item_count, worker->rack))
		value += SCORE_SAME_RACK;
	if (step->filler && neighbours->serving_count)
		value -= PENALTY_FILLER_NEIGHBOUR;
	if (step->target_ms && neighbours->fillers_count)
		value -= PENALTY_FILLER_NEIGHBOUR;
	return value;
}

/* Whether a worker has the room, the label and no advice against it. */
static bool is_suitable(const struct pass *pass, const struct worker *worker,
			const struct job_step *step)
{
	return fits(worker, step) && has_label(worker, step->label) &&
	       !(pass->advice && advice_forbids(pass->advice, worker));
}

/* Whether a suitable worker can't be used now, but may be soon. */
static bool must_wait(const struct pass *pass, const struct worker *worker)
{
	return (pass->limits_starts && starts_queue_is_full(worker)) ||
	       (pass->advice &&
		!advice_allows(pass->sched, pass->advice, worker));
}

static struct worker *choose_from(struct pass *pass, const GPtrArray *workers,
				  const struct job *job, uint32_t occurrence,
				  uint32_t index)
{
	const struct job_step *step = job_step(job, index);
	struct worker *best = NULL;
	int64_t best_score = 0;

	pass->stats.evaluations_count += workers->len;
	for (guint i = 0; i < workers->len; i++) {
		struct worker *worker = workers->pdata[i];
		struct neighbours neighbours = { 0 };
		int64_t value;

		if (!has_cores(worker, step))
			continue;
		if (!is_suitable(pass, worker, step)) {
			pass->lacks_more_than_cores = true;
			continue;
		}
		if (must_wait(pass, worker)) {
			pass->waits_for_worker = true;
			continue;
		}
		if (needs_neighbours(step))
			neighbours = count_neighbours(worker, job, occurrence,
						      index);
		if (step->max_per_worker &&
		    neighbours.siblings_count >= step->max_per_worker)
			continue;
		value = score(pass, worker, job, occurrence, index,
			      &neighbours);
		if (!best || value > best_score ||
		    (value == best_score && strcmp(worker->id, best->id) < 0)) {
			best = worker;
			best_score = value;
		}
	}
	return best;
}

/* Whether any worker with enough free capacity may run the step. */
static bool needs_capacity_only(const struct pass *pass,
				const struct job_step *step)
{
	return !pass->advice && !step->filler && !step->long_running &&
	       !step->label[0] && !step->max_per_worker;
}

/*
 * Whether a worker that is closed as surplus may be used for a step that found
 * no open one. Waiting for cores alone is no reason: the parking policy reopens
 * workers for these, or leaves them to other pools.
 */
static bool may_use_surplus(const struct pass *pass,
			    const struct job_step *step)
{
	return pass->lacks_more_than_cores || step->long_running ||
	       step->label[0] || step->max_per_worker || step->gpu_count ||
	       step->gang;
}

/* Whether a step that needs the same or less found no room in this pass. */
static bool pool_is_full_for(const struct pass *pass, const char *pool,
			     const struct job_step *step)
{
	const struct job_step *rejected =
		g_hash_table_lookup(pass->full_pools, pool);

	return rejected && !step->filler &&
	       step->cpu_milli >= rejected->cpu_milli &&
	       step->mem_mb >= rejected->mem_mb &&
	       step->gpu_count >= rejected->gpu_count;
}

/* Opens a worker that was closed as surplus for a step, if one has room. */
static struct worker *reopen_surplus(struct pass *pass, const char *pool,
				     const struct job *job, uint32_t occurrence,
				     uint32_t index)
{
	GPtrArray *surplus = surplus_workers(pass, pool);
	struct worker *worker =
		choose_from(pass, surplus, job, occurrence, index);

	if (!worker)
		return NULL;
	worker->cordon = CORDON_NONE;
	g_ptr_array_remove_fast(surplus, worker);
	g_ptr_array_add(pool_workers(pass, pool), worker);
	return worker;
}

static struct worker *choose_worker(struct pass *pass, const char *pool,
				    const struct job *job, uint32_t occurrence,
				    uint32_t index)
{
	const struct job_step *step = job_step(job, index);
	bool full = !step->long_running && pool_is_full_for(pass, pool, step);
	struct worker *worker = NULL;

	pass->waits_for_worker = false;
	pass->lacks_more_than_cores = false;
	if (!full)
		worker = choose_from(pass, pool_workers(pass, pool), job,
				     occurrence, index);
	if (worker || pass->waits_for_worker)
		return worker;
	if (may_use_surplus(pass, step))
		worker = reopen_surplus(pass, pool, job, occurrence, index);
	if (!worker && !full && needs_capacity_only(pass, step))
		g_hash_table_insert(pass->full_pools, (gpointer)pool,
				    (gpointer)step);
	return worker;
}

static void place_items(struct pass *pass, const struct candidate *candidate,
			uint32_t occurrence, uint32_t index)
{
	struct job *job = candidate->job;
	uint32_t first = job_first_item(job, occurrence, index);
	uint32_t count = job_step(job, index)->item_count;

	for (uint32_t i = first; i < first + count; i++) {
		struct job_item *item = job_item(job, i);
		struct worker *worker;

		if (item->phase != ITEM_WAITING)
			continue;
		if (item->retry_us > pass->now_us) {
			sched_wake_at(pass->sched, item->retry_us);
			sched_request_placement(pass->sched);
			continue;
		}
		pass->failed_worker = item->failed_worker;
		pass->limits_starts =
			job->placed_count >= START_QUEUE_EXEMPT_COUNT;
		worker = choose_worker(pass, candidate->pool, job, occurrence,
				       index);
		if (!worker)
			return;
		item_place(pass->sched, job, i, worker);
		pass->stats.items_count++;
	}
}

static bool has_broken_member(const struct job *job, uint32_t first,
			      uint32_t count)
{
	for (uint32_t i = first; i < first + count; i++) {
		if (job_item(job, i)->ended_broken)
			return true;
	}
	return false;
}

/*
 * Stops the rest of a run that has lost a member: if the gang has not begun,
 * they would wait for it. One that has begun ends by itself, as broken. No
 * order goes to a silent worker, where it would only delay the proof that
 * nothing runs.
 */
static void stop_incomplete_gang(struct pass *pass, struct job *job,
				 uint32_t first, uint32_t count)
{
	if (has_broken_member(job, first, count))
		return;
	for (uint32_t i = first; i < first + count; i++) {
		const struct worker *worker =
			worker_find(pass->sched, job_item(job, i)->worker);

		if (worker && worker->synced && !worker->unanswered_count)
			item_stop(pass->sched, job, i, "gang-incomplete");
	}
}

/* Places all members of a gang under the same run number, or none. */
static void place_gang(struct pass *pass, const struct candidate *candidate,
		       uint32_t occurrence, uint32_t index)
{
	struct job *job = candidate->job;
	uint32_t first = job_first_item(job, occurrence, index);
	uint32_t count = job_step(job, index)->item_count;
	uint32_t run = 0;
	uint32_t placed_count = 0;
	struct worker *worker;

	if (job_step_count(job, occurrence, index)->waiting < count) {
		stop_incomplete_gang(pass, job, first, count);
		return;
	}
	for (uint32_t i = first; i < first + count; i++)
		run = MAX(run, job_item(job, i)->run);
	pass->failed_worker = NULL;
	pass->limits_starts = false;
	while (placed_count < count) {
		worker = choose_worker(pass, candidate->pool, job, occurrence,
				       index);
		if (!worker)
			break;
		job_item(job, first + placed_count)->run = run;
		item_place(pass->sched, job, first + placed_count, worker);
		placed_count++;
	}
	pass->stats.items_count += placed_count == count ? count : 0;
	/* None of these placements has been stored or ordered yet. */
	for (uint32_t i = 0; placed_count < count && i < placed_count; i++)
		item_release(pass->sched, job, first + i, "gang-incomplete");
}

/* Returns false if nothing needs to be asked about these workers. */
static bool request_advice_from(struct pass *pass,
				const struct candidate *candidate,
				uint32_t occurrence, uint32_t index,
				const GPtrArray *workers)
{
	const struct job_step *step = job_step(candidate->job, index);
	GPtrArray *suitable = g_ptr_array_new();
	bool asked;

	for (guint i = 0; i < workers->len; i++) {
		if (fits(workers->pdata[i], step) &&
		    has_label(workers->pdata[i], step->label))
			g_ptr_array_add(suitable, workers->pdata[i]);
	}
	asked = advice_ask(pass->sched, candidate->job, occurrence, index,
			   suitable);
	g_ptr_array_unref(suitable);
	return asked;
}

/* Workers that are closed as surplus are asked about if no open one will do. */
static void request_advice(struct pass *pass, const struct candidate *candidate,
			   uint32_t occurrence, uint32_t index)
{
	if (request_advice_from(pass, candidate, occurrence, index,
				pool_workers(pass, candidate->pool)) ||
	    !may_use_surplus(pass, job_step(candidate->job, index)))
		return;
	request_advice_from(pass, candidate, occurrence, index,
			    surplus_workers(pass, candidate->pool));
}

static void place_step(struct pass *pass, const struct candidate *candidate,
		       uint32_t occurrence, uint32_t index)
{
	struct job *job = candidate->job;

	pass->advice = advice_get(pass->sched, job, occurrence, index);
	pass->lacks_more_than_cores = false;
	if (job_step(job, index)->gang)
		place_gang(pass, candidate, occurrence, index);
	else
		place_items(pass, candidate, occurrence, index);
	if (pass->advice && job_step_count(job, occurrence, index)->waiting)
		request_advice(pass, candidate, occurrence, index);
}

static bool step_may_start(const struct job *job, uint32_t occurrence,
			   uint32_t step)
{
	return job_step_count(job, occurrence, step)->waiting &&
	       job_step_is_ready(job, occurrence, step);
}

static void place_job(struct pass *pass, const struct candidate *candidate)
{
	struct job *job = candidate->job;

	for (uint32_t i = 0; i < job_spec_occurrences(job->spec); i++) {
		int64_t due_ms = job_due_ms(job, i);

		if (due_ms > pass->wall_ms) {
			sched_wake_at(pass->sched,
				      pass->now_us + (due_ms - pass->wall_ms) *
							     USEC_PER_MSEC);
			break;
		}
		for (uint32_t j = 0; j < job->spec->steps->len; j++) {
			if (step_may_start(job, i, j))
				place_step(pass, candidate, i, j);
		}
	}
}

/* Whether a pass may be able to place an item of the job. */
static bool has_work_to_place(const struct job *job)
{
	if (job->next_state >= JOB_COMPLETE || job->cancelled ||
	    job->stop_all || job->placed_count >= job->left_count)
		return false;
	/* place_job() checks which occurrences are due. */
	if (job->spec->occurrence_count)
		return true;
	for (uint32_t i = 0; i < job->spec->steps->len; i++) {
		if (step_may_start(job, 0, i))
			return true;
	}
	return false;
}

/* Logs the statistics of the passes, at most once a second. */
static void log_stats(struct sched *sched)
{
	const struct placement_stats *stats = &sched->placement_stats;

	if (sched_now_us(sched) < sched->next_placement_log_us)
		return;
	sched->next_placement_log_us =
		sched_now_us(sched) + STATS_LOG_PERIOD_US;
	decision_log("placing",
		     "passes=%" G_GUINT64_FORMAT " jobs=%" G_GUINT64_FORMAT
		     " looks=%" G_GUINT64_FORMAT " items=%" G_GUINT64_FORMAT,
		     stats->passes_count, stats->jobs_count,
		     stats->evaluations_count, stats->items_count);
	sched->placement_stats = (struct placement_stats){ 0 };
}

static void count_stats(struct sched *sched,
			const struct placement_stats *stats)
{
	struct counters *counters = kernel_counters(sched->kernel);

	counter_add(counters, "place_passes_total", stats->passes_count);
	counter_add(counters, "place_jobs_total", stats->jobs_count);
	counter_add(counters, "place_looks_total", stats->evaluations_count);
	counter_add(counters, "place_items_total", stats->items_count);
	sched->placement_stats.passes_count += stats->passes_count;
	sched->placement_stats.jobs_count += stats->jobs_count;
	sched->placement_stats.evaluations_count += stats->evaluations_count;
	sched->placement_stats.items_count += stats->items_count;
	log_stats(sched);
}

void sched_place(struct sched *sched)
{
	struct pass pass = {
		.sched = sched,
		.now_us = sched_now_us(sched),
		.wall_ms = kernel_wall_us(sched->kernel) / USEC_PER_MSEC,
	};
	pass.candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	pass.by_pool = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)g_ptr_array_unref);
	pass.surplus_by_pool =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	pass.full_pools = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < sched->open_jobs->len; i++) {
		if (has_work_to_place(sched->open_jobs->pdata[i]))
			add_candidate(&pass, sched->open_jobs->pdata[i]);
	}
	g_array_sort(pass.candidates, compare_candidates);
	for (guint i = 0; i < pass.candidates->len; i++)
		place_job(&pass,
			  &g_array_index(pass.candidates, struct candidate, i));
	pass.stats.passes_count = 1;
	pass.stats.jobs_count = pass.candidates->len;
	count_stats(sched, &pass.stats);
	g_hash_table_unref(pass.by_pool);
	g_hash_table_unref(pass.surplus_by_pool);
	g_hash_table_unref(pass.full_pools);
	g_array_unref(pass.candidates);
}
