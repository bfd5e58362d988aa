/*
 * Usage: crowd PROGRAM FOLDER CASE [CALM_KB]
 *
 * Runs the crowd of one case against one entry instance, whose memory_mb is
 * HEADROOM_MB more than CALM_KB, what it takes without a crowd. The cases
 * `calm` and `calm-serve` print that. Guards against a process that ends, runs
 * out of memory or descriptors, or no longer serves, because of clients that
 * nobody controls. Exits with 0 if all checks held, 1 if one didn't, 2 if the
 * run wasn't possible.
 */

#include "crowd.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HEADROOM_MB 48
#define FDS_MAX_COUNT 400
#define CALM_MEMORY_MB 160
/* Enough for the crowd to send everything; the rest of it goes on. */
#define CROWD_MS 3000
#define SERVE_MAX_MS 20000
#define MEASURE_MS 20
/* A run that hangs ends after this time. */
#define RUN_MAX_S 80

static struct entry_peak peak;
static int measuring;

/* Measures while the main thread waits for answers. */
static gpointer run_measurements(gpointer data)
{
	(void)data;
	while (g_atomic_int_get(&measuring) && entry_measure(&peak))
		world_sleep_ms(MEASURE_MS);
	return NULL;
}

static void on_signal(int number)
{
	(void)number;
	_exit(2); /* the entry instance ends with this process */
}

static const struct crowd_case *find_case(const char *name)
{
	for (uint32_t i = 0; i < crowd_case_count; i++) {
		if (!strcmp(crowd_cases[i].name, name))
			return &crowd_cases[i];
	}
	return NULL;
}

static bool check(bool held, const char *what)
{
	if (!held)
		printf("  broken: %s\n", what);
	return held;
}

static bool run_crowd(const struct crowd_case *crowd_case, uint32_t memory_mb)
{
	GThread *thread;
	bool serves;
	bool lives;

	g_atomic_int_set(&measuring, 1);
	thread = g_thread_new("measure", run_measurements, NULL);
	crowd_start(crowd_case);
	world_sleep_ms(CROWD_MS);
	serves = entry_serves(world_ms() + SERVE_MAX_MS);
	crowd_stop();
	g_atomic_int_set(&measuring, 0);
	g_thread_join(thread);
	lives = entry_measure(&peak);
	printf("%s: peak %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
	       " kB, %u of %d descriptors\n",
	       crowd_case->name, peak.memory_kb, (uint64_t)memory_mb * 1024,
	       peak.fd_count, FDS_MAX_COUNT);
	return (int)check(lives, "the process ended") &
	       (int)check(peak.memory_kb <= (uint64_t)memory_mb * 1024,
			  "it took more than its memory") &
	       (int)check(peak.fd_count < FDS_MAX_COUNT,
			  "it took more than its descriptors") &
	       (int)check(serves, "it did not serve an ordinary request");
}

int main(int argc, char **argv)
{
	const struct crowd_case *crowd_case;
	struct entry_setup setup = { .memory_mb = CALM_MEMORY_MB,
				     .max_fds = FDS_MAX_COUNT };
	bool held = true;

	crowd_case = argc > 3 ? find_case(argv[3]) : NULL;
	if (argc < 4 || (!crowd_case && strcmp(argv[3], "calm") != 0 &&
			 strcmp(argv[3], "calm-serve") != 0)) {
		fprintf(stderr, "usage: %s PROGRAM FOLDER CASE [CALM_KB]\n",
			argv[0]);
		return 2;
	}
	setup.program = argv[1];
	setup.folder = argv[2];
	setup.serve =
		crowd_case ? crowd_case->serve : !strcmp(argv[3], "calm-serve");
	if (crowd_case && argc > 4)
		setup.memory_mb =
			(uint32_t)(strtoul(argv[4], NULL, 10) / 1024) +
			HEADROOM_MB;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_signal);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	alarm(RUN_MAX_S);
	world_open(&setup.store_port, &setup.machines_port);
	if (!entry_start(&setup) || !entry_serves(world_ms() + SERVE_MAX_MS)) {
		fprintf(stderr, "the entry instance did not become ready\n");
		entry_stop();
		return 2;
	}
	if (crowd_case)
		held = run_crowd(crowd_case, setup.memory_mb);
	else if (entry_measure(&peak))
		printf("%" G_GUINT64_FORMAT "\n", peak.memory_kb);
	entry_stop();
	fflush(stdout);
	_exit(held ? 0 : 1);
}
