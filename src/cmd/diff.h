#ifndef CMD_DIFF_H
#define CMD_DIFF_H

#include <glib.h>

/*
 * Line diff of two texts without context lines: removed lines start with "-",
 * added lines with "+". Each hunk starts with "@ line N", where N is a line of
 * the second text. Empty if the texts are equal.
 */
GString *diff_text(const char *from, const char *to);

#endif
