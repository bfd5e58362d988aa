/*
 * Moves machines between pools by demand. A machine that its pool does not need
 * is closed to new work. Once it is empty, it moves to a pool that lacks
 * machines, or else to a standby pool, where it costs nothing.
 */

#include <string.h>

#include "jobs/parking.h"
#include "kernel/decision_log.h"
#include "kernel/plugin.h"

/* Usable share of a machine; placement never fills all of it. */
#define USABLE_PERCENT 90
/* Spare machines added to the need of each pool. */
#define SPARE_COUNT 1
/* An empty machine moves to a standby pool this long after it was closed. */
#define PARK_AFTER_US (500 * USEC_PER_MSEC)

#define LOG_INTERVAL_US USEC_PER_SEC

/* A machine that may be closed, reopened or moved. */
struct candidate {
	struct machine *machine;
	struct worker *worker; /* NULL: the machine is switched off */
	uint32_t used_cpu_milli;
	bool has_long_running; /* long-running items are placed on it */
};

static bool is_standby(const struct sched *sched, const char *name)
{
	const struct pool *pool =
		queues_pool(kernel_queues(sched->kernel), name);

	return pool && pool->standby;
}

static bool runs_long_running(const struct worker *worker)
{
	for (guint i = 0; i < worker->placed->len; i++) {
		struct placement placement = worker_placement(worker, i);

		if (placement_step(&placement)->long_running)
			return true;
	}
	return false;
}

/* The pool of a machine, or the target of its move. */
static const char *target_pool(const struct machine *machine)
{
	return machine->moving ? machine->to_pool : machine->pool;
}

static void count_machines(struct sched *sched)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct pool_load *)value)->have_count = 0;
	g_hash_table_iter_init(&iter, sched->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct machine *machine = value;
		const struct worker *worker =
			worker_find(sched, machine->worker);

		if (!machine->moving &&
		    (machine->state != MACHINE_UP ||
		     (worker && worker->cordon != CORDON_NONE)))
			continue;
		pool_load_get(sched, target_pool(machine))->have_count++;
	}
}

static void add_capacity(const struct worker *worker,
			 struct resources *capacity)
{
	const struct resources amounts = {
		.amounts = {
			[RESOURCE_CPU_MILLI] = worker->cpu_milli,
			[RESOURCE_MEM_MB] = worker->mem_mb,
			[RESOURCE_GPU_COUNT] = worker->gpu_count,
		},
	};

	resources_add(capacity, &amounts, 1);
}

/* Workers of a pool, or of all pools, and what they have together. */
struct pool_capacity {
	struct resources total;
	uint32_t workers_count;
};

/*
 * For a pool without a worker, the workers of all pools serve as an estimate of
 * a machine.
 */
static struct pool_capacity measure_capacity(const struct sched *sched,
					     const char *pool)
{
	struct pool_capacity own = { 0 };
	struct pool_capacity all = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		if (!worker->cpu_milli)
			continue;
		add_capacity(worker, &all.total);
		all.workers_count++;
		if (strcmp(worker->pool, pool) != 0)
			continue;
		add_capacity(worker, &own.total);
		own.workers_count++;
	}
	return own.workers_count ? own : all;
}

/* Machines for some work, by the resource that needs most of them. */
static uint32_t machines_needed(const struct resources *work,
				const struct pool_capacity *capacity)
{
	uint64_t most_count = 0;

	for (uint32_t i = 0; i < RESOURCE_COUNT; i++) {
		uint64_t usable =
			capacity->total.amounts[i] * USABLE_PERCENT / 100;
		uint64_t count;

		if (!usable)
			continue;
		count = (work->amounts[i] * capacity->workers_count + usable -
			 1) /
			usable;
		most_count = MAX(most_count, count);
	}
	return (uint32_t)most_count + SPARE_COUNT;
}

static void compute_needs(struct sched *sched)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->loads);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct pool_load *load = value;
		struct pool_capacity capacity = measure_capacity(sched, name);

		load->standby = is_standby(sched, name);
		if (load->standby || !capacity.workers_count)
			continue;
		load->need_count =
			machines_needed(&load->need.amount, &capacity);
		load->on_time_count =
			machines_needed(&load->on_time.amount, &capacity);
		load->min_count =
			machines_needed(&load->long_running, &capacity);
		/* Placement limits may need more machines than the CPU does. */
		if (load->unplaced_count)
			load->need_count =
				MAX(load->need_count, load->have_count + 1);
	}
}

