/* Drives moves and maintenance of instances from start to end. */

#include <string.h>

#include "decide/planner.h"

/* A move is aborted when its reason has been gone for this time. */
#define UNWANTED_TIMEOUT_US (60 * USEC_PER_SEC)
/* An instance that has not drained by then returns to service. */
#define DRAIN_TIMEOUT_US (900 * USEC_PER_SEC)
/* No planned step of an instance for this time after an aborted drain. */
#define COOLDOWN_US (600 * USEC_PER_SEC)
#define REBOOT_TIMEOUT_US (600 * USEC_PER_SEC)
/* A reboot request without an effect is repeated after this time. */
#define REBOOT_RETRY_DELAY_US (120 * USEC_PER_SEC)

static bool may_start(const void *data, const struct fleet_instance *instance)
{
	struct planner *planner = (struct planner *)data;

	return !pending_has(planner->pending, instance->decl.name) &&
	       planner_dc_has_live_entry(planner, instance->decl.dc) &&
	       kernel_now_us(planner->kernel) >=
		       planner_get_watch(planner, instance->decl.name)
			       ->cooldown_until_us;
}

static struct plan_view make_view(struct planner *planner)
{
	return (struct plan_view){
		.fleet = kernel_fleet(planner->kernel),
		.now_us = kernel_now_us(planner->kernel),
		.wall_us = kernel_wall_us(planner->kernel),
		.demands = planner->demands,
		.may_start = may_start,
		.planner = planner,
	};
}

/* Restarts the timers when a drain or reboot is first seen. */
static void restart_timers(struct planner *planner,
			   const struct fleet_instance *instance,
			   struct instance_watch *watch)
{
	int64_t now_us = kernel_now_us(planner->kernel);

	if (watch->drain_offset != instance->drain_offset) {
		watch->drain_offset = instance->drain_offset;
		watch->drain_seen_us = now_us;
		watch->unwanted_since_us = 0;
		watch->reboot_seen_us = 0;
		watch->reboot_requested_us = 0;
		watch->seen_off_list = false;
	}
	if (instance->phase == INSTANCE_REBOOTING && !watch->reboot_seen_us) {
		watch->reboot_seen_us = MAX(now_us, 1);
		watch->seen_off_list = planner->has_list && !watch->listed_live;
	}
}

void planner_on_record(struct planner *planner, const struct record *record)
{
	struct plan_view view = make_view(planner);
	const struct fleet_instance *instance =
		fleet_instance(view.fleet, record->instance.instance);

	if (record->kind == RECORD_MOVE_START)
		planner->moves->move_started(planner->moves_self, &view,
					     record);
	if (instance)
		restart_timers(planner, instance,
			       planner_get_watch(planner, instance->decl.name));
}

static void propose(struct planner *planner, enum record_kind kind,
		    const struct fleet_instance *instance)
{
	struct record *record =
		planner_record(planner, kind, instance->decl.name);

	record->instance.drain_offset = instance->drain_offset;
	name_copy(record->instance.wave, NAME_SIZE_BYTES, instance->wave);
	pending_propose(planner->pending, instance->decl.name, record);
}

static void abort_drain(struct planner *planner,
			const struct fleet_instance *instance,
			struct instance_watch *watch)
{
	watch->cooldown_until_us = kernel_now_us(planner->kernel) + COOLDOWN_US;
	propose(planner, RECORD_MOVE_ABORT, instance);
}

/* Whether no request or job of any process can still run on an instance. */
static bool is_idle(struct planner *planner,
		    const struct fleet_instance *instance)
{
	struct fleet *fleet = kernel_fleet(planner->kernel);

	return planner_dc_has_live_entry(planner, instance->decl.dc) &&
	       !planner_dc_is_held(planner, instance->decl.dc) &&
	       fleet_drained(fleet, instance) &&
	       !fleet_instance_job_count(fleet, instance->decl.name);
}

static bool is_unwanted(struct planner *planner, const struct plan_view *view,
			const struct fleet_instance *instance,
			struct instance_watch *watch)
{
	if (planner->moves->still_needed(planner->moves_self, view, instance)) {
		watch->unwanted_since_us = 0;
		return false;
	}
	if (!watch->unwanted_since_us)
		watch->unwanted_since_us = view->now_us;
	return view->now_us - watch->unwanted_since_us >= UNWANTED_TIMEOUT_US;
}

static void step_move(struct planner *planner,
		      const struct fleet_instance *instance,
		      struct instance_watch *watch)
{
	struct plan_view view = make_view(planner);

	if (plan_in_gentle_window(&view, instance->pool) ||
	    plan_in_gentle_window(&view, instance->to_pool) ||
	    !fleet_pool(view.fleet, instance->to_pool) ||
	    is_unwanted(planner, &view, instance, watch) ||
	    view.now_us - watch->drain_seen_us >= DRAIN_TIMEOUT_US)
		abort_drain(planner, instance, watch);
	else if (is_idle(planner, instance))
		propose(planner, RECORD_MOVE_COMMIT, instance);
}

