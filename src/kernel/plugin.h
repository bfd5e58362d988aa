#ifndef KERNEL_PLUGIN_H
#define KERNEL_PLUGIN_H

/*
 * The plug-in registry. A plug-in is one .c file that describes itself with
 * a struct plugin and registers it before main() runs.
 */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

struct event;
struct kernel;

enum plugin_kind {
	PLUGIN_DECIDE,	    /* decision modules; every one is started */
	PLUGIN_FRONT,	    /* interfaces to callers and operators; every one */
	PLUGIN_ENDPOINT,    /* client of endpoints; one */
	PLUGIN_LOG,	    /* access to the platform's log; one */
	PLUGIN_LIST,	    /* access to the platform's list; one */
	PLUGIN_PEER,	    /* link to other entry instances; one */
	PLUGIN_ADMISSION,   /* table: struct admission_ops; one */
	PLUGIN_CHOICE,	    /* table: struct choice_ops; one */
	PLUGIN_RETRY,	    /* table: struct retry_ops; one */
	PLUGIN_MOVES,	    /* table: struct moves_ops; one */
	PLUGIN_WAVES,	    /* table: struct waves_ops; one */
	PLUGIN_STATE_CODEC, /* table: struct state_codec_ops; one */
	PLUGIN_JOBS,	    /* decisions on jobs; every one is started */
	PLUGIN_PLATFORM,    /* adapter of the users' platform; every one */
	PLUGIN_PARKING,	    /* table: struct parking_ops; one */
	PLUGIN_COMMAND,	    /* subcommands; table: struct command_ops */
	PLUGIN_KIND_COUNT,
};

struct plugin {
	const char *name; /* unique within its kind */
	enum plugin_kind kind;
	bool preferred; /* chosen if the settings name none of its kind */
	uint64_t takes; /* EVENT_BIT() of each event type that it handles */
	/* NULL on failure, after logging the cause. */
	void *(*init)(struct kernel *kernel);
	void (*handle)(void *self, const struct event *event);
	void (*fini)(void *self);
	const void *ops; /* table of its kind, or NULL */
};

void plugin_register(const struct plugin *plugin);

/* Followed by a semicolon-free line of its own at the end of a plug-in. */
#define PLUGIN_REGISTER(plugin)                                                \
	static void __attribute__((constructor)) plugin##_register(void)       \
	{                                                                      \
		plugin_register(&(plugin));                                    \
	}

/* All plug-ins of a kind, in order of name. Caller frees the array only. */
GPtrArray *plugin_list(enum plugin_kind kind);

/* NULL if there is none; name NULL asks for the preferred one. */
const struct plugin *plugin_find(enum plugin_kind kind, const char *name);

/* Name of a kind as the settings spell it, for example "admission". */
const char *plugin_kind_name(enum plugin_kind kind);

/* Returns PLUGIN_KIND_COUNT for an unknown name. */
enum plugin_kind plugin_kind_from_name(const char *name);

/* Whether the settings choose one plug-in of this kind. */
bool plugin_kind_is_choice(enum plugin_kind kind);

#endif
