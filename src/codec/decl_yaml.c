#include "codec/decl_yaml.h"

#include <string.h>

#include "codec/yaml_doc.h"

#define WEIGHT_MAX 1000
#define QUOTA_MAX_COUNT 1000000
#define SLOTS_DEFAULT_COUNT 8
#define SLOTS_MAX_COUNT 1024
#define INSTANCES_MAX_COUNT 100000
#define DEADLINE_DEFAULT_US (5 * USEC_PER_SEC)
#define DEADLINE_MAX_MS 3600000
#define MINUTES_PER_DAY 1440

#define AT(type, member) .offset_bytes = offsetof(type, member)
#define TEXT_AT(type, member)                                                  \
	AT(type, member), .size_bytes = sizeof(((type *)0)->member)

static const char *const member_state_values[] = { "active", "left", NULL };
static const char *const urgency_values[] = { "urgent", "normal", "background",
					      NULL };
static const char *const log_down_values[] = { "refuse", "run", NULL };
static const char *const key_values[] = { "optional", "required", NULL };

/* Targets of yaml_read_map() for values that are converted afterwards. */
struct member_target {
	struct decl_member decl;
	uint32_t state;
};

struct service_target {
	struct decl_service decl;
	uint32_t key;
	char gentle[NAME_SIZE_BYTES];
};

struct file_target {
	yaml_node_t *members;
	yaml_node_t *pools;
	yaml_node_t *instances;
	yaml_node_t *services;
	yaml_node_t *waves;
};

static const struct yaml_field member_fields[] = {
	{ .key = "name",
	  .type = YAML_FIELD_NAME,
	  .required = true,
	  TEXT_AT(struct member_target, decl.name) },
	{ .key = "weight",
	  .type = YAML_FIELD_U32,
	  .min = 1,
	  .max = WEIGHT_MAX,
	  AT(struct member_target, decl.weight) },
	{ .key = "quota",
	  .type = YAML_FIELD_U32,
	  .min = 0,
	  .max = QUOTA_MAX_COUNT,
	  AT(struct member_target, decl.quota_count) },
	{ .key = "state",
	  .type = YAML_FIELD_ENUM,
	  .enum_values = member_state_values,
	  AT(struct member_target, state) },
	{ .key = NULL },
};

static const struct yaml_field pool_fields[] = {
	{ .key = "name",
	  .type = YAML_FIELD_NAME,
	  .required = true,
	  TEXT_AT(struct decl_pool, name) },
	{ .key = "member",
	  .type = YAML_FIELD_NAME,
	  TEXT_AT(struct decl_pool, member) },
	{ .key = "max_unavailable",
	  .type = YAML_FIELD_U32,
	  .required = true,
	  .min = 0,
	  .max = INSTANCES_MAX_COUNT,
	  AT(struct decl_pool, max_unavailable_count) },
	{ .key = "min_available",
	  .type = YAML_FIELD_I32,
	  .min = 0,
	  .max = INSTANCES_MAX_COUNT,
	  AT(struct decl_pool, min_available_count) },
	{ .key = "lend", .type = YAML_FIELD_BOOL, AT(struct decl_pool, lend) },
	{ .key = "reserve",
	  .type = YAML_FIELD_U32,
	  .min = 0,
	  .max = INSTANCES_MAX_COUNT,
	  AT(struct decl_pool, reserve_slots_count) },
	{ .key = "spare",
	  .type = YAML_FIELD_BOOL,
	  AT(struct decl_pool, spare) },
	{ .key = NULL },
};

static const struct yaml_field instance_fields[] = {
	{ .key = "name",
	  .type = YAML_FIELD_NAME,
	  .required = true,
	  TEXT_AT(struct decl_instance, name) },
	{ .key = "address",
	  .type = YAML_FIELD_ADDRESS,
	  .required = true,
	  TEXT_AT(struct decl_instance, address) },
	{ .key = "dc",
	  .type = YAML_FIELD_NAME,
	  .required = true,
	  TEXT_AT(struct decl_instance, dc) },
	{ .key = "rack",
	  .type = YAML_FIELD_NAME,
	  .required = true,
	  TEXT_AT(struct decl_instance, rack) },
	{ .key = "pool",
	  .type = YAML_FIELD_NAME,
	  .required = true,
	  TEXT_AT(struct decl_instance, pool) },
	{ .key = "slots",
	  .type = YAML_FIELD_U32,
	  .min = 1,
	  .max = SLOTS_MAX_COUNT,
	  AT(struct decl_instance, slot_count) },
	{ .key = NULL },
};

