#ifndef KERNEL_BUSY_H
#define KERNEL_BUSY_H

/*
 * Load statistics of the event loop: counters, and one line in the decision
 * log for each second in which the process was busy. An iteration lasts from
 * the moment the loop wakes until it blocks again; events that arrive in the
 * meantime are delayed until it ends.
 */

#include "kernel/kernel.h"

struct busy;

struct busy *busy_new(struct kernel *kernel);
void busy_free(struct busy *busy);

/* Call when the loop wakes. */
void busy_begin_turn(struct busy *busy);

/* Call when the loop is about to block. */
void busy_end_turn(struct busy *busy);

#endif
