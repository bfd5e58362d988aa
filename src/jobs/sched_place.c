/* Which waiting work item goes to which worker, and in which order. */

#include <string.h>

#include "jobs/sched.h"
#include "kernel/decision_log.h"

#define WORK_LOG_US USEC_PER_SEC

/* Weights of a worker's score, in thousandths of its free capacity. */
#define SCORE_RACK_NEAR 2000
#define SCORE_LASTING_PACKED 300
#define SCORE_SIBLING_RACK 100
#define SCORE_BESIDE_FILLER 1500
#define SCORE_WAVE_AHEAD 3000

/* A job with work that could start now. */
struct candidate {
	struct job *job;
	const char *pool;
	bool lasting;
	bool late; /* its objective can't be met */
	uint32_t priority;
	int64_t objective_us;
};

struct pass {
	struct sched *sched;
	GArray *candidates;  /* of struct candidate */
	GHashTable *by_pool; /* pool -> GPtrArray of struct worker */
	GHashTable *full;    /* pool -> struct job_step that found no room */
	int64_t now_us;
	int64_t wall_ms;
	const struct step_advice *advice; /* of the step; NULL: needs none */
	struct place_work work;
};

static void add_candidate(struct pass *pass, struct job *job)
{
	const struct queue *queue = sched_queue(pass->sched, job);
	struct candidate candidate = {
		.job = job,
		.pool = sched_pool(pass->sched, job),
		.lasting = job_step(job, 0)->lasting,
		.priority = queue ? queue->priority : 0,
	};

	if (!job->objective_us)
		job_measure_objective(pass->sched, job);
	candidate.objective_us = job->objective_us;
	candidate.late = job->late;
	g_array_append_val(pass->candidates, candidate);
}

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->lasting != right->lasting)
		return left->lasting ? -1 : 1;
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
		    worker_may_take(pass->sched, worker))
			g_ptr_array_add(workers, value);
	}
	g_hash_table_insert(pass->by_pool, g_strdup(pool), workers);
	return workers;
}

static GPtrArray *closed_workers(const struct pass *pass, const char *pool)
{
	GPtrArray *workers = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pass->sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;
		const struct machine *machine =
			machine_of_worker(pass->sched, worker);

		if (worker->leaving != LEAVING_PARKED ||
		    strcmp(worker->pool, pool) != 0 || !machine ||
		    machine->asked || machine->moving)
			continue;
		worker->leaving = LEAVING_NOT;
		if (worker_may_take(pass->sched, worker))
			g_ptr_array_add(workers, worker);
		worker->leaving = LEAVING_PARKED;
	}
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

static bool fits(const struct worker *worker, const struct job_step *step)
{
	if (!step->filler &&
	    worker->used_cpu_milli + step->cpu_milli > worker->cpu_milli)
		return false;
	return worker->used_mem_mb + step->mem_mb <= worker->mem_mb &&
	       worker->used_gpu_count + step->gpu_count <= worker->gpu_count;
}

/* What a worker runs, as far as it matters to one step. */
struct neighbours {
	uint32_t siblings_count; /* items of the step itself */
	uint32_t lasting_count;
	uint32_t serving_count;
	uint32_t fillers_count;
};

static struct neighbours look_around(const struct worker *worker,
				     const struct job *job, uint32_t occurrence,
				     uint32_t step)
{
	struct neighbours seen = { 0 };

	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);
		uint32_t their_step =
			job_item_step(placement.job, placement.index);
		const struct job_step *theirs =
			job_step(placement.job, their_step);

		seen.lasting_count += theirs->lasting;
		seen.serving_count += theirs->target_ms > 0;
		seen.fillers_count += theirs->filler;
		if (placement.job == job && their_step == step &&
		    job_item_occurrence(job, placement.index) == occurrence)
			seen.siblings_count++;
	}
	return seen;
}