static const struct yaml_field service_fields[] = {
	{ .key = "name",
	  .type = YAML_FIELD_NAME,
	  .required = true,
	  TEXT_AT(struct service_target, decl.name) },
	{ .key = "member",
	  .type = YAML_FIELD_NAME,
	  .required = true,
	  TEXT_AT(struct service_target, decl.member) },
	{ .key = "pool",
	  .type = YAML_FIELD_NAME,
	  .required = true,
	  TEXT_AT(struct service_target, decl.pool) },
	{ .key = "path",
	  .type = YAML_FIELD_TEXT,
	  .required = true,
	  TEXT_AT(struct service_target, decl.path) },
	{ .key = "urgency",
	  .type = YAML_FIELD_ENUM,
	  .required = true,
	  .enum_values = urgency_values,
	  AT(struct service_target, decl.urgency) },
	{ .key = "idempotent",
	  .type = YAML_FIELD_BOOL,
	  .required = true,
	  AT(struct service_target, decl.idempotent) },
	{ .key = "key",
	  .type = YAML_FIELD_ENUM,
	  .enum_values = key_values,
	  AT(struct service_target, key) },
	{ .key = "when_log_down",
	  .type = YAML_FIELD_ENUM,
	  .enum_values = log_down_values,
	  AT(struct service_target, decl.when_log_down) },
	{ .key = "deadline_ms",
	  .type = YAML_FIELD_MSEC,
	  .min = 1,
	  .max = DEADLINE_MAX_MS,
	  AT(struct service_target, decl.deadline_us) },
	{ .key = "timeout_ms",
	  .type = YAML_FIELD_MSEC,
	  .min = 1,
	  .max = DEADLINE_MAX_MS,
	  AT(struct service_target, decl.timeout_us) },
	{ .key = "weight",
	  .type = YAML_FIELD_U32,
	  .min = 1,
	  .max = WEIGHT_MAX,
	  AT(struct service_target, decl.weight) },
	{ .key = "gentle",
	  .type = YAML_FIELD_TEXT,
	  TEXT_AT(struct service_target, gentle) },
	{ .key = NULL },
};

static const struct yaml_field wave_fields[] = {
	{ .key = "name",
	  .type = YAML_FIELD_NAME,
	  .required = true,
	  TEXT_AT(struct decl_wave, name) },
	{ .key = "pools",
	  .type = YAML_FIELD_NAMES,
	  .required = true,
	  AT(struct decl_wave, pools) },
	{ .key = "parallel",
	  .type = YAML_FIELD_U32,
	  .min = 1,
	  .max = INSTANCES_MAX_COUNT,
	  AT(struct decl_wave, parallel_count) },
	{ .key = "not_before",
	  .type = YAML_FIELD_TIME,
	  AT(struct decl_wave, not_before_us) },
	{ .key = "halted",
	  .type = YAML_FIELD_BOOL,
	  AT(struct decl_wave, halted) },
	{ .key = NULL },
};

static const struct yaml_field file_fields[] = {
	{ .key = "members",
	  .type = YAML_FIELD_NODE,
	  AT(struct file_target, members) },
	{ .key = "pools",
	  .type = YAML_FIELD_NODE,
	  AT(struct file_target, pools) },
	{ .key = "instances",
	  .type = YAML_FIELD_NODE,
	  AT(struct file_target, instances) },
	{ .key = "services",
	  .type = YAML_FIELD_NODE,
	  AT(struct file_target, services) },
	{ .key = "waves",
	  .type = YAML_FIELD_NODE,
	  AT(struct file_target, waves) },
	{ .key = NULL },
};

static void read_member(struct yaml_reader *reader, yaml_node_t *node,
			struct decl *decl)
{
	struct member_target target = { .decl = { .weight = 1 } };

	yaml_read_map(reader, node, member_fields, &target);
	target.decl.left = target.state == 1;
	target.decl.line = yaml_line(node);
	g_ptr_array_add(decl->members,
			g_memdup2(&target.decl, sizeof(target.decl)));
}

static void read_pool(struct yaml_reader *reader, yaml_node_t *node,
		      struct decl *decl)
{
	struct decl_pool pool = { .min_available_count = -1 };

	yaml_read_map(reader, node, pool_fields, &pool);
	pool.line = yaml_line(node);
	g_ptr_array_add(decl->pools, g_memdup2(&pool, sizeof(pool)));
}

