/* The time, the record, and the store of review/common-2. */

#include "restart.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../../review/common-2/world.h"

pthread_mutex_t world_lock = PTHREAD_MUTEX_INITIALIZER;
pthread_cond_t world_changed = PTHREAD_COND_INITIALIZER;
GRand *world_random;

static FILE *record;
static int64_t begin_us;

int64_t world_ms(void)
{
	return (g_get_monotonic_time() - begin_us) / 1000;
}

void world_sleep_ms(int64_t ms)
{
	g_usleep((gulong)ms * 1000);
}

void world_note(const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	fprintf(record, "%8.3f s  %s\n", (double)world_ms() / 1000., text);
	fflush(record);
	g_free(text);
}

void world_open(const char *folder, uint32_t seed)
{
	char *path = g_build_filename(folder, "record.txt", NULL);

	record = fopen(path, "we");
	if (!record) {
		perror(path);
		exit(2);
	}
	g_free(path);
	begin_us = g_get_monotonic_time();
	world_random = g_rand_new_with_seed(seed);
	world_note("seed %u; time 0 is t=%" G_GINT64_FORMAT " in the logs",
		   seed, g_get_real_time() / 1000);
}

void world_open_store(int ports[ENTRY_COUNT])
{
	static struct store_port store_ports[ENTRY_COUNT];

	store_open(store_ports, ENTRY_COUNT);
	for (int i = 0; i < ENTRY_COUNT; i++)
		ports[i] = store_ports[i].port;
}

bool fault_enabled(enum fault fault)
{
	static const char *const names[] = {
		[FAULT_POWER] = "power",    [FAULT_CUT] = "cut",
		[FAULT_LOST] = "lost",	    [FAULT_LATE] = "late",
		[FAULT_NEXT_LIFE] = "next", [FAULT_LIST] = "list",
		[FAULT_KILL] = "kill",	    [FAULT_FREEZE] = "freeze",
	};
	const char *off = getenv("OFF");

	return !off || !strstr(off, names[fault]);
}
