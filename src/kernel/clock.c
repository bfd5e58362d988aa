#include "kernel/clock.h"

#include <time.h>

#include "core/types.h"

int64_t clock_steady_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * NSEC_PER_SEC + now.tv_nsec;
}

int64_t clock_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * USEC_PER_SEC + now.tv_nsec / 1000;
}
