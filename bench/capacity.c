/*
 * Measures state, messages and processor time at several fleet sizes and their
 * slopes per instance, for docs/CAPACITY.md. With the argument "declare",
 * prints the declarations of the design size instead, for bench/capacity.sh.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capacity/table.h"
#include "codec/decl_yaml.h"
#include "codec/peer_codec.h"
#include "codec/record_codec.h"
#include "codec/snapshot_codec.h"
#include "decide/cluster_digest.h"
#include "decide/proposer_queue.h"
#include "decide/slots_share.h"
#include "kernel/klog.h"

#define IDLE_US (60 * USEC_PER_SEC)
#define REPEAT_COUNT 50
#define REQUEST_COUNT 1000

static double min_us(double known_us, int64_t took_ns)
{
	double took_us = (double)took_ns / 1000;

	return known_us > 0 && known_us < took_us ? known_us : took_us;
}

static void measure_snapshot(const struct sim *sim, uint32_t column)
{
	char reason[REASON_SIZE_BYTES];

	for (uint32_t i = 0; i < REPEAT_COUNT; i++) {
		int64_t start_ns = cpu_ns();
		GBytes *bytes = snapshot_encode(kernel_fleet(sim->kernel));
		int64_t written_ns = cpu_ns();
		struct fleet *copy = snapshot_decode(bytes, reason);
		int64_t read_ns = cpu_ns();

		table_values[ROW_SNAPSHOT_BYTES][column] =
			(double)g_bytes_get_size(bytes);
		table_values[ROW_SNAPSHOT_WRITE_US][column] =
			min_us(table_values[ROW_SNAPSHOT_WRITE_US][column],
			       written_ns - start_ns);
		table_values[ROW_SNAPSHOT_READ_US][column] =
			min_us(table_values[ROW_SNAPSHOT_READ_US][column],
			       read_ns - written_ns);
		fleet_free(copy);
		g_bytes_unref(bytes);
	}
}

/* Encodes and decodes a record; fills in the rows of its kind. */
static void measure_codec(const struct record *record, uint32_t column)
{
	char reason[REASON_SIZE_BYTES];
	int64_t start_ns = cpu_ns();
	GBytes *bytes = record_encode(record);
	int64_t encoded_ns = cpu_ns();
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);
	struct record *copy = record_decode(data, size_bytes, reason);
	int64_t decoded_ns = cpu_ns();

	g_assert(copy);
	table_values[ROW_RECORD_BYTES + record->kind][column] =
		(double)size_bytes;
	if (record->kind == RECORD_CONFIG_PUT) {
		table_values[ROW_FILE_BYTES][column] = (double)size_bytes;
		table_values[ROW_FILE_ENCODE_US][column] =
			min_us(table_values[ROW_FILE_ENCODE_US][column],
			       encoded_ns - start_ns);
		table_values[ROW_FILE_DECODE_US][column] =
			min_us(table_values[ROW_FILE_DECODE_US][column],
			       decoded_ns - encoded_ns);
	}
	record_unref(copy);
	g_bytes_unref(bytes);
}

/* Feeds a record to all plug-ins; keeps the minimum time of its kind. */
static void feed_record(struct sim *sim, uint32_t entry, struct record *record,
			uint32_t column)
{
	enum record_kind kind = record->kind;
	double *row = table_values[ROW_RECORD_US + kind];
	int64_t took_ns;

	record_ref(record);
	took_ns = sim_feed_record(sim, entry, record);
	measure_codec(record, column);
	record_unref(record);
	row[column] = min_us(row[column], took_ns);
	sim_step(sim);
}

static struct record *next_version(struct sim *sim, struct decl *decl)
{
	struct record *record = record_new(RECORD_CONFIG_PUT);

	name_copy(record->config.file, NAME_SIZE_BYTES, decl->file);
	record->config.decl = decl_ref(decl);
	fleet_file(kernel_fleet(sim->kernel), decl->file,
		   &record->config.base_offset);
	return record;
}

/* Applies a change of one member's file to the replicated state only. */
static void measure_apply(struct sim *sim, struct decl *decl, uint32_t column)
{
	GBytes *bytes = snapshot_encode(kernel_fleet(sim->kernel));
	char reason[REASON_SIZE_BYTES];

	for (uint32_t i = 0; i < REPEAT_COUNT / 5; i++) {
		struct fleet *copy = snapshot_decode(bytes, reason);
		struct record *record = next_version(sim, decl);
		struct fleet_outcome outcome;
		int64_t start_ns;

		name_copy(record->id.entry, NAME_SIZE_BYTES,
			  sim->entry_names->pdata[sim_other_entry(sim)]);
		record->id.incarnation = 1;
		record->id.sequence = INT64_MAX;
		start_ns = cpu_ns();
		g_assert(fleet_apply(copy, fleet_offset(copy) + 1, record,
				     &outcome));
		table_values[ROW_FILE_APPLY_US][column] =
			min_us(table_values[ROW_FILE_APPLY_US][column],
			       cpu_ns() - start_ns);
		record_unref(record);
		fleet_free(copy);
	}
	g_bytes_unref(bytes);
}

