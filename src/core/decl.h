#ifndef CORE_DECL_H
#define CORE_DECL_H

/*
 * A declaration file as plain structs. A file is applied as a whole or not at
 * all.
 */

#include <glib.h>

#include "core/types.h"

struct decl_member {
	char name[NAME_SIZE_BYTES];
	uint32_t weight; /* share among members of a contended pool, 1..1000 */
	uint32_t quota_count; /* queued and in-flight requests; 0: no limit */
	bool left;	      /* takes no new work; running jobs go on */
	uint32_t line;
};

struct decl_pool {
	char name[NAME_SIZE_BYTES];
	char member[NAME_SIZE_BYTES]; /* empty: shared by all members */
	/*
	 * The availability budget: a planned step may not raise the number of
	 * instances out of service above max_unavailable_count, nor lower the
	 * number in service below min_available_count.
	 */
	uint32_t max_unavailable_count;
	int32_t min_available_count;  /* -1: declared - max_unavailable_count */
	bool lend;		      /* other pools may use idle slots */
	uint32_t reserve_slots_count; /* free slots that are never lent */
	bool spare; /* reserve: its instances move out on demand */
	uint32_t line;
};

struct decl_instance {
	char name[NAME_SIZE_BYTES];
	char address[ADDRESS_SIZE_BYTES]; /* IP:port of the endpoint */
	char dc[NAME_SIZE_BYTES];
	char rack[NAME_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES]; /* initial pool */
	uint32_t slot_count;
	uint32_t line;
};

enum log_down_policy {
	LOG_DOWN_REFUSE, /* refuse non-idempotent requests */
	LOG_DOWN_RUN,	 /* run them without protection from duplicates */
};

struct decl_service {
	char name[NAME_SIZE_BYTES];
	char member[NAME_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES];
	char path[NAME_SIZE_BYTES]; /* prefix of the request path */
	enum urgency urgency;
	bool idempotent;
	bool key_required; /* of a non-idempotent service */
	enum log_down_policy when_log_down;
	int64_t deadline_us; /* time allowed for a request without a deadline */
	int64_t timeout_us;  /* of one attempt */
	uint32_t weight;
	/* Daily period without planned disruption. */
	int32_t gentle_from_min; /* minutes after 00:00 UTC; -1: none */
	int32_t gentle_until_min;
	uint32_t line;
};

struct decl_wave {
	char name[NAME_SIZE_BYTES];
	GPtrArray *pools; /* of char *, owned */
	uint32_t parallel_count;
	int64_t not_before_us; /* wall clock, microseconds since 1970 */
	bool halted;
	uint32_t line;
};

struct decl {
	grefcount refs;
	char file[NAME_SIZE_BYTES];
	GPtrArray *members;   /* of struct decl_member */
	GPtrArray *pools;     /* of struct decl_pool */
	GPtrArray *instances; /* of struct decl_instance */
	GPtrArray *services;  /* of struct decl_service */
	GPtrArray *waves;     /* of struct decl_wave */
	GBytes *source;	      /* YAML text that the structs were read from */
};

struct decl *decl_new(const char *file);
struct decl *decl_ref(struct decl *decl);
void decl_unref(struct decl *decl);

/*
 * Checks the files together as one configuration: names unique, references
 * resolved, budgets below pool sizes. Appends one message of the form
 * "file:line: key: what was expected" to errors (of char *) for each fault.
 * Returns true if there is none. files: struct decl *.
 */
bool decl_check(const GPtrArray *files, GPtrArray *errors);

#endif
