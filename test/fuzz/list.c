/* Answers of the platform's list. */

#include "fuzz.h"
#include "io/list_wire.h"

static void run(const uint8_t *data, size_t size_bytes)
{
	GArray *items = list_response_parse(data, size_bytes);

	if (!items)
		return;
	for (guint i = 0; i < items->len; i++) {
		const struct instance_list_item *item =
			&g_array_index(items, struct instance_list_item, i);

		fuzz_check(item->name[0] && (item->state == LIST_LIVE ||
					     item->state == LIST_LEAVING),
			   "each instance has a name and a state");
	}
	g_array_unref(items);
}

const struct fuzz_target fuzz_target = { .run = run };
