#include "jobs/holder.h"

#include <string.h>

#include "jobs/msg.h"

/* Random boot ids of two entry instances may be equal, so compare the names. */
static enum process process_of(const char *entry, uint64_t boot_id,
			       const char *own_entry, uint64_t own_boot_id)
{
	if (strcmp(entry, own_entry) != 0)
		return PROCESS_OTHER;
	return boot_id == own_boot_id ? PROCESS_THIS : PROCESS_EARLIER;
}

enum process holder_step_process(const struct job_record *step,
				 const char *own_entry, uint64_t own_boot_id)
{
	return process_of(step->entry, step->boot_id, own_entry, own_boot_id);
}

enum process holder_process(const struct holder *holder, const char *own_entry,
			    uint64_t own_boot_id)
{
	if (!holder->token)
		return PROCESS_OTHER;
	return process_of(holder->entry, holder->boot_id, own_entry,
			  own_boot_id);
}

uint64_t holder_step_token(const struct job_record *step)
{
	return step->step == HOLDER_CLAIM ? step->offset + 1 : step->token;
}

bool holder_step_counts(const struct holder *holder,
			const struct job_record *step)
{
	if (step->step != HOLDER_CLAIM)
		return step->token >= holder->token;
	return step->token == holder->token &&
	       holder_step_token(step) > holder->token;
}

void holder_take(struct holder *holder, const struct job_record *step)
{
	holder->token = holder_step_token(step);
	g_strlcpy(holder->entry, step->entry, sizeof(holder->entry));
	holder->boot_id = step->boot_id;
	holder->resigned = step->step == HOLDER_RESIGN;
}

static gint compare_steps(gconstpointer a, gconstpointer b)
{
	const struct job_record *left = *(struct job_record *const *)a;
	const struct job_record *right = *(struct job_record *const *)b;
	bool left_claims = left->step == HOLDER_CLAIM;
	bool right_claims = right->step == HOLDER_CLAIM;

	if (left_claims != right_claims)
		return left_claims ? 1 : -1;
	if (left->offset != right->offset)
		return left->offset < right->offset ? -1 : 1;
	return 0;
}

GPtrArray *holder_steps(const struct store_read *snapshot)
{
	GPtrArray *steps = g_ptr_array_new();

	for (guint i = 0; i < snapshot->records->len; i++) {
		struct job_record *record = snapshot->records->pdata[i];

		if (record->kind == JOB_RECORD_HOLDER)
			g_ptr_array_add(steps, record);
	}
	g_ptr_array_sort(steps, compare_steps);
	return steps;
}
