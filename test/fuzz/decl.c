/* Declaration files of operators, and lenient parsing of those in the log. */

#include "codec/decl_yaml.h"
#include "fuzz.h"

static void check(struct decl *decl, GPtrArray *errors)
{
	GPtrArray *files = g_ptr_array_new();
	guint before = errors->len;
	bool valid;

	g_ptr_array_add(files, decl);
	valid = decl_check(files, errors);
	fuzz_check(valid == (errors->len == before),
		   "declarations are valid or have errors");
	g_ptr_array_unref(files);
}

static void run(const uint8_t *data, size_t size_bytes)
{
	for (int lenient = 0; lenient < 2; lenient++) {
		GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
		struct decl *decl = decl_parse("a.yaml", (const char *)data,
					       size_bytes, lenient, errors);

		fuzz_check((decl != NULL) == (errors->len == 0),
			   "a file is read or has errors");
		if (decl)
			check(decl, errors);
		decl_unref(decl);
		g_ptr_array_unref(errors);
	}
}

const struct fuzz_target fuzz_target = { .run = run };
