#include "kernel/kernel.h"

#include <string.h>

#include "kernel/clock.h"
#include "kernel/klog.h"

#define LOG_PREFIX "kernel"

struct running_plugin {
	const struct plugin *plugin;
	void *self;
	int64_t *busy_ns; /* time spent on events; owned by kernel->running */
};

struct kernel {
	const struct settings *settings;
	uint64_t incarnation;
	int64_t now_us;
	int64_t wall_us;
	int64_t next_wake_us;
	GArray *running; /* of struct running_plugin, in order of start */
	/* By event type: of struct running_plugin, sorted by name */
	GArray *subscribers[EVENT_TYPE_COUNT];
	GQueue *queue; /* of struct event */
	bool delivering;
	bool ready;
	struct fleet *fleet;
	struct job_table *jobs;
	struct queues *queues;
	struct endpoint_table *endpoints;
	struct request_table *requests;
	struct counters *counters;
	struct timeline *timeline;
	GRand *random;
	struct ev_loop *loop;
};

struct kernel *kernel_new(const struct settings *settings, uint64_t incarnation,
			  uint32_t seed)
{
	struct kernel *kernel = g_new0(struct kernel, 1);

	kernel->settings = settings;
	kernel->incarnation = incarnation;
	kernel->next_wake_us = DEADLINE_NEVER_US;
	kernel->running =
		g_array_new(FALSE, TRUE, sizeof(struct running_plugin));
	for (uint32_t i = 0; i < EVENT_TYPE_COUNT; i++)
		kernel->subscribers[i] =
			g_array_new(FALSE, TRUE, sizeof(struct running_plugin));
	kernel->queue = g_queue_new();
	kernel->fleet = fleet_new();
	kernel->jobs = job_table_new();
	kernel->endpoints = endpoint_table_new();
	kernel->requests = request_table_new();
	kernel->counters = counters_new();
	kernel->timeline = timeline_new(settings->entry);
	kernel->random = g_rand_new_with_seed(seed);
	return kernel;
}

static void event_free(gpointer data)
{
	struct event *event = data;

	event_clear(event);
	g_free(event);
}

void kernel_free(struct kernel *kernel)
{
	if (!kernel)
		return;
	for (guint i = kernel->running->len; i > 0; i--) {
		struct running_plugin *running = &g_array_index(
			kernel->running, struct running_plugin, i - 1);

		if (running->plugin->fini)
			running->plugin->fini(running->self);
		g_free(running->busy_ns);
	}
	g_array_unref(kernel->running);
	for (uint32_t i = 0; i < EVENT_TYPE_COUNT; i++)
		g_array_unref(kernel->subscribers[i]);
	g_queue_free_full(kernel->queue, event_free);
	fleet_free(kernel->fleet);
	job_table_free(kernel->jobs);
	queues_unref(kernel->queues);
	endpoint_table_free(kernel->endpoints);
	request_table_free(kernel->requests);
	counters_free(kernel->counters);
	timeline_free(kernel->timeline);
	g_rand_free(kernel->random);
	g_free(kernel);
}

static void insert_by_name(GArray *list, const struct running_plugin *running)
{
	guint at = 0;

	while (at < list->len &&
	       strcmp(g_array_index(list, struct running_plugin, at)
			      .plugin->name,
		      running->plugin->name) <= 0)
		at++;
	g_array_insert_val(list, at, *running);
}

void kernel_start_plugin_with(struct kernel *kernel,
			      const struct plugin *plugin, void *self)
{
	struct running_plugin running = {
		.plugin = plugin,
		.self = self,
		.busy_ns = g_new0(int64_t, 1),
	};

	g_array_append_val(kernel->running, running);
	for (uint32_t i = 0; i < EVENT_TYPE_COUNT; i++) {
		if (plugin->subscriptions & EVENT_BIT(i))
			insert_by_name(kernel->subscribers[i], &running);
	}
}

bool kernel_start_plugin(struct kernel *kernel, const struct plugin *plugin)
{
	void *self = NULL;

	if (plugin->init) {
		self = plugin->init(kernel);
		if (!self) {
			klog_error(LOG_PREFIX, "cannot start %s plug-in \"%s\"",
				   plugin_kind_name(plugin->kind),
				   plugin->name);
			return false;
		}
	}
	kernel_start_plugin_with(kernel, plugin, self);
	return true;
}

static bool start_selected(struct kernel *kernel, enum plugin_kind kind)
{
	const char *name = settings_plugin_name(kernel->settings, kind);
	const struct plugin *plugin = plugin_find(kind, name);

	if (!plugin) {
		klog_error(LOG_PREFIX, "unknown %s plug-in \"%s\"",
			   plugin_kind_name(kind), name ? name : "(preferred)");
		return false;
	}
	return kernel_start_plugin(kernel, plugin);
}

bool kernel_start_kind(struct kernel *kernel, enum plugin_kind kind)
{
	GPtrArray *plugins;
	bool started = true;

	if (plugin_kind_is_exclusive(kind))
		return start_selected(kernel, kind);
	plugins = plugin_list(kind);
	for (guint i = 0; started && i < plugins->len; i++)
		started = kernel_start_plugin(kernel, plugins->pdata[i]);
	g_ptr_array_unref(plugins);
	return started;
}

const void *kernel_ops(const struct kernel *kernel, enum plugin_kind kind)
{
	const char *name = settings_plugin_name(kernel->settings, kind);
	const struct plugin *plugin = plugin_find(kind, name);

	return plugin ? plugin->ops : NULL;
}

