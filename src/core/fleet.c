#include "core/fleet.h"

#include <string.h>

#include "core/fleet_state.h"

static fleet_apply_fn *const apply_functions[RECORD_KIND_COUNT] = {
	[RECORD_CONFIG_PUT] = fleet_apply_config_put,
	[RECORD_CONFIG_REMOVE] = fleet_apply_config_remove,
	[RECORD_ENTRY_JOIN] = fleet_apply_entry_join,
	[RECORD_ENTRY_LEAVE] = fleet_apply_entry_end,
	[RECORD_ENTRY_GONE] = fleet_apply_entry_end,
	[RECORD_LEASE_CLAIM] = fleet_apply_lease_claim,
	[RECORD_LEASE_RENEW] = fleet_apply_lease_renew,
	[RECORD_MOVE_START] = fleet_apply_drain_start,
	[RECORD_DRAIN_ACK] = fleet_apply_drain_ack,
	[RECORD_MOVE_COMMIT] = fleet_apply_move_commit,
	[RECORD_MOVE_ABORT] = fleet_apply_move_abort,
	[RECORD_MAINT_START] = fleet_apply_drain_start,
	[RECORD_MAINT_REBOOT] = fleet_apply_maint_reboot,
	[RECORD_MAINT_DONE] = fleet_apply_maint_done,
	[RECORD_WAVE_HALT] = fleet_apply_wave_halt,
	[RECORD_INSTANCE_DOWN] = fleet_apply_instance_health,
	[RECORD_INSTANCE_UP] = fleet_apply_instance_health,
	[RECORD_CLAIM] = fleet_apply_claim,
	[RECORD_CLAIM_RESULT] = fleet_apply_claim_result,
	[RECORD_JOB_SUBMIT] = fleet_apply_job_submit,
	[RECORD_JOB_PLACE] = fleet_apply_job_place,
	[RECORD_JOB_RENEW] = fleet_apply_job_renew,
	[RECORD_JOB_END] = fleet_apply_job_end,
	[RECORD_JOB_CANCEL] = fleet_apply_job_cancel,
	[RECORD_JOB_SET_ASIDE] = fleet_apply_job_set_aside,
};

static const char *const phase_names[] = {
	[INSTANCE_ACTIVE] = "active",
	[INSTANCE_DRAINING_MOVE] = "draining-move",
	[INSTANCE_DRAINING_MAINT] = "draining-maint",
	[INSTANCE_REBOOTING] = "rebooting",
	[INSTANCE_REMOVED] = "removed",
};

static void file_free(gpointer data)
{
	struct fleet_file *file = data;

	decl_unref(file->decl);
	g_free(file);
}

static void instance_free(gpointer data)
{
	struct fleet_instance *instance = data;

	g_ptr_array_unref(instance->acks);
	g_free(instance);
}

static void pool_free(gpointer data)
{
	struct fleet_pool *pool = data;

	g_ptr_array_unref(pool->instances);
	g_free(pool);
}

static void wave_free(gpointer data)
{
	struct fleet_wave *wave = data;

	g_hash_table_unref(wave->done);
	g_free(wave);
}

static void job_free(gpointer data)
{
	struct fleet_job *job = data;

	g_ptr_array_unref(job->failed_on);
	g_free(job);
}

static GHashTable *table_new(GDestroyNotify free_value)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_value);
}

struct fleet *fleet_new(void)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->files = table_new(file_free);
	fleet->instances = table_new(instance_free);
	fleet->pools = table_new(pool_free);
	fleet->entries = table_new(g_free);
	fleet->fences = table_new(g_free);
	fleet->waves = table_new(wave_free);
	fleet->claims = table_new(g_free);
	fleet->claim_order = g_queue_new();
	fleet->jobs = table_new(job_free);
	fleet->job_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->instance_list = g_ptr_array_new();
	fleet->pool_list = g_ptr_array_new();
	fleet->entry_list = g_ptr_array_new();
	fleet->member_list = g_ptr_array_new();
	fleet->service_list = g_ptr_array_new();
	fleet->wave_list = g_ptr_array_new();
	return fleet;
}

