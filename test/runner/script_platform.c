/* Commands on the log, the instance list and the network. */

#include <string.h>

#include "runner/script.h"

/* The declared instances and all nodes, with the states that the line names. */
static GArray *list_items(struct script *script, struct node *to)
{
	GArray *items =
		g_array_new(FALSE, TRUE, sizeof(struct instance_list_item));
	const GPtrArray *instances = fleet_instances(kernel_fleet(to->kernel));

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		const char *state = script_option(script, instance->decl.name);
		struct instance_list_item item = { .state = LIST_LIVE };

		if (state && !strcmp(state, "gone"))
			continue;
		if (state && !strcmp(state, "leaving"))
			item.state = LIST_LEAVING;
		name_copy(item.name, NAME_SIZE_BYTES, instance->decl.name);
		g_array_append_val(items, item);
	}
	for (guint i = 0; i < script->world->nodes->len; i++) {
		const struct node *node = script->world->nodes->pdata[i];
		const char *state = script_option(script, node->name);
		struct instance_list_item item = { .state = LIST_LIVE };

		if (state && !strcmp(state, "gone"))
			continue;
		name_copy(item.name, NAME_SIZE_BYTES, node->name);
		g_array_append_val(items, item);
	}
	return items;
}

/* list [NAME=leaving|gone ...]: delivers one list to all nodes. */
static void cmd_list(struct script *script)
{
	struct world *world = script->world;

	for (guint i = 0; i < world->nodes->len; i++) {
		struct node *node = world->nodes->pdata[i];
		struct event event = { .type = EVENT_INSTANCE_LIST };

		if (!node->kernel || node->log_unreachable)
			continue;
		event.list.items = list_items(script, node);
		world_schedule(world, world->now_us, node, &event);
	}
}

/*
 * log down|up: whether it is reachable
 * log lose: appends take effect, but their answers are lost
 * log drop|late: appends are lost, or take effect after 500 ms; no answers
 * log limit=COUNT: refuses appends of more records
 * log keep: ends lose, drop, late and limit
 * log delay=TIME: latency of appends and reads
 * log trim=OFFSET: drops the records before this one
 * log retain=COUNT: drops all records but the newest
 */
static void cmd_log(struct script *script)
{
	struct world *world = script->world;
	const char *what = script_word(script, 1);

	world->late_append_delay_us =
		!strcmp(what, "late") ? 500 * USEC_PER_MSEC : 0;
	if (!strcmp(what, "down"))
		world->log_down = true;
	else if (!strcmp(what, "up"))
		world->log_down = false;
	else if (!strcmp(what, "lose"))
		world->log_lose_answers = true;
	else if (!strcmp(what, "drop") || !strcmp(what, "late"))
		world->log_drop_appends = true;
	else if (!strcmp(what, "keep"))
		world->log_lose_answers = world->log_drop_appends =
			world->log_limited = false;
	else if ((world->log_limited = script_option(script, "limit") != NULL))
		world->log_limit_count =
			(uint32_t)script_number(script, "limit", 0);
	else if (script_option(script, "delay"))
		world->log_delay_us = script_option_us(script, "delay", 0);
	else if (script_option(script, "trim"))
		world->log_first_offset = script_number(script, "trim", 1);
	else if (script_option(script, "retain"))
		world->log_first_offset = MAX(
			(int64_t)world->log_first_offset,
			(int64_t)world->log->len + 1 -
				(int64_t)script_number(script, "retain", 0));
	else
		script_fail(script, "unknown argument of log: \"%s\"", what);
	world_announce_log(world);
}

static void set_cut(struct script *script, bool cut)
{
	struct node *a = script_node(script, 1);
	struct node *b;

	if (!a)
		return;
	if (!strcmp(script_word(script, 2), "log")) {
		a->log_unreachable = cut;
		world_announce_log(script->world);
		return;
	}
	b = script_node(script, 2);
	if (b && cut) {
		g_hash_table_add(a->unreachable_peers, g_strdup(b->name));
		g_hash_table_add(b->unreachable_peers, g_strdup(a->name));
	} else if (b) {
		g_hash_table_remove(a->unreachable_peers, b->name);
		g_hash_table_remove(b->unreachable_peers, a->name);
	}
}

/* cut A B|log and heal A B|log: partitions nodes, or a node from the log. */
static void cmd_cut(struct script *script)
{
	set_cut(script, true);
}

static void cmd_heal(struct script *script)
{
	set_cut(script, false);
}

static const struct script_command commands[] = {
	{ "cut", 2, cmd_cut },
	{ "heal", 2, cmd_heal },
	{ "list", 0, cmd_list },
	{ "log", 1, cmd_log },
};

SCRIPT_REGISTER(commands)
