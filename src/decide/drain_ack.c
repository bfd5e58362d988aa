/*
 * Acknowledges the drain of an instance once none of our attempts is in flight
 * at it. The planner moves or reboots the instance when every entry of its data
 * centre has acknowledged.
 */

#include <string.h>

#include "kernel/kernel.h"

/* Delay before a dropped proposal is made again. */
#define RETRY_US (1 * USEC_PER_SEC)

struct drain {
	char instance[NAME_SIZE_BYTES];
	uint64_t drain_offset;
	struct record *record; /* the pending proposal, or NULL */
	bool acked;
};

struct drain_ack {
	struct kernel *kernel;
	GPtrArray *drains; /* of struct drain, in our data centre */
	int64_t retry_us;  /* next retry of dropped proposals */
};

static void drain_free(gpointer data)
{
	struct drain *drain = data;

	record_unref(drain->record);
	g_free(drain);
}

static void *drain_ack_init(struct kernel *kernel)
{
	struct drain_ack *self = g_new0(struct drain_ack, 1);

	self->kernel = kernel;
	self->retry_us = DEADLINE_NEVER_US;
	self->drains = g_ptr_array_new_with_free_func(drain_free);
	return self;
}

static void drain_ack_fini(void *self)
{
	struct drain_ack *drain_ack = self;

	g_ptr_array_unref(drain_ack->drains);
	g_free(drain_ack);
}

static const struct fleet_entry *own_entry(const struct drain_ack *self)
{
	const struct fleet_entry *entry =
		fleet_entry(kernel_fleet(self->kernel),
			    kernel_settings(self->kernel)->entry);

	return entry && entry->decl.incarnation ==
				       kernel_incarnation(self->kernel)
		       ? entry
		       : NULL;
}

static bool is_draining(const struct fleet_instance *instance)
{
	return instance->phase == INSTANCE_DRAINING_MOVE ||
	       instance->phase == INSTANCE_DRAINING_MAINT;
}

/* Whether the drain waits for our acknowledgement. */
static bool needs_our_ack(const struct drain_ack *self,
			  const struct fleet_instance *instance)
{
	const struct fleet_entry *own = own_entry(self);

	return own && is_draining(instance) &&
	       !strcmp(instance->decl.dc, kernel_settings(self->kernel)->dc) &&
	       own->join_offset <= instance->drain_offset;
}

static struct drain *find_drain(const struct drain_ack *self,
				const char *instance)
{
	for (guint i = 0; i < self->drains->len; i++) {
		struct drain *drain = self->drains->pdata[i];

		if (!strcmp(drain->instance, instance))
			return drain;
	}
	return NULL;
}

static uint32_t in_flight(const struct drain_ack *self, const char *instance)
{
	const struct endpoint_state *state =
		endpoint_table_find(kernel_endpoints(self->kernel), instance);

	return state ? state->in_flight_count : 0;
}

static void acknowledge(struct drain_ack *self, struct drain *drain)
{
	struct record *record;
	struct event event = { .type = EVENT_PROPOSE };

	if (drain->acked || drain->record || in_flight(self, drain->instance))
		return;
	record = record_new(RECORD_DRAIN_ACK);
	name_copy(record->instance.instance, NAME_SIZE_BYTES, drain->instance);
	record->instance.drain_offset = drain->drain_offset;
	record->instance.incarnation = kernel_incarnation(self->kernel);
	drain->record = record_ref(record);
	event.record.record = record;
	kernel_emit(self->kernel, &event);
}

/* Whether the state shows that we have acknowledged the drain. */
static bool has_our_ack(const struct drain_ack *self,
			const struct fleet_instance *instance)
{
	return g_ptr_array_find_with_equal_func(
		instance->acks, kernel_settings(self->kernel)->entry,
		g_str_equal, NULL);
}

