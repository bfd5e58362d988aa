/*
 * Random events for the router alone, from fixed seeds. After each event the
 * driver checks the router's output against its own model of the requests.
 */

#include <string.h>

#include "codec/decl_yaml.h"
#include "decide/router.h"
#include "kernel/kernel.h"
#include "runner/suite.h"

#define SEEDS_COUNT 40
#define STEPS_COUNT 1500
#define ENDPOINTS_COUNT 6

static const char declarations[] =
	"members: [{name: m1, weight: 2}, {name: m2, quota: 20}]\n"
	"pools:\n"
	"- {name: p1, max_unavailable: 1}\n"
	"- {name: p2, max_unavailable: 1, lend: true, reserve: 1}\n"
	"instances:\n"
	"- {name: i0, address: '127.0.0.1:1', dc: dc1, rack: r, pool: p1}\n"
	"- {name: i1, address: '127.0.0.1:2', dc: dc1, rack: r, pool: p1}\n"
	"- {name: i2, address: '127.0.0.1:3', dc: dc1, rack: r, pool: p1}\n"
	"- {name: i3, address: '127.0.0.1:4', dc: dc1, rack: r, pool: p2}\n"
	"- {name: i4, address: '127.0.0.1:5', dc: dc1, rack: r, pool: p2}\n"
	"- {name: i5, address: '127.0.0.1:6', dc: dc2, rack: r, pool: p1}\n"
	"services:\n"
	"- {name: a, member: m1, pool: p1, path: /a, urgency: urgent,"
	" idempotent: true, deadline_ms: 400, timeout_ms: 200}\n"
	"- {name: b, member: m2, pool: p1, path: /b, urgency: background,"
	" idempotent: true, deadline_ms: 900, timeout_ms: 200}\n"
	"- {name: c, member: m1, pool: p2, path: /c, urgency: normal,"
	" idempotent: false, key: optional, deadline_ms: 600,"
	" timeout_ms: 200}\n"
	"- {name: d, member: m2, pool: p2, path: /d, urgency: urgent,"
	" idempotent: false, deadline_ms: 600, timeout_ms: 200}\n";

static const char *const paths[] = { "/a", "/b", "/c/1", "/d?x", "/none" };

/* The driver's model of one request. */
struct request_model {
	uint64_t id;
	int64_t deadline_us; /* 0: the service's own */
	bool idempotent;
	bool relayed;
	bool claim_wanted;
	bool in_flight;
	bool ran;
	bool may_have_run;
	uint32_t run_count;	      /* attempts that ran or may have run */
	struct event_attempt attempt; /* the latest */
	uint32_t reply_count;
};

struct driver {
	struct settings *settings;
	struct kernel *kernel;
	GRand *random;
	int64_t now_us;
	GPtrArray *requests; /* of struct request_model, owned */
	uint32_t in_flight_counts[ENDPOINTS_COUNT];
	uint32_t drained_count;
	uint32_t violation_count;
	GString *violations;
};

static void report_violation(struct driver *driver,
			     const struct request_model *model,
			     const char *message)
{
	driver->violation_count++;
	g_string_append_printf(driver->violations, "    request %u: %s\n",
			       model ? (uint32_t)model->id : 0, message);
}

static struct request_model *find_model(struct driver *driver, uint64_t id)
{
	for (guint i = 0; i < driver->requests->len; i++) {
		struct request_model *model = driver->requests->pdata[i];

		if (model->id == id)
			return model;
	}
	return NULL;
}

/* A random number from 0 to count - 1. */
static uint32_t draw(struct driver *driver, uint32_t count)
{
	return (uint32_t)g_rand_int_range(driver->random, 0, (gint32)count);
}

static uint32_t endpoint_index(const char *name)
{
	return (uint32_t)(name[1] - '0');
}

static void check_slot(struct driver *driver, const struct request_model *model,
		       const struct event_attempt *attempt)
{
	const struct endpoint_state *state = endpoint_table_find(
		kernel_endpoints(driver->kernel), attempt->endpoint);
	uint32_t *count =
		&driver->in_flight_counts[endpoint_index(attempt->endpoint)];

	if (!state || *count >= state->allowed_count)
		report_violation(driver, model, "sent without a free slot");
	else if (state->leaving || (state->ejected && !state->probing))
		report_violation(driver, model,
				 "sent to a leaving or ejected endpoint");
	else if (state->ejected && *count)
		report_violation(driver, model, "second probe at a time");
	if (!strcmp(attempt->endpoint, "i5"))
		report_violation(driver, model, "sent to another data centre");
	(*count)++;
}