static void measure_config(struct sim *sim, const GPtrArray *files,
			   uint32_t column)
{
	struct decl *decl = files->pdata[0];

	measure_apply(sim, decl, column);
	for (uint32_t i = 0; i < REPEAT_COUNT; i++)
		feed_record(sim, sim_other_entry(sim), next_version(sim, decl),
			    column);
	table_values[ROW_FILE_KERNEL_US][column] =
		table_values[ROW_RECORD_US + RECORD_CONFIG_PUT][column];
}

static struct record *claim_record(struct sim *sim, enum record_kind kind,
				   uint32_t number, int64_t key_us)
{
	struct record *record = record_new(kind);

	g_snprintf(record->claim.key, KEY_SIZE_BYTES,
		   "%" G_GINT64_FORMAT "-%036u",
		   (SIM_WALL_US + key_us) / USEC_PER_MSEC, number);
	if (kind == RECORD_CLAIM)
		name_copy(record->claim.service, NAME_SIZE_BYTES,
			  "service000-2");
	record->claim.request_id = sim->offset + number;
	record->claim.verdict =
		kind == RECORD_CLAIM ? VERDICT_NONE : VERDICT_RAN;
	record->claim.status = kind == RECORD_CLAIM ? 0 : 200;
	return record;
}

static void measure_claims(struct sim *sim, uint32_t column)
{
	int64_t heap_start_bytes = heap_bytes();
	double snapshot_bytes = table_values[ROW_SNAPSHOT_BYTES][column];
	GBytes *bytes;

	for (uint32_t i = 0; i < REQUEST_COUNT; i++) {
		int64_t key_us = sim->now_us;
		struct record *record =
			claim_record(sim, RECORD_CLAIM, i, key_us);
		uint64_t request_id = record->claim.request_id;

		feed_record(sim, sim_other_entry(sim), record, column);
		record = claim_record(sim, RECORD_CLAIM_RESULT, i, key_us);
		record->claim.request_id = request_id;
		feed_record(sim, sim_other_entry(sim), record, column);
	}
	table_values[ROW_CLAIM_HEAP_BYTES][column] =
		(double)(heap_bytes() - heap_start_bytes) / REQUEST_COUNT;
	bytes = snapshot_encode(kernel_fleet(sim->kernel));
	table_values[ROW_CLAIM_SNAPSHOT_BYTES][column] =
		((double)g_bytes_get_size(bytes) - snapshot_bytes) /
		REQUEST_COUNT;
	g_bytes_unref(bytes);
}

static void feed_maint_record(struct sim *sim, enum record_kind kind,
			      const char *instance, uint64_t drain_offset,
			      uint32_t column)
{
	struct record *record = record_new(kind);

	name_copy(record->instance.instance, NAME_SIZE_BYTES, instance);
	record->instance.token = sim->token;
	record->instance.drain_offset = drain_offset;
	if (kind == RECORD_MAINT_START)
		name_copy(record->instance.wave, NAME_SIZE_BYTES, "all");
	feed_record(sim, sim_other_entry(sim), record, column);
}

static void acknowledge(struct sim *sim, const struct fleet_instance *instance,
			uint32_t column)
{
	uint32_t dc = (uint32_t)atoi(instance->decl.dc + 2);

	for (uint32_t i = dc; i < sim->size->entry_count;
	     i += sim->size->dc_count) {
		struct record *record = record_new(RECORD_DRAIN_ACK);

		/* The measured entry has proposed its own drain_ack. */
		if (i == sim->own_index) {
			record_unref(record);
			continue;
		}
		name_copy(record->instance.instance, NAME_SIZE_BYTES,
			  instance->decl.name);
		record->instance.drain_offset = instance->drain_offset;
		record->instance.incarnation = 1;
		feed_record(sim, i, record, column);
	}
}

