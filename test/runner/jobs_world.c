#include "runner/jobs_world.h"

#include <stdarg.h>
#include <string.h>

#include "codec/forward_codec.h"

#define START_DELAY_US (2 * USEC_PER_MSEC)
#define FORWARD_LATENCY_US USEC_PER_MSEC
/* More wake-ups than this mean that the process spins. */
#define WAKES_PER_SECOND_MAX 2000

enum delivery_kind {
	DELIVERY_EVENT,		 /* to the plug-ins of the entry instance */
	DELIVERY_STORE_READ,	 /* the store answers its read */
	DELIVERY_STORE_WRITE,	 /* the store applies its write */
	DELIVERY_CONFIG_POLL,	 /* it polls for the configuration */
	DELIVERY_CONFIG_TIMEOUT, /* the store answers a poll that has waited */
};

struct delivery {
	enum delivery_kind kind;
	int64_t due_us;
	uint64_t number;
	struct jobs_entry *entry;
	uint32_t boot_count; /* dropped if the entry instance has restarted */
	struct event event;
};

static void delivery_free(gpointer data)
{
	struct delivery *delivery = data;

	event_clear(&delivery->event);
	g_free(delivery);
}

static gint compare_deliveries(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct delivery *left = a;
	const struct delivery *right = b;

	(void)data;
	if (left->due_us != right->due_us)
		return left->due_us < right->due_us ? -1 : 1;
	return left->number < right->number ? -1 : 1;
}

void jobs_violation(struct jobs_world *jobs, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	world_print(jobs->world, "VIOLATION: %s", text);
	jobs->world->violation_count++;
	g_free(text);
}

static void schedule(struct jobs_world *jobs, struct jobs_entry *entry,
		     enum delivery_kind kind, enum event_type type, void *msg,
		     int64_t delay_us)
{
	static uint64_t number;
	struct delivery *delivery = g_new0(struct delivery, 1);

	delivery->kind = kind;
	delivery->due_us = jobs->world->now_us + delay_us;
	delivery->number = number++;
	delivery->entry = entry;
	delivery->boot_count = entry->boot_count;
	delivery->event.type = type;
	delivery->event.msg = msg;
	g_sequence_insert_sorted(jobs->schedule, delivery, compare_deliveries,
				 NULL);
}

void jobs_deliver(struct jobs_world *jobs, struct jobs_entry *entry,
		  enum event_type type, void *msg, int64_t delay_us)
{
	schedule(jobs, entry, DELIVERY_EVENT, type, msg, delay_us);
}

void jobs_schedule_read(struct jobs_entry *entry, int64_t delay_us)
{
	schedule(entry->jobs, entry, DELIVERY_STORE_READ, EVENT_STORE_READ,
		 NULL, delay_us);
}

void jobs_schedule_write(struct jobs_entry *entry, struct store_write *write,
			 int64_t delay_us)
{
	schedule(entry->jobs, entry, DELIVERY_STORE_WRITE, EVENT_STORE_WRITE,
		 g_rc_box_acquire(write), delay_us);
}

void jobs_schedule_config_poll(struct jobs_entry *entry, int64_t delay_us)
{
	schedule(entry->jobs, entry, DELIVERY_CONFIG_POLL, EVENT_CONFIG_READ,
		 NULL, delay_us);
}

void jobs_schedule_config_timeout(struct jobs_entry *entry, int64_t delay_us)
{
	schedule(entry->jobs, entry, DELIVERY_CONFIG_TIMEOUT, EVENT_CONFIG_READ,
		 NULL, delay_us);
}

static void print_reply(struct jobs_entry *entry, const struct job_reply *reply)
{
	struct world *world = entry->jobs->world;
	char detail[NAME_SIZE_BYTES] = "";

	if (entry->jobs->quiet)
		return;
	if (reply->has_state)
		g_snprintf(detail, sizeof(detail), " %s",
			   job_state_text(reply->state));
	if (reply->has_depth)
		g_snprintf(detail, sizeof(detail), " depth %u",
			   reply->depth_count);
	world_print(world, "%.3f %s call %" G_GUINT64_FORMAT ": %u%s %s",
		    (double)world->now_us / USEC_PER_SEC, entry->name,
		    reply->call_id, reply->status, detail, reply->reason);
}

