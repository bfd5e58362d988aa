/*
 * Placement: the choice of a worker for an item, and of the workers that the
 * advice service is asked about.
 */

#include <string.h>

#include "jobs/sched_place.h"

/* Parts of a worker's score, in which the share of free cores is up to 1000. */
#define SCORE_SAME_RACK 2000
#define SCORE_LONG_RUNNING_PACKED 300
#define PENALTY_SIBLING_RACK 100
#define PENALTY_FILLER_NEIGHBOUR 1500
#define PENALTY_PENDING_WAVE 3000
#define PENALTY_FAILED_HERE 4000

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

void place_note_sibling(struct pass *pass, const struct worker *worker)
{
	if (pass->sibling_racks)
		g_hash_table_add(pass->sibling_racks, g_strdup(worker->rack));
}

void place_forget_siblings(struct pass *pass)
{
	g_clear_pointer(&pass->sibling_racks, g_hash_table_unref);
}

/* Computed once a step: large steps have thousands of items. */
static bool rack_has_sibling(struct pass *pass, const struct job *job,
			     uint32_t first, uint32_t count, const char *rack)
{
	if (pass->sibling_racks)
		return g_hash_table_contains(pass->sibling_racks, rack);
	pass->sibling_racks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (uint32_t i = 0; i < count; i++) {
		const struct worker *worker = worker_find(
			pass->sched, job_item_view(job, first + i)->worker);

		if (worker)
			place_note_sibling(pass, worker);
	}
	return g_hash_table_contains(pass->sibling_racks, rack);
}

static int64_t score(struct pass *pass, const struct worker *worker,
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
		if (rack_has_sibling(pass, job, first, step->item_count,
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
	if (step->colocated &&
	    rack_has_sibling(pass, job, first, step->item_count, worker->rack))
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

bool place_worker_stays_best(const struct pass *pass,
			     const struct worker *worker,
			     const struct job_step *step)
{
	return !step->long_running && !step->max_per_worker &&
	       has_cores(worker, step) && is_suitable(pass, worker, step) &&
	       !must_wait(pass, worker);
}

/* Free capacity of a worker, which may have more placed than it declares. */
static struct resources free_capacity(const struct worker *worker)
{
	return (struct resources){
		.amounts = {
			[RESOURCE_CPU_MILLI] =
				worker->cpu_milli - MIN(worker->used_cpu_milli,
							worker->cpu_milli),
			[RESOURCE_MEM_MB] =
				worker->mem_mb -
				MIN(worker->used_mem_mb, worker->mem_mb),
			[RESOURCE_GPU_COUNT] =
				worker->gpu_count - MIN(worker->used_gpu_count,
							worker->gpu_count),
		},
	};
}

/*
 * The most that any one worker of a pool has free of each resource. It is not
 * lowered as items are placed, so it is an upper bound during the pass.
 */
static struct resources *largest_free(struct pass *pass, const char *pool)
{
	struct resources *largest =
		g_hash_table_lookup(pass->largest_free_by_pool, pool);
	const GPtrArray *workers;

	if (largest)
		return largest;
	workers = pool_workers(pass, pool);
	largest = g_new0(struct resources, 1);
	for (guint i = 0; i < workers->len; i++) {
		struct resources amounts = free_capacity(workers->pdata[i]);

		*largest = resources_max(largest, &amounts);
	}
	g_hash_table_insert(pass->largest_free_by_pool, g_strdup(pool),
			    largest);
	return largest;
}

/*
 * Whether no worker of the pool has the capacity for a step. Spares the look at
 * each of them while much work waits.
 */
static bool exceeds_all_workers(struct pass *pass, const char *pool,
				const struct job_step *step)
{
	const struct resources *most = largest_free(pass, pool);

	if (!step->filler &&
	    step->cpu_milli > most->amounts[RESOURCE_CPU_MILLI])
		return true;
	if (step->mem_mb <= most->amounts[RESOURCE_MEM_MB] &&
	    step->gpu_count <= most->amounts[RESOURCE_GPU_COUNT])
		return false;
	/* The worker with the most free cores has too little of the rest. */
	pass->lacks_more_than_cores |= pool_workers(pass, pool)->len > 0;
	return true;
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
	struct resources *most;
	struct resources amounts;

	if (!worker)
		return NULL;
	worker->cordon = CORDON_NONE;
	g_ptr_array_remove_fast(surplus, worker);
	g_ptr_array_add(pool_workers(pass, pool), worker);
	most = largest_free(pass, pool);
	amounts = free_capacity(worker);
	*most = resources_max(most, &amounts);
	return worker;
}

struct worker *place_choose_worker(struct pass *pass, const char *pool,
				   const struct job *job, uint32_t occurrence,
				   uint32_t index)
{
	const struct job_step *step = job_step(job, index);
	bool full = !step->long_running && pool_is_full_for(pass, pool, step);
	struct worker *worker = NULL;

	pass->waits_for_worker = false;
	pass->lacks_more_than_cores = false;
	if (!full && !exceeds_all_workers(pass, pool, step))
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
void place_request_advice(struct pass *pass, const struct candidate *candidate,
			  uint32_t occurrence, uint32_t index)
{
	if (request_advice_from(pass, candidate, occurrence, index,
				pool_workers(pass, candidate->pool)) ||
	    !may_use_surplus(pass, job_step(candidate->job, index)))
		return;
	request_advice_from(pass, candidate, occurrence, index,
			    surplus_workers(pass, candidate->pool));
}
