/*
 * The planner lease. Its holder plans moves and waves for all data centres. The
 * records of the holder carry the lease's fencing token, so that records of an
 * earlier holder are ignored.
 */

#include "decide/planner.h"

#include <string.h>

#include "kernel/klog.h"

#define LOG_PREFIX "planner"
#define RENEW_INTERVAL_US (2 * USEC_PER_SEC)
#define TICK_INTERVAL_US (1 * USEC_PER_SEC)
/* Spreads the claims of entries after an expiry, so that few of them race. */
#define CLAIM_JITTER_US (1 * USEC_PER_SEC)
/* Pending key of lease records; no declared name may contain '='. */
#define LEASE_KEY "=lease"

/* Sets the start of the lease timeout and discards the drawn claim time. */
static void restart_lease_timeout(struct planner *planner,
				  int64_t lease_seen_us)
{
	planner->lease_seen_us = lease_seen_us;
	planner->claim_at_us = 0;
}

static void *planner_init(struct kernel *kernel)
{
	struct planner *planner = g_new0(struct planner, 1);

	planner->kernel = kernel;
	planner->moves = kernel_ops(kernel, PLUGIN_MOVES);
	planner->waves = kernel_ops(kernel, PLUGIN_WAVES);
	if (!planner->moves || !planner->waves) {
		klog_error(LOG_PREFIX,
			   "unknown moves or waves policy in the settings");
		g_free(planner);
		return NULL;
	}
	planner->moves_self = planner->moves->create();
	planner->waves_self = planner->waves->create();
	planner->pending = pending_new(kernel);
	planner->lease_seen_us = kernel_now_us(kernel);
	planner_watch_init(planner);
	return planner;
}

static void planner_fini(void *self)
{
	struct planner *planner = self;

	planner->moves->free(planner->moves_self);
	planner->waves->free(planner->waves_self);
	pending_free(planner->pending);
	planner_watch_free(planner);
	g_free(planner);
}

struct record *planner_record(const struct planner *planner,
			      enum record_kind kind, const char *instance)
{
	struct record *record = record_new(kind);

	record->instance.token = planner->token;
	name_copy(record->instance.instance, NAME_SIZE_BYTES, instance);
	return record;
}

static void announce_role(struct planner *planner, bool holds)
{
	struct event event = { .type = EVENT_ROLE_CHANGED };
	struct timeline_entry entry = { .kind = TIMELINE_ROLE,
					.offset = planner->token };

	name_copy(event.subject.name, NAME_SIZE_BYTES,
		  kernel_settings(planner->kernel)->entry);
	event.subject.offset = planner->token;
	event.subject.value = holds;
	kernel_emit(planner->kernel, &event);
	g_snprintf(entry.text, sizeof(entry.text), "planner lease %s",
		   holds ? "gained" : "given up");
	timeline_add(kernel_timeline(planner->kernel), &entry);
	klog_info(LOG_PREFIX, "%s", entry.text);
}

static void give_up_lease(struct planner *planner)
{
	pending_clear(planner->pending);
	if (!planner->token)
		return;
	announce_role(planner, false);
	planner->token = 0;
}

static void acquire_lease(struct planner *planner, uint64_t token)
{
	int64_t now_us = kernel_now_us(planner->kernel);

	pending_clear(planner->pending);
	planner->token = token;
	planner->renew_at_us = now_us + RENEW_INTERVAL_US;
	planner->tick_at_us = now_us + TICK_INTERVAL_US;
	planner_hold_all_dcs(planner);
	announce_role(planner, true);
}

/* After a pause, the lease may have expired and the observations are stale. */
static void on_resumed(struct planner *planner)
{
	give_up_lease(planner);
	restart_lease_timeout(planner, kernel_now_us(planner->kernel));
}

static bool is_own_entry(const struct planner *planner, const char *entry,
			 uint64_t incarnation)
{
	return !strcmp(entry, kernel_settings(planner->kernel)->entry) &&
	       incarnation == kernel_incarnation(planner->kernel);
}

