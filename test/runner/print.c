/* Prints a line for each event whose type a script has selected. */

#include <string.h>

#include "runner/world.h"

static const char *request_name(const struct node *node, uint64_t request_id)
{
	const char *name =
		g_hash_table_lookup(node->request_names, &request_id);

	return name ? name : "?";
}

static void add_request(GString *line, const struct node *node,
			const struct event_request *request)
{
	g_string_append_printf(line, " %s",
			       request_name(node, request->request_id));
	if (request->status)
		g_string_append_printf(line, " status=%u", request->status);
	if (request->verdict)
		g_string_append_printf(line, " verdict=%s",
				       verdict_name(request->verdict));
	if (request->reason[0])
		g_string_append_printf(line, " reason=\"%s\"", request->reason);
	if (request->retry_after_us)
		g_string_append_printf(line,
				       " retry_after_ms=%" G_GINT64_FORMAT,
				       request->retry_after_us / USEC_PER_MSEC);
}

static void add_attempt(GString *line, const struct node *node,
			const struct event *event)
{
	static const char *const results[] = {
		[ATTEMPT_ANSWERED] = "answered",
		[ATTEMPT_REFUSED] = "refused",
		[ATTEMPT_FAILED] = "failed",
		[ATTEMPT_TRUNCATED] = "truncated",
		[ATTEMPT_TIMED_OUT] = "timed-out",
		[ATTEMPT_CANCELLED] = "cancelled",
	};
	const struct event_attempt *attempt = &event->attempt;

	g_string_append_printf(line, " %s attempt=%u to=%s%s",
			       request_name(node, attempt->request_id),
			       attempt->attempt, attempt->endpoint,
			       attempt->relayed ? " relayed" : "");
	if (event->type == EVENT_ATTEMPT_DONE)
		g_string_append_printf(line, " result=%s status=%u",
				       results[attempt->result],
				       attempt->status);
}

static void add_instance_record(GString *line, const struct record *record)
{
	const struct record_instance *body = &record->instance;

	if (body->instance[0])
		g_string_append_printf(line, " instance=%s", body->instance);
	if (body->to_pool[0])
		g_string_append_printf(line, " to=%s", body->to_pool);
	if (body->wave[0])
		g_string_append_printf(line, " wave=%s", body->wave);
	if (body->failed)
		g_string_append(line, " failed");
}

static void add_record(GString *line, const struct event *event)
{
	const struct record *record = event->record.record;

	if (event->record.offset)
		g_string_append_printf(line, " @%" G_GUINT64_FORMAT,
				       event->record.offset);
	g_string_append_printf(line, " %s", record_kind_name(record->kind));
	if (record->id.entry[0])
		g_string_append_printf(line, " by %s", record->id.entry);
	switch (record->kind) {
	case RECORD_CONFIG_PUT:
	case RECORD_CONFIG_REMOVE:
		g_string_append_printf(line, " file=%s", record->config.file);
		break;
	case RECORD_ENTRY_JOIN:
	case RECORD_ENTRY_LEAVE:
	case RECORD_ENTRY_GONE:
		g_string_append_printf(line, " entry=%s", record->entry.name);
		break;
	case RECORD_MOVE_START ... RECORD_INSTANCE_UP:
		add_instance_record(line, record);
		break;
	case RECORD_CLAIM:
	case RECORD_CLAIM_RESULT:
		g_string_append_printf(line, " key=%s", record->claim.key);
		if (record->claim.verdict)
			g_string_append_printf(
				line, " verdict=%s",
				verdict_name(record->claim.verdict));
		break;
	case RECORD_JOB_SUBMIT ... RECORD_JOB_SET_ASIDE:
		g_string_append_printf(line, " job=%s", record->job.job);
		if (record->job.instance[0])
			g_string_append_printf(line, " instance=%s",
					       record->job.instance);
		break;
	case RECORD_SNAPSHOT_PART:
		g_string_append_printf(
			line, " base=%" G_GUINT64_FORMAT " part=%u/%u",
			record->snapshot.base_offset, record->snapshot.part,
			record->snapshot.part_count);
		break;
	default:
		break;
	}
	if (event->type == EVENT_FLEET_CHANGED)
		g_string_append(line, event->record.accepted ? " accepted"
							     : " ignored");
	if (event->record.reason[0])
		g_string_append_printf(line, " reason=\"%s\"",
				       event->record.reason);
}