static void read_instance(struct yaml_reader *reader, yaml_node_t *node,
			  struct decl *decl)
{
	struct decl_instance instance = { .slot_count = SLOTS_DEFAULT_COUNT };

	yaml_read_map(reader, node, instance_fields, &instance);
	instance.line = yaml_line(node);
	g_ptr_array_add(decl->instances,
			g_memdup2(&instance, sizeof(instance)));
}

static bool parse_time_of_day(const char *text, int32_t *minutes)
{
	int64_t hour;
	int64_t minute;

	if (strlen(text) != 5 || text[2] != ':' || !g_ascii_isdigit(text[0]) ||
	    !g_ascii_isdigit(text[1]) || !g_ascii_isdigit(text[3]) ||
	    !g_ascii_isdigit(text[4]))
		return false;
	hour = (text[0] - '0') * 10 + text[1] - '0';
	minute = (text[3] - '0') * 10 + text[4] - '0';
	*minutes = (int32_t)(hour * 60 + minute);
	return hour < 24 && minute < 60;
}

/* For example "22:00-05:30", in UTC. A window may span midnight. */
static bool parse_window(const char *text, struct decl_service *service)
{
	char from[6] = { 0 };

	if (!text[0])
		return true;
	if (strlen(text) != 11 || text[5] != '-')
		return false;
	memcpy(from, text, 5);
	return parse_time_of_day(from, &service->gentle_from_min) &&
	       parse_time_of_day(text + 6, &service->gentle_until_min) &&
	       service->gentle_from_min != service->gentle_until_min;
}

static void read_service(struct yaml_reader *reader, yaml_node_t *node,
			 struct decl *decl)
{
	struct service_target target = {
		.decl = { .deadline_us = DEADLINE_DEFAULT_US,
			  .weight = 1,
			  .gentle_from_min = -1,
			  .gentle_until_min = -1 },
		.key = 1,
	};
	struct decl_service *service = &target.decl;

	yaml_read_map(reader, node, service_fields, &target);
	if (!parse_window(target.gentle, service))
		yaml_error(reader, node, "gentle",
			   "expected a window in UTC such as 22:00-05:30");
	if (service->path[0] && service->path[0] != '/')
		yaml_error(reader, node, "path", "expected a leading '/'");
	if (!service->timeout_us)
		service->timeout_us = service->deadline_us;
	service->key_required = !service->idempotent && target.key == 1;
	service->line = yaml_line(node);
	g_ptr_array_add(decl->services, g_memdup2(service, sizeof(*service)));
}

static void read_wave(struct yaml_reader *reader, yaml_node_t *node,
		      struct decl *decl)
{
	struct decl_wave wave = { .parallel_count = 1 };

	yaml_read_map(reader, node, wave_fields, &wave);
	wave.line = yaml_line(node);
	if (!wave.pools)
		wave.pools = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(decl->waves, g_memdup2(&wave, sizeof(wave)));
}

static void read_list(struct yaml_reader *reader, yaml_node_t *node,
		      const char *key, struct decl *decl,
		      void (*read)(struct yaml_reader *, yaml_node_t *,
				   struct decl *))
{
	yaml_node_item_t *item;

	if (!node || yaml_is_empty(node))
		return;
	if (node->type != YAML_SEQUENCE_NODE) {
		yaml_error(reader, node, key, "expected a list");
		return;
	}
	for (item = node->data.sequence.items.start;
	     item < node->data.sequence.items.top; item++)
		read(reader, yaml_document_get_node(&reader->document, *item),
		     decl);
}

struct decl *decl_parse(const char *name, const char *text, size_t size_bytes,
			bool lenient, GPtrArray *errors)
{
	struct file_target target = { 0 };
	guint error_count = errors->len;
	struct yaml_reader reader;
	struct decl *decl;
	yaml_node_t *root;

	root = yaml_reader_parse(&reader, name, text, size_bytes, errors);
	reader.lenient = lenient;
	decl = decl_new(name);
	if (root) {
		yaml_read_map(&reader, root, file_fields, &target);
		read_list(&reader, target.members, "members", decl,
			  read_member);
		read_list(&reader, target.pools, "pools", decl, read_pool);
		read_list(&reader, target.instances, "instances", decl,
			  read_instance);
		read_list(&reader, target.services, "services", decl,
			  read_service);
		read_list(&reader, target.waves, "waves", decl, read_wave);
	}
	yaml_reader_clear(&reader);
	if (errors->len != error_count) {
		decl_unref(decl);
		return NULL;
	}
	decl->source = g_bytes_new(text, size_bytes);
	return decl;
}
