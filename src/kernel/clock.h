#ifndef KERNEL_CLOCK_H
#define KERNEL_CLOCK_H

#include <stdint.h>

/*
 * Microseconds on the monotonic clock that all deadlines use. It includes the
 * time for which the machine was suspended.
 */
int64_t clock_now_us(void);

/*
 * Nanoseconds on a monotonic clock that excludes the time for which the machine
 * was suspended, for measuring durations.
 */
int64_t clock_steady_ns(void);

#endif
