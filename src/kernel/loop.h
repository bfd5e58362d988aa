#ifndef KERNEL_LOOP_H
#define KERNEL_LOOP_H

/* Drives a kernel with libev: one loop, one thread, one armed timer. */

#include "kernel/kernel.h"

struct loop;

struct loop *loop_new(struct kernel *kernel);
void loop_free(struct loop *loop);

/* Runs until loop_stop(). */
void loop_run(struct loop *loop);
void loop_stop(struct loop *loop);

#endif
