/* Commands about planning: demand, jobs, tasks, and what is printed. */

#include <string.h>

#include "runner/world.h"

/* Records injected at once, so that the proposer's queue does not fill up. */
#define BULK_COUNT 128
#define BULK_GAP_US (200 * USEC_PER_MSEC)

struct plan {
	struct world *world;
	gchar **words;
	uint32_t word_count;
	GPtrArray *errors;
};

static void fail(struct plan *plan, const char *text)
{
	g_ptr_array_add(plan->errors,
			g_strdup_printf("%s: %s", plan->words[0], text));
}

static const char *option(const struct plan *plan, const char *key)
{
	size_t length_bytes = strlen(key);

	for (uint32_t i = 1; i < plan->word_count; i++) {
		if (!strncmp(plan->words[i], key, length_bytes) &&
		    plan->words[i][length_bytes] == '=')
			return plan->words[i] + length_bytes + 1;
	}
	return "";
}

static uint32_t number(const struct plan *plan, const char *key,
		       uint32_t otherwise)
{
	const char *text = option(plan, key);

	return text[0] ? (uint32_t)g_ascii_strtoull(text, NULL, 10) : otherwise;
}

static struct node *running_node(struct plan *plan)
{
	struct node *node = world_node(plan->world, plan->words[1]);

	if (node && node->kernel)
		return node;
	fail(plan, "no such node is running");
	return NULL;
}

/* skip KIND ...: records of these kinds are not printed. */
static void plan_skip(struct plan *plan)
{
	for (uint32_t i = 1; i < plan->word_count; i++) {
		enum record_kind kind = record_kind_from_name(plan->words[i]);

		if (kind == RECORD_UNKNOWN)
			fail(plan, "no record kind has this name");
		else
			plan->world->skipped |= UINT64_C(1) << kind;
	}
}

/* from NODE|all: only events of this node are printed. */
static void plan_from(struct plan *plan)
{
	const char *name = plan->words[1];

	name_copy(plan->world->printed_node, NAME_SIZE_BYTES,
		  strcmp(name, "all") != 0 ? name : "");
}

/* demand NODE POOL SLOTS for=SECONDS: as heartbeats of another site tell. */
static void plan_demand(struct plan *plan)
{
	struct node *node = running_node(plan);
	uint32_t duration_s = number(plan, "for", 1);
	struct peer_pool_load load = {
		.demand_us_per_s = g_ascii_strtoll(plan->words[3], NULL, 10) *
				   USEC_PER_SEC,
	};

	name_copy(load.pool, NAME_SIZE_BYTES, plan->words[2]);
	for (uint32_t i = 0; node && i < duration_s; i++) {
		struct event event = { .type = EVENT_PEER_RECEIVED };

		event.peer.msg = peer_msg_new(PEER_MSG_HEARTBEAT);
		name_copy(event.peer.msg->from, NAME_SIZE_BYTES, "outside");
		name_copy(event.peer.msg->dc, NAME_SIZE_BYTES, "outside");
		name_copy(event.peer.peer, NAME_SIZE_BYTES, "outside");
		event.peer.msg->loads = g_array_new(FALSE, TRUE, sizeof(load));
		g_array_append_val(event.peer.msg->loads, load);
		world_schedule(plan->world,
			       plan->world->now_us + i * USEC_PER_SEC, node,
			       &event);
	}
}

/* off NAME ... and on NAME ...: takes instances off the platform's list. */
static void set_off(struct plan *plan, bool off)
{
	for (uint32_t i = 1; i < plan->word_count; i++)
		world_endpoint(plan->world, plan->words[i])->off = off;
}

static void plan_off(struct plan *plan)
{
	set_off(plan, true);
}

static void plan_on(struct plan *plan)
{
	set_off(plan, false);
}

static void add_item(GArray *items, const char *name)
{
	struct list_item item = { .state = LIST_LIVE };

	name_copy(item.name, NAME_SIZE_BYTES, name);
	g_array_append_val(items, item);
}

