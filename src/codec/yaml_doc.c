#include "codec/yaml_doc.h"

#include <stdarg.h>
#include <string.h>

#include "core/address.h"

static bool read_name(const char *text, const struct yaml_field *field,
		      void *dest)
{
	for (const char *at = text; *at; at++) {
		if (!g_ascii_isalnum(*at) && !strchr("._-", *at))
			return false;
	}
	return *text && name_copy(dest, field->size_bytes, text);
}

static bool read_text(const char *text, const struct yaml_field *field,
		      void *dest)
{
	return name_copy(dest, field->size_bytes, text);
}

static bool read_integer(const char *text, const struct yaml_field *field,
			 int64_t *value)
{
	gchar *end = NULL;

	if (!*text || g_ascii_isspace(*text))
		return false;
	*value = g_ascii_strtoll(text, &end, 10);
	return !*end && *value >= field->min && *value <= field->max;
}

static bool read_address(const char *text, const struct yaml_field *field,
			 void *dest)
{
	return address_is_valid(text) &&
	       name_copy(dest, field->size_bytes, text);
}

static bool read_u32(const char *text, const struct yaml_field *field,
		     void *dest)
{
	int64_t value;

	if (!read_integer(text, field, &value))
		return false;
	*(uint32_t *)dest = (uint32_t)value;
	return true;
}

static bool read_i32(const char *text, const struct yaml_field *field,
		     void *dest)
{
	int64_t value;

	if (!read_integer(text, field, &value))
		return false;
	*(int32_t *)dest = (int32_t)value;
	return true;
}

static bool read_bool(const char *text, const struct yaml_field *field,
		      void *dest)
{
	(void)field;
	if (!strcmp(text, "true"))
		*(bool *)dest = true;
	else if (!strcmp(text, "false"))
		*(bool *)dest = false;
	else
		return false;
	return true;
}

static bool read_msec(const char *text, const struct yaml_field *field,
		      void *dest)
{
	int64_t value;

	if (!read_integer(text, field, &value))
		return false;
	*(int64_t *)dest = value * USEC_PER_MSEC;
	return true;
}

static bool read_time(const char *text, const struct yaml_field *field,
		      void *dest)
{
	GTimeZone *utc = g_time_zone_new_utc();
	GDateTime *time = g_date_time_new_from_iso8601(text, utc);

	(void)field;
	g_time_zone_unref(utc);
	if (!time)
		return false;
	*(int64_t *)dest = g_date_time_to_unix(time) * USEC_PER_SEC;
	g_date_time_unref(time);
	return true;
}

static bool read_enum(const char *text, const struct yaml_field *field,
		      void *dest)
{
	for (uint32_t i = 0; field->enum_values[i]; i++) {
		if (!strcmp(text, field->enum_values[i])) {
			*(uint32_t *)dest = i;
			return true;
		}
	}
	return false;
}

typedef bool read_scalar_fn(const char *text, const struct yaml_field *field,
			    void *dest);

static read_scalar_fn *const readers[] = {
	[YAML_FIELD_NAME] = read_name,	     [YAML_FIELD_TEXT] = read_text,
	[YAML_FIELD_ADDRESS] = read_address, [YAML_FIELD_U32] = read_u32,
	[YAML_FIELD_I32] = read_i32,	     [YAML_FIELD_BOOL] = read_bool,
	[YAML_FIELD_MSEC] = read_msec,	     [YAML_FIELD_TIME] = read_time,
	[YAML_FIELD_ENUM] = read_enum,
};

static char *describe_expected(const struct yaml_field *field)
{
	switch (field->type) {
	case YAML_FIELD_NAME:
		return g_strdup_printf("a name of up to %zu letters, digits, "
				       "'.', '_' or '-'",
				       field->size_bytes - 1);
	case YAML_FIELD_TEXT:
		return g_strdup_printf("text of up to %zu bytes",
				       field->size_bytes - 1);
	case YAML_FIELD_ADDRESS:
		return g_strdup("an IPv4 address and port such as "
				"127.0.0.1:8080");
	case YAML_FIELD_U32:
	case YAML_FIELD_I32:
		return g_strdup_printf("a whole number from %" G_GINT64_FORMAT
				       " to %" G_GINT64_FORMAT,
				       field->min, field->max);
	case YAML_FIELD_MSEC:
		return g_strdup_printf("milliseconds from %" G_GINT64_FORMAT
				       " to %" G_GINT64_FORMAT,
				       field->min, field->max);
	case YAML_FIELD_BOOL:
		return g_strdup("true or false");
	case YAML_FIELD_TIME:
		return g_strdup("a time such as 2026-12-04T02:00:00Z");
	case YAML_FIELD_ENUM: {
		char *joined = g_strjoinv(", ", (char **)field->enum_values);
		char *text = g_strconcat("one of: ", joined, NULL);

		g_free(joined);
		return text;
	}
	case YAML_FIELD_NAMES:
	case YAML_FIELD_NODE:
		break;
	}
	return g_strdup("a list");
}

