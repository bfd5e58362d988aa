#ifndef KERNEL_DECISION_LOG_H
#define KERNEL_DECISION_LOG_H

/*
 * Structured lines on standard output: one for each decision that touches a
 * request or changes what the process believes, as key=value pairs. The volume
 * is bounded, and writing never blocks; lines that do not fit are dropped and
 * counted in the next line that does.
 */

#include <glib.h>

#include "core/types.h"

/* Until this is called, lines are dropped. */
void decision_log_open(const char *entry);

/* Writes what was logged before. */
void decision_log_close(void);

/* decision: its name, for example "place"; format: the pairs that follow. */
void decision_log(const char *decision, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* Hands the lines to the system as far as it takes them. */
void decision_log_flush(void);

uint64_t decision_log_dropped_count(void);

#endif
