#include "kernel/settings.h"

#include <stddef.h>

#include "codec/yaml_doc.h"

#define DRAIN_DEFAULT_US (30 * USEC_PER_SEC)
#define MEMORY_DEFAULT_MB 256
#define FDS_DEFAULT_COUNT 4100

#define FIELD_TEXT(member, kind, need)                                         \
	{                                                                      \
		.key = #member, .type = kind,                                  \
		.offset_bytes = offsetof(struct settings, member),             \
		.size_bytes = sizeof(((struct settings *)0)->member),          \
		.required = need                                               \
	}

static const struct yaml_field scalar_fields[] = {
	FIELD_TEXT(entry, YAML_FIELD_NAME, true),
	FIELD_TEXT(dc, YAML_FIELD_NAME, true),
	FIELD_TEXT(caller_address, YAML_FIELD_ADDRESS, true),
	FIELD_TEXT(operator_address, YAML_FIELD_ADDRESS, true),
	FIELD_TEXT(peer_address, YAML_FIELD_ADDRESS, true),
	FIELD_TEXT(token_file, YAML_FIELD_TEXT, true),
	FIELD_TEXT(log_address, YAML_FIELD_ADDRESS, true),
	FIELD_TEXT(list_address, YAML_FIELD_ADDRESS, true),
	{ .key = "drain_ms",
	  .type = YAML_FIELD_MSEC,
	  .offset_bytes = offsetof(struct settings, drain_us),
	  .min = 0,
	  .max = 3600000 },
	{ .key = "seed",
	  .type = YAML_FIELD_U32,
	  .offset_bytes = offsetof(struct settings, seed),
	  .min = 0,
	  .max = UINT32_MAX },
	{ .key = "memory_mb",
	  .type = YAML_FIELD_U32,
	  .offset_bytes = offsetof(struct settings, memory_mb),
	  .min = 32,
	  .max = 1 << 24 },
	{ .key = "max_fds",
	  .type = YAML_FIELD_U32,
	  .offset_bytes = offsetof(struct settings, max_fds),
	  .min = 128,
	  .max = 1 << 24 },
};

static const struct yaml_field peer_fields[] = {
	{ .key = "name",
	  .type = YAML_FIELD_NAME,
	  .offset_bytes = offsetof(struct settings_peer, name),
	  .size_bytes = NAME_SIZE_BYTES,
	  .required = true },
	{ .key = "dc",
	  .type = YAML_FIELD_NAME,
	  .offset_bytes = offsetof(struct settings_peer, dc),
	  .size_bytes = NAME_SIZE_BYTES,
	  .required = true },
	{ .key = "address",
	  .type = YAML_FIELD_ADDRESS,
	  .offset_bytes = offsetof(struct settings_peer, address),
	  .size_bytes = ADDRESS_SIZE_BYTES,
	  .required = true },
	{ .key = NULL },
};

#define FORWARD_BUSY_PERCENT 50

static const struct job_bounds default_bounds = {
	.lease_max_us = 10 * USEC_PER_SEC,
	.stop_us = USEC_PER_SEC,
	.gang_wait_us = 3 * USEC_PER_SEC,
	.status_retention_us = 120 * USEC_PER_SEC,
	.notice_us = 5 * USEC_PER_SEC,
	.move_us = 2 * USEC_PER_SEC,
	.maintenance_us = 2 * USEC_PER_SEC,
	.machine_lease_us = 3 * USEC_PER_SEC,
	.early_us = 250 * USEC_PER_MSEC,
	.interference_us = 4 * USEC_PER_SEC,
	.skew_us = 5 * USEC_PER_SEC,
	.remote_penalty = 1.5,
	.machine_orders_per_s = 32,
	.record_max_bytes = UINT64_C(256) * 1024,
	.batch_max_bytes = UINT64_C(1024) * 1024,
};

struct settings *settings_new(void)
{
	struct settings *settings = g_new0(struct settings, 1);

	name_copy(settings->entry, sizeof(settings->entry), "entry");
	name_copy(settings->dc, sizeof(settings->dc), "dc");
	settings->drain_us = DRAIN_DEFAULT_US;
	settings->memory_mb = MEMORY_DEFAULT_MB;
	settings->max_fds = FDS_DEFAULT_COUNT;
	settings->bounds = default_bounds;
	settings->forward_busy_percent = FORWARD_BUSY_PERCENT;
	settings->peers =
		g_array_new(FALSE, TRUE, sizeof(struct settings_peer));
	settings->plugin_names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return settings;
}

