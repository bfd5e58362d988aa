/*
 * The jobs lease: one entry instance at a time places and stops work.
 *
 * Claims and renewals are records in the jobs topic. A claim names the token
 * that it replaces. The first such claim in store order wins, and its offset
 * yields the new fencing token. The winner then fences the store, so that no
 * earlier holder can write after the records that the winner reads. Timeouts
 * affect liveness only, not safety. A reader that gets only the newest record
 * of each key may miss a claim; if two entry instances consider themselves the
 * holder, the one with the higher token prevails.
 */

#include "jobs/lease.h"

#include "jobs/connectivity.h"
#include "jobs/holder.h"
#include "jobs/msg.h"
#include "jobs/roster.h"
#include "kernel/decision_log.h"
#include "kernel/kernel.h"

#define RENEW_INTERVAL_US (400 * USEC_PER_MSEC)
/* Others claim when no record of the holder was read for this long. */
#define HOLDER_TIMEOUT_US (1200 * USEC_PER_MSEC)
/* Extra time for a new holder, which fences and reads before it renews. */
#define NEW_HOLDER_GRACE_US (800 * USEC_PER_MSEC)
/* Upper bound of the per-instance delay that keeps claims from colliding. */
#define CLAIM_JITTER_MAX_US (300 * USEC_PER_MSEC)
#define CLAIM_RETRY_US (150 * USEC_PER_MSEC)
/* Extra delay for an entry instance if another one has more CPU. */
#define LESS_CPU_DELAY_US (400 * USEC_PER_MSEC)
/*
 * An entry instance with clearly more CPU than the holder takes the lease over
 * once it has known the holder for this long.
 */
#define PREEMPT_AFTER_US (3 * USEC_PER_SEC)
/* The holder resigns when most workers have not answered for this long. */
#define ISOLATED_MAX_US (1500 * USEC_PER_MSEC)
/* After resigning, leaves the lease to others for this long. */
#define RESIGN_HOLDOFF_US (8 * USEC_PER_SEC)

struct lease {
	struct kernel *kernel;
	uint64_t boot_id;
	bool has_snapshot; /* a snapshot was read */
	bool reachable;
	bool draining;
	uint64_t next_offset; /* every earlier record has been read */
	struct holder holder;
	int64_t last_heard_us;	 /* sign of the holder, or outage end */
	int64_t holder_since_us; /* newest holder first seen here */
	struct roster *roster;
	uint64_t roster_write_id; /* 0: none under way */
	bool roster_written;	  /* our record is in the roster */
	/* State of this process as a claimant or holder */
	uint64_t write_id;
	uint64_t claim_write_id; /* 0: none under way */
	int64_t next_claim_us;
	bool claiming;
	bool urgent;		 /* as in the last struct store_pace sent */
	uint64_t fence_write_id; /* 0: none under way */
	uint64_t fence_token;
	uint64_t fence_end_offset;
	bool fenced;
	uint64_t replaced_token; /* of the previous holder; 0: none */
	/* It and all holders before it had ended before our claim. */
	bool replaced_ended;
	int64_t earlier_orders_until_us; /* earlier holders send none after */
	bool held;
	uint64_t renew_write_id; /* 0: none under way */
	int64_t next_renew_us;
	int64_t renew_sent_us;
	int64_t confirmed_us; /* send time of the newest successful renewal */
	int64_t no_claim_until_us;
	int64_t claim_jitter_us;
	struct connectivity
		*connectivity;	   /* which workers answer, while held */
	int64_t isolated_since_us; /* 0: enough workers answer */
};

/* While claiming, each pause between reads prolongs the time with no holder. */
static void set_pace(struct lease *lease)
{
	bool urgent = lease->held || lease->claiming;
	struct store_pace *pace;

	if (urgent == lease->urgent)
		return;
	lease->urgent = urgent;
	pace = g_rc_box_new0(struct store_pace);
	pace->urgent = urgent;
	kernel_emit_msg(lease->kernel, EVENT_STORE_PACE, pace);
}

static uint64_t write_holder_record(struct lease *lease,
				    enum store_writer writer,
				    enum holder_action action, uint64_t token)
{
	struct store_write *write = store_write_new(writer);
	struct job_record *record;

