/*
 * Guards against a holder that does not detect that it is isolated from its
 * workers, and against one that considers itself isolated because its workers
 * are gone.
 */

#include "jobs/connectivity.h"
#include "core/event.h"
#include "runner/suite.h"

#define WORKERS_COUNT 6

static const char *worker_id(uint32_t index)
{
	static const char *const ids[WORKERS_COUNT] = { "w0", "w1", "w2",
							"w3", "w4", "w5" };

	return g_intern_string(ids[index]);
}

static void report_order(struct connectivity *connectivity, uint32_t index,
			 enum order_result result, int64_t now_us)
{
	struct order *order = order_new(ORDER_HOLD);
	struct event event = { .type = EVENT_ORDER };

	order->worker = worker_id(index);
	order->result = result;
	connectivity_record_order(connectivity, order, now_us);
	event.msg = order;
	event_clear(&event);
}

/* Applies a machine list in which only the first up_count workers are up. */
static void apply_machine_list(struct connectivity *connectivity,
			       uint32_t up_count, int64_t asked_us)
{
	struct machines_seen *seen = machines_seen_new();
	struct event event = { .type = EVENT_MACHINES_SEEN };

	seen->complete = true;
	seen->asked_us = asked_us;
	for (uint32_t i = 0; i < up_count; i++) {
		struct machine_row row = { .state = MACHINE_UP,
					   .worker = worker_id(i) };

		g_array_append_val(seen->rows, row);
	}
	connectivity_drop_gone(connectivity, seen);
	event.msg = seen;
	event_clear(&event);
}

/* At 1 s, the first two workers answer and the others don't. */
static struct connectivity *connectivity_with_lost_workers(void)
{
	struct connectivity *connectivity = connectivity_new();

	for (uint32_t i = 0; i < WORKERS_COUNT; i++)
		report_order(connectivity, i,
			     i < 2 ? ORDER_OK : ORDER_UNANSWERED, USEC_PER_SEC);
	return connectivity;
}

static void test_lost(void)
{
	struct connectivity *connectivity = connectivity_with_lost_workers();

	CU_ASSERT_TRUE(connectivity_is_lost(connectivity, USEC_PER_SEC));
	/* Their machines are up, so the network is at fault. */
	apply_machine_list(connectivity, WORKERS_COUNT, 2 * USEC_PER_SEC);
	CU_ASSERT_TRUE(connectivity_is_lost(connectivity, 2 * USEC_PER_SEC));
	CU_ASSERT_FALSE(connectivity_is_lost(connectivity, 6 * USEC_PER_SEC));
	connectivity_clear(connectivity);
	CU_ASSERT_FALSE(connectivity_is_lost(connectivity, 2 * USEC_PER_SEC));
	connectivity_free(connectivity);
}

/* A list from before the lost orders doesn't show that workers are gone. */
static void test_gone(void)
{
	struct connectivity *connectivity = connectivity_with_lost_workers();

	apply_machine_list(connectivity, 2, USEC_PER_SEC - 1);
	CU_ASSERT_TRUE(connectivity_is_lost(connectivity, USEC_PER_SEC));
	apply_machine_list(connectivity, 2, USEC_PER_SEC);
	CU_ASSERT_FALSE(connectivity_is_lost(connectivity, USEC_PER_SEC));
	connectivity_free(connectivity);
}

/* Too few workers to tell an isolated holder from failed workers. */
static void test_few(void)
{
	struct connectivity *connectivity = connectivity_new();

	for (uint32_t i = 0; i < 3; i++)
		report_order(connectivity, i, ORDER_UNANSWERED, USEC_PER_SEC);
	CU_ASSERT_FALSE(connectivity_is_lost(connectivity, USEC_PER_SEC));
	connectivity_free(connectivity);
}

static const CU_TestInfo tests[] = {
	{ "lost", test_lost },
	{ "gone", test_gone },
	{ "few", test_few },
	CU_TEST_INFO_NULL,
};

static struct suite connectivity_suite = { .name = "connectivity",
					   .tests = tests };

SUITE_REGISTER(connectivity_suite)
