#include "core/decl.h"

#include <string.h>

static void wave_free(gpointer data)
{
	struct decl_wave *wave = data;

	if (wave->pools)
		g_ptr_array_unref(wave->pools);
	g_free(wave);
}

struct decl *decl_new(const char *file)
{
	struct decl *decl = g_new0(struct decl, 1);

	g_ref_count_init(&decl->refs);
	name_copy(decl->file, sizeof(decl->file), file);
	decl->members = g_ptr_array_new_with_free_func(g_free);
	decl->pools = g_ptr_array_new_with_free_func(g_free);
	decl->instances = g_ptr_array_new_with_free_func(g_free);
	decl->services = g_ptr_array_new_with_free_func(g_free);
	decl->waves = g_ptr_array_new_with_free_func(wave_free);
	return decl;
}

struct decl *decl_ref(struct decl *decl)
{
	g_ref_count_inc(&decl->refs);
	return decl;
}

void decl_unref(struct decl *decl)
{
	if (!decl || !g_ref_count_dec(&decl->refs))
		return;
	g_ptr_array_unref(decl->members);
	g_ptr_array_unref(decl->pools);
	g_ptr_array_unref(decl->instances);
	g_ptr_array_unref(decl->services);
	g_ptr_array_unref(decl->waves);
	if (decl->source)
		g_bytes_unref(decl->source);
	g_free(decl);
}

/* The declared names of all files, and the result of the checks. */
struct check {
	GHashTable *members;
	GHashTable *pools;	/* name -> struct decl_pool */
	GHashTable *pool_sizes; /* name -> number of declared instances */
	GHashTable *instances;
	GHashTable *addresses;
	GHashTable *services;
	GHashTable *paths;
	GHashTable *waves;
	GPtrArray *errors;
	bool valid;
};

static void add_error(struct check *check, const struct decl *decl,
		      uint32_t line, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

static void add_error(struct check *check, const struct decl *decl,
		      uint32_t line, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	check->valid = false;
	if (check->errors)
		g_ptr_array_add(
			check->errors,
			g_strdup_printf("%s:%u: %s", decl->file, line, text));
	g_free(text);
}

static void add_name(struct check *check, const struct decl *decl,
		     uint32_t line, GHashTable *names, const char *kind,
		     const char *name, gpointer value)
{
	if (!g_hash_table_insert(names, (gpointer)name, value))
		add_error(check, decl, line, "%s: \"%s\" is declared twice",
			  kind, name);
}

static void collect_names(struct check *check, const struct decl *decl)
{
	for (guint i = 0; i < decl->members->len; i++) {
		struct decl_member *member = decl->members->pdata[i];

		add_name(check, decl, member->line, check->members, "members",
			 member->name, member);
	}
	for (guint i = 0; i < decl->pools->len; i++) {
		struct decl_pool *pool = decl->pools->pdata[i];

		add_name(check, decl, pool->line, check->pools, "pools",
			 pool->name, pool);
	}
	for (guint i = 0; i < decl->instances->len; i++) {
		struct decl_instance *instance = decl->instances->pdata[i];
		guint size = GPOINTER_TO_UINT(
			g_hash_table_lookup(check->pool_sizes, instance->pool));

		add_name(check, decl, instance->line, check->instances,
			 "instances", instance->name, instance);
		add_name(check, decl, instance->line, check->addresses,
			 "address", instance->address, instance);
		g_hash_table_insert(check->pool_sizes, instance->pool,
				    GUINT_TO_POINTER(size + 1));
	}
	for (guint i = 0; i < decl->services->len; i++) {
		struct decl_service *service = decl->services->pdata[i];

		add_name(check, decl, service->line, check->services,
			 "services", service->name, service);
		add_name(check, decl, service->line, check->paths, "path",
			 service->path, service);
	}
	for (guint i = 0; i < decl->waves->len; i++) {
		struct decl_wave *wave = decl->waves->pdata[i];

		add_name(check, decl, wave->line, check->waves, "waves",
			 wave->name, wave);
	}
}

static void check_pools(struct check *check, const struct decl *decl)
{
	for (guint i = 0; i < decl->pools->len; i++) {
		const struct decl_pool *pool = decl->pools->pdata[i];
		guint size = GPOINTER_TO_UINT(
			g_hash_table_lookup(check->pool_sizes, pool->name));

		if (pool->member[0] &&
		    !g_hash_table_contains(check->members, pool->member))
			add_error(check, decl, pool->line,
				  "member: \"%s\" is not declared",
				  pool->member);
		if (size && pool->max_unavailable_count >= size)
			add_error(check, decl, pool->line,
				  "max_unavailable: expected less than the %u "
				  "instances of pool \"%s\"",
				  size, pool->name);
		if (pool->min_available_count > (int32_t)size)
			add_error(check, decl, pool->line,
				  "min_available: expected at most the %u "
				  "instances of pool \"%s\"",
				  size, pool->name);
	}
}

static void check_references(struct check *check, const struct decl *decl)
{
	for (guint i = 0; i < decl->instances->len; i++) {
		const struct decl_instance *instance =
			decl->instances->pdata[i];

		if (!g_hash_table_contains(check->pools, instance->pool))
			add_error(check, decl, instance->line,
				  "pool: \"%s\" is not declared",
				  instance->pool);
	}
	for (guint i = 0; i < decl->services->len; i++) {
		const struct decl_service *service = decl->services->pdata[i];
		const struct decl_pool *pool =
			g_hash_table_lookup(check->pools, service->pool);

		if (!g_hash_table_contains(check->members, service->member))
			add_error(check, decl, service->line,
				  "member: \"%s\" is not declared",
				  service->member);
		if (!pool)
			add_error(check, decl, service->line,
				  "pool: \"%s\" is not declared",
				  service->pool);
		if (service->timeout_us > service->deadline_us)
			add_error(check, decl, service->line,
				  "timeout_ms: expected at most deadline_ms");
	}
	for (guint i = 0; i < decl->waves->len; i++) {
		const struct decl_wave *wave = decl->waves->pdata[i];

		for (guint k = 0; k < wave->pools->len; k++) {
			if (!g_hash_table_contains(check->pools,
						   wave->pools->pdata[k]))
				add_error(check, decl, wave->line,
					  "pools: \"%s\" is not declared",
					  (const char *)wave->pools->pdata[k]);
		}
	}
}

static GHashTable *names_new(void)
{
	return g_hash_table_new(g_str_hash, g_str_equal);
}

bool decl_check(const GPtrArray *files, GPtrArray *errors)
{
	struct check check = {
		.members = names_new(),
		.pools = names_new(),
		.pool_sizes = names_new(),
		.instances = names_new(),
		.addresses = names_new(),
		.services = names_new(),
		.paths = names_new(),
		.waves = names_new(),
		.errors = errors,
		.valid = true,
	};

	for (guint i = 0; i < files->len; i++)
		collect_names(&check, files->pdata[i]);
	for (guint i = 0; i < files->len; i++) {
		check_pools(&check, files->pdata[i]);
		check_references(&check, files->pdata[i]);
	}
	g_hash_table_unref(check.members);
	g_hash_table_unref(check.pools);
	g_hash_table_unref(check.pool_sizes);
	g_hash_table_unref(check.instances);
	g_hash_table_unref(check.addresses);
	g_hash_table_unref(check.services);
	g_hash_table_unref(check.paths);
	g_hash_table_unref(check.waves);
	return check.valid;
}