	/* Odd ids; the sched plug-in uses even ones. */
	lease->write_id += 2;
	write->write_id = lease->write_id;
	write->token = token;
	write->sent_us = kernel_now_us(lease->kernel);
	if (writer != STORE_WRITER_FENCE) {
		record = job_record_new(JOB_RECORD_HOLDER);
		g_strlcpy(record->entry, kernel_settings(lease->kernel)->entry,
			  sizeof(record->entry));
		record->boot_id = lease->boot_id;
		record->token = token;
		record->action = action;
		record->earlier_ended = action != HOLDER_CLAIM &&
					kernel_now_us(lease->kernel) >=
						lease->earlier_orders_until_us;
		g_ptr_array_add(write->records, record);
	}
	kernel_emit_msg(lease->kernel, EVENT_STORE_WRITE, write);
	return lease->write_id;
}

/* Tells the other entry instances how to reach this one, and its CPU. */
static void write_roster(struct lease *lease)
{
	const struct settings *settings = kernel_settings(lease->kernel);
	struct store_write *write;
	struct job_record *record;

	if (lease->roster_written || lease->roster_write_id ||
	    !lease->has_snapshot || !lease->reachable ||
	    (!settings->cpu_milli && !settings->forward_address[0]))
		return;
	write = store_write_new(STORE_WRITER_CLAIM);
	record = job_record_new(JOB_RECORD_ENTRY);
	g_strlcpy(record->entry, settings->entry, sizeof(record->entry));
	record->cpu_milli = settings->cpu_milli;
	g_strlcpy(record->address, settings->forward_address,
		  sizeof(record->address));
	g_strlcpy(record->dc, settings->dc, sizeof(record->dc));
	g_ptr_array_add(write->records, record);
	lease->write_id += 2;
	lease->roster_write_id = lease->write_id;
	write->write_id = lease->write_id;
	kernel_emit_msg(lease->kernel, EVENT_STORE_WRITE, write);
}

/* How long leases of earlier holders may last yet; 0: there are none. */
static int64_t earlier_leases_left_ms(const struct lease *lease,
				      const struct holder_changed *changed)
{
	if (!changed->earlier_holder_until_us)
		return 0;
	return (changed->earlier_holder_until_us -
		kernel_now_us(lease->kernel)) /
	       USEC_PER_MSEC;
}

static void announce_holder(struct lease *lease, bool held)
{
	struct holder_changed *changed = g_rc_box_new0(struct holder_changed);
	const struct job_bounds *bounds =
		&kernel_settings(lease->kernel)->bounds;
	struct event event = { .type = EVENT_HOLDER_CHANGED };

	lease->held = held;
	lease->isolated_since_us = 0;
	connectivity_clear(lease->connectivity);
	changed->held = held;
	changed->token = lease->fence_token;
	if (held && lease->replaced_token) {
		changed->earlier_holder_until_us =
			lease->earlier_orders_until_us + EARLIER_ORDER_MAX_US +
			worker_lease_any_life_us(bounds);
	}
	decision_log(held ? "hold" : "yield",
		     "token=%" G_GUINT64_FORMAT " newest=%" G_GUINT64_FORMAT
		     " newest_entry=%s replaced=%" G_GUINT64_FORMAT
		     " ended=%d leases_left_ms=%" G_GINT64_FORMAT,
		     lease->fence_token, lease->holder.token,
		     lease->holder.entry, lease->replaced_token,
		     lease->replaced_ended,
		     earlier_leases_left_ms(lease, changed));
	counter_set(kernel_counters(lease->kernel), "jobs_held", held);
	event.msg = changed;
	kernel_emit_front(lease->kernel, &event);
}

static void step_down(struct lease *lease)
{
	lease->claiming = false;
	lease->fenced = false;
	lease->fence_write_id = 0;
	lease->renew_write_id = 0;
	if (lease->held)
		announce_holder(lease, false);
}

static void resign(struct lease *lease)
{
	write_holder_record(lease, STORE_WRITER_HOLDER, HOLDER_RESIGN,
			    lease->fence_token);
	lease->no_claim_until_us =
		kernel_now_us(lease->kernel) + RESIGN_HOLDOFF_US;
	step_down(lease);
}

static void become_holder(struct lease *lease)
{
	int64_t now_us = kernel_now_us(lease->kernel);

	if (lease->held || !lease->fenced ||
	    lease->next_offset < lease->fence_end_offset)
		return;
	if (lease->draining) {
		resign(lease);
		return;
	}
	lease->confirmed_us = now_us;
	lease->next_renew_us = now_us;
	announce_holder(lease, true);
}

