#include "cmd/diff.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/*
 * 16 million cells take 64 MB. Longer ranges are shown as one replacement, not
 * compared line by line.
 */
#define LCS_CELLS_MAX_COUNT (UINT64_C(16) * 1024 * 1024)

struct lines {
	gchar **line;
	uint32_t count;
};

struct diff {
	struct lines from;
	struct lines to;
	GString *out;
	uint32_t shown_to; /* not used */
	bool in_hunk;
};

static struct lines split_lines(const char *text)
{
	struct lines lines = { .line = g_strsplit(text, "\n", -1) };

	lines.count = g_strv_length(lines.line);
	/* g_strsplit() returns an empty string after a final newline. */
	if (lines.count && !lines.line[lines.count - 1][0])
		lines.count--;
	return lines;
}

static void append_line(struct diff *diff, char sign, const char *line,
			uint32_t to_line)
{
	if (!diff->in_hunk)
		g_string_append_printf(diff->out, "@ line %u\n", to_line + 1);
	diff->in_hunk = true;
	g_string_append_printf(diff->out, "%c%s\n", sign, line);
}

static bool lines_equal(const struct diff *diff, uint32_t from, uint32_t to)
{
	return !strcmp(diff->from.line[from], diff->to.line[to]);
}

/*
 * Table of the length of the longest common subsequence of the lines from each
 * pair of lines on.
 */
static uint32_t *lcs_lengths(const struct diff *diff, uint32_t start,
			     uint32_t from_end, uint32_t to_end)
{
	uint32_t rows = from_end - start + 1;
	uint32_t columns = to_end - start + 1;
	uint32_t *lengths = g_new0(uint32_t, (gsize)rows * columns);

	for (uint32_t i = rows - 1; i-- > 0;) {
		for (uint32_t k = columns - 1; k-- > 0;) {
			gsize at = (gsize)i * columns + k;

			if (lines_equal(diff, start + i, start + k))
				lengths[at] = lengths[at + columns + 1] + 1;
			else
				lengths[at] = MAX(lengths[at + columns],
						  lengths[at + 1]);
		}
	}
	return lengths;
}

static void append_changes(struct diff *diff, uint32_t start, uint32_t from_end,
			   uint32_t to_end)
{
	uint64_t cells =
		(uint64_t)(from_end - start + 1) * (to_end - start + 1);
	uint32_t *lengths = cells <= LCS_CELLS_MAX_COUNT
				    ? lcs_lengths(diff, start, from_end, to_end)
				    : NULL;
	gsize columns = to_end - start + 1;
	uint32_t i = start;
	uint32_t k = start;

	while (i < from_end || k < to_end) {
		gsize at = (gsize)(i - start) * columns + (k - start);

		if (lengths && i < from_end && k < to_end &&
		    lines_equal(diff, i, k)) {
			diff->in_hunk = false;
			i++;
			k++;
		} else if (i < from_end &&
			   (k == to_end || !lengths ||
			    lengths[at + columns] >= lengths[at + 1])) {
			append_line(diff, '-', diff->from.line[i++], k);
		} else {
			append_line(diff, '+', diff->to.line[k], k);
			k++;
		}
	}
	g_free(lengths);
}

GString *diff_text(const char *from, const char *to)
{
	struct diff diff = {
		.from = split_lines(from),
		.to = split_lines(to),
		.out = g_string_new(NULL),
	};
	uint32_t start = 0;
	uint32_t from_end = diff.from.count;
	uint32_t to_end = diff.to.count;

	while (start < from_end && start < to_end &&
	       lines_equal(&diff, start, start))
		start++;
	while (from_end > start && to_end > start &&
	       lines_equal(&diff, from_end - 1, to_end - 1)) {
		from_end--;
		to_end--;
	}
	append_changes(&diff, start, from_end, to_end);
	g_strfreev(diff.from.line);
	g_strfreev(diff.to.line);
	return diff.out;
}
