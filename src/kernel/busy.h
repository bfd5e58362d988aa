#ifndef KERNEL_BUSY_H
#define KERNEL_BUSY_H

/*
 * What the loop spends its time on: one line and counters for each second in
 * which the process was busy. A turn lasts from the moment at which the loop
 * has something to do until it waits again; an event that comes meanwhile waits
 * for its end.
 */

#include "kernel/kernel.h"

struct busy;

struct busy *busy_new(struct kernel *kernel);
void busy_free(struct busy *busy);

/* The loop has stopped waiting. */
void busy_begin_turn(struct busy *busy);

/* The loop is about to wait. */
void busy_end_turn(struct busy *busy);

#endif
