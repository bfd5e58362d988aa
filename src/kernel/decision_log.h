#ifndef KERNEL_DECISION_LOG_H
#define KERNEL_DECISION_LOG_H

/*
 * Structured log of decisions on standard output, one line of key=value pairs
 * for each decision that affects a request or changes the process's view of the
 * fleet. Rate and buffer are limited, and writing never blocks; excess lines
 * are dropped, and the next line written reports how many.
 */

#include <glib.h>

#include "core/types.h"

/* Lines logged before this call are dropped. */
void decision_log_open(const char *entry);

/* Flushes and closes the log. */
void decision_log_close(void);

/* decision: name, for example "place". format: the key=value pairs after it. */
void decision_log(const char *decision, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* Writes buffered lines, as many bytes as standard output accepts. */
void decision_log_flush(void);

uint64_t decision_log_dropped_count(void);

#endif
