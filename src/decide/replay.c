/*
 * Applies the records that were read from the log to the replicated state.
 * Records after a gap are kept until a snapshot closes it.
 */

#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "replay"
/*
 * Limit of the records that are kept after a gap. It is large enough to miss
 * several snapshots in a row.
 */
#define WAITING_MAX_COUNT 65536

struct waiting_record {
	uint64_t offset;
	uint64_t previous_offset;
	struct record *record;
};

struct replay {
	struct kernel *kernel;
	GQueue waiting; /* of struct waiting_record, by offset */
};

static void waiting_record_free(gpointer data)
{
	struct waiting_record *waiting = data;

	record_unref(waiting->record);
	g_free(waiting);
}

static void *replay_init(struct kernel *kernel)
{
	struct replay *replay = g_new0(struct replay, 1);

	replay->kernel = kernel;
	g_queue_init(&replay->waiting);
	return replay;
}

static void replay_fini(void *self)
{
	struct replay *replay = self;

	g_queue_clear_full(&replay->waiting, waiting_record_free);
	g_free(replay);
}

static void add_timeline_entry(struct replay *replay,
			       const struct event *changed)
{
	const struct record *record = changed->record.record;
	struct timeline_entry entry = {
		.kind = TIMELINE_RECORD,
		.offset = changed->record.offset,
	};

	if (record->kind >= RECORD_MOVE_START &&
	    record->kind <= RECORD_INSTANCE_UP)
		name_copy(entry.instance, sizeof(entry.instance),
			  record->instance.instance);
	g_snprintf(entry.text, sizeof(entry.text), "%s by %s %s %s",
		   record_kind_name(record->kind), record->id.entry,
		   changed->record.accepted ? "accepted" : "ignored:",
		   changed->record.reason);
	timeline_add(kernel_timeline(replay->kernel), &entry);
}

static void apply(struct replay *replay, uint64_t offset, struct record *record)
{
	struct fleet *fleet = kernel_fleet(replay->kernel);
	struct counters *counters = kernel_counters(replay->kernel);
	struct event changed = { .type = EVENT_FLEET_CHANGED };
	struct fleet_outcome outcome;

	fleet_apply(fleet, offset, record, &outcome);
	counter_add(counters,
		    outcome.accepted ? "records_accepted_total"
				     : "records_ignored_total",
		    1);
	counter_set(counters, "applied_offset", fleet_offset(fleet));
	changed.record.offset = offset;
	changed.record.record = record_ref(record);
	changed.record.accepted = outcome.accepted;
	g_strlcpy(changed.record.reason, outcome.reason,
		  sizeof(changed.record.reason));
	add_timeline_entry(replay, &changed);
	if (!outcome.accepted)
		klog_debug(LOG_PREFIX,
			   "record %" G_GUINT64_FORMAT " ignored: %s", offset,
			   outcome.reason);
	/* Plug-ins must see this change before the next record is applied. */
	kernel_emit_front(replay->kernel, &changed);
}

static void update_waiting_counter(struct replay *replay)
{
	counter_set(kernel_counters(replay->kernel), "records_waiting",
		    replay->waiting.length);
}

static void wait_for_snapshot(struct replay *replay,
			      const struct event_record *read)
{
	struct waiting_record *waiting;

	if (!replay->waiting.length)
		klog_warn(LOG_PREFIX,
			  "records %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
			  " were trimmed unread; waiting for a snapshot",
			  fleet_offset(kernel_fleet(replay->kernel)) + 1,
			  read->previous_offset);
	if (replay->waiting.length >= WAITING_MAX_COUNT) {
		waiting_record_free(g_queue_pop_head(&replay->waiting));
		counter_add(kernel_counters(replay->kernel),
			    "records_waiting_dropped_total", 1);
	}
	waiting = g_new0(struct waiting_record, 1);
	waiting->offset = read->offset;
	waiting->previous_offset = read->previous_offset;
	waiting->record = record_ref(read->record);
	g_queue_push_tail(&replay->waiting, waiting);
	update_waiting_counter(replay);
}

/* Emits the waiting records again, in order, as if they were read now. */
static void requeue_waiting(struct replay *replay)
{
	struct event event = { .type = EVENT_LOG_RECORD };
	struct waiting_record *waiting;

	while ((waiting = g_queue_pop_tail(&replay->waiting))) {
		event.record.offset = waiting->offset;
		event.record.previous_offset = waiting->previous_offset;
		event.record.record = record_ref(waiting->record);
		kernel_emit_front(replay->kernel, &event);
		waiting_record_free(waiting);
	}
	update_waiting_counter(replay);
}

static void on_log_record(struct replay *replay,
			  const struct event_record *read)
{
	uint64_t applied_offset = fleet_offset(kernel_fleet(replay->kernel));
	const struct waiting_record *oldest =
		g_queue_peek_head(&replay->waiting);
	const struct waiting_record *newest =
		g_queue_peek_tail(&replay->waiting);

	if (read->offset > applied_offset &&
	    read->previous_offset <= applied_offset) {
		/*
		 * Must precede apply(), whose event goes in front of the
		 * events that are queued here.
		 */
		if (oldest && oldest->previous_offset <= read->offset)
			requeue_waiting(replay);
		apply(replay, read->offset, read->record);
	} else if (read->offset <= applied_offset ||
		   (newest && read->offset <= newest->offset)) {
		counter_add(kernel_counters(replay->kernel),
			    "records_repeated_total", 1);
	} else {
		wait_for_snapshot(replay, read);
	}
}

static void on_fleet_reset(struct replay *replay)
{
	requeue_waiting(replay);
	counter_set(kernel_counters(replay->kernel), "applied_offset",
		    fleet_offset(kernel_fleet(replay->kernel)));
}

static void replay_handle(void *self, const struct event *event)
{
	if (event->type == EVENT_LOG_RECORD)
		on_log_record(self, &event->record);
	else
		on_fleet_reset(self);
}

static const struct plugin replay_plugin = {
	.name = "replay",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_LOG_RECORD) | EVENT_BIT(EVENT_FLEET_RESET),
	.init = replay_init,
	.handle = replay_handle,
	.fini = replay_fini,
};

PLUGIN_REGISTER(replay_plugin)
