/*
 * Divides the slots of the endpoints of one data centre among its entry
 * instances.
 *
 * A change of the data centre's roster can lower our shares at once. It raises
 * them only when every other entry has acknowledged that it has applied the
 * change and uses no more than its own share, and when the requests of entries
 * that ended can no longer run.
 */

#include "decide/slots.h"

#include <stdarg.h>
#include <string.h>

#include "decide/peer_out.h"
#include "decide/slots_share.h"
#include "kernel/klog.h"

#define LOG_PREFIX "slots"

/* The first answer may have been sent before the pause ended. */
#define RESYNC_ANSWERS_COUNT 2
/* Longest pause that goes unnoticed, and time to read the log after it. */
/* From a new request to the check whether it waits. */
#define DEMAND_CHECK_DELAY_US (20 * USEC_PER_MSEC)

static void endpoint_free(gpointer data)
{
	struct slot_endpoint *endpoint = data;

	g_ptr_array_unref(endpoint->lent);
	g_ptr_array_unref(endpoint->borrowed);
	g_ptr_array_unref(endpoint->returned);
	g_free(endpoint);
}

static void *slots_init(struct kernel *kernel)
{
	struct slots *slots = g_new0(struct slots, 1);

	slots->kernel = kernel;
	slots->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 endpoint_free);
	slots->peers = g_ptr_array_new_with_free_func(g_free);
	slots->demands =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	slots->demand_check_us = DEADLINE_NEVER_US;
	slots->resend_us = DEADLINE_NEVER_US;
	slots->return_us = DEADLINE_NEVER_US;
	return slots;
}

static void slots_fini(void *self)
{
	struct slots *slots = self;

	g_hash_table_unref(slots->endpoints);
	g_ptr_array_unref(slots->peers);
	g_hash_table_unref(slots->demands);
	g_free(slots);
}

void slots_trace(struct slots *slots, const char *endpoint, const char *format,
		 ...)
{
	struct timeline_entry entry = { .kind = TIMELINE_SLOTS };
	va_list args;

	name_copy(entry.instance, sizeof(entry.instance), endpoint);
	va_start(args, format);
	g_vsnprintf(entry.text, sizeof(entry.text), format, args);
	va_end(args);
	timeline_add(kernel_timeline(slots->kernel), &entry);
}

struct slot_endpoint *slots_find_endpoint(struct slots *slots, const char *name)
{
	return g_hash_table_lookup(slots->endpoints, name);
}

uint32_t slots_in_flight(const struct slots *slots,
			 const struct slot_endpoint *endpoint)
{
	const struct endpoint_state *state = endpoint_table_find(
		kernel_endpoints(slots->kernel), endpoint->name);

	return state ? state->in_flight_count : 0;
}

void slots_schedule_resend(struct slots *slots)
{
	if (slots->resend_us == DEADLINE_NEVER_US)
		slots->resend_us =
			kernel_now_us(slots->kernel) + SLOTS_RESEND_US;
}

uint32_t loans_total(const GPtrArray *loans)
{
	uint32_t total_count = 0;

	for (guint i = 0; i < loans->len; i++)
		total_count += ((struct loan *)loans->pdata[i])->slots_count;
	return total_count;
}

static uint32_t compute_allowed(const struct slots *slots,
				const struct slot_endpoint *endpoint)
{
	uint32_t owned_count = endpoint->share_count;
	uint32_t lent_count = loans_total(endpoint->lent);

	if (!slots->joined || slots->resyncing || slots->drained)
		return 0;
	for (guint i = 0; i < endpoint->borrowed->len; i++) {
		const struct loan *loan = endpoint->borrowed->pdata[i];

		owned_count += loan->returning ? 0 : loan->slots_count;
	}
	return owned_count > lent_count ? owned_count - lent_count : 0;
}

void slots_update_allowed(struct slots *slots, struct slot_endpoint *endpoint)
{
	struct endpoint_state *state = endpoint_table_get(
		kernel_endpoints(slots->kernel), endpoint->name);
	uint32_t allowed_count = compute_allowed(slots, endpoint);
	struct event event = { .type = EVENT_SLOTS_CHANGED };

	if (state->allowed_count == allowed_count)
		return;
	state->allowed_count = allowed_count;
	name_copy(event.subject.name, sizeof(event.subject.name),
		  endpoint->name);
	event.subject.value = allowed_count;
	kernel_emit(slots->kernel, &event);
}

/* Calls a function for each endpoint of our data centre, in order of name. */
static void for_each_endpoint(struct slots *slots,
			      void (*call)(struct slots *,
					   struct slot_endpoint *))
{
	const GPtrArray *instances =
		fleet_instances(kernel_fleet(slots->kernel));

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		struct slot_endpoint *endpoint =
			slots_find_endpoint(slots, instance->decl.name);

