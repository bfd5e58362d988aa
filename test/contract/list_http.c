/* The client of the platform's list against a faulty server. */

#include <string.h>

#include "contract/harness.h"
#include "core/fleet_state.h"
#include "runner/suite.h"

struct list_test {
	struct harness *harness;
	struct fake_http *fake;
	const char *const *polls; /* one after another; the last one repeats */
	uint32_t poll_count;
	const unsigned int *reboot_statuses;
	uint32_t reboot_count;
	char *reboot_target;
	const char *etag;		    /* sent with each list */
	uint32_t unchanged_count;	    /* 304 answers */
	struct fleet_instance *reactivated; /* by the reboot request */
};

static void handle(void *data, const struct fake_request *request,
		   struct fake_reply *reply)
{
	struct list_test *test = data;

	if (!strcmp(request->method, "POST")) {
		g_free(test->reboot_target);
		test->reboot_target = g_strdup(request->target);
		reply->status = test->reboot_statuses[test->reboot_count++];
		if (test->reactivated)
			test->reactivated->phase = INSTANCE_ACTIVE;
		return;
	}
	CU_ASSERT_STRING_EQUAL(request->target, "/instances");
	if (test->etag && strstr(request->head, test->etag)) {
		test->unchanged_count++;
		reply->status = 304;
		return;
	}
	reply->etag = test->etag;
	reply->body = g_strdup(test->polls[test->poll_count]);
	if (test->polls[test->poll_count + 1])
		test->poll_count++;
	if (!strcmp(reply->body, "500"))
		reply->status = 500;
}

static struct list_test *test_new(const char *const *polls)
{
	struct list_test *test = g_new0(struct list_test, 1);

	test->harness = harness_new("e1");
	test->fake = fake_http_new(test->harness->ev, handle, test);
	test->polls = polls;
	name_copy(test->harness->settings->list_address, ADDRESS_SIZE_BYTES,
		  fake_http_address(test->fake));
	harness_start(test->harness, PLUGIN_LIST, "http");
	return test;
}

static void test_free(struct list_test *test)
{
	kernel_free(test->harness->kernel);
	test->harness->kernel = NULL;
	fake_http_free(test->fake);
	harness_free(test->harness);
	g_free(test->reboot_target);
	g_free(test);
}

static uint64_t counter_value(const struct list_test *test, const char *name)
{
	return counter_get(kernel_counters(test->harness->kernel), name);
}

/*
 * Guards against reading an invalid answer as an empty list, in which every
 * entry instance would look gone.
 */
static void test_polls(void)
{
	static const char *const polls[] = {
		("{\"instances\":[{\"name\":\"i1\",\"state\":\"live\"},"
		 "{\"name\":\"i2\",\"state\":\"leaving\"}]}"),
		"{\"instances\":[{\"name\":\"i1\",\"state\":\"odd\"}]}",
		"500",
		"{}",
		"{\"instances\":[]}",
		NULL,
	};
	struct list_test *test = test_new(polls);
	const struct event *event;

	harness_run_until(test->harness, EVENT_INSTANCE_LIST, 2);
	event = harness_event(test->harness, EVENT_INSTANCE_LIST, 0);
	CU_ASSERT_EQUAL_FATAL(event->list.items->len, 2);
	CU_ASSERT_STRING_EQUAL(
		g_array_index(event->list.items, struct instance_list_item, 0)
			.name,
		"i1");
	CU_ASSERT_EQUAL(
		g_array_index(event->list.items, struct instance_list_item, 1)
			.state,
		LIST_LEAVING);
	event = harness_event(test->harness, EVENT_INSTANCE_LIST, 1);
	CU_ASSERT_EQUAL(event->list.items->len, 0);
	CU_ASSERT_EQUAL(
		counter_value(test, "list_polls_total{result=\"invalid\"}"), 2);
	CU_ASSERT_EQUAL(
		counter_value(test, "list_polls_total{result=\"failed\"}"), 1);
	test_free(test);
}

/* Guards against fetching an unchanged list, or losing the list on a 304. */
static void test_unchanged(void)
{
	static const char *const polls[] = {
		"{\"instances\":[{\"name\":\"i1\",\"state\":\"live\"}]}",
		NULL,
	};
	struct list_test *test = test_new(polls);
	const struct event *event;

	test->etag = "\"v7\"";
	harness_run_until(test->harness, EVENT_INSTANCE_LIST, 2);
	CU_ASSERT_TRUE(test->unchanged_count > 0);
	event = harness_event(test->harness, EVENT_INSTANCE_LIST, 1);
	CU_ASSERT_EQUAL_FATAL(event->list.items->len, 1);
	CU_ASSERT_STRING_EQUAL(
		g_array_index(event->list.items, struct instance_list_item, 0)
			.name,
		"i1");
	test_free(test);
}

static struct fleet_instance *add_instance(struct list_test *test)
{
	struct fleet *fleet = kernel_fleet(test->harness->kernel);
	struct fleet_instance *instance = fleet_instance_new();

	name_copy(instance->decl.name, NAME_SIZE_BYTES, "i1");
	instance->phase = INSTANCE_REBOOTING;
	instance->drain_offset = 7;
	g_hash_table_insert(fleet->instances, instance->decl.name, instance);
	return instance;
}

static void ask_reboot(struct list_test *test)
{
	struct event event = { .type = EVENT_INSTANCE_REBOOT };

	name_copy(event.subject.name, NAME_SIZE_BYTES, "i1");
	harness_emit(test->harness, &event);
}

/* Guards against giving up a reboot whose request has failed. */
static void test_reboot_retried(void)
{
	static const char *const polls[] = { "{\"instances\":[]}", NULL };
	static const unsigned int statuses[] = { 500, 200 };
	struct list_test *test = test_new(polls);

	test->reboot_statuses = statuses;
	add_instance(test);
	ask_reboot(test);
	ask_reboot(test);
	while (!counter_value(test, "reboots_total{result=\"ok\"}"))
		harness_run_until(
			test->harness, EVENT_INSTANCE_LIST,
			test->harness->seen_counts[EVENT_INSTANCE_LIST] + 1);
	CU_ASSERT_EQUAL(test->reboot_count, 2);
	CU_ASSERT_STRING_EQUAL(test->reboot_target,
			       "/instances/i1/reboot?drain=7");
	test_free(test);
}

/* Guards against retrying the reboot of an instance that is active again. */
static void test_reboot_given_up(void)
{
	static const char *const polls[] = { "{\"instances\":[]}", NULL };
	static const unsigned int statuses[] = { 500, 200 };
	struct list_test *test = test_new(polls);

	test->reactivated = add_instance(test);
	test->reboot_statuses = statuses;
	ask_reboot(test);
	harness_run_until(test->harness, EVENT_INSTANCE_LIST, 4);
	CU_ASSERT_EQUAL(counter_value(test, "reboots_total{result=\"failed\"}"),
			1);
	CU_ASSERT_EQUAL(test->reboot_count, 1);
	test_free(test);
}

static const CU_TestInfo tests[] = {
	{ "polls", test_polls },
	{ "unchanged", test_unchanged },
	{ "reboot_retried", test_reboot_retried },
	{ "reboot_given_up", test_reboot_given_up },
	CU_TEST_INFO_NULL,
};

static struct suite list_suite = { .name = "list_http", .tests = tests };

SUITE_REGISTER(list_suite)
