#ifndef JOBS_REACH_H
#define JOBS_REACH_H

/* Whether a holder is cut off from most of the workers that it asks. */

#include "jobs/msg.h"

struct reach;

struct reach *reach_new(void);
void reach_free(struct reach *reach);

/* Forgets all workers, for a new holder. */
void reach_clear(struct reach *reach);

/* An order to a worker was answered, or lost. */
void reach_note(struct reach *reach, const struct order *order, int64_t now_us);

/*
 * Drops workers whose machines the list does not have up with them: they
 * are gone, not out of reach.
 */
void reach_drop_gone(struct reach *reach, const struct machines_seen *seen);

/* Whether most of the workers that were asked lately do not answer. */
bool reach_is_isolated(const struct reach *reach, int64_t now_us);

#endif
