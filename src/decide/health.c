/*
 * Health of the endpoints: smoothed service time, ejection of failing
 * endpoints and probes to restore them, and which endpoints are leaving by the
 * platform's list.
 */

#include <string.h>

#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "health"

/* Failures in a row that eject an endpoint. */
#define FAILURES_IN_ROW_COUNT 5
/* It is also ejected if more than half of its latest results are failures. */
#define WINDOW_RESULTS_COUNT 20
#define WINDOW_FAILURES_COUNT 10
/* Time until a probe; doubles with each ejection and each failed probe. */
#define BACKOFF_MIN_US (1 * USEC_PER_SEC)
#define BACKOFF_MAX_US (60 * USEC_PER_SEC)
/* A new measurement counts for an eighth of the smoothed service time. */
#define LATENCY_SHIFT 3
/* Lists in a row that must show an endpoint as live, and the time they span. */
#define LIVE_LISTS_COUNT 2
#define LIVE_SPAN_US (1 * USEC_PER_SEC)
#define HTTP_SERVER_ERROR 500

enum health_bit {
	HEALTH_LEAVING = 1,
	HEALTH_EJECTED = 2,
	HEALTH_PROBING = 4,
};

struct endpoint_health {
	char name[NAME_SIZE_BYTES];
	uint32_t failures_in_row_count;
	uint32_t window; /* latest results; a set bit is a failure */
	uint32_t window_count;
	int64_t backoff_us; /* of the latest ejection */
	int64_t probe_at_us;
	int64_t restored_us;
	bool probe_running;
	uint64_t probe_request_id;
	uint32_t probe_attempt;
	bool listed;		   /* was on the platform's list before */
	uint32_t live_lists_count; /* in a row while it is marked as leaving */
	int64_t live_since_us;
};

struct health {
	struct kernel *kernel;
	GHashTable *endpoints; /* name -> struct endpoint_health */
	GPtrArray *ejected;    /* of struct endpoint_health, oldest first */
};

static void *health_init(struct kernel *kernel)
{
	struct health *health = g_new0(struct health, 1);

	health->kernel = kernel;
	health->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	health->ejected = g_ptr_array_new();
	return health;
}

static void health_fini(void *self)
{
	struct health *health = self;

	g_ptr_array_unref(health->ejected);
	g_hash_table_unref(health->endpoints);
	g_free(health);
}

static struct endpoint_health *get_health(struct health *health,
					  const char *name)
{
	struct endpoint_health *endpoint =
		g_hash_table_lookup(health->endpoints, name);

	if (endpoint)
		return endpoint;
	endpoint = g_new0(struct endpoint_health, 1);
	name_copy(endpoint->name, sizeof(endpoint->name), name);
	g_hash_table_insert(health->endpoints, endpoint->name, endpoint);
	return endpoint;
}

static struct endpoint_state *get_state(const struct health *health,
					const char *name)
{
	return endpoint_table_get(kernel_endpoints(health->kernel), name);
}

static void report_change(struct health *health,
			  const struct endpoint_state *state, const char *text)
{
	struct event event = { .type = EVENT_ENDPOINT_HEALTH };
	struct timeline_entry entry = { .kind = TIMELINE_HEALTH };

	name_copy(event.subject.name, sizeof(event.subject.name), state->name);
	event.subject.value = (state->leaving ? HEALTH_LEAVING : 0) |
			      (state->ejected ? HEALTH_EJECTED : 0) |
			      (state->probing ? HEALTH_PROBING : 0);
	name_copy(entry.instance, sizeof(entry.instance), state->name);
	g_strlcpy(entry.text, text, sizeof(entry.text));
	timeline_add(kernel_timeline(health->kernel), &entry);
	kernel_emit(health->kernel, &event);
}

static bool is_in_service(const struct fleet_instance *instance)
{
	return instance->phase == INSTANCE_ACTIVE && !instance->down;
}

/* Endpoints of a pool that take no work, for whatever reason. */
static uint32_t unavailable_count(const struct health *health,
				  const struct fleet_pool *pool)
{
	uint32_t count = pool->unavailable_count;

	for (guint i = 0; i < pool->instances->len; i++) {
		const struct fleet_instance *instance =
			pool->instances->pdata[i];
		const struct endpoint_state *state = endpoint_table_find(
			kernel_endpoints(health->kernel), instance->decl.name);

		count += is_in_service(instance) && state &&
			 (state->leaving || state->ejected);
	}
	return count;
}

static const struct fleet_pool *pool_of(const struct health *health,
					const char *endpoint)
{
	const struct fleet *fleet = kernel_fleet(health->kernel);
	const struct fleet_instance *instance = fleet_instance(fleet, endpoint);

	return instance ? fleet_pool(fleet, instance->pool) : NULL;
}

