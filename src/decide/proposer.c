/* Appends proposed records to the log and follows each until its outcome. */

#include <string.h>

#include "decide/proposer_queue.h"

/*
 * Shortest time between two appends, and between two appends with records other
 * than claims.
 */
#define CLAIM_INTERVAL_US (5 * USEC_PER_MSEC)
#define OTHER_INTERVAL_US (50 * USEC_PER_MSEC)
/* Part of a batch that claims leave to other records that are due. */
#define OTHERS_RESERVED_COUNT 16
/* A snapshot part, of up to 64 KB, counts as this many records of a batch. */
#define SNAPSHOT_PART_WEIGHT_COUNT 16

#define BACKOFF_MIN_US (50 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (2 * USEC_PER_SEC)
/* Of an append, or of a query of the log's tail. */
#define RESPONSE_TIMEOUT_US (10 * USEC_PER_SEC)

/* State of the batch in flight. */
enum batch_state {
	BATCH_NONE,
	BATCH_SENT,	     /* waits for the result of the append */
	BATCH_QUERYING_TAIL, /* result lost; waits for the log's tail */
	BATCH_READING_TAIL,  /* waits until all up to the tail is read */
	BATCH_BACKOFF,	     /* queries the tail again later */
};

struct proposer {
	struct kernel *kernel;
	struct proposal_queue queue;
	struct append_rate rate;
	GPtrArray *batch; /* of struct proposal, in order of sequence */
	enum batch_state state;
	bool outcome_unknown; /* a lost append may still take effect */
	uint64_t append_id;
	uint64_t tail_offset;	/* last offset to read in READING_TAIL */
	int64_t state_until_us; /* timeout of the state */
	GPtrArray *confirmed;	/* of struct proposal: in the log, unread */
	uint64_t sequence;
	bool reachable;
	bool was_reachable;
	uint64_t catch_up_offset; /* no append until this is applied */
	int64_t last_append_us;
	int64_t last_other_us; /* last append with records other than claims */
	int64_t backoff_until_us;
	int64_t backoff_us;
	uint32_t batch_max_count; /* halved when an append is rejected */
	bool was_on_roster;
};

static void *proposer_init(struct kernel *kernel)
{
	struct proposer *proposer = g_new0(struct proposer, 1);

	proposer->kernel = kernel;
	g_queue_init(&proposer->queue.claims);
	g_queue_init(&proposer->queue.others);
	proposer->batch = g_ptr_array_new_with_free_func(proposal_free);
	proposer->confirmed = g_ptr_array_new_with_free_func(proposal_free);
	proposer->last_append_us = -OTHER_INTERVAL_US;
	proposer->last_other_us = -OTHER_INTERVAL_US;
	append_rate_set(&proposer->rate, 1);
	proposer->batch_max_count = BATCH_MAX_COUNT;
	return proposer;
}

static void proposer_fini(void *self)
{
	struct proposer *proposer = self;

	proposal_queue_clear(&proposer->queue);
	g_ptr_array_unref(proposer->batch);
	g_ptr_array_unref(proposer->confirmed);
	g_free(proposer);
}

static void G_GNUC_PRINTF(2, 3)
	add_timeline_entry(struct proposer *proposer, const char *format, ...)
{
	struct timeline_entry entry = { .kind = TIMELINE_LOG };
	va_list args;

	va_start(args, format);
	g_vsnprintf(entry.text, sizeof(entry.text), format, args);
	va_end(args);
	timeline_add(kernel_timeline(proposer->kernel), &entry);
}

static void drop_record(struct proposer *proposer, struct record *record,
			const char *reason)
{
	struct event event = { .type = EVENT_PROPOSAL_DROPPED };

	event.record.record = record_ref(record);
	g_strlcpy(event.record.reason, reason, sizeof(event.record.reason));
	counter_add(kernel_counters(proposer->kernel),
		    "proposals_dropped_total", 1);
	add_timeline_entry(proposer, "drop %s: %s",
			   record_kind_name(record->kind), reason);
	kernel_emit(proposer->kernel, &event);
}

/* Drops a proposal that is certain never to take effect. */
static void drop_proposal(struct proposer *proposer, struct proposal *proposal,
			  const char *reason)
{
	drop_record(proposer, proposal->record, reason);
	proposal_free(proposal);
}

