#include "io/list_wire.h"

#include <jansson.h>
#include <string.h>

static bool parse_item(GArray *items, const json_t *instance)
{
	const char *name = json_string_value(json_object_get(instance, "name"));
	const char *state =
		json_string_value(json_object_get(instance, "state"));
	struct instance_list_item item = { .state = LIST_LIVE };

	if (!name || !name[0] || !state ||
	    !name_copy(item.name, sizeof(item.name), name))
		return false;
	if (!strcmp(state, "leaving"))
		item.state = LIST_LEAVING;
	else if (strcmp(state, "live") != 0)
		return false;
	g_array_append_val(items, item);
	return true;
}

GArray *list_response_parse(const void *data, size_t size_bytes)
{
	json_t *root = json_loadb(data, size_bytes, 0, NULL);
	const json_t *instances = json_object_get(root, "instances");
	GArray *items =
		g_array_new(FALSE, TRUE, sizeof(struct instance_list_item));
	bool valid = json_is_array(instances);

	for (size_t i = 0; valid && i < json_array_size(instances); i++)
		valid = parse_item(items, json_array_get(instances, i));
	json_decref(root);
	if (valid)
		return items;
	g_array_unref(items);
	return NULL;
}