		if (endpoint)
			call(slots, endpoint);
	}
}

static uint32_t own_share(const struct slots *slots,
			  const struct slot_endpoint *endpoint)
{
	const struct settings *settings = kernel_settings(slots->kernel);

	if (!slots->joined)
		return 0;
	return slots_share(fleet_entries(kernel_fleet(slots->kernel)),
			   settings->dc, settings->entry, endpoint->name,
			   endpoint->slot_count);
}

static void lower_share(struct slots *slots, struct slot_endpoint *endpoint)
{
	endpoint->share_count =
		MIN(endpoint->share_count, own_share(slots, endpoint));
	slots_update_allowed(slots, endpoint);
}

static void raise_share(struct slots *slots, struct slot_endpoint *endpoint)
{
	endpoint->share_count = own_share(slots, endpoint);
	slots_update_allowed(slots, endpoint);
}

static struct slot_endpoint *add_endpoint(struct slots *slots, const char *name)
{
	struct slot_endpoint *endpoint = g_new0(struct slot_endpoint, 1);

	name_copy(endpoint->name, sizeof(endpoint->name), name);
	endpoint->lent = g_ptr_array_new_with_free_func(g_free);
	endpoint->borrowed = g_ptr_array_new_with_free_func(g_free);
	endpoint->returned = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(slots->endpoints, endpoint->name, endpoint);
	return endpoint;
}

/* Updates the endpoints of our data centre and their numbers of slots. */
static void update_endpoints(struct slots *slots)
{
	const struct fleet *fleet = kernel_fleet(slots->kernel);
	const GPtrArray *instances = fleet_instances(fleet);

	slots->longest_timeout_us =
		MAX(slots->longest_timeout_us, fleet_longest_timeout_us(fleet));
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		struct slot_endpoint *endpoint;

		if (strcmp(instance->decl.dc,
			   kernel_settings(slots->kernel)->dc) != 0)
			continue;
		endpoint = slots_find_endpoint(slots, instance->decl.name);
		if (!endpoint)
			endpoint = add_endpoint(slots, instance->decl.name);
		endpoint->slot_count = instance->decl.slot_count;
	}
	for_each_endpoint(slots, slots->confirmed ? raise_share : lower_share);
}

/*
 * Requests of an entry that ended run for up to the longest timeout. If it was
 * only paused, and for too short to notice it, it may have sent more requests
 * before it read that it was removed.
 */
static void extend_hold(struct slots *slots)
{
	slots->hold_until_us =
		MAX(slots->hold_until_us, kernel_now_us(slots->kernel) +
						  slots->longest_timeout_us +
						  KERNEL_PAUSE_MARGIN_US);
}

/* An entry that leaves by itself has nothing in flight any more. */
static bool may_leave_running(const struct event *event)
{
	return event->type == EVENT_FLEET_RESET ||
	       event->record.record->kind != RECORD_ENTRY_LEAVE;
}

/* An earlier incarnation of our own counts like another entry. */
static bool own_predecessor_ended(struct slots *slots,
				  const struct fleet_entry *own, bool joined)
{
	bool before = slots->has_predecessor;

	slots->has_predecessor = own && !joined;
	return before && !slots->has_predecessor;
}

static const struct fleet_entry *own_entry(const struct slots *slots)
{
	return fleet_entry(kernel_fleet(slots->kernel),
			   kernel_settings(slots->kernel)->entry);
}

/*
 * Peers on the roster acknowledge only after their own hold for entries that
 * ended earlier. Without peers, we have to hold for those ourselves.
 */
static void note_own_join(struct slots *slots, const struct fleet_entry *own)
{
	slots->joined = true;
	slots->join_offset = own->join_offset;
	if (slots->ended_before_join && !slots->peers->len)
		extend_hold(slots);
}

static void update_roster(struct slots *slots, const struct event *event)
{
	const struct fleet_entry *own = own_entry(slots);
	bool joined = own && own->decl.incarnation ==
				     kernel_incarnation(slots->kernel);
	bool changed = joined != slots->joined;
	GPtrArray *peers = slots_read_peers(slots, &changed);
	bool ended = slots_any_peer_ended(slots, peers);

	changed |= ended;
	g_ptr_array_unref(slots->peers);
	slots->peers = peers;
	ended |= own_predecessor_ended(slots, own, joined);
	if (!changed && !ended)
		return;
	if (ended && may_leave_running(event) && slots->joined)
		extend_hold(slots);
	else if (ended && may_leave_running(event))
		slots->ended_before_join = true;
	if (joined && !slots->joined)
		note_own_join(slots, own);
	slots->joined = joined;
	slots->roster_offset = fleet_offset(kernel_fleet(slots->kernel));
	slots->confirmed = false;
	slots->within_share = false;
	for_each_endpoint(slots, lower_share);
	loans_roster_changed(slots);
}

