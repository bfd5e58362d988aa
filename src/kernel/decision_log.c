#include "kernel/decision_log.h"
#include "kernel/clock.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <unistd.h>

#define BUFFER_MAX_BYTES 65536
#define LINES_PER_S 500
#define LINES_BURST_COUNT 1000

static struct {
	char entry[NAME_SIZE_BYTES];
	GString *buffer; /* NULL: closed */
	uint64_t dropped_count;
	uint64_t reported_count; /* dropped lines already reported */
	uint32_t tokens_count;
	int64_t refilled_us;
} out;

void decision_log_open(const char *entry)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	name_copy(out.entry, sizeof(out.entry), entry);
	out.buffer = g_string_sized_new(BUFFER_MAX_BYTES);
	out.tokens_count = LINES_BURST_COUNT;
	out.refilled_us = clock_now_us();
}

void decision_log_close(void)
{
	if (!out.buffer)
		return;
	decision_log_flush();
	g_string_free(out.buffer, TRUE);
	out.buffer = NULL;
}

static bool take_token(void)
{
	int64_t now_us = clock_now_us();
	int64_t new_tokens =
		(now_us - out.refilled_us) * LINES_PER_S / USEC_PER_SEC;

	if (new_tokens > 0) {
		out.tokens_count = (uint32_t)MIN(out.tokens_count + new_tokens,
						 LINES_BURST_COUNT);
		out.refilled_us = now_us;
	}
	if (!out.tokens_count)
		return false;
	out.tokens_count--;
	return true;
}

/* Names come from other systems; none may end the line or start another. */
static void replace_control_bytes(gsize from)
{
	for (gsize i = from; i < out.buffer->len; i++) {
		if (g_ascii_iscntrl(out.buffer->str[i]))
			out.buffer->str[i] = '?';
	}
}

void decision_log(const char *decision, const char *format, ...)
{
	gsize start;
	va_list args;

	if (!out.buffer)
		return;
	if (out.buffer->len > BUFFER_MAX_BYTES / 2 || !take_token()) {
		out.dropped_count++;
		return;
	}
	start = out.buffer->len;
	g_string_append_printf(
		out.buffer, "t=%" G_GINT64_FORMAT " entry=%s decision=%s ",
		g_get_real_time() / USEC_PER_MSEC, out.entry, decision);
	if (out.dropped_count != out.reported_count)
		g_string_append_printf(out.buffer,
				       "dropped=%" G_GUINT64_FORMAT " ",
				       out.dropped_count - out.reported_count);
	out.reported_count = out.dropped_count;
	va_start(args, format);
	g_string_append_vprintf(out.buffer, format, args);
	va_end(args);
	replace_control_bytes(start);
	g_string_append_c(out.buffer, '\n');
	if (out.buffer->len > BUFFER_MAX_BYTES) {
		g_string_truncate(out.buffer, start);
		out.dropped_count++;
	}
}

void decision_log_flush(void)
{
	ssize_t written;

	if (!out.buffer || !out.buffer->len)
		return;
	written = write(STDOUT_FILENO, out.buffer->str, out.buffer->len);
	if (written > 0)
		g_string_erase(out.buffer, 0, written);
	else if (written < 0 && errno != EAGAIN && errno != EINTR)
		g_string_truncate(out.buffer, 0);
}

uint64_t decision_log_dropped_count(void)
{
	return out.dropped_count;
}