static void update_drain(struct drain_ack *self,
			 const struct fleet_instance *instance)
{
	struct drain *drain = find_drain(self, instance->decl.name);

	if (drain && (!needs_our_ack(self, instance) ||
		      drain->drain_offset != instance->drain_offset)) {
		g_ptr_array_remove(self->drains, drain);
		drain = NULL;
	}
	if (!needs_our_ack(self, instance))
		return;
	if (!drain) {
		drain = g_new0(struct drain, 1);
		name_copy(drain->instance, sizeof(drain->instance),
			  instance->decl.name);
		drain->drain_offset = instance->drain_offset;
		g_ptr_array_add(self->drains, drain);
	}
	drain->acked = has_our_ack(self, instance);
	if (drain->acked) {
		record_unref(drain->record);
		drain->record = NULL;
	}
	acknowledge(self, drain);
}

static void update_all_drains(struct drain_ack *self)
{
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(self->kernel));

	for (guint i = 0; i < instances->len; i++)
		update_drain(self, instances->pdata[i]);
}

static void on_fleet_changed(struct drain_ack *self, const struct event *event)
{
	const struct record *record = event->record.record;
	const struct fleet_instance *instance;

	if (!event->record.accepted)
		return;
	switch (record->kind) {
	case RECORD_MOVE_START ... RECORD_MAINT_DONE:
		instance = fleet_instance(kernel_fleet(self->kernel),
					  record->instance.instance);
		if (instance)
			update_drain(self, instance);
		break;
	case RECORD_CONFIG_PUT:
	case RECORD_CONFIG_REMOVE:
	case RECORD_ENTRY_JOIN:
	case RECORD_ENTRY_GONE:
		update_all_drains(self);
		break;
	default:
		break;
	}
}

/* Retries later: while the proposal queue is full, it would drop each one. */
static void on_dropped(struct drain_ack *self, const struct event *event)
{
	for (guint i = 0; i < self->drains->len; i++) {
		struct drain *drain = self->drains->pdata[i];

		if (drain->record != event->record.record)
			continue;
		record_unref(drain->record);
		drain->record = NULL;
		self->retry_us = kernel_now_us(self->kernel) + RETRY_US;
		kernel_wake_at(self->kernel, self->retry_us);
	}
}

static void on_wake(struct drain_ack *self)
{
	if (self->retry_us == DEADLINE_NEVER_US)
		return;
	if (kernel_now_us(self->kernel) < self->retry_us) {
		kernel_wake_at(self->kernel, self->retry_us);
		return;
	}
	self->retry_us = DEADLINE_NEVER_US;
	for (guint i = 0; i < self->drains->len; i++)
		acknowledge(self, self->drains->pdata[i]);
}

static void drain_ack_handle(void *self, const struct event *event)
{
	struct drain_ack *drain_ack = self;
	struct drain *drain;

	switch (event->type) {
	case EVENT_WAKE:
		on_wake(drain_ack);
		break;
	case EVENT_FLEET_CHANGED:
		on_fleet_changed(drain_ack, event);
		break;
	case EVENT_FLEET_RESET:
		update_all_drains(drain_ack);
		break;
	case EVENT_PROPOSAL_DROPPED:
		on_dropped(drain_ack, event);
		break;
	case EVENT_SLOT_FREE:
		drain = find_drain(drain_ack, event->attempt.endpoint);
		if (drain)
			acknowledge(drain_ack, drain);
		break;
	default:
		break;
	}
}

static const struct plugin drain_ack_plugin = {
	.name = "drain_ack",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_WAKE) | EVENT_BIT(EVENT_FLEET_CHANGED) |
		EVENT_BIT(EVENT_FLEET_RESET) |
		EVENT_BIT(EVENT_PROPOSAL_DROPPED) | EVENT_BIT(EVENT_SLOT_FREE),
	.init = drain_ack_init,
	.handle = drain_ack_handle,
	.fini = drain_ack_fini,
};

PLUGIN_REGISTER(drain_ack_plugin)
