#include "cmd/files.h"

#include "codec/decl_yaml.h"

static void unref_decl(gpointer data)
{
	decl_unref(data);
}

static void read_one(const char *path, GPtrArray *files, GPtrArray *errors)
{
	GError *error = NULL;
	struct decl *decl;
	gsize size_bytes;
	gchar *name;
	gchar *text;

	if (!g_file_get_contents(path, &text, &size_bytes, &error)) {
		g_ptr_array_add(errors, g_strdup(error->message));
		g_error_free(error);
		return;
	}
	name = g_path_get_basename(path);
	decl = decl_parse(name, text, size_bytes, false, errors);
	if (decl)
		g_ptr_array_add(files, decl);
	g_free(name);
	g_free(text);
}

GPtrArray *files_read(const GPtrArray *paths, GPtrArray *errors)
{
	GPtrArray *files = g_ptr_array_new_with_free_func(unref_decl);

	for (guint i = 0; i < paths->len; i++)
		read_one(paths->pdata[i], files, errors);
	return files;
}