void settings_free(struct settings *settings)
{
	if (!settings)
		return;
	g_array_unref(settings->peers);
	g_hash_table_unref(settings->plugin_names);
	g_free(settings);
}

static void read_peers(struct yaml_reader *reader, yaml_node_t *node,
		       struct settings *settings)
{
	yaml_node_item_t *item;

	if (yaml_is_empty(node))
		return;
	if (node->type != YAML_SEQUENCE_NODE) {
		yaml_error(reader, node, "peers", "expected a list");
		return;
	}
	for (item = node->data.sequence.items.start;
	     item < node->data.sequence.items.top; item++) {
		struct settings_peer peer = { .name = "" };

		yaml_read_map(reader,
			      yaml_document_get_node(&reader->document, *item),
			      peer_fields, &peer);
		g_array_append_val(settings->peers, peer);
	}
}

static void read_plugin(struct yaml_reader *reader, yaml_node_t *key_node,
			yaml_node_t *value, struct settings *settings)
{
	const char *key = yaml_scalar(key_node);
	const char *name = yaml_scalar(value);
	enum plugin_kind kind =
		key ? plugin_kind_from_name(key) : PLUGIN_KIND_COUNT;

	if (!plugin_kind_is_exclusive(kind)) {
		yaml_error(reader, key_node, "plugins",
			   "\"%s\" is not a selectable plug-in kind",
			   key ? key : "");
		return;
	}
	if (!name || !plugin_find(kind, name)) {
		yaml_error(reader, value, key, "unknown plug-in \"%s\"",
			   name ? name : "");
		return;
	}
	g_hash_table_insert(settings->plugin_names, g_strdup(key),
			    g_strdup(name));
}

static void read_plugins(struct yaml_reader *reader, yaml_node_t *node,
			 struct settings *settings)
{
	yaml_node_pair_t *pair;

	if (node->type != YAML_MAPPING_NODE) {
		yaml_error(reader, node, "plugins", "expected a mapping");
		return;
	}
	for (pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++)
		read_plugin(
			reader,
			yaml_document_get_node(&reader->document, pair->key),
			yaml_document_get_node(&reader->document, pair->value),
			settings);
}

/* What yaml_read_map() fills in: the settings, and nodes read afterwards. */
struct settings_target {
	struct settings settings;
	yaml_node_t *peers;
	yaml_node_t *plugins;
};

static void read_all(struct yaml_reader *reader, yaml_node_t *root,
		     struct settings *settings)
{
	struct yaml_field fields[G_N_ELEMENTS(scalar_fields) + 3] = { 0 };
	struct settings_target target = { .settings = *settings };
	gsize count = G_N_ELEMENTS(scalar_fields);

	for (gsize i = 0; i < count; i++)
		fields[i] = scalar_fields[i];
	fields[count++] = (struct yaml_field){
		.key = "peers",
		.type = YAML_FIELD_NODE,
		.offset_bytes = offsetof(struct settings_target, peers),
	};
	fields[count++] = (struct yaml_field){
		.key = "plugins",
		.type = YAML_FIELD_NODE,
		.offset_bytes = offsetof(struct settings_target, plugins),
	};
	yaml_read_map(reader, root, fields, &target);
	*settings = target.settings;
	if (target.peers)
		read_peers(reader, target.peers, settings);
	if (target.plugins)
		read_plugins(reader, target.plugins, settings);
}

struct settings *settings_parse(const char *file, const char *text,
				size_t size_bytes, GPtrArray *errors)
{
	struct settings *settings = settings_new();
	guint error_count = errors->len;
	struct yaml_reader reader;
	yaml_node_t *root;

	root = yaml_reader_parse(&reader, file, text, size_bytes, errors);
	if (root)
		read_all(&reader, root, settings);
	yaml_reader_clear(&reader);
	if (errors->len == error_count)
		return settings;
	settings_free(settings);
	return NULL;
}

struct settings *settings_load(const char *file, GPtrArray *errors)
{
	struct settings *settings;
	GError *error = NULL;
	gchar *text;
	gsize size_bytes;

	if (!g_file_get_contents(file, &text, &size_bytes, &error)) {
		g_ptr_array_add(errors, g_strdup(error->message));
		g_error_free(error);
		return NULL;
	}
	settings = settings_parse(file, text, size_bytes, errors);
	g_free(text);
	return settings;
}

const char *settings_plugin_name(const struct settings *settings,
				 enum plugin_kind kind)
{
	return g_hash_table_lookup(settings->plugin_names,
				   plugin_kind_name(kind));
}
