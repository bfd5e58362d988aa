/* Moves no machines: every machine stays in its pool. */

#include "jobs/parking.h"
#include "kernel/plugin.h"

static void none_tick(struct sched *sched)
{
	(void)sched;
}

static const struct parking_ops none_ops = {
	.tick = none_tick,
};

static const struct plugin none_plugin = {
	.name = "none",
	.kind = PLUGIN_PARKING,
	.ops = &none_ops,
};

PLUGIN_REGISTER(none_plugin)