static const struct fleet_entry *own_entry(const struct proposer *proposer)
{
	const struct fleet_entry *entry =
		fleet_entry(kernel_fleet(proposer->kernel),
			    kernel_settings(proposer->kernel)->entry);

	return entry && entry->decl.incarnation ==
				       kernel_incarnation(proposer->kernel)
		       ? entry
		       : NULL;
}

/*
 * Moves records from a queue to the batch until their weights add up to
 * max_count, and drops stale ones. Until we are on the roster, only entry_join
 * is moved. Returns the total weight of the moved records.
 */
static uint32_t move_to_batch(struct proposer *proposer, GQueue *queue,
			      uint32_t max_count, bool on_roster)
{
	uint32_t used_count = 0;
	GList *node = queue->head;

	while (node && used_count < max_count) {
		struct proposal *proposal = node->data;
		const struct record *record = proposal->record;
		const char *reason = proposal_stale_reason(
			proposal, kernel_fleet(proposer->kernel),
			kernel_now_us(proposer->kernel));
		GList *next = node->next;

		if (reason) {
			g_queue_delete_link(queue, node);
			drop_proposal(proposer, proposal, reason);
		} else if (on_roster || record->kind == RECORD_ENTRY_JOIN) {
			g_queue_delete_link(queue, node);
			g_ptr_array_add(proposer->batch, proposal);
			used_count += record->kind == RECORD_SNAPSHOT_PART
					      ? SNAPSHOT_PART_WEIGHT_COUNT
					      : 1;
		}
		node = next;
	}
	return used_count;
}

static void fill_batch(struct proposer *proposer, bool others_due)
{
	bool on_roster = own_entry(proposer) != NULL;
	uint32_t free_count = proposer->batch_max_count;
	uint32_t reserved_count =
		others_due ? MIN(proposer->queue.others.length,
				 MIN(OTHERS_RESERVED_COUNT, free_count / 4))
			   : 0;

	free_count -= move_to_batch(proposer, &proposer->queue.claims,
				    free_count - reserved_count, on_roster);
	move_to_batch(proposer, &proposer->queue.others, free_count, on_roster);
}

static void send_batch(struct proposer *proposer)
{
	struct counters *counters = kernel_counters(proposer->kernel);
	int64_t now_us = kernel_now_us(proposer->kernel);
	struct event event = { .type = EVENT_LOG_APPEND };
	GPtrArray *records =
		g_ptr_array_new_with_free_func((GDestroyNotify)record_unref);

	for (guint i = 0; i < proposer->batch->len; i++) {
		struct proposal *proposal = proposer->batch->pdata[i];

		g_ptr_array_add(records, record_ref(proposal->record));
		if (proposal->record->kind != RECORD_CLAIM)
			proposer->last_other_us = now_us;
	}
	event.append.append_id = ++proposer->append_id;
	event.append.records = records;
	proposer->state = BATCH_SENT;
	proposer->state_until_us = now_us + RESPONSE_TIMEOUT_US;
	proposer->last_append_us = now_us;
	append_rate_take(&proposer->rate, now_us);
	counter_add(counters, "appends_total", 1);
	counter_add(counters, "append_records_total", records->len);
	add_timeline_entry(proposer,
			   "append %" G_GUINT64_FORMAT " of %u records",
			   event.append.append_id, records->len);
	kernel_emit(proposer->kernel, &event);
}

/*
 * Sequence numbers are assigned only when no earlier record can still be
 * appended: readers ignore a record whose sequence is not above the last one
 * that was applied.
 */
static void assign_record_ids(struct proposer *proposer)
{
	for (guint i = 0; i < proposer->batch->len; i++) {
		struct proposal *proposal = proposer->batch->pdata[i];
		struct record *record = proposal->record;

		name_copy(record->id.entry, sizeof(record->id.entry),
			  kernel_settings(proposer->kernel)->entry);
		record->id.incarnation = kernel_incarnation(proposer->kernel);
		record->id.sequence = ++proposer->sequence;
		record->wall_us = kernel_wall_us(proposer->kernel);
	}
}

static bool may_send(const struct proposer *proposer)
{
	return proposer->reachable && proposer->state == BATCH_NONE &&
	       fleet_offset(kernel_fleet(proposer->kernel)) >=
		       proposer->catch_up_offset;
}

