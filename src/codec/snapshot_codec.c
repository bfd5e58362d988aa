#include "codec/snapshot_codec.h"

#include <string.h>
#include <xxhash.h>

#include "codec/proto/snapshot.pb-c.h"
#include "codec/record_body.h"
#include "core/fleet_state.h"
#include "core/state_codec.h"
#include "kernel/plugin.h"

#define SNAPSHOT_VERSION 1
#define SNAPSHOT_END 1

/* Memory of a packed message, freed once the message has been serialised. */
struct arena {
	GPtrArray *blocks; /* allocated with g_malloc(), owned */
};

static gpointer arena_add(struct arena *arena, gpointer block)
{
	g_ptr_array_add(arena->blocks, block);
	return block;
}

/* Allocates count messages of size_bytes each; returns pointers to them. */
static gpointer *new_messages(struct arena *arena, guint count,
			      size_t size_bytes)
{
	gpointer *list = arena_add(arena, g_new0(gpointer, count + 1));
	char *messages = arena_add(arena, g_malloc0_n(count + 1, size_bytes));

	for (guint i = 0; i < count; i++)
		list[i] = messages + i * size_bytes;
	return list;
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Keys of a table in ascending order; the arena owns the array. */
static char **sorted_keys(struct arena *arena, GHashTable *table)
{
	guint count;
	char **keys = (char **)arena_add(
		arena, g_hash_table_get_keys_as_array(table, &count));

	if (count)
		qsort(keys, count, sizeof(*keys), compare_keys);
	return keys;
}

static void pack_files(struct arena *arena, Pl__Snapshot *to,
		       const struct fleet *fleet)
{
	char **names = sorted_keys(arena, fleet->files);

	to->n_files = g_hash_table_size(fleet->files);
	to->files = (Pl__StateFile **)new_messages(arena, to->n_files,
						   sizeof(Pl__StateFile));
	for (size_t i = 0; i < to->n_files; i++) {
		const struct fleet_file *file =
			g_hash_table_lookup(fleet->files, names[i]);

		pl__state_file__init(to->files[i]);
		to->files[i]->name = (char *)file->name;
		to->files[i]->offset = file->offset;
		to->files[i]->source = body_pack_source(file->decl);
	}
}

static void pack_removed_instance(struct arena *arena, Pl__StateInstance *to,
				  const struct decl_instance *from)
{
	Pl__StateDecl *decl = arena_add(arena, g_new0(Pl__StateDecl, 1));

	pl__state_decl__init(decl);
	decl->address = (char *)from->address;
	decl->dc = (char *)from->dc;
	decl->rack = (char *)from->rack;
	decl->pool = (char *)from->pool;
	decl->slot_count = from->slot_count;
	to->decl = decl;
}

static void pack_instances(struct arena *arena, Pl__Snapshot *to,
			   const struct fleet *fleet)
{
	char **names = sorted_keys(arena, fleet->instances);

	to->n_instances = g_hash_table_size(fleet->instances);
	to->instances = (Pl__StateInstance **)new_messages(
		arena, to->n_instances, sizeof(Pl__StateInstance));
	for (size_t i = 0; i < to->n_instances; i++) {
		const struct fleet_instance *from =
			g_hash_table_lookup(fleet->instances, names[i]);
		Pl__StateInstance *instance = to->instances[i];

		pl__state_instance__init(instance);
		instance->name = (char *)from->decl.name;
		instance->pool = (char *)from->pool;
		instance->phase = from->phase;
		instance->down = from->down;
		instance->drain_offset = from->drain_offset;
		instance->to_pool = (char *)from->to_pool;
		instance->wave = (char *)from->wave;
		instance->n_acks = from->acks->len;
		instance->acks = (char **)from->acks->pdata;
		instance->changed_offset = from->changed_offset;
		if (from->phase == INSTANCE_REMOVED)
			pack_removed_instance(arena, instance, &from->decl);
	}
}

static void pack_entries(struct arena *arena, Pl__Snapshot *to,
			 const struct fleet *fleet)
{
	char **names = sorted_keys(arena, fleet->entries);

	to->n_entries = g_hash_table_size(fleet->entries);
	to->entries = (Pl__StateEntry **)new_messages(arena, to->n_entries,
						      sizeof(Pl__StateEntry));
	for (size_t i = 0; i < to->n_entries; i++) {
		const struct fleet_entry *from =
			g_hash_table_lookup(fleet->entries, names[i]);
		Pl__StateEntry *entry = to->entries[i];

		pl__state_entry__init(entry);
		entry->decl = arena_add(arena, g_new0(Pl__EntryBody, 1));
		body_pack_entry(entry->decl, &from->decl);
		entry->join_offset = from->join_offset;
		entry->last_sequence = from->last_sequence;
	}
}

static void pack_fences(struct arena *arena, Pl__Snapshot *to,
			const struct fleet *fleet)
{
	char **names = sorted_keys(arena, fleet->fences);

	to->n_fences = g_hash_table_size(fleet->fences);
	to->fences = (Pl__StateFence **)new_messages(arena, to->n_fences,
						     sizeof(Pl__StateFence));
	for (size_t i = 0; i < to->n_fences; i++) {
		const struct fleet_fence *from =
			g_hash_table_lookup(fleet->fences, names[i]);

		pl__state_fence__init(to->fences[i]);
		to->fences[i]->name = (char *)from->name;
		to->fences[i]->incarnation = from->incarnation;
		to->fences[i]->offset = from->offset;
	}
}

static void pack_waves(struct arena *arena, Pl__Snapshot *to,
		       const struct fleet *fleet)
{
	char **names = sorted_keys(arena, fleet->waves);

	to->n_waves = g_hash_table_size(fleet->waves);
	to->waves = (Pl__StateWave **)new_messages(arena, to->n_waves,
						   sizeof(Pl__StateWave));
	for (size_t i = 0; i < to->n_waves; i++) {
		const struct fleet_wave *from =
			g_hash_table_lookup(fleet->waves, names[i]);
		Pl__StateWave *wave = to->waves[i];

		pl__state_wave__init(wave);
		wave->name = (char *)from->decl.name;
		wave->n_done = g_hash_table_size(from->done);
		wave->done = sorted_keys(arena, from->done);
		wave->recent_failures = from->recent_failures;
		wave->halted = from->halted;
		wave->halt_offset = from->halt_offset;
	}
}

static void pack_claims(struct arena *arena, Pl__Snapshot *to,
			const struct fleet *fleet)
{
	const GList *at = fleet->claim_order->head;

	to->n_claims = fleet->claim_order->length;
	to->claims = (Pl__StateClaim **)new_messages(arena, to->n_claims,
						     sizeof(Pl__StateClaim));
	for (size_t i = 0; at; i++, at = at->next) {
		const struct fleet_claim *from = at->data;
		Pl__StateClaim *claim = to->claims[i];

		pl__state_claim__init(claim);
		claim->key = (char *)from->key;
		claim->service = (char *)from->service;
		claim->entry = (char *)from->entry;
		claim->incarnation = from->incarnation;
		claim->request_id = from->request_id;
		claim->offset = from->offset;
		claim->verdict = from->verdict;
		claim->status = from->status;
	}
}

static void pack_jobs(struct arena *arena, Pl__Snapshot *to,
		      const struct fleet *fleet)
{
	char **names = sorted_keys(arena, fleet->jobs);

	to->n_jobs = g_hash_table_size(fleet->jobs);
	to->jobs = (Pl__StateJob **)new_messages(arena, to->n_jobs,
						 sizeof(Pl__StateJob));
	for (size_t i = 0; i < to->n_jobs; i++) {
		const struct fleet_job *from =
			g_hash_table_lookup(fleet->jobs, names[i]);
		Pl__StateJob *job = to->jobs[i];

		pl__state_job__init(job);
		job->decl = arena_add(arena, g_new0(Pl__JobBody, 1));
		body_pack_job(job->decl, &from->decl);
		job->state = from->state;
		job->instance = (char *)from->instance;
		job->n_failed_on = from->failed_on->len;
		job->failed_on = (char **)from->failed_on->pdata;
		job->attempt_count = from->attempt_count;
		job->changed_offset = from->changed_offset;
		job->reason = (char *)from->reason;
	}
}

GBytes *snapshot_encode(const struct fleet *fleet)
{
	struct arena arena = {
		.blocks = g_ptr_array_new_with_free_func(g_free),
	};
	Pl__StateLease lease = PL__STATE_LEASE__INIT;
	Pl__Snapshot to = PL__SNAPSHOT__INIT;
	GBytes *bytes;

	to.version = SNAPSHOT_VERSION;
	to.offset = fleet->offset;
	to.wall_us = fleet->wall_us;
	lease.holder = (char *)fleet->lease.holder;
	lease.incarnation = fleet->lease.incarnation;
	lease.token = fleet->lease.token;
	to.lease = &lease;
	pack_files(&arena, &to, fleet);
	pack_instances(&arena, &to, fleet);
	pack_entries(&arena, &to, fleet);
	pack_fences(&arena, &to, fleet);
	pack_waves(&arena, &to, fleet);
	pack_claims(&arena, &to, fleet);
	pack_jobs(&arena, &to, fleet);
	to.end = SNAPSHOT_END;
	bytes = body_serialise(&to.base);
	g_ptr_array_unref(arena.blocks);
	return bytes;
}

/* Names must be in strictly ascending order, so that none occurs twice. */
static bool is_ascending(const char *before, const char *name)
{
	return !before || strcmp(before, name) < 0;
}

static bool unpack_files(struct fleet *fleet, const Pl__Snapshot *from)
{
	GPtrArray *decls = g_ptr_array_new();
	bool valid = true;

	for (size_t i = 0; valid && i < from->n_files; i++) {
		struct fleet_file *file = g_new0(struct fleet_file, 1);

		valid = body_copy_name(file->name, sizeof(file->name),
				       from->files[i]->name) &&
			is_ascending(i ? from->files[i - 1]->name : NULL,
				     file->name);
		if (valid)
			file->decl = body_unpack_source(
				file->name, &from->files[i]->source);
		if (!file->decl) {
			g_free(file);
			valid = false;
			break;
		}
		file->offset = from->files[i]->offset;
		g_hash_table_insert(fleet->files, file->name, file);
		g_ptr_array_add(decls, file->decl);
	}
	/* The files must also be consistent with each other. */
	valid = valid && decl_check(decls, NULL);
	g_ptr_array_unref(decls);
	return valid;
}

static bool unpack_names(GPtrArray *to, char **from, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		char name[NAME_SIZE_BYTES];

		if (!body_copy_name(name, sizeof(name), from[i]))
			return false;
		g_ptr_array_add(to, g_strdup(name));
	}
	return true;
}

