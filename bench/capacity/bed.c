#include "capacity/bed.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "codec/peer_codec.h"
#include "codec/record_codec.h"
#include "decide/cluster_digest.h"

#define BEAT_US (500 * USEC_PER_MSEC)
#define LIST_US (1 * USEC_PER_SEC)
#define RENEW_US (2 * USEC_PER_SEC)
#define SETTLE_US (40 * USEC_PER_SEC)

int64_t cpu_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (int64_t)time.tv_sec * 1000000000 + time.tv_nsec;
}

int64_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (int64_t)(info.uordblks + info.hblkhd);
}

static void set_time(struct bed *bed, int64_t now_us)
{
	bed->now_us = now_us;
	kernel_set_time(bed->kernel, now_us, BED_WALL_US + now_us);
}

static void emit_read(struct bed *bed, struct record *record)
{
	struct event read = { .type = EVENT_LOG_RECORD };

	read.record.previous_offset = bed->offset;
	read.record.offset = ++bed->offset;
	read.record.record = record;
	kernel_emit(bed->kernel, &read);
}

static void emit_state(struct bed *bed)
{
	struct event state = { .type = EVENT_LOG_STATE };

	state.log.reachable = true;
	state.log.first_offset = 1;
	state.log.next_offset = bed->offset + 1;
	kernel_emit(bed->kernel, &state);
}

static void take_append(struct bed *bed, const struct event_append *append)
{
	struct event done = { .type = EVENT_LOG_APPENDED };
	GBytes *bytes = batch_encode(append->records);

	bed->appended.message_count++;
	bed->appended.size_bytes += g_bytes_get_size(bytes);
	g_bytes_unref(bytes);
	done.append.append_id = append->append_id;
	done.append.first_offset = bed->offset + 1;
	kernel_emit(bed->kernel, &done);
	for (guint i = 0; i < append->records->len; i++)
		emit_read(bed, record_ref(append->records->pdata[i]));
}

static uint32_t dc_of(const struct bed *bed, const char *entry)
{
	return (uint32_t)atoi(entry + 1) % bed->size->dc_count;
}

/* Answers as a peer that uses no more slots than its share. */
static void answer_share(struct bed *bed, const char *peer)
{
	struct event event = { .type = EVENT_PEER_RECEIVED };
	struct peer_msg *msg = peer_msg_new(PEER_MSG_SHARE_ACK);

	name_copy(msg->from, NAME_SIZE_BYTES, peer);
	name_copy(msg->dc, NAME_SIZE_BYTES, bed->settings->dc);
	msg->incarnation = 1;
	msg->applied_offset = msg->join_offset = bed->offset;
	event.peer.msg = msg;
	name_copy(event.peer.peer, NAME_SIZE_BYTES, peer);
	kernel_emit(bed->kernel, &event);
}

static void take_message(struct bed *bed, const struct event_peer *sent)
{
	GBytes *bytes = peer_msg_encode(sent->msg);
	struct traffic *traffic =
		dc_of(bed, sent->peer) == bed->own % bed->size->dc_count
			? &bed->local
			: &bed->remote;

	traffic->message_count++;
	traffic->size_bytes += g_bytes_get_size(bytes);
	g_bytes_unref(bytes);
	if (sent->msg->kind == PEER_MSG_SHARE_ACK && sent->msg->slots_count)
		answer_share(bed, sent->peer);
}

static void take_attempt(struct bed *bed, const struct event *event)
{
	struct event *done = g_memdup2(event, sizeof(*event));

	done->type = EVENT_ATTEMPT_DONE;
	done->attempt.result = ATTEMPT_ANSWERED;
	done->attempt.verdict = VERDICT_RAN;
	done->attempt.status = 200;
	done->attempt.latency_us = 20 * USEC_PER_MSEC;
	g_queue_push_tail(bed->running, done);
}