static bool may_propose(const struct planner *planner)
{
	return planner->log_reachable &&
	       fleet_offset(kernel_fleet(planner->kernel)) + 1 >=
		       planner->log_next_offset;
}

/* When the lease may be claimed. The jitter is drawn once it has expired. */
static int64_t next_claim_us(struct planner *planner)
{
	int64_t expiry_us = planner->lease_seen_us + PLANNER_LEASE_US;

	if (kernel_now_us(planner->kernel) < expiry_us)
		return expiry_us;
	if (!planner->claim_at_us)
		planner->claim_at_us =
			expiry_us +
			g_rand_int_range(kernel_random(planner->kernel), 0,
					 CLAIM_JITTER_US);
	return planner->claim_at_us;
}

static void try_claim(struct planner *planner)
{
	struct fleet *fleet = kernel_fleet(planner->kernel);
	const struct settings *settings = kernel_settings(planner->kernel);
	const struct fleet_entry *entry = fleet_entry(fleet, settings->entry);
	int64_t now_us = kernel_now_us(planner->kernel);
	struct record *record;

	if (planner->draining || now_us < next_claim_us(planner) ||
	    !may_propose(planner) || !entry ||
	    !is_own_entry(planner, entry->decl.name, entry->decl.incarnation) ||
	    pending_has(planner->pending, LEASE_KEY))
		return;
	record = record_new(RECORD_LEASE_CLAIM);
	record->lease.token = fleet_lease(fleet)->token;
	pending_propose(planner->pending, LEASE_KEY, record);
}

static void try_renew(struct planner *planner)
{
	int64_t now_us = kernel_now_us(planner->kernel);
	struct record *record;

	if (now_us < planner->renew_at_us || !may_propose(planner) ||
	    pending_has(planner->pending, LEASE_KEY))
		return;
	planner->renew_at_us = now_us + RENEW_INTERVAL_US;
	record = record_new(RECORD_LEASE_RENEW);
	record->lease.token = planner->token;
	pending_propose(planner->pending, LEASE_KEY, record);
}

static void run_tick(struct planner *planner)
{
	int64_t now_us = kernel_now_us(planner->kernel);

	if (now_us < planner->tick_at_us)
		return;
	planner->tick_at_us = now_us + TICK_INTERVAL_US;
	if (may_propose(planner))
		planner_tick(planner);
}

static void run_due(struct planner *planner)
{
	int64_t now_us = kernel_now_us(planner->kernel);

	if (!planner->token) {
		try_claim(planner);
		if (!planner->draining && now_us < next_claim_us(planner))
			kernel_wake_at(planner->kernel, next_claim_us(planner));
		return;
	}
	try_renew(planner);
	run_tick(planner);
	kernel_wake_at(planner->kernel, planner->tick_at_us);
	if (planner->renew_at_us > now_us)
		kernel_wake_at(planner->kernel, planner->renew_at_us);
}

static bool holds_lease(const struct planner *planner)
{
	const struct fleet_lease *lease =
		fleet_lease(kernel_fleet(planner->kernel));

	return lease->token == planner->token &&
	       is_own_entry(planner, lease->holder, lease->incarnation);
}

static bool is_planner_record(const struct record *record)
{
	switch (record->kind) {
	case RECORD_LEASE_CLAIM:
	case RECORD_LEASE_RENEW:
	case RECORD_MOVE_START:
	case RECORD_MOVE_COMMIT:
	case RECORD_MOVE_ABORT:
	case RECORD_MAINT_START:
	case RECORD_MAINT_REBOOT:
	case RECORD_MAINT_DONE:
	case RECORD_INSTANCE_DOWN:
	case RECORD_INSTANCE_UP:
	case RECORD_JOB_PLACE:
	case RECORD_JOB_RENEW:
	case RECORD_JOB_END:
	case RECORD_JOB_SET_ASIDE:
		return true;
	default:
		return false;
	}
}

