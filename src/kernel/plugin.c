#include "kernel/plugin.h"

#include <string.h>

struct kind {
	const char *name;
	bool exclusive;
};

static const struct kind kinds[PLUGIN_KIND_COUNT] = {
	[PLUGIN_DECIDE] = { .name = "decide" },
	[PLUGIN_FRONT] = { .name = "front" },
	[PLUGIN_ENDPOINT] = { .name = "endpoint", .exclusive = true },
	[PLUGIN_LOG] = { .name = "log", .exclusive = true },
	[PLUGIN_LIST] = { .name = "list", .exclusive = true },
	[PLUGIN_PEER] = { .name = "peer", .exclusive = true },
	[PLUGIN_ADMISSION] = { .name = "admission", .exclusive = true },
	[PLUGIN_ENDPOINT_CHOICE] = { .name = "choice", .exclusive = true },
	[PLUGIN_RETRY] = { .name = "retry", .exclusive = true },
	[PLUGIN_MOVES] = { .name = "moves", .exclusive = true },
	[PLUGIN_WAVES] = { .name = "waves", .exclusive = true },
	[PLUGIN_STATE_CODEC] = { .name = "state_codec", .exclusive = true },
	[PLUGIN_JOBS] = { .name = "jobs" },
	[PLUGIN_PLATFORM] = { .name = "platform" },
	[PLUGIN_PARKING] = { .name = "parking", .exclusive = true },
	[PLUGIN_COMMAND] = { .name = "command" },
};

/* Complete before main() runs; read-only afterwards. */
static GPtrArray *registry;

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const struct plugin *const *left = a;
	const struct plugin *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

void plugin_register(const struct plugin *plugin)
{
	if (!registry)
		registry = g_ptr_array_new();
	g_ptr_array_add(registry, (gpointer)plugin);
}

GPtrArray *plugin_list(enum plugin_kind kind)
{
	GPtrArray *found = g_ptr_array_new();

	for (guint i = 0; registry && i < registry->len; i++) {
		const struct plugin *plugin = registry->pdata[i];

		if (plugin->kind == kind)
			g_ptr_array_add(found, (gpointer)plugin);
	}
	g_ptr_array_sort(found, compare_names);
	return found;
}

const struct plugin *plugin_find(enum plugin_kind kind, const char *name)
{
	for (guint i = 0; registry && i < registry->len; i++) {
		const struct plugin *plugin = registry->pdata[i];

		if (plugin->kind != kind)
			continue;
		if (name ? !strcmp(plugin->name, name) : plugin->preferred)
			return plugin;
	}
	return NULL;
}

const char *plugin_kind_name(enum plugin_kind kind)
{
	return kind < PLUGIN_KIND_COUNT ? kinds[kind].name : "unknown";
}

enum plugin_kind plugin_kind_from_name(const char *name)
{
	for (uint32_t i = 0; i < PLUGIN_KIND_COUNT; i++) {
		if (!strcmp(name, kinds[i].name))
			return (enum plugin_kind)i;
	}
	return PLUGIN_KIND_COUNT;
}

bool plugin_kind_is_exclusive(enum plugin_kind kind)
{
	return kind < PLUGIN_KIND_COUNT && kinds[kind].exclusive;
}