static void step_maintenance(struct planner *planner,
			     const struct fleet_instance *instance,
			     struct instance_watch *watch)
{
	struct plan_view view = make_view(planner);
	const struct fleet_wave *wave = fleet_wave(view.fleet, instance->wave);

	if (!wave || wave->halted ||
	    plan_in_gentle_window(&view, instance->pool) ||
	    view.now_us - watch->drain_seen_us >= DRAIN_TIMEOUT_US)
		abort_drain(planner, instance, watch);
	else if (is_idle(planner, instance))
		propose(planner, RECORD_MAINT_REBOOT, instance);
}

static void request_reboot(struct planner *planner,
			   struct instance_watch *watch)
{
	struct event event = { .type = EVENT_INSTANCE_REBOOT };

	watch->reboot_requested_us = MAX(kernel_now_us(planner->kernel), 1);
	name_copy(event.subject.name, NAME_SIZE_BYTES, watch->name);
	event.subject.offset = watch->drain_offset;
	kernel_emit(planner->kernel, &event);
}

static void finish_reboot(struct planner *planner,
			  const struct fleet_instance *instance, bool failed)
{
	struct record *record =
		planner_record(planner, RECORD_MAINT_DONE, instance->decl.name);

	record->instance.drain_offset = instance->drain_offset;
	record->instance.failed = failed;
	name_copy(record->instance.wave, NAME_SIZE_BYTES, instance->wave);
	pending_propose(planner->pending, instance->decl.name, record);
}

static void step_reboot(struct planner *planner,
			const struct fleet_instance *instance,
			struct instance_watch *watch)
{
	int64_t now_us = kernel_now_us(planner->kernel);

	if (watch->seen_off_list) {
		if (watch->listed_live) {
			finish_reboot(planner, instance, false);
			return;
		}
	} else if (planner_dc_has_live_entry(planner, instance->decl.dc) &&
		   (!watch->reboot_requested_us ||
		    now_us - watch->reboot_requested_us >=
			    REBOOT_RETRY_DELAY_US)) {
		request_reboot(planner, watch);
	}
	if (now_us - watch->reboot_seen_us >= REBOOT_TIMEOUT_US)
		finish_reboot(planner, instance, true);
}

void planner_step_instance(struct planner *planner,
			   const struct fleet_instance *instance)
{
	struct instance_watch *watch =
		planner_get_watch(planner, instance->decl.name);

	restart_timers(planner, instance, watch);
	if (pending_has(planner->pending, instance->decl.name))
		return;
	switch (instance->phase) {
	case INSTANCE_DRAINING_MOVE:
		step_move(planner, instance, watch);
		break;
	case INSTANCE_DRAINING_MAINT:
		step_maintenance(planner, instance, watch);
		break;
	case INSTANCE_REBOOTING:
		step_reboot(planner, instance, watch);
		break;
	case INSTANCE_ACTIVE:
	case INSTANCE_REMOVED:
		break;
	}
}

static void propose_start(struct planner *planner, struct record *record)
{
	name_copy(planner->starting_instance, NAME_SIZE_BYTES,
		  record->instance.instance);
	pending_propose(planner->pending, planner->starting_instance, record);
}

static bool start_move(struct planner *planner, const struct plan_view *view)
{
	struct moves_choice choice = { { 0 } };
	struct record *record;

	if (!planner->moves->choose(planner->moves_self, view, &choice))
		return false;
	record = planner_record(planner, RECORD_MOVE_START, choice.instance);
	name_copy(record->instance.to_pool, NAME_SIZE_BYTES, choice.to_pool);
	propose_start(planner, record);
	return true;
}

static bool start_maintenance(struct planner *planner,
			      const struct plan_view *view,
			      const struct fleet_wave *wave)
{
	const struct fleet_instance *instance =
		planner->waves->choose(planner->waves_self, view, wave);
	struct record *record;

	if (!instance)
		return false;
	record = planner_record(planner, RECORD_MAINT_START,
				instance->decl.name);
	name_copy(record->instance.wave, NAME_SIZE_BYTES, wave->decl.name);
	propose_start(planner, record);
	return true;
}

/*
 * Starts one step at a time: until its record is applied, the policies do not
 * count it against the parallelism of a wave or the budget.
 */
static void start_steps(struct planner *planner, const struct plan_view *view)
{
	const GPtrArray *waves = fleet_waves(view->fleet);
	bool started;

	if (planner->starting_instance[0] &&
	    pending_has(planner->pending, planner->starting_instance))
		return;
	started = start_move(planner, view);
	for (guint i = 0; !started && i < waves->len; i++)
		started = start_maintenance(planner, view, waves->pdata[i]);
}

void planner_tick(struct planner *planner)
{
	struct plan_view view = make_view(planner);
	const GPtrArray *instances = fleet_instances(view.fleet);

	planner_sum_demands(planner);
	planner->moves->sample(planner->moves_self, &view);
	planner->waves->sample(planner->waves_self, &view);
	planner_propose_health(planner);
	for (guint i = 0; i < instances->len; i++)
		planner_step_instance(planner, instances->pdata[i]);
	start_steps(planner, &view);
}
