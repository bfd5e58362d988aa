/*
 * Usage: restart PROGRAM FOLDER SEED
 *
 * Disturbs entry instances and workers, by a seed, while jobs run, and checks
 * that no work item runs twice and that all jobs are completed. Guards against
 * issue 35: work ran twice after its worker restarted and was cut off. Exits
 * with 0 if the rules held, 1 if one was broken, 2 if the run wasn't possible.
 */

#include "restart.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define DISTURBED_DEFAULT_S 55
#define WARM_UP_MS 4000
/* The last long jobs must be able to end within COMPLETE_MS. */
#define LONG_ENDS_BEFORE_MS 8000
#define COMPLETE_MS 30000
/* A run that hangs ends after this time. */
#define RUN_MAX_S 180
#define TICK_MS 5

#define BURST_PAUSE_MIN_MS 1500
#define BURST_PAUSE_MAX_MS 5000
#define BURST_WORKERS_MAX_COUNT 2
#define DISTURBED_WORKERS_MAX_COUNT 4
#define BUSY_PROBABILITY 0.7
#define CUT_PROBABILITY 0.8
#define KILL_PROBABILITY 0.6
#define FREEZE_PROBABILITY 0.25

struct plan {
	GRand *random;
	int64_t burst_ms;  /* when the next workers lose power */
	int64_t kill_ms;   /* when the holder is killed; 0: not planned */
	int64_t freeze_ms; /* when the holder is stopped; 0: not planned */
};

static int between_ms(struct plan *plan, int low_ms, int high_ms)
{
	return g_rand_int_range(plan->random, low_ms, high_ms);
}

/*
 * Picks a worker, by preference one that gets start orders now, or returns -1
 * if enough are disturbed.
 */
static int pick_worker(struct plan *plan)
{
	int at = g_rand_int_range(plan->random, 0, MACHINE_COUNT);
	int calm_count = 0;

	if (g_rand_double(plan->random) < BUSY_PROBABILITY)
		at = workers_newest_started();
	for (int i = 0; i < MACHINE_COUNT; i++)
		calm_count += workers_is_calm(i);
	if (calm_count <= MACHINE_COUNT - DISTURBED_WORKERS_MAX_COUNT)
		return -1;
	while (!workers_is_calm(at))
		at = (at + 1) % MACHINE_COUNT;
	return at;
}

/* Returns when the worker is cut off, or will have started again. */
static int64_t disturb_worker(struct plan *plan)
{
	int64_t on_ms = world_ms() + between_ms(plan, 300, 1001);
	int64_t cut_ms = on_ms + between_ms(plan, 100, 2001);
	int64_t cut_until_ms = cut_ms + between_ms(plan, 6000, 12001);
	bool is_cut = g_rand_double(plan->random) < CUT_PROBABILITY;
	int worker = pick_worker(plan);

	if (!fault_enabled(FAULT_POWER))
		on_ms = 0;
	if (!is_cut || !fault_enabled(FAULT_CUT))
		cut_until_ms = 0;
	if (worker >= 0)
		workers_disturb(worker, on_ms, cut_ms, cut_until_ms);
	return cut_ms;
}

/*
 * The holder is disturbed around the time at which a worker is cut off: a
 * successor that reaches the worker before that learns of its restart.
 */
static void plan_entries(struct plan *plan, int64_t cut_ms)
{
	int kill_after_ms = between_ms(plan, -600, 401);
	int freeze_after_ms = between_ms(plan, -1500, 1501);

	if (g_rand_double(plan->random) < KILL_PROBABILITY &&
	    fault_enabled(FAULT_KILL))
		plan->kill_ms = cut_ms + kill_after_ms;
	if (g_rand_double(plan->random) < FREEZE_PROBABILITY &&
	    fault_enabled(FAULT_FREEZE))
		plan->freeze_ms = cut_ms + freeze_after_ms;
}

