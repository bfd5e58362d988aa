#ifndef JOBS_REACH_H
#define JOBS_REACH_H

/*
 * The holder's connectivity to the workers, judged by whether they answer
 * orders. Detects that the holder is isolated: most workers do not answer.
 */

#include "jobs/msg.h"

struct reach;

struct reach *reach_new(void);
void reach_free(struct reach *reach);

/* Forgets all workers when the holder changes. */
void reach_clear(struct reach *reach);

/* Records that an order to a worker was answered or got no answer. */
void reach_note(struct reach *reach, const struct order *order, int64_t now_us);

/*
 * Drops silent workers that the machine list does not show on a machine that is
 * up: they are gone, not unreachable.
 */
void reach_drop_gone(struct reach *reach, const struct machines_seen *seen);

/* Whether most of the workers with recent orders do not answer. */
bool reach_is_isolated(const struct reach *reach, int64_t now_us);

#endif
