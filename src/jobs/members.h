#ifndef JOBS_MEMBERS_H
#define JOBS_MEMBERS_H

/* The members of a configuration, their API keys and what they are granted. */

#include <glib.h>

#include "core/types.h"

/*
 * What the configuration grants a member. It is stored with each job, so that
 * it outlives a member that a later configuration removes.
 */
struct member_policy {
	uint32_t priority;	/* 0 is the highest; decides nothing yet */
	uint64_t weight_milli;	/* thousandths of a job a second; 0: no limit */
	uint64_t cpu_max_milli; /* of all its running items; 0: no limit */
	uint64_t mem_max_mb;
	uint64_t gpu_max_count;
};

struct member {
	char name[NAME_SIZE_BYTES];
	struct member_policy policy;
};

struct members;

struct members *members_new(void);
/* NULL is ignored. */
void members_free(struct members *members);

/*
 * Adds a member and returns it. Returns NULL if its name is empty, too long or
 * taken.
 */
struct member *members_add(struct members *members, const char *name);

/*
 * Returns false if the key is empty or belongs to another member. A key may be
 * added to its member again.
 */
bool members_add_key(struct members *members, struct member *member,
		     const char *key);

/* Each returns NULL for an unknown or missing name or key. */
const struct member *members_find(const struct members *members,
				  const char *name);
const struct member *members_of_key(const struct members *members,
				    const char *key);

/* 0 if members is NULL. */
uint32_t members_count(const struct members *members);

#endif
