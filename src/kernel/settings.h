#ifndef KERNEL_SETTINGS_H
#define KERNEL_SETTINGS_H

/* Settings of one entry instance, read once at the start. */

#include <glib.h>

#include "core/types.h"
#include "kernel/plugin.h"

/* An entry instance that this one tries to reach before it knows the roster. */
struct settings_peer {
	char name[NAME_SIZE_BYTES];
	char dc[NAME_SIZE_BYTES];
	char address[ADDRESS_SIZE_BYTES];
};

/* Time limits of work on the platform's workers and machines. */
struct job_bounds {
	int64_t lease_max_us;	  /* of what runs on a worker */
	int64_t stop_us;	  /* an item takes this long to stop */
	int64_t gang_wait_us;	  /* a member waits for the others */
	int64_t status_us;	  /* an ended job's state can be read */
	int64_t notice_us;	  /* an item that was away counts as away */
	int64_t move_us;	  /* a machine changes its pool */
	int64_t upkeep_us;	  /* a machine is maintained */
	int64_t machine_lease_us; /* between holders that order a machine */
	int64_t early_us;	  /* an occurrence may start before its time */
	int64_t interference_us;  /* items over their target because of fillers
				   */
	int64_t skew_us;	  /* clocks of processes differ at most */
	double remote_penalty;	  /* of work away from its rack */
	uint32_t machine_orders_per_s;
};

struct settings {
	char entry[NAME_SIZE_BYTES]; /* name of this entry instance */
	char dc[NAME_SIZE_BYTES];
	char caller_address[ADDRESS_SIZE_BYTES]; /* listening addresses */
	char operator_address[ADDRESS_SIZE_BYTES];
	char peer_address[ADDRESS_SIZE_BYTES];
	char token_file[256];		       /* bearer token of operators */
	char log_address[ADDRESS_SIZE_BYTES];  /* of the platform's log */
	char list_address[ADDRESS_SIZE_BYTES]; /* of the platform's list */
	uint32_t cpu_milli; /* of a processor for this process; 0: not known */
	int64_t drain_us;   /* longest graceful shutdown */
	uint32_t seed;	    /* of random numbers; 0: from the system */
	struct job_bounds bounds;
	GArray *peers;	     /* of struct settings_peer */
	GHashTable *choices; /* kind name -> plug-in name */
};

/* All defaults; the entry is called "entry". */
struct settings *settings_new(void);
void settings_free(struct settings *settings);

/*
 * Reads settings from YAML text. Returns NULL and adds one message for each
 * fault to errors (of char *) if there is any.
 */
struct settings *settings_parse(const char *file, const char *text,
				size_t size_bytes, GPtrArray *errors);

/* Like settings_parse(), from a file. */
struct settings *settings_load(const char *file, GPtrArray *errors);

/* Name of the chosen plug-in of a kind, or NULL for the preferred one. */
const char *settings_choice(const struct settings *settings,
			    enum plugin_kind kind);

#endif