/* Delays the next claim after one that failed. */
static void delay_claim(struct planner *planner)
{
	int64_t now_us = kernel_now_us(planner->kernel);

	restart_lease_timeout(
		planner, MAX(planner->lease_seen_us,
			     now_us - PLANNER_LEASE_US + RENEW_INTERVAL_US));
}

static void on_lease_claim(struct planner *planner, const struct event *event,
			   bool is_own)
{
	const struct fleet_lease *lease =
		fleet_lease(kernel_fleet(planner->kernel));

	if (is_own && event->record.accepted &&
	    lease->token == event->record.offset)
		acquire_lease(planner, event->record.offset);
	else
		delay_claim(planner);
}

static void on_fleet_changed(struct planner *planner, const struct event *event)
{
	const struct record *record = event->record.record;
	bool is_own = pending_settle(planner->pending, event);
	const struct fleet_instance *instance = NULL;

	if (event->record.accepted && is_planner_record(record))
		restart_lease_timeout(planner, kernel_now_us(planner->kernel));
	if (record->kind == RECORD_LEASE_CLAIM)
		on_lease_claim(planner, event, is_own);
	if (record->kind >= RECORD_ENTRY_JOIN &&
	    record->kind <= RECORD_ENTRY_GONE)
		planner_on_roster_changed(planner);
	if (planner->token && !holds_lease(planner))
		give_up_lease(planner);
	if (!event->record.accepted || record->kind < RECORD_MOVE_START ||
	    record->kind > RECORD_INSTANCE_UP)
		return;
	planner_on_record(planner, record);
	instance = fleet_instance(kernel_fleet(planner->kernel),
				  record->instance.instance);
	if (planner->token && instance && may_propose(planner))
		planner_step_instance(planner, instance);
}

static void on_fleet_reset(struct planner *planner)
{
	planner_on_roster_changed(planner);
	if (planner->token && !holds_lease(planner))
		give_up_lease(planner);
}

static void on_log_state(struct planner *planner, const struct event *event)
{
	/* No planner record could be seen while the log was unreachable. */
	if (event->log.reachable && !planner->log_reachable)
		restart_lease_timeout(planner, kernel_now_us(planner->kernel));
	planner->log_reachable = event->log.reachable;
	planner->log_next_offset = event->log.next_offset;
}

static void planner_handle(void *self, const struct event *event)
{
	struct planner *planner = self;

	switch (event->type) {
	case EVENT_DRAIN:
		planner->draining = true;
		break;
	case EVENT_RESUMED:
		on_resumed(planner);
		break;
	case EVENT_FLEET_CHANGED:
		on_fleet_changed(planner, event);
		break;
	case EVENT_FLEET_RESET:
		on_fleet_reset(planner);
		break;
	case EVENT_PROPOSAL_DROPPED:
		if (pending_settle(planner->pending, event))
			delay_claim(planner);
		break;
	case EVENT_LOG_STATE:
		on_log_state(planner, event);
		break;
	case EVENT_INSTANCE_LIST:
		planner_on_instance_list(planner, &event->list);
		break;
	case EVENT_PEER_STATE:
		planner_on_peer_state(planner, &event->peer);
		break;
	case EVENT_PEER_RECEIVED:
		planner_on_peer_msg(planner, &event->peer);
		break;
	default:
		break;
	}
	run_due(planner);
}

static const struct plugin planner_plugin = {
	.name = "planner",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_WAKE) | EVENT_BIT(EVENT_STARTED) |
		EVENT_BIT(EVENT_DRAIN) | EVENT_BIT(EVENT_RESUMED) |
		EVENT_BIT(EVENT_FLEET_CHANGED) | EVENT_BIT(EVENT_FLEET_RESET) |
		EVENT_BIT(EVENT_PROPOSAL_DROPPED) | EVENT_BIT(EVENT_LOG_STATE) |
		EVENT_BIT(EVENT_INSTANCE_LIST) | EVENT_BIT(EVENT_PEER_STATE) |
		EVENT_BIT(EVENT_PEER_RECEIVED),
	.init = planner_init,
	.handle = planner_handle,
	.fini = planner_fini,
};

PLUGIN_REGISTER(planner_plugin)
