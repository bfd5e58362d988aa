#include "capacity/sim.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "codec/peer_codec.h"
#include "codec/record_codec.h"
#include "decide/cluster_digest.h"

#define HEARTBEAT_US (500 * USEC_PER_MSEC)
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

static void set_time(struct sim *sim, int64_t now_us)
{
	sim->now_us = now_us;
	kernel_set_time(sim->kernel, now_us, SIM_WALL_US + now_us);
}

static void emit_record(struct sim *sim, struct record *record)
{
	struct event read = { .type = EVENT_LOG_RECORD };

	read.record.previous_offset = sim->offset;
	read.record.offset = ++sim->offset;
	read.record.record = record;
	kernel_emit(sim->kernel, &read);
}

static void emit_state(struct sim *sim)
{
	struct event state = { .type = EVENT_LOG_STATE };

	state.log.reachable = true;
	state.log.first_offset = 1;
	state.log.next_offset = sim->offset + 1;
	kernel_emit(sim->kernel, &state);
}

static void handle_append(struct sim *sim, const struct event_append *append)
{
	struct event done = { .type = EVENT_LOG_APPENDED };
	GBytes *bytes = batch_encode(append->records);

	sim->appended.message_count++;
	sim->appended.size_bytes += g_bytes_get_size(bytes);
	g_bytes_unref(bytes);
	done.append.append_id = append->append_id;
	done.append.first_offset = sim->offset + 1;
	kernel_emit(sim->kernel, &done);
	for (guint i = 0; i < append->records->len; i++)
		emit_record(sim, record_ref(append->records->pdata[i]));
}

static uint32_t dc_of(const struct sim *sim, const char *entry)
{
	return (uint32_t)atoi(entry + 1) % sim->size->dc_count;
}

/* Answers as a peer that uses no more slots than its share. */
static void receive_share_ack(struct sim *sim, const char *peer)
{
	struct event event = { .type = EVENT_PEER_RECEIVED };
	struct peer_msg *msg = peer_msg_new(PEER_MSG_SHARE_ACK);

	name_copy(msg->from, NAME_SIZE_BYTES, peer);
	name_copy(msg->dc, NAME_SIZE_BYTES, sim->settings->dc);
	msg->incarnation = 1;
	msg->applied_offset = msg->join_offset = sim->offset;
	event.peer.msg = msg;
	name_copy(event.peer.peer, NAME_SIZE_BYTES, peer);
	kernel_emit(sim->kernel, &event);
}

static void handle_peer_send(struct sim *sim, const struct event_peer *sent)
{
	GBytes *bytes = peer_msg_encode(sent->msg);
	struct traffic *traffic =
		dc_of(sim, sent->peer) == sim->own_index % sim->size->dc_count
			? &sim->local
			: &sim->remote;

	traffic->message_count++;
	traffic->size_bytes += g_bytes_get_size(bytes);
	g_bytes_unref(bytes);
	if (sent->msg->kind == PEER_MSG_SHARE_ACK && sent->msg->slots_count)
		receive_share_ack(sim, sent->peer);
}

static void handle_attempt_send(struct sim *sim, const struct event *event)
{
	struct event *done = g_memdup2(event, sizeof(*event));

	done->type = EVENT_ATTEMPT_DONE;
	done->attempt.result = ATTEMPT_ANSWERED;
	done->attempt.verdict = VERDICT_RAN;
	done->attempt.status = 200;
	done->attempt.latency_us = 20 * USEC_PER_MSEC;
	g_queue_push_tail(sim->attempts, done);
}

static void sink_handle(void *self, const struct event *event)
{
	struct sim *sim = self;

	switch (event->type) {
	case EVENT_LOG_APPEND:
		handle_append(sim, &event->append);
		break;
	case EVENT_LOG_QUERY:
		emit_state(sim);
		break;
	case EVENT_PEER_SEND:
		handle_peer_send(sim, &event->peer);
		break;
	case EVENT_ATTEMPT_SEND:
		handle_attempt_send(sim, event);
		break;
	case EVENT_REQUEST_REPLY:
		request_remove(kernel_requests(sim->kernel),
			       event->request.request_id);
		break;
	default:
		break;
	}
}

