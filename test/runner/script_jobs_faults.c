/* Commands of the job simulation that set faults; each has the prefix job-. */

#include <stdlib.h>
#include <string.h>

#include "runner/script_jobs.h"

/*
 * job-lists on|off: whether the list of machines answers
 * job-lists slow TIME: delay of its answers, which show what it was before
 */
static void cmd_lists(struct script *script)
{
	const char *how = script_word(script, 1);

	script_jobs(script)->machine_list_down = !strcmp(how, "off");
	if (!strcmp(how, "slow"))
		script_jobs(script)->machine_list_delay_us =
			script_duration_us(script, script_word(script, 2));
}

/* job-fencing on|off: whether machines check the token of an order */
static void cmd_fencing(struct script *script)
{
	script_jobs(script)->machines_unfenced =
		!strcmp(script_word(script, 1), "off");
}

/* job-reborn MACHINE ID: its worker dies; it is up again with a new one. */
static void cmd_reborn(struct script *script)
{
	struct jobs_world *jobs = script_jobs(script);

	for (guint i = 0; i < jobs->machines->len; i++) {
		struct fake_machine *machine = jobs->machines->pdata[i];
		struct fake_worker *old =
			fake_worker_find(jobs, machine->worker);
		struct fake_worker *next;

		if (strcmp(machine->name, script_word(script, 1)) != 0)
			continue;
		fake_worker_kill(jobs, old);
		next = fake_worker_add(jobs, script_word(script, 2), old->pool,
				       old->cpu_milli);
		next->gpu_count = old->gpu_count;
		machine->worker = next->id;
	}
	script_send_worker_lists(jobs);
}

/*
 * job-fault WORKER dead|dark|left|cut|expired|lose|late|holds-late|closed|
 * other|drains|drains-late|fails|stalls|ok: sets its only fault, see struct
 * fake_worker; dark: dead, but still in the directory; left: dead, and the
 * directory says so; expired: cut off, and its entry in the directory has
 * expired; drains-late: drains, and is late
 */
static void cmd_fault(struct script *script)
{
	struct fake_worker *worker =
		fake_worker_find(script_jobs(script), script_word(script, 1));
	const char *how = script_word(script, 2);

	if (!worker) {
		script_fail(script, "no worker is called \"%s\"",
			    script_word(script, 1));
		return;
	}
	if (!strcmp(how, "dead") || !strcmp(how, "dark") ||
	    !strcmp(how, "left"))
		fake_worker_kill(script_jobs(script), worker);
	worker->listed |= !strcmp(how, "dark");
	worker->listed &= strcmp(how, "expired") != 0;
	worker->unreachable = !strcmp(how, "cut") || !strcmp(how, "expired");
	worker->refuses_connections = !strcmp(how, "closed");
	worker->loses_answers = !strcmp(how, "lose");
	worker->delays_starts =
		!strcmp(how, "late") || !strcmp(how, "drains-late");
	worker->delays_holds = !strcmp(how, "holds-late");
	worker->other_incarnation = !strcmp(how, "other");
	if (!worker->draining)
		worker->draining_since_us = script->world->now_us;
	worker->draining =
		!strcmp(how, "drains") || !strcmp(how, "drains-late");
	if (worker->draining || !strcmp(how, "left") || !strcmp(how, "expired"))
		script_send_worker_lists(script_jobs(script));
	worker->fails_items = !strcmp(how, "fails");
	worker->stalls_items = !strcmp(how, "stalls");
}

/* job-answers WORKER TIME: delay of the answers that it makes from now on */
static void cmd_answers(struct script *script)
{
	struct fake_worker *worker =
		fake_worker_find(script_jobs(script), script_word(script, 1));

	if (worker)
		worker->answer_delay_us =
			script_duration_us(script, script_word(script, 2));
	else
		script_fail(script, "no worker is called \"%s\"",
			    script_word(script, 1));
}

/*
 * job-restart WORKER [seen=0] [label=NAME] [clock_s=N]: a dead worker starts
 * again under its id, with another label if there is one, and with this time on
 * its clock. seen=0: the directory does not show it yet.
 */
static void cmd_restart(struct script *script)
{
	struct fake_worker *worker =
		fake_worker_find(script_jobs(script), script_word(script, 1));

	if (!worker || !worker->dead) {
		script_fail(script, "no worker \"%s\" is dead",
			    script_word(script, 1));
		return;
	}
	script_copy_option(script, "label", worker->label,
			   sizeof(worker->label));
	fake_worker_restart(script_jobs(script), worker,
			    (int64_t)script_number(script, "clock_s", 0) *
				    USEC_PER_SEC);
	if (script_number(script, "seen", 1))
		script_send_worker_lists(script_jobs(script));
}