void fleet_free(struct fleet *fleet)
{
	if (!fleet)
		return;
	g_ptr_array_unref(fleet->instance_list);
	g_ptr_array_unref(fleet->pool_list);
	g_ptr_array_unref(fleet->entry_list);
	g_ptr_array_unref(fleet->member_list);
	g_ptr_array_unref(fleet->service_list);
	g_ptr_array_unref(fleet->wave_list);
	g_queue_free(fleet->claim_order);
	g_hash_table_unref(fleet->pools);
	g_hash_table_unref(fleet->instances);
	g_hash_table_unref(fleet->waves);
	g_hash_table_unref(fleet->entries);
	g_hash_table_unref(fleet->fences);
	g_hash_table_unref(fleet->claims);
	g_hash_table_unref(fleet->jobs);
	g_hash_table_unref(fleet->job_counts);
	g_hash_table_unref(fleet->files);
	g_free(fleet);
}

struct fleet_instance *fleet_instance_new(void)
{
	struct fleet_instance *instance = g_new0(struct fleet_instance, 1);

	instance->acks = g_ptr_array_new_with_free_func(g_free);
	return instance;
}

struct fleet_wave *fleet_wave_new(void)
{
	struct fleet_wave *wave = g_new0(struct fleet_wave, 1);

	wave->done =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return wave;
}

struct fleet_job *fleet_job_new(void)
{
	struct fleet_job *job = g_new0(struct fleet_job, 1);

	job->failed_on = g_ptr_array_new_with_free_func(g_free);
	return job;
}

/*
 * Only entries on the roster may write. This fences a process that was
 * removed while it was paused, and detects duplicates of a record.
 */
static bool admit_writer(struct fleet *fleet, const struct record *record,
			 struct fleet_outcome *outcome)
{
	struct fleet_entry *entry =
		g_hash_table_lookup(fleet->entries, record->id.entry);

	if (record->kind == RECORD_ENTRY_JOIN &&
	    (!entry || record->id.incarnation > entry->decl.incarnation))
		return true;
	if (!entry || entry->decl.incarnation != record->id.incarnation)
		return fleet_ignore(outcome, "entry %s is not on the roster",
				    record->id.entry);
	if (record->id.sequence <= entry->last_sequence) {
		outcome->duplicate = true;
		return fleet_ignore(outcome, "record id was applied before");
	}
	entry->last_sequence = record->id.sequence;
	return true;
}

bool fleet_apply(struct fleet *fleet, uint64_t offset,
		 const struct record *record, struct fleet_outcome *outcome)
{
	*outcome = (struct fleet_outcome){ 0 };
	if (offset <= fleet->offset)
		return fleet_ignore(outcome, "offset was applied before");
	fleet->offset = offset;
	if (record->kind == RECORD_SNAPSHOT_PART)
		return fleet_ignore(outcome, "snapshot parts carry no change");
	if (record->kind >= RECORD_KIND_COUNT || !apply_functions[record->kind])
		return fleet_ignore(outcome, "record kind is unknown");
	if (!admit_writer(fleet, record, outcome))
		return false;
	if (record->wall_us > fleet->wall_us)
		fleet->wall_us = record->wall_us;
	outcome->accepted =
		apply_functions[record->kind](fleet, offset, record, outcome);
	return outcome->accepted;
}

uint64_t fleet_offset(const struct fleet *fleet)
{
	return fleet->offset;
}

int64_t fleet_wall_us(const struct fleet *fleet)
{
	return fleet->wall_us;
}

const struct fleet_lease *fleet_lease(const struct fleet *fleet)
{
	return &fleet->lease;
}

const struct fleet_instance *fleet_instance(const struct fleet *fleet,
					    const char *name)
{
	return g_hash_table_lookup(fleet->instances, name);
}

const struct fleet_pool *fleet_pool(const struct fleet *fleet, const char *name)
{
	return g_hash_table_lookup(fleet->pools, name);
}

