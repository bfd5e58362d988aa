/* The links between entry instances, against raw ZeroMQ sockets. */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "codec/peer_codec.h"
#include "contract/harness.h"
#include "core/fleet_state.h"
#include "runner/suite.h"

/* More messages than the plug-in receives in one loop turn. */
#define FLOOD_COUNT 600

struct peer_test {
	struct harness *harness;
	void *context;
	void *router; /* a peer called e2 */
	void *dealer; /* connected to the plug-in */
	char router_address[ADDRESS_SIZE_BYTES];
};

static void find_free_address(char address[ADDRESS_SIZE_BYTES])
{
	struct sockaddr_in local = {
		.sin_family = AF_INET,
		.sin_addr = { .s_addr = htonl(INADDR_LOOPBACK) },
	};
	socklen_t size_bytes = sizeof(local);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&local, size_bytes),
			      0);
	getsockname(fd, (struct sockaddr *)&local, &size_bytes);
	close(fd);
	g_snprintf(address, ADDRESS_SIZE_BYTES, "127.0.0.1:%u",
		   ntohs(local.sin_port));
}

static struct peer_test *test_new(void)
{
	struct peer_test *test = g_new0(struct peer_test, 1);
	struct settings *settings;
	char endpoint[ADDRESS_SIZE_BYTES + 8];
	size_t size_bytes = sizeof(endpoint);

	test->harness = harness_new("e1");
	settings = test->harness->settings;
	find_free_address(settings->peer_address);
	test->context = zmq_ctx_new();
	test->router = zmq_socket(test->context, ZMQ_ROUTER);
	zmq_bind(test->router, "tcp://127.0.0.1:*");
	zmq_getsockopt(test->router, ZMQ_LAST_ENDPOINT, endpoint, &size_bytes);
	name_copy(test->router_address, ADDRESS_SIZE_BYTES,
		  endpoint + strlen("tcp://"));
	test->dealer = zmq_socket(test->context, ZMQ_DEALER);
	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s",
		   settings->peer_address);
	zmq_connect(test->dealer, endpoint);
	return test;
}

static void test_free(struct peer_test *test)
{
	harness_free(test->harness);
	zmq_close(test->dealer);
	zmq_close(test->router);
	zmq_ctx_term(test->context);
	g_free(test);
}

static uint64_t counter_value(const struct peer_test *test, const char *name)
{
	return counter_get(kernel_counters(test->harness->kernel), name);
}

static void deliver(struct peer_test *test, const char *from,
		    enum peer_msg_kind kind)
{
	struct peer_msg *msg = peer_msg_new(kind);
	gsize size_bytes;
	const void *data;
	GBytes *bytes;

	name_copy(msg->from, sizeof(msg->from), from);
	name_copy(msg->endpoint, sizeof(msg->endpoint), "i1");
	msg->hlc = UINT64_C(1) << 62;
	bytes = peer_msg_encode(msg);
	data = g_bytes_get_data(bytes, &size_bytes);
	zmq_send(test->dealer, data, size_bytes, 0);
	g_bytes_unref(bytes);
	peer_msg_free(msg);
}

/* Guards against accepting messages of no peer, or crashing on them. */
static void test_received(void)
{
	struct peer_test *test = test_new();
	const struct event *event;

	harness_start(test->harness, PLUGIN_PEER, "zmq");
	zmq_send(test->dealer, "", 0, 0);
	zmq_send(test->dealer, "noise", 5, 0);
	zmq_send(test->dealer, "two", 3, ZMQ_SNDMORE);
	zmq_send(test->dealer, "frames", 6, 0);
	deliver(test, "e1", PEER_MSG_HEARTBEAT);
	deliver(test, "e3", PEER_MSG_LOAN_ASK);
	harness_run_until(test->harness, EVENT_PEER_RECEIVED, 1);
	event = harness_event(test->harness, EVENT_PEER_RECEIVED, 0);
	CU_ASSERT_STRING_EQUAL(event->peer.peer, "e3");
	CU_ASSERT_EQUAL(event->peer.msg->kind, PEER_MSG_LOAN_ASK);
	CU_ASSERT_STRING_EQUAL(event->peer.msg->endpoint, "i1");
	CU_ASSERT_EQUAL(counter_value(test, "peer_damaged_total"), 3);
	CU_ASSERT_EQUAL(counter_value(test, "peer_unknown_total"), 1);
	/* The clock has advanced past that of the message. */
	CU_ASSERT_TRUE(timeline_next_hlc(kernel_timeline(
			       test->harness->kernel)) > UINT64_C(1) << 62);
	test_free(test);
}

/* Guards against unread messages: the descriptor is edge-triggered. */
static void test_flood(void)
{
	struct peer_test *test = test_new();

	for (uint32_t i = 0; i < FLOOD_COUNT; i++)
		deliver(test, "e3", PEER_MSG_HEARTBEAT);
	harness_start(test->harness, PLUGIN_PEER, "zmq");
	harness_run_until(test->harness, EVENT_PEER_RECEIVED, FLOOD_COUNT);
	CU_ASSERT_EQUAL(counter_value(test, "peer_received_total"),
			FLOOD_COUNT);
	test_free(test);
}