static void print_order(struct jobs_entry *entry, const struct order *order)
{
	struct world *world = entry->jobs->world;

	if (order->kind == ORDER_HOLD || entry->jobs->quiet)
		return;
	world_print(world, "%.3f %s %s %s run %u on %s%s%s",
		    (double)world->now_us / USEC_PER_SEC, entry->name,
		    order_kind_name(order->kind), order->item, order->run,
		    order->worker, order->checkpoint ? " from " : "",
		    order->checkpoint ? order->checkpoint : "");
}

static void on_holder(struct jobs_entry *entry,
		      const struct holder_changed *changed)
{
	struct world *world = entry->jobs->world;

	if (entry->is_holder && !changed->held)
		entry->snapshot_due = true;
	entry->is_holder = changed->held;
	world_print(world, "%.3f %s %s token %" G_GUINT64_FORMAT,
		    (double)world->now_us / USEC_PER_SEC, entry->name,
		    changed->held ? "holds" : "yields", changed->token);
	if (changed->held)
		fake_workers_send_list(entry->jobs, entry);
}

/* The link between entry instances; their addresses are their names. */
static void forward(struct jobs_entry *entry, const struct forward_msg *msg)
{
	struct jobs_entry *to = jobs_entry_find(entry->jobs, msg->to);
	GBytes *bytes = forward_msg_encode(msg);

	if (to && to->kernel && !to->link_down && !entry->link_down)
		jobs_deliver(entry->jobs, to, EVENT_FORWARD_RECEIVED,
			     forward_msg_decode(g_bytes_get_data(bytes, NULL),
						g_bytes_get_size(bytes)),
			     FORWARD_LATENCY_US);
	g_bytes_unref(bytes);
}

/* Passes the events that the plug-ins emit to the fakes. */
static void fakes_handle(void *self, const struct event *event)
{
	struct jobs_entry *entry = self;

	switch (event->type) {
	case EVENT_STORE_PACE:
		entry->reads_urgently =
			((const struct store_pace *)event->msg)->urgent;
		break;
	case EVENT_STORE_WRITE:
		fake_store_write(entry, event->msg);
		break;
	case EVENT_FORWARD_SEND:
		forward(entry, event->msg);
		break;
	case EVENT_ORDER_SEND:
		print_order(entry, event->msg);
		fake_worker_order(entry, event->msg);
		break;
	case EVENT_JOB_REPLY:
		fake_check_reply(entry, event->msg);
		print_reply(entry, event->msg);
		break;
	case EVENT_HOLDER_CHANGED:
		on_holder(entry, event->msg);
		break;
	case EVENT_ADVICE_REQUEST:
		fake_advice(entry, event->msg);
		break;
	case EVENT_MACHINES_POLL:
		fake_machines_send_list(entry);
		break;
	default:
		fake_machine_order(entry, event->msg);
		break;
	}
}

static const struct plugin fakes_plugin = {
	.name = "~capture",
	.kind = PLUGIN_PLATFORM,
	.subscriptions =
		EVENT_BIT(EVENT_STORE_PACE) | EVENT_BIT(EVENT_STORE_WRITE) |
		EVENT_BIT(EVENT_ORDER_SEND) | EVENT_BIT(EVENT_FORWARD_SEND) |
		EVENT_BIT(EVENT_JOB_REPLY) | EVENT_BIT(EVENT_HOLDER_CHANGED) |
		EVENT_BIT(EVENT_MACHINES_POLL) |
		EVENT_BIT(EVENT_MACHINE_ORDER) |
		EVENT_BIT(EVENT_ADVICE_REQUEST),
	.handle = fakes_handle,
};

struct jobs_entry *jobs_entry_find(struct jobs_world *jobs, const char *name)
{
	for (guint i = 0; i < jobs->entries->len; i++) {
		struct jobs_entry *entry = jobs->entries->pdata[i];

		if (!strcmp(entry->name, name))
			return entry;
	}
	return NULL;
}

static void set_time(struct jobs_entry *entry)
{
	const struct world *world = entry->jobs->world;

	kernel_set_time(entry->kernel, world->now_us,
			world->wall_start_us + world->now_us);
}

