#include "core/event.h"

#include "jobs/msg.h"

static const char *const type_names[EVENT_TYPE_COUNT] = {
	[EVENT_WAKE] = "wake",
	[EVENT_STARTED] = "started",
	[EVENT_DRAIN] = "drain",
	[EVENT_DRAINED] = "drained",
	[EVENT_LEFT] = "left",
	[EVENT_RESUMED] = "resumed",
	[EVENT_REQUEST_NEW] = "request_new",
	[EVENT_REQUEST_GONE] = "request_gone",
	[EVENT_REQUEST_REPLY] = "request_reply",
	[EVENT_ATTEMPT_SEND] = "attempt_send",
	[EVENT_ATTEMPT_CANCEL] = "attempt_cancel",
	[EVENT_ATTEMPT_DONE] = "attempt_done",
	[EVENT_DISPATCHED] = "dispatched",
	[EVENT_SLOT_FREE] = "slot_free",
	[EVENT_PROPOSE] = "propose",
	[EVENT_PROPOSAL_DROPPED] = "proposal_dropped",
	[EVENT_LOG_APPEND] = "log_append",
	[EVENT_LOG_APPENDED] = "log_appended",
	[EVENT_LOG_QUERY] = "log_ask",
	[EVENT_LOG_RECORD] = "log_record",
	[EVENT_LOG_STATE] = "log_state",
	[EVENT_FLEET_CHANGED] = "fleet_changed",
	[EVENT_FLEET_RESET] = "fleet_reset",
	[EVENT_INSTANCE_LIST] = "instance_list",
	[EVENT_INSTANCE_REBOOT] = "instance_reboot",
	[EVENT_PEER_SEND] = "peer_send",
	[EVENT_PEER_RECEIVED] = "peer_received",
	[EVENT_PEER_STATE] = "peer_state",
	[EVENT_SLOTS_CHANGED] = "slots_changed",
	[EVENT_CLAIM_DECIDED] = "claim_decided",
	[EVENT_CLAIM_WANTED] = "claim_wanted",
	[EVENT_ROLE_CHANGED] = "role_changed",
	[EVENT_ENDPOINT_HEALTH] = "endpoint_health",
	[EVENT_TASK_START] = "task_start",
	[EVENT_TASK_CHECKPOINT] = "task_checkpoint",
	[EVENT_TASK_STOP] = "task_stop",
	[EVENT_TASK_REPORT] = "task_report",
	[EVENT_STORE_READ] = "store_read",
	[EVENT_STORE_PACE] = "store_pace",
	[EVENT_STORE_WRITE] = "store_write",
	[EVENT_STORE_WRITTEN] = "store_written",
	[EVENT_JOBS_APPLIED] = "jobs_applied",
	[EVENT_HOLDER_CHANGED] = "holder_changed",
	[EVENT_JOB_CALL] = "job_call",
	[EVENT_JOB_CALL_GONE] = "job_call_gone",
	[EVENT_JOB_REPLY] = "job_reply",
	[EVENT_WORKERS_SEEN] = "workers_seen",
	[EVENT_CONFIG_SEEN] = "config_seen",
	[EVENT_CONFIG_READ] = "config_read",
	[EVENT_WAVE_SEEN] = "wave_seen",
	[EVENT_ORDER] = "order",
	[EVENT_ORDER_DONE] = "order_done",
	[EVENT_ORDER_SEND] = "order_send",
	[EVENT_ORDER_SENT] = "order_sent",
	[EVENT_FORWARD_SEND] = "forward_send",
	[EVENT_FORWARD_RECEIVED] = "forward_received",
	[EVENT_MACHINES_POLL] = "machines_ask",
	[EVENT_MACHINES_SEEN] = "machines_seen",
	[EVENT_MACHINE_ORDER] = "machine_order",
	[EVENT_MACHINE_ORDERED] = "machine_ordered",
	[EVENT_ADVICE_REQUEST] = "advice_ask",
	[EVENT_ADVICE_RESPONSE] = "advice_given",
};

struct response *response_new(uint32_t status, const char *content_type,
			      GBytes *body)
{
	struct response *response = g_new0(struct response, 1);

	g_ref_count_init(&response->refs);
	response->status = status;
	name_copy(response->content_type, sizeof(response->content_type),
		  content_type);
	response->body = body;
	return response;
}

struct response *response_ref(struct response *response)
{
	g_ref_count_inc(&response->refs);
	return response;
}

void response_unref(struct response *response)
{
	if (!response || !g_ref_count_dec(&response->refs))
		return;
	if (response->body)
		g_bytes_unref(response->body);
	g_free(response);
}

void event_clear(struct event *event)
{
	switch (event->type) {
	case EVENT_PROPOSE:
	case EVENT_PROPOSAL_DROPPED:
	case EVENT_LOG_RECORD:
	case EVENT_FLEET_CHANGED:
		record_unref(event->record.record);
		break;
	case EVENT_LOG_APPEND:
		if (event->append.records)
			g_ptr_array_unref(event->append.records);
		break;
	case EVENT_INSTANCE_LIST:
		if (event->list.items)
			g_array_unref(event->list.items);
		break;
	case EVENT_PEER_SEND:
	case EVENT_PEER_RECEIVED:
		peer_msg_free(event->peer.msg);
		break;
	default:
		if (event->type >= EVENT_STORE_READ)
			job_msg_clear(event);
		break;
	}
	response_unref(event->response);
}

const char *event_type_name(enum event_type type)
{
	return type < EVENT_TYPE_COUNT ? type_names[type] : "unknown";
}

GHashTable *list_items_index(const GArray *items)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < items->len; i++) {
		struct instance_list_item *item =
			&g_array_index(items, struct instance_list_item, i);

		if (!g_hash_table_contains(index, item->name))
			g_hash_table_insert(index, item->name, item);
	}
	return index;
}
