#include "decide/proposer_queue.h"

/* Limits of one entry instance, and of all of them together. */
#define ENTRY_APPENDS_PER_S 20
#define TOTAL_APPENDS_PER_S 200
/* Appends in one burst after an idle time, of one entry and of all. */
#define ENTRY_BURST_APPENDS 4
#define TOTAL_BURST_APPENDS INT64_C(40)

/* A proposal that waits longer would be stale once the log is back. */
#define PROPOSAL_TIMEOUT_US (30 * USEC_PER_SEC)
/* After this time another planner may hold the lease and fence our records. */
#define PLANNER_LEASE_US (6 * USEC_PER_SEC)

struct proposal *proposal_new(struct record *record, int64_t now_us)
{
	struct proposal *proposal = g_new0(struct proposal, 1);

	proposal->record = record_ref(record);
	proposal->queued_us = now_us;
	proposal->expires_us = now_us + PROPOSAL_TIMEOUT_US;
	return proposal;
}

void proposal_free(gpointer data)
{
	struct proposal *proposal = data;

	record_unref(proposal->record);
	g_free(proposal);
}

void proposals_steal_all(GPtrArray *proposals)
{
	g_ptr_array_set_free_func(proposals, NULL);
	g_ptr_array_set_size(proposals, 0);
	g_ptr_array_set_free_func(proposals, proposal_free);
}

bool proposals_all_seen(const GPtrArray *proposals)
{
	for (guint i = 0; i < proposals->len; i++) {
		const struct proposal *proposal = proposals->pdata[i];

		if (!proposal->seen)
			return false;
	}
	return true;
}

void proposals_mark_seen(GPtrArray *proposals, const struct record_id *id)
{
	for (guint i = 0; i < proposals->len; i++) {
		struct proposal *proposal = proposals->pdata[i];

		if (record_id_equal(&proposal->record->id, id))
			proposal->seen = true;
	}
}

void proposals_set_offsets(GPtrArray *proposals, uint64_t first_offset)
{
	for (guint i = 0; i < proposals->len; i++) {
		struct proposal *proposal = proposals->pdata[i];

		proposal->offset = first_offset + i;
	}
}

void proposals_remove_read(GPtrArray *proposals, uint64_t offset)
{
	for (guint i = proposals->len; i > 0; i--) {
		const struct proposal *proposal = proposals->pdata[i - 1];

		if (proposal->seen || proposal->offset <= offset)
			g_ptr_array_remove_index(proposals, i - 1);
	}
}

/* Fencing token of a planner record; false for records of other kinds. */
static bool get_planner_token(const struct record *record, uint64_t *token)
{
	switch (record->kind) {
	case RECORD_LEASE_RENEW:
		*token = record->lease.token;
		return true;
	case RECORD_MOVE_START:
	case RECORD_MOVE_COMMIT ... RECORD_MAINT_DONE:
	case RECORD_INSTANCE_DOWN:
	case RECORD_INSTANCE_UP:
		*token = record->instance.token;
		return true;
	case RECORD_JOB_PLACE ... RECORD_JOB_END:
	case RECORD_JOB_SET_ASIDE:
		*token = record->job.token;
		return true;
	default:
		return false;
	}
}

const char *proposal_stale_reason(const struct proposal *proposal,
				  const struct fleet *fleet, int64_t now_us)
{
	const struct record *record = proposal->record;
	const struct fleet_instance *instance;
	const struct fleet_entry *entry;
	uint64_t token;

	if (get_planner_token(record, &token)) {
		if (token != fleet_lease(fleet)->token)
			return "lease token is no longer current";
		if (now_us - proposal->queued_us > PLANNER_LEASE_US)
			return "held longer than the planner lease";
	}
	if (record->kind == RECORD_DRAIN_ACK) {
		instance = fleet_instance(fleet, record->instance.instance);
		if (!instance ||
		    instance->drain_offset != record->instance.drain_offset)
			return "instance is not in this drain";
	}
	if (record->kind == RECORD_ENTRY_GONE) {
		entry = fleet_entry(fleet, record->entry.name);
		if (!entry ||
		    entry->decl.incarnation != record->entry.incarnation)
			return "entry is not on the roster";
	}
	return NULL;
}

