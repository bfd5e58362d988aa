#ifndef DECIDE_PENDING_H
#define DECIDE_PENDING_H

/* Records that a plug-in has proposed, until their outcome is known. */

#include "kernel/kernel.h"

/* The planner lease lapses when no planner record was seen for so long. */
#define PLANNER_LEASE_US (6 * USEC_PER_SEC)

struct pending;

struct pending *pending_new(struct kernel *kernel);
void pending_free(struct pending *pending);

/* Forgets all proposals; those in flight may still be appended to the log. */
void pending_clear(struct pending *pending);

/* key: what the record is about; each has one proposal at a time. */
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