/* Earliest time of the next append, by intervals, rate and backoff. */
static int64_t next_append_us(const struct proposer *proposer)
{
	int64_t next_us = DEADLINE_NEVER_US;

	if (proposer->queue.others.length)
		next_us = MAX(proposer->last_other_us + OTHER_INTERVAL_US,
			      proposer->last_append_us + CLAIM_INTERVAL_US);
	if (proposer->queue.claims.length)
		next_us = MIN(next_us,
			      proposer->last_append_us + CLAIM_INTERVAL_US);
	if (next_us == DEADLINE_NEVER_US)
		return next_us;
	next_us = MAX(next_us, append_rate_next_us(&proposer->rate));
	return MAX(next_us, proposer->backoff_until_us);
}

/* Whether some record may be sent; before our entry_join, only that one may. */
static bool has_sendable(const struct proposer *proposer)
{
	if (own_entry(proposer))
		return proposal_queue_count(&proposer->queue) > 0;
	return proposal_queue_has_join(&proposer->queue);
}

static void try_send(struct proposer *proposer)
{
	int64_t now_us = kernel_now_us(proposer->kernel);

	if (!may_send(proposer) || !has_sendable(proposer) ||
	    now_us < next_append_us(proposer))
		return;
	fill_batch(proposer,
		   now_us >= proposer->last_other_us + OTHER_INTERVAL_US);
	if (!proposer->batch->len)
		return;
	assign_record_ids(proposer);
	send_batch(proposer);
}

/* Ends a batch that is in the log; unread records wait to be read back. */
static void finish_batch(struct proposer *proposer)
{
	for (guint i = 0; i < proposer->batch->len; i++) {
		struct proposal *proposal = proposer->batch->pdata[i];

		if (proposal->seen)
			proposal_free(proposal);
		else
			g_ptr_array_add(proposer->confirmed, proposal);
	}
	proposals_steal_all(proposer->batch);
	proposer->state = BATCH_NONE;
	proposer->outcome_unknown = false;
	proposer->backoff_us = 0;
}

static void back_off(struct proposer *proposer)
{
	proposer->backoff_us =
		CLAMP(proposer->backoff_us * 2, BACKOFF_MIN_US, BACKOFF_MAX_US);
	proposer->backoff_until_us =
		kernel_now_us(proposer->kernel) + proposer->backoff_us;
}

static void query_log_tail(struct proposer *proposer)
{
	proposer->state = BATCH_QUERYING_TAIL;
	proposer->state_until_us =
		kernel_now_us(proposer->kernel) + RESPONSE_TIMEOUT_US;
	kernel_emit(proposer->kernel,
		    &(struct event){ .type = EVENT_LOG_QUERY });
}

/*
 * Removes the batch up to the last record that was read back. Unread records
 * before that one can no longer take effect, as readers ignore a sequence that
 * does not rise, and are dropped.
 */
static void drop_superseded(struct proposer *proposer)
{
	guint last_seen = proposer->batch->len;

	while (last_seen > 0 &&
	       !((struct proposal *)proposer->batch->pdata[last_seen - 1])
			->seen)
		last_seen--;
	for (guint i = 0; i < last_seen; i++) {
		struct proposal *proposal = proposer->batch->pdata[i];

		if (!proposal->seen)
			drop_record(proposer, proposal->record,
				    "a later record took effect before it");
	}
	if (last_seen)
		g_ptr_array_remove_range(proposer->batch, 0, last_seen);
}

/* The log was read up to its tail: appends the missing records again. */
static void resend(struct proposer *proposer)
{
	drop_superseded(proposer);
	if (!proposer->batch->len) {
		finish_batch(proposer);
		return;
	}
	add_timeline_entry(proposer, "append %u records again",
			   proposer->batch->len);
	send_batch(proposer);
}

static void check_tail_read(struct proposer *proposer)
{
	int64_t now_us = kernel_now_us(proposer->kernel);
	int64_t next_us = MAX(append_rate_next_us(&proposer->rate),
			      proposer->backoff_until_us);

	if (proposer->state != BATCH_READING_TAIL || !proposer->reachable ||
	    fleet_offset(kernel_fleet(proposer->kernel)) <
		    proposer->tail_offset)
		return;
	if (proposals_all_seen(proposer->batch))
		finish_batch(proposer);
	else if (now_us >= next_us)
		resend(proposer);
}