/* Maintains one instance of each of several pools, one after another. */
static void measure_wave(struct sim *sim, uint32_t column)
{
	for (uint32_t i = 0; i < MIN(sim->size->pool_count, REPEAT_COUNT);
	     i++) {
		const struct fleet_instance *instance =
			fleet_instances(kernel_fleet(sim->kernel))->pdata[i];
		char name[NAME_SIZE_BYTES];
		uint64_t drain_offset;

		name_copy(name, sizeof(name), instance->decl.name);
		feed_maint_record(sim, RECORD_MAINT_START, name, 0, column);
		drain_offset = instance->drain_offset;
		sim_run(sim, 2 * USEC_PER_SEC);
		acknowledge(sim, instance, column);
		feed_maint_record(sim, RECORD_MAINT_REBOOT, name, drain_offset,
				  column);
		feed_maint_record(sim, RECORD_MAINT_DONE, name, drain_offset,
				  column);
		if (instance->phase != INSTANCE_ACTIVE ||
		    instance->changed_offset <= drain_offset) {
			fprintf(stderr,
				"capacity: maintenance of %s did not finish\n",
				name);
			exit(1);
		}
	}
}

static void measure_records(struct sim *sim, const GPtrArray *files,
			    uint32_t column)
{
	struct decl *wave = generate_wave(sim->size);

	for (uint32_t i = 0; i < REPEAT_COUNT; i++) {
		struct record *record = record_new(RECORD_LEASE_RENEW);

		record->lease.token = sim->token;
		feed_record(sim, sim_other_entry(sim), record, column);
	}
	measure_config(sim, files, column);
	measure_claims(sim, column);
	sim_feed_record(sim, sim_other_entry(sim), next_version(sim, wave));
	decl_unref(wave);
	measure_wave(sim, column);
}

static void measure_list(struct sim *sim, uint32_t column)
{
	const GPtrArray *instances = fleet_instances(kernel_fleet(sim->kernel));
	uint64_t size_bytes = strlen("{\"instances\":[]}");

	for (uint32_t i = 0; i < REPEAT_COUNT; i++) {
		int64_t start_ns;

		sim_emit_list(sim);
		start_ns = cpu_ns();
		kernel_run(sim->kernel);
		table_values[ROW_LIST_US][column] = min_us(
			table_values[ROW_LIST_US][column], cpu_ns() - start_ns);
		sim_step(sim);
	}
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		size_bytes += strlen("{\"name\":\"\",\"state\":\"live\"},") +
			      strlen(instance->decl.name);
	}
	for (guint i = 0; i < sim->entry_names->len; i++)
		size_bytes += strlen("{\"name\":\"\",\"state\":\"live\"},") +
			      strlen(sim->entry_names->pdata[i]);
	table_values[ROW_LIST_JSON_BYTES][column] = (double)size_bytes;
}

static void add_request(struct sim *sim, uint32_t number)
{
	struct request *request = request_add(kernel_requests(sim->kernel));
	struct event event = { .type = EVENT_REQUEST_NEW };

	name_copy(request->method, sizeof(request->method), "GET");
	request->path = g_strdup_printf(
		"/pool%03u/%u/x", number % sim->size->pool_count, number % 2);
	request->arrived_us = sim->now_us;
	event.request.request_id = request->id;
	kernel_emit(sim->kernel, &event);
	kernel_run(sim->kernel);
}

static void answer_all(struct sim *sim)
{
	struct event *done;

	while ((done = g_queue_pop_head(sim->attempts))) {
		kernel_emit(sim->kernel, done);
		g_free(done);
		kernel_run(sim->kernel);
	}
}

/* Opens all requests, then answers all; the first round is a warm-up. */
static void measure_requests(struct sim *sim, uint32_t column)
{
	for (uint32_t round = 0; round < 3; round++) {
		int64_t heap_start_bytes = heap_bytes();
		int64_t start_ns = cpu_ns();
		uint32_t open_count;

		for (uint32_t i = 0; i < REQUEST_COUNT; i++)
			add_request(sim, i);
		open_count = request_count(kernel_requests(sim->kernel));
		if (round && open_count)
			table_values[ROW_REQUEST_BYTES][column] =
				(double)(heap_bytes() - heap_start_bytes) /
				open_count;
		answer_all(sim);
		table_values[ROW_REQUEST_US][column] =
			(double)(cpu_ns() - start_ns) / 1000 / REQUEST_COUNT;
		sim_run(sim, 40 * USEC_PER_SEC);
		answer_all(sim);
	}
}