static void sink_handle(void *self, const struct event *event)
{
	struct bed *bed = self;

	switch (event->type) {
	case EVENT_LOG_APPEND:
		take_append(bed, &event->append);
		break;
	case EVENT_LOG_ASK:
		emit_state(bed);
		break;
	case EVENT_PEER_SEND:
		take_message(bed, &event->peer);
		break;
	case EVENT_ATTEMPT_SEND:
		take_attempt(bed, event);
		break;
	case EVENT_REQUEST_REPLY:
		request_remove(kernel_requests(bed->kernel),
			       event->request.request_id);
		break;
	default:
		break;
	}
}

static const struct plugin sink_plugin = {
	.name = "~sink", /* after the decision plug-ins */
	.kind = PLUGIN_FRONT,
	.takes = EVENT_BIT(EVENT_LOG_APPEND) | EVENT_BIT(EVENT_LOG_ASK) |
		 EVENT_BIT(EVENT_PEER_SEND) | EVENT_BIT(EVENT_ATTEMPT_SEND) |
		 EVENT_BIT(EVENT_REQUEST_REPLY),
	.handle = sink_handle,
};

uint32_t bed_other(const struct bed *bed)
{
	return bed->own ? 0 : bed->size->dc_count;
}

int64_t bed_record(struct bed *bed, uint32_t entry, struct record *record)
{
	uint64_t *sequence = bed->sequence->pdata[entry];
	int64_t start_ns;

	name_copy(record->id.entry, NAME_SIZE_BYTES, bed->names->pdata[entry]);
	record->id.incarnation = 1;
	record->id.sequence = ++*sequence;
	record->wall_us = BED_WALL_US + bed->now_us;
	start_ns = cpu_ns();
	emit_read(bed, record);
	kernel_run(bed->kernel);
	return cpu_ns() - start_ns;
}

void bed_step(struct bed *bed)
{
	set_time(bed, bed->now_us + USEC_PER_MSEC);
	kernel_run(bed->kernel);
}

/* Decodes a heartbeat from its bytes, so that decoding is measured too. */
static void receive(struct bed *bed, uint32_t from, GArray *loads)
{
	struct event event = { .type = EVENT_PEER_RECEIVED };
	struct peer_msg *msg = peer_msg_new(PEER_MSG_HEARTBEAT);
	char reason[REASON_SIZE_BYTES];
	GBytes *bytes;
	gsize size_bytes;

	name_copy(msg->from, NAME_SIZE_BYTES, bed->names->pdata[from]);
	g_snprintf(msg->dc, NAME_SIZE_BYTES, "dc%u",
		   from % bed->size->dc_count);
	msg->incarnation = 1;
	msg->applied_offset = bed->offset;
	msg->hlc = (uint64_t)(BED_WALL_US + bed->now_us) / 1000 << 16;
	if (loads)
		msg->loads = g_array_ref(loads);
	bytes = peer_msg_encode(msg);
	peer_msg_free(msg);
	event.peer.msg = peer_msg_decode(g_bytes_get_data(bytes, &size_bytes),
					 g_bytes_get_size(bytes), reason);
	g_assert(event.peer.msg);
	bed->received.message_count++;
	bed->received.size_bytes += size_bytes;
	g_bytes_unref(bytes);
	name_copy(event.peer.peer, NAME_SIZE_BYTES, bed->names->pdata[from]);
	kernel_emit(bed->kernel, &event);
}

static GArray *make_loads(const struct bed *bed, uint32_t from, uint32_t count)
{
	GArray *loads = g_array_new(FALSE, TRUE, sizeof(struct peer_pool_load));

	for (uint32_t i = 0; i < MIN(count, bed->size->pool_count); i++) {
		struct peer_pool_load load = { .free_slots_count = 8 };

		g_snprintf(load.pool, NAME_SIZE_BYTES, "pool%03u",
			   (from + i + bed->beat_count * count) %
				   bed->size->pool_count);
		g_array_append_val(loads, load);
	}
	return loads;
}

