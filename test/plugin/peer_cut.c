/*
 * A peer plug-in that simulates network partitions in tests. It wraps the zmq
 * plug-in and drops messages to the entries named in the file PEER_CUT_FILE,
 * one name per line. Each side drops what it sends.
 */

#include <string.h>

#include "kernel/kernel.h"

struct peer_cut {
	const struct plugin *inner;
	void *inner_self;
	const char *path;
};

static void *cut_init(struct kernel *kernel)
{
	struct peer_cut *cut = g_new0(struct peer_cut, 1);

	cut->path = g_getenv("PEER_CUT_FILE");
	cut->inner = plugin_find(PLUGIN_PEER, "zmq");
	cut->inner_self = cut->inner->init(kernel);
	if (cut->inner_self)
		return cut;
	g_free(cut);
	return NULL;
}

static bool is_cut(const struct peer_cut *cut, const char *peer)
{
	gchar *text = NULL;
	gchar **names;
	bool found;

	if (!cut->path || !g_file_get_contents(cut->path, &text, NULL, NULL))
		return false;
	names = g_strsplit(text, "\n", -1);
	found = g_strv_contains((const gchar *const *)names, peer);
	g_strfreev(names);
	g_free(text);
	return found;
}

static void cut_handle(void *self, const struct event *event)
{
	struct peer_cut *cut = self;

	if (event->type == EVENT_PEER_SEND && is_cut(cut, event->peer.peer))
		return;
	if (cut->inner->subscriptions & EVENT_BIT(event->type))
		cut->inner->handle(cut->inner_self, event);
}

static void cut_fini(void *self)
{
	struct peer_cut *cut = self;

	cut->inner->fini(cut->inner_self);
	g_free(cut);
}

static const struct plugin cut_plugin = {
	.name = "cut",
	.kind = PLUGIN_PEER,
	.subscriptions = EVENT_BIT(EVENT_STARTED) | EVENT_BIT(EVENT_PEER_SEND) |
			 EVENT_BIT(EVENT_FLEET_CHANGED) |
			 EVENT_BIT(EVENT_FLEET_RESET),
	.init = cut_init,
	.handle = cut_handle,
	.fini = cut_fini,
};

PLUGIN_REGISTER(cut_plugin)
