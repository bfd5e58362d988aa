/* Commands that print slots and the roster, and run random faults. */

#include <string.h>

#include "runner/script.h"

static struct node *first_running(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct node *node = world->nodes->pdata[i];

		if (node->kernel)
			return node;
	}
	return NULL;
}

static void show_endpoint(struct world *world,
			  const struct fleet_instance *instance)
{
	GString *line = g_string_new(NULL);
	uint32_t sum_count = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct node *node = world->nodes->pdata[i];
		const struct endpoint_state *state;

		if (!node->kernel)
			continue;
		state = endpoint_table_find(kernel_endpoints(node->kernel),
					    instance->decl.name);
		if (!state || !state->allowed_count)
			continue;
		/* A paused node reads the log before it sends again. */
		sum_count += node->paused ? 0 : state->allowed_count;
		g_string_append_printf(line, " %s=%u%s", node->name,
				       state->allowed_count,
				       node->paused ? "(paused)" : "");
	}
	world_print(world, "           slots %s:%s, %u of %u",
		    instance->decl.name, line->str, sum_count,
		    instance->decl.slot_count);
	g_string_free(line, TRUE);
}

/* slots [ENDPOINT ...]: prints the slots that each running node may use. */
static void cmd_slots(struct script *script)
{
	struct world *world = script->world;
	struct node *first = first_running(world);
	const GPtrArray *instances;

	if (!first)
		return;
	world_print(world, "%10.3f slots",
		    (double)world->now_us / USEC_PER_MSEC);
	instances = fleet_instances(kernel_fleet(first->kernel));
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		if (script->word_count == 1 ||
		    g_strv_contains((const gchar *const *)script->words,
				    instance->decl.name))
			show_endpoint(world, instance);
	}
}

/* roster NODE: prints the entries on its roster. */
static void cmd_roster(struct script *script)
{
	struct world *world = script->world;
	struct node *node = world_node(world, script_word(script, 1));
	GString *line = g_string_new(NULL);
	const GPtrArray *entries;

	if (node && node->kernel) {
		entries = fleet_entries(kernel_fleet(node->kernel));
		for (guint i = 0; i < entries->len; i++) {
			const struct fleet_entry *entry = entries->pdata[i];

			g_string_append_printf(line, " %s/%" G_GUINT64_FORMAT,
					       entry->decl.name,
					       entry->decl.incarnation);
		}
		world_print(world, "%10.3f %s roster:%s",
			    (double)world->now_us / USEC_PER_MSEC, node->name,
			    line->str);
	}
	g_string_free(line, TRUE);
}

/* random seed=N steps=M [faults=NAME,NAME] [trace=1]: see random.c */
static void cmd_random(struct script *script)
{
	random_run(script->world, (uint32_t)script_number(script, "seed", 1),
		   (uint32_t)script_number(script, "steps", 100),
		   script_option(script, "faults"),
		   script_number(script, "trace", 0) != 0);
}

static const struct script_command commands[] = {
	{ "random", 0, cmd_random },
	{ "roster", 0, cmd_roster },
	{ "slots", 0, cmd_slots },
};

SCRIPT_REGISTER(commands)