static bool is_own_record(const struct lease *lease,
			  const struct job_record *record)
{
	return holder_record_origin(record,
				    kernel_settings(lease->kernel)->entry,
				    lease->boot_id) == ORIGIN_THIS_PROCESS;
}

static enum holder_origin newest_holder_origin(const struct lease *lease)
{
	return holder_origin(&lease->holder,
			     kernel_settings(lease->kernel)->entry,
			     lease->boot_id);
}

/*
 * Whether the newest holder is a process of this entry instance that no longer
 * holds the lease.
 */
static bool holder_was_local(const struct lease *lease)
{
	switch (newest_holder_origin(lease)) {
	case ORIGIN_EARLIER_PROCESS:
		return true;
	case ORIGIN_THIS_PROCESS:
		return !lease->held;
	default:
		return false;
	}
}

/* A claim of this process has won: fences the store. */
static void on_claim_won(struct lease *lease, const struct job_record *claim)
{
	lease->replaced_token = claim->token;
	lease->replaced_ended =
		(lease->holder.resigned || holder_was_local(lease)) &&
		lease->holder.earlier_ended;
	lease->earlier_orders_until_us = kernel_now_us(lease->kernel);
	if (lease->replaced_token && !lease->replaced_ended)
		lease->earlier_orders_until_us += HOLDER_UNCONFIRMED_MAX_US;
	lease->fence_token = holder_record_token(claim);
	lease->fence_write_id = write_holder_record(
		lease, STORE_WRITER_FENCE, HOLDER_CLAIM, lease->fence_token);
}

static void apply_holder_record(struct lease *lease,
				const struct job_record *record)
{
	uint64_t token = holder_record_token(record);
	bool claims = record->action == HOLDER_CLAIM;

	if (!holder_record_is_valid(&lease->holder, record)) {
		/* Our claim has lost, unless this is a copy of one that won. */
		if (is_own_record(lease, record) &&
		    newest_holder_origin(lease) != ORIGIN_THIS_PROCESS)
			lease->claiming = false;
		return;
	}
	lease->last_heard_us = kernel_now_us(lease->kernel);
	if (claims)
		lease->last_heard_us += NEW_HOLDER_GRACE_US;
	if (claims && is_own_record(lease, record) &&
	    token > lease->fence_token)
		on_claim_won(lease, record);
	if (token != lease->holder.token)
		lease->holder_since_us = kernel_now_us(lease->kernel);
	holder_update(&lease->holder, record);
	if (!is_own_record(lease, record))
		step_down(lease);
}

static void apply_records(struct lease *lease, const struct store_read *read)
{
	for (guint i = 0; i < read->records->len; i++) {
		const struct job_record *record = read->records->pdata[i];

		if (record->kind == JOB_RECORD_HOLDER)
			apply_holder_record(lease, record);
		else if (record->kind == JOB_RECORD_ENTRY)
			roster_add(lease->roster, record);
		else if (record->kind == JOB_RECORD_PROGRESS)
			lease->last_heard_us = kernel_now_us(lease->kernel);
	}
}

static void apply_snapshot(struct lease *lease, const struct store_read *read)
{
	int64_t heard_us = lease->last_heard_us;
	GPtrArray *holder_records = holder_sorted_records(read);

	for (guint i = 0; i < read->records->len; i++) {
		const struct job_record *record = read->records->pdata[i];

		if (record->kind == JOB_RECORD_ENTRY)
			roster_add(lease->roster, record);
	}
	for (guint i = 0; i < holder_records->len; i++)
		apply_holder_record(lease, holder_records->pdata[i]);
	g_ptr_array_unref(holder_records);
	/* Records of a snapshot may be old and are no sign of life. */
	lease->last_heard_us = heard_us;
}

static void on_applied(struct lease *lease, const struct store_read *read)
{
	int64_t now_us = kernel_now_us(lease->kernel);

	if (read->local)
		return;
	if (!read->reachable) {
		lease->reachable = false;
		return;
	}
	/* The holder can't be heard while the store is unreachable. */
	if (!lease->reachable)
		lease->last_heard_us = now_us;
	lease->reachable = true;
	lease->next_offset = MAX(lease->next_offset, read->next_offset);
	if (read->snapshot)
		apply_snapshot(lease, read);
	else
		apply_records(lease, read);
	if (read->snapshot)
		lease->has_snapshot = true;
	become_holder(lease);
}

