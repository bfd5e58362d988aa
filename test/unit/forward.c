/* Forwarding of orders: the choice of forwarders and the encoding. */

#include <stdlib.h>
#include <string.h>

#include "codec/forward_codec.h"
#include "jobs/forwarders.h"
#include "runner/suite.h"

#define NOW_US (100 * USEC_PER_SEC)

static void add(struct forwarders *forwarders, const char *entry,
		const char *dc, uint32_t cpu_milli)
{
	struct job_record *record = job_record_new(JOB_RECORD_ENTRY);

	g_strlcpy(record->entry, entry, sizeof(record->entry));
	g_strlcpy(record->address, entry, sizeof(record->address));
	g_strlcpy(record->dc, dc, sizeof(record->dc));
	record->cpu_milli = cpu_milli;
	forwarders_add(forwarders, record);
	job_record_unref(record);
}

static void answer(struct forwarders *forwarders, const char *entry,
		   uint32_t busy_percent)
{
	forwarder_answered(forwarders_find(forwarders, entry), busy_percent,
			   NOW_US);
}

static const char *choose(struct forwarders *forwarders, const char *worker,
			  const char *dc, int64_t now_us)
{
	const struct forwarder *forwarder = forwarders_choose(
		forwarders, g_intern_string(worker), dc, now_us);

	return forwarder ? forwarder->entry : "";
}

/*
 * Guards against a forwarder in another data centre while the worker's own has
 * one, against a weak one while a stronger one is free, and against one that is
 * busy with callers.
 */
static void test_choice(void)
{
	struct forwarders *forwarders = forwarders_new("e1");

	add(forwarders, "e1", "a", 900);
	add(forwarders, "e2", "a", 200);
	add(forwarders, "e3", "a", 500);
	add(forwarders, "e4", "b", 900);
	CU_ASSERT_STRING_EQUAL(choose(forwarders, "w1", "a", NOW_US), "");
	answer(forwarders, "e2", 0);
	answer(forwarders, "e3", 0);
	answer(forwarders, "e4", 90);
	CU_ASSERT_STRING_EQUAL(choose(forwarders, "w1", "a", NOW_US), "e3");
	CU_ASSERT_STRING_EQUAL(choose(forwarders, "w2", "b", NOW_US), "e3");
	answer(forwarders, "e4", 10);
	CU_ASSERT_STRING_EQUAL(choose(forwarders, "w3", "b", NOW_US), "e4");
	CU_ASSERT_STRING_EQUAL(choose(forwarders, "w1", "a", NOW_US), "e3");
	forwarders_free(forwarders);
}

/* Guards against orders to a forwarder that has failed or fallen silent. */
static void test_failure(void)
{
	struct forwarders *forwarders = forwarders_new("e1");

	add(forwarders, "e2", "a", 200);
	add(forwarders, "e3", "a", 500);
	answer(forwarders, "e2", 0);
	answer(forwarders, "e3", 0);
	CU_ASSERT_STRING_EQUAL(choose(forwarders, "w1", "a", NOW_US), "e3");
	forwarder_failed(forwarders_find(forwarders, "e3"), NOW_US);
	CU_ASSERT_STRING_EQUAL(choose(forwarders, "w1", "a", NOW_US), "e2");
	forwarders_bypass(forwarders, g_intern_string("w1"), NOW_US);
	CU_ASSERT_STRING_EQUAL(choose(forwarders, "w1", "a", NOW_US), "");
	CU_ASSERT_STRING_EQUAL(choose(forwarders, "w2", "a", NOW_US), "e2");
	CU_ASSERT_STRING_EQUAL(
		choose(forwarders, "w2", "a", NOW_US + 10 * USEC_PER_SEC), "");
	forwarders_free(forwarders);
}

static bool is_probed(struct forwarders *forwarders, const char *entry,
		      int64_t now_us)
{
	GPtrArray *selected = forwarders_to_probe(forwarders, now_us);
	bool found = false;

	for (guint i = 0; i < selected->len; i++)
		found |= !strcmp(
			((struct forwarder *)selected->pdata[i])->entry, entry);
	g_ptr_array_unref(selected);
	return found;
}

/* Guards against entry instances that have gone and keep others from use. */
static void test_probes(void)
{
	struct forwarders *forwarders = forwarders_new("e1");

	add(forwarders, "gone1", "a", 900);
	add(forwarders, "gone2", "a", 900);
	add(forwarders, "e4", "a", 500);
	CU_ASSERT_FALSE(is_probed(forwarders, "e4", NOW_US));
	CU_ASSERT_TRUE(is_probed(forwarders, "e4", NOW_US + 2 * USEC_PER_SEC));
	CU_ASSERT_FALSE(
		is_probed(forwarders, "gone1", NOW_US + 2 * USEC_PER_SEC));
	forwarders_free(forwarders);
}

