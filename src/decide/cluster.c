/*
 * Membership: joins and leaves the roster, sends heartbeats, and detects entry
 * instances that have failed.
 */

#include <string.h>

#include "decide/cluster_digest.h"
#include "decide/cluster_peers.h"
#include "decide/peer_out.h"
#include "kernel/klog.h"

#define LOG_PREFIX "cluster"

#define HEARTBEAT_INTERVAL_US (500 * USEC_PER_MSEC)
#define JOIN_RETRY_DELAY_US (1 * USEC_PER_SEC)
#define LEAVE_TIMEOUT_US (2 * USEC_PER_SEC)
/* Delay of each further entry that could propose the same entry_gone. */
#define GONE_REPORT_DELAY_US (5 * USEC_PER_SEC)

struct cluster {
	struct kernel *kernel;
	struct peers *peers;
	struct digest_sender *local_sender;
	struct digest_sender *remote_sender;
	/* Our proposals until their outcome is known, or NULL: */
	struct record *join_record;
	struct record *leave_record;
	struct record *gone_record;
	bool joined;
	bool fenced;
	bool left;
	bool log_reachable;
	int64_t next_heartbeat_us;
	int64_t join_retry_us;
	int64_t leave_until_us;
	uint32_t heartbeat_count;
	int64_t round_started_us;   /* start of the remote round; 0: none */
	uint32_t remote_sent_count; /* in this round */
	GArray *remote_loads;	    /* of this round, or NULL */
};

static void *cluster_init(struct kernel *kernel)
{
	struct cluster *cluster = g_new0(struct cluster, 1);

	cluster->kernel = kernel;
	cluster->peers = peers_new(kernel);
	cluster->join_retry_us = DEADLINE_NEVER_US;
	cluster->local_sender = digest_sender_new();
	cluster->remote_sender = digest_sender_new();
	return cluster;
}

static void cluster_fini(void *self)
{
	struct cluster *cluster = self;

	peers_free(cluster->peers);
	digest_sender_free(cluster->local_sender);
	digest_sender_free(cluster->remote_sender);
	record_unref(cluster->join_record);
	record_unref(cluster->leave_record);
	record_unref(cluster->gone_record);
	if (cluster->remote_loads)
		g_array_unref(cluster->remote_loads);
	g_free(cluster);
}

static void add_timeline_entry(struct cluster *cluster, const char *text)
{
	struct timeline_entry entry = { .kind = TIMELINE_PROCESS };

	g_strlcpy(entry.text, text, sizeof(entry.text));
	timeline_add(kernel_timeline(cluster->kernel), &entry);
}

/* Proposes a record and keeps a reference, to recognise its outcome. */
static void propose(struct cluster *cluster, struct record **kept,
		    struct record *record)
{
	struct event event = { .type = EVENT_PROPOSE };

	record_unref(*kept);
	*kept = record_ref(record);
	event.record.record = record;
	kernel_emit(cluster->kernel, &event);
}

static struct record *new_entry_record(struct cluster *cluster,
				       enum record_kind kind)
{
	const struct settings *settings = kernel_settings(cluster->kernel);
	struct record *record = record_new(kind);

	name_copy(record->entry.name, NAME_SIZE_BYTES, settings->entry);
	name_copy(record->entry.dc, NAME_SIZE_BYTES, settings->dc);
	record->entry.incarnation = kernel_incarnation(cluster->kernel);
	return record;
}

static void propose_join(struct cluster *cluster)
{
	const struct settings *settings = kernel_settings(cluster->kernel);
	struct record *record = new_entry_record(cluster, RECORD_ENTRY_JOIN);
	struct record_entry *body = &record->entry;

	name_copy(body->caller_address, ADDRESS_SIZE_BYTES,
		  settings->caller_address);
	name_copy(body->operator_address, ADDRESS_SIZE_BYTES,
		  settings->operator_address);
	name_copy(body->peer_address, ADDRESS_SIZE_BYTES,
		  settings->peer_address);
	propose(cluster, &cluster->join_record, record);
}

