/* Orders to workers and machines that are late or never answered. */

#include "contract/fake_http.h"
#include "contract/harness.h"
#include "jobs/msg.h"
#include "platform/node.h"
#include "runner/suite.h"

struct orders_test {
	struct harness *harness;
	struct fake_http *fake;
	uint32_t request_count;
};

static void hang(void *data, const struct fake_request *request,
		 struct fake_reply *reply)
{
	struct orders_test *test = data;

	(void)request;
	test->request_count++;
	reply->action = FAKE_HANG;
}

static void setup(struct orders_test *test, const char *plugin)
{
	struct node *node = g_new0(struct node, 1);

	*test = (struct orders_test){ .harness = harness_new("e1") };
	test->fake = fake_http_new(test->harness->ev, hang, test);
	g_strlcpy(node->name, "e1", sizeof(node->name));
	g_strlcpy(node->machines_address, fake_http_address(test->fake),
		  sizeof(node->machines_address));
	node_set(node);
	harness_start(test->harness, PLUGIN_PLATFORM, plugin);
}

static void teardown(struct orders_test *test)
{
	kernel_free(test->harness->kernel);
	test->harness->kernel = NULL;
	fake_http_free(test->fake);
	harness_free(test->harness);
	node_set(NULL);
}

static enum machine_result order_machine(struct orders_test *test,
					 int64_t send_by_us)
{
	struct machine_order *order = g_rc_box_new0(struct machine_order);
	struct event event = { .type = EVENT_MACHINE_ORDER, .msg = order };
	const struct machine_order *done;

	g_strlcpy(order->machine, "m1", sizeof(order->machine));
	order->send_by_us = send_by_us;
	harness_emit(test->harness, &event);
	harness_run_until(test->harness, EVENT_MACHINE_ORDERED, 1);
	done = harness_event(test->harness, EVENT_MACHINE_ORDERED, 0)->msg;
	return done->result;
}

/*
 * Guards against an order that a cut link delivers when it heals, long after
 * the order was given up and another holder has ordered the same machine.
 */
static void test_machine_given_up(void)
{
	struct orders_test test;

	setup(&test, "machines");
	CU_ASSERT_EQUAL(order_machine(&test, 0), MACHINE_UNANSWERED);
	CU_ASSERT_EQUAL(test.request_count, 1);
	while (!fake_http_resets_count(test.fake))
		ev_run(test.harness->ev, EVRUN_ONCE);
	teardown(&test);
}

/* Guards against an order that is sent after a pause of the process. */
static void test_machine_too_late(void)
{
	struct orders_test test;

	setup(&test, "machines");
	CU_ASSERT_EQUAL(order_machine(&test, 1), MACHINE_REFUSED);
	CU_ASSERT_EQUAL(test.request_count, 0);
	teardown(&test);
}

static enum order_result order_worker(struct orders_test *test)
{
	struct order *order = order_new(ORDER_STOP);
	struct event event = { .type = EVENT_ORDER_SEND, .msg = order };
	const struct order *done;

	order->worker = g_intern_string("w1");
	g_strlcpy(order->address, fake_http_address(test->fake),
		  sizeof(order->address));
	harness_emit(test->harness, &event);
	harness_run_until(test->harness, EVENT_ORDER_SENT, 1);
	done = harness_event(test->harness, EVENT_ORDER_SENT, 0)->msg;
	return done->result;
}

/* Guards against an order that was never sent but is taken for a lost one. */
static void test_worker_not_sent(void)
{
	struct orders_test test;

	setup(&test, "workers");
	fake_http_listen(test.fake, false);
	CU_ASSERT_EQUAL(order_worker(&test), ORDER_NOT_SENT);
	teardown(&test);
}

/* Guards against an order without an answer that is taken for never sent. */
static void test_worker_unanswered(void)
{
	struct orders_test test;

	setup(&test, "workers");
	CU_ASSERT_EQUAL(order_worker(&test), ORDER_UNANSWERED);
	CU_ASSERT_EQUAL(test.request_count, 1);
	teardown(&test);
}

static const CU_TestInfo tests[] = {
	{ "machine, given up", test_machine_given_up },
	{ "machine, too late", test_machine_too_late },
	{ "worker, not sent", test_worker_not_sent },
	{ "worker, unanswered", test_worker_unanswered },
	CU_TEST_INFO_NULL,
};

static struct suite orders_suite = { .name = "orders", .tests = tests };

SUITE_REGISTER(orders_suite)
