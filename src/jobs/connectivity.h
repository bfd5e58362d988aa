#ifndef JOBS_CONNECTIVITY_H
#define JOBS_CONNECTIVITY_H

/*
 * The holder's connectivity to the workers, judged by whether they answer
 * orders. Detects that the holder is isolated: most workers do not answer.
 */

#include "jobs/msg.h"

struct connectivity;

struct connectivity *connectivity_new(void);
void connectivity_free(struct connectivity *connectivity);

/* Forgets all workers when the holder changes. */
void connectivity_clear(struct connectivity *connectivity);

/* Records that an order to a worker was answered or got no answer. */
void connectivity_record_order(struct connectivity *connectivity,
			       const struct order *order, int64_t now_us);

/*
 * Drops silent workers that the machine list does not show on a machine that is
 * up: they are gone, not unreachable.
 */
void connectivity_drop_gone(struct connectivity *connectivity,
			    const struct machines_seen *seen);

/* Whether most of the workers with recent orders do not answer. */
bool connectivity_is_lost(const struct connectivity *connectivity,
			  int64_t now_us);

#endif