/* The platform's list: nodes that run, and instances that do not reboot. */
static GArray *list_items(struct world *world, struct node *to,
			  int64_t reboot_us)
{
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct list_item));
	const GPtrArray *instances = fleet_instances(kernel_fleet(to->kernel));

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		const struct endpoint *endpoint =
			world_endpoint(world, instance->decl.name);

		if (!endpoint->off &&
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

/* lists COUNT [reboot=SECONDS]: one list a second, after which time passes. */
static void plan_lists(struct plan *plan)
{
	struct world *world = plan->world;
	uint64_t count = g_ascii_strtoull(plan->words[1], NULL, 10);
	int64_t reboot_us = number(plan, "reboot", 5) * USEC_PER_SEC;

	for (uint64_t i = 0; i < count; i++) {
		for (guint k = 0; k < world->nodes->len; k++) {
			struct node *node = world->nodes->pdata[k];
			struct event event = { .type = EVENT_INSTANCE_LIST };

			if (!node->kernel || node->log_cut)
				continue;
			event.list.items = list_items(world, node, reboot_us);
			world_schedule(world, world->now_us, node, &event);
		}
		world_run_until(world, world->now_us + USEC_PER_SEC);
	}
}

static struct record *job_record(const struct plan *plan, enum record_kind kind,
				 uint32_t index)
{
	struct record *record = record_new(kind);
	struct record_job *body = &record->job;

	g_snprintf(body->job, NAME_SIZE_BYTES, "%s%u", plan->words[3], index);
	name_copy(body->member, NAME_SIZE_BYTES, option(plan, "member"));
	name_copy(body->pool, NAME_SIZE_BYTES, option(plan, "pool"));
	body->declared_slots_count = number(plan, "slots", 1);
	return record;
}

/* bulk NODE submit|cancel PREFIX count=N [member= pool= slots=] */
static void plan_bulk(struct plan *plan)
{
	struct node *node = running_node(plan);
	uint32_t count = number(plan, "count", 1);
	enum record_kind kind = strcmp(plan->words[2], "cancel") != 0
					? RECORD_JOB_SUBMIT
					: RECORD_JOB_CANCEL;

	for (uint32_t i = 1; node && i <= count; i++) {
		struct event event = { .type = EVENT_PROPOSE };

		event.record.record = job_record(plan, kind, i);
		world_schedule(plan->world,
			       plan->world->now_us +
				       (i - 1) / BULK_COUNT * BULK_GAP_US,
			       node, &event);
	}
}

/*
 * report NODE running|succeeded|failed|checkpointed|stopped JOB|all
 * [used=MILLISLOTS] [on=INSTANCE]: what the platform tells of tasks.
 */
static void plan_report(struct plan *plan)
{
	static const char *const names[] = { "running", "succeeded", "failed",
					     "checkpointed", "stopped" };
	struct node *node = running_node(plan);
	uint32_t report = 0;
	GPtrArray *jobs;

	if (!node)
		return;
	while (report < G_N_ELEMENTS(names) &&
	       strcmp(names[report], plan->words[2]) != 0)
		report++;
	jobs = fleet_jobs(kernel_fleet(node->kernel));
	for (guint i = 0; i < jobs->len; i++) {
		const struct fleet_job *job = jobs->pdata[i];
		struct event event = { .type = EVENT_TASK_REPORT };

		if (!job->instance[0] ||
		    (strcmp(plan->words[3], "all") != 0 &&
		     strcmp(plan->words[3], job->decl.job) != 0) ||
		    (option(plan, "on")[0] &&
		     strcmp(option(plan, "on"), job->instance) != 0))
			continue;
		name_copy(event.task.job, NAME_SIZE_BYTES, job->decl.job);
		name_copy(event.task.instance, NAME_SIZE_BYTES, job->instance);
		event.task.attempt = job->attempt_count;
		event.task.report = (enum task_report)report;
		event.task.used_millislots = number(plan, "used", 0);
		name_copy(event.task.reason, REASON_SIZE_BYTES,
			  report == TASK_FAILED ? "exit status 1" : "");
		kernel_emit(node->kernel, &event);
	}
	g_ptr_array_unref(jobs);
}

/* jobs NODE: how many jobs are in each state, and where they run. */
static void plan_jobs(struct plan *plan)
{
	struct node *node = running_node(plan);
	struct world *world = plan->world;
	uint32_t counts[JOB_ASIDE + 1] = { 0 };
	GPtrArray *jobs;

	if (!node)
		return;
	jobs = fleet_jobs(kernel_fleet(node->kernel));
	for (guint i = 0; i < jobs->len; i++) {
		const struct fleet_job *job = jobs->pdata[i];

		counts[job->state]++;
		/* Each one by name only while there are few. */
		if (jobs->len <= 20)
			world_print(world, "           job %s %s %s%s%s",
				    job->decl.job, job_state_name(job->state),
				    job->instance, job->reason[0] ? ": " : "",
				    job->reason);
	}
	for (uint32_t i = 0; i <= JOB_ASIDE; i++) {
		if (counts[i])
			world_print(world, "           jobs %s: %u",
				    job_state_name((enum job_state)i),
				    counts[i]);
	}
	g_ptr_array_unref(jobs);
}

static const struct plan_command {
	const char *name;
	uint32_t least_count; /* words after the name */
	void (*run)(struct plan *plan);
} commands[] = {
	{ "bulk", 3, plan_bulk },   { "demand", 3, plan_demand },
	{ "from", 1, plan_from },   { "jobs", 1, plan_jobs },
	{ "lists", 1, plan_lists }, { "off", 1, plan_off },
	{ "on", 1, plan_on },	    { "report", 3, plan_report },
	{ "skip", 1, plan_skip },
};

bool script_plan(struct world *world, gchar **words, GPtrArray *errors)
{
	struct plan plan = {
		.world = world,
		.words = words,
		.word_count = g_strv_length(words),
		.errors = errors,
	};

	for (uint32_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, words[0]) != 0)
			continue;
		if (plan.word_count <= commands[i].least_count)
			fail(&plan, "more words are needed");
		else
			commands[i].run(&plan);
		return true;
	}
	return false;
}
