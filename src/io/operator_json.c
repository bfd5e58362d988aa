#include "io/operator_json.h"

#include <string.h>

#include "codec/decl_yaml.h"

static json_t *integer_json(uint64_t value)
{
	return json_integer((json_int_t)value);
}

/* Truncated text may end inside a UTF-8 character. */
static json_t *text_json(const char *text)
{
	gchar *valid = g_utf8_make_valid(text, -1);
	json_t *json = json_string(valid);

	g_free(valid);
	return json;
}

/* Status */

static json_t *lease_json(const struct fleet *fleet)
{
	const struct fleet_lease *lease = fleet_lease(fleet);

	return json_pack("{s:s, s:o, s:o}", "holder", lease->holder,
			 "incarnation", integer_json(lease->incarnation),
			 "token", integer_json(lease->token));
}

static json_t *entries_json(const struct fleet *fleet)
{
	const GPtrArray *entries = fleet_entries(fleet);
	json_t *list = json_array();

	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:o, s:s, s:s, s:s, s:s, s:o}", "name",
				  entry->decl.name, "incarnation",
				  integer_json(entry->decl.incarnation), "dc",
				  entry->decl.dc, "caller_address",
				  entry->decl.caller_address,
				  "operator_address",
				  entry->decl.operator_address, "peer_address",
				  entry->decl.peer_address, "join_offset",
				  integer_json(entry->join_offset)));
	}
	return list;
}

static json_t *files_json(const struct fleet *fleet)
{
	GPtrArray *names = fleet_files(fleet);
	json_t *list = json_array();

	for (guint i = 0; i < names->len; i++) {
		uint64_t offset = 0;

		fleet_file(fleet, names->pdata[i], &offset);
		json_array_append_new(list, json_pack("{s:s, s:o}", "name",
						      names->pdata[i], "offset",
						      integer_json(offset)));
	}
	g_ptr_array_unref(names);
	return list;
}

static json_t *endpoint_json(struct kernel *kernel, const char *name)
{
	const struct endpoint_state *state =
		endpoint_table_find(kernel_endpoints(kernel), name);

	if (!state)
		return json_null();
	return json_pack("{s:o, s:o, s:b, s:b, s:b, s:o}", "allowed",
			 integer_json(state->allowed_count), "in_flight",
			 integer_json(state->in_flight_count), "leaving",
			 (int)state->leaving, "ejected", (int)state->ejected,
			 "probing", (int)state->probing, "latency_us",
			 integer_json((uint64_t)state->latency_us));
}

static json_t *instance_json(struct kernel *kernel,
			     const struct fleet_instance *instance)
{
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:b, s:o, s:s, s:s, s:o, s:o, s:o}",
		"name", instance->decl.name, "address", instance->decl.address,
		"dc", instance->decl.dc, "rack", instance->decl.rack, "phase",
		instance_phase_name(instance->phase), "down",
		(int)instance->down, "slots",
		integer_json(instance->decl.slot_count), "to_pool",
		instance->to_pool, "wave", instance->wave, "drain_offset",
		integer_json(instance->drain_offset), "changed_offset",
		integer_json(instance->changed_offset), "endpoint",
		endpoint_json(kernel, instance->decl.name));
}

static json_t *pool_json(struct kernel *kernel, const struct fleet_pool *pool)
{
	const struct pool_state *state =
		endpoint_table_pool(kernel_endpoints(kernel), pool->decl.name);
	json_t *instances = json_array();

	for (guint i = 0; i < pool->instances->len; i++)
		json_array_append_new(
			instances,
			instance_json(kernel, pool->instances->pdata[i]));
	return json_pack(
		"{s:s, s:s, s:b, s:b, s:o, s:o, s:o, s:o, s:o, s:o, s:o}",
		"name", pool->decl.name, "member", pool->decl.member, "spare",
		(int)pool->decl.spare, "lend", (int)pool->decl.lend, "declared",
		integer_json(pool->declared_count), "unavailable",
		integer_json(pool->unavailable_count), "max_unavailable",
		integer_json(pool->decl.max_unavailable_count), "min_available",
		integer_json(pool->min_available_count), "queued",
		integer_json(state->queued_count), "wait_us",
		integer_json((uint64_t)state->wait_us), "instances", instances);
}

static json_t *pools_json(struct kernel *kernel)
{
	const GPtrArray *pools = fleet_pools(kernel_fleet(kernel));
	json_t *list = json_array();

	for (guint i = 0; i < pools->len; i++)
		json_array_append_new(list, pool_json(kernel, pools->pdata[i]));
	return list;
}

