#ifndef KERNEL_PLUGIN_H
#define KERNEL_PLUGIN_H

/*
 * The plug-in registry. A plug-in is one .c file that defines a struct plugin
 * and registers it with PLUGIN_REGISTER() before main() runs.
 */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

struct event;
struct kernel;

/*
 * Of an exclusive kind, the settings select one plug-in. Of the others, all are
 * started, except for commands: main() runs one of them.
 */
enum plugin_kind {
	PLUGIN_DECIDE,		/* decision modules */
	PLUGIN_FRONT,		/* interfaces to callers and operators */
	PLUGIN_ENDPOINT,	/* exclusive; client of the endpoints */
	PLUGIN_LOG,		/* exclusive; client of the platform's log */
	PLUGIN_LIST,		/* exclusive; client of the platform's list */
	PLUGIN_PEER,		/* exclusive; link to other entry instances */
	PLUGIN_ADMISSION,	/* exclusive; ops: struct admission_ops */
	PLUGIN_ENDPOINT_CHOICE, /* exclusive; ops: struct choice_ops */
	PLUGIN_RETRY,		/* exclusive; ops: struct retry_ops */
	PLUGIN_MOVES,		/* exclusive; ops: struct moves_ops */
	PLUGIN_WAVES,		/* exclusive; ops: struct waves_ops */
	PLUGIN_STATE_CODEC,	/* exclusive; ops: struct state_codec_ops */
	PLUGIN_JOBS,		/* decision modules for jobs */
	PLUGIN_PLATFORM,	/* adapters to the users' platform */
	PLUGIN_PARKING,		/* exclusive; ops: struct parking_ops */
	PLUGIN_COMMAND,		/* subcommands; ops: struct command_ops */
	PLUGIN_KIND_COUNT,
};

struct plugin {
	const char *name; /* unique within its kind */
	enum plugin_kind kind;
	bool preferred; /* default of its kind if the settings name none */
	uint64_t subscriptions; /* EVENT_BIT() of each handled event type */
	/* Returns the plug-in's state, or NULL after logging an error. */
	void *(*init)(struct kernel *kernel);
	void (*handle)(void *self, const struct event *event);
	void (*fini)(void *self);
	const void *ops; /* function table of its kind, or NULL */
};

void plugin_register(const struct plugin *plugin);

/* For the end of a plug-in's file, without a semicolon. */
#define PLUGIN_REGISTER(plugin)                                                \
	static void __attribute__((constructor)) plugin##_register(void)       \
	{                                                                      \
		plugin_register(&(plugin));                                    \
	}

/* All plug-ins of a kind, sorted by name. Caller frees the array only. */
GPtrArray *plugin_list(enum plugin_kind kind);

/* name NULL finds the preferred one. Returns NULL if there is none. */
const struct plugin *plugin_find(enum plugin_kind kind, const char *name);

/* Name of a kind in the settings, for example "admission". */
const char *plugin_kind_name(enum plugin_kind kind);

/* Returns PLUGIN_KIND_COUNT for an unknown name. */
enum plugin_kind plugin_kind_from_name(const char *name);

/* Whether only one plug-in of this kind is used, selected by the settings. */
bool plugin_kind_is_exclusive(enum plugin_kind kind);

#endif