/* Where neither limits nor neighbours matter, they need not be looked at. */
static bool needs_neighbours(const struct job_step *step)
{
	return step->lasting || step->filler || step->target_ms ||
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
		     const struct neighbours *seen)
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
	 * The fullest worker with room goes first: room for large items stays
	 * in one piece, and whole machines come free.
	 */
	int64_t value = step->lasting ? -free_share / 4 : -free_share;

	if (step->lasting) {
		const struct machine *machine =
			machine_of_worker(pass->sched, worker);

		value += (int64_t)seen->lasting_count * SCORE_LASTING_PACKED;
		if (rack_has_sibling(pass->sched, job, first, step->item_count,
				     worker->rack))
			value -= SCORE_SIBLING_RACK;
		if (machine &&
		    machine_is_wanted_by_wave(pass->sched, machine->name))
			value -= SCORE_WAVE_AHEAD;
	}
	if (step->rack[0] && !strcmp(step->rack, worker->rack))
		value += SCORE_RACK_NEAR;
	if (step->one_rack && rack_has_sibling(pass->sched, job, first,
					       step->item_count, worker->rack))
		value += SCORE_RACK_NEAR;
	if (step->filler && seen->serving_count)
		value -= SCORE_BESIDE_FILLER;
	if (step->target_ms && seen->fillers_count)
		value -= SCORE_BESIDE_FILLER;
	return value;
}

static struct worker *choose_among(struct pass *pass, const GPtrArray *workers,
				   const struct job *job, uint32_t occurrence,
				   uint32_t index)
{
	const struct job_step *step = job_step(job, index);
	struct worker *best = NULL;
	int64_t best_score = 0;

	pass->work.looks_count += workers->len;
	for (guint i = 0; i < workers->len; i++) {
		struct worker *worker = workers->pdata[i];
		struct neighbours seen = { 0 };
		int64_t value;

		if (!fits(worker, step) || !has_label(worker, step->label))
			continue;
		if (pass->advice &&
		    !advice_allows(pass->sched, pass->advice, worker))
			continue;
		if (needs_neighbours(step))
			seen = look_around(worker, job, occurrence, index);
		if (step->max_per_worker &&
		    seen.siblings_count >= step->max_per_worker)
			continue;
		value = score(pass, worker, job, occurrence, index, &seen);
		if (!best || value > best_score ||
		    (value == best_score && strcmp(worker->id, best->id) < 0)) {
			best = worker;
			best_score = value;
		}
	}
	return best;
}

/* Only room decides where such a step runs. */
static bool is_plain(const struct pass *pass, const struct job_step *step)
{
	return !pass->advice && !step->filler && !step->lasting &&
	       !step->label[0] && !step->max_per_worker;
}

/* Whether a smaller step has found no room in this pass. */
static bool is_full(const struct pass *pass, const char *pool,
		    const struct job_step *step)
{
	const struct job_step *failed = g_hash_table_lookup(pass->full, pool);

	return failed && !step->filler &&
	       step->cpu_milli >= failed->cpu_milli &&
	       step->mem_mb >= failed->mem_mb &&
	       step->gpu_count >= failed->gpu_count;
}

static struct worker *choose(struct pass *pass, const char *pool,
			     const struct job *job, uint32_t occurrence,
			     uint32_t index)
{
	const struct job_step *step = job_step(job, index);
	struct worker *worker;
	GPtrArray *closed;

	if (!step->lasting && is_full(pass, pool, step))
		return NULL;
	worker = choose_among(pass, pool_workers(pass, pool), job, occurrence,
			      index);
	if (!worker && is_plain(pass, step))
		g_hash_table_insert(pass->full, (gpointer)pool, (gpointer)step);
	if (worker || !step->lasting)
		return worker;
	/*
	 * The limits of lasting items may need more workers than their cores
	 * do: one that was closed so that its machine can move stays.
	 */
	closed = closed_workers(pass, pool);
	worker = choose_among(pass, closed, job, occurrence, index);
	g_ptr_array_unref(closed);
	if (worker)
		worker->leaving = LEAVING_NOT;
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
			sched_want_place(pass->sched);
			continue;
		}
		worker = choose(pass, candidate->pool, job, occurrence, index);
		if (!worker)
			return;
		item_place(pass->sched, job, i, worker);
		pass->work.items_count++;
	}
}

