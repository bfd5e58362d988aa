/*
 * Commands of the job simulation on members, their API keys and revocation, and
 * on the memory of jobs.
 */

#include <string.h>

#include "runner/script_jobs.h"

/* job-revoke TIME: time limit for removed keys, of entries started later */
static void cmd_revoke(struct script *script)
{
	script_jobs(script)->revoke_us =
		script_duration_us(script, script_word(script, 1));
}

/* job-memory BYTES: that jobs may hold in entries started later */
static void cmd_memory(struct script *script)
{
	script_jobs(script)->memory_bytes =
		g_ascii_strtoull(script_word(script, 1), NULL, 10);
}

static bool store_is_up(struct script *script)
{
	if (script_jobs(script)->store_down)
		script_fail(script, "the store is down");
	return !script_jobs(script)->store_down;
}

/*
 * job-key add MEMBER KEY, job-key remove KEY: a new configuration, which the
 * entries get when they read it from the store
 */
static void cmd_key(struct script *script)
{
	struct jobs_world *jobs = script_jobs(script);
	struct fake_key *key;

	if (!store_is_up(script))
		return;
	if (!strcmp(script_word(script, 1), "add")) {
		fake_key_add(jobs, script_word(script, 2),
			     script_word(script, 3));
	} else {
		key = g_hash_table_lookup(jobs->keys, script_word(script, 2));
		if (!key || key->removed_us) {
			script_fail(script, "no member has this key");
			return;
		}
		key->removed_us = script->world->now_us;
	}
	fake_config_publish(jobs, fake_queues_copy(jobs, NULL));
}

/* job-member-remove NAME: a new configuration without this member */
static void cmd_member_remove(struct script *script)
{
	struct jobs_world *jobs = script_jobs(script);
	GHashTableIter iter;
	gpointer value;

	if (!store_is_up(script))
		return;
	g_hash_table_iter_init(&iter, jobs->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fake_key *key = value;

		if (!strcmp(key->member, script_word(script, 1)) &&
		    !key->removed_us)
			key->removed_us = script->world->now_us;
	}
	fake_config_publish(jobs,
			    fake_queues_copy(jobs, script_word(script, 1)));
}

/* job-ready ENTRY: prints whether the load balancer would use it. */
static void cmd_ready(struct script *script)
{
	const struct jobs_entry *entry = script_entry(script, 1);

	if (entry && entry->kernel)
		world_print(script->world, "%s is %sready", entry->name,
			    kernel_is_ready(entry->kernel) ? "" : "not ");
}

static const struct script_command commands[] = {
	{ "job-revoke", 1, cmd_revoke },
	{ "job-memory", 1, cmd_memory },
	{ "job-key", 2, cmd_key },
	{ "job-member-remove", 1, cmd_member_remove },
	{ "job-ready", 1, cmd_ready },
};

SCRIPT_REGISTER(commands)
