/*
 * Measures the size of a snapshot and the CPU time of writing and restoring it
 * for several sizes of the state, interleaved in one run. Also prints the times
 * as ratios to the first size.
 */

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "codec/decl_yaml.h"
#include "codec/snapshot_codec.h"
#include "core/fleet_state.h"

#define ROUNDS_COUNT 9
#define WALL_US (INT64_C(1796000000) * USEC_PER_SEC)

struct size {
	const char *name;
	uint32_t instance_count;
	uint32_t pool_count;
	uint32_t claim_count; /* claims are retained for 24 h */
};

static const struct size sizes[] = {
	{ "today", 48, 9, 0 },
	{ "design", 780, 185, 0 },
	{ "design, 1 claim a second", 780, 185, 86400 },
};

struct cost {
	gsize size_bytes;
	int64_t write_ns;
	int64_t restore_ns;
};

static int64_t cpu_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (int64_t)time.tv_sec * 1000000000 + time.tv_nsec;
}

static void apply_record(struct fleet *fleet, struct record *record)
{
	struct fleet_outcome outcome;

	g_strlcpy(record->id.entry, "e1", sizeof(record->id.entry));
	record->id.incarnation = 1;
	record->id.sequence = fleet_offset(fleet) + 1;
	record->wall_us = WALL_US;
	if (!fleet_apply(fleet, fleet_offset(fleet) + 1, record, &outcome)) {
		fprintf(stderr, "record refused: %s\n", outcome.reason);
		exit(1);
	}
	record_unref(record);
}

static struct decl *make_decl(const struct size *size)
{
	GString *text = g_string_new("members:\n- {name: m}\npools:\n");
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct decl *decl;

	for (uint32_t i = 0; i < size->pool_count; i++)
		g_string_append_printf(
			text,
			"- {name: pool%u, member: m, max_unavailable: 1}\n", i);
	g_string_append(text, "instances:\n");
	for (uint32_t i = 0; i < size->instance_count; i++)
		g_string_append_printf(
			text,
			"- {name: w%u, address: '10.0.%u.%u:9000', dc: dc%u, "
			"rack: r%u, pool: pool%u}\n",
			i, i / 250, i % 250, i % 6, i / 4,
			i % MAX(size->pool_count, 1));
	decl = decl_parse("bench", text->str, text->len, false, errors);
	for (guint i = 0; i < errors->len; i++)
		fprintf(stderr, "%s\n", (char *)errors->pdata[i]);
	g_ptr_array_unref(errors);
	g_string_free(text, TRUE);
	return decl;
}

static struct fleet *make_fleet(const struct size *size)
{
	struct fleet *fleet = fleet_new();
	struct record *record = record_new(RECORD_ENTRY_JOIN);

	g_strlcpy(record->entry.name, "e1", sizeof(record->entry.name));
	record->entry.incarnation = 1;
	apply_record(fleet, record);
	record = record_new(RECORD_CONFIG_PUT);
	g_strlcpy(record->config.file, "bench", sizeof(record->config.file));
	record->config.decl = make_decl(size);
	apply_record(fleet, record);
	for (uint32_t i = 0; i < size->claim_count; i++) {
		record = record_new(RECORD_CLAIM);
		g_snprintf(record->claim.key, sizeof(record->claim.key),
			   "%" G_GINT64_FORMAT "-%032u",
			   WALL_US / USEC_PER_MSEC - size->claim_count + i, i);
		g_strlcpy(record->claim.service, "quote",
			  sizeof(record->claim.service));
		record->claim.request_id = i;
		apply_record(fleet, record);
	}
	return fleet;
}

static void measure(const struct fleet *fleet, struct cost *min_cost)
{
	char reason[REASON_SIZE_BYTES];
	int64_t start_ns = cpu_ns();
	GBytes *bytes = snapshot_encode(fleet);
	int64_t written_ns = cpu_ns();
	struct fleet *copy = snapshot_decode(bytes, reason);
	int64_t restored_ns = cpu_ns();

	if (!copy) {
		fprintf(stderr, "snapshot refused: %s\n", reason);
		exit(1);
	}
	min_cost->size_bytes = g_bytes_get_size(bytes);
	min_cost->write_ns = MIN(min_cost->write_ns, written_ns - start_ns);
	min_cost->restore_ns =
		MIN(min_cost->restore_ns, restored_ns - written_ns);
	fleet_free(copy);
	g_bytes_unref(bytes);
}

int main(void)
{
	struct fleet *fleets[G_N_ELEMENTS(sizes)];
	struct cost costs[G_N_ELEMENTS(sizes)];

	for (uint32_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		fleets[i] = make_fleet(&sizes[i]);
		costs[i] = (struct cost){ .write_ns = INT64_MAX,
					  .restore_ns = INT64_MAX };
	}
	for (uint32_t round = 0; round < ROUNDS_COUNT; round++) {
		for (uint32_t i = 0; i < G_N_ELEMENTS(sizes); i++)
			measure(fleets[i], &costs[i]);
	}
	printf("%-26s %10s %9s %9s %9s %9s\n", "state", "bytes", "write us",
	       "ratio", "restore", "ratio");
	for (uint32_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		printf("%-26s %10" G_GSIZE_FORMAT " %9" G_GINT64_FORMAT
		       " %9.1f %9" G_GINT64_FORMAT " %9.1f\n",
		       sizes[i].name, costs[i].size_bytes,
		       costs[i].write_ns / 1000,
		       (double)costs[i].write_ns / (double)costs[0].write_ns,
		       costs[i].restore_ns / 1000,
		       (double)costs[i].restore_ns /
			       (double)costs[0].restore_ns);
		fleet_free(fleets[i]);
	}
	return 0;
}
