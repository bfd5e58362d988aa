/* Replicated state: configuration files and the data derived from them. */

#include <string.h>

#include "core/fleet_state.h"

static gint compare_instances(gconstpointer a, gconstpointer b)
{
	const struct fleet_instance *const *left = a;
	const struct fleet_instance *const *right = b;

	return strcmp((*left)->decl.name, (*right)->decl.name);
}

static gint compare_pools(gconstpointer a, gconstpointer b)
{
	const struct fleet_pool *const *left = a;
	const struct fleet_pool *const *right = b;

	return strcmp((*left)->decl.name, (*right)->decl.name);
}

static gint compare_services(gconstpointer a, gconstpointer b)
{
	const struct decl_service *const *left = a;
	const struct decl_service *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

static gint compare_members(gconstpointer a, gconstpointer b)
{
	const struct decl_member *const *left = a;
	const struct decl_member *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

static gint compare_waves(gconstpointer a, gconstpointer b)
{
	const struct fleet_wave *const *left = a;
	const struct fleet_wave *const *right = b;

	return strcmp((*left)->decl.name, (*right)->decl.name);
}

static void rebuild_pools(struct fleet *fleet, const struct decl *decl)
{
	for (guint i = 0; i < decl->pools->len; i++) {
		struct fleet_pool *pool = g_new0(struct fleet_pool, 1);

		pool->decl = *(struct decl_pool *)decl->pools->pdata[i];
		pool->instances = g_ptr_array_new();
		g_hash_table_insert(fleet->pools, pool->decl.name, pool);
		g_ptr_array_add(fleet->pool_list, pool);
	}
}

/*
 * Only the first declaration of an instance sets its pool; a known instance
 * stays in its current pool.
 */
static void rebuild_instances(struct fleet *fleet, const struct decl *decl,
			      GHashTable *declared)
{
	for (guint i = 0; i < decl->instances->len; i++) {
		const struct decl_instance *from = decl->instances->pdata[i];
		struct fleet_instance *instance =
			g_hash_table_lookup(fleet->instances, from->name);

		g_hash_table_add(declared, (gpointer)from->name);
		if (!instance) {
			instance = fleet_instance_new();
			name_copy(instance->pool, sizeof(instance->pool),
				  from->pool);
			name_copy(instance->decl.name,
				  sizeof(instance->decl.name), from->name);
			instance->changed_offset = fleet->offset;
			g_hash_table_insert(fleet->instances,
					    instance->decl.name, instance);
		}
		if (instance->phase == INSTANCE_REMOVED) {
			instance->phase = INSTANCE_ACTIVE;
			name_copy(instance->pool, sizeof(instance->pool),
				  from->pool);
		}
		instance->decl = *from;
	}
}

static void rebuild_services(struct fleet *fleet, const struct decl *decl)
{
	for (guint i = 0; i < decl->members->len; i++)
		g_ptr_array_add(fleet->member_list, decl->members->pdata[i]);
	for (guint i = 0; i < decl->services->len; i++) {
		const struct decl_service *service = decl->services->pdata[i];

		g_ptr_array_add(fleet->service_list, (gpointer)service);
		fleet->longest_timeout_us =
			MAX(fleet->longest_timeout_us, service->timeout_us);
	}
}

static void rebuild_waves(struct fleet *fleet, const struct decl *decl,
			  GHashTable *declared)
{
	for (guint i = 0; i < decl->waves->len; i++) {
		const struct decl_wave *from = decl->waves->pdata[i];
		struct fleet_wave *wave =
			g_hash_table_lookup(fleet->waves, from->name);

		g_hash_table_add(declared, (gpointer)from->name);
		if (!wave) {
			wave = fleet_wave_new();
			wave->halted = from->halted;
			name_copy(wave->decl.name, sizeof(wave->decl.name),
				  from->name);
			g_hash_table_insert(fleet->waves, wave->decl.name,
					    wave);
		}
		wave->decl = *from;
	}
}

static gboolean is_undeclared(gpointer key, gpointer value, gpointer data)
{
	(void)value;
	return !g_hash_table_contains(data, key);
}

static void fill_sorted(GHashTable *table, GPtrArray *list,
			GCompareFunc compare)
{
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(list, 0);
	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	g_ptr_array_sort(list, compare);
}

static void remove_undeclared(struct fleet *fleet, GHashTable *declared)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->instances);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fleet_instance *instance = value;

		if (g_hash_table_contains(declared, instance->decl.name))
			continue;
		/* Jobs on it may still report their end. */
		if (fleet_instance_job_count(fleet, instance->decl.name)) {
			instance->phase = INSTANCE_REMOVED;
			instance->pool[0] = '\0';
			continue;
		}
		g_hash_table_iter_remove(&iter);
	}
}

static void count_declared(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->instance_list->len; i++) {
		const struct fleet_instance *instance =
			fleet->instance_list->pdata[i];
		struct fleet_pool *pool =
			g_hash_table_lookup(fleet->pools, instance->decl.pool);

		if (pool && instance->phase != INSTANCE_REMOVED)
			pool->declared_count++;
	}
	for (guint i = 0; i < fleet->pool_list->len; i++) {
		struct fleet_pool *pool = fleet->pool_list->pdata[i];
		uint32_t max_count = pool->decl.max_unavailable_count;

		if (pool->decl.min_available_count >= 0)
			pool->min_available_count =
				(uint32_t)pool->decl.min_available_count;
		else if (pool->declared_count > max_count)
			pool->min_available_count =
				pool->declared_count - max_count;
	}
}

