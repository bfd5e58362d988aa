#include "jobs/holder.h"

#include <string.h>

#include "jobs/msg.h"

/* Boot ids are random and may collide, so the names are compared as well. */
static enum holder_origin origin_of(const char *entry, uint64_t boot_id,
				    const char *own_entry, uint64_t own_boot_id)
{
	if (strcmp(entry, own_entry) != 0)
		return ORIGIN_OTHER_ENTRY;
	return boot_id == own_boot_id ? ORIGIN_THIS_PROCESS
				      : ORIGIN_EARLIER_PROCESS;
}

enum holder_origin holder_record_origin(const struct job_record *record,
					const char *own_entry,
					uint64_t own_boot_id)
{
	return origin_of(record->entry, record->boot_id, own_entry,
			 own_boot_id);
}

enum holder_origin holder_origin(const struct holder *holder,
				 const char *own_entry, uint64_t own_boot_id)
{
	if (!holder->token)
		return ORIGIN_OTHER_ENTRY;
	return origin_of(holder->entry, holder->boot_id, own_entry,
			 own_boot_id);
}

uint64_t holder_record_token(const struct job_record *record)
{
	return record->action == HOLDER_CLAIM ? record->offset + 1
					      : record->token;
}

bool holder_record_is_valid(const struct holder *holder,
			    const struct job_record *record)
{
	if (record->action != HOLDER_CLAIM)
		return record->token >= holder->token;
	return record->token == holder->token &&
	       holder_record_token(record) > holder->token;
}

void holder_update(struct holder *holder, const struct job_record *record)
{
	holder->token = holder_record_token(record);
	g_strlcpy(holder->entry, record->entry, sizeof(holder->entry));
	holder->boot_id = record->boot_id;
	holder->resigned = record->action == HOLDER_RESIGN;
	holder->earlier_ended = record->earlier_ended;
}

static gint compare_records(gconstpointer a, gconstpointer b)
{
	const struct job_record *left = *(struct job_record *const *)a;
	const struct job_record *right = *(struct job_record *const *)b;
	bool left_claims = left->action == HOLDER_CLAIM;
	bool right_claims = right->action == HOLDER_CLAIM;

	if (left_claims != right_claims)
		return left_claims ? 1 : -1;
	if (left->offset != right->offset)
		return left->offset < right->offset ? -1 : 1;
	return 0;
}

GPtrArray *holder_sorted_records(const struct store_read *snapshot)
{
	GPtrArray *records = g_ptr_array_new();

	for (guint i = 0; i < snapshot->records->len; i++) {
		struct job_record *record = snapshot->records->pdata[i];

		if (record->kind == JOB_RECORD_HOLDER)
			g_ptr_array_add(records, record);
	}
	g_ptr_array_sort(records, compare_records);
	return records;
}