static struct peer_msg *receive(struct peer_test *test, int wait_ms)
{
	zmq_pollitem_t item = { .socket = test->router, .events = ZMQ_POLLIN };
	char reason[REASON_SIZE_BYTES];
	struct peer_msg *msg = NULL;
	zmq_msg_t frame;

	if (zmq_poll(&item, 1, wait_ms) <= 0)
		return NULL;
	zmq_msg_init(&frame);
	zmq_msg_recv(&frame, test->router, 0);
	zmq_msg_recv(&frame, test->router, 0);
	msg = peer_msg_decode(zmq_msg_data(&frame), zmq_msg_size(&frame),
			      reason);
	zmq_msg_close(&frame);
	CU_ASSERT_PTR_NOT_NULL(msg);
	return msg;
}

static void send_to(struct peer_test *test, const char *peer)
{
	struct event event = { .type = EVENT_PEER_SEND };

	event.peer.msg = peer_msg_new(PEER_MSG_HEARTBEAT);
	name_copy(event.peer.msg->from, NAME_SIZE_BYTES, "e1");
	name_copy(event.peer.peer, sizeof(event.peer.peer), peer);
	harness_emit(test->harness, &event);
}

/* Sends until connected: before, messages are dropped. */
static void expect_message(struct peer_test *test, const char *peer)
{
	struct peer_msg *msg;

	do {
		send_to(test, peer);
		msg = receive(test, 20);
	} while (!msg);
	CU_ASSERT_STRING_EQUAL(msg->from, "e1");
	CU_ASSERT_NOT_EQUAL(msg->hlc, 0);
	peer_msg_free(msg);
}

static void change_roster(struct peer_test *test, enum record_kind kind)
{
	struct record *record = record_new(kind);
	struct fleet *fleet = kernel_fleet(test->harness->kernel);
	struct event event = { .type = EVENT_FLEET_CHANGED };
	struct fleet_outcome outcome;

	name_copy(record->id.entry, sizeof(record->id.entry), "e2");
	record->id.incarnation = 1;
	record->id.sequence = fleet_offset(fleet) + 1;
	name_copy(record->entry.name, sizeof(record->entry.name), "e2");
	record->entry.incarnation = 1;
	name_copy(record->entry.peer_address, ADDRESS_SIZE_BYTES,
		  test->router_address);
	fleet_apply(fleet, fleet_offset(fleet) + 1, record, &outcome);
	event.record.record = record;
	event.record.accepted = outcome.accepted;
	harness_emit(test->harness, &event);
}

/* Guards against ignoring peers of the settings. */
static void test_settings_peer(void)
{
	struct peer_test *test = test_new();
	struct settings_peer peer = { .name = "e2", .dc = "dc" };

	name_copy(peer.address, sizeof(peer.address), test->router_address);
	g_array_append_val(test->harness->settings->peers, peer);
	harness_start(test->harness, PLUGIN_PEER, "zmq");
	CU_ASSERT_EQUAL(counter_value(test, "peer_links"), 1);
	expect_message(test, "e2");
	expect_message(test, "");
	send_to(test, "nobody");
	CU_ASSERT_TRUE(counter_value(test, "peer_send_dropped_total") > 0);
	test_free(test);
}

/* Guards against links that are not updated with the roster. */
static void test_roster(void)
{
	struct peer_test *test = test_new();
	uint64_t dropped_count;

	harness_start(test->harness, PLUGIN_PEER, "zmq");
	CU_ASSERT_EQUAL(counter_value(test, "peer_links"), 0);
	change_roster(test, RECORD_ENTRY_JOIN);
	CU_ASSERT_EQUAL(counter_value(test, "peer_links"), 1);
	expect_message(test, "e2");
	change_roster(test, RECORD_ENTRY_LEAVE);
	CU_ASSERT_EQUAL(counter_value(test, "peer_links"), 0);
	dropped_count = counter_value(test, "peer_send_dropped_total");
	send_to(test, "e2");
	CU_ASSERT_EQUAL(counter_value(test, "peer_send_dropped_total"),
			dropped_count + 1);
	test_free(test);
}

/* Guards against unbounded queues for a peer that does not answer. */
static void test_bounded(void)
{
	struct peer_test *test = test_new();
	struct settings_peer peer = { .name = "e2", .dc = "dc" };

	/* Nothing listens there. */
	find_free_address(peer.address);
	g_array_append_val(test->harness->settings->peers, peer);
	harness_start(test->harness, PLUGIN_PEER, "zmq");
	for (uint32_t i = 0; i < FLOOD_COUNT; i++)
		send_to(test, "");
	CU_ASSERT_EQUAL(counter_value(test, "peer_send_dropped_total"),
			FLOOD_COUNT);
	CU_ASSERT_EQUAL(counter_value(test, "peer_sent_total"), 0);
	test_free(test);
}

static const CU_TestInfo tests[] = {
	{ "received", test_received },
	{ "flood", test_flood },
	{ "settings_peer", test_settings_peer },
	{ "roster", test_roster },
	{ "bounded", test_bounded },
	CU_TEST_INFO_NULL,
};

static struct suite peer_suite = { .name = "peer_zmq", .tests = tests };

SUITE_REGISTER(peer_suite)
