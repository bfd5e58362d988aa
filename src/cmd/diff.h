#ifndef CMD_DIFF_H
#define CMD_DIFF_H

#include <glib.h>

/*
 * The lines that differ between two texts: "-" before lines of the first,
 * "+" before lines of the second, and a line "@ line N" (of the second)
 * before each group. Empty if the texts are equal.
 */
GString *diff_text(const char *from, const char *to);

#endif