void yaml_error(struct yaml_reader *reader, const yaml_node_t *node,
		const char *key, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(reader->errors,
			g_strdup_printf("%s:%u: %s: %s", reader->file,
					yaml_line(node), key, text));
	g_free(text);
}

uint32_t yaml_line(const yaml_node_t *node)
{
	return node ? (uint32_t)node->start_mark.line + 1 : 1;
}

bool yaml_is_empty(const yaml_node_t *node)
{
	return node && node->type == YAML_SCALAR_NODE &&
	       node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE &&
	       !node->data.scalar.length;
}

const char *yaml_scalar(const yaml_node_t *node)
{
	if (!node || node->type != YAML_SCALAR_NODE)
		return NULL;
	return (const char *)node->data.scalar.value;
}

static bool read_names(struct yaml_reader *reader, yaml_node_t *node,
		       const struct yaml_field *field, GPtrArray **dest)
{
	static const struct yaml_field name = { .size_bytes = NAME_SIZE_BYTES };
	yaml_node_item_t *item;

	(void)field;
	if (node->type != YAML_SEQUENCE_NODE)
		return false;
	if (!*dest)
		*dest = g_ptr_array_new_with_free_func(g_free);
	for (item = node->data.sequence.items.start;
	     item < node->data.sequence.items.top; item++) {
		yaml_node_t *child =
			yaml_document_get_node(&reader->document, *item);
		const char *text = yaml_scalar(child);
		char copy[NAME_SIZE_BYTES];

		if (!text || !read_name(text, &name, copy))
			return false;
		g_ptr_array_add(*dest, g_strdup(copy));
	}
	return true;
}

static void read_field(struct yaml_reader *reader, yaml_node_t *node,
		       const struct yaml_field *field, void *target)
{
	void *dest = (char *)target + field->offset_bytes;
	const char *text = yaml_scalar(node);
	char *expected;
	bool read;

	if (field->type == YAML_FIELD_NODE) {
		*(yaml_node_t **)dest = node;
		return;
	}
	if (field->type == YAML_FIELD_NAMES)
		read = read_names(reader, node, field, dest);
	else
		read = text && readers[field->type](text, field, dest);
	if (read)
		return;
	expected = describe_expected(field);
	if (text)
		yaml_error(reader, node, field->key,
			   "expected %s, not \"%.40s\"", expected, text);
	else
		yaml_error(reader, node, field->key, "expected %s", expected);
	g_free(expected);
}

static const struct yaml_field *find_field(const struct yaml_field *fields,
					   const char *key)
{
	for (; fields->key; fields++) {
		if (!strcmp(fields->key, key))
			return fields;
	}
	return NULL;
}

static void report_unknown_key(struct yaml_reader *reader,
			       const yaml_node_t *node,
			       const struct yaml_field *fields, const char *key)
{
	GString *known = g_string_new(NULL);

	if (reader->lenient) {
		g_string_free(known, TRUE);
		return;
	}
	for (; fields->key; fields++)
		g_string_append_printf(known, "%s%s", known->len ? ", " : "",
				       fields->key);
	yaml_error(reader, node, key, "unknown key; expected one of: %s",
		   known->str);
	g_string_free(known, TRUE);
}