static void on_send(struct driver *driver, const struct event_attempt *attempt)
{
	struct request_model *model = find_model(driver, attempt->request_id);

	if (!model || model->reply_count) {
		report_violation(driver, model, "sent after its reply");
		return;
	}
	if (model->in_flight)
		report_violation(driver, model, "two attempts at a time");
	if (!model->idempotent && model->run_count)
		report_violation(driver, model,
				 "non-idempotent and sent again");
	if (model->claim_wanted)
		report_violation(driver, model,
				 "sent before its claim was decided");
	if (attempt->relayed && model->relayed)
		report_violation(driver, model, "relayed twice");
	if (attempt->deadline_us <= driver->now_us)
		report_violation(driver, model, "sent after its deadline");
	if (!attempt->relayed)
		check_slot(driver, model, attempt);
	model->in_flight = true;
	model->attempt = *attempt;
}

static void on_reply(struct driver *driver, const struct event_request *reply)
{
	struct request_model *model = find_model(driver, reply->request_id);

	if (!model) {
		report_violation(driver, model, "reply to an unknown request");
		return;
	}
	if (model->reply_count++)
		report_violation(driver, model, "second reply");
	if (model->in_flight)
		report_violation(driver, model, "reply while an attempt runs");
	if (reply->verdict == VERDICT_NONE)
		report_violation(driver, model, "reply without a verdict");
	if (reply->verdict == VERDICT_NOT_RUN && model->run_count)
		report_violation(driver, model, "not-run, but it may have run");
	if (reply->verdict == VERDICT_RAN && !model->ran)
		report_violation(driver, model, "ran, but no attempt did");
	if (model->ran && reply->verdict != VERDICT_RAN)
		report_violation(driver, model,
				 "an attempt ran, but the verdict differs");
	request_remove(kernel_requests(driver->kernel), reply->request_id);
}

static void sink_handle(void *self, const struct event *event)
{
	struct driver *driver = self;

	if (event->type == EVENT_ATTEMPT_SEND)
		on_send(driver, &event->attempt);
	else if (event->type == EVENT_REQUEST_REPLY)
		on_reply(driver, &event->request);
	else if (event->type == EVENT_CLAIM_WANTED)
		find_model(driver, event->claim.request_id)->claim_wanted =
			true;
	else
		driver->drained_count++;
}

static const struct plugin sink_plugin = {
	.name = "~sink",
	.kind = PLUGIN_FRONT,
	.subscriptions =
		EVENT_BIT(EVENT_ATTEMPT_SEND) | EVENT_BIT(EVENT_REQUEST_REPLY) |
		EVENT_BIT(EVENT_CLAIM_WANTED) | EVENT_BIT(EVENT_DRAINED),
	.handle = sink_handle,
};

static void check_counts(struct driver *driver)
{
	for (uint32_t i = 0; i < ENDPOINTS_COUNT; i++) {
		char name[3] = { 'i', (char)('0' + i), '\0' };
		const struct endpoint_state *state = endpoint_table_find(
			kernel_endpoints(driver->kernel), name);

		if (state &&
		    state->in_flight_count != driver->in_flight_counts[i])
			report_violation(driver, NULL,
					 "wrong count of slots in use");
	}
}

static void run(struct driver *driver, const struct event *event)
{
	kernel_emit(driver->kernel, event);
	kernel_run(driver->kernel);
	check_counts(driver);
}

static void advance(struct driver *driver, int64_t us)
{
	driver->now_us += us;
	kernel_set_time(driver->kernel, driver->now_us, driver->now_us);
	kernel_run(driver->kernel);
	check_counts(driver);
}