static bool unpack_removed_instance(struct decl_instance *to,
				    const Pl__StateDecl *from)
{
	to->slot_count = from->slot_count;
	return body_copy_text(to->address, sizeof(to->address),
			      from->address) &&
	       body_copy_text(to->dc, sizeof(to->dc), from->dc) &&
	       body_copy_text(to->rack, sizeof(to->rack), from->rack) &&
	       body_copy_text(to->pool, sizeof(to->pool), from->pool);
}

static gint compare_instances(gconstpointer a, gconstpointer b)
{
	const struct fleet_instance *const *left = a;
	const struct fleet_instance *const *right = b;

	return strcmp((*left)->decl.name, (*right)->decl.name);
}

/*
 * Finds an instance that the files declare, or adds one that has been removed
 * from them. Returns NULL if its phase contradicts the files.
 */
static struct fleet_instance *
find_or_add_instance(struct fleet *fleet, const Pl__StateInstance *from)
{
	struct fleet_instance *instance =
		g_hash_table_lookup(fleet->instances, from->name);
	char name[NAME_SIZE_BYTES];

	if (!!instance == (from->phase == INSTANCE_REMOVED))
		return NULL;
	if (instance)
		return instance;
	if (!from->decl || !body_copy_name(name, sizeof(name), from->name))
		return NULL;
	instance = fleet_instance_new();
	name_copy(instance->decl.name, sizeof(instance->decl.name), name);
	g_hash_table_insert(fleet->instances, instance->decl.name, instance);
	g_ptr_array_add(fleet->instance_list, instance);
	if (!unpack_removed_instance(&instance->decl, from->decl))
		return NULL;
	return instance;
}