static void beat_local(struct bed *bed, const struct digest_plan *plan)
{
	uint32_t dc = bed->own % bed->size->dc_count;

	for (uint32_t i = dc; i < bed->size->entry_count;
	     i += bed->size->dc_count) {
		GArray *loads = NULL;

		if (i == bed->own)
			continue;
		if (bed->beat_count % 2 == 0)
			loads = make_loads(bed, i, plan->load_count);
		receive(bed, i, loads);
		if (loads)
			g_array_unref(loads);
	}
	bed->beat_count++;
}

/* Receives one digest from each other data centre. */
static void beat_remote(struct bed *bed, const struct digest_plan *plan)
{
	for (uint32_t dc = 0; dc < bed->size->dc_count; dc++) {
		GArray *loads;

		if (dc == bed->own % bed->size->dc_count)
			continue;
		loads = make_loads(bed, dc, plan->load_count);
		receive(bed, dc, loads);
		g_array_unref(loads);
	}
}

void bed_list(struct bed *bed)
{
	const GPtrArray *instances = fleet_instances(kernel_fleet(bed->kernel));
	struct event event = { .type = EVENT_INSTANCE_LIST };
	struct list_item item = { .state = LIST_LIVE };

	event.list.items = g_array_new(FALSE, TRUE, sizeof(struct list_item));
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		name_copy(item.name, NAME_SIZE_BYTES, instance->decl.name);
		g_array_append_val(event.list.items, item);
	}
	for (guint i = 0; i < bed->names->len; i++) {
		name_copy(item.name, NAME_SIZE_BYTES, bed->names->pdata[i]);
		g_array_append_val(event.list.items, item);
	}
	kernel_emit(bed->kernel, &event);
}

static void renew(struct bed *bed)
{
	struct record *record = record_new(RECORD_LEASE_RENEW);

	record->lease.token = bed->token;
	bed_record(bed, bed_other(bed), record);
}

static void feed(struct bed *bed, const struct digest_plan *plan)
{
	if (bed->now_us >= bed->next_beat_us) {
		bed->next_beat_us = bed->now_us + BEAT_US;
		beat_local(bed, plan);
	}
	if (bed->now_us >= bed->next_remote_us) {
		bed->next_remote_us = bed->now_us + plan->remote_round_us;
		beat_remote(bed, plan);
	}
	if (bed->now_us >= bed->next_list_us) {
		bed->next_list_us = bed->now_us + LIST_US;
		bed_list(bed);
	}
	if (bed->now_us >= bed->next_renew_us) {
		bed->next_renew_us = bed->now_us + RENEW_US;
		if (bed->token)
			renew(bed);
	}
}

static int64_t next_feed_us(const struct bed *bed)
{
	return MIN(MIN(bed->next_beat_us, bed->next_remote_us),
		   MIN(bed->next_list_us, bed->next_renew_us));
}

void bed_run(struct bed *bed, int64_t duration_us)
{
	int64_t until_us = bed->now_us + duration_us;
	uint32_t dc = bed->own % bed->size->dc_count;
	uint32_t dc_entries =
		(bed->size->entry_count - dc - 1) / bed->size->dc_count + 1;
	struct digest_plan plan = digest_plan(
		dc_entries - 1, bed->size->entry_count - dc_entries);

	while (bed->now_us < until_us) {
		int64_t next_us = MIN(kernel_next_wake_us(bed->kernel),
				      next_feed_us(bed));

		set_time(bed, MIN(until_us, MAX(bed->now_us + 1, next_us)));
		feed(bed, &plan);
		kernel_run(bed->kernel);
	}
}

void bed_reset_traffic(struct bed *bed)
{
	bed->local = bed->remote = (struct traffic){ 0 };
	bed->received = bed->appended = (struct traffic){ 0 };
}

