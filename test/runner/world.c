#include "runner/world.h"

#include "runner/jobs_world.h"

#include <stdarg.h>
#include <string.h>

#define WALL_START_US (INT64_C(1796000000) * USEC_PER_SEC)
#define LOG_DELAY_US (2 * USEC_PER_MSEC)
#define PEER_DELAY_US (1 * USEC_PER_MSEC)
#define SERVICE_US (20 * USEC_PER_MSEC)
#define FAIL_US (1 * USEC_PER_MSEC)
/* Ends a script whose nodes emit events without any time passing. */
#define ITERATIONS_PER_INSTANT_MAX 100000

struct scheduled {
	int64_t at_us;
	uint64_t sequence;
	struct node *node;
	uint64_t incarnation; /* the event is dropped in any other one */
	struct event event;
	struct endpoint *running_on; /* its run ends with this event, or NULL */
	GPtrArray *late_records;     /* of a delayed append, or NULL */
};

static void scheduled_free(gpointer data)
{
	struct scheduled *item = data;

	event_clear(&item->event);
	if (item->late_records)
		g_ptr_array_unref(item->late_records);
	g_free(item);
}

static gint compare_scheduled(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct scheduled *left = a;
	const struct scheduled *right = b;

	(void)data;
	if (left->at_us != right->at_us)
		return left->at_us < right->at_us ? -1 : 1;
	return left->sequence < right->sequence ? -1 : 1;
}

static void unref_record(gpointer data)
{
	record_unref(data);
}

static gint compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

struct world *world_new(uint32_t seed)
{
	struct world *world = g_new0(struct world, 1);

	world->seed = seed;
	world->wall_start_us = WALL_START_US;
	world->nodes = g_ptr_array_new();
	world->schedule = g_sequence_new(scheduled_free);
	world->log = g_ptr_array_new_with_free_func(unref_record);
	world->log_first_offset = 1;
	world->log_delay_us = LOG_DELAY_US;
	world->peer_delay_us = PEER_DELAY_US;
	world->service_us = SERVICE_US;
	world->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	world->accepted_records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->dropped_records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->runs_per_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->started_requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->member_counts =
		g_tree_new_full(compare_names, NULL, g_free, g_free);
	world->output = g_string_new(NULL);
	return world;
}

void world_free(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++)
		node_free(world->nodes->pdata[i]);
	g_ptr_array_unref(world->nodes);
	g_sequence_free(world->schedule);
	g_ptr_array_unref(world->log);
	g_hash_table_unref(world->endpoints);
	g_hash_table_unref(world->accepted_records);
	g_hash_table_unref(world->dropped_records);
	g_hash_table_unref(world->runs_per_key);
	g_hash_table_unref(world->started_requests);
	g_tree_unref(world->member_counts);
	jobs_world_free(world->jobs);
	g_string_free(world->output, TRUE);
	g_free(world);
}

void world_print(struct world *world, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_string_append_vprintf(world->output, format, args);
	va_end(args);
	g_string_append_c(world->output, '\n');
}

void world_violation(struct world *world, const char *format, ...)
{
	va_list args;

	world->violation_count++;
	g_string_append_printf(world->output, "%10.3f VIOLATION ",
			       (double)world->now_us / USEC_PER_MSEC);
	va_start(args, format);
	g_string_append_vprintf(world->output, format, args);
	va_end(args);
	g_string_append_c(world->output, '\n');
}

struct endpoint *world_endpoint(struct world *world, const char *name)
{
	struct endpoint *endpoint = g_hash_table_lookup(world->endpoints, name);

	if (endpoint)
		return endpoint;
	endpoint = g_new0(struct endpoint, 1);
	name_copy(endpoint->name, sizeof(endpoint->name), name);
	endpoint->mode = world->mode;
	endpoint->service_us = world->service_us;
	g_hash_table_insert(world->endpoints, endpoint->name, endpoint);
	return endpoint;
}

static void schedule(struct world *world, struct scheduled *item)
{
	item->sequence = world->scheduled_count++;
	g_sequence_insert_sorted(world->schedule, item, compare_scheduled,
				 NULL);
}

void world_schedule(struct world *world, int64_t at_us, struct node *node,
		    const struct event *event)
{
	struct scheduled *item = g_new0(struct scheduled, 1);

	item->at_us = at_us;
	item->node = node;
	item->incarnation = node->incarnation;
	item->event = *event;
	schedule(world, item);
}

