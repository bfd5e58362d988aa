/*
 * Guards against frequent decisions whose CPU time grows with the size of
 * unrelated state. The same work is timed at two sizes within one run, so that
 * the result does not depend on the speed of the machine.
 */

#include <time.h>

#include "jobs/queues.h"
#include "runner/suite.h"

#define FEW_COUNT 8U
#define MANY_COUNT 2000U
#define LOOKUPS_COUNT 2000U
/* A linear search would take MANY_COUNT / FEW_COUNT times as long. */
#define GROWTH_MAX 10
/* The fastest of several rounds is the least disturbed. */
#define ROUNDS_COUNT 5

static int64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (int64_t)now.tv_sec * NSEC_PER_SEC + now.tv_nsec;
}

static struct queues *make_queues(uint32_t count)
{
	struct queues *queues = queues_new();

	for (uint32_t i = 0; i < count; i++) {
		struct queue *queue = queue_new();

		g_snprintf(queue->name, sizeof(queue->name), "queue%u", i);
		g_strlcpy(queue->host, "h.example", sizeof(queue->host));
		queue->prefix = g_strdup_printf("/q%04u/", i);
		queues_add_queue(queues, queue);
	}
	return queues;
}

/* Looks up the last queue by its name and by its route. */
static int64_t lookup_ns(uint32_t count)
{
	struct queues *queues = make_queues(count);
	const struct queue *last = queues->queues->pdata[count - 1];
	char *path = g_strconcat(last->prefix, "00000000000000a1", NULL);
	int64_t min_ns = INT64_MAX;

	for (uint32_t i = 0; i < ROUNDS_COUNT; i++) {
		int64_t start_ns = cpu_ns();
		uint32_t found_count = 0;
		const char *rest;

		for (uint32_t j = 0; j < LOOKUPS_COUNT; j++) {
			found_count += queues_find(queues, last->name) == last;
			found_count += queues_route(queues, last->host, path,
						    &rest) == last;
		}
		min_ns = MIN(min_ns, cpu_ns() - start_ns);
		CU_ASSERT_EQUAL(found_count, 2 * LOOKUPS_COUNT);
	}
	g_free(path);
	queues_unref(queues);
	return min_ns;
}

static void test_many_routes(void)
{
	CU_ASSERT_TRUE(lookup_ns(MANY_COUNT) <
		       GROWTH_MAX * lookup_ns(FEW_COUNT));
}

static const CU_TestInfo tests[] = {
	{ "many routes do not slow look-ups", test_many_routes },
	CU_TEST_INFO_NULL,
};

static struct suite cost_suite = { .name = "cost", .tests = tests };

SUITE_REGISTER(cost_suite)
