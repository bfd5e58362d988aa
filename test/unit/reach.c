/*
 * Guards against a holder that does not detect that it is isolated from its
 * workers, and against one that considers itself isolated because its workers
 * are gone.
 */

#include "jobs/reach.h"
#include "core/event.h"
#include "runner/suite.h"

#define WORKERS_COUNT 6

static const char *worker_id(uint32_t index)
{
	static const char *const ids[WORKERS_COUNT] = { "w0", "w1", "w2",
							"w3", "w4", "w5" };

	return g_intern_string(ids[index]);
}

static void report_order(struct reach *reach, uint32_t index,
			 enum order_result result, int64_t now_us)
{
	struct order *order = order_new(ORDER_HOLD);
	struct event event = { .type = EVENT_ORDER };

	order->worker = worker_id(index);
	order->result = result;
	reach_note(reach, order, now_us);
	event.msg = order;
	event_clear(&event);
}

/* Applies a machine list in which only the first up_count workers are up. */
static void apply_machine_list(struct reach *reach, uint32_t up_count,
			       int64_t asked_us)
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
	reach_drop_gone(reach, seen);
	event.msg = seen;
	event_clear(&event);
}

/* At 1 s, the first two workers answer and the others don't. */
static struct reach *reach_with_lost_workers(void)
{
	struct reach *reach = reach_new();

	for (uint32_t i = 0; i < WORKERS_COUNT; i++)
		report_order(reach, i, i < 2 ? ORDER_OK : ORDER_UNANSWERED,
			     USEC_PER_SEC);
	return reach;
}

static void test_lost(void)
{
	struct reach *reach = reach_with_lost_workers();

	CU_ASSERT_TRUE(reach_is_isolated(reach, USEC_PER_SEC));
	/* Their machines are up, so the network is at fault. */
	apply_machine_list(reach, WORKERS_COUNT, 2 * USEC_PER_SEC);
	CU_ASSERT_TRUE(reach_is_isolated(reach, 2 * USEC_PER_SEC));
	CU_ASSERT_FALSE(reach_is_isolated(reach, 6 * USEC_PER_SEC));
	reach_clear(reach);
	CU_ASSERT_FALSE(reach_is_isolated(reach, 2 * USEC_PER_SEC));
	reach_free(reach);
}

/* A list from before the lost orders doesn't show that workers are gone. */
static void test_gone(void)
{
	struct reach *reach = reach_with_lost_workers();

	apply_machine_list(reach, 2, USEC_PER_SEC - 1);
	CU_ASSERT_TRUE(reach_is_isolated(reach, USEC_PER_SEC));
	apply_machine_list(reach, 2, USEC_PER_SEC);
	CU_ASSERT_FALSE(reach_is_isolated(reach, USEC_PER_SEC));
	reach_free(reach);
}

/* Too few workers to tell an isolated holder from failed workers. */
static void test_few(void)
{
	struct reach *reach = reach_new();

	for (uint32_t i = 0; i < 3; i++)
		report_order(reach, i, ORDER_UNANSWERED, USEC_PER_SEC);
	CU_ASSERT_FALSE(reach_is_isolated(reach, USEC_PER_SEC));
	reach_free(reach);
}

static const CU_TestInfo tests[] = {
	{ "lost", test_lost },
	{ "gone", test_gone },
	{ "few", test_few },
	CU_TEST_INFO_NULL,
};

static struct suite reach_suite = { .name = "reach", .tests = tests };

SUITE_REGISTER(reach_suite)