static const struct plugin sink_plugin = {
	.name = "~sink", /* after the decision plug-ins */
	.kind = PLUGIN_FRONT,
	.subscriptions =
		EVENT_BIT(EVENT_LOG_APPEND) | EVENT_BIT(EVENT_LOG_QUERY) |
		EVENT_BIT(EVENT_PEER_SEND) | EVENT_BIT(EVENT_ATTEMPT_SEND) |
		EVENT_BIT(EVENT_REQUEST_REPLY),
	.handle = sink_handle,
};

uint32_t sim_other_entry(const struct sim *sim)
{
	return sim->own_index ? 0 : sim->size->dc_count;
}

int64_t sim_feed_record(struct sim *sim, uint32_t entry, struct record *record)
{
	uint64_t *sequence = sim->sequences->pdata[entry];
	int64_t start_ns;

	name_copy(record->id.entry, NAME_SIZE_BYTES,
		  sim->entry_names->pdata[entry]);
	record->id.incarnation = 1;
	record->id.sequence = ++*sequence;
	record->wall_us = SIM_WALL_US + sim->now_us;
	start_ns = cpu_ns();
	emit_record(sim, record);
	kernel_run(sim->kernel);
	return cpu_ns() - start_ns;
}

void sim_step(struct sim *sim)
{
	set_time(sim, sim->now_us + USEC_PER_MSEC);
	kernel_run(sim->kernel);
}

/* Decodes a heartbeat from its bytes, so that decoding is measured too. */
static void receive_heartbeat(struct sim *sim, uint32_t from, GArray *loads)
{
	struct event event = { .type = EVENT_PEER_RECEIVED };
	struct peer_msg *msg = peer_msg_new(PEER_MSG_HEARTBEAT);
	char reason[REASON_SIZE_BYTES];
	GBytes *bytes;
	gsize size_bytes;

	name_copy(msg->from, NAME_SIZE_BYTES, sim->entry_names->pdata[from]);
	g_snprintf(msg->dc, NAME_SIZE_BYTES, "dc%u",
		   from % sim->size->dc_count);
	msg->incarnation = 1;
	msg->applied_offset = sim->offset;
	msg->hlc = (uint64_t)(SIM_WALL_US + sim->now_us) / 1000 << 16;
	if (loads)
		msg->loads = g_array_ref(loads);
	bytes = peer_msg_encode(msg);
	peer_msg_free(msg);
	event.peer.msg = peer_msg_decode(g_bytes_get_data(bytes, &size_bytes),
					 g_bytes_get_size(bytes), reason);
	g_assert(event.peer.msg);
	sim->received.message_count++;
	sim->received.size_bytes += size_bytes;
	g_bytes_unref(bytes);
	name_copy(event.peer.peer, NAME_SIZE_BYTES,
		  sim->entry_names->pdata[from]);
	kernel_emit(sim->kernel, &event);
}

static GArray *make_loads(const struct sim *sim, uint32_t from, uint32_t count)
{
	GArray *loads = g_array_new(FALSE, TRUE, sizeof(struct peer_pool_load));

	for (uint32_t i = 0; i < MIN(count, sim->size->pool_count); i++) {
		struct peer_pool_load load = { .free_slots_count = 8 };

		g_snprintf(load.pool, NAME_SIZE_BYTES, "pool%03u",
			   (from + i + sim->heartbeat_count * count) %
				   sim->size->pool_count);
		g_array_append_val(loads, load);
	}
	return loads;
}

static void receive_local_heartbeats(struct sim *sim,
				     const struct digest_plan *plan)
{
	uint32_t dc = sim->own_index % sim->size->dc_count;

	for (uint32_t i = dc; i < sim->size->entry_count;
	     i += sim->size->dc_count) {
		GArray *loads = NULL;

		if (i == sim->own_index)
			continue;
		if (sim->heartbeat_count % 2 == 0)
			loads = make_loads(sim, i, plan->load_count);
		receive_heartbeat(sim, i, loads);
		if (loads)
			g_array_unref(loads);
	}
	sim->heartbeat_count++;
}