static GQueue *queue_of(struct proposal_queue *queue,
			const struct proposal *proposal)
{
	return proposal->record->kind == RECORD_CLAIM ? &queue->claims
						      : &queue->others;
}

uint32_t proposal_queue_count(const struct proposal_queue *queue)
{
	return queue->claims.length + queue->others.length;
}

bool proposal_queue_has_join(const struct proposal_queue *queue)
{
	for (const GList *node = queue->others.head; node; node = node->next) {
		const struct proposal *proposal = node->data;

		if (proposal->record->kind == RECORD_ENTRY_JOIN)
			return true;
	}
	return false;
}

void proposal_queue_add(struct proposal_queue *queue, struct proposal *proposal)
{
	queue->next_expiry_us =
		MIN(queue->next_expiry_us, proposal->expires_us);
	g_queue_push_tail(queue_of(queue, proposal), proposal);
}

void proposal_queue_return(struct proposal_queue *queue, GPtrArray *batch)
{
	for (guint i = batch->len; i > 0; i--) {
		struct proposal *proposal = batch->pdata[i - 1];

		queue->next_expiry_us =
			MIN(queue->next_expiry_us, proposal->expires_us);
		g_queue_push_head(queue_of(queue, proposal), proposal);
	}
	proposals_steal_all(batch);
}

/* Unlinks the first expired proposal, or lowers next_expiry_us to the next. */
static struct proposal *take_expired(struct proposal_queue *queue, GQueue *from,
				     int64_t now_us)
{
	for (GList *node = from->head; node; node = node->next) {
		struct proposal *proposal = node->data;

		if (proposal->expires_us <= now_us) {
			g_queue_delete_link(from, node);
			return proposal;
		}
		queue->next_expiry_us =
			MIN(queue->next_expiry_us, proposal->expires_us);
	}
	return NULL;
}

struct proposal *proposal_queue_take_expired(struct proposal_queue *queue,
					     int64_t now_us)
{
	struct proposal *proposal;

	if (now_us < queue->next_expiry_us)
		return NULL;
	queue->next_expiry_us = DEADLINE_NEVER_US;
	proposal = take_expired(queue, &queue->claims, now_us);
	if (!proposal)
		proposal = take_expired(queue, &queue->others, now_us);
	if (proposal)
		queue->next_expiry_us = now_us;
	return proposal;
}

void proposal_queue_clear(struct proposal_queue *queue)
{
	g_queue_clear_full(&queue->claims, proposal_free);
	g_queue_clear_full(&queue->others, proposal_free);
}

/*
 * Any window of one second has at most ENTRY_APPENDS_PER_S appends of one entry
 * instance and TOTAL_APPENDS_PER_S of all: the depth of a bucket plus the
 * tokens that it gains in a second add up to these limits.
 */
void append_rate_set(struct append_rate *rate, uint32_t entry_count)
{
	int64_t count = CLAMP(entry_count, 1, TOTAL_APPENDS_PER_S / 2);
	int64_t burst =
		CLAMP(TOTAL_BURST_APPENDS / count, 1, ENTRY_BURST_APPENDS);
	int64_t own_us = USEC_PER_SEC / (ENTRY_APPENDS_PER_S - burst);
	int64_t shared_us =
		count * USEC_PER_SEC / (TOTAL_APPENDS_PER_S - count * burst);

	rate->interval_us = MAX(own_us, shared_us);
	rate->burst_us = (burst - 1) * rate->interval_us;
}

int64_t append_rate_next_us(const struct append_rate *rate)
{
	return rate->full_at_us - rate->burst_us;
}

void append_rate_take(struct append_rate *rate, int64_t now_us)
{
	rate->full_at_us = MAX(rate->full_at_us, now_us) + rate->interval_us;
}

void append_rate_empty(struct append_rate *rate, int64_t now_us)
{
	rate->full_at_us = MAX(rate->full_at_us,
			       now_us + rate->burst_us + rate->interval_us);
}