static bool unpack_instance(struct fleet_instance *to,
			    const Pl__StateInstance *from)
{
	to->phase = (enum instance_phase)from->phase;
	to->down = from->down;
	to->drain_offset = from->drain_offset;
	to->changed_offset = from->changed_offset;
	return body_copy_text(to->pool, sizeof(to->pool), from->pool) &&
	       body_copy_text(to->to_pool, sizeof(to->to_pool),
			      from->to_pool) &&
	       body_copy_text(to->wave, sizeof(to->wave), from->wave) &&
	       unpack_names(to->acks, from->acks, from->n_acks);
}

/*
 * Runs after fleet_rebuild_derived(), which has created the instances that the
 * files declare and would drop those that they no longer declare.
 */
static bool unpack_instances(struct fleet *fleet, const Pl__Snapshot *from)
{
	for (size_t i = 0; i < from->n_instances; i++) {
		const Pl__StateInstance *item = from->instances[i];
		struct fleet_instance *instance;

		if (!is_ascending(i ? from->instances[i - 1]->name : NULL,
				  item->name) ||
		    item->phase > INSTANCE_REMOVED)
			return false;
		instance = find_or_add_instance(fleet, item);
		if (!instance || !unpack_instance(instance, item))
			return false;
	}
	if (g_hash_table_size(fleet->instances) != from->n_instances)
		return false;
	g_ptr_array_sort(fleet->instance_list, compare_instances);
	fleet_rebuild_pools(fleet);
	return true;
}