static void new_request(struct driver *driver)
{
	struct request *request = request_add(kernel_requests(driver->kernel));
	struct request_model *model = g_new0(struct request_model, 1);
	struct event event = { .type = EVENT_REQUEST_NEW };
	const char *path = paths[draw(driver, G_N_ELEMENTS(paths))];

	request->path = g_strdup(path);
	request->arrived_us = driver->now_us;
	request->relayed = draw(driver, 10) == 0;
	if (draw(driver, 4) == 0)
		request->deadline_us =
			driver->now_us + (int64_t)draw(driver, 300000);
	if (draw(driver, 2))
		name_copy(request->key, sizeof(request->key), "1-key");
	model->id = request->id;
	model->relayed = request->relayed;
	model->idempotent = path[1] == 'a' || path[1] == 'b';
	event.request.request_id = request->id;
	g_ptr_array_add(driver->requests, model);
	run(driver, &event);
}

/* One of the last 40 requests, or NULL if there is none. */
static struct request_model *recent_request(struct driver *driver)
{
	guint count = driver->requests->len;
	uint32_t back;

	if (!count)
		return NULL;
	back = draw(driver, MIN(count, 40));
	return driver->requests->pdata[count - 1 - back];
}

static void end_attempt(struct driver *driver, struct request_model *model,
			enum attempt_result result)
{
	struct event done = {
		.type = EVENT_ATTEMPT_DONE,
		.attempt = model->attempt,
	};

	if (!model->in_flight)
		return;
	model->in_flight = false;
	if (!model->attempt.relayed)
		driver->in_flight_counts[endpoint_index(
			model->attempt.endpoint)]--;
	done.attempt.result = result;
	done.attempt.latency_us = 1000 + draw(driver, 100000);
	done.attempt.verdict = result == ATTEMPT_ANSWERED ? VERDICT_RAN
			       : result == ATTEMPT_REFUSED
				       ? VERDICT_NOT_RUN
				       : VERDICT_MAY_HAVE_RUN;
	if (result == ATTEMPT_ANSWERED) {
		done.attempt.status = draw(driver, 3) ? 200 : 500;
		if (model->attempt.relayed && draw(driver, 3) == 0) {
			done.attempt.status = 503;
			done.attempt.verdict = VERDICT_NOT_RUN;
		}
		done.response = response_new(done.attempt.status, "text/plain",
					     g_bytes_new_static("x", 1));
	}
	model->ran |= done.attempt.verdict == VERDICT_RAN;
	model->run_count += done.attempt.verdict != VERDICT_NOT_RUN;
	run(driver, &done);
}

/* An answer of an attempt that has ended or never existed. */
static void send_stray_answer(struct driver *driver,
			      const struct request_model *model)
{
	struct event done = {
		.type = EVENT_ATTEMPT_DONE,
		.attempt = model->attempt,
	};

	done.attempt.request_id = model->id;
	done.attempt.result = ATTEMPT_ANSWERED;
	done.attempt.verdict = VERDICT_RAN;
	done.attempt.status = 200;
	if (model->in_flight && draw(driver, 2))
		done.attempt.attempt += 1 + draw(driver, 2);
	else if (model->in_flight)
		name_copy(done.attempt.endpoint, NAME_SIZE_BYTES, "other");
	run(driver, &done);
}

static void change_endpoint(struct driver *driver)
{
	struct event event = { .type = EVENT_SLOTS_CHANGED };
	char name[3] = { 'i', (char)('0' + draw(driver, ENDPOINTS_COUNT)),
			 '\0' };
	struct endpoint_state *state =
		endpoint_table_get(kernel_endpoints(driver->kernel), name);

	if (draw(driver, 2)) {
		state->allowed_count = draw(driver, 5);
	} else {
		event.type = EVENT_ENDPOINT_HEALTH;
		state->leaving = draw(driver, 4) == 0;
		state->ejected = draw(driver, 4) == 0;
		state->probing = draw(driver, 2) == 0;
	}
	name_copy(event.subject.name, NAME_SIZE_BYTES, name);
	run(driver, &event);
}

static void send_peer_event(struct driver *driver)
{
	struct event event = { .type = EVENT_PEER_RECEIVED };
	struct peer_pool_load load = { .free_slots_count = draw(driver, 3),
				       .wait_us = draw(driver, 200000) };

	if (draw(driver, 4) == 0) {
		event.type = EVENT_PEER_STATE;
		event.peer.state = draw(driver, 3);
	} else {
		event.peer.msg = peer_msg_new(PEER_MSG_HEARTBEAT);
		name_copy(event.peer.msg->from, NAME_SIZE_BYTES, "n2");
		name_copy(load.pool, NAME_SIZE_BYTES,
			  draw(driver, 2) ? "p1" : "p2");
		event.peer.msg->loads = g_array_new(FALSE, TRUE, sizeof(load));
		g_array_append_val(event.peer.msg->loads, load);
	}
	name_copy(event.peer.peer, NAME_SIZE_BYTES, "n2");
	run(driver, &event);
}