static void on_written(struct lease *lease, const struct store_write *write)
{
	int64_t now_us = kernel_now_us(lease->kernel);

	if (write->write_id == lease->roster_write_id) {
		lease->roster_write_id = 0;
		lease->roster_written = write->result == STORE_WRITTEN;
		return;
	}
	if (write->write_id == lease->claim_write_id) {
		lease->claim_write_id = 0;
		lease->next_claim_us = now_us + CLAIM_RETRY_US;
		return;
	}
	if (write->write_id == lease->fence_write_id) {
		lease->fence_write_id = 0;
		if (write->result != STORE_WRITTEN)
			return;
		lease->fenced = true;
		lease->fence_end_offset = write->end_offset;
		become_holder(lease);
		return;
	}
	if (write->writer != STORE_WRITER_HOLDER)
		return;
	if (write->result == STORE_FENCED && write->token == lease->fence_token)
		step_down(lease);
	if (write->write_id != lease->renew_write_id)
		return;
	lease->renew_write_id = 0;
	if (write->result == STORE_WRITTEN)
		lease->confirmed_us = lease->renew_sent_us;
}

/*
 * Resigns when most workers have not answered for too long: they may answer
 * another entry instance.
 */
static void check_isolated(struct lease *lease)
{
	int64_t now_us = kernel_now_us(lease->kernel);

	if (!connectivity_is_lost(lease->connectivity, now_us)) {
		lease->isolated_since_us = 0;
		return;
	}
	if (!lease->isolated_since_us) {
		lease->isolated_since_us = now_us;
		kernel_emit(lease->kernel,
			    &(struct event){ .type = EVENT_MACHINES_POLL });
	}
	if (now_us - lease->isolated_since_us < ISOLATED_MAX_US)
		return;
	decision_log("resign", "reason=isolated token=%" G_GUINT64_FORMAT,
		     lease->fence_token);
	resign(lease);
}

static void on_machines(struct lease *lease, const struct machines_seen *seen)
{
	if (!lease->held || !seen->complete)
		return;
	connectivity_drop_gone(lease->connectivity, seen);
	check_isolated(lease);
}

/* A worker may see a successor's token before this process reads its claim. */
static void on_order(struct lease *lease, const struct order *order)
{
	if (lease->held && order->token == lease->fence_token) {
		connectivity_record_order(lease->connectivity, order,
					  kernel_now_us(lease->kernel));
		/* An answered order can only end an isolation. */
		if (!order_is_answered(order) || lease->isolated_since_us)
			check_isolated(lease);
	}
	if (lease->held && order->result == ORDER_FENCED &&
	    order->token == lease->fence_token) {
		decision_log("fenced", "worker=%s token=%" G_GUINT64_FORMAT,
			     order->worker, order->token);
		step_down(lease);
	}
}

/* How long the holder must be silent before this process claims. */
static int64_t claim_timeout_us(const struct lease *lease)
{
	uint32_t cpu_milli = kernel_settings(lease->kernel)->cpu_milli;
	int64_t silence_us = HOLDER_TIMEOUT_US + lease->claim_jitter_us;

	if (lease->holder.resigned || !lease->holder.token)
		silence_us = lease->claim_jitter_us;
	if (holder_was_local(lease))
		silence_us = 0;
	if (roster_any_has_more_cpu(lease->roster, cpu_milli))
		silence_us += LESS_CPU_DELAY_US;
	return silence_us;
}

/* Work is scheduled by one process; it should be one with enough CPU. */
static bool may_preempt_holder(const struct lease *lease, int64_t now_us)
{
	uint32_t holder_milli =
		roster_cpu_milli(lease->roster, lease->holder.entry);

	return lease->holder.token && !lease->holder.resigned &&
	       newest_holder_origin(lease) != ORIGIN_THIS_PROCESS &&
	       roster_has_more_cpu(kernel_settings(lease->kernel)->cpu_milli,
				   holder_milli) &&
	       now_us - lease->holder_since_us >=
		       PREEMPT_AFTER_US + lease->claim_jitter_us;
}

