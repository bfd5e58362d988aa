/* Replicated state: moves between pools, maintenance and availability. */

#include <string.h>

#include "core/fleet_state.h"

static struct fleet_instance *find_instance(struct fleet *fleet,
					    const char *name)
{
	return g_hash_table_lookup(fleet->instances, name);
}

static bool out_of_service(const struct fleet_instance *instance)
{
	return instance->down || instance->phase != INSTANCE_ACTIVE;
}

void fleet_rebuild_pools(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->pool_list->len; i++) {
		struct fleet_pool *pool = fleet->pool_list->pdata[i];

		pool->unavailable_count = 0;
		g_ptr_array_set_size(pool->instances, 0);
	}
	for (guint i = 0; i < fleet->instance_list->len; i++) {
		struct fleet_instance *instance =
			fleet->instance_list->pdata[i];
		struct fleet_pool *pool =
			g_hash_table_lookup(fleet->pools, instance->pool);

		if (!pool)
			continue;
		g_ptr_array_add(pool->instances, instance);
		pool->unavailable_count += out_of_service(instance);
	}
}

/* Updates the unavailable count of an instance's pool. */
static void recount_pool(struct fleet *fleet,
			 const struct fleet_instance *instance)
{
	struct fleet_pool *pool =
		g_hash_table_lookup(fleet->pools, instance->pool);

	if (!pool)
		return;
	pool->unavailable_count = 0;
	for (guint i = 0; i < pool->instances->len; i++)
		pool->unavailable_count +=
			out_of_service(pool->instances->pdata[i]);
}

bool fleet_budget_allows(const struct fleet *fleet,
			 const struct fleet_instance *instance)
{
	const struct fleet_pool *pool =
		g_hash_table_lookup(fleet->pools, instance->pool);
	uint32_t unavailable_count;
	uint32_t available_count;

	if (!pool)
		return false;
	/* An instance that is out of service already is in the count. */
	unavailable_count = pool->unavailable_count + !out_of_service(instance);
	if (unavailable_count > pool->decl.max_unavailable_count)
		return false;
	available_count = pool->instances->len - unavailable_count;
	return available_count >= pool->min_available_count;
}

bool fleet_drained(const struct fleet *fleet,
		   const struct fleet_instance *instance)
{
	for (guint i = 0; i < fleet->entry_list->len; i++) {
		const struct fleet_entry *entry = fleet->entry_list->pdata[i];

		/*
		 * Entries of other data centres never send to it, and one that
		 * joined after the drain started has never sent to it.
		 */
		if (strcmp(entry->decl.dc, instance->decl.dc) != 0 ||
		    entry->join_offset > instance->drain_offset)
			continue;
		if (!g_ptr_array_find_with_equal_func(instance->acks,
						      entry->decl.name,
						      g_str_equal, NULL))
			return false;
	}
	return true;
}

static void end_drain(struct fleet_instance *instance, uint64_t offset)
{
	instance->phase = INSTANCE_ACTIVE;
	instance->drain_offset = 0;
	instance->to_pool[0] = '\0';
	instance->wave[0] = '\0';
	instance->changed_offset = offset;
	g_ptr_array_set_size(instance->acks, 0);
}

static bool check_wave(struct fleet *fleet, const struct record *record,
		       const struct fleet_instance *instance,
		       struct fleet_outcome *outcome)
{
	const struct fleet_wave *wave =
		g_hash_table_lookup(fleet->waves, record->instance.wave);

	if (!wave)
		return fleet_ignore(outcome, "wave is not declared");
	if (wave->halted)
		return fleet_ignore(outcome, "wave is halted");
	if (g_hash_table_contains(wave->done, instance->decl.name))
		return fleet_ignore(outcome, "instance is done in this wave");
	return true;
}