const struct fleet_entry *fleet_entry(const struct fleet *fleet,
				      const char *name)
{
	return g_hash_table_lookup(fleet->entries, name);
}

const struct fleet_claim *fleet_claim(const struct fleet *fleet,
				      const char *key)
{
	return g_hash_table_lookup(fleet->claims, key);
}

const struct fleet_wave *fleet_wave(const struct fleet *fleet, const char *name)
{
	return g_hash_table_lookup(fleet->waves, name);
}

const struct fleet_job *fleet_job(const struct fleet *fleet, const char *name)
{
	return g_hash_table_lookup(fleet->jobs, name);
}

const struct decl_member *fleet_member(const struct fleet *fleet,
				       const char *name)
{
	for (guint i = 0; i < fleet->member_list->len; i++) {
		const struct decl_member *member = fleet->member_list->pdata[i];

		if (!strcmp(member->name, name))
			return member;
	}
	return NULL;
}

const struct decl_service *fleet_service(const struct fleet *fleet,
					 const char *name)
{
	for (guint i = 0; i < fleet->service_list->len; i++) {
		const struct decl_service *service =
			fleet->service_list->pdata[i];

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}

static bool path_matches(const char *prefix, const char *path)
{
	size_t length_bytes = strlen(prefix);

	if (strncmp(prefix, path, length_bytes) != 0)
		return false;
	if (length_bytes && prefix[length_bytes - 1] == '/')
		return true;
	return strchr("/?", path[length_bytes]) != NULL;
}

const struct decl_service *fleet_find_service_by_path(const struct fleet *fleet,
						      const char *path)
{
	const struct decl_service *best = NULL;

	for (guint i = 0; i < fleet->service_list->len; i++) {
		const struct decl_service *service =
			fleet->service_list->pdata[i];

		if (!path_matches(service->path, path))
			continue;
		if (!best || strlen(service->path) > strlen(best->path))
			best = service;
	}
	return best;
}

const struct decl *fleet_file(const struct fleet *fleet, const char *file,
			      uint64_t *offset)
{
	const struct fleet_file *found =
		g_hash_table_lookup(fleet->files, file);

	if (offset)
		*offset = found ? found->offset : 0;
	return found ? found->decl : NULL;
}

const GPtrArray *fleet_instances(const struct fleet *fleet)
{
	return fleet->instance_list;
}

const GPtrArray *fleet_pools(const struct fleet *fleet)
{
	return fleet->pool_list;
}

const GPtrArray *fleet_entries(const struct fleet *fleet)
{
	return fleet->entry_list;
}

const GPtrArray *fleet_services(const struct fleet *fleet)
{
	return fleet->service_list;
}

const GPtrArray *fleet_members(const struct fleet *fleet)
{
	return fleet->member_list;
}

const GPtrArray *fleet_waves(const struct fleet *fleet)
{
	return fleet->wave_list;
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Values of a table in order of its keys. */
static GPtrArray *sorted_values(GHashTable *table)
{
	GPtrArray *sorted = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(sorted, key);
	g_ptr_array_sort(sorted, compare_keys);
	for (guint i = 0; i < sorted->len; i++)
		sorted->pdata[i] = g_hash_table_lookup(table, sorted->pdata[i]);
	return sorted;
}

GPtrArray *fleet_jobs(const struct fleet *fleet)
{
	return sorted_values(fleet->jobs);
}

GPtrArray *fleet_claims(const struct fleet *fleet)
{
	return sorted_values(fleet->claims);
}

GPtrArray *fleet_files(const struct fleet *fleet)
{
	GPtrArray *files = sorted_values(fleet->files);

	for (guint i = 0; i < files->len; i++)
		files->pdata[i] = ((struct fleet_file *)files->pdata[i])->name;
	return files;
}

int64_t fleet_longest_timeout_us(const struct fleet *fleet)
{
	return fleet->longest_timeout_us;
}

const char *instance_phase_name(enum instance_phase phase)
{
	return phase <= INSTANCE_REMOVED ? phase_names[phase] : "unknown";
}
