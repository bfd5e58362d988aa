#ifndef KERNEL_LOOP_STATS_H
#define KERNEL_LOOP_STATS_H

/*
 * Load statistics of the event loop: counters, and one line in the decision
 * log for each second in which the process was busy. An iteration lasts from
 * the moment the loop wakes until it blocks again; events that arrive in the
 * meantime are delayed until it ends.
 */

#include "kernel/kernel.h"

struct loop_stats;

struct loop_stats *loop_stats_new(struct kernel *kernel);
void loop_stats_free(struct loop_stats *stats);

/* Call when the loop wakes. */
void loop_stats_begin_iteration(struct loop_stats *stats);

/* Call when the loop is about to block. */
void loop_stats_end_iteration(struct loop_stats *stats);

#endif
