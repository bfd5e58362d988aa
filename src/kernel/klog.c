#include "kernel/klog.h"

#include <stdarg.h>
#include <stdio.h>

#include "core/types.h"

static char klog_entry[NAME_SIZE_BYTES];

static const char *level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & G_LOG_LEVEL_CRITICAL)
		return "error";
	if (level & G_LOG_LEVEL_DEBUG)
		return "debug";
	return "info";
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize field_count,
				   gpointer data)
{
	const char *message = "";
	const char *domain = "glib";

	(void)data;
	for (gsize i = 0; i < field_count; i++) {
		if (!g_strcmp0(fields[i].key, "MESSAGE"))
			message = fields[i].value;
		if (!g_strcmp0(fields[i].key, "GLIB_DOMAIN"))
			domain = fields[i].value;
	}
	if ((level & G_LOG_LEVEL_DEBUG) && !g_getenv("G_MESSAGES_DEBUG"))
		return G_LOG_WRITER_HANDLED;
	fprintf(stderr, "%s %s %s: %s\n", klog_entry, level_name(level), domain,
		message);
	return G_LOG_WRITER_HANDLED;
}

void klog_init(const char *entry)
{
	name_copy(klog_entry, sizeof(klog_entry), entry);
	g_log_set_writer_func(write_line, NULL, NULL);
}

#define KLOG_DEFINE(name, level)                                               \
	void name(const char *prefix, const char *format, ...)                 \
	{                                                                      \
		va_list args;                                                  \
                                                                               \
		va_start(args, format);                                        \
		g_logv(prefix, level, format, args);                           \
		va_end(args);                                                  \
	}

KLOG_DEFINE(klog_error, G_LOG_LEVEL_CRITICAL)
KLOG_DEFINE(klog_warn, G_LOG_LEVEL_WARNING)
KLOG_DEFINE(klog_info, G_LOG_LEVEL_INFO)
KLOG_DEFINE(klog_debug, G_LOG_LEVEL_DEBUG)
