/* Commands on demand, jobs, tasks and instance lists, and print filters. */

#include <string.h>

#include "runner/script.h"

/* Records injected at a time; more would overflow the proposer's queue. */
#define BULK_COUNT 128
#define BULK_GAP_US (200 * USEC_PER_MSEC)

/* skip KIND ...: does not print records of these kinds. */
static void cmd_skip(struct script *script)
{
	for (uint32_t i = 1; i < script->word_count; i++) {
		enum record_kind kind = record_kind_from_name(script->words[i]);

		if (kind == RECORD_UNKNOWN)
			script_fail(script, "no record kind is called \"%s\"",
				    script->words[i]);
		else
			script->world->skipped_record_kinds |= UINT64_C(1)
							       << kind;
	}
}

/* from NODE|all: prints only events of this node. */
static void cmd_from(struct script *script)
{
	const char *name = script->words[1];

	name_copy(script->world->printed_node, NAME_SIZE_BYTES,
		  strcmp(name, "all") != 0 ? name : "");
}

/* demand NODE POOL SLOTS for=SECONDS: as heartbeats of a peer report it */
static void cmd_demand(struct script *script)
{
	struct node *node = script_running_node(script);
	uint32_t duration_s = (uint32_t)script_number(script, "for", 1);
	struct peer_pool_load load = {
		.demand_us_per_s = g_ascii_strtoll(script->words[3], NULL, 10) *
				   USEC_PER_SEC,
	};

	name_copy(load.pool, NAME_SIZE_BYTES, script->words[2]);
	for (uint32_t i = 0; node && i < duration_s; i++) {
		struct event event = { .type = EVENT_PEER_RECEIVED };

		event.peer.msg = peer_msg_new(PEER_MSG_HEARTBEAT);
		name_copy(event.peer.msg->from, NAME_SIZE_BYTES, "outside");
		name_copy(event.peer.msg->dc, NAME_SIZE_BYTES, "outside");
		name_copy(event.peer.peer, NAME_SIZE_BYTES, "outside");
		event.peer.msg->loads = g_array_new(FALSE, TRUE, sizeof(load));
		g_array_append_val(event.peer.msg->loads, load);
		world_schedule(script->world,
			       script->world->now_us + i * USEC_PER_SEC, node,
			       &event);
	}
}

/* off NAME ... and on NAME ...: whether the list shows these instances */
static void set_unlisted(struct script *script, bool unlisted)
{
	for (uint32_t i = 1; i < script->word_count; i++)
		world_endpoint(script->world, script->words[i])->unlisted =
			unlisted;
}

static void cmd_off(struct script *script)
{
	set_unlisted(script, true);
}

static void cmd_on(struct script *script)
{
	set_unlisted(script, false);
}

static void add_item(GArray *items, const char *name)
{
	struct instance_list_item item = { .state = LIST_LIVE };

	name_copy(item.name, NAME_SIZE_BYTES, name);
	g_array_append_val(items, item);
}

/* The platform's list: all running nodes, and instances that are up. */
static GArray *list_items(struct world *world, struct node *to,
			  int64_t reboot_us)
{
	GArray *items =
		g_array_new(FALSE, TRUE, sizeof(struct instance_list_item));
	const GPtrArray *instances = fleet_instances(kernel_fleet(to->kernel));

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		const struct endpoint *endpoint =
			world_endpoint(world, instance->decl.name);

		if (!endpoint->unlisted &&
		    (!endpoint->rebooted_us ||
		     world->now_us >= endpoint->rebooted_us + reboot_us))
			add_item(items, instance->decl.name);
	}
	for (guint i = 0; i < world->nodes->len; i++) {
		const struct node *node = world->nodes->pdata[i];

		if (node->kernel)
			add_item(items, node->name);
	}
	return items;
}

/* lists COUNT [reboot=SECONDS]: one list a second; how long a reboot takes */
static void cmd_lists(struct script *script)
{
	struct world *world = script->world;
	uint64_t count = g_ascii_strtoull(script->words[1], NULL, 10);
	int64_t reboot_us =
		(uint32_t)script_number(script, "reboot", 5) * USEC_PER_SEC;

	for (uint64_t i = 0; i < count; i++) {
		for (guint k = 0; k < world->nodes->len; k++) {
			struct node *node = world->nodes->pdata[k];
			struct event event = { .type = EVENT_INSTANCE_LIST };

			if (!node->kernel || node->log_unreachable)
				continue;
			event.list.items = list_items(world, node, reboot_us);
			world_schedule(world, world->now_us, node, &event);
		}
		world_run_until(world, world->now_us + USEC_PER_SEC);
	}
}