void jobs_entry_start(struct jobs_world *jobs, const char *name)
{
	struct jobs_entry *entry = jobs_entry_find(jobs, name);
	struct config_seen *config = g_rc_box_new0(struct config_seen);

	if (!entry) {
		entry = g_new0(struct jobs_entry, 1);
		entry->jobs = jobs;
		g_strlcpy(entry->name, name, sizeof(entry->name));
		entry->settings = settings_new();
		g_strlcpy(entry->settings->entry, name,
			  sizeof(entry->settings->entry));
		g_ptr_array_add(jobs->entries, entry);
	}
	g_hash_table_replace(entry->settings->plugin_names, g_strdup("parking"),
			     g_strdup(jobs->parking));
	entry->settings->cpu_milli = jobs->entry_cpu_milli;
	entry->settings->bounds.lease_max_us = jobs->lease_max_us;
	entry->settings->bounds.quota_overage_percent =
		FAKE_QUOTA_OVERAGE_PERCENT;
	entry->settings->bounds.revoke_us = jobs->revoke_us;
	entry->settings->bounds.jobs_max_bytes = jobs->memory_bytes;
	if (jobs->forwards_orders) {
		g_strlcpy(entry->settings->forward_address, name,
			  sizeof(entry->settings->forward_address));
		entry->settings->forward_busy_percent = 0;
	}
	entry->boot_count++;
	entry->is_holder = false;
	entry->reads_urgently = false;
	entry->read_due = false;
	entry->snapshot_due = true;
	entry->last_wake_count = 0;
	entry->config_version = jobs->queues->version;
	entry->config_poll_us = 0;
	entry->kernel = kernel_new(entry->settings, entry->boot_count,
				   g_str_hash(name) + entry->boot_count);
	set_time(entry);
	kernel_start_kind(entry->kernel, PLUGIN_JOBS);
	kernel_start_plugin_with(entry->kernel, &fakes_plugin, entry);
	config->queues = queues_ref(jobs->queues);
	jobs_deliver(jobs, entry, EVENT_CONFIG_SEEN, config, START_DELAY_US);
	fake_store_schedule_read(entry, START_DELAY_US);
	if (jobs->queues->members)
		jobs_schedule_config_poll(entry, START_DELAY_US);
}

void jobs_entry_kill(struct jobs_entry *entry)
{
	kernel_free(entry->kernel);
	entry->kernel = NULL;
	entry->boot_count++;
	entry->is_holder = false;
}

struct jobs_world *jobs_world_get(struct world *world)
{
	struct jobs_world *jobs = world->jobs;

	if (jobs)
		return jobs;
	jobs = g_new0(struct jobs_world, 1);
	jobs->world = world;
	jobs->entries = g_ptr_array_new();
	jobs->workers = g_ptr_array_new_with_free_func(fake_worker_free);
	jobs->machines = g_ptr_array_new_with_free_func(g_free);
	jobs->store = g_ptr_array_new_with_free_func(
		(GDestroyNotify)job_record_unref);
	jobs->schedule = g_sequence_new(delivery_free);
	jobs->queues = queues_new();
	jobs->queues->version = 1;
	jobs->earlier_queues =
		g_array_new(FALSE, FALSE, sizeof(struct fake_earlier_queues));
	g_array_set_clear_func(jobs->earlier_queues, jobs_earlier_queues_clear);
	jobs->member_peaks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	jobs->item_duration_us = 800 * USEC_PER_MSEC;
	jobs->stop_duration_us = 100 * USEC_PER_MSEC;
	jobs->lease_max_us = 10 * USEC_PER_SEC;
	jobs->next_call_id = 1;
	g_strlcpy(jobs->parking, "none", sizeof(jobs->parking));
	jobs->done_items =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	jobs->accepted_jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	jobs->cancelled_jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	jobs->start_checkpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fake_members_init(jobs);
	world->jobs = jobs;
	return jobs;
}

void jobs_world_free(struct jobs_world *jobs)
{
	if (!jobs)
		return;
	for (guint i = 0; i < jobs->entries->len; i++) {
		struct jobs_entry *entry = jobs->entries->pdata[i];

		kernel_free(entry->kernel);
		settings_free(entry->settings);
		g_free(entry);
	}
	g_ptr_array_unref(jobs->entries);
	g_ptr_array_unref(jobs->workers);
	g_ptr_array_unref(jobs->machines);
	g_ptr_array_unref(jobs->store);
	g_sequence_free(jobs->schedule);
	queues_unref(jobs->queues);
	g_array_unref(jobs->earlier_queues);
	g_hash_table_unref(jobs->member_peaks);
	g_hash_table_unref(jobs->done_items);
	g_hash_table_unref(jobs->start_checkpoints);
	g_hash_table_unref(jobs->accepted_jobs);
	g_hash_table_unref(jobs->cancelled_jobs);
	fake_members_clear(jobs);
	g_free(jobs);
}

