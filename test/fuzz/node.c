/* The settings that the platform gives to a process. */

#include "platform/node.h"
#include "fuzz.h"

static void run(const uint8_t *data, size_t size_bytes)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct node *node = node_parse((const char *)data, size_bytes, errors);

	fuzz_check(!node == (errors->len > 0),
		   "invalid settings have an error message");
	g_free(node);
	g_ptr_array_unref(errors);
}

const struct fuzz_target fuzz_target = { .run = run };