static bool should_eject(const struct endpoint_health *endpoint)
{
	if (endpoint->failures_in_row_count >= FAILURES_IN_ROW_COUNT)
		return true;
	return endpoint->window_count >= WINDOW_RESULTS_COUNT &&
	       __builtin_popcount(endpoint->window) > WINDOW_FAILURES_COUNT;
}

static void set_backoff(struct health *health, struct endpoint_health *endpoint)
{
	int64_t now_us = kernel_now_us(health->kernel);

	if (endpoint->restored_us &&
	    now_us - endpoint->restored_us >= BACKOFF_MAX_US)
		endpoint->backoff_us = 0;
	endpoint->backoff_us =
		CLAMP(endpoint->backoff_us * 2, BACKOFF_MIN_US, BACKOFF_MAX_US);
	endpoint->probe_at_us = now_us + endpoint->backoff_us;
}

/* Ejects an endpoint if the availability budget of its pool allows. */
static void try_eject(struct health *health, struct endpoint_health *endpoint)
{
	struct endpoint_state *state = get_state(health, endpoint->name);
	const struct fleet_pool *pool = pool_of(health, endpoint->name);

	if (state->ejected || !pool || !should_eject(endpoint))
		return;
	if (unavailable_count(health, pool) >=
	    pool->decl.max_unavailable_count) {
		counter_add(kernel_counters(health->kernel),
			    "ejections_refused_total", 1);
		return;
	}
	set_backoff(health, endpoint);
	endpoint->probe_running = false;
	state->ejected = true;
	state->probing = false;
	g_ptr_array_add(health->ejected, endpoint);
	counter_add(kernel_counters(health->kernel), "ejections_total", 1);
	klog_info(LOG_PREFIX, "endpoint %s is ejected", endpoint->name);
	report_change(health, state, "ejected");
}

static void restore(struct health *health, struct endpoint_health *endpoint,
		    const char *text)
{
	struct endpoint_state *state = get_state(health, endpoint->name);

	state->ejected = false;
	state->probing = false;
	endpoint->probe_running = false;
	endpoint->failures_in_row_count = 0;
	endpoint->window = 0;
	endpoint->window_count = 0;
	endpoint->restored_us = kernel_now_us(health->kernel);
	g_ptr_array_remove(health->ejected, endpoint);
	report_change(health, state, text);
}

/* Ends the oldest ejections when a planned step uses some of the budget. */
static void enforce_budget(struct health *health)
{
	for (guint i = 0; i < health->ejected->len;) {
		struct endpoint_health *endpoint = health->ejected->pdata[i];
		const struct fleet_pool *pool = pool_of(health, endpoint->name);

		if (pool && unavailable_count(health, pool) <=
				    pool->decl.max_unavailable_count)
			i++;
		else
			restore(health, endpoint, "budget is used up");
	}
}

static bool is_failure(const struct event_attempt *attempt)
{
	return attempt->result != ATTEMPT_ANSWERED ||
	       attempt->status >= HTTP_SERVER_ERROR;
}

/* Fast failures must not lower the estimate, which would attract more work. */
static void update_latency(struct health *health,
			   const struct event_attempt *attempt)
{
	struct endpoint_state *state = get_state(health, attempt->endpoint);

	if (is_failure(attempt) && attempt->latency_us <= state->latency_us)
		return;
	if (is_failure(attempt) && !state->latency_us)
		return;
	if (!state->latency_us)
		state->latency_us = MAX(attempt->latency_us, 1);
	else
		state->latency_us += (attempt->latency_us - state->latency_us) /
				     (1 << LATENCY_SHIFT);
}

static void add_result(struct endpoint_health *endpoint, bool failed)
{
	endpoint->failures_in_row_count =
		failed ? endpoint->failures_in_row_count + 1 : 0;
	endpoint->window = ((endpoint->window << 1) | failed) &
			   ((1u << WINDOW_RESULTS_COUNT) - 1);
	endpoint->window_count =
		MIN(endpoint->window_count + 1, WINDOW_RESULTS_COUNT);
}

static void end_probe(struct health *health, struct endpoint_health *endpoint,
		      const struct event_attempt *attempt)
{
	struct endpoint_state *state = get_state(health, endpoint->name);

	endpoint->probe_running = false;
	if (attempt->result == ATTEMPT_CANCELLED) {
		state->probing = true;
		report_change(health, state, "probe was cancelled");
	} else if (is_failure(attempt)) {
		set_backoff(health, endpoint);
		report_change(health, state, "probe failed");
	} else {
		restore(health, endpoint, "restored");
	}
}