/*
 * In a share ack, join_offset is set once we are within our share, and
 * slots_count is 1 while we need the ack of the receiver.
 */
static void send_ack(struct slots *slots, const struct local_peer *peer)
{
	struct peer_msg *msg = peer_out_new(slots->kernel, PEER_MSG_SHARE_ACK);

	if (slots->within_share)
		msg->join_offset = fleet_offset(kernel_fleet(slots->kernel));
	msg->slots_count = !slots->confirmed;
	peer_out_send(slots->kernel, peer->name, msg);
}

static bool endpoint_fits(const struct slots *slots,
			  const struct slot_endpoint *endpoint)
{
	return slots_in_flight(slots, endpoint) + loans_total(endpoint->lent) <=
	       endpoint->share_count + loans_total(endpoint->borrowed);
}

static bool all_endpoints_fit(const struct slots *slots)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, slots->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!endpoint_fits(slots, value))
			return false;
	}
	return true;
}

/* Sends the share ack to all peers once what we use fits our share. */
static void check_within_share(struct slots *slots)
{
	if (!slots->joined || slots->within_share || slots->resyncing ||
	    kernel_now_us(slots->kernel) < slots->hold_until_us)
		return;
	loans_release_ended(slots);
	if (!all_endpoints_fit(slots))
		return;
	slots->within_share = true;
	for (guint i = 0; i < slots->peers->len; i++)
		send_ack(slots, slots->peers->pdata[i]);
}

static bool all_acked(const struct slots *slots)
{
	for (guint i = 0; i < slots->peers->len; i++) {
		const struct local_peer *peer = slots->peers->pdata[i];

		if (peer->acked_offset < slots->roster_offset)
			return false;
	}
	return true;
}

/* Raises our shares to those of the newest roster. */
static void check_confirmed(struct slots *slots)
{
	if (!slots->joined || slots->confirmed ||
	    kernel_now_us(slots->kernel) < slots->hold_until_us ||
	    !all_acked(slots))
		return;
	slots->confirmed = true;
	slots_trace(slots, "", "shares of %u entries are in use",
		    slots->peers->len + 1);
	for_each_endpoint(slots, raise_share);
}

static void handle_share_ack(struct slots *slots, const struct peer_msg *msg)
{
	struct local_peer *peer = slots_find_peer(slots, msg->from);

	if (!peer || peer->incarnation != msg->incarnation)
		return;
	peer->acked_offset = MAX(peer->acked_offset, msg->join_offset);
	/* The sender needs our ack. */
	if (msg->slots_count && slots->within_share) {
		struct peer_msg *answer =
			peer_out_new(slots->kernel, PEER_MSG_SHARE_ACK);

		answer->join_offset = fleet_offset(kernel_fleet(slots->kernel));
		peer_out_send(slots->kernel, peer->name, answer);
	}
}

/* We may have been removed from the roster while we were paused. */
static void on_resumed(struct slots *slots)
{
	slots->resyncing = true;
	slots->resync_asked = false;
	slots->resync_answers_count = RESYNC_ANSWERS_COUNT;
	slots->resync_offset = 0;
	klog_warn(LOG_PREFIX, "the process was paused; no new attempts until "
			      "the log is read up to its tail");
	slots_trace(slots, "", "paused: waits for the tail of the log");
	for_each_endpoint(slots, slots_update_allowed);
	kernel_emit(slots->kernel, &(struct event){ .type = EVENT_LOG_QUERY });
}

static void on_log_state(struct slots *slots, const struct event *event)
{
	if (!slots->resyncing || !slots->resync_asked ||
	    !event->log.reachable || !slots->resync_answers_count)
		return;
	slots->resync_offset = event->log.next_offset - 1;
	if (--slots->resync_answers_count)
		kernel_emit(slots->kernel,
			    &(struct event){ .type = EVENT_LOG_QUERY });
}

static void check_resynced(struct slots *slots)
{
	if (!slots->resyncing || !slots->resync_asked ||
	    slots->resync_answers_count ||
	    fleet_offset(kernel_fleet(slots->kernel)) < slots->resync_offset)
		return;
	slots->resyncing = false;
	for_each_endpoint(slots, slots_update_allowed);
}

static void on_fleet_changed(struct slots *slots, const struct event *event)
{
	if (!event->record.accepted)
		return;
	switch (event->record.record->kind) {
	case RECORD_CONFIG_PUT:
	case RECORD_CONFIG_REMOVE:
		update_endpoints(slots);
		break;
	case RECORD_ENTRY_JOIN:
	case RECORD_ENTRY_LEAVE:
	case RECORD_ENTRY_GONE:
		update_roster(slots, event);
		break;
	default:
		break;
	}
}

