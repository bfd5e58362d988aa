#ifndef KERNEL_CLOCK_H
#define KERNEL_CLOCK_H

#include <stdint.h>

/*
 * Microseconds of the clock that all deadlines are stored in. It never steps,
 * and it counts the time for which the machine was suspended.
 */
int64_t clock_now_us(void);

/*
 * Nanoseconds of a clock that stands still while the machine is suspended, for
 * measuring how long something took.
 */
int64_t clock_steady_ns(void);

#endif