static bool is_on_roster(const struct cluster *cluster)
{
	const struct fleet_entry *entry =
		fleet_entry(kernel_fleet(cluster->kernel),
			    kernel_settings(cluster->kernel)->entry);

	return entry &&
	       entry->decl.incarnation == kernel_incarnation(cluster->kernel);
}

/* Another incarnation has replaced us, or we were removed: drain and stop. */
static void on_fenced(struct cluster *cluster)
{
	struct event event = { .type = EVENT_DRAIN };

	if (cluster->fenced || cluster->left)
		return;
	cluster->fenced = true;
	klog_warn(LOG_PREFIX,
		  "this process is no longer on the roster; draining");
	add_timeline_entry(cluster, "fenced: drains and ends");
	event.drain.deadline_us = kernel_now_us(cluster->kernel) +
				  kernel_settings(cluster->kernel)->drain_us;
	kernel_emit(cluster->kernel, &event);
}

static void finish_leaving(struct cluster *cluster)
{
	const GPtrArray *entries = fleet_entries(kernel_fleet(cluster->kernel));

	if (cluster->left)
		return;
	cluster->left = true;
	add_timeline_entry(cluster, "left");
	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];

		if (strcmp(entry->decl.name,
			   kernel_settings(cluster->kernel)->entry) != 0)
			peer_out_send(
				cluster->kernel, entry->decl.name,
				peer_out_new(cluster->kernel, PEER_MSG_BYE));
	}
	kernel_emit(cluster->kernel, &(struct event){ .type = EVENT_LEFT });
}

/* Leaves the roster once nothing is in flight, which frees our slots. */
static void on_drained(struct cluster *cluster)
{
	if (cluster->leave_record || cluster->left)
		return;
	if (!is_on_roster(cluster)) {
		finish_leaving(cluster);
		return;
	}
	cluster->leave_until_us =
		kernel_now_us(cluster->kernel) + LEAVE_TIMEOUT_US;
	propose(cluster, &cluster->leave_record,
		new_entry_record(cluster, RECORD_ENTRY_LEAVE));
}

static bool is_outcome_of(const struct record *kept, const struct event *event)
{
	return kept && kept->id.sequence &&
	       record_id_equal(&kept->id, &event->record.record->id);
}

static void clear_record(struct record **kept)
{
	record_unref(*kept);
	*kept = NULL;
}

/* Detects that we have joined, or that we were removed. */
static void on_roster_changed(struct cluster *cluster)
{
	bool on_roster = is_on_roster(cluster);

	if (cluster->joined && !on_roster && !cluster->leave_record)
		on_fenced(cluster);
	if (on_roster && !cluster->joined) {
		cluster->joined = true;
		cluster->next_heartbeat_us = kernel_now_us(cluster->kernel);
		add_timeline_entry(cluster, "joined the roster");
	}
	peers_sync_roster(cluster->peers);
}

static void on_fleet_changed(struct cluster *cluster, const struct event *event)
{
	bool join_decided = is_outcome_of(cluster->join_record, event);

	if (event->record.record->kind >= RECORD_ENTRY_JOIN &&
	    event->record.record->kind <= RECORD_ENTRY_GONE)
		on_roster_changed(cluster);
	if (join_decided)
		clear_record(&cluster->join_record);
	if (is_outcome_of(cluster->gone_record, event))
		clear_record(&cluster->gone_record);
	if (join_decided && !is_on_roster(cluster))
		on_fenced(cluster);
	if (is_outcome_of(cluster->leave_record, event) ||
	    (cluster->leave_record && !is_on_roster(cluster)))
		finish_leaving(cluster);
}

