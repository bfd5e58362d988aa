#ifndef KERNEL_SETTINGS_H
#define KERNEL_SETTINGS_H

/* Settings of one entry instance, read once at startup. */

#include <glib.h>

#include "core/types.h"
#include "kernel/plugin.h"

/* A peer that this entry instance contacts before it has read the roster. */
struct settings_peer {
	char name[NAME_SIZE_BYTES];
	char dc[NAME_SIZE_BYTES];
	char address[ADDRESS_SIZE_BYTES];
};

/* Limits and timings of the platform's workers, machines and store. */
struct job_bounds {
	int64_t lease_max_us; /* longest lease of an item on a worker */
	int64_t stop_us;      /* time that an item takes to stop */
	int64_t gang_wait_us; /* time that a gang member waits for the rest */
	int64_t status_retention_us; /* of the state of an ended job */
	int64_t notice_us;	/* absence after which an item counts as away */
	int64_t move_us;	/* duration of a machine's move between pools */
	int64_t maintenance_us; /* duration of a machine's maintenance */
	int64_t machine_lease_us; /* of a holder on a machine that it ordered */
	int64_t early_us;	  /* an occurrence may start this early */
	int64_t interference_us;  /* longest time for which fillers may keep
				   * items over their target */
	int64_t skew_us;	  /* largest clock skew between processes */
	/* How long a removed key may work at most; 0: for any time */
	int64_t revoke_us;
	uint32_t quota_overage_percent; /* of a member's limit */
	double remote_penalty;		/* slowdown of work outside its rack */
	uint32_t machine_orders_per_s;
	uint64_t record_max_bytes; /* of one record in the store */
	uint64_t batch_max_bytes;  /* of the records of one write */
	/* Memory that jobs may hold in a process; 0: no limit */
	uint64_t jobs_max_bytes;
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
	/* Link for orders that entry instances forward; empty: none */
	char forward_address[ADDRESS_SIZE_BYTES];
	/* A holder whose loop is busier has its orders forwarded. */
	uint32_t forward_busy_percent;
	uint32_t cpu_milli; /* CPU limit of this process; 0: not known */
	/* Of the machine, for the limits of the HTTP servers of `serve` */
	uint32_t memory_mb;
	uint32_t max_fds;
	int64_t drain_us; /* time limit of a graceful shutdown */
	uint32_t seed;	  /* of the random number generator; 0: random */
	struct job_bounds bounds;
	GArray *peers;		  /* of struct settings_peer */
	GHashTable *plugin_names; /* kind name -> plug-in name */
};

/* Default settings, with the entry name "entry". */
struct settings *settings_new(void);
void settings_free(struct settings *settings);

/*
 * Reads settings from YAML text. file: name for error messages. On errors,
 * returns NULL and adds one message for each to errors (of char *).
 */
struct settings *settings_parse(const char *file, const char *text,
				size_t size_bytes, GPtrArray *errors);

/* Like settings_parse(), from a file. */
struct settings *settings_load(const char *file, GPtrArray *errors);

/* Name of the selected plug-in of a kind; NULL: the preferred one. */
const char *settings_plugin_name(const struct settings *settings,
				 enum plugin_kind kind);

#endif