static json_t *waves_json(const struct fleet *fleet)
{
	const GPtrArray *waves = fleet_waves(fleet);
	json_t *list = json_array();

	for (guint i = 0; i < waves->len; i++) {
		const struct fleet_wave *wave = waves->pdata[i];
		json_t *pools = json_array();

		for (guint k = 0; k < wave->decl.pools->len; k++)
			json_array_append_new(
				pools, json_string(wave->decl.pools->pdata[k]));
		json_array_append_new(
			list,
			json_pack("{s:s, s:o, s:o, s:o, s:b, s:o}", "name",
				  wave->decl.name, "pools", pools, "parallel",
				  integer_json(wave->decl.parallel_count),
				  "done",
				  integer_json(g_hash_table_size(wave->done)),
				  "halted", (int)wave->halted, "halt_offset",
				  integer_json(wave->halt_offset)));
	}
	return list;
}

static json_t *jobs_json(const struct fleet *fleet)
{
	GPtrArray *jobs = fleet_jobs(fleet);
	json_t *list = json_array();

	for (guint i = 0; i < jobs->len; i++) {
		const struct fleet_job *job = jobs->pdata[i];

		json_array_append_new(
			list, json_pack("{s:s, s:s, s:s, s:s, s:o}", "name",
					job->decl.job, "pool", job->decl.pool,
					"state", job_state_name(job->state),
					"instance", job->instance, "reason",
					text_json(job->reason)));
	}
	g_ptr_array_unref(jobs);
	return list;
}

json_t *operator_status_json(struct kernel *kernel, bool draining)
{
	const struct fleet *fleet = kernel_fleet(kernel);
	const struct settings *settings = kernel_settings(kernel);

	return json_pack(
		"{s:s, s:s, s:o, s:b, s:o, s:o, s:o, s:o, s:o, s:o, s:o, s:o}",
		"entry", settings->entry, "dc", settings->dc, "incarnation",
		integer_json(kernel_incarnation(kernel)), "draining",
		(int)draining, "offset", integer_json(fleet_offset(fleet)),
		"requests",
		integer_json(request_count(kernel_requests(kernel))), "lease",
		lease_json(fleet), "entries", entries_json(fleet), "files",
		files_json(fleet), "pools", pools_json(kernel), "waves",
		waves_json(fleet), "jobs", jobs_json(fleet));
}

/* Timeline */

static bool matches_filter(const struct timeline_entry *entry,
			   const struct timeline_filter *filter)
{
	if (filter->request_id && entry->request_id != filter->request_id)
		return false;
	if (filter->offset && entry->offset != filter->offset)
		return false;
	if (filter->instance && strcmp(entry->instance, filter->instance) != 0)
		return false;
	return !filter->pool || !strcmp(entry->pool, filter->pool);
}

static json_t *timeline_entry_json(const struct timeline_entry *entry)
{
	return json_pack("{s:o, s:s, s:o, s:o, s:s, s:s, s:o}", "hlc",
			 integer_json(entry->hlc), "kind",
			 timeline_kind_name(entry->kind), "request",
			 integer_json(entry->request_id), "offset",
			 integer_json(entry->offset), "instance",
			 entry->instance, "pool", entry->pool, "text",
			 text_json(entry->text));
}

json_t *operator_timeline_json(struct kernel *kernel,
			       const struct timeline_filter *filter)
{
	const struct timeline *timeline = kernel_timeline(kernel);
	uint32_t count = timeline_count(timeline);
	json_t *list = json_array();

	for (uint32_t i = 0; i < count; i++) {
		const struct timeline_entry *entry = timeline_get(timeline, i);

		if (matches_filter(entry, filter))
			json_array_append_new(list, timeline_entry_json(entry));
	}
	return json_pack("{s:s, s:o, s:o}", "process",
			 timeline_process(timeline), "lost",
			 integer_json(timeline_lost_count(timeline)), "entries",
			 list);
}

/* Apply */

json_t *operator_errors_json(const GPtrArray *errors)
{
	json_t *reasons = json_array();

	for (guint i = 0; i < errors->len; i++)
		json_array_append_new(reasons, text_json(errors->pdata[i]));
	return json_pack("{s:s, s:o}", "outcome", "rejected", "reasons",
			 reasons);
}

static json_t *apply_file_json(const struct apply_file *file)
{
	json_t *json =
		json_pack("{s:s, s:s, s:o}", "name", file->name, "outcome",
			  apply_outcome_name(file->outcome), "base_offset",
			  integer_json(file->base_offset));

	if (file->outcome == APPLY_ACCEPTED)
		json_object_set_new(json, "offset", integer_json(file->offset));
	if (file->reason[0])
		json_object_set_new(json, "reason", text_json(file->reason));
	return json;
}

