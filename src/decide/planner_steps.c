/* Carries moves and maintenance of instances from start to end. */

#include <string.h>

#include "decide/planner.h"

/* A reason that is gone for so long ends a move. */
#define UNWANTED_US (60 * USEC_PER_SEC)
/* Longest drain; an instance that does not drain goes back to service. */
#define DRAIN_US (900 * USEC_PER_SEC)
/* No planned step of an instance for so long after a drain was given up. */
#define REST_US (600 * USEC_PER_SEC)
#define REBOOT_MAX_US (600 * USEC_PER_SEC)
/* A request to reboot that shows no effect is made again. */
#define REBOOT_RETRY_US (120 * USEC_PER_SEC)

static bool may_start(const void *data, const struct fleet_instance *instance)
{
	struct planner *planner = (struct planner *)data;

	return !pending_has(planner->pending, instance->decl.name) &&
	       planner_dc_known(planner, instance->decl.dc) &&
	       kernel_now_us(planner->kernel) >=
		       planner_watched(planner, instance->decl.name)
			       ->rest_until_us;
}

static struct plan_view view_of(struct planner *planner)
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

/* Starts the times of a drain or reboot that was not seen before. */
static void follow(struct planner *planner,
		   const struct fleet_instance *instance,
		   struct watched *watched)
{
	int64_t now_us = kernel_now_us(planner->kernel);

	if (watched->drain_offset != instance->drain_offset) {
		watched->drain_offset = instance->drain_offset;
		watched->drain_seen_us = now_us;
		watched->unwanted_us = 0;
		watched->reboot_seen_us = 0;
		watched->reboot_sent_us = 0;
		watched->gone_since_reboot = false;
	}
	if (instance->phase == INSTANCE_REBOOTING && !watched->reboot_seen_us) {
		watched->reboot_seen_us = MAX(now_us, 1);
		watched->gone_since_reboot =
			planner->list_known && !watched->listed_live;
	}
}