static void on_append_unknown(struct proposer *proposer)
{
	counter_add(kernel_counters(proposer->kernel), "append_unknown_total",
		    1);
	add_timeline_entry(proposer,
			   "answer of append %" G_GUINT64_FORMAT " was lost",
			   proposer->append_id);
	proposer->outcome_unknown = true;
	back_off(proposer);
	if (proposals_all_seen(proposer->batch))
		finish_batch(proposer);
	else
		query_log_tail(proposer);
}

/*
 * The log may reject this record by itself, for example for its size: it moves
 * to the end of the queue, and is dropped once it has expired.
 */
static void on_single_record_rejected(struct proposer *proposer)
{
	struct proposal *proposal = g_ptr_array_steal_index(proposer->batch, 0);

	if (kernel_now_us(proposer->kernel) < proposal->expires_us)
		proposal_queue_add(&proposer->queue, proposal);
	else
		drop_proposal(proposer, proposal,
			      "log has refused it for too long");
}

static void on_append_rejected(struct proposer *proposer)
{
	back_off(proposer);
	if (proposer->outcome_unknown) {
		/* An earlier append of these records may still take effect. */
		proposer->state = BATCH_BACKOFF;
		proposer->state_until_us = proposer->backoff_until_us;
		return;
	}
	proposer->state = BATCH_NONE;
	proposer->batch_max_count = MAX(proposer->batch->len / 2, 1);
	if (proposer->batch->len > 1)
		proposal_queue_return(&proposer->queue, proposer->batch);
	else
		on_single_record_rejected(proposer);
}

static void on_appended(struct proposer *proposer, const struct event *event)
{
	if (proposer->state != BATCH_SENT ||
	    event->append.append_id != proposer->append_id)
		return;
	switch (event->append.result) {
	case APPEND_OK:
		proposals_set_offsets(proposer->batch,
				      event->append.first_offset);
		finish_batch(proposer);
		proposer->batch_max_count =
			MIN(2 * proposer->batch_max_count, BATCH_MAX_COUNT);
		break;
	case APPEND_NOT_STORED:
		on_append_rejected(proposer);
		break;
	case APPEND_UNKNOWN:
		on_append_unknown(proposer);
		break;
	}
}

static void on_log_state(struct proposer *proposer, const struct event *event)
{
	int64_t now_us = kernel_now_us(proposer->kernel);
	int64_t jitter_us;

	if (event->log.reachable && !proposer->reachable) {
		proposer->catch_up_offset = event->log.next_offset - 1;
		proposer->backoff_us = 0;
		proposer->backoff_until_us = 0;
		proposer->batch_max_count = BATCH_MAX_COUNT;
	}
	if (event->log.reachable && !proposer->reachable &&
	    proposer->was_reachable) {
		/* Jitter: waiting entries must not all append at once. */
		jitter_us =
			g_rand_int_range(kernel_random(proposer->kernel), 0,
					 (gint32)proposer->rate.interval_us);
		append_rate_empty(&proposer->rate, now_us);
		proposer->rate.full_at_us += jitter_us;
	}
	proposer->reachable = event->log.reachable;
	proposer->was_reachable |= event->log.reachable;
	if (proposer->state == BATCH_QUERYING_TAIL && event->log.reachable) {
		proposer->state = BATCH_READING_TAIL;
		proposer->tail_offset = event->log.next_offset - 1;
	}
}

static void drop_queue(struct proposer *proposer, GQueue *queue,
		       const char *reason)
{
	struct proposal *proposal;

	while ((proposal = g_queue_pop_head(queue)))
		drop_proposal(proposer, proposal, reason);
}

/*
 * Our entry was removed from the roster: readers ignore all later records of
 * this incarnation, and all earlier ones have been read back.
 */
static void drop_all(struct proposer *proposer)
{
	const char *reason = "entry is no longer on the roster";

	for (guint i = 0; i < proposer->batch->len; i++) {
		struct proposal *proposal = proposer->batch->pdata[i];

		if (!proposal->seen)
			drop_record(proposer, proposal->record, reason);
	}
	g_ptr_array_set_size(proposer->batch, 0);
	proposer->state = BATCH_NONE;
	proposer->outcome_unknown = false;
	drop_queue(proposer, &proposer->queue.claims, reason);
	drop_queue(proposer, &proposer->queue.others, reason);
}

