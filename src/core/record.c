#include "core/record.h"

#include <string.h>

static const char *const kind_names[RECORD_KIND_COUNT] = {
	[RECORD_UNKNOWN] = "unknown",
	[RECORD_CONFIG_PUT] = "config_put",
	[RECORD_CONFIG_REMOVE] = "config_remove",
	[RECORD_ENTRY_JOIN] = "entry_join",
	[RECORD_ENTRY_LEAVE] = "entry_leave",
	[RECORD_ENTRY_GONE] = "entry_gone",
	[RECORD_LEASE_CLAIM] = "lease_claim",
	[RECORD_LEASE_RENEW] = "lease_renew",
	[RECORD_MOVE_START] = "move_start",
	[RECORD_DRAIN_ACK] = "drain_ack",
	[RECORD_MOVE_COMMIT] = "move_commit",
	[RECORD_MOVE_ABORT] = "move_abort",
	[RECORD_MAINT_START] = "maint_start",
	[RECORD_MAINT_REBOOT] = "maint_reboot",
	[RECORD_MAINT_DONE] = "maint_done",
	[RECORD_WAVE_HALT] = "wave_halt",
	[RECORD_INSTANCE_DOWN] = "instance_down",
	[RECORD_INSTANCE_UP] = "instance_up",
	[RECORD_CLAIM] = "claim",
	[RECORD_CLAIM_RESULT] = "claim_result",
	[RECORD_JOB_SUBMIT] = "job_submit",
	[RECORD_JOB_PLACE] = "job_place",
	[RECORD_JOB_RENEW] = "job_renew",
	[RECORD_JOB_END] = "job_end",
	[RECORD_JOB_CANCEL] = "job_cancel",
	[RECORD_JOB_SET_ASIDE] = "job_set_aside",
	[RECORD_SNAPSHOT_PART] = "snapshot_part",
};

struct record *record_new(enum record_kind kind)
{
	struct record *record = g_new0(struct record, 1);

	g_ref_count_init(&record->refs);
	record->kind = kind;
	return record;
}

struct record *record_ref(struct record *record)
{
	g_ref_count_inc(&record->refs);
	return record;
}

void record_unref(struct record *record)
{
	if (!record || !g_ref_count_dec(&record->refs))
		return;
	if (record->kind == RECORD_CONFIG_PUT)
		decl_unref(record->config.decl);
	if (record->kind == RECORD_SNAPSHOT_PART && record->snapshot.bytes)
		g_bytes_unref(record->snapshot.bytes);
	g_free(record);
}

const char *record_kind_name(enum record_kind kind)
{
	return kind < RECORD_KIND_COUNT ? kind_names[kind] : "unknown";
}

enum record_kind record_kind_from_name(const char *name)
{
	for (uint32_t i = 0; i < RECORD_KIND_COUNT; i++) {
		if (!strcmp(name, kind_names[i]))
			return (enum record_kind)i;
	}
	return RECORD_UNKNOWN;
}

bool record_id_equal(const struct record_id *a, const struct record_id *b)
{
	return a->sequence == b->sequence && a->incarnation == b->incarnation &&
	       !strcmp(a->entry, b->entry);
}