static void decide_claim(struct driver *driver, struct request_model *model)
{
	struct event event = { .type = EVENT_CLAIM_DECIDED };

	if (!model->claim_wanted)
		return;
	model->claim_wanted = false;
	event.claim.request_id = model->id;
	event.claim.may_run = draw(driver, 4) != 0;
	event.claim.verdict = VERDICT_MAY_HAVE_RUN;
	event.claim.status = 409;
	run(driver, &event);
}

static void disconnect_caller(struct driver *driver,
			      const struct request_model *model)
{
	struct event event = { .type = EVENT_REQUEST_GONE };

	event.request.request_id = model->id;
	run(driver, &event);
}

static void random_step(struct driver *driver)
{
	struct request_model *model = recent_request(driver);
	uint32_t choice = draw(driver, 100);

	if (choice < 35 || !model)
		new_request(driver);
	else if (choice < 65)
		end_attempt(driver, model,
			    draw(driver, 2)
				    ? ATTEMPT_ANSWERED
				    : (enum attempt_result)draw(
					      driver, ATTEMPT_CANCELLED));
	else if (choice < 70)
		send_stray_answer(driver, model);
	else if (choice < 73)
		disconnect_caller(driver, model);
	else if (choice < 80)
		decide_claim(driver, model);
	else if (choice < 84)
		change_endpoint(driver);
	else if (choice < 87)
		send_peer_event(driver);
	else
		advance(driver, draw(driver, 20000));
}

static void apply(struct driver *driver, struct record *record,
		  uint64_t sequence)
{
	struct event changed = { .type = EVENT_FLEET_CHANGED };
	struct fleet_outcome outcome;

	name_copy(record->id.entry, NAME_SIZE_BYTES, record->entry.name);
	if (record->kind != RECORD_ENTRY_JOIN)
		name_copy(record->id.entry, NAME_SIZE_BYTES, "n1");
	record->id.incarnation = 1;
	record->id.sequence = sequence;
	CU_ASSERT_TRUE(fleet_apply(kernel_fleet(driver->kernel), sequence,
				   record, &outcome));
	changed.record.record = record;
	changed.record.accepted = true;
	run(driver, &changed);
}

static void join(struct driver *driver, const char *name, const char *dc,
		 uint64_t sequence)
{
	struct record *record = record_new(RECORD_ENTRY_JOIN);

	name_copy(record->entry.name, NAME_SIZE_BYTES, name);
	name_copy(record->entry.dc, NAME_SIZE_BYTES, dc);
	record->entry.incarnation = 1;
	apply(driver, record, sequence);
}

static void configure(struct driver *driver, const char *text)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct record *put = record_new(RECORD_CONFIG_PUT);

	join(driver, "n1", "dc1", 1);
	join(driver, "n2", "dc2", 2);
	name_copy(put->config.file, NAME_SIZE_BYTES, "f");
	put->config.decl = decl_parse("f", text, strlen(text), false, errors);
	CU_ASSERT_PTR_NOT_NULL_FATAL(put->config.decl);
	apply(driver, put, 3);
	g_ptr_array_unref(errors);
}

static void driver_init(struct driver *driver, uint32_t seed, const char *text)
{
	*driver = (struct driver){ .settings = settings_new() };
	name_copy(driver->settings->dc, NAME_SIZE_BYTES, "dc1");
	name_copy(driver->settings->entry, NAME_SIZE_BYTES, "n1");
	driver->kernel = kernel_new(driver->settings, 1, seed);
	driver->random = g_rand_new_with_seed(seed);
	driver->requests = g_ptr_array_new_with_free_func(g_free);
	driver->violations = g_string_new(NULL);
	kernel_start_plugin(driver->kernel,
			    plugin_find(PLUGIN_DECIDE, "router"));
	kernel_start_plugin_with(driver->kernel, &sink_plugin, driver);
	advance(driver, 1);
	configure(driver, text);
}