static void run_node(struct world *world, struct node *node)
{
	if (!node->kernel || node->paused)
		return;
	kernel_set_time(node->kernel, world->now_us + 1,
			world->wall_start_us + world->now_us + node->skew_us);
	kernel_run(node->kernel);
	if (node->exited)
		world_kill_node(world, node);
}

void world_inject(struct world *world, struct node *node,
		  const struct event *event)
{
	if (!node->kernel) {
		struct event copy = *event;

		event_clear(&copy);
		return;
	}
	kernel_emit(node->kernel, event);
	run_node(world, node);
}

/* Schedules the delivery of the records that a node has not read yet. */
static void schedule_records(struct world *world, struct node *node)
{
	if (world->log_down || node->log_unreachable || !node->kernel)
		return;
	node->read_offset = MAX(node->read_offset, world->log_first_offset);
	/* Reads arrive in order, also when log_delay_us was reduced. */
	node->last_read_arrival_us = MAX(node->last_read_arrival_us,
					 world->now_us + world->log_delay_us);
	while (node->read_offset <= world->log->len) {
		struct record *record =
			world->log->pdata[node->read_offset - 1];
		struct event event = {
			.type = EVENT_LOG_RECORD,
			.record = { .offset = node->read_offset,
				    .previous_offset = node->read_offset - 1,
				    .record = record_ref(record) },
		};

		node->read_offset++;
		world_schedule(world, node->last_read_arrival_us, node, &event);
	}
}

static void announce_log(struct world *world, struct node *node)
{
	struct event event = {
		.type = EVENT_LOG_STATE,
		.log = { .reachable =
				 !world->log_down && !node->log_unreachable,
			 .first_offset = world->log_first_offset,
			 .next_offset = world->log->len + 1 },
	};

	if (!node->kernel)
		return;
	schedule_records(world, node);
	world_schedule(world, world->now_us + world->log_delay_us, node,
		       &event);
}

void world_announce_log(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++)
		announce_log(world, world->nodes->pdata[i]);
}

static void add_to_log(struct world *world, GPtrArray *records)
{
	for (guint i = 0; i < records->len; i++)
		g_ptr_array_add(world->log, record_ref(records->pdata[i]));
	for (guint i = 0; i < world->nodes->len; i++)
		schedule_records(world, world->nodes->pdata[i]);
}

/* Adds the records of a dropped append after late_append_delay_us, if any. */
static void schedule_late_append(struct world *world, struct node *node,
				 GPtrArray *records)
{
	struct scheduled *item;

	if (!world->late_append_delay_us)
		return;
	item = g_new0(struct scheduled, 1);
	item->at_us = world->now_us + world->late_append_delay_us;
	item->node = node;
	item->late_records = g_ptr_array_ref(records);
	schedule(world, item);
}

static void fake_append(struct world *world, struct node *node,
			const struct event *event)
{
	struct event appended = {
		.type = EVENT_LOG_APPENDED,
		.append = { .append_id = event->append.append_id },
	};
	GPtrArray *records = event->append.records;

	if (world->log_down || node->log_unreachable ||
	    (world->log_limited && records->len > world->log_limit_count)) {
		appended.append.result = APPEND_NOT_STORED;
		world_schedule(world, world->now_us + world->log_delay_us, node,
			       &appended);
		return;
	}
	appended.append.first_offset = world->log->len + 1;
	if (world->log_lose_answers || world->log_drop_appends)
		appended.append.result = APPEND_UNKNOWN;
	world_schedule(world, world->now_us + world->log_delay_us, node,
		       &appended);
	if (world->log_drop_appends)
		schedule_late_append(world, node, records);
	else
		add_to_log(world, records);
}

static void schedule_attempt_end(struct world *world, struct node *node,
				 const struct event *send, int64_t after_us,
				 enum attempt_result result, uint32_t status)
{
	struct scheduled *item = g_new0(struct scheduled, 1);
	struct event done = {
		.type = EVENT_ATTEMPT_DONE,
		.attempt = send->attempt,
	};

	done.attempt.result = result;
	done.attempt.status = status;
	done.attempt.latency_us = after_us;
	done.attempt.verdict = result == ATTEMPT_ANSWERED ? VERDICT_RAN
			       : result == ATTEMPT_REFUSED
				       ? VERDICT_NOT_RUN
				       : VERDICT_MAY_HAVE_RUN;
	if (result == ATTEMPT_ANSWERED)
		done.response = response_new(status, "text/plain",
					     g_bytes_new_static("ok", 2));
	item->at_us = world->now_us + after_us;
	item->node = node;
	item->incarnation = node->incarnation;
	item->event = done;
	if (result != ATTEMPT_REFUSED)
		item->running_on =
			world_endpoint(world, send->attempt.endpoint);
	schedule(world, item);
}

