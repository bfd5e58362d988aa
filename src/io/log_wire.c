#include "io/log_wire.h"

#include <jansson.h>

/* Record offsets above this would not fit into a signed 64-bit integer. */
#define PLATFORM_OFFSET_MAX (INT64_MAX / LOG_BLOCK_COUNT - 1)

uint64_t log_block_end(uint64_t platform_offset)
{
	return platform_offset * LOG_BLOCK_COUNT;
}

uint64_t log_block_first(uint64_t platform_offset, uint32_t record_count)
{
	return log_block_end(platform_offset) - record_count + 1;
}

uint64_t log_block_after(uint64_t record_offset)
{
	return record_offset / LOG_BLOCK_COUNT + 1;
}

static bool parse_offset(const json_t *object, const char *key,
			 uint64_t *offset)
{
	const json_t *value = json_object_get(object, key);

	if (!json_is_integer(value) || json_integer_value(value) < 1 ||
	    json_integer_value(value) > PLATFORM_OFFSET_MAX)
		return false;
	*offset = (uint64_t)json_integer_value(value);
	return true;
}

static void item_clear(gpointer data)
{
	struct log_item *item = data;

	g_bytes_unref(item->data);
}

/* Checked here, as GLib's decoder skips characters outside the alphabet. */
static bool is_base64(const char *text, size_t size_bytes)
{
	size_t end = size_bytes;

	if (size_bytes % 4)
		return false;
	while (end > 0 && text[end - 1] == '=' && size_bytes - end < 2)
		end--;
	for (size_t i = 0; i < end; i++) {
		if (!g_ascii_isalnum(text[i]) && text[i] != '+' &&
		    text[i] != '/')
			return false;
	}
	return true;
}

static bool parse_item(struct log_response *response, const json_t *record)
{
	const json_t *text = json_object_get(record, "data");
	struct log_item item;
	const struct log_item *last;
	gsize size_bytes;
	guchar *data;

	if (!parse_offset(record, "offset", &item.platform_offset) ||
	    item.platform_offset >= response->next_offset ||
	    item.platform_offset < response->first_offset ||
	    !json_is_string(text) ||
	    !is_base64(json_string_value(text), json_string_length(text)))
		return false;
	if (response->items->len) {
		last = &g_array_index(response->items, struct log_item,
				      response->items->len - 1);
		if (item.platform_offset <= last->platform_offset)
			return false;
	}
	data = g_base64_decode(json_string_value(text), &size_bytes);
	item.data = g_bytes_new_take(data, size_bytes);
	g_array_append_val(response->items, item);
	return true;
}

static const char *parse_response(struct log_response *response,
				  const json_t *root)
{
	const json_t *records = json_object_get(root, "records");

	if (!parse_offset(root, "first", &response->first_offset) ||
	    !parse_offset(root, "next", &response->next_offset) ||
	    response->first_offset > response->next_offset)
		return "response has no valid first and next offset";
	if (!json_is_array(records))
		return "response has no list of records";
	for (size_t i = 0; i < json_array_size(records); i++) {
		if (!parse_item(response, json_array_get(records, i)))
			return "response has an invalid record";
	}
	return NULL;
}

bool log_response_parse(struct log_response *response, const void *data,
			size_t size_bytes, char reason[REASON_SIZE_BYTES])
{
	json_t *root = json_loadb(data, size_bytes, 0, NULL);
	const char *error = "response is not valid JSON";

	response->first_offset = 0;
	response->next_offset = 0;
	response->items = g_array_new(FALSE, TRUE, sizeof(struct log_item));
	g_array_set_clear_func(response->items, item_clear);
	if (root) {
		error = parse_response(response, root);
		json_decref(root);
	}
	if (!error)
		return true;
	g_strlcpy(reason, error, REASON_SIZE_BYTES);
	g_array_set_size(response->items, 0);
	return false;
}

void log_response_clear(struct log_response *response)
{
	g_clear_pointer(&response->items, g_array_unref);
}

bool log_appended_parse(const void *data, size_t size_bytes, uint64_t *offset)
{
	json_t *root = json_loadb(data, size_bytes, 0, NULL);
	bool valid = root && parse_offset(root, "offset", offset);

	json_decref(root);
	return valid;
}

bool log_is_append_refused(const void *data, size_t size_bytes)
{
	json_t *root = json_loadb(data, size_bytes, 0, NULL);
	bool refused = root && json_is_false(json_object_get(root, "taken"));

	json_decref(root);
	return refused;
}