void fleet_rebuild_derived(struct fleet *fleet)
{
	GHashTable *instances = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *waves = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(fleet->pool_list, 0);
	g_ptr_array_set_size(fleet->member_list, 0);
	g_ptr_array_set_size(fleet->service_list, 0);
	g_hash_table_remove_all(fleet->pools);
	fleet->longest_timeout_us = 0;
	g_hash_table_iter_init(&iter, fleet->files);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_file *file = value;

		rebuild_pools(fleet, file->decl);
		rebuild_instances(fleet, file->decl, instances);
		rebuild_services(fleet, file->decl);
		rebuild_waves(fleet, file->decl, waves);
	}
	remove_undeclared(fleet, instances);
	g_hash_table_foreach_remove(fleet->waves, is_undeclared, waves);
	fill_sorted(fleet->instances, fleet->instance_list, compare_instances);
	fill_sorted(fleet->waves, fleet->wave_list, compare_waves);
	g_ptr_array_sort(fleet->pool_list, compare_pools);
	g_ptr_array_sort(fleet->member_list, compare_members);
	g_ptr_array_sort(fleet->service_list, compare_services);
	count_declared(fleet);
	fleet_rebuild_pools(fleet);
	g_hash_table_unref(instances);
	g_hash_table_unref(waves);
}

/* The files in force, with one replaced, or removed if decl is NULL. */
static GPtrArray *files_after_change(const struct fleet *fleet,
				     const char *name, struct decl *decl)
{
	GPtrArray *files = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->files);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_file *file = value;

		if (strcmp(file->name, name) != 0)
			g_ptr_array_add(files, file->decl);
	}
	if (decl)
		g_ptr_array_add(files, decl);
	return files;
}

static bool declares_pool(const GPtrArray *files, const char *name)
{
	for (guint i = 0; i < files->len; i++) {
		const struct decl *decl = files->pdata[i];

		for (guint k = 0; k < decl->pools->len; k++) {
			const struct decl_pool *pool = decl->pools->pdata[k];

			if (!strcmp(pool->name, name))
				return true;
		}
	}
	return false;
}

static bool declares_instance(const GPtrArray *files, const char *name)
{
	for (guint i = 0; i < files->len; i++) {
		const struct decl *decl = files->pdata[i];

		for (guint k = 0; k < decl->instances->len; k++) {
			const struct decl_instance *instance =
				decl->instances->pdata[k];

			if (!strcmp(instance->name, name))
				return true;
		}
	}
	return false;
}

/* A pool can't be removed while it holds instances that stay declared. */
static bool check_pools_in_use(const struct fleet *fleet,
			       const GPtrArray *files,
			       struct fleet_outcome *outcome)
{
	for (guint i = 0; i < fleet->instance_list->len; i++) {
		const struct fleet_instance *instance =
			fleet->instance_list->pdata[i];

		if (!instance->pool[0] ||
		    declares_pool(files, instance->pool) ||
		    !declares_instance(files, instance->decl.name))
			continue;
		return fleet_ignore(outcome, "pool %s still holds %s",
				    instance->pool, instance->decl.name);
	}
	return true;
}

static bool check_files(const struct fleet *fleet, const GPtrArray *files,
			struct fleet_outcome *outcome)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	bool valid = decl_check(files, errors);

	if (!valid)
		valid = fleet_ignore(outcome, "%s",
				     (const char *)errors->pdata[0]);
	else
		valid = check_pools_in_use(fleet, files, outcome);
	g_ptr_array_unref(errors);
	return valid;
}

static bool check_base(const struct fleet *fleet, const struct record *record,
		       struct fleet_outcome *outcome)
{
	uint64_t current_offset;

	fleet_file(fleet, record->config.file, &current_offset);
	if (record->config.base_offset == current_offset)
		return true;
	return fleet_ignore(outcome,
			    "conflict: file is at offset %" G_GUINT64_FORMAT,
			    current_offset);
}

/* A new version of a file halts or resumes its waves as it declares. */
static void reset_waves(struct fleet *fleet, const struct decl *decl)
{
	for (guint i = 0; i < decl->waves->len; i++) {
		const struct decl_wave *from = decl->waves->pdata[i];
		struct fleet_wave *wave =
			g_hash_table_lookup(fleet->waves, from->name);

		wave->halted = from->halted;
		wave->recent_failures = 0;
	}
}

bool fleet_apply_config_put(struct fleet *fleet, uint64_t offset,
			    const struct record *record,
			    struct fleet_outcome *outcome)
{
	struct fleet_file *file;
	GPtrArray *files;
	bool valid;

	if (!record->config.decl)
		return fleet_ignore(outcome, "declarations can't be read");
	if (!check_base(fleet, record, outcome))
		return false;
	files = files_after_change(fleet, record->config.file,
				   record->config.decl);
	valid = check_files(fleet, files, outcome);
	g_ptr_array_unref(files);
	if (!valid)
		return false;
	file = g_new0(struct fleet_file, 1);
	name_copy(file->name, sizeof(file->name), record->config.file);
	file->offset = offset;
	file->decl = decl_ref(record->config.decl);
	g_hash_table_replace(fleet->files, file->name, file);
	fleet_rebuild_derived(fleet);
	reset_waves(fleet, file->decl);
	return true;
}

bool fleet_apply_config_remove(struct fleet *fleet, uint64_t offset,
			       const struct record *record,
			       struct fleet_outcome *outcome)
{
	GPtrArray *files;
	bool valid;

	(void)offset;
	if (!fleet_file(fleet, record->config.file, NULL))
		return fleet_ignore(outcome, "file is not in force");
	if (!check_base(fleet, record, outcome))
		return false;
	files = files_after_change(fleet, record->config.file, NULL);
	valid = check_files(fleet, files, outcome);
	g_ptr_array_unref(files);
	if (!valid)
		return false;
	g_hash_table_remove(fleet->files, record->config.file);
	fleet_rebuild_derived(fleet);
	return true;
}
