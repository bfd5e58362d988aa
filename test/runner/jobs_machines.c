/*
 * Fake of the machines that workers run on. Checked for every order: nothing
 * runs on a machine that is moved or maintained, and orders of two holders for
 * one machine are a lease apart. If machines don't check tokens, no order may
 * have a lower one than those before it.
 */

#include <string.h>

#include "runner/jobs_world.h"

#define ORDER_LATENCY_US USEC_PER_MSEC
#define UPKEEP_DURATION_US (2 * USEC_PER_SEC)
#define MACHINE_LEASE_US (3 * USEC_PER_SEC)
#define MOVE_DURATION_US (1500 * USEC_PER_MSEC)

static void update_state(struct jobs_world *jobs, struct fake_machine *machine)
{
	struct fake_worker *worker = fake_worker_find(jobs, machine->worker);

	if (machine->state == MACHINE_UP ||
	    jobs->world->now_us < machine->up_at_us)
		return;
	machine->state = MACHINE_UP;
	worker->listed = true;
	for (guint i = 0; i < jobs->entries->len; i++) {
		struct jobs_entry *entry = jobs->entries->pdata[i];

		if (entry->is_holder)
			fake_workers_send_list(jobs, entry);
	}
}

void fake_machines_send_list(struct jobs_entry *entry)
{
	struct jobs_world *jobs = entry->jobs;
	struct machines_seen *seen = machines_seen_new();

	/* The list does not answer in scripts without machines. */
	seen->complete = jobs->machines->len > 0 && !jobs->machine_list_down;
	seen->asked_us = jobs->world->now_us;
	for (guint i = 0; i < jobs->machines->len; i++) {
		struct fake_machine *machine = jobs->machines->pdata[i];
		const struct fake_worker *worker =
			fake_worker_find(jobs, machine->worker);
		struct machine_row row = { .worker = machine->worker };

		update_state(jobs, machine);
		row.state = worker->dead ? MACHINE_DOWN : machine->state;
		g_strlcpy(row.name, machine->name, sizeof(row.name));
		g_strlcpy(row.pool, worker->pool, sizeof(row.pool));
		g_array_append_val(seen->rows, row);
	}
	jobs_deliver(jobs, entry, EVENT_MACHINES_SEEN, seen,
		     ORDER_LATENCY_US + jobs->machine_list_delay_us);
}

/* Ends the worker; another one joins the new pool after MOVE_DURATION_US. */
static void move_machine(struct jobs_world *jobs, struct fake_machine *machine,
			 struct fake_worker *worker, const char *pool)
{
	char *id = g_strdup_printf("%s+", worker->id);
	struct fake_worker *next =
		fake_worker_add(jobs, id, pool, worker->cpu_milli);

	next->gpu_count = worker->gpu_count;
	worker->listed = false;
	worker->dead = true;
	fake_worker_drop_hold(worker);
	next->listed = false;
	machine->worker = next->id;
	machine->state = MACHINE_MOVING;
	machine->up_at_us = jobs->world->now_us + MOVE_DURATION_US;
	g_free(id);
}

/* A holder's first order for a machine comes a lease after its predecessor's.
 */
static void check_holder_change(struct jobs_world *jobs,
				struct fake_machine *machine, uint64_t token)
{
	if (machine->fence_token && token != machine->fence_token &&
	    jobs->world->now_us - machine->last_order_us < MACHINE_LEASE_US)
		jobs_violation(jobs, "two holders order %s within its lease",
			       machine->name);
	machine->fence_token = token;
	machine->last_order_us = jobs->world->now_us;
}

void fake_machine_order(struct jobs_entry *entry, struct machine_order *order)
{
	struct jobs_world *jobs = entry->jobs;
	struct world *world = jobs->world;

	world_print(world, "%.3f %s %s %s %s",
		    (double)world->now_us / USEC_PER_SEC, entry->name,
		    order->upkeep ? "maintains" : "moves", order->machine,
		    order->pool);
	order->result = MACHINE_REFUSED;
	for (guint i = 0; i < jobs->machines->len; i++) {
		struct fake_machine *machine = jobs->machines->pdata[i];
		struct fake_worker *worker =
			fake_worker_find(jobs, machine->worker);

		if (strcmp(machine->name, order->machine) != 0)
			continue;
		if (order->token < machine->fence_token) {
			if (jobs->machines_unfenced)
				jobs_violation(
					jobs,
					"%s is ordered with a lower token",
					machine->name);
			order->result = MACHINE_FENCED;
			break;
		}
		if (order->upkeep && machine->outside_waves) {
			order->result = MACHINE_NOT_IN_WAVE;
			break;
		}
		check_holder_change(jobs, machine, order->token);
		order->result = MACHINE_OK;
		if (order->upkeep && machine->upkeep_count)
			break;
		if (worker->running->len)
			jobs_violation(jobs,
				       "%s is taken down while items run on it",
				       worker->id);
		if (order->upkeep) {
			machine->upkeep_count++;
			machine->state = MACHINE_UPKEEP;
			machine->up_at_us = world->now_us + UPKEEP_DURATION_US;
		} else {
			move_machine(jobs, machine, worker, order->pool);
		}
		break;
	}
	jobs_deliver(jobs, entry, EVENT_MACHINE_ORDERED,
		     g_rc_box_acquire(order), ORDER_LATENCY_US);
}
