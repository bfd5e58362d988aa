/* The nodes of a world and the plug-ins that each runs. */

#include <string.h>

#include "runner/world.h"

struct node *world_node(struct world *world, const char *name)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct node *node = world->nodes->pdata[i];

		if (!strcmp(node->name, name))
			return node;
	}
	return NULL;
}

struct node *world_add_node(struct world *world, const char *name,
			    const char *dc)
{
	struct node *node = world_node(world, name);

	if (node)
		return node;
	node = g_new0(struct node, 1);
	node->world = world;
	name_copy(node->name, sizeof(node->name), name);
	node->settings = settings_new();
	name_copy(node->settings->entry, NAME_SIZE_BYTES, name);
	name_copy(node->settings->dc, NAME_SIZE_BYTES, dc);
	node->unreachable_peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	node->listed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	node->leaving_since_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->relays = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	node->request_names = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, g_free);
	g_ptr_array_add(world->nodes, node);
	return node;
}

void node_free(struct node *node)
{
	kernel_free(node->kernel);
	settings_free(node->settings);
	g_hash_table_unref(node->unreachable_peers);
	g_hash_table_unref(node->request_names);
	g_hash_table_unref(node->relays);
	g_hash_table_unref(node->listed);
	g_hash_table_unref(node->leaving_since_us);
	g_strfreev(node->enabled_plugins);
	g_free(node);
}

void node_start_plugins(struct node *node)
{
	if (!node->enabled_plugins) {
		kernel_start_kind(node->kernel, PLUGIN_DECIDE);
		return;
	}
	for (uint32_t i = 0; node->enabled_plugins[i]; i++) {
		const struct plugin *plugin =
			plugin_find(PLUGIN_DECIDE, node->enabled_plugins[i]);

		if (plugin)
			kernel_start_plugin(node->kernel, plugin);
		else
			world_violation(node->world,
					"no decision plug-in is called %s",
					node->enabled_plugins[i]);
	}
}
