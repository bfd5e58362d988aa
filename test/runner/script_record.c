/* Commands that propose records. */

#include "codec/decl_yaml.h"
#include "runner/script.h"

static struct decl *load_decl(struct script *script, const char *file)
{
	char *path = g_build_filename(script->dir, file, NULL);
	struct decl *decl = NULL;
	gsize size_bytes;
	gchar *text;

	if (g_file_get_contents(path, &text, &size_bytes, NULL)) {
		decl = decl_parse(file, text, size_bytes, false,
				  script->errors);
		g_free(text);
	} else {
		script_fail(script, "%s can't be read", path);
	}
	g_free(path);
	return decl;
}

/* apply NODE FILE [as=NAME] [base=OFFSET]: proposes a declaration file. */
static void cmd_apply(struct script *script)
{
	struct node *node = script_node(script, 1);
	const char *name = script_option(script, "as");
	struct event event = { .type = EVENT_PROPOSE };
	struct record *record;
	uint64_t base_offset;

	if (!node || !node->kernel)
		return;
	record = record_new(RECORD_CONFIG_PUT);
	record->config.decl = load_decl(script, script_word(script, 2));
	if (!record->config.decl) {
		record_unref(record);
		return;
	}
	name = name ? name : script_word(script, 2);
	name_copy(record->config.file, NAME_SIZE_BYTES, name);
	fleet_file(kernel_fleet(node->kernel), name, &base_offset);
	record->config.base_offset = script_number(script, "base", base_offset);
	event.record.record = record;
	world_inject(script->world, node, &event);
}

static void fill_instance(struct script *script, struct record *record,
			  uint64_t token)
{
	struct record_instance *body = &record->instance;

	script_copy_option(script, "instance", body->instance, NAME_SIZE_BYTES);
	script_copy_option(script, "to", body->to_pool, NAME_SIZE_BYTES);
	script_copy_option(script, "wave", body->wave, NAME_SIZE_BYTES);
	body->token = script_number(script, "token", token);
	body->drain_offset = script_number(script, "drain", 0);
	body->failed = script_option(script, "failed") != NULL;
}

static void fill_job(struct script *script, struct record *record,
		     uint64_t token)
{
	struct record_job *body = &record->job;

	script_copy_option(script, "job", body->job, NAME_SIZE_BYTES);
	script_copy_option(script, "member", body->member, NAME_SIZE_BYTES);
	script_copy_option(script, "pool", body->pool, NAME_SIZE_BYTES);
	script_copy_option(script, "instance", body->instance, NAME_SIZE_BYTES);
	script_copy_option(script, "reason", body->reason, REASON_SIZE_BYTES);
	body->declared_slots_count =
		(uint32_t)script_number(script, "slots", 1);
	body->token = script_number(script, "token", token);
	body->succeeded = script_option(script, "succeeded") != NULL;
	body->checkpointed = script_option(script, "checkpointed") != NULL;
}

/* propose NODE KIND key=value ...: any record, also stale or invalid ones */
static void cmd_propose(struct script *script)
{
	struct node *node = script_node(script, 1);
	enum record_kind kind = record_kind_from_name(script_word(script, 2));
	struct event event = { .type = EVENT_PROPOSE };
	struct record *record;
	uint64_t token;

	if (!node || !node->kernel)
		return;
	record = record_new(kind);
	token = fleet_lease(kernel_fleet(node->kernel))->token;
	if (kind >= RECORD_MOVE_START && kind <= RECORD_INSTANCE_UP) {
		fill_instance(script, record, token);
	} else if (kind >= RECORD_JOB_SUBMIT && kind <= RECORD_JOB_SET_ASIDE) {
		fill_job(script, record, token);
	} else if (kind == RECORD_LEASE_CLAIM || kind == RECORD_LEASE_RENEW) {
		record->lease.token = script_number(script, "token", token);
	} else if (kind == RECORD_ENTRY_GONE || kind == RECORD_ENTRY_LEAVE) {
		script_copy_option(script, "entry", record->entry.name,
				   NAME_SIZE_BYTES);
		record->entry.incarnation =
			script_number(script, "incarnation", 1);
	} else if (kind == RECORD_CONFIG_REMOVE) {
		script_copy_option(script, "file", record->config.file,
				   NAME_SIZE_BYTES);
		fleet_file(kernel_fleet(node->kernel), record->config.file,
			   &record->config.base_offset);
		record->config.base_offset = script_number(
			script, "base", record->config.base_offset);
	} else {
		script_fail(script, "can't propose a record of kind \"%s\"",
			    script_word(script, 2));
	}
	event.record.record = record;
	world_inject(script->world, node, &event);
}

static const struct script_command commands[] = {
	{ "apply", 2, cmd_apply },
	{ "propose", 2, cmd_propose },
};

SCRIPT_REGISTER(commands)