/* Receives one digest from each other data centre. */
static void receive_remote_digests(struct sim *sim,
				   const struct digest_plan *plan)
{
	for (uint32_t dc = 0; dc < sim->size->dc_count; dc++) {
		GArray *loads;

		if (dc == sim->own_index % sim->size->dc_count)
			continue;
		loads = make_loads(sim, dc, plan->load_count);
		receive_heartbeat(sim, dc, loads);
		g_array_unref(loads);
	}
}

void sim_emit_list(struct sim *sim)
{
	const GPtrArray *instances = fleet_instances(kernel_fleet(sim->kernel));
	struct event event = { .type = EVENT_INSTANCE_LIST };
	struct instance_list_item item = { .state = LIST_LIVE };

	event.list.items =
		g_array_new(FALSE, TRUE, sizeof(struct instance_list_item));
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		name_copy(item.name, NAME_SIZE_BYTES, instance->decl.name);
		g_array_append_val(event.list.items, item);
	}
	for (guint i = 0; i < sim->entry_names->len; i++) {
		name_copy(item.name, NAME_SIZE_BYTES,
			  sim->entry_names->pdata[i]);
		g_array_append_val(event.list.items, item);
	}
	kernel_emit(sim->kernel, &event);
}

static void renew_lease(struct sim *sim)
{
	struct record *record = record_new(RECORD_LEASE_RENEW);

	record->lease.token = sim->token;
	sim_feed_record(sim, sim_other_entry(sim), record);
}

static void emit_due_input(struct sim *sim, const struct digest_plan *plan)
{
	if (sim->now_us >= sim->next_heartbeat_us) {
		sim->next_heartbeat_us = sim->now_us + HEARTBEAT_US;
		receive_local_heartbeats(sim, plan);
	}
	if (sim->now_us >= sim->next_remote_us) {
		sim->next_remote_us = sim->now_us + plan->remote_round_us;
		receive_remote_digests(sim, plan);
	}
	if (sim->now_us >= sim->next_list_us) {
		sim->next_list_us = sim->now_us + LIST_US;
		sim_emit_list(sim);
	}
	if (sim->now_us >= sim->next_renew_us) {
		sim->next_renew_us = sim->now_us + RENEW_US;
		if (sim->token)
			renew_lease(sim);
	}
}

static int64_t next_input_us(const struct sim *sim)
{
	return MIN(MIN(sim->next_heartbeat_us, sim->next_remote_us),
		   MIN(sim->next_list_us, sim->next_renew_us));
}

void sim_run(struct sim *sim, int64_t duration_us)
{
	int64_t until_us = sim->now_us + duration_us;
	uint32_t dc = sim->own_index % sim->size->dc_count;
	uint32_t dc_entry_count =
		(sim->size->entry_count - dc - 1) / sim->size->dc_count + 1;
	struct digest_plan plan = digest_plan(
		dc_entry_count - 1, sim->size->entry_count - dc_entry_count);

	while (sim->now_us < until_us) {
		int64_t next_us = MIN(kernel_next_wake_us(sim->kernel),
				      next_input_us(sim));

		set_time(sim, MIN(until_us, MAX(sim->now_us + 1, next_us)));
		emit_due_input(sim, &plan);
		kernel_run(sim->kernel);
	}
}

void sim_reset_traffic(struct sim *sim)
{
	sim->local = sim->remote = (struct traffic){ 0 };
	sim->received = sim->appended = (struct traffic){ 0 };
}