static void fake_send(struct world *world, struct node *node,
		      const struct event *event)
{
	struct endpoint *endpoint =
		world_endpoint(world, event->attempt.endpoint);
	int64_t left_us = event->attempt.deadline_us - world->now_us - 1;

	if (event->attempt.relayed) {
		relay_send(world, node, event);
		return;
	}
	check_send(world, node, event);
	if (endpoint->mode == ENDPOINT_REFUSE) {
		schedule_attempt_end(world, node, event, FAIL_US,
				     ATTEMPT_REFUSED, 0);
		return;
	}
	endpoint->running_count++;
	switch (endpoint->mode) {
	case ENDPOINT_FAIL:
		schedule_attempt_end(world, node, event, FAIL_US,
				     ATTEMPT_ANSWERED, 500);
		break;
	case ENDPOINT_HANG:
		schedule_attempt_end(world, node, event, MAX(left_us, 0),
				     ATTEMPT_TIMED_OUT, 0);
		break;
	case ENDPOINT_DISCONNECT:
		schedule_attempt_end(world, node, event,
				     endpoint->service_us / 2, ATTEMPT_FAILED,
				     0);
		break;
	case ENDPOINT_AUTO:
		if (endpoint->service_us > left_us)
			schedule_attempt_end(world, node, event,
					     MAX(left_us, 0), ATTEMPT_TIMED_OUT,
					     0);
		else
			schedule_attempt_end(world, node, event,
					     endpoint->service_us,
					     ATTEMPT_ANSWERED, 200);
		break;
	case ENDPOINT_MANUAL:
	case ENDPOINT_REFUSE:
		break;
	}
}

void world_finish_attempt(struct world *world, struct node *node,
			  const struct event_attempt *attempt)
{
	struct event send = {
		.type = EVENT_ATTEMPT_SEND,
		.attempt = *attempt,
	};

	schedule_attempt_end(world, node, &send, 0, attempt->result,
			     attempt->status);
}

static bool is_attempt_end(const struct scheduled *item,
			   const struct node *node,
			   const struct event_attempt *attempt)
{
	return item->node == node && item->running_on &&
	       item->event.attempt.request_id == attempt->request_id &&
	       item->event.attempt.attempt == attempt->attempt;
}

/* Closing the connection ends the run at the endpoint. */
static void fake_cancel(struct world *world, struct node *node,
			const struct event *event)
{
	GSequenceIter *at = g_sequence_get_begin_iter(world->schedule);

	if (event->attempt.relayed) {
		relay_cancel(world, node, event);
		return;
	}
	if (world_endpoint(world, event->attempt.endpoint)->mode ==
	    ENDPOINT_MANUAL) {
		schedule_attempt_end(world, node, event, 0, ATTEMPT_CANCELLED,
				     0);
		return;
	}
	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
		const struct scheduled *item = g_sequence_get(at);

		if (!is_attempt_end(item, node, &event->attempt))
			continue;
		g_sequence_remove(at);
		schedule_attempt_end(world, node, event, 0, ATTEMPT_CANCELLED,
				     0);
		return;
	}
}

/* Handles the events that the decision plug-ins of a node emit. */
static void fakes_handle(void *self, const struct event *event)
{
	struct node *node = self;
	struct world *world = node->world;

	print_event(world, node, event);
	switch (event->type) {
	case EVENT_LOG_APPEND:
		fake_append(world, node, event);
		break;
	case EVENT_ATTEMPT_SEND:
		fake_send(world, node, event);
		break;
	case EVENT_LOG_QUERY:
		announce_log(world, node);
		break;
	case EVENT_ATTEMPT_CANCEL:
		fake_cancel(world, node, event);
		break;
	case EVENT_PEER_SEND:
		link_send(world, node, event);
		break;
	case EVENT_REQUEST_REPLY:
		check_reply(world, node, event);
		relay_reply(world, node, event);
		request_remove(kernel_requests(node->kernel),
			       event->request.request_id);
		break;
	case EVENT_LEFT:
		node->exited = true;
		break;
	case EVENT_INSTANCE_LIST:
		track_leaving(world, node, event);
		break;
	case EVENT_PROPOSAL_DROPPED:
		check_dropped(world, event);
		break;
	case EVENT_SLOTS_CHANGED:
		check_allowed_slots(world, event->subject.name);
		break;
	case EVENT_INSTANCE_REBOOT:
		check_reboot(world, node, event);
		break;
	case EVENT_TASK_START:
	case EVENT_TASK_CHECKPOINT:
	case EVENT_TASK_STOP:
		check_task_order(world, node);
		break;
	case EVENT_LOG_RECORD:
		check_record_applied(world, node, event);
		break;
	case EVENT_FLEET_CHANGED:
		check_fleet_changed(world, node, event);
		break;
	default:
		break;
	}
}