static void join(struct bed *bed, uint32_t entry)
{
	struct record *record = record_new(RECORD_ENTRY_JOIN);

	name_copy(record->entry.name, NAME_SIZE_BYTES,
		  bed->names->pdata[entry]);
	g_snprintf(record->entry.dc, NAME_SIZE_BYTES, "dc%u",
		   entry % bed->size->dc_count);
	g_snprintf(record->entry.caller_address, ADDRESS_SIZE_BYTES,
		   "10.9.0.%u:8000", entry);
	g_snprintf(record->entry.operator_address, ADDRESS_SIZE_BYTES,
		   "10.9.0.%u:8100", entry);
	g_snprintf(record->entry.peer_address, ADDRESS_SIZE_BYTES,
		   "10.9.0.%u:8200", entry);
	record->entry.incarnation = 1;
	bed_record(bed, entry, record);
}

static void configure(struct bed *bed, const GPtrArray *files)
{
	for (guint i = 0; i < files->len; i++) {
		struct record *record = record_new(RECORD_CONFIG_PUT);
		struct decl *decl = files->pdata[i];

		name_copy(record->config.file, NAME_SIZE_BYTES, decl->file);
		record->config.decl = decl_ref(decl);
		bed_record(bed, bed_other(bed), record);
	}
	if (fleet_instances(kernel_fleet(bed->kernel))->len !=
	    bed->size->instance_count) {
		fprintf(stderr, "capacity: the declarations were rejected\n");
		exit(1);
	}
}

static void start(struct bed *bed, const GPtrArray *files)
{
	set_time(bed, 1);
	kernel_start_kind(bed->kernel, PLUGIN_DECIDE);
	kernel_start_plugin_with(bed->kernel, &sink_plugin, bed);
	kernel_emit(bed->kernel, &(struct event){ .type = EVENT_STARTED });
	/* Joins first: a later entry would wait for all earlier ones. */
	emit_state(bed);
	while (!fleet_entries(kernel_fleet(bed->kernel))->len)
		bed_step(bed);
	for (uint32_t i = 0; i < bed->size->entry_count; i++) {
		if (i != bed->own)
			join(bed, i);
	}
	configure(bed, files);
	if (bed->role != BED_PLANNER) {
		bed_record(bed, bed_other(bed), record_new(RECORD_LEASE_CLAIM));
		bed->token = fleet_lease(kernel_fleet(bed->kernel))->token;
		g_assert(bed->token);
	}
	emit_state(bed);
	kernel_run(bed->kernel);
	bed_run(bed, SETTLE_US);
	if (!strcmp(fleet_lease(kernel_fleet(bed->kernel))->holder,
		    bed->settings->entry) != (bed->role == BED_PLANNER)) {
		fprintf(stderr, "capacity: unexpected holder of the lease\n");
		exit(1);
	}
}

struct bed *bed_new(const struct size *size, enum bed_role role,
		    const GPtrArray *files)
{
	struct bed *bed = g_new0(struct bed, 1);

	g_assert(size->dc_count && size->entry_count > size->dc_count);
	bed->size = size;
	bed->role = role;
	bed->names = g_ptr_array_new_with_free_func(g_free);
	bed->sequence = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < size->entry_count; i++) {
		g_ptr_array_add(bed->names, g_strdup_printf("e%03u", i));
		g_ptr_array_add(bed->sequence, g_new0(uint64_t, 1));
	}
	bed->own = role == BED_LOWEST ? 0 : size->dc_count;
	bed->running = g_queue_new();
	bed->settings = settings_new();
	name_copy(bed->settings->entry, NAME_SIZE_BYTES,
		  bed->names->pdata[bed->own]);
	g_snprintf(bed->settings->dc, NAME_SIZE_BYTES, "dc%u",
		   bed->own % size->dc_count);
	bed->kernel = kernel_new(bed->settings, 1, 1);
	start(bed, files);
	return bed;
}

static void event_free(gpointer data)
{
	event_clear(data);
	g_free(data);
}

void bed_free(struct bed *bed)
{
	kernel_free(bed->kernel);
	settings_free(bed->settings);
	g_queue_free_full(bed->running, event_free);
	g_ptr_array_unref(bed->names);
	g_ptr_array_unref(bed->sequence);
	g_free(bed);
}
