#include "cmd/heap.h"

#include <malloc.h>

/*
 * Larger blocks are mapped one by one, so that bodies of requests go back to
 * the machine when they are freed. Without a value, glibc raises the threshold
 * to the largest block freed so far, and what is freed stays with the process.
 */
#define MAPPED_MIN_BYTES (64 * 1024)
/* One for the loop's thread and one for those of libzmq. */
#define ARENAS_MAX_COUNT 2

void heap_init(void)
{
	mallopt(M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
	mallopt(M_ARENA_MAX, ARENAS_MAX_COUNT);
}
