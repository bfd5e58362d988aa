#ifndef DECIDE_PENDING_H
#define DECIDE_PENDING_H

/* Records that a plug-in has proposed and whose outcome is not known yet. */

#include "kernel/kernel.h"

/* The planner lease is vacant when no planner record was seen for so long. */
#define LEASE_US (6 * USEC_PER_SEC)

struct pending;

struct pending *pending_new(struct kernel *kernel);
void pending_free(struct pending *pending);

/* Forgets all; their outcomes are no longer of interest. */
void pending_clear(struct pending *pending);

/* key: what the record is about; one proposal for each key at a time. */
bool pending_has(const struct pending *pending, const char *key);
uint32_t pending_count(const struct pending *pending);

/* Proposes a record and takes it over. */
void pending_propose(struct pending *pending, const char *key,
		     struct record *record);

/*
 * Takes EVENT_FLEET_CHANGED and EVENT_PROPOSAL_DROPPED. Returns whether the
 * event ends a proposal of ours, which is then no longer pending.
 */
bool pending_settle(struct pending *pending, const struct event *event);

#endif