static void begin_burst(struct plan *plan)
{
	int count =
		g_rand_int_range(plan->random, 1, BURST_WORKERS_MAX_COUNT + 1);

	for (int i = 0; i < count; i++)
		plan_entries(plan, disturb_worker(plan));
	plan->burst_ms = world_ms() + between_ms(plan, BURST_PAUSE_MIN_MS,
						 BURST_PAUSE_MAX_MS);
}

static void disturb_entries(struct plan *plan)
{
	int holder = -1;

	if (plan->kill_ms && world_ms() >= plan->kill_ms) {
		plan->kill_ms = 0;
		holder = entries_holder(workers_newest_token());
		if (holder >= 0)
			entries_kill(holder,
				     world_ms() + between_ms(plan, 100, 501));
	}
	if (plan->freeze_ms && world_ms() >= plan->freeze_ms) {
		plan->freeze_ms = 0;
		holder = entries_holder(workers_newest_token());
		if (holder >= 0)
			entries_freeze(holder,
				       world_ms() +
					       between_ms(plan, 1000, 5001));
	}
}

static void disturb(struct plan *plan, int64_t until_ms)
{
	while (world_ms() < until_ms) {
		if (world_ms() >= plan->burst_ms)
			begin_burst(plan);
		disturb_entries(plan);
		entries_tick();
		if (until_ms - world_ms() < LONG_ENDS_BEFORE_MS)
			callers_end_long();
		world_sleep_ms(TICK_MS);
	}
	world_note("the disturbances end");
	workers_calm();
	entries_calm();
}

static void configure(void)
{
	static const char route[] =
		"{\"name\":\"r-%s\",\"host\":\"" QUEUE_HOST "\","
		"\"path_prefix\":\"/%s/\",\"kind\":\"non_idempotent\","
		"\"timeout_ms\":3000,\"target_duration_ms\":600,"
		"\"priority\":0,\"service\":\"svc-ledger\","
		"\"max_attempts\":4,\"slack_factor\":1.6}";
	char *shorts = g_strdup_printf(route, "short", "short");
	char *longs = g_strdup_printf(route, "long", "long");
	char *config = g_strdup_printf(
		"{\"version\":7,\"routes\":[%s,%s],\"services\":[{"
		"\"name\":\"svc-ledger\",\"preconditions\":true}],"
		"\"limits\":{\"max_body_bytes\":262144}}",
		shorts, longs);

	store_put("keyed.op", "config", config);
	g_free(config);
	g_free(longs);
	g_free(shorts);
}

static void on_signal(int number)
{
	(void)number;
	_exit(2); /* the entry instances end with this process */
}

static bool open_world(const char *program, const char *folder, uint32_t seed)
{
	int store_ports[ENTRY_COUNT];

	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_signal);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	alarm(RUN_MAX_S);
	world_open(folder, seed);
	world_open_store(store_ports);
	configure();
	entries_open(program, folder, store_ports, workers_open());
	return entries_wait_ready();
}

static int64_t disturbed_ms(void)
{
	const char *text = getenv("DISTURBED_S");

	return (text ? atoll(text) : DISTURBED_DEFAULT_S) * 1000;
}

int main(int argc, char **argv)
{
	struct plan plan = { 0 };
	uint32_t seed;

	if (argc != 4) {
		fprintf(stderr, "usage: %s PROGRAM FOLDER SEED\n", argv[0]);
		return 2;
	}
	seed = (uint32_t)strtoul(argv[3], NULL, 10);
	plan.random = g_rand_new_with_seed(seed);
	if (!open_world(argv[1], argv[2], seed)) {
		world_note("the entry instances did not become ready");
		entries_stop();
		return 2;
	}
	callers_start(seed);
	plan.burst_ms = world_ms() + WARM_UP_MS;
	disturb(&plan, plan.burst_ms + disturbed_ms());
	callers_stop();
	callers_wait_complete(world_ms() + COMPLETE_MS);
	entries_stop();
	world_note("broken: %d", check_broken_count());
	_exit(check_broken_count() ? 1 : 0);
}