static struct record *job_record(struct script *script, enum record_kind kind,
				 uint32_t index)
{
	struct record *record = record_new(kind);
	struct record_job *body = &record->job;

	g_snprintf(body->job, NAME_SIZE_BYTES, "%s%u", script->words[3], index);
	script_copy_option(script, "member", body->member, NAME_SIZE_BYTES);
	script_copy_option(script, "pool", body->pool, NAME_SIZE_BYTES);
	body->declared_slots_count =
		(uint32_t)script_number(script, "slots", 1);
	return record;
}

/* bulk NODE submit|cancel PREFIX count=N [member= pool= slots=] */
static void cmd_bulk(struct script *script)
{
	struct node *node = script_running_node(script);
	uint32_t count = (uint32_t)script_number(script, "count", 1);
	enum record_kind kind = strcmp(script->words[2], "cancel") != 0
					? RECORD_JOB_SUBMIT
					: RECORD_JOB_CANCEL;

	for (uint32_t i = 1; node && i <= count; i++) {
		struct event event = { .type = EVENT_PROPOSE };

		event.record.record = job_record(script, kind, i);
		world_schedule(script->world,
			       script->world->now_us +
				       (i - 1) / BULK_COUNT * BULK_GAP_US,
			       node, &event);
	}
}

/*
 * report NODE running|succeeded|failed|checkpointed|stopped JOB|all
 * [used=MILLISLOTS] [on=INSTANCE]: a report of the platform on running tasks
 */
static void cmd_report(struct script *script)
{
	static const char *const names[] = { "running", "succeeded", "failed",
					     "checkpointed", "stopped" };
	struct node *node = script_running_node(script);
	const char *on = script_option(script, "on");
	uint32_t report = 0;
	GPtrArray *jobs;

	if (!node)
		return;
	while (report < G_N_ELEMENTS(names) &&
	       strcmp(names[report], script->words[2]) != 0)
		report++;
	jobs = fleet_jobs(kernel_fleet(node->kernel));
	for (guint i = 0; i < jobs->len; i++) {
		const struct fleet_job *job = jobs->pdata[i];
		struct event event = { .type = EVENT_TASK_REPORT };

		if (!job->instance[0] ||
		    (strcmp(script->words[3], "all") != 0 &&
		     strcmp(script->words[3], job->decl.job) != 0) ||
		    (on && strcmp(on, job->instance) != 0))
			continue;
		name_copy(event.task.job, NAME_SIZE_BYTES, job->decl.job);
		name_copy(event.task.instance, NAME_SIZE_BYTES, job->instance);
		event.task.attempt = job->attempt_count;
		event.task.report = (enum task_report)report;
		event.task.used_millislots =
			(uint32_t)script_number(script, "used", 0);
		name_copy(event.task.reason, REASON_SIZE_BYTES,
			  report == TASK_FAILED ? "exit status 1" : "");
		kernel_emit(node->kernel, &event);
	}
	g_ptr_array_unref(jobs);
}

/* jobs NODE: prints how many jobs are in each state, and where they run. */
static void cmd_jobs(struct script *script)
{
	struct node *node = script_running_node(script);
	struct world *world = script->world;
	uint32_t counts[JOB_ASIDE + 1] = { 0 };
	GPtrArray *jobs;

	if (!node)
		return;
	jobs = fleet_jobs(kernel_fleet(node->kernel));
	for (guint i = 0; i < jobs->len; i++) {
		const struct fleet_job *job = jobs->pdata[i];

		counts[job->state]++;
		/* Longer lists would make the expected output unreadable. */
		if (jobs->len <= 20)
			world_print(world, "           job %s %s %s%s%s",
				    job->decl.job, job_state_name(job->state),
				    job->instance, job->reason[0] ? ": " : "",
				    job->reason);
	}
	for (uint32_t i = 0; i <= JOB_ASIDE; i++) {
		if (counts[i])
			world_print(world, "           jobs %s: %u",
				    job_state_name((enum fleet_job_state)i),
				    counts[i]);
	}
	g_ptr_array_unref(jobs);
}

static const struct script_command commands[] = {
	{ "bulk", 3, cmd_bulk },   { "demand", 3, cmd_demand },
	{ "from", 1, cmd_from },   { "jobs", 1, cmd_jobs },
	{ "lists", 1, cmd_lists }, { "off", 1, cmd_off },
	{ "on", 1, cmd_on },	   { "report", 3, cmd_report },
	{ "skip", 1, cmd_skip },
};

SCRIPT_REGISTER(commands)