/* Sum of the needs of all pools, and the machines available. */
struct supply {
	uint64_t machines_count;
	uint64_t need_count;
	uint64_t on_time_count;
	uint64_t min_count;
};

static struct supply total_supply(struct sched *sched)
{
	struct supply supply = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool_load *load = value;

		if (load->standby)
			continue;
		supply.need_count += load->need_count;
		supply.on_time_count += load->on_time_count;
		supply.min_count += load->min_count;
	}
	g_hash_table_iter_init(&iter, sched->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct machine *machine = value;

		if (machine->moving || machine->state == MACHINE_UP)
			supply.machines_count++;
	}
	return supply;
}

/*
 * A pool's count between low_count and high_count, in proportion to the
 * machines that are left when all pools have their low_count.
 */
static uint32_t interpolate_count(uint32_t low_count, uint32_t high_count,
				  uint64_t low_total_count,
				  uint64_t high_total_count,
				  uint64_t machines_count)
{
	if (high_count <= low_count || high_total_count <= low_total_count ||
	    machines_count <= low_total_count)
		return low_count;
	return low_count + (uint32_t)((high_count - low_count) *
				      (machines_count - low_total_count) /
				      (high_total_count - low_total_count));
}

/*
 * With too few machines for all pools, long-running work comes first, then work
 * that can still end in time. What is left is shared in proportion.
 */
static void fit_needs_to_supply(struct sched *sched)
{
	struct supply supply = total_supply(sched);
	GHashTableIter iter;
	gpointer value;

	if (supply.need_count <= supply.machines_count)
		return;
	g_hash_table_iter_init(&iter, sched->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_load *load = value;

		if (load->standby || load->unplaced_count)
			continue;
		if (supply.on_time_count <= supply.machines_count)
			load->need_count = interpolate_count(
				load->on_time_count, load->need_count,
				supply.on_time_count, supply.need_count,
				supply.machines_count);
		else
			load->need_count = interpolate_count(
				load->min_count, load->on_time_count,
				supply.min_count, supply.on_time_count,
				supply.machines_count);
	}
}

static bool may_be_moved(const struct sched *sched,
			 const struct machine *machine)
{
	return machine->state == MACHINE_UP && !machine->moving &&
	       !machine->order_pending &&
	       !machine_is_active_in_wave(sched, machine->name);
}

static void move(struct sched *sched, struct machine *machine, const char *pool)
{
	struct machine_order order = { .upkeep = false };

	g_strlcpy(order.machine, machine->name, sizeof(order.machine));
	g_strlcpy(order.pool, pool, sizeof(order.pool));
	if (machine_order_queue(sched, &order)) {
		machine->order_pending = true;
		pool_load_get(sched, pool)->have_count++;
	}
}

/* The pool with the lowest share of the machines it needs, or NULL. */
static const char *least_supplied_pool(struct sched *sched)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;
	const char *found = NULL;
	double worst = 1.;

	g_hash_table_iter_init(&iter, sched->loads);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct pool_load *load = value;
		double share = load->need_count ? (double)load->have_count /
							  load->need_count
						: 1.;

		if (load->standby || share >= worst)
			continue;
		worst = share;
		found = name;
	}
	return found;
}

static const char *standby_pool(struct sched *sched)
{
	const struct queues *queues = kernel_queues(sched->kernel);

	for (guint i = 0; queues && i < queues->pools->len; i++) {
		const struct pool *pool = queues->pools->pdata[i];

		if (pool->standby)
			return pool->name;
	}
	return NULL;
}

static GArray *list_candidates(struct sched *sched)
{
	GArray *candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sched->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct candidate candidate = { .machine = value };

		if (!may_be_moved(sched, candidate.machine))
			continue;
		candidate.worker =
			worker_find(sched, candidate.machine->worker);
		/* The machine list may be older than the newest worker. */
		if (!is_standby(sched, candidate.machine->pool) &&
		    candidate.worker &&
		    (!candidate.worker->listed || candidate.worker->gone))
			continue;
		if (candidate.worker) {
			candidate.used_cpu_milli =
				candidate.worker->used_cpu_milli;
			candidate.has_long_running =
				runs_long_running(candidate.worker);
		}
		g_array_append_val(candidates, candidate);
	}
	return candidates;
}

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->used_cpu_milli != right->used_cpu_milli)
		return left->used_cpu_milli < right->used_cpu_milli ? -1 : 1;
	return strcmp(left->machine->name, right->machine->name);
}