static void on_proposal_dropped(struct cluster *cluster,
				const struct event *event)
{
	if (event->record.record == cluster->gone_record)
		clear_record(&cluster->gone_record);
	if (event->record.record == cluster->leave_record)
		finish_leaving(cluster);
	if (event->record.record == cluster->join_record) {
		/* An immediate retry would loop while the queue is full. */
		clear_record(&cluster->join_record);
		cluster->join_retry_us =
			kernel_now_us(cluster->kernel) + JOIN_RETRY_DELAY_US;
	}
}

static void send_heartbeat(struct cluster *cluster, const char *peer,
			   const GArray *loads)
{
	struct peer_msg *msg =
		peer_out_new(cluster->kernel, PEER_MSG_HEARTBEAT);
	struct counters *counters = kernel_counters(cluster->kernel);

	if (loads)
		msg->loads = g_array_copy((GArray *)loads);
	counter_add(counters, "heartbeats_sent_total", 1);
	counter_add(counters, "heartbeat_bytes_total",
		    heartbeat_size_bytes(msg));
	peer_out_send(cluster->kernel, peer, msg);
}

static void send_local_heartbeats(struct cluster *cluster,
				  const struct digest_plan *plan)
{
	const GPtrArray *local_peers = peers_local(cluster->peers);
	GArray *loads = NULL;

	if (cluster->heartbeat_count % 2 == 0)
		loads = digest_sender_next(cluster->local_sender,
					   cluster->kernel, plan->load_count);
	for (guint i = 0; i < local_peers->len; i++) {
		const struct peer *peer = local_peers->pdata[i];

		send_heartbeat(cluster, peer->name, loads);
	}
	if (loads)
		g_array_unref(loads);
}

static void start_remote_round(struct cluster *cluster,
			       const struct digest_plan *plan)
{
	cluster->round_started_us = kernel_now_us(cluster->kernel);
	cluster->remote_sent_count = 0;
	if (cluster->remote_loads)
		g_array_unref(cluster->remote_loads);
	cluster->remote_loads = digest_sender_next(
		cluster->remote_sender, cluster->kernel, plan->load_count);
}

/*
 * Only the lowest live name of a data centre sends heartbeats to others. They
 * are spread over the remote round, unless it has its shortest length of 1 s.
 */
static void send_remote_heartbeats(struct cluster *cluster,
				   const struct digest_plan *plan)
{
	const GPtrArray *remote = peers_remote(cluster->peers);
	int64_t now_us = kernel_now_us(cluster->kernel);
	uint32_t due_count;

	if (!remote->len || !peers_is_lowest_name(cluster->peers))
		return;
	if (!cluster->round_started_us ||
	    now_us - cluster->round_started_us >= plan->remote_round_us)
		start_remote_round(cluster, plan);
	due_count = (uint32_t)((now_us - cluster->round_started_us +
				HEARTBEAT_INTERVAL_US) *
			       remote->len / plan->remote_round_us);
	due_count = plan->remote_round_us == USEC_PER_SEC
			    ? remote->len
			    : MIN(due_count, remote->len);
	while (cluster->remote_sent_count < due_count) {
		const struct peer *peer =
			remote->pdata[cluster->remote_sent_count++];

		send_heartbeat(cluster, peer->name, cluster->remote_loads);
	}
}

static void propose_entry_gone(struct cluster *cluster)
{
	const struct peer *peer;
	struct record *record;

	if (cluster->gone_record || !cluster->log_reachable ||
	    cluster->leave_record)
		return;
	peer = peers_find_gone(cluster->peers, GONE_REPORT_DELAY_US);
	if (!peer)
		return;
	record = record_new(RECORD_ENTRY_GONE);
	name_copy(record->entry.name, NAME_SIZE_BYTES, peer->name);
	record->entry.incarnation = peer->incarnation;
	klog_info(LOG_PREFIX, "entry %s is dead and off the platform's list",
		  peer->name);
	propose(cluster, &cluster->gone_record, record);
}