/* All members of a gang are placed together, under one run number, or none. */
static void place_gang(struct pass *pass, const struct candidate *candidate,
		       uint32_t occurrence, uint32_t index)
{
	struct job *job = candidate->job;
	uint32_t first = job_first_item(job, occurrence, index);
	uint32_t count = job_step(job, index)->item_count;
	uint32_t run = 0;
	uint32_t placed_count = 0;
	struct worker *worker;

	for (uint32_t i = first; i < first + count; i++) {
		if (job_item(job, i)->phase != ITEM_WAITING)
			return;
		run = MAX(run, job_item(job, i)->run);
	}
	while (placed_count < count) {
		worker = choose(pass, candidate->pool, job, occurrence, index);
		if (!worker)
			break;
		job_item(job, first + placed_count)->run = run;
		item_place(pass->sched, job, first + placed_count, worker);
		placed_count++;
	}
	pass->work.items_count += placed_count == count ? count : 0;
	/* Nothing of it was stored or ordered yet. */
	for (uint32_t i = 0; placed_count < count && i < placed_count; i++)
		item_release(pass->sched, job, first + i, "gang-incomplete");
}

static void ask_advice(struct pass *pass, const struct candidate *candidate,
		       uint32_t occurrence, uint32_t index)
{
	const struct job_step *step = job_step(candidate->job, index);
	const GPtrArray *workers = pool_workers(pass, candidate->pool);
	GPtrArray *suited = g_ptr_array_new();

	for (guint i = 0; i < workers->len; i++) {
		if (fits(workers->pdata[i], step) &&
		    has_label(workers->pdata[i], step->label))
			g_ptr_array_add(suited, workers->pdata[i]);
	}
	advice_ask(pass->sched, candidate->job, occurrence, index, suited);
	g_ptr_array_unref(suited);
}

static void place_step(struct pass *pass, const struct candidate *candidate,
		       uint32_t occurrence, uint32_t index)
{
	struct job *job = candidate->job;

	pass->advice = advice_of_step(pass->sched, job, occurrence, index);
	if (job_step(job, index)->gang)
		place_gang(pass, candidate, occurrence, index);
	else
		place_items(pass, candidate, occurrence, index);
	if (pass->advice && job_step_count(job, occurrence, index)->waiting)
		ask_advice(pass, candidate, occurrence, index);
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

/* Whether a pass can do anything for the job. */
static bool may_be_placed(const struct job *job)
{
	if (job->next_state >= JOB_COMPLETE || job->cancelled ||
	    job->stop_all || job->placed_count >= job->left_count)
		return false;
	/* Occurrences are due one by one. */
	if (job->spec->occurrence_count)
		return true;
	for (uint32_t i = 0; i < job->spec->steps->len; i++) {
		if (step_may_start(job, 0, i))
			return true;
	}
	return false;
}

/* How much the passes look at, and what comes of it, at most once a second. */
static void log_work(struct sched *sched)
{
	const struct place_work *work = &sched->place_work;

	if (sched_now_us(sched) < sched->place_log_us)
		return;
	sched->place_log_us = sched_now_us(sched) + WORK_LOG_US;
	decision_log("placing",
		     "passes=%" G_GUINT64_FORMAT " jobs=%" G_GUINT64_FORMAT
		     " looks=%" G_GUINT64_FORMAT " items=%" G_GUINT64_FORMAT,
		     work->passes_count, work->jobs_count, work->looks_count,
		     work->items_count);
	sched->place_work = (struct place_work){ 0 };
}

static void count_work(struct sched *sched, const struct place_work *work)
{
	struct counters *counters = kernel_counters(sched->kernel);

	counter_add(counters, "place_passes_total", work->passes_count);
	counter_add(counters, "place_jobs_total", work->jobs_count);
	counter_add(counters, "place_looks_total", work->looks_count);
	counter_add(counters, "place_items_total", work->items_count);
	sched->place_work.passes_count += work->passes_count;
	sched->place_work.jobs_count += work->jobs_count;
	sched->place_work.looks_count += work->looks_count;
	sched->place_work.items_count += work->items_count;
	log_work(sched);
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
	pass.full = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < sched->open->len; i++) {
		if (may_be_placed(sched->open->pdata[i]))
			add_candidate(&pass, sched->open->pdata[i]);
	}
	g_array_sort(pass.candidates, compare_candidates);
	for (guint i = 0; i < pass.candidates->len; i++)
		place_job(&pass,
			  &g_array_index(pass.candidates, struct candidate, i));
	pass.work.passes_count = 1;
	pass.work.jobs_count = pass.candidates->len;
	count_work(sched, &pass.work);
	g_hash_table_unref(pass.by_pool);
	g_hash_table_unref(pass.full);
	g_array_unref(pass.candidates);
}