static bool unpack_entries(struct fleet *fleet, const Pl__Snapshot *from)
{
	for (size_t i = 0; i < from->n_entries; i++) {
		const Pl__StateEntry *item = from->entries[i];
		struct fleet_entry *entry = g_new0(struct fleet_entry, 1);

		if (!item->decl ||
		    !body_unpack_entry(&entry->decl, item->decl) ||
		    !is_ascending(i ? from->entries[i - 1]->decl->name : NULL,
				  entry->decl.name)) {
			g_free(entry);
			return false;
		}
		entry->join_offset = item->join_offset;
		entry->last_sequence = item->last_sequence;
		g_hash_table_insert(fleet->entries, entry->decl.name, entry);
		g_ptr_array_add(fleet->entry_list, entry);
	}
	return true;
}

static bool unpack_fences(struct fleet *fleet, const Pl__Snapshot *from)
{
	for (size_t i = 0; i < from->n_fences; i++) {
		const Pl__StateFence *item = from->fences[i];
		struct fleet_fence *fence = g_new0(struct fleet_fence, 1);

		if (!body_copy_name(fence->name, sizeof(fence->name),
				    item->name) ||
		    !is_ascending(i ? from->fences[i - 1]->name : NULL,
				  fence->name)) {
			g_free(fence);
			return false;
		}
		fence->incarnation = item->incarnation;
		fence->offset = item->offset;
		g_hash_table_insert(fleet->fences, fence->name, fence);
	}
	return true;
}

/* Runs after fleet_rebuild_derived(), which has created the waves of the files.
 */
static bool unpack_waves(struct fleet *fleet, const Pl__Snapshot *from)
{
	if (g_hash_table_size(fleet->waves) != from->n_waves)
		return false;
	for (size_t i = 0; i < from->n_waves; i++) {
		const Pl__StateWave *item = from->waves[i];
		struct fleet_wave *wave =
			g_hash_table_lookup(fleet->waves, item->name);

		if (!wave || !is_ascending(i ? from->waves[i - 1]->name : NULL,
					   item->name))
			return false;
		for (size_t k = 0; k < item->n_done; k++) {
			char name[NAME_SIZE_BYTES];

			if (!body_copy_name(name, sizeof(name),
					    item->done[k]) ||
			    !is_ascending(k ? item->done[k - 1] : NULL, name))
				return false;
			g_hash_table_add(wave->done, g_strdup(name));
		}
		wave->recent_failures = item->recent_failures;
		wave->halted = item->halted;
		wave->halt_offset = item->halt_offset;
	}
	return true;
}

static bool unpack_claim(struct fleet_claim *to, const Pl__StateClaim *from)
{
	to->incarnation = from->incarnation;
	to->request_id = from->request_id;
	to->offset = from->offset;
	to->verdict = (enum verdict)from->verdict;
	to->status = from->status;
	return from->verdict < VERDICT_COUNT &&
	       body_copy_name(to->key, sizeof(to->key), from->key) &&
	       claim_key_wall_us(to->key, &to->key_wall_us) &&
	       body_copy_text(to->service, sizeof(to->service),
			      from->service) &&
	       body_copy_name(to->entry, sizeof(to->entry), from->entry);
}

