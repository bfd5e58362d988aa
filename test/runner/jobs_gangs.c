/*
 * Gangs and checkpoints of the fake workers. The members of a gang work from
 * the moment when all of one run are present, and break when one of them ends.
 * Checked for every start: its checkpoint was written by the item or its gang,
 * all starts of one run carry the same one, and the members of a gang share
 * their run number.
 */

#include <string.h>

#include "runner/jobs_world.h"

#define CHECKPOINT_PERIOD_US (500 * USEC_PER_MSEC)
/* A member waits this long for the others. */
#define GANG_TIMEOUT_US (3 * USEC_PER_SEC)

/* "ID.occurrence.step." of an item. */
static size_t step_prefix_bytes(const char *item)
{
	return (size_t)(strrchr(item, '.') - item) + 1;
}

static bool is_same_step(const char *item, const char *other)
{
	return !strncmp(item, other, step_prefix_bytes(item));
}

/* A checkpoint is "MS/ITEM": the work that it stands for, and its writer. */
static int64_t checkpoint_work_us(const char *checkpoint)
{
	return checkpoint
		       ? g_ascii_strtoll(checkpoint, NULL, 10) * USEC_PER_MSEC
		       : 0;
}

static int64_t work_done_us(const struct jobs_world *jobs,
			    const struct fake_run *run)
{
	int64_t resumed_us = checkpoint_work_us(run->checkpoint);

	if (!run->began_us)
		return resumed_us;
	return MIN(resumed_us + jobs->world->now_us - run->began_us,
		   run->work_us);
}

char *fake_run_checkpoint(const struct jobs_world *jobs,
			  const struct fake_run *run, bool at_stop)
{
	int64_t done_us = work_done_us(jobs, run);

	if (!run->checkpointable)
		return NULL;
	if (!at_stop)
		done_us -= done_us % CHECKPOINT_PERIOD_US;
	if (done_us <= checkpoint_work_us(run->checkpoint))
		return g_strdup(run->checkpoint);
	return g_strdup_printf("%" G_GINT64_FORMAT "/%s",
			       done_us / USEC_PER_MSEC, run->item);
}

uint32_t fake_run_work_percent(const struct jobs_world *jobs,
			       const struct fake_run *run)
{
	if (!run->work_us)
		return 100;
	return (uint32_t)(100 * work_done_us(jobs, run) / run->work_us);
}

static void check_writer(struct jobs_world *jobs, const struct order *order,
			 const struct job_step *step)
{
	const char *writer = strchr(order->checkpoint, '/');
	bool valid =
		writer && (step->gang ? is_same_step(order->item, writer + 1)
				      : !strcmp(order->item, writer + 1));

	if (!valid)
		jobs_violation(jobs, "%s starts from %s, which isn't its own",
			       order->item, order->checkpoint);
}

void fake_checkpoint_check(struct jobs_world *jobs, const struct order *order,
			   const struct job_step *step)
{
	const char *checkpoint = order->checkpoint ? order->checkpoint : "";
	int name_bytes = (int)(step->gang ? step_prefix_bytes(order->item)
					  : strlen(order->item));
	char *key =
		g_strdup_printf("%.*s/%u", name_bytes, order->item, order->run);
	const char *first = g_hash_table_lookup(jobs->start_checkpoints, key);

	if (*checkpoint)
		check_writer(jobs, order, step);
	if (first && strcmp(first, checkpoint) != 0)
		jobs_violation(jobs,
			       "%s run %u starts from \"%s\", and another "
			       "start of this run from \"%s\"",
			       order->item, order->run, checkpoint, first);
	if (first)
		g_free(key);
	else
		g_hash_table_insert(jobs->start_checkpoints, key,
				    g_strdup(checkpoint));
}

/* Calls visit for each member of the gang of a run that a worker runs. */
static void visit_members(struct jobs_world *jobs, const struct fake_run *run,
			  void (*visit)(struct jobs_world *jobs,
					struct fake_run *member,
					const struct fake_run *run))
{
	for (guint i = 0; i < jobs->workers->len; i++) {
		const struct fake_worker *worker = jobs->workers->pdata[i];

		for (guint j = 0; j < worker->running->len; j++) {
			struct fake_run *member = &g_array_index(
				worker->running, struct fake_run, j);

			if (is_same_step(run->item, member->item))
				visit(jobs, member, run);
		}
	}
}

static void check_run_number(struct jobs_world *jobs, struct fake_run *member,
			     const struct fake_run *run)
{
	if (member->run != run->run)
		jobs_violation(jobs, "%s run %u starts beside run %u of %s",
			       run->item, run->run, member->run, member->item);
}

static void count_present(struct jobs_world *jobs, struct fake_run *member,
			  const struct fake_run *run)
{
	jobs->present_count += member->run == run->run &&
			       !g_strcmp0(member->checkpoint, run->checkpoint);
}

static void begin_member(struct jobs_world *jobs, struct fake_run *member,
			 const struct fake_run *run)
{
	int64_t left_us;

	(void)run;
	member->began_us = jobs->world->now_us;
	member->work_us = jobs->item_duration_us;
	left_us = member->work_us - work_done_us(jobs, member);
	if (member->end == ITEM_END_STOPPED)
		return;
	/* A failure breaks the gang before the others are done. */
	member->ends_us = jobs->world->now_us +
			  (member->end_at_work == ITEM_END_FAILED ? left_us / 2
								  : left_us);
	member->end = member->end_at_work;
}

void fake_run_resume(struct jobs_world *jobs, struct fake_run *run)
{
	run->began_us = jobs->world->now_us;
	run->work_us = jobs->item_duration_us;
	if (run->ends_us != INT64_MAX)
		run->ends_us -=
			MIN(checkpoint_work_us(run->checkpoint), run->work_us);
}

void fake_gang_join(struct jobs_world *jobs, struct fake_run *run)
{
	run->end_at_work = run->end;
	run->end = ITEM_END_ALONE;
	run->ends_us = jobs->world->now_us + GANG_TIMEOUT_US;
	visit_members(jobs, run, check_run_number);
}

void fake_gang_begin(struct jobs_world *jobs, const struct fake_run *run)
{
	jobs->present_count = 0;
	visit_members(jobs, run, count_present);
	if (jobs->present_count == run->step_item_count)
		visit_members(jobs, run, begin_member);
}

static void break_member(struct jobs_world *jobs, struct fake_run *member,
			 const struct fake_run *run)
{
	if (member == run || member->run != run->run || !member->began_us ||
	    member->end == ITEM_END_BROKEN)
		return;
	member->end = ITEM_END_BROKEN;
	member->ends_us = jobs->world->now_us;
	jobs->gang_broken = true;
}

void fake_gang_break(struct jobs_world *jobs, const struct fake_run *run)
{
	if (run->gang && run->began_us)
		visit_members(jobs, run, break_member);
}