void planner_note(struct planner *planner, const struct record *record)
{
	struct plan_view view = view_of(planner);
	const struct fleet_instance *instance =
		fleet_instance(view.fleet, record->instance.instance);

	if (record->kind == RECORD_MOVE_START)
		planner->moves->note(planner->moves_self, &view, record);
	if (instance)
		follow(planner, instance,
		       planner_watched(planner, instance->decl.name));
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

static void give_up(struct planner *planner,
		    const struct fleet_instance *instance,
		    struct watched *watched)
{
	watched->rest_until_us = kernel_now_us(planner->kernel) + REST_US;
	propose(planner, RECORD_MOVE_ABORT, instance);
}

/* Whether nothing of any process can still run on a draining instance. */
static bool is_idle(struct planner *planner,
		    const struct fleet_instance *instance)
{
	struct fleet *fleet = kernel_fleet(planner->kernel);

	return planner_dc_known(planner, instance->decl.dc) &&
	       !planner_dc_held(planner, instance->decl.dc) &&
	       fleet_drained(fleet, instance) &&
	       !fleet_jobs_on(fleet, instance->decl.name);
}

static bool reason_gone(struct planner *planner, const struct plan_view *view,
			const struct fleet_instance *instance,
			struct watched *watched)
{
	if (planner->moves->wanted(planner->moves_self, view, instance)) {
		watched->unwanted_us = 0;
		return false;
	}
	if (!watched->unwanted_us)
		watched->unwanted_us = view->now_us;
	return view->now_us - watched->unwanted_us >= UNWANTED_US;
}

static void step_move(struct planner *planner,
		      const struct fleet_instance *instance,
		      struct watched *watched)
{
	struct plan_view view = view_of(planner);

	if (plan_gentle(&view, instance->pool) ||
	    plan_gentle(&view, instance->to_pool) ||
	    !fleet_pool(view.fleet, instance->to_pool) ||
	    reason_gone(planner, &view, instance, watched) ||
	    view.now_us - watched->drain_seen_us >= DRAIN_US)
		give_up(planner, instance, watched);
	else if (is_idle(planner, instance))
		propose(planner, RECORD_MOVE_COMMIT, instance);
}

static void step_maint(struct planner *planner,
		       const struct fleet_instance *instance,
		       struct watched *watched)
{
	struct plan_view view = view_of(planner);
	const struct fleet_wave *wave = fleet_wave(view.fleet, instance->wave);

	if (!wave || wave->halted || plan_gentle(&view, instance->pool) ||
	    view.now_us - watched->drain_seen_us >= DRAIN_US)
		give_up(planner, instance, watched);
	else if (is_idle(planner, instance))
		propose(planner, RECORD_MAINT_REBOOT, instance);
}

static void ask_reboot(struct planner *planner, struct watched *watched)
{
	struct event event = { .type = EVENT_INSTANCE_REBOOT };

	watched->reboot_sent_us = MAX(kernel_now_us(planner->kernel), 1);
	name_copy(event.name.name, NAME_SIZE_BYTES, watched->name);
	event.name.offset = watched->drain_offset;
	kernel_emit(planner->kernel, &event);
}

static void end_reboot(struct planner *planner,
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
			struct watched *watched)
{
	int64_t now_us = kernel_now_us(planner->kernel);

	if (watched->gone_since_reboot) {
		if (watched->listed_live) {
			end_reboot(planner, instance, false);
			return;
		}
	} else if (planner_dc_known(planner, instance->decl.dc) &&
		   (!watched->reboot_sent_us ||
		    now_us - watched->reboot_sent_us >= REBOOT_RETRY_US)) {
		ask_reboot(planner, watched);
	}
	if (now_us - watched->reboot_seen_us >= REBOOT_MAX_US)
		end_reboot(planner, instance, true);
}

void planner_step(struct planner *planner,
		  const struct fleet_instance *instance)
{
	struct watched *watched = planner_watched(planner, instance->decl.name);

	follow(planner, instance, watched);
	if (pending_has(planner->pending, instance->decl.name))
		return;
	switch (instance->phase) {
	case INSTANCE_DRAINING_MOVE:
		step_move(planner, instance, watched);
		break;
	case INSTANCE_DRAINING_MAINT:
		step_maint(planner, instance, watched);
		break;
	case INSTANCE_REBOOTING:
		step_reboot(planner, instance, watched);
		break;
	case INSTANCE_ACTIVE:
	case INSTANCE_REMOVED:
		break;
	}
}

static void start(struct planner *planner, struct record *record)
{
	name_copy(planner->starting, NAME_SIZE_BYTES,
		  record->instance.instance);
	pending_propose(planner->pending, planner->starting, record);
}

static bool start_move(struct planner *planner, const struct plan_view *view)
{
	struct moves_choice choice = { { 0 } };
	struct record *record;

	if (!planner->moves->choose(planner->moves_self, view, &choice))
		return false;
	record = planner_record(planner, RECORD_MOVE_START, choice.instance);
	name_copy(record->instance.to_pool, NAME_SIZE_BYTES, choice.to_pool);
	start(planner, record);
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
	start(planner, record);
	return true;
}

/*
 * One start at a time: until its record is applied, the policies would not
 * count it in the parallelism of a wave and in the budget.
 */
static void start_steps(struct planner *planner, const struct plan_view *view)
{
	const GPtrArray *waves = fleet_waves(view->fleet);
	bool started;

	if (planner->starting[0] &&
	    pending_has(planner->pending, planner->starting))
		return;
	started = start_move(planner, view);
	for (guint i = 0; !started && i < waves->len; i++)
		started = start_maintenance(planner, view, waves->pdata[i]);
}

void planner_tick(struct planner *planner)
{
	struct plan_view view = view_of(planner);
	const GPtrArray *instances = fleet_instances(view.fleet);

	planner_sum_demands(planner);
	planner->moves->sample(planner->moves_self, &view);
	planner->waves->sample(planner->waves_self, &view);
	planner_mark_health(planner);
	for (guint i = 0; i < instances->len; i++)
		planner_step(planner, instances->pdata[i]);
	start_steps(planner, &view);
}
