/* Settings files. */

#include "kernel/settings.h"
#include "fuzz.h"

static void run(const uint8_t *data, size_t size_bytes)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct settings *settings = settings_parse(
		"settings.yaml", (const char *)data, size_bytes, errors);

	fuzz_check((settings != NULL) == (errors->len == 0),
		   "settings are read or have errors");
	if (settings)
		settings_free(settings);
	g_ptr_array_unref(errors);
}

const struct fuzz_target fuzz_target = { .run = run };