/*
 * job-late WORKER: carries out the orders that it got while it was "late" or
 * "holds-late".
 */
static void cmd_late(struct script *script)
{
	struct fake_worker *worker =
		fake_worker_find(script_jobs(script), script_word(script, 1));

	if (worker)
		fake_worker_carry_out(script_jobs(script), worker);
	else
		script_fail(script, "no worker is called \"%s\"",
			    script_word(script, 1));
}

/* job-lease-max TIME: longest lease; for entries that are started later */
static void cmd_lease_max(struct script *script)
{
	script_jobs(script)->lease_max_us =
		script_duration_us(script, script_word(script, 1));
}

/* job-seen: the directory shows all workers as they are now. */
static void cmd_seen(struct script *script)
{
	script_send_worker_lists(script_jobs(script));
}

/* job-tickets ok|refused: whether workers accept valid tickets */
static void cmd_tickets(struct script *script)
{
	script_jobs(script)->tickets_refused =
		!strcmp(script_word(script, 1), "refused");
}

/* job-kill ENTRY */
static void cmd_kill(struct script *script)
{
	struct jobs_entry *entry = script_entry(script, 1);

	if (entry)
		jobs_entry_kill(entry);
}

/* job-drain ENTRY: asks it to shut down. */
static void cmd_drain(struct script *script)
{
	struct jobs_entry *entry = script_entry(script, 1);

	if (entry)
		jobs_deliver(entry->jobs, entry, EVENT_DRAIN, NULL, 0);
}

/* job-freeze ENTRY TIME: it handles no events for this time. */
static void cmd_freeze(struct script *script)
{
	struct jobs_entry *entry = script_entry(script, 1);

	if (entry)
		entry->frozen_until_us =
			script->world->now_us +
			script_duration_us(script, script_word(script, 2));
}

/* job-link ENTRY up|down: of its messages from and to other entries */
static void cmd_link(struct script *script)
{
	struct jobs_entry *entry = script_entry(script, 1);

	if (entry)
		entry->link_down = !strcmp(script_word(script, 2), "down");
}

/* job-split ENTRY on|off: whether all workers are unreachable for it */
static void cmd_split(struct script *script)
{
	struct jobs_entry *entry = script_entry(script, 1);

	if (entry)
		entry->workers_unreachable =
			!strcmp(script_word(script, 2), "on");
}

/*
 * job-store down|up: whether it is reachable
 * job-store refuse|accept: whether it refuses the progress of jobs for good
 * job-store cut|heal ENTRY: whether it is reachable for one entry
 * job-store slow TIME: delay of each write
 * job-store part COUNT: most records of one read
 */
static void cmd_store(struct script *script)
{
	const char *how = script_word(script, 1);
	struct jobs_entry *entry;

	if (!strcmp(how, "down") || !strcmp(how, "up")) {
		script_jobs(script)->store_down = !strcmp(how, "down");
		return;
	}
	if (!strcmp(how, "refuse") || !strcmp(how, "accept")) {
		script_jobs(script)->refuses_progress = !strcmp(how, "refuse");
		return;
	}
	if (!strcmp(how, "slow")) {
		script_jobs(script)->store_delay_us =
			script_duration_us(script, script_word(script, 2));
		return;
	}
	if (!strcmp(how, "part")) {
		script_jobs(script)->read_max_count =
			(uint32_t)strtoul(script_word(script, 2), NULL, 10);
		return;
	}
	entry = script_entry(script, 2);
	if (entry)
		entry->store_unreachable = !strcmp(how, "cut");
}

static const struct script_command commands[] = {
	{ "job-fault", 2, cmd_fault },
	{ "job-kill", 1, cmd_kill },
	{ "job-freeze", 2, cmd_freeze },
	{ "job-store", 1, cmd_store },
	{ "job-split", 2, cmd_split },
	{ "job-lists", 1, cmd_lists },
	{ "job-reborn", 2, cmd_reborn },
	{ "job-tickets", 1, cmd_tickets },
	{ "job-drain", 1, cmd_drain },
	{ "job-fencing", 1, cmd_fencing },
	{ "job-link", 2, cmd_link },
	{ "job-restart", 1, cmd_restart },
	{ "job-late", 1, cmd_late },
	{ "job-seen", 0, cmd_seen },
	{ "job-lease-max", 1, cmd_lease_max },
	{ "job-answers", 2, cmd_answers },
};

SCRIPT_REGISTER(commands)