static void join_entry(struct sim *sim, uint32_t entry)
{
	struct record *record = record_new(RECORD_ENTRY_JOIN);

	name_copy(record->entry.name, NAME_SIZE_BYTES,
		  sim->entry_names->pdata[entry]);
	g_snprintf(record->entry.dc, NAME_SIZE_BYTES, "dc%u",
		   entry % sim->size->dc_count);
	g_snprintf(record->entry.caller_address, ADDRESS_SIZE_BYTES,
		   "10.9.0.%u:8000", entry);
	g_snprintf(record->entry.operator_address, ADDRESS_SIZE_BYTES,
		   "10.9.0.%u:8100", entry);
	g_snprintf(record->entry.peer_address, ADDRESS_SIZE_BYTES,
		   "10.9.0.%u:8200", entry);
	record->entry.incarnation = 1;
	sim_feed_record(sim, entry, record);
}

static void configure(struct sim *sim, const GPtrArray *files)
{
	for (guint i = 0; i < files->len; i++) {
		struct record *record = record_new(RECORD_CONFIG_PUT);
		struct decl *decl = files->pdata[i];

		name_copy(record->config.file, NAME_SIZE_BYTES, decl->file);
		record->config.decl = decl_ref(decl);
		sim_feed_record(sim, sim_other_entry(sim), record);
	}
	if (fleet_instances(kernel_fleet(sim->kernel))->len !=
	    sim->size->instance_count) {
		fprintf(stderr, "capacity: the declarations were rejected\n");
		exit(1);
	}
}

static void start(struct sim *sim, const GPtrArray *files)
{
	set_time(sim, 1);
	kernel_start_kind(sim->kernel, PLUGIN_DECIDE);
	kernel_start_plugin_with(sim->kernel, &sink_plugin, sim);
	kernel_emit(sim->kernel, &(struct event){ .type = EVENT_STARTED });
	/* Joins first: a later entry would wait for all earlier ones. */
	emit_state(sim);
	while (!fleet_entries(kernel_fleet(sim->kernel))->len)
		sim_step(sim);
	for (uint32_t i = 0; i < sim->size->entry_count; i++) {
		if (i != sim->own_index)
			join_entry(sim, i);
	}
	configure(sim, files);
	if (sim->role != SIM_PLANNER) {
		sim_feed_record(sim, sim_other_entry(sim),
				record_new(RECORD_LEASE_CLAIM));
		sim->token = fleet_lease(kernel_fleet(sim->kernel))->token;
		g_assert(sim->token);
	}
	emit_state(sim);
	kernel_run(sim->kernel);
	sim_run(sim, SETTLE_US);
	if (!strcmp(fleet_lease(kernel_fleet(sim->kernel))->holder,
		    sim->settings->entry) != (sim->role == SIM_PLANNER)) {
		fprintf(stderr, "capacity: unexpected holder of the lease\n");
		exit(1);
	}
}

struct sim *sim_new(const struct size *size, enum sim_role role,
		    const GPtrArray *files)
{
	struct sim *sim = g_new0(struct sim, 1);

	g_assert(size->dc_count && size->entry_count > size->dc_count);
	sim->size = size;
	sim->role = role;
	sim->entry_names = g_ptr_array_new_with_free_func(g_free);
	sim->sequences = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < size->entry_count; i++) {
		g_ptr_array_add(sim->entry_names, g_strdup_printf("e%03u", i));
		g_ptr_array_add(sim->sequences, g_new0(uint64_t, 1));
	}
	sim->own_index = role == SIM_DIGEST_SENDER ? 0 : size->dc_count;
	sim->attempts = g_queue_new();
	sim->settings = settings_new();
	name_copy(sim->settings->entry, NAME_SIZE_BYTES,
		  sim->entry_names->pdata[sim->own_index]);
	g_snprintf(sim->settings->dc, NAME_SIZE_BYTES, "dc%u",
		   sim->own_index % size->dc_count);
	sim->kernel = kernel_new(sim->settings, 1, 1);
	start(sim, files);
	return sim;
}

static void event_free(gpointer data)
{
	event_clear(data);
	g_free(data);
}

void sim_free(struct sim *sim)
{
	kernel_free(sim->kernel);
	settings_free(sim->settings);
	g_queue_free_full(sim->attempts, event_free);
	g_ptr_array_unref(sim->entry_names);
	g_ptr_array_unref(sim->sequences);
	g_free(sim);
}