static void add_peer(GString *line, const struct event *event)
{
	const struct peer_msg *msg = event->peer.msg;

	if (event->peer.peer[0])
		g_string_append_printf(line, " %s", event->peer.peer);
	if (!msg) {
		g_string_append_printf(line, " state=%u", event->peer.state);
		return;
	}
	g_string_append_printf(line, " %s", peer_msg_kind_name(msg->kind));
	if (msg->endpoint[0])
		g_string_append_printf(line, " endpoint=%s slots=%u",
				       msg->endpoint, msg->slots_count);
}

static void add_claim(GString *line, const struct node *node,
		      const struct event_claim *claim)
{
	g_string_append_printf(line, " %s key=%s",
			       request_name(node, claim->request_id),
			       claim->key);
	if (claim->may_run)
		g_string_append(line, " may-run");
	if (claim->reason[0])
		g_string_append_printf(line, " reason=\"%s\"", claim->reason);
}

static void add_task(GString *line, const struct event *event)
{
	static const char *const reports[] = {
		[TASK_RUNNING] = "running",
		[TASK_SUCCEEDED] = "succeeded",
		[TASK_FAILED] = "failed",
		[TASK_CHECKPOINTED] = "checkpointed",
		[TASK_STOPPED] = "stopped",
	};
	const struct event_task *task = &event->task;

	g_string_append_printf(line, " %s on %s attempt=%u", task->job,
			       task->instance, task->attempt);
	if (event->type == EVENT_TASK_REPORT)
		g_string_append_printf(line, " %s", reports[task->report]);
}

static bool carries_record(const struct event *event)
{
	return event->type == EVENT_PROPOSE ||
	       event->type == EVENT_PROPOSAL_DROPPED ||
	       event->type == EVENT_LOG_RECORD ||
	       event->type == EVENT_FLEET_CHANGED;
}

static bool is_printed(const struct world *world, const struct node *node,
		       const struct event *event)
{
	if (!(world->printed_event_types & EVENT_BIT(event->type)) ||
	    world->quiet)
		return false;
	if (world->printed_node[0] &&
	    strcmp(world->printed_node, node->name) != 0)
		return false;
	return !carries_record(event) ||
	       !(world->skipped_record_kinds &
		 (UINT64_C(1) << event->record.record->kind));
}

void print_event(struct world *world, struct node *node,
		 const struct event *event)
{
	GString *line;

	if (!is_printed(world, node, event))
		return;
	line = g_string_new(NULL);
	switch (event->type) {
	case EVENT_REQUEST_NEW:
	case EVENT_REQUEST_GONE:
	case EVENT_REQUEST_REPLY:
		add_request(line, node, &event->request);
		break;
	case EVENT_ATTEMPT_SEND:
	case EVENT_ATTEMPT_CANCEL:
	case EVENT_ATTEMPT_DONE:
	case EVENT_DISPATCHED:
	case EVENT_SLOT_FREE:
		add_attempt(line, node, event);
		break;
	case EVENT_PROPOSE:
	case EVENT_PROPOSAL_DROPPED:
	case EVENT_LOG_RECORD:
	case EVENT_FLEET_CHANGED:
		add_record(line, event);
		break;
	case EVENT_LOG_APPEND:
		g_string_append_printf(line, " records=%u",
				       event->append.records->len);
		break;
	case EVENT_LOG_APPENDED:
		g_string_append_printf(line, " result=%u",
				       event->append.result);
		break;
	case EVENT_LOG_STATE:
		g_string_append_printf(line, " reachable=%d",
				       event->log.reachable);
		break;
	case EVENT_PEER_SEND:
	case EVENT_PEER_RECEIVED:
	case EVENT_PEER_STATE:
		add_peer(line, event);
		break;
	case EVENT_CLAIM_WANTED:
	case EVENT_CLAIM_DECIDED:
		add_claim(line, node, &event->claim);
		break;
	case EVENT_FLEET_RESET:
		g_string_append_printf(line, " @%" G_GUINT64_FORMAT,
				       event->subject.offset);
		break;
	case EVENT_TASK_START:
	case EVENT_TASK_CHECKPOINT:
	case EVENT_TASK_STOP:
	case EVENT_TASK_REPORT:
		add_task(line, event);
		break;
	case EVENT_INSTANCE_REBOOT:
	case EVENT_ROLE_CHANGED:
	case EVENT_SLOTS_CHANGED:
	case EVENT_ENDPOINT_HEALTH:
		g_string_append_printf(line, " %s value=%u",
				       event->subject.name,
				       event->subject.value);
		break;
	default:
		break;
	}
	world_print(world, "%10.3f %s %s%s",
		    (double)world->now_us / USEC_PER_MSEC, node->name,
		    event_type_name(event->type), line->str);
	g_string_free(line, TRUE);
}