static void send_due_heartbeats(struct cluster *cluster)
{
	struct digest_plan plan =
		digest_plan(peers_local(cluster->peers)->len,
			    peers_remote(cluster->peers)->len);
	int64_t now_us = kernel_now_us(cluster->kernel);

	if (now_us < cluster->next_heartbeat_us)
		return;
	cluster->next_heartbeat_us = now_us + HEARTBEAT_INTERVAL_US;
	peers_update_states(cluster->peers, plan.remote_round_us);
	if (!is_on_roster(cluster))
		return;
	send_local_heartbeats(cluster, &plan);
	send_remote_heartbeats(cluster, &plan);
	cluster->heartbeat_count++;
	propose_entry_gone(cluster);
}

static void on_wake(struct cluster *cluster)
{
	if (cluster->leave_record &&
	    kernel_now_us(cluster->kernel) >= cluster->leave_until_us)
		finish_leaving(cluster);
	if (kernel_now_us(cluster->kernel) >= cluster->join_retry_us) {
		cluster->join_retry_us = DEADLINE_NEVER_US;
		if (!is_on_roster(cluster) && !cluster->fenced)
			propose_join(cluster);
	}
}

static void schedule_wakeups(struct cluster *cluster)
{
	if (cluster->left)
		return;
	kernel_wake_at(cluster->kernel, cluster->next_heartbeat_us);
	kernel_wake_at(cluster->kernel, cluster->join_retry_us);
	if (cluster->leave_record)
		kernel_wake_at(cluster->kernel, cluster->leave_until_us);
}

static void cluster_handle(void *self, const struct event *event)
{
	struct cluster *cluster = self;

	switch (event->type) {
	case EVENT_STARTED:
		cluster->next_heartbeat_us = kernel_now_us(cluster->kernel);
		propose_join(cluster);
		break;
	case EVENT_WAKE:
		on_wake(cluster);
		break;
	case EVENT_RESUMED:
		peers_restart_timeouts(cluster->peers);
		break;
	case EVENT_DRAINED:
		on_drained(cluster);
		break;
	case EVENT_FLEET_CHANGED:
		on_fleet_changed(cluster, event);
		break;
	case EVENT_FLEET_RESET:
		on_roster_changed(cluster);
		break;
	case EVENT_PROPOSAL_DROPPED:
		on_proposal_dropped(cluster, event);
		break;
	case EVENT_LOG_STATE:
		cluster->log_reachable = event->log.reachable;
		break;
	case EVENT_INSTANCE_LIST:
		peers_handle_list(cluster->peers, event->list.items);
		break;
	case EVENT_PEER_RECEIVED:
		if (event->peer.msg->kind == PEER_MSG_HEARTBEAT)
			counter_add(kernel_counters(cluster->kernel),
				    "heartbeat_received_bytes_total",
				    heartbeat_size_bytes(event->peer.msg));
		peers_handle_msg(cluster->peers, event->peer.msg);
		break;
	default:
		break;
	}
	if (!cluster->left)
		send_due_heartbeats(cluster);
	schedule_wakeups(cluster);
}

static const struct plugin cluster_plugin = {
	.name = "cluster",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_STARTED) | EVENT_BIT(EVENT_WAKE) |
		EVENT_BIT(EVENT_RESUMED) | EVENT_BIT(EVENT_DRAINED) |
		EVENT_BIT(EVENT_FLEET_CHANGED) | EVENT_BIT(EVENT_FLEET_RESET) |
		EVENT_BIT(EVENT_PROPOSAL_DROPPED) | EVENT_BIT(EVENT_LOG_STATE) |
		EVENT_BIT(EVENT_INSTANCE_LIST) | EVENT_BIT(EVENT_PEER_RECEIVED),
	.init = cluster_init,
	.handle = cluster_handle,
	.fini = cluster_fini,
};

PLUGIN_REGISTER(cluster_plugin)