static bool check_move(struct fleet *fleet, const struct record *record,
		       const struct fleet_instance *instance,
		       struct fleet_outcome *outcome)
{
	if (!g_hash_table_contains(fleet->pools, record->instance.to_pool))
		return fleet_ignore(outcome, "pool is not declared");
	if (!strcmp(record->instance.to_pool, instance->pool))
		return fleet_ignore(outcome, "instance is in this pool");
	return true;
}

/* move_start and maint_start */
bool fleet_apply_drain_start(struct fleet *fleet, uint64_t offset,
			     const struct record *record,
			     struct fleet_outcome *outcome)
{
	struct fleet_instance *instance =
		find_instance(fleet, record->instance.instance);
	bool is_move = record->kind == RECORD_MOVE_START;

	if (!fleet_check_lease(fleet, record, record->instance.token, outcome))
		return false;
	if (!instance || instance->phase != INSTANCE_ACTIVE)
		return fleet_ignore(outcome, "instance is not active");
	if (is_move && instance->down)
		return fleet_ignore(outcome, "instance is down");
	if (is_move ? !check_move(fleet, record, instance, outcome)
		    : !check_wave(fleet, record, instance, outcome))
		return false;
	if (!fleet_budget_allows(fleet, instance))
		return fleet_ignore(outcome, "budget of pool %s is used up",
				    instance->pool);
	instance->phase =
		is_move ? INSTANCE_DRAINING_MOVE : INSTANCE_DRAINING_MAINT;
	instance->drain_offset = offset;
	instance->changed_offset = offset;
	name_copy(instance->to_pool, sizeof(instance->to_pool),
		  record->instance.to_pool);
	name_copy(instance->wave, sizeof(instance->wave),
		  record->instance.wave);
	recount_pool(fleet, instance);
	return true;
}

static bool check_drain(const struct fleet_instance *instance,
			const struct record *record, enum instance_phase phase,
			struct fleet_outcome *outcome)
{
	if (!instance || instance->phase != phase ||
	    instance->drain_offset != record->instance.drain_offset)
		return fleet_ignore(outcome, "instance is not in this drain");
	return true;
}

bool fleet_apply_drain_ack(struct fleet *fleet, uint64_t offset,
			   const struct record *record,
			   struct fleet_outcome *outcome)
{
	struct fleet_instance *instance =
		find_instance(fleet, record->instance.instance);

	(void)offset;
	if (!instance || !instance->drain_offset ||
	    instance->drain_offset != record->instance.drain_offset)
		return fleet_ignore(outcome, "instance is not in this drain");
	if (!g_ptr_array_find_with_equal_func(instance->acks, record->id.entry,
					      g_str_equal, NULL))
		g_ptr_array_add(instance->acks, g_strdup(record->id.entry));
	return true;
}

/* Checks that no request or job runs on a draining instance any more. */
static bool check_idle(struct fleet *fleet,
		       const struct fleet_instance *instance,
		       struct fleet_outcome *outcome)
{
	if (!fleet_drained(fleet, instance))
		return fleet_ignore(outcome, "drain is not acknowledged");
	if (fleet_instance_job_count(fleet, instance->decl.name))
		return fleet_ignore(outcome, "jobs run on the instance");
	return true;
}

bool fleet_apply_move_commit(struct fleet *fleet, uint64_t offset,
			     const struct record *record,
			     struct fleet_outcome *outcome)
{
	struct fleet_instance *instance =
		find_instance(fleet, record->instance.instance);

	if (!fleet_check_lease(fleet, record, record->instance.token,
			       outcome) ||
	    !check_drain(instance, record, INSTANCE_DRAINING_MOVE, outcome) ||
	    !check_idle(fleet, instance, outcome))
		return false;
	if (!g_hash_table_contains(fleet->pools, instance->to_pool))
		return fleet_ignore(outcome, "pool is no longer declared");
	name_copy(instance->pool, sizeof(instance->pool), instance->to_pool);
	end_drain(instance, offset);
	fleet_rebuild_pools(fleet);
	return true;
}

