#include "runner/known_red.h"

#include <glib.h>
#include <string.h>

#define LIST_PATH TEST_DIR "/../KNOWN-RED.txt"
#define LINE_PREFIX "test: script "

static bool line_contains(const char *line, const char *name)
{
	char **names;
	bool found = false;

	if (!g_str_has_prefix(line, LINE_PREFIX))
		return false;
	names = g_strsplit(line + strlen(LINE_PREFIX), ",", -1);
	for (char **at = names; *at && !found; at++)
		found = !strcmp(g_strstrip(*at), name);
	g_strfreev(names);
	return found;
}

bool known_red_contains(const char *path)
{
	char *name = g_path_get_basename(path);
	gchar *text = NULL;
	char **lines;
	bool found = false;

	*strrchr(name, '.') = '\0';
	g_file_get_contents(LIST_PATH, &text, NULL, NULL);
	lines = g_strsplit(text ? text : "", "\n", -1);
	for (char **line = lines; *line && !found; line++)
		found = line_contains(*line, name);
	g_strfreev(lines);
	g_free(text);
	g_free(name);
	return found;
}