static void reopen(struct sched *sched, struct worker *worker,
		   struct pool_load *load)
{
	worker->cordon = CORDON_NONE;
	load->have_count++;
	sched_request_placement(sched);
}

/* Reopens closed workers of pools that need them and closes surplus ones. */
static void reopen_and_close(struct sched *sched, const GArray *candidates)
{
	/* The busiest are reopened first, the least busy are closed first. */
	for (guint i = candidates->len; i > 0; i--) {
		const struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i - 1);
		struct pool_load *load =
			pool_load_get(sched, candidate->machine->pool);

		if (candidate->worker &&
		    candidate->worker->cordon == CORDON_MOVE &&
		    load->have_count < load->need_count)
			reopen(sched, candidate->worker, load);
	}
	for (guint i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i);
		struct pool_load *load =
			pool_load_get(sched, candidate->machine->pool);

		if (!candidate->worker || candidate->has_long_running ||
		    load->standby || candidate->worker->cordon != CORDON_NONE ||
		    load->have_count <= load->need_count)
			continue;
		candidate->worker->cordon = CORDON_MOVE;
		candidate->worker->cordoned_us = sched_now_us(sched);
		load->have_count--;
	}
}

static bool can_move_now(struct sched *sched, const struct candidate *candidate)
{
	if (!machine_is_known_empty(sched, candidate->machine) ||
	    candidate->machine->order_not_before_us > sched_now_us(sched))
		return false;
	return pool_load_get(sched, candidate->machine->pool)->standby ||
	       candidate->worker->cordon == CORDON_MOVE;
}

static void move_empty(struct sched *sched, const GArray *candidates)
{
	const char *standby = standby_pool(sched);
	int64_t now_us = sched_now_us(sched);

	for (guint i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i);
		const char *pool;

		if (!can_move_now(sched, candidate) ||
		    candidate->machine->order_pending)
			continue;
		pool = least_supplied_pool(sched);
		if (pool)
			move(sched, candidate->machine, pool);
		else if (standby &&
			 !pool_load_get(sched, candidate->machine->pool)
				  ->standby &&
			 now_us - candidate->worker->cordoned_us >
				 PARK_AFTER_US)
			move(sched, candidate->machine, standby);
	}
}

static uint64_t cores(const struct resources *load)
{
	return load->amounts[RESOURCE_CPU_MILLI] / 1000;
}

/* Logs the inputs of the decisions above, at most once a second. */
static void log_loads(struct sched *sched)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	if (sched_now_us(sched) < sched->next_loads_log_us)
		return;
	sched->next_loads_log_us = sched_now_us(sched) + LOG_INTERVAL_US;
	g_hash_table_iter_init(&iter, sched->loads);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct pool_load *load = value;

		decision_log(
			"load",
			"pool=%s have=%u need=%u running=%" G_GUINT64_FORMAT
			" ready=%" G_GUINT64_FORMAT
			" lasting=%" G_GUINT64_FORMAT " late=%" G_GUINT64_FORMAT
			" arriving=%" G_GUINT64_FORMAT
			" expected=%" G_GUINT64_FORMAT
			" need_mem_mb=%" G_GUINT64_FORMAT
			" need_gpus=%" G_GUINT64_FORMAT,
			(const char *)name, load->have_count, load->need_count,
			cores(&load->running), cores(&load->ready),
			cores(&load->long_running), cores(&load->late),
			cores(&load->arriving), cores(&load->expected),
			load->need.amount.amounts[RESOURCE_MEM_MB],
			load->need.amount.amounts[RESOURCE_GPU_COUNT]);
	}
}

static void demand_tick(struct sched *sched)
{
	GArray *candidates;

	if (!sched->machine_list_known || !sched->directory_seen)
		return;
	count_machines(sched);
	compute_needs(sched);
	fit_needs_to_supply(sched);
	candidates = list_candidates(sched);
	g_array_sort(candidates, compare_candidates);
	reopen_and_close(sched, candidates);
	log_loads(sched);
	move_empty(sched, candidates);
	g_array_unref(candidates);
}

static const struct parking_ops demand_ops = {
	.tick = demand_tick,
};

static const struct plugin demand_plugin = {
	.name = "demand",
	.kind = PLUGIN_PARKING,
	.preferred = true,
	.ops = &demand_ops,
};

PLUGIN_REGISTER(demand_plugin)