bool fleet_apply_move_abort(struct fleet *fleet, uint64_t offset,
			    const struct record *record,
			    struct fleet_outcome *outcome)
{
	struct fleet_instance *instance =
		find_instance(fleet, record->instance.instance);

	if (!fleet_check_lease(fleet, record, record->instance.token, outcome))
		return false;
	if (!instance || (instance->phase != INSTANCE_DRAINING_MOVE &&
			  instance->phase != INSTANCE_DRAINING_MAINT))
		return fleet_ignore(outcome, "instance is not draining");
	end_drain(instance, offset);
	recount_pool(fleet, instance);
	return true;
}

bool fleet_apply_maint_reboot(struct fleet *fleet, uint64_t offset,
			      const struct record *record,
			      struct fleet_outcome *outcome)
{
	struct fleet_instance *instance =
		find_instance(fleet, record->instance.instance);
	const struct fleet_wave *wave;

	if (!fleet_check_lease(fleet, record, record->instance.token,
			       outcome) ||
	    !check_drain(instance, record, INSTANCE_DRAINING_MAINT, outcome) ||
	    !check_idle(fleet, instance, outcome))
		return false;
	wave = g_hash_table_lookup(fleet->waves, instance->wave);
	if (!wave || wave->halted)
		return fleet_ignore(outcome, "wave is halted");
	instance->phase = INSTANCE_REBOOTING;
	instance->changed_offset = offset;
	return true;
}

/* Records a result and halts the wave if too many of the latest failed. */
static void add_result(struct fleet_wave *wave, const char *instance,
		       bool failed, uint64_t offset)
{
	uint32_t window = (1u << WAVE_WINDOW_COUNT) - 1;

	g_hash_table_add(wave->done, g_strdup(instance));
	wave->recent_failures =
		((wave->recent_failures << 1) | failed) & window;
	if (__builtin_popcount(wave->recent_failures) <
	    WAVE_HALT_FAILURES_COUNT)
		return;
	wave->halted = true;
	wave->halt_offset = offset;
}

bool fleet_apply_maint_done(struct fleet *fleet, uint64_t offset,
			    const struct record *record,
			    struct fleet_outcome *outcome)
{
	struct fleet_instance *instance =
		find_instance(fleet, record->instance.instance);
	struct fleet_wave *wave;

	if (!fleet_check_lease(fleet, record, record->instance.token,
			       outcome) ||
	    !check_drain(instance, record, INSTANCE_REBOOTING, outcome))
		return false;
	wave = g_hash_table_lookup(fleet->waves, instance->wave);
	if (wave)
		add_result(wave, instance->decl.name, record->instance.failed,
			   offset);
	end_drain(instance, offset);
	instance->down = record->instance.failed;
	recount_pool(fleet, instance);
	return true;
}

bool fleet_apply_wave_halt(struct fleet *fleet, uint64_t offset,
			   const struct record *record,
			   struct fleet_outcome *outcome)
{
	struct fleet_wave *wave =
		g_hash_table_lookup(fleet->waves, record->instance.wave);

	if (!wave || wave->halted)
		return fleet_ignore(outcome, "wave is not running");
	wave->halted = true;
	wave->halt_offset = offset;
	return true;
}

/* instance_down and instance_up */
bool fleet_apply_instance_health(struct fleet *fleet, uint64_t offset,
				 const struct record *record,
				 struct fleet_outcome *outcome)
{
	struct fleet_instance *instance =
		find_instance(fleet, record->instance.instance);
	bool down = record->kind == RECORD_INSTANCE_DOWN;

	if (!fleet_check_lease(fleet, record, record->instance.token, outcome))
		return false;
	if (!instance || instance->phase == INSTANCE_REMOVED)
		return fleet_ignore(outcome, "instance is not declared");
	if (instance->down == down)
		return fleet_ignore(outcome,
				    "instance is already in this state");
	instance->down = down;
	instance->changed_offset = offset;
	recount_pool(fleet, instance);
	return true;
}
