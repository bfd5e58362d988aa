#include "capacity/table.h"

#include <stdio.h>

const struct size table_sizes[TABLE_SIZE_COUNT] = {
	{ 48, 11, 9, 4, 7 },
	{ 195, 46, 37, 4, 28 },
	{ 390, 92, 75, 5, 57 },
	{ 780, 185, 150, 6, 114 },
};

double table_values[ROW_COUNT][TABLE_SIZE_COUNT];

static const char *const row_names[ROW_IDLE_US] = {
	[ROW_SNAPSHOT_BYTES] = "snapshot, bytes",
	[ROW_SNAPSHOT_WRITE_US] = "snapshot write, us",
	[ROW_SNAPSHOT_READ_US] = "snapshot read, us",
	[ROW_KERNEL_EMPTY_BYTES] = "kernel without a fleet, bytes",
	[ROW_KERNEL_BYTES] = "kernel with the fleet, bytes",
	[ROW_FILE_BYTES] = "config_put of a member, bytes",
	[ROW_FILE_ENCODE_US] = "config_put encode, us",
	[ROW_FILE_DECODE_US] = "config_put decode, us",
	[ROW_FILE_APPLY_US] = "config_put apply to the state, us",
	[ROW_FILE_KERNEL_US] = "config_put, all plug-ins, us",
	[ROW_LIST_US] = "list answer, all plug-ins, us",
	[ROW_LIST_JSON_BYTES] = "list answer on the wire, bytes of body",
	[ROW_REQUEST_BYTES] = "open request, bytes",
	[ROW_REQUEST_US] = "request, all plug-ins, us",
	[ROW_CLAIM_HEAP_BYTES] = "claim kept, bytes of heap",
	[ROW_CLAIM_SNAPSHOT_BYTES] = "claim kept, bytes of snapshot",
	[ROW_HEARTBEAT_PLAIN_BYTES] = "heartbeat without loads, bytes",
	[ROW_HEARTBEAT_LOADS_BYTES] = "heartbeat with loads, bytes",
	[ROW_LOADS_COUNT] = "loads in a heartbeat",
	[ROW_REMOTE_ROUND_S] = "round of remote digests, s",
	[ROW_ZERO_SHARE] = "endpoints without a share, %",
};

static const char *const role_names[SIM_ROLE_COUNT] = {
	[SIM_PLAIN] = "entry",
	[SIM_DIGEST_SENDER] = "entry that sends digests",
	[SIM_PLANNER] = "entry with the planner",
};

static void print_row(const char *name, const double values[TABLE_SIZE_COUNT])
{
	double mean_x = 0, mean_y = 0, numerator = 0, denominator = 0;

	for (uint32_t i = 0; i < TABLE_SIZE_COUNT; i++) {
		mean_x += (double)table_sizes[i].instance_count /
			  TABLE_SIZE_COUNT;
		mean_y += values[i] / TABLE_SIZE_COUNT;
	}
	for (uint32_t i = 0; i < TABLE_SIZE_COUNT; i++) {
		double x = (double)table_sizes[i].instance_count - mean_x;

		numerator += x * (values[i] - mean_y);
		denominator += x * x;
	}
	printf("%-46s", name);
	for (uint32_t i = 0; i < TABLE_SIZE_COUNT; i++)
		printf(" %11.1f", values[i]);
	printf(" %11.3f\n", numerator / denominator);
}

void table_print(void)
{
	static const char *const per_role[] = {
		"CPU us a second, idle",  "messages a s, local",
		"bytes a s, local",	  "messages a s to other dcs",
		"bytes a s to other dcs", "messages a s received",
		"bytes a s received",	  "appends a s",
		"bytes a s appended",
	};
	char name[128];

	printf("%-46s %11u %11u %11u %11u %11s\n", "instances",
	       table_sizes[0].instance_count, table_sizes[1].instance_count,
	       table_sizes[2].instance_count, table_sizes[3].instance_count,
	       "slope");
	for (uint32_t row = 0; row < ROW_IDLE_US; row++)
		print_row(row_names[row], table_values[row]);
	for (uint32_t row = ROW_IDLE_US; row < ROW_RECORD_BYTES; row++) {
		uint32_t role = (row - ROW_IDLE_US) % SIM_ROLE_COUNT;
		uint32_t metric = (row - ROW_IDLE_US) / SIM_ROLE_COUNT;

		g_snprintf(name, sizeof(name), "%s: %s", role_names[role],
			   per_role[metric]);
		print_row(name, table_values[row]);
	}
	for (uint32_t row = ROW_RECORD_BYTES; row < ROW_COUNT; row++) {
		bool is_time = row >= ROW_RECORD_US;
		uint32_t kind =
			row - (is_time ? ROW_RECORD_US : ROW_RECORD_BYTES);

		if (!table_values[row][0])
			continue;
		g_snprintf(name, sizeof(name), "%s, %s",
			   record_kind_name((enum record_kind)kind),
			   is_time ? "all plug-ins, us" : "bytes");
		print_row(name, table_values[row]);
	}
}