static void on_attempt_done(struct health *health, const struct event *event)
{
	const struct event_attempt *attempt = &event->attempt;
	struct endpoint_health *endpoint;
	bool probe;

	if (attempt->relayed)
		return;
	endpoint = get_health(health, attempt->endpoint);
	probe = endpoint->probe_running &&
		endpoint->probe_request_id == attempt->request_id &&
		endpoint->probe_attempt == attempt->attempt;
	if (attempt->result != ATTEMPT_CANCELLED)
		update_latency(health, attempt);
	if (probe) {
		end_probe(health, endpoint, attempt);
	} else if (attempt->result != ATTEMPT_CANCELLED &&
		   !get_state(health, endpoint->name)->ejected) {
		add_result(endpoint, is_failure(attempt));
		try_eject(health, endpoint);
	}
}

/* The first attempt that is sent to an endpoint in probing is the probe. */
static void on_dispatched(struct health *health, const struct event *event)
{
	struct endpoint_state *state;
	struct endpoint_health *endpoint;

	if (event->attempt.relayed)
		return;
	state = get_state(health, event->attempt.endpoint);
	if (!state->ejected || !state->probing)
		return;
	endpoint = get_health(health, event->attempt.endpoint);
	endpoint->probe_running = true;
	endpoint->probe_request_id = event->attempt.request_id;
	endpoint->probe_attempt = event->attempt.attempt;
	state->probing = false;
	report_change(health, state, "probe was sent");
}

static void check_probes(struct health *health)
{
	int64_t now_us = kernel_now_us(health->kernel);

	for (guint i = 0; i < health->ejected->len; i++) {
		struct endpoint_health *endpoint = health->ejected->pdata[i];
		struct endpoint_state *state =
			get_state(health, endpoint->name);

		if (state->probing || endpoint->probe_running)
			continue;
		if (now_us < endpoint->probe_at_us) {
			kernel_wake_at(health->kernel, endpoint->probe_at_us);
			continue;
		}
		state->probing = true;
		report_change(health, state, "may be probed");
	}
}

/*
 * An endpoint is marked as leaving at once, and unmarked only after several
 * lists over some time: a late answer may be older than the list that marked
 * it, and still show it as live. An endpoint that vanished from the list is
 * leaving too.
 */
static void update_leaving(struct health *health, const char *name,
			   const struct instance_list_item *item)
{
	struct endpoint_health *endpoint = get_health(health, name);
	struct endpoint_state *state = get_state(health, name);
	int64_t now_us = kernel_now_us(health->kernel);
	bool leaving = item ? item->state == LIST_LEAVING : endpoint->listed;

	endpoint->listed |= item != NULL;
	if (leaving || !state->leaving) {
		endpoint->live_lists_count = 0;
		if (leaving == state->leaving)
			return;
		state->leaving = true;
		report_change(health, state, "leaving");
		return;
	}
	if (!endpoint->live_lists_count++)
		endpoint->live_since_us = now_us;
	if (endpoint->live_lists_count < LIVE_LISTS_COUNT ||
	    now_us - endpoint->live_since_us < LIVE_SPAN_US)
		return;
	state->leaving = false;
	report_change(health, state, "live again");
}

static void on_list(struct health *health, const struct event *event)
{
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(health->kernel));
	const GArray *items = event->list.items;
	GHashTable *index;

	/* An empty list would take every endpoint out of service. */
	if (!items || !items->len)
		return;
	index = list_items_index(items);
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		update_leaving(health, instance->decl.name,
			       g_hash_table_lookup(index, instance->decl.name));
	}
	g_hash_table_unref(index);
	enforce_budget(health);
}

static bool changes_budget(const struct record *record)
{
	return record->kind == RECORD_CONFIG_PUT ||
	       record->kind == RECORD_CONFIG_REMOVE ||
	       (record->kind >= RECORD_MOVE_START &&
		record->kind <= RECORD_INSTANCE_UP);
}

static void health_handle(void *self, const struct event *event)
{
	struct health *health = self;

	switch (event->type) {
	case EVENT_ATTEMPT_DONE:
		on_attempt_done(health, event);
		break;
	case EVENT_DISPATCHED:
		on_dispatched(health, event);
		break;
	case EVENT_INSTANCE_LIST:
		on_list(health, event);
		break;
	case EVENT_FLEET_CHANGED:
		if (event->record.accepted &&
		    changes_budget(event->record.record))
			enforce_budget(health);
		break;
	case EVENT_FLEET_RESET:
		enforce_budget(health);
		break;
	default:
		break;
	}
	check_probes(health);
}

static const struct plugin health_plugin = {
	.name = "health",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_WAKE) | EVENT_BIT(EVENT_ATTEMPT_DONE) |
		EVENT_BIT(EVENT_DISPATCHED) | EVENT_BIT(EVENT_INSTANCE_LIST) |
		EVENT_BIT(EVENT_FLEET_CHANGED) | EVENT_BIT(EVENT_FLEET_RESET),
	.init = health_init,
	.handle = health_handle,
	.fini = health_fini,
};

PLUGIN_REGISTER(health_plugin)