static void driver_clear(struct driver *driver)
{
	kernel_free(driver->kernel);
	settings_free(driver->settings);
	g_rand_free(driver->random);
	g_ptr_array_unref(driver->requests);
	g_string_free(driver->violations, TRUE);
}

/* Drains, ends all attempts and checks that each request got one reply. */
static void finish(struct driver *driver)
{
	struct event drain = { .type = EVENT_DRAIN };

	drain.drain.deadline_us = driver->now_us + 100000;
	run(driver, &drain);
	new_request(driver);
	advance(driver, 100000);
	for (guint i = 0; i < driver->requests->len; i++)
		end_attempt(driver, driver->requests->pdata[i],
			    ATTEMPT_CANCELLED);
	for (guint i = 0; i < driver->requests->len; i++) {
		const struct request_model *model = driver->requests->pdata[i];

		if (model->reply_count != 1)
			report_violation(driver, model, "no reply, or several");
	}
	if (driver->drained_count != 1)
		report_violation(driver, NULL, "not drained, or several times");
	if (request_count(kernel_requests(driver->kernel)))
		report_violation(driver, NULL, "requests are left");
}

/*
 * Guards against lost or repeated replies, wrong verdicts, wrong slot counts
 * and repeated runs of non-idempotent requests, under random event orders.
 */
static void test_random(void)
{
	for (uint32_t seed = 1; seed <= SEEDS_COUNT; seed++) {
		struct driver driver;

		driver_init(&driver, seed, declarations);
		for (uint32_t i = 0; i < STEPS_COUNT; i++)
			random_step(&driver);
		finish(&driver);
		if (driver.violation_count)
			printf("\n    seed %u:\n%s", seed,
			       driver.violations->str);
		CU_ASSERT_EQUAL(driver.violation_count, 0);
		driver_clear(&driver);
	}
}

static const char routes[] =
	"members: [{name: m}]\n"
	"pools: [{name: p, max_unavailable: 0}]\n"
	"instances:\n"
	"- {name: i0, address: '127.0.0.1:1', dc: dc1, rack: r, pool: p}\n"
	"services:\n"
	"- {name: s1, member: m, pool: p, path: /a, urgency: urgent,"
	" idempotent: true}\n"
	"- {name: s2, member: m, pool: p, path: /a/b/, urgency: urgent,"
	" idempotent: true}\n"
	"- {name: s3, member: m, pool: p, path: /a/b/c, urgency: urgent,"
	" idempotent: true}\n"
	"- {name: s4, member: m, pool: p, path: /b/, urgency: urgent,"
	" idempotent: true}\n"
	"- {name: s5, member: m, pool: p, path: '/a?b', urgency: urgent,"
	" idempotent: true}\n";

static void check_route(const struct router *router, const struct fleet *fleet,
			const char *path)
{
	const struct decl_service *expected =
		fleet_find_service_by_path(fleet, path);
	const struct router_service *found =
		router_index_find_service(router, path);

	CU_ASSERT_EQUAL(!expected, !found);
	if (expected && found)
		CU_ASSERT_STRING_EQUAL(found->decl.name, expected->name);
}

/* Guards against a route index that deviates from the declared prefixes. */
static void test_route(void)
{
	static const char characters[] = "/ab?c";
	struct driver driver;
	const struct router *router;

	driver_init(&driver, 1, routes);
	router = kernel_plugin_self(driver.kernel, PLUGIN_DECIDE, "router");
	for (uint32_t i = 0; i < 20000; i++) {
		char path[80] = "/";
		uint32_t length = draw(&driver, i % 50 ? 8 : sizeof(path) - 1);

		for (uint32_t k = 1; k < length; k++)
			path[k] = characters[draw(&driver,
						  sizeof(characters) - 1)];
		check_route(router, kernel_fleet(driver.kernel), path);
	}
	driver_clear(&driver);
}

static const CU_TestInfo tests[] = {
	{ "route", test_route },
	{ "random", test_random },
	CU_TEST_INFO_NULL,
};

static struct suite router_suite = {
	.name = "router",
	.tests = tests,
};

SUITE_REGISTER(router_suite)
