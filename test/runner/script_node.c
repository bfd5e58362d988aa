/* Commands that configure, start and stop nodes. */

#include "runner/script.h"

/*
 * node NAME [dc=DC] [only=PLUGIN,...]: starts a node with all decision
 * plug-ins, or only with those that are named.
 */
static void cmd_node(struct script *script)
{
	const char *dc = script_option(script, "dc");
	const char *only = script_option(script, "only");
	struct node *node = world_add_node(
		script->world, script_word(script, 1), dc ? dc : "dc1");

	if (only && !node->enabled_plugins)
		node->enabled_plugins = g_strsplit(only, ",", -1);
	world_start_node(script->world, node->name, "");
}

/* use NODE KIND PLUGIN: chooses a plug-in for the next start of the node. */
static void cmd_use(struct script *script)
{
	struct node *node = script_node(script, 1);

	if (!node)
		return;
	if (!plugin_find(plugin_kind_from_name(script_word(script, 2)),
			 script_word(script, 3)))
		script_fail(script, "no %s plug-in is called \"%s\"",
			    script_word(script, 2), script_word(script, 3));
	else
		g_hash_table_insert(node->settings->plugin_names,
				    g_strdup(script_word(script, 2)),
				    g_strdup(script_word(script, 3)));
}

/* know NODE PEER: adds a peer to the settings for the node's next start. */
static void cmd_know(struct script *script)
{
	struct node *node = script_node(script, 1);
	struct node *known = script_node(script, 2);
	struct settings_peer peer = { 0 };

	if (!node || !known)
		return;
	name_copy(peer.name, sizeof(peer.name), known->name);
	name_copy(peer.dc, sizeof(peer.dc), known->settings->dc);
	name_copy(peer.address, sizeof(peer.address), "127.0.0.1:1");
	g_array_append_val(node->settings->peers, peer);
}

/* start NODE: starts a killed node again. */
static void cmd_start(struct script *script)
{
	struct node *node = script_node(script, 1);

	if (node && !node->kernel)
		world_start_node(script->world, node->name, "");
}

/* kill NODE */
static void cmd_kill(struct script *script)
{
	struct node *node = script_node(script, 1);

	if (node && node->kernel)
		world_kill_node(script->world, node);
}

/* pause NODE: it handles no events until it is resumed. */
static void cmd_pause(struct script *script)
{
	struct node *node = script_node(script, 1);

	if (node)
		world_set_paused(script->world, node, true);
}

/* resume NODE */
static void cmd_resume(struct script *script)
{
	struct node *node = script_node(script, 1);

	if (node)
		world_set_paused(script->world, node, false);
}

/* skew NODE TIME: sets how far its wall clock is ahead. */
static void cmd_skew(struct script *script)
{
	struct node *node = script_node(script, 1);

	if (node)
		node->skew_us =
			script_duration_us(script, script_word(script, 2));
}

/* drain NODE [within=TIME] */
static void cmd_drain(struct script *script)
{
	struct node *node = script_node(script, 1);
	struct event event = { .type = EVENT_DRAIN };

	if (!node)
		return;
	event.drain.deadline_us =
		script->world->now_us + 1 +
		script_option_us(script, "within", 30 * USEC_PER_SEC);
	world_inject(script->world, node, &event);
}

static const struct script_command commands[] = {
	{ "drain", 1, cmd_drain }, { "kill", 1, cmd_kill },
	{ "know", 2, cmd_know },   { "node", 1, cmd_node },
	{ "pause", 1, cmd_pause }, { "resume", 1, cmd_resume },
	{ "skew", 2, cmd_skew },   { "start", 1, cmd_start },
	{ "use", 3, cmd_use },
};

SCRIPT_REGISTER(commands)