static bool is_running(const struct jobs_entry *entry)
{
	return entry->kernel &&
	       entry->jobs->world->now_us >= entry->frozen_until_us;
}

static int64_t next_time(struct jobs_world *jobs, int64_t until_us)
{
	int64_t next_us = MIN(until_us, fake_workers_advance(jobs));

	if (!g_sequence_is_empty(jobs->schedule)) {
		const struct delivery *first = g_sequence_get(
			g_sequence_get_begin_iter(jobs->schedule));

		next_us = MIN(next_us, first->due_us);
	}
	for (guint i = 0; i < jobs->entries->len; i++) {
		const struct jobs_entry *entry = jobs->entries->pdata[i];

		if (entry->kernel)
			next_us = MIN(next_us,
				      MAX(kernel_next_wake_us(entry->kernel),
					  entry->frozen_until_us));
	}
	return MAX(next_us, jobs->world->now_us);
}

static void deliver_due(struct jobs_world *jobs)
{
	while (!g_sequence_is_empty(jobs->schedule)) {
		GSequenceIter *iter = g_sequence_get_begin_iter(jobs->schedule);
		struct delivery *delivery = g_sequence_get(iter);
		struct jobs_entry *entry = delivery->entry;

		if (delivery->due_us > jobs->world->now_us)
			return;
		if (entry->kernel && !is_running(entry) &&
		    delivery->kind != DELIVERY_CONFIG_TIMEOUT &&
		    delivery->boot_count == entry->boot_count) {
			/* Data stays in the socket while a process is frozen.
			 */
			delivery->due_us = entry->frozen_until_us;
			g_sequence_sort_changed(iter, compare_deliveries, NULL);
			continue;
		}
		if (entry->kernel &&
		    delivery->boot_count == entry->boot_count) {
			struct event event = delivery->event;

			delivery->event.msg = NULL;
			if (delivery->kind == DELIVERY_STORE_READ) {
				fake_store_read(entry);
			} else if (delivery->kind == DELIVERY_STORE_WRITE) {
				fake_store_apply(entry, event.msg);
				event_clear(&event);
			} else if (delivery->kind == DELIVERY_CONFIG_POLL) {
				fake_config_poll(entry);
			} else if (delivery->kind == DELIVERY_CONFIG_TIMEOUT) {
				fake_config_timeout(entry);
			} else {
				set_time(entry);
				kernel_emit(entry->kernel, &event);
				kernel_run(entry->kernel);
				jobs_check_usage(entry);
			}
		}
		g_sequence_remove(iter);
	}
}

/* A process must not spin while it waits. */
static void check_wakes(struct jobs_entry *entry)
{
	int64_t now_us = entry->jobs->world->now_us;
	uint64_t count;

	if (now_us < entry->next_wake_check_us)
		return;
	count = counter_get(kernel_counters(entry->kernel), "wakes_total");
	if (count - entry->last_wake_count > WAKES_PER_SECOND_MAX)
		jobs_violation(entry->jobs,
			       "%s woke more than %u times in a second",
			       entry->name, WAKES_PER_SECOND_MAX);
	entry->last_wake_count = count;
	entry->next_wake_check_us = now_us + USEC_PER_SEC;
}

static void wake_due(struct jobs_world *jobs)
{
	for (guint i = 0; i < jobs->entries->len; i++) {
		struct jobs_entry *entry = jobs->entries->pdata[i];

		if (!is_running(entry))
			continue;
		set_time(entry);
		kernel_run(entry->kernel);
		jobs_check_usage(entry);
		check_wakes(entry);
	}
}

void jobs_world_run(struct jobs_world *jobs, int64_t duration_us)
{
	int64_t until_us = jobs->world->now_us + duration_us;

	while (jobs->world->now_us < until_us) {
		jobs->world->now_us = next_time(jobs, until_us);
		deliver_due(jobs);
		wake_due(jobs);
	}
}
