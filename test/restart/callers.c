/* Callers that submit jobs and ask for their states. */

#include "restart.h"

#include <stdio.h>
#include <string.h>

#define CALLER_COUNT 3
#define PAUSE_MIN_MS 100
#define PAUSE_MAX_MS 400
#define LONG_SHARE 0.22
#define LONG_MIN_MS 8000
#define LONG_MAX_MS 16000
#define SHORT_MIN_MS 200
#define SHORT_MAX_MS 1500
#define ITEMS_MAX_COUNT 3
/* So often a job is sent again after no answer. */
#define ATTEMPTS_MAX_COUNT 10
#define STATE_CALLS_MAX_COUNT 3

struct caller {
	pthread_t thread;
	GRand *random;
	GPtrArray *accepted; /* of char *: the paths of accepted jobs */
};

static struct caller callers[CALLER_COUNT];
static int long_ended;
static int stopped;

static char *format_job(GRand *random, bool is_long)
{
	int work_ms =
		is_long ? g_rand_int_range(random, LONG_MIN_MS, LONG_MAX_MS)
			: g_rand_int_range(random, SHORT_MIN_MS, SHORT_MAX_MS);

	return g_strdup_printf(
		"{\"spec\":\"work %d\",\"steps\":[{\"count\":%d,\"cpu\":%d,"
		"\"mem_mb\":256,\"estimate_ms\":%d}]}",
		work_ms, g_rand_int_range(random, 1, ITEMS_MAX_COUNT + 1),
		CPU_PER_ITEM, work_ms);
}

/* Sends the job to one entry instance after the other until one accepts it. */
static void submit(struct caller *caller)
{
	GRand *random = caller->random;
	bool is_long = !g_atomic_int_get(&long_ended) &&
		       g_rand_double(random) < LONG_SHARE;
	char *body = format_job(random, is_long);
	char *path = g_strdup_printf("/%s/%08x%08x", is_long ? "long" : "short",
				     g_rand_int(random), g_rand_int(random));
	int entry = g_rand_int_range(random, 0, ENTRY_COUNT);
	int status = 0;

	for (int i = 0; i < ATTEMPTS_MAX_COUNT && status / 100 != 2; i++) {
		status = entries_call((entry + i) % ENTRY_COUNT, "POST", path,
				      body, NULL, 0);
		if (status / 100 != 2)
			world_sleep_ms(PAUSE_MIN_MS);
	}
	if (status / 100 == 2)
		g_ptr_array_add(caller->accepted, g_strdup(path));
	else
		world_note("caller: %s was not accepted: %d", path, status);
	g_free(path);
	g_free(body);
}

static void *run_caller(void *data)
{
	struct caller *caller = data;

	while (!g_atomic_int_get(&stopped)) {
		submit(caller);
		world_sleep_ms(g_rand_int_range(caller->random, PAUSE_MIN_MS,
						PAUSE_MAX_MS));
	}
	return NULL;
}

void callers_start(uint32_t seed)
{
	for (int i = 0; i < CALLER_COUNT; i++) {
		callers[i].random =
			g_rand_new_with_seed(seed * CALLER_COUNT + (uint32_t)i);
		callers[i].accepted = g_ptr_array_new();
		pthread_create(&callers[i].thread, NULL, run_caller,
			       &callers[i]);
	}
}

void callers_end_long(void)
{
	g_atomic_int_set(&long_ended, 1);
}

void callers_stop(void)
{
	g_atomic_int_set(&stopped, 1);
	for (int i = 0; i < CALLER_COUNT; i++)
		pthread_join(callers[i].thread, NULL);
}

/* The state of a job, as any of the entry instances gives it. */
static void read_state(const char *path, char *answer, size_t size_bytes)
{
	for (int i = 0; i < STATE_CALLS_MAX_COUNT; i++) {
		if (entries_call(i % ENTRY_COUNT, "GET", path, NULL, answer,
				 size_bytes) == 200)
			return;
	}
}

static void drop_complete(GPtrArray *paths)
{
	for (guint i = paths->len; i > 0; i--) {
		char answer[256] = "";

		read_state(g_ptr_array_index(paths, i - 1), answer,
			   sizeof(answer));
		if (strstr(answer, "\"complete\""))
			g_ptr_array_remove_index_fast(paths, i - 1);
		else if (strstr(answer, "\"failed\""))
			world_note("caller: %s is shown as failed",
				   (char *)g_ptr_array_index(paths, i - 1));
	}
}

int callers_wait_complete(int64_t until_ms)
{
	GPtrArray *left = g_ptr_array_new();

	for (int i = 0; i < CALLER_COUNT; i++)
		g_ptr_array_extend(left, callers[i].accepted, NULL, NULL);
	world_note("callers: %u jobs were accepted", left->len);
	if (!left->len)
		return 1;
	for (;;) {
		drop_complete(left);
		if (!left->len || world_ms() > until_ms)
			break;
		world_sleep_ms(200);
	}
	for (guint i = 0; i < left->len; i++)
		check_broken("%s isn't complete",
			     (char *)g_ptr_array_index(left, i));
	return (int)left->len;
}
