/* Baseline: static pools; starts no moves. */

#include "kernel/plugin.h"
#include "policy/moves.h"

static void *none_new(void)
{
	return NULL;
}

static void none_free(void *self)
{
	(void)self;
}

static void none_sample(void *self, const struct plan_view *view)
{
	(void)self;
	(void)view;
}

static void none_move_started(void *self, const struct plan_view *view,
			      const struct record *record)
{
	(void)self;
	(void)view;
	(void)record;
}

static bool none_choose(void *self, const struct plan_view *view,
			struct moves_choice *choice)
{
	(void)self;
	(void)view;
	(void)choice;
	return false;
}

/* Lets a move that was started by another policy or an operator continue. */
static bool none_still_needed(void *self, const struct plan_view *view,
			      const struct fleet_instance *instance)
{
	(void)self;
	(void)view;
	(void)instance;
	return true;
}

static const struct moves_ops none_ops = {
	.create = none_new,
	.free = none_free,
	.sample = none_sample,
	.move_started = none_move_started,
	.choose = none_choose,
	.still_needed = none_still_needed,
};

static const struct plugin moves_none_plugin = {
	.name = "none",
	.kind = PLUGIN_MOVES,
	.ops = &none_ops,
};

PLUGIN_REGISTER(moves_none_plugin)
