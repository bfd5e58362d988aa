#include "contract/fake_log.h"

void fake_log_append(struct fake_log *log, struct record *record)
{
	struct kernel *kernel = log->contract->kernel;
	struct event event = { .type = EVENT_LOG_RECORD };

	event.record.offset = fleet_offset(kernel_fleet(kernel)) + 1;
	event.record.record = record_ref(record);
	kernel_emit(kernel, &event);
}

static void on_propose(struct fake_log *log, struct record *record)
{
	struct event dropped = { .type = EVENT_PROPOSAL_DROPPED };

	log->proposed_count++;
	name_copy(record->id.entry, sizeof(record->id.entry), "e1");
	record->id.incarnation = 7;
	record->id.sequence = 100 + log->proposed_count;
	switch (log->mode) {
	case LOG_CONFLICT:
		contract_declare(log->contract, record->config.file,
				 "members: [{name: winner}]");
		fake_log_append(log, record);
		break;
	case LOG_ACCEPTS:
		fake_log_append(log, record);
		break;
	case LOG_DROPS:
		dropped.record.record = record_ref(record);
		g_strlcpy(dropped.record.reason, "the queue is full",
			  sizeof(dropped.record.reason));
		kernel_emit(log->contract->kernel, &dropped);
		break;
	default:
		log->silent = record_ref(record);
		break;
	}
}

static void log_handle(void *self, const struct event *event)
{
	struct fake_log *log = self;

	if (event->type == EVENT_DRAIN)
		log->drain_count++;
	else
		on_propose(log, event->record.record);
}

static const struct plugin log_plugin = {
	.name = "fake_log",
	.kind = PLUGIN_DECIDE,
	.subscriptions = EVENT_BIT(EVENT_PROPOSE) | EVENT_BIT(EVENT_DRAIN),
	.handle = log_handle,
};

void fake_log_start(struct fake_log *log, struct contract *contract)
{
	log->contract = contract;
	kernel_start_plugin_with(contract->kernel, &log_plugin, log);
}