static void on_roster_changed(struct proposer *proposer)
{
	const struct fleet *fleet = kernel_fleet(proposer->kernel);
	bool on_roster = own_entry(proposer) != NULL;

	append_rate_set(&proposer->rate, fleet_entries(fleet)->len);
	if (proposer->was_on_roster && !on_roster)
		drop_all(proposer);
	proposer->was_on_roster = on_roster;
}

/* A snapshot has replaced the state: records in it are not read one by one. */
static void on_fleet_reset(struct proposer *proposer)
{
	const struct fleet_entry *entry = own_entry(proposer);

	for (guint i = 0; entry && i < proposer->batch->len; i++) {
		struct proposal *proposal = proposer->batch->pdata[i];

		if (proposal->record->id.sequence <= entry->last_sequence)
			proposal->seen = true;
	}
}

static void on_propose(struct proposer *proposer, const struct event *event)
{
	struct record *record = event->record.record;

	if (proposal_queue_count(&proposer->queue) >= QUEUE_MAX_COUNT) {
		drop_record(proposer, record, "queue of proposals is full");
		return;
	}
	proposal_queue_add(
		&proposer->queue,
		proposal_new(record, kernel_now_us(proposer->kernel)));
}

/* Drops expired proposals; returns when the next one may expire. */
static int64_t drop_expired(struct proposer *proposer)
{
	int64_t now_us = kernel_now_us(proposer->kernel);
	struct proposal *proposal;

	while ((proposal =
			proposal_queue_take_expired(&proposer->queue, now_us)))
		drop_proposal(proposer, proposal,
			      "log was unreachable for too long");
	return proposer->queue.next_expiry_us;
}

/* Handles a missing response by a query of the log's tail. */
static void check_response_timeout(struct proposer *proposer)
{
	if (proposer->state == BATCH_NONE ||
	    proposer->state == BATCH_READING_TAIL ||
	    kernel_now_us(proposer->kernel) < proposer->state_until_us)
		return;
	if (proposer->state == BATCH_SENT)
		on_append_unknown(proposer);
	else
		query_log_tail(proposer);
}

static void schedule_wakeup(struct proposer *proposer)
{
	int64_t next_us = DEADLINE_NEVER_US;

	if (!proposer->reachable) {
		next_us = drop_expired(proposer);
	} else if (may_send(proposer) && has_sendable(proposer)) {
		next_us = next_append_us(proposer);
	} else if (proposer->state == BATCH_READING_TAIL) {
		next_us = MAX(append_rate_next_us(&proposer->rate),
			      proposer->backoff_until_us);
		if (next_us <= kernel_now_us(proposer->kernel))
			next_us = DEADLINE_NEVER_US;
	}
	if (proposer->state != BATCH_NONE &&
	    proposer->state != BATCH_READING_TAIL)
		next_us = MIN(next_us, proposer->state_until_us);
	if (next_us != DEADLINE_NEVER_US)
		kernel_wake_at(proposer->kernel, next_us);
}

static void proposer_handle(void *self, const struct event *event)
{
	struct proposer *proposer = self;

	switch (event->type) {
	case EVENT_PROPOSE:
		on_propose(proposer, event);
		break;
	case EVENT_LOG_APPENDED:
		on_appended(proposer, event);
		break;
	case EVENT_LOG_STATE:
		on_log_state(proposer, event);
		break;
	case EVENT_FLEET_CHANGED:
		proposals_mark_seen(proposer->batch, &event->record.record->id);
		proposals_mark_seen(proposer->confirmed,
				    &event->record.record->id);
		on_roster_changed(proposer);
		break;
	case EVENT_FLEET_RESET:
		on_fleet_reset(proposer);
		on_roster_changed(proposer);
		break;
	default:
		break;
	}
	proposals_remove_read(proposer->confirmed,
			      fleet_offset(kernel_fleet(proposer->kernel)));
	check_response_timeout(proposer);
	check_tail_read(proposer);
	try_send(proposer);
	schedule_wakeup(proposer);
}

static const struct plugin proposer_plugin = {
	.name = "proposer",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_WAKE) | EVENT_BIT(EVENT_PROPOSE) |
		EVENT_BIT(EVENT_LOG_APPENDED) | EVENT_BIT(EVENT_LOG_STATE) |
		EVENT_BIT(EVENT_FLEET_CHANGED) | EVENT_BIT(EVENT_FLEET_RESET),
	.init = proposer_init,
	.handle = proposer_handle,
	.fini = proposer_fini,
};

PLUGIN_REGISTER(proposer_plugin)
