#ifndef DECIDE_PENDING_H
#define DECIDE_PENDING_H

/*
 * The pending proposals of one plug-in: records that it has proposed and whose
 * outcome is not known yet. Each has a key, so that the plug-in does not
 * propose the same change twice.
 */

#include "kernel/kernel.h"

/* The planner lease expires after this time without a planner record. */
#define PLANNER_LEASE_US (6 * USEC_PER_SEC)

struct pending;

struct pending *pending_new(struct kernel *kernel);
void pending_free(struct pending *pending);

/* Forgets all proposals; those in flight may still be appended to the log. */
void pending_clear(struct pending *pending);

/*
 * key: what the record is about, for example a job name. A key has at most one
 * pending proposal.
 */
bool pending_has(const struct pending *pending, const char *key);
uint32_t pending_count(const struct pending *pending);

/* Proposes a record and takes it over. */
void pending_propose(struct pending *pending, const char *key,
		     struct record *record);

/*
 * Handles EVENT_FLEET_CHANGED and EVENT_PROPOSAL_DROPPED. Returns whether the
 * event was the outcome of a pending proposal, which is removed then.
 */
bool pending_settle(struct pending *pending, const struct event *event);

#endif