static const struct plugin fakes_plugin = {
	.name = "~fakes", /* sorts after the decision plug-ins */
	.kind = PLUGIN_FRONT,
	.subscriptions = ~UINT64_C(0),
	.handle = fakes_handle,
};

struct node *world_start_node(struct world *world, const char *name,
			      const char *dc)
{
	struct node *node = world_add_node(world, name, dc);

	node->incarnation++;
	node->read_offset = world->log_first_offset;
	node->paused = false;
	node->exited = false;
	node->last_read_arrival_us = 0;
	node->kernel = kernel_new(node->settings, node->incarnation,
				  world->seed + world->nodes->len);
	kernel_set_time(node->kernel, world->now_us + 1,
			world->wall_start_us + world->now_us + node->skew_us);
	node_start_plugins(node);
	kernel_start_plugin_with(node->kernel, &fakes_plugin, node);
	world_inject(world, node, &(struct event){ .type = EVENT_STARTED });
	world_announce_log(world);
	return node;
}

void world_kill_node(struct world *world, struct node *node)
{
	(void)world;
	kernel_free(node->kernel);
	node->kernel = NULL;
	g_hash_table_remove_all(node->request_names);
	g_hash_table_remove_all(node->listed);
	g_hash_table_remove_all(node->leaving_since_us);
	g_hash_table_remove_all(node->relays);
}

void world_set_paused(struct world *world, struct node *node, bool paused)
{
	node->paused = paused;
	node->paused_at_us = world->now_us;
	if (!paused)
		run_node(world, node);
}

/* Delivers one scheduled event, or drops it if its node was restarted. */
static void deliver(struct world *world, struct scheduled *item)
{
	struct node *node = item->node;

	if (item->late_records)
		add_to_log(world, item->late_records);
	if (item->running_on) {
		if (item->running_on->running_count)
			item->running_on->running_count--;
	}
	if (node->kernel && item->incarnation == node->incarnation) {
		world_inject(world, node, &item->event);
		item->event = (struct event){ .type = EVENT_WAKE };
	}
	scheduled_free(item);
}

static int64_t next_time(struct world *world)
{
	GSequenceIter *first = g_sequence_get_begin_iter(world->schedule);
	int64_t next_us = DEADLINE_NEVER_US;

	if (!g_sequence_iter_is_end(first))
		next_us = ((struct scheduled *)g_sequence_get(first))->at_us;
	for (guint i = 0; i < world->nodes->len; i++) {
		const struct node *node = world->nodes->pdata[i];
		int64_t wake_us;

		if (!node->kernel || node->paused)
			continue;
		wake_us = kernel_next_wake_us(node->kernel);
		if (wake_us != DEADLINE_NEVER_US)
			next_us = MIN(next_us, wake_us - 1);
	}
	return next_us;
}

static void run_due_events(struct world *world)
{
	GSequenceIter *first = g_sequence_get_begin_iter(world->schedule);

	while (!g_sequence_iter_is_end(first)) {
		struct scheduled *item = g_sequence_get(first);
		struct scheduled copy = *item;

		if (item->at_us > world->now_us)
			break;
		item->event = (struct event){ .type = EVENT_WAKE };
		item->late_records = NULL;
		g_sequence_remove(first);
		deliver(world, g_memdup2(&copy, sizeof(copy)));
		first = g_sequence_get_begin_iter(world->schedule);
	}
	for (guint i = 0; i < world->nodes->len; i++)
		run_node(world, world->nodes->pdata[i]);
}

void world_run_until(struct world *world, int64_t until_us)
{
	uint32_t iteration_count = 0;

	for (;;) {
		int64_t next_us = MAX(next_time(world), world->now_us);

		if (next_us > until_us)
			break;
		iteration_count =
			next_us == world->now_us ? iteration_count + 1 : 0;
		if (iteration_count > ITERATIONS_PER_INSTANT_MAX) {
			world_violation(world, "time does not advance");
			return;
		}
		world->now_us = next_us;
		run_due_events(world);
	}
	world->now_us = until_us;
	for (guint i = 0; i < world->nodes->len; i++)
		run_node(world, world->nodes->pdata[i]);
}
