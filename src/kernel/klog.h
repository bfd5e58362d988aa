#ifndef KERNEL_KLOG_H
#define KERNEL_KLOG_H

/* Log messages through GLib. prefix: name of the component that logs. */

#include <glib.h>

/* Writes messages to standard error, one per line, after the entry's name. */
void klog_init(const char *entry);

void klog_error(const char *prefix, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
void klog_warn(const char *prefix, const char *format, ...) G_GNUC_PRINTF(2, 3);
void klog_info(const char *prefix, const char *format, ...) G_GNUC_PRINTF(2, 3);
void klog_debug(const char *prefix, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

#endif
