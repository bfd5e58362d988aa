/* Commands that print or compare the state of nodes, and reply totals. */

#include <string.h>

#include "codec/snapshot_codec.h"
#include "runner/script.h"

/* state NODE: prints the planner lease and the instances of each pool. */
static void cmd_state(struct script *script)
{
	struct node *node = script_node(script, 1);
	struct world *world = script->world;
	struct fleet *fleet;
	const GPtrArray *pools;

	if (!node || !node->kernel)
		return;
	fleet = kernel_fleet(node->kernel);
	pools = fleet_pools(fleet);
	world_print(world,
		    "%10.3f %s state at %" G_GUINT64_FORMAT
		    ", lease %s token %" G_GUINT64_FORMAT,
		    (double)world->now_us / USEC_PER_MSEC, node->name,
		    fleet_offset(fleet),
		    fleet_lease(fleet)->holder[0] ? fleet_lease(fleet)->holder
						  : "vacant",
		    fleet_lease(fleet)->token);
	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *pool = pools->pdata[i];
		GString *line = g_string_new(NULL);

		for (guint k = 0; k < pool->instances->len; k++) {
			const struct fleet_instance *instance =
				pool->instances->pdata[k];

			g_string_append_printf(line, " %s",
					       instance->decl.name);
			if (instance->phase != INSTANCE_ACTIVE)
				g_string_append_printf(
					line, "(%s)",
					instance_phase_name(instance->phase));
			if (instance->down)
				g_string_append(line, "(down)");
		}
		world_print(world, "           pool %s:%s", pool->decl.name,
			    line->str);
		g_string_free(line, TRUE);
	}
}

static bool same_state(struct node *a, struct node *b)
{
	GBytes *left = snapshot_encode(kernel_fleet(a->kernel));
	GBytes *right = snapshot_encode(kernel_fleet(b->kernel));
	bool same = g_bytes_equal(left, right);

	g_bytes_unref(left);
	g_bytes_unref(right);
	return same;
}

/* agree: checks that all running nodes have the same replicated state. */
static void cmd_agree(struct script *script)
{
	struct world *world = script->world;
	struct node *first = NULL;

	for (guint i = 0; i < world->nodes->len; i++) {
		struct node *node = world->nodes->pdata[i];
		const GPtrArray *instances;

		if (!node->kernel)
			continue;
		if (!first)
			first = node;
		if (fleet_offset(kernel_fleet(node->kernel)) !=
		    fleet_offset(kernel_fleet(first->kernel)))
			world_violation(world, "%s and %s differ in offset",
					first->name, node->name);
		instances = fleet_instances(kernel_fleet(first->kernel));
		for (guint k = 0; k < instances->len; k++) {
			const struct fleet_instance *a = instances->pdata[k];
			const struct fleet_instance *b = fleet_instance(
				kernel_fleet(node->kernel), a->decl.name);

			if (!b || strcmp(a->pool, b->pool) != 0 ||
			    a->phase != b->phase)
				world_violation(world, "%s and %s differ on %s",
						first->name, node->name,
						a->decl.name);
		}
		if (!same_state(first, node))
			world_violation(world, "%s and %s differ in state",
					first->name, node->name);
	}
}

/* counter NODE NAME ... */
static void cmd_counter(struct script *script)
{
	struct node *node = script_node(script, 1);

	for (uint32_t i = 2; node && node->kernel && i < script->word_count;
	     i++)
		world_print(script->world,
			    "%10.3f %s counter %s %" G_GUINT64_FORMAT,
			    (double)script->world->now_us / USEC_PER_MSEC,
			    node->name, script->words[i],
			    counter_get(kernel_counters(node->kernel),
					script->words[i]));
}

/* totals: prints the replies to callers by verdict. */
static void cmd_totals(struct script *script)
{
	struct world *world = script->world;

	world_print(world, "%10.3f totals not-run %u ran %u may-have-run %u",
		    (double)world->now_us / USEC_PER_MSEC,
		    world->reply_counts[VERDICT_NOT_RUN],
		    world->reply_counts[VERDICT_RAN],
		    world->reply_counts[VERDICT_MAY_HAVE_RUN]);
}

static gboolean print_member(gpointer key, gpointer value, gpointer data)
{
	const uint32_t *counts = value;
	struct world *world = data;

	world_print(world, "%10.3f %s not-run %u ran %u may-have-run %u",
		    (double)world->now_us / USEC_PER_MSEC, (const char *)key,
		    counts[VERDICT_NOT_RUN], counts[VERDICT_RAN],
		    counts[VERDICT_MAY_HAVE_RUN]);
	return FALSE;
}

/* members: prints the replies to the callers of each member. */
static void cmd_members(struct script *script)
{
	g_tree_foreach(script->world->member_counts, print_member,
		       script->world);
}

/* reset: clears the totals. */
static void cmd_reset(struct script *script)
{
	memset(script->world->reply_counts, 0,
	       sizeof(script->world->reply_counts));
	g_tree_remove_all(script->world->member_counts);
}

static const struct script_command commands[] = {
	{ "agree", 0, cmd_agree },     { "counter", 2, cmd_counter },
	{ "members", 0, cmd_members }, { "reset", 0, cmd_reset },
	{ "state", 1, cmd_state },     { "totals", 0, cmd_totals },
};

SCRIPT_REGISTER(commands)