void kernel_emit(struct kernel *kernel, const struct event *event)
{
	g_queue_push_tail(kernel->queue,
			  g_memdup2(event, sizeof(struct event)));
}

void kernel_emit_msg(struct kernel *kernel, enum event_type type, void *msg)
{
	struct event event = { .type = type };

	event.msg = msg;
	kernel_emit(kernel, &event);
}

void kernel_emit_front(struct kernel *kernel, const struct event *event)
{
	g_queue_push_head(kernel->queue,
			  g_memdup2(event, sizeof(struct event)));
}

void kernel_set_time(struct kernel *kernel, int64_t now_us, int64_t wall_us)
{
	if (kernel->now_us && kernel->next_wake_us != DEADLINE_NEVER_US &&
	    now_us - kernel->next_wake_us >= KERNEL_PAUSE_MIN_US &&
	    now_us > kernel->now_us)
		kernel_emit_front(kernel,
				  &(struct event){ .type = EVENT_RESUMED });
	/* If the clock steps back, deadlines that have passed stay passed. */
	if (now_us > kernel->now_us)
		kernel->now_us = now_us;
	kernel->wall_us = wall_us;
	timeline_set_wall(kernel->timeline, wall_us);
}

static void deliver(struct kernel *kernel, const struct event *event)
{
	GArray *subscribers = kernel->subscribers[event->type];
	int64_t begin_ns = clock_steady_ns();
	int64_t end_ns;

	for (guint i = 0; i < subscribers->len; i++) {
		struct running_plugin *subscriber =
			&g_array_index(subscribers, struct running_plugin, i);

		subscriber->plugin->handle(subscriber->self, event);
		end_ns = clock_steady_ns();
		*subscriber->busy_ns += end_ns - begin_ns;
		begin_ns = end_ns;
	}
}

void kernel_collect_busy_times(struct kernel *kernel,
			       void (*collect)(void *data,
					       const struct plugin *plugin,
					       int64_t busy_ns,
					       struct counters *counters),
			       void *data)
{
	for (guint i = 0; i < kernel->running->len; i++) {
		struct running_plugin *running = &g_array_index(
			kernel->running, struct running_plugin, i);

		collect(data, running->plugin, *running->busy_ns,
			kernel->counters);
		*running->busy_ns = 0;
	}
}

void kernel_run(struct kernel *kernel)
{
	struct event *event;

	if (kernel->delivering)
		return;
	kernel->delivering = true;
	if (kernel->next_wake_us <= kernel->now_us) {
		kernel->next_wake_us = DEADLINE_NEVER_US;
		kernel_emit(kernel, &(struct event){ .type = EVENT_WAKE });
		counter_add(kernel->counters, "wakes_total", 1);
	}
	while ((event = g_queue_pop_head(kernel->queue))) {
		deliver(kernel, event);
		event_free(event);
	}
	kernel->delivering = false;
}

int64_t kernel_now_us(const struct kernel *kernel)
{
	return kernel->now_us;
}

int64_t kernel_wall_us(const struct kernel *kernel)
{
	return kernel->wall_us;
}

void kernel_wake_at(struct kernel *kernel, int64_t deadline_us)
{
	if (deadline_us < kernel->next_wake_us)
		kernel->next_wake_us = deadline_us;
}

int64_t kernel_next_wake_us(const struct kernel *kernel)
{
	return kernel->next_wake_us;
}

const struct settings *kernel_settings(const struct kernel *kernel)
{
	return kernel->settings;
}

uint64_t kernel_incarnation(const struct kernel *kernel)
{
	return kernel->incarnation;
}

struct fleet *kernel_fleet(struct kernel *kernel)
{
	return kernel->fleet;
}

void kernel_set_fleet(struct kernel *kernel, struct fleet *fleet)
{
	fleet_free(kernel->fleet);
	kernel->fleet = fleet;
}

struct job_table *kernel_jobs(struct kernel *kernel)
{
	return kernel->jobs;
}

const struct queues *kernel_queues(const struct kernel *kernel)
{
	return kernel->queues;
}

void kernel_set_queues(struct kernel *kernel, struct queues *queues)
{
	if (!queues)
		return;
	queues_unref(kernel->queues);
	kernel->queues = queues;
}

bool kernel_is_ready(const struct kernel *kernel)
{
	return kernel->ready;
}

void kernel_set_ready(struct kernel *kernel, bool ready)
{
	kernel->ready = ready;
}

struct endpoint_table *kernel_endpoints(struct kernel *kernel)
{
	return kernel->endpoints;
}

struct request_table *kernel_requests(struct kernel *kernel)
{
	return kernel->requests;
}

struct counters *kernel_counters(struct kernel *kernel)
{
	return kernel->counters;
}

struct timeline *kernel_timeline(struct kernel *kernel)
{
	return kernel->timeline;
}

GRand *kernel_random(struct kernel *kernel)
{
	return kernel->random;
}

struct ev_loop *kernel_loop(struct kernel *kernel)
{
	return kernel->loop;
}

void kernel_set_loop(struct kernel *kernel, struct ev_loop *loop)
{
	kernel->loop = loop;
}

void *kernel_plugin_self(struct kernel *kernel, enum plugin_kind kind,
			 const char *name)
{
	for (guint i = 0; i < kernel->running->len; i++) {
		struct running_plugin *running = &g_array_index(
			kernel->running, struct running_plugin, i);

		if (running->plugin->kind == kind &&
		    !strcmp(running->plugin->name, name))
			return running->self;
	}
	return NULL;
}
