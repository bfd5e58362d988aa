/* Applies the records that were read from the log to the replicated state. */

#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "replay"

struct replay {
	struct kernel *kernel;
};

static void *replay_init(struct kernel *kernel)
{
	struct replay *replay = g_new0(struct replay, 1);

	replay->kernel = kernel;
	return replay;
}

static void trace(struct replay *replay, const struct event *changed)
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

static void replay_handle(void *self, const struct event *event)
{
	struct replay *replay = self;
	struct fleet *fleet = kernel_fleet(replay->kernel);
	struct counters *counters = kernel_counters(replay->kernel);
	struct event changed = { .type = EVENT_FLEET_CHANGED };
	struct fleet_outcome outcome;

	if (event->record.offset <= fleet_offset(fleet)) {
		counter_add(counters, "records_repeated_total", 1);
		return;
	}
	fleet_apply(fleet, event->record.offset, event->record.record,
		    &outcome);
	counter_add(counters,
		    outcome.accepted ? "records_accepted_total"
				     : "records_ignored_total",
		    1);
	counter_set(counters, "applied_offset", fleet_offset(fleet));
	changed.record.offset = event->record.offset;
	changed.record.record = record_ref(event->record.record);
	changed.record.accepted = outcome.accepted;
	g_strlcpy(changed.record.reason, outcome.reason,
		  sizeof(changed.record.reason));
	trace(replay, &changed);
	if (!outcome.accepted)
		klog_debug(LOG_PREFIX,
			   "record %" G_GUINT64_FORMAT " ignored: %s",
			   event->record.offset, outcome.reason);
	/* Before the next record, which may be queued already, is applied. */
	kernel_emit_next(replay->kernel, &changed);
}

static const struct plugin replay_plugin = {
	.name = "replay",
	.kind = PLUGIN_DECIDE,
	.takes = EVENT_BIT(EVENT_LOG_RECORD),
	.init = replay_init,
	.handle = replay_handle,
	.fini = g_free,
};

PLUGIN_REGISTER(replay_plugin)