static void on_reset(struct slots *slots, const struct event *event)
{
	slots->ended_before_join = true;
	update_endpoints(slots);
	update_roster(slots, event);
}

static void on_in_flight_changed(struct slots *slots, const struct event *event)
{
	struct slot_endpoint *endpoint =
		slots_find_endpoint(slots, event->attempt.endpoint);

	if (endpoint && !event->attempt.relayed)
		loans_update(slots, endpoint);
}

static void resend(struct slots *slots)
{
	for (guint i = 0; !slots->confirmed && i < slots->peers->len; i++) {
		const struct local_peer *peer = slots->peers->pdata[i];

		if (peer->acked_offset < slots->roster_offset)
			send_ack(slots, peer);
	}
	loans_resend(slots);
}

static void on_wake(struct slots *slots)
{
	int64_t now_us = kernel_now_us(slots->kernel);

	if (now_us >= slots->resend_us) {
		slots->resend_us = DEADLINE_NEVER_US;
		resend(slots);
	}
	if (now_us >= slots->demand_check_us)
		loans_check_demand(slots);
	if (now_us >= slots->return_us)
		loans_update_all(slots);
}

static void on_peer(struct slots *slots, const struct event *event)
{
	const struct peer_msg *msg = event->peer.msg;

	if (msg->kind == PEER_MSG_SHARE_ACK)
		handle_share_ack(slots, msg);
	else
		loans_handle_msg(slots, msg);
}

/* The new request may have to wait for a slot while a peer has an idle one. */
static void on_request(struct slots *slots)
{
	if (slots->demand_check_us == DEADLINE_NEVER_US && slots->peers->len)
		slots->demand_check_us =
			kernel_now_us(slots->kernel) + DEMAND_CHECK_DELAY_US;
}

static void arm_wakeups(struct slots *slots)
{
	int64_t now_us = kernel_now_us(slots->kernel);

	if (slots->joined && !slots->confirmed && slots->peers->len)
		slots_schedule_resend(slots);
	kernel_wake_at(slots->kernel, slots->resend_us);
	kernel_wake_at(slots->kernel, slots->demand_check_us);
	kernel_wake_at(slots->kernel, slots->return_us);
	if (slots->joined && now_us < slots->hold_until_us)
		kernel_wake_at(slots->kernel, slots->hold_until_us);
}

static void handle_event(struct slots *slots, const struct event *event)
{
	switch (event->type) {
	case EVENT_WAKE:
		on_wake(slots);
		break;
	case EVENT_RESUMED:
		on_resumed(slots);
		break;
	case EVENT_LOG_QUERY:
		slots->resync_asked = true;
		break;
	case EVENT_LOG_STATE:
		on_log_state(slots, event);
		break;
	case EVENT_DRAIN:
		slots->draining = true;
		loans_update_all(slots);
		break;
	case EVENT_DRAINED:
		/* Peers may use our slots once our entry_leave is applied. */
		slots->drained = true;
		for_each_endpoint(slots, slots_update_allowed);
		break;
	case EVENT_REQUEST_NEW:
		on_request(slots);
		break;
	case EVENT_DISPATCHED:
	case EVENT_SLOT_FREE:
		on_in_flight_changed(slots, event);
		break;
	case EVENT_FLEET_CHANGED:
		on_fleet_changed(slots, event);
		break;
	case EVENT_FLEET_RESET:
		on_reset(slots, event);
		break;
	case EVENT_PEER_RECEIVED:
		on_peer(slots, event);
		break;
	default:
		break;
	}
}

static void slots_handle(void *self, const struct event *event)
{
	struct slots *slots = self;

	handle_event(slots, event);
	check_resynced(slots);
	check_within_share(slots);
	check_confirmed(slots);
	arm_wakeups(slots);
}

static const struct plugin slots_plugin = {
	.name = "slots",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_WAKE) | EVENT_BIT(EVENT_RESUMED) |
		EVENT_BIT(EVENT_LOG_QUERY) | EVENT_BIT(EVENT_LOG_STATE) |
		EVENT_BIT(EVENT_DRAIN) | EVENT_BIT(EVENT_DRAINED) |
		EVENT_BIT(EVENT_REQUEST_NEW) | EVENT_BIT(EVENT_DISPATCHED) |
		EVENT_BIT(EVENT_SLOT_FREE) | EVENT_BIT(EVENT_FLEET_CHANGED) |
		EVENT_BIT(EVENT_FLEET_RESET) | EVENT_BIT(EVENT_PEER_RECEIVED),
	.init = slots_init,
	.handle = slots_handle,
	.fini = slots_fini,
};

PLUGIN_REGISTER(slots_plugin)