/* Percentage of local endpoints of which the measured entry has no slot. */
static void measure_zero_share(const struct sim *sim, uint32_t column)
{
	const GPtrArray *instances = fleet_instances(kernel_fleet(sim->kernel));
	uint32_t count = 0;
	uint32_t zero_count = 0;

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		const struct endpoint_state *state = endpoint_table_find(
			kernel_endpoints(sim->kernel), instance->decl.name);

		if (strcmp(instance->decl.dc, sim->settings->dc) != 0)
			continue;
		count++;
		zero_count += !state || !state->allowed_count;
	}
	table_values[ROW_ZERO_SHARE][column] =
		100.0 * zero_count / MAX(count, 1);
}

static void measure_heartbeats(const struct size *size, uint32_t column)
{
	uint32_t local_peer_count = (size->entry_count - 1) / size->dc_count;
	struct digest_plan plan = digest_plan(
		local_peer_count, size->entry_count - local_peer_count - 1);
	struct peer_msg *msg = peer_msg_new(PEER_MSG_HEARTBEAT);
	GBytes *bytes;

	name_copy(msg->from, NAME_SIZE_BYTES, "e000");
	name_copy(msg->dc, NAME_SIZE_BYTES, "dc0");
	msg->incarnation = SIM_WALL_US;
	msg->applied_offset = 1000000;
	msg->hlc = (uint64_t)SIM_WALL_US / 1000 << 16;
	bytes = peer_msg_encode(msg);
	table_values[ROW_HEARTBEAT_PLAIN_BYTES][column] =
		(double)g_bytes_get_size(bytes);
	g_bytes_unref(bytes);
	msg->loads = g_array_new(FALSE, TRUE, sizeof(struct peer_pool_load));
	for (uint32_t i = 0; i < plan.load_count; i++) {
		struct peer_pool_load load = { .pool = "pool000",
					       .free_slots_count = 8,
					       .queued_count = 100,
					       .wait_us = 250000,
					       .demand_us_per_s = 8000000 };

		g_array_append_val(msg->loads, load);
	}
	bytes = peer_msg_encode(msg);
	table_values[ROW_HEARTBEAT_LOADS_BYTES][column] =
		(double)g_bytes_get_size(bytes);
	table_values[ROW_LOADS_COUNT][column] = plan.load_count;
	table_values[ROW_REMOTE_ROUND_S][column] =
		(double)plan.remote_round_us / USEC_PER_SEC;
	g_bytes_unref(bytes);
	peer_msg_free(msg);
}

static double per_s(uint64_t count)
{
	return (double)count * USEC_PER_SEC / IDLE_US;
}

static void measure_idle(struct sim *sim, uint32_t column)
{
	int64_t start_ns;

	sim_reset_traffic(sim);
	start_ns = cpu_ns();
	sim_run(sim, IDLE_US);
	table_values[ROW_IDLE_US + sim->role][column] =
		per_s((uint64_t)(cpu_ns() - start_ns)) / 1000;
	table_values[ROW_LOCAL_PER_S + sim->role][column] =
		per_s(sim->local.message_count);
	table_values[ROW_LOCAL_BYTES_PER_S + sim->role][column] =
		per_s(sim->local.size_bytes);
	table_values[ROW_REMOTE_PER_S + sim->role][column] =
		per_s(sim->remote.message_count);
	table_values[ROW_REMOTE_BYTES_PER_S + sim->role][column] =
		per_s(sim->remote.size_bytes);
	table_values[ROW_RECEIVED_PER_S + sim->role][column] =
		per_s(sim->received.message_count);
	table_values[ROW_RECEIVED_BYTES_PER_S + sim->role][column] =
		per_s(sim->received.size_bytes);
	table_values[ROW_APPENDS_PER_S + sim->role][column] =
		per_s(sim->appended.message_count);
	table_values[ROW_APPEND_BYTES_PER_S + sim->role][column] =
		per_s(sim->appended.size_bytes);
}

static void measure_empty_kernel(uint32_t column)
{
	struct settings *settings = settings_new();
	int64_t heap_start_bytes = heap_bytes();
	struct kernel *kernel = kernel_new(settings, 1, 1);

	kernel_start_kind(kernel, PLUGIN_DECIDE);
	table_values[ROW_KERNEL_EMPTY_BYTES][column] =
		(double)(heap_bytes() - heap_start_bytes);
	kernel_free(kernel);
	settings_free(settings);
}

