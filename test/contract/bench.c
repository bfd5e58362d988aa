#include "contract/bench.h"

/* Copies what the event owns, since it is cleared after delivery. */
static struct event *copy_event(const struct event *event)
{
	struct event *copy = g_memdup2(event, sizeof(*event));

	switch (event->type) {
	case EVENT_LOG_RECORD:
		record_ref(copy->record.record);
		break;
	case EVENT_INSTANCE_LIST:
		copy->list.items = g_array_copy(event->list.items);
		break;
	case EVENT_PEER_RECEIVED:
		copy->peer.msg =
			g_memdup2(event->peer.msg, sizeof(*event->peer.msg));
		copy->peer.msg->loads = NULL;
		if (copy->peer.msg->state)
			g_bytes_ref(copy->peer.msg->state);
		break;
	case EVENT_STORE_WRITTEN:
		g_rc_box_acquire(copy->msg);
		break;
	default:
		break;
	}
	return copy;
}

static void event_free(gpointer data)
{
	struct event *event = data;

	event_clear(event);
	g_free(event);
}

static void probe_handle(void *self, const struct event *event)
{
	struct bench *bench = self;

	g_ptr_array_add(bench->events, copy_event(event));
	bench->seen_counts[event->type]++;
	if (event->type == bench->until_type &&
	    bench->seen_counts[event->type] >= bench->until_count)
		loop_stop(bench->loop);
}

struct bench *bench_new(const char *entry)
{
	struct bench *bench = g_new0(struct bench, 1);

	bench->settings = settings_new();
	name_copy(bench->settings->entry, NAME_SIZE_BYTES, entry);
	bench->kernel = kernel_new(bench->settings, 1, 1);
	bench->loop = loop_new(bench->kernel);
	bench->ev = kernel_loop(bench->kernel);
	bench->events = g_ptr_array_new_with_free_func(event_free);
	bench->probe = (struct plugin){
		.name = "~probe",
		.kind = PLUGIN_FRONT,
		.takes = EVENT_BIT(EVENT_LOG_RECORD) |
			 EVENT_BIT(EVENT_LOG_STATE) |
			 EVENT_BIT(EVENT_LOG_APPENDED) |
			 EVENT_BIT(EVENT_INSTANCE_LIST) |
			 EVENT_BIT(EVENT_PEER_RECEIVED) |
			 EVENT_BIT(EVENT_STORE_WRITTEN),
		.handle = probe_handle,
	};
	kernel_start_plugin_with(bench->kernel, &bench->probe, bench);
	return bench;
}

void bench_start(struct bench *bench, enum plugin_kind kind, const char *name)
{
	kernel_start_plugin(bench->kernel, plugin_find(kind, name));
	bench_emit(bench, &(struct event){ .type = EVENT_STARTED });
}

void bench_free(struct bench *bench)
{
	kernel_free(bench->kernel);
	loop_free(bench->loop);
	settings_free(bench->settings);
	g_ptr_array_unref(bench->events);
	g_free(bench);
}

void bench_emit(struct bench *bench, const struct event *event)
{
	kernel_emit(bench->kernel, event);
	kernel_set_time(bench->kernel, g_get_monotonic_time(),
			g_get_real_time());
	kernel_run(bench->kernel);
}

void bench_run(struct bench *bench, enum event_type type, uint32_t count)
{
	bench->until_type = type;
	bench->until_count = count;
	if (bench->seen_counts[type] < count)
		loop_run(bench->loop);
}

const struct event *bench_event(const struct bench *bench, enum event_type type,
				uint32_t index)
{
	for (guint i = 0; i < bench->events->len; i++) {
		const struct event *event = bench->events->pdata[i];

		if (event->type == type && !index--)
			return event;
	}
	return NULL;
}