json_t *operator_apply_json(const struct apply *apply)
{
	const GPtrArray *files = apply_files(apply);
	enum apply_outcome outcome = apply_outcome(apply);
	json_t *list = json_array();
	json_t *json;

	for (guint i = 0; i < files->len; i++)
		json_array_append_new(list, apply_file_json(files->pdata[i]));
	json = json_pack("{s:s, s:o}", "outcome", apply_outcome_name(outcome),
			 "files", list);
	if (files->len > 1)
		json_object_set_new(
			json, "note",
			json_string("each file is one change; they are made "
				    "in this order up to the first that is "
				    "not accepted"));
	if (outcome == APPLY_UNKNOWN)
		json_object_set_new(
			json, "ask_again",
			json_string("GET /v1/status lists the offset of each "
				    "file; applying a file again with the "
				    "same base_offset is safe: it is a "
				    "conflict if the first one took effect"));
	return json;
}

static json_t *dry_run_file_json(const struct apply_file *file,
				 const struct fleet *fleet)
{
	const struct decl *current = fleet_file(fleet, file->name, NULL);
	const char *change = "remove";
	gsize size_bytes = 0;
	const char *text = "";

	if (file->decl)
		change = current ? "replace" : "add";
	if (current && current->source)
		text = g_bytes_get_data(current->source, &size_bytes);
	return json_pack("{s:s, s:s, s:o, s:s%}", "name", file->name, "change",
			 change, "base_offset", integer_json(file->base_offset),
			 "current", text ? text : "", size_bytes);
}

json_t *operator_dry_run_json(const struct apply *apply,
			      const struct fleet *fleet)
{
	const GPtrArray *files = apply_files(apply);
	json_t *list = json_array();

	for (guint i = 0; i < files->len; i++)
		json_array_append_new(
			list, dry_run_file_json(files->pdata[i], fleet));
	return json_pack("{s:s, s:b, s:o}", "outcome", "valid", "dry_run", 1,
			 "files", list);
}

static void add_error(GPtrArray *errors, const char *where, const char *text)
{
	g_ptr_array_add(errors, g_strdup_printf("%s: %s", where, text));
}

static bool is_valid_file_name(const char *name)
{
	size_t length = strlen(name);

	if (!length || length >= NAME_SIZE_BYTES)
		return false;
	return strspn(name, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			    "abcdefghijklmnopqrstuvwxyz"
			    "0123456789._-") == length;
}

static void parse_file(const json_t *item, struct apply *apply,
		       GPtrArray *errors)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const json_t *text = json_object_get(item, "text");
	const json_t *base = json_object_get(item, "base_offset");
	const json_t *removal = json_object_get(item, "remove");
	uint64_t base_offset = (uint64_t)json_integer_value(base);
	struct decl *decl = NULL;

	if (!name || !is_valid_file_name(name)) {
		add_error(errors, "files: name",
			  "expected 1 to 63 letters, digits, '.', '_' or '-'");
		return;
	}
	if (removal && !json_is_boolean(removal))
		add_error(errors, name, "remove: expected true or false");
	if (base && (!json_is_integer(base) || json_integer_value(base) < 0))
		add_error(errors, name, "base_offset: expected an offset");
	if (json_is_true(removal) == json_is_string(text)) {
		add_error(errors, name,
			  "expected either \"text\" or \"remove\": true");
		return;
	}
	if (json_is_string(text)) {
		decl = decl_parse(name, json_string_value(text),
				  json_string_length(text), false, errors);
		if (!decl)
			return;
	}
	if (!apply_add(apply, name, decl, base ? &base_offset : NULL))
		add_error(errors, name, "is given twice");
}

static void parse_apply(const json_t *json, struct apply *apply, bool *dry_run,
			GPtrArray *errors)
{
	const json_t *files = json_object_get(json, "files");
	const json_t *dry = json_object_get(json, "dry_run");

	if (!json_array_size(files))
		add_error(errors, "files", "expected a list of files");
	if (dry && !json_is_boolean(dry))
		add_error(errors, "dry_run", "expected true or false");
	for (size_t i = 0; i < json_array_size(files); i++)
		parse_file(json_array_get(files, i), apply, errors);
	*dry_run = json_is_true(dry);
}

void operator_apply_parse(GBytes *body, struct apply *apply, bool *dry_run,
			  GPtrArray *errors)
{
	gsize size_bytes = 0;
	const char *text = body ? g_bytes_get_data(body, &size_bytes) : "";
	json_error_t error;
	json_t *json =
		json_loadb(text, size_bytes, JSON_REJECT_DUPLICATES, &error);

	if (!json)
		g_ptr_array_add(errors,
				g_strdup_printf("body:%d: JSON: %s", error.line,
						error.text));
	else
		parse_apply(json, apply, dry_run, errors);
	json_decref(json);
}