static bool unpack_claims(struct fleet *fleet, const Pl__Snapshot *from)
{
	for (size_t i = 0; i < from->n_claims; i++) {
		struct fleet_claim *claim = g_new0(struct fleet_claim, 1);

		if (!unpack_claim(claim, from->claims[i]) ||
		    fleet_claim(fleet, claim->key)) {
			g_free(claim);
			return false;
		}
		fleet_claim_insert(fleet, claim);
	}
	return true;
}

static void count_job(struct fleet *fleet, const char *instance)
{
	guint count = fleet_instance_job_count(fleet, instance) + 1;

	g_hash_table_insert(fleet->job_counts, g_strdup(instance),
			    GUINT_TO_POINTER(count));
}

static bool unpack_job(struct fleet_job *to, const Pl__StateJob *from)
{
	to->state = (enum fleet_job_state)from->state;
	to->attempt_count = from->attempt_count;
	to->changed_offset = from->changed_offset;
	return from->state <= JOB_ASIDE && from->decl &&
	       body_unpack_job(&to->decl, from->decl) &&
	       body_copy_text(to->instance, sizeof(to->instance),
			      from->instance) &&
	       body_copy_text(to->reason, sizeof(to->reason), from->reason) &&
	       unpack_names(to->failed_on, from->failed_on, from->n_failed_on);
}

static bool unpack_jobs(struct fleet *fleet, const Pl__Snapshot *from)
{
	for (size_t i = 0; i < from->n_jobs; i++) {
		struct fleet_job *job = fleet_job_new();
		bool valid = unpack_job(job, from->jobs[i]) &&
			     !fleet_job(fleet, job->decl.job);

		if (!valid) {
			g_ptr_array_unref(job->failed_on);
			g_free(job);
			return false;
		}
		fleet_job_insert(fleet, job);
		if (job->instance[0])
			count_job(fleet, job->instance);
	}
	return true;
}

static const char *unpack_snapshot(struct fleet *fleet,
				   const Pl__Snapshot *from)
{
	if (from->version != SNAPSHOT_VERSION)
		return "snapshot has an unknown version";
	if (from->end != SNAPSHOT_END || !from->lease)
		return "snapshot is cut short";
	fleet->offset = from->offset;
	fleet->wall_us = from->wall_us;
	fleet->lease.incarnation = from->lease->incarnation;
	fleet->lease.token = from->lease->token;
	if (from->wall_us < 0 || from->wall_us > INT64_MAX / 2)
		return "snapshot has no valid time";
	if (!body_copy_text(fleet->lease.holder, sizeof(fleet->lease.holder),
			    from->lease->holder))
		return "snapshot has an invalid lease";
	if (!unpack_jobs(fleet, from))
		return "snapshot has invalid jobs";
	if (!unpack_files(fleet, from))
		return "snapshot has invalid declarations";
	fleet_rebuild_derived(fleet);
	if (!unpack_instances(fleet, from))
		return "snapshot has invalid instances";
	if (!unpack_entries(fleet, from) || !unpack_fences(fleet, from))
		return "snapshot has an invalid roster";
	if (!unpack_waves(fleet, from))
		return "snapshot has invalid waves";
	if (!unpack_claims(fleet, from))
		return "snapshot has invalid claims";
	return NULL;
}

struct fleet *snapshot_decode(GBytes *bytes, char reason[REASON_SIZE_BYTES])
{
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);
	Pl__Snapshot *from = pl__snapshot__unpack(NULL, size_bytes, data);
	const char *error = "snapshot is damaged";
	struct fleet *fleet = fleet_new();

	if (from) {
		error = unpack_snapshot(fleet, from);
		pl__snapshot__free_unpacked(from, NULL);
	}
	if (error) {
		g_strlcpy(reason, error, REASON_SIZE_BYTES);
		fleet_free(fleet);
		return NULL;
	}
	return fleet;
}

uint64_t snapshot_hash(GBytes *bytes)
{
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);

	return XXH3_64bits(data, size_bytes);
}

static const struct state_codec_ops codec_ops = {
	.encode = snapshot_encode,
	.decode = snapshot_decode,
	.hash = snapshot_hash,
};

static const struct plugin codec_plugin = {
	.name = "protobuf",
	.kind = PLUGIN_STATE_CODEC,
	.preferred = true,
	.ops = &codec_ops,
};

PLUGIN_REGISTER(codec_plugin)