static struct forward_msg *sample_orders(void)
{
	struct forward_msg *msg = forward_msg_new();
	struct order *order = order_new(ORDER_START);

	g_strlcpy(msg->from, "10.0.0.1:7060", sizeof(msg->from));
	order->forward_id = 9;
	order->worker = g_intern_string("w1");
	g_strlcpy(order->address, "10.0.0.2:80", sizeof(order->address));
	order->token = 7;
	g_strlcpy(order->item, "00000000000000a1.0.0.1", sizeof(order->item));
	order->run = 3;
	order->spec = job_spec_new();
	order->spec->text = g_strdup("text");
	order->ticket = g_strdup("ticket");
	order->lease_ms = 8000;
	g_ptr_array_add(msg->orders, order);
	return msg;
}

/* Encodes a message and decodes it again; fatal to the test if that fails. */
static struct forward_msg *read_back(const struct forward_msg *msg)
{
	GBytes *bytes = forward_msg_encode(msg);
	struct forward_msg *read = forward_msg_decode(
		g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));

	g_bytes_unref(bytes);
	if (!read) {
		CU_FAIL_FATAL("the encoded message can't be decoded");
		abort(); /* The analyzer doesn't know that CUnit jumps out. */
	}
	return read;
}

/* Guards against losing what makes a late order harmless. */
static void test_orders(void)
{
	struct forward_msg *msg = sample_orders();
	struct forward_msg *read = read_back(msg);
	const struct order *order;

	CU_ASSERT_FALSE(read->is_reply);
	CU_ASSERT_EQUAL_FATAL(read->orders->len, 1);
	order = read->orders->pdata[0];
	CU_ASSERT_EQUAL(order->kind, ORDER_START);
	CU_ASSERT_EQUAL(order->forward_id, 9);
	CU_ASSERT_EQUAL(order->token, 7);
	CU_ASSERT_EQUAL(order->run, 3);
	CU_ASSERT_EQUAL(order->lease_ms, 8000);
	CU_ASSERT_STRING_EQUAL(order->worker, "w1");
	CU_ASSERT_STRING_EQUAL(order->spec->text, "text");
	CU_ASSERT_STRING_EQUAL(order->ticket, "ticket");
	CU_ASSERT_PTR_NULL(order->checkpoint);
	forward_msg_unref(read);
	forward_msg_unref(msg);
	CU_ASSERT_PTR_NULL(forward_msg_decode("\xff", 1));
}

/* Guards against lists that lose a row: running work would look ended. */
static void test_results(void)
{
	struct forward_msg *msg = forward_msg_new();
	struct order *order = order_new(ORDER_HOLD);
	struct running_row running = { .item = "a", .run = 1, .percent = 40 };
	struct ended_row ended = { .number = 5, .item = "b", .run = 2 };
	struct forward_msg *read;

	msg->is_reply = true;
	msg->busy_percent = 12;
	order->forward_id = 9;
	order->result = ORDER_NO_ROOM;
	order->has_clock = true;
	order->clock_ms = 4711;
	g_array_append_val(order->running, running);
	g_array_append_val(order->ended, ended);
	g_ptr_array_add(msg->orders, order);
	read = read_back(msg);
	CU_ASSERT_EQUAL(read->busy_percent, 12);
	order = read->orders->pdata[0];
	CU_ASSERT_EQUAL(order->result, ORDER_NO_ROOM);
	CU_ASSERT_EQUAL(order->clock_ms, 4711);
	CU_ASSERT_EQUAL_FATAL(order->running->len, 1);
	CU_ASSERT_EQUAL(
		g_array_index(order->running, struct running_row, 0).percent,
		40);
	CU_ASSERT_EQUAL_FATAL(order->ended->len, 1);
	CU_ASSERT_EQUAL(g_array_index(order->ended, struct ended_row, 0).number,
			5);
	forward_msg_unref(read);
	forward_msg_unref(msg);
}

static const CU_TestInfo tests[] = {
	{ "choice", test_choice },   { "failure", test_failure },
	{ "probes", test_probes },   { "orders", test_orders },
	{ "results", test_results }, CU_TEST_INFO_NULL,
};

static struct suite forward_suite = { .name = "forward", .tests = tests };

SUITE_REGISTER(forward_suite)