void yaml_read_map(struct yaml_reader *reader, yaml_node_t *node,
		   const struct yaml_field *fields, void *target)
{
	uint64_t seen = 0;
	yaml_node_pair_t *pair;

	if (!node || node->type != YAML_MAPPING_NODE) {
		yaml_error(reader, node, "entry", "expected a mapping");
		return;
	}
	for (pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		yaml_node_t *key_node =
			yaml_document_get_node(&reader->document, pair->key);
		yaml_node_t *value =
			yaml_document_get_node(&reader->document, pair->value);
		const char *key = yaml_scalar(key_node);
		const struct yaml_field *field =
			key ? find_field(fields, key) : NULL;
		uint64_t bit;

		if (!field) {
			report_unknown_key(reader, key_node, fields,
					   key ? key : "key");
			continue;
		}
		bit = UINT64_C(1) << (field - fields);
		if (seen & bit)
			yaml_error(reader, key_node, key, "is given twice");
		seen |= bit;
		read_field(reader, value, field, target);
	}
	for (const struct yaml_field *field = fields; field->key; field++) {
		if (field->required &&
		    !(seen & (UINT64_C(1) << (field - fields))))
			yaml_error(reader, node, field->key, "is missing");
	}
}

static void report_syntax_error(struct yaml_reader *reader,
				yaml_parser_t *parser)
{
	g_ptr_array_add(reader->errors,
			g_strdup_printf("%s:%zu: syntax: %s", reader->file,
					parser->problem_mark.line + 1,
					parser->problem ? parser->problem
							: "not YAML"));
}

/*
 * libyaml 0.2.5 takes time quadratic in the depth of flow collections: 5.6 s
 * for 40,000 opening brackets. Declarations need a depth of 3.
 */
#define FLOW_DEPTH_MAX 64

/* Number of the first line nested deeper than FLOW_DEPTH_MAX, or 0. */
static size_t find_deep_line(const char *text, size_t size_bytes)
{
	yaml_token_type_t type = YAML_NO_TOKEN;
	uint32_t depth = 0;
	yaml_parser_t parser;
	yaml_token_t token;
	size_t line = 0;

	if (!yaml_parser_initialize(&parser))
		g_error("yaml: out of memory");
	yaml_parser_set_input_string(&parser, (const unsigned char *)text,
				     size_bytes);
	while (depth <= FLOW_DEPTH_MAX && type != YAML_STREAM_END_TOKEN &&
	       yaml_parser_scan(&parser, &token)) {
		type = token.type;
		line = token.start_mark.line + 1;
		if (type == YAML_FLOW_SEQUENCE_START_TOKEN ||
		    type == YAML_FLOW_MAPPING_START_TOKEN)
			depth++;
		else if (depth && (type == YAML_FLOW_SEQUENCE_END_TOKEN ||
				   type == YAML_FLOW_MAPPING_END_TOKEN))
			depth--;
		yaml_token_delete(&token);
	}
	yaml_parser_delete(&parser);
	return depth > FLOW_DEPTH_MAX ? line : 0;
}

yaml_node_t *yaml_reader_parse(struct yaml_reader *reader, const char *file,
			       const char *text, size_t size_bytes,
			       GPtrArray *errors)
{
	yaml_parser_t parser;
	yaml_node_t *root = NULL;
	size_t deep_line;

	*reader = (struct yaml_reader){ .file = file, .errors = errors };
	/* libyaml asserts that the input is not NULL, even if it is empty. */
	if (!text)
		text = "";
	deep_line = find_deep_line(text, size_bytes);
	if (deep_line) {
		g_ptr_array_add(errors,
				g_strdup_printf("%s:%zu: syntax: expected at "
						"most %d nested lists and "
						"mappings",
						file, deep_line,
						FLOW_DEPTH_MAX));
		return NULL;
	}
	if (!yaml_parser_initialize(&parser))
		g_error("yaml: out of memory");
	yaml_parser_set_input_string(&parser, (const unsigned char *)text,
				     size_bytes);
	if (!yaml_parser_load(&parser, &reader->document)) {
		report_syntax_error(reader, &parser);
		memset(&reader->document, 0, sizeof(reader->document));
		goto out;
	}
	root = yaml_document_get_root_node(&reader->document);
	if (!root || root->type != YAML_MAPPING_NODE) {
		yaml_error(reader, root, "document", "expected a mapping");
		root = NULL;
	}
out:
	yaml_parser_delete(&parser);
	return root;
}

void yaml_reader_clear(struct yaml_reader *reader)
{
	yaml_document_delete(&reader->document);
}