static void measure(uint32_t column)
{
	const struct size *size = &table_sizes[column];
	GPtrArray *files = generate_files(size);
	int64_t heap_start_bytes;
	struct sim *sim;

	measure_empty_kernel(column);
	measure_heartbeats(size, column);
	for (uint32_t role = SIM_DIGEST_SENDER; role < SIM_ROLE_COUNT; role++) {
		sim = sim_new(size, (enum sim_role)role, files);
		measure_idle(sim, column);
		sim_free(sim);
	}
	heap_start_bytes = heap_bytes();
	sim = sim_new(size, SIM_PLAIN, files);
	measure_idle(sim, column);
	table_values[ROW_KERNEL_BYTES][column] =
		(double)(heap_bytes() - heap_start_bytes);
	measure_zero_share(sim, column);
	measure_snapshot(sim, column);
	measure_list(sim, column);
	measure_requests(sim, column);
	measure_records(sim, files, column);
	sim_free(sim);
	g_ptr_array_unref(files);
}

/* Number of pools with endpoints in a data centre; only their loads are sent.
 */
static uint32_t pools_in_dc(const struct fleet *fleet, const char *dc)
{
	const GPtrArray *pools = fleet_pools(fleet);
	uint32_t count = 0;

	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *pool = pools->pdata[i];
		bool found = false;

		for (guint k = 0; k < pool->instances->len; k++) {
			const struct fleet_instance *instance =
				pool->instances->pdata[k];

			found |= !strcmp(instance->decl.dc, dc);
		}
		count += found;
	}
	return count;
}

/* Percentage of the endpoints in dc0 of which entry e000 has no slot. */
static double zero_share(const struct fleet *fleet, uint32_t dc_entry_count)
{
	GPtrArray *entries = g_ptr_array_new_with_free_func(g_free);
	const GPtrArray *instances = fleet_instances(fleet);
	uint32_t count = 0;
	uint32_t zero_count = 0;

	for (uint32_t i = 0; i < dc_entry_count; i++) {
		struct fleet_entry *entry = g_new0(struct fleet_entry, 1);

		g_snprintf(entry->decl.name, NAME_SIZE_BYTES, "e%03u", i);
		name_copy(entry->decl.dc, NAME_SIZE_BYTES, "dc0");
		g_ptr_array_add(entries, entry);
	}
	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];

		if (strcmp(instance->decl.dc, "dc0") != 0)
			continue;
		count++;
		zero_count += !slots_share(entries, "dc0", "e000",
					   instance->decl.name,
					   instance->decl.slot_count);
	}
	g_ptr_array_unref(entries);
	return 100.0 * zero_count / MAX(count, 1);
}

/* Effect of the number of entry instances at the design size. */
static void print_entries(void)
{
	static const uint32_t entry_counts[] = { 7, 12, 24, 48, 96, 114 };
	const struct size *size = &table_sizes[TABLE_SIZE_COUNT - 1];
	GPtrArray *files = generate_files(size);
	struct sim *sim = sim_new(size, SIM_PLAIN, files);
	const struct fleet *fleet = kernel_fleet(sim->kernel);
	uint32_t pool_count = pools_in_dc(fleet, "dc0");

	printf("\n%u instances, %u data centres, %u of %u pools in one\n",
	       size->instance_count, size->dc_count, pool_count,
	       size->pool_count);
	printf("%8s %8s %10s %10s %10s %12s %12s\n", "entries", "in a dc",
	       "loads/beat", "local, s", "remote, s", "append, ms",
	       "no share, %");
	for (uint32_t i = 0; i < G_N_ELEMENTS(entry_counts); i++) {
		uint32_t dc_entry_count =
			(entry_counts[i] + size->dc_count - 1) / size->dc_count;
		struct digest_plan plan = digest_plan(
			dc_entry_count - 1, entry_counts[i] - dc_entry_count);
		struct append_rate rate = { 0 };
		double round_heartbeats = (double)pool_count / plan.load_count;

		append_rate_set(&rate, entry_counts[i]);
		printf("%8u %8u %10u %10.1f %10.1f %12.1f %12.1f\n",
		       entry_counts[i], dc_entry_count, plan.load_count,
		       round_heartbeats,
		       round_heartbeats * (double)plan.remote_round_us /
			       USEC_PER_SEC,
		       (double)rate.interval_us / USEC_PER_MSEC,
		       zero_share(fleet, dc_entry_count));
	}
	sim_free(sim);
	g_ptr_array_unref(files);
}

int main(int argc, char **argv)
{
	klog_init("bench");
	if (argc == 2 && !strcmp(argv[1], "declare")) {
		char *text = generate_all(&table_sizes[TABLE_SIZE_COUNT - 1]);

		fputs(text, stdout);
		g_free(text);
		return 0;
	}
	for (uint32_t i = 0; i < TABLE_SIZE_COUNT; i++)
		measure(i);
	table_print();
	print_entries();
	return 0;
}
