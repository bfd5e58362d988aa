#ifndef CMD_HEAP_H
#define CMD_HEAP_H

/* Sets how malloc() gets and returns memory; for processes that run long. */
void heap_init(void);

#endif
