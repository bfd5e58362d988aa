/* Baseline: maintains one instance at a time, in order of name. */

#include <string.h>

#include "kernel/plugin.h"
#include "policy/waves.h"

static void *serial_new(void)
{
	return NULL;
}

static void serial_free(void *self)
{
	(void)self;
}

static void serial_sample(void *self, const struct plan_view *view)
{
	(void)self;
	(void)view;
}

static bool pending_in_wave(const struct fleet_wave *wave,
			    const struct fleet_instance *instance)
{
	const GPtrArray *pools = wave->decl.pools;

	return g_ptr_array_find_with_equal_func(
		       (GPtrArray *)pools, instance->pool, g_str_equal, NULL) &&
	       !g_hash_table_contains(wave->done, instance->decl.name);
}

static const struct fleet_instance *serial_choose(void *self,
						  const struct plan_view *view,
						  const struct fleet_wave *wave)
{
	const GPtrArray *instances = fleet_instances(view->fleet);
	const struct fleet_instance *first = NULL;

	(void)self;
	if (wave->halted || wave->decl.not_before_us > view->wall_us)
		return NULL;
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		if (plan_in_maintenance(instance))
			return NULL;
		if (!first && pending_in_wave(wave, instance) &&
		    plan_may_drain(view, instance))
			first = instance;
	}
	return first;
}

static const struct waves_ops serial_ops = {
	.create = serial_new,
	.free = serial_free,
	.sample = serial_sample,
	.choose = serial_choose,
};

static const struct plugin waves_serial_plugin = {
	.name = "serial",
	.kind = PLUGIN_WAVES,
	.ops = &serial_ops,
};

PLUGIN_REGISTER(waves_serial_plugin)