static bool may_claim(const struct lease *lease, int64_t now_us)
{
	if (lease->held || lease->draining || !lease->has_snapshot ||
	    !lease->reachable || lease->claim_write_id ||
	    lease->fence_write_id || lease->fenced ||
	    now_us < lease->next_claim_us ||
	    now_us < lease->no_claim_until_us || !kernel_queues(lease->kernel))
		return false;
	return now_us - lease->last_heard_us >= claim_timeout_us(lease) ||
	       may_preempt_holder(lease, now_us);
}

/*
 * While a renewal is under way, only its timeout needs a wake-up: the store's
 * answer arrives as an event.
 */
static int64_t next_tick_us(const struct lease *lease, int64_t now_us)
{
	if (!lease->held)
		return now_us + CLAIM_RETRY_US;
	if (lease->renew_write_id)
		return lease->confirmed_us + HOLDER_UNCONFIRMED_MAX_US;
	return lease->next_renew_us;
}

static void tick(struct lease *lease)
{
	int64_t now_us = kernel_now_us(lease->kernel);

	if (lease->held &&
	    now_us - lease->confirmed_us >= HOLDER_UNCONFIRMED_MAX_US) {
		decision_log("unconfirmed", "age_ms=%" G_GINT64_FORMAT,
			     (now_us - lease->confirmed_us) / USEC_PER_MSEC);
		step_down(lease);
	}
	if (lease->held && !lease->renew_write_id &&
	    now_us >= lease->next_renew_us) {
		lease->renew_sent_us = now_us;
		lease->next_renew_us = now_us + RENEW_INTERVAL_US;
		lease->renew_write_id =
			write_holder_record(lease, STORE_WRITER_HOLDER,
					    HOLDER_RENEW, lease->fence_token);
	}
	write_roster(lease);
	if (may_claim(lease, now_us)) {
		decision_log("claim",
			     "silence_ms=%" G_GINT64_FORMAT
			     " next_offset=%" G_GUINT64_FORMAT,
			     (now_us - lease->last_heard_us) / USEC_PER_MSEC,
			     lease->next_offset);
		lease->claiming = true;
		lease->claim_write_id =
			write_holder_record(lease, STORE_WRITER_CLAIM,
					    HOLDER_CLAIM, lease->holder.token);
	}
	set_pace(lease);
	kernel_wake_at(lease->kernel, next_tick_us(lease, now_us));
}

static void on_drain(struct lease *lease)
{
	lease->draining = true;
	if (lease->held)
		resign(lease);
}

static void lease_handle(void *self, const struct event *event)
{
	struct lease *lease = self;

	switch (event->type) {
	case EVENT_JOBS_APPLIED:
		on_applied(lease, event->msg);
		break;
	case EVENT_STORE_WRITTEN:
		on_written(lease, event->msg);
		break;
	case EVENT_ORDER_DONE:
		on_order(lease, event->msg);
		break;
	case EVENT_MACHINES_SEEN:
		on_machines(lease, event->msg);
		break;
	case EVENT_DRAIN:
		on_drain(lease);
		break;
	default:
		break;
	}
	tick(lease);
}

static void *lease_init(struct kernel *kernel)
{
	struct lease *lease = g_new0(struct lease, 1);
	const char *entry = kernel_settings(kernel)->entry;

	lease->kernel = kernel;
	lease->boot_id = ((uint64_t)g_rand_int(kernel_random(kernel)) << 32) |
			 g_rand_int(kernel_random(kernel));
	lease->write_id = 1;
	lease->connectivity = connectivity_new();
	lease->roster = roster_new();
	lease->claim_jitter_us = g_str_hash(entry) % CLAIM_JITTER_MAX_US;
	return lease;
}

static void lease_fini(void *self)
{
	struct lease *lease = self;

	connectivity_free(lease->connectivity);
	roster_free(lease->roster);
	g_free(lease);
}

static const struct plugin lease_plugin = {
	.name = "lease",
	.kind = PLUGIN_JOBS,
	.subscriptions =
		EVENT_BIT(EVENT_JOBS_APPLIED) | EVENT_BIT(EVENT_STORE_WRITTEN) |
		EVENT_BIT(EVENT_WAKE) | EVENT_BIT(EVENT_ORDER_DONE) |
		EVENT_BIT(EVENT_DRAIN) | EVENT_BIT(EVENT_MACHINES_SEEN) |
		EVENT_BIT(EVENT_STARTED) | EVENT_BIT(EVENT_RESUMED),
	.init = lease_init,
	.handle = lease_handle,
	.fini = lease_fini,
};

PLUGIN_REGISTER(lease_plugin)
