/* Heartbeat sizes, and the shares of slots of entry instances. */

#include <string.h>

#include "codec/peer_codec.h"
#include "decide/cluster_digest.h"
#include "decide/slots_share.h"
#include "runner/suite.h"

#define NODE_BYTES_PER_S 4096 /* control traffic that a node may send */

static struct peer_msg *heartbeat(uint32_t load_count)
{
	struct peer_msg *msg = peer_msg_new(PEER_MSG_HEARTBEAT);

	name_copy(msg->from, sizeof(msg->from), "entry-instance-00001");
	name_copy(msg->dc, sizeof(msg->dc), "data-centre-north-01");
	msg->incarnation = UINT64_C(1796000000000000);
	msg->applied_offset = UINT64_C(100000000);
	msg->hlc = UINT64_C(1796000000000) << 16;
	msg->loads = g_array_new(FALSE, TRUE, sizeof(struct peer_pool_load));
	for (uint32_t i = 0; i < load_count; i++) {
		struct peer_pool_load load = {
			.free_slots_count = 64,
			.queued_count = 256,
			.wait_us = 10 * USEC_PER_SEC,
			.demand_us_per_s = 100 * USEC_PER_SEC,
		};

		name_copy(load.pool, sizeof(load.pool), "pool-of-a-member-001");
		g_array_append_val(msg->loads, load);
	}
	return msg;
}

/* Guards against a traffic budget computed from sizes that are too small. */
static void test_heartbeat_size(void)
{
	for (uint32_t load_count = 0; load_count <= 8; load_count++) {
		struct peer_msg *msg = heartbeat(load_count);
		GBytes *encoded = peer_msg_encode(msg);

		CU_ASSERT_TRUE(g_bytes_get_size(encoded) <=
			       heartbeat_size_bytes(msg));
		g_bytes_unref(encoded);
		peer_msg_free(msg);
	}
}

static uint32_t size_bytes(uint32_t load_count)
{
	struct peer_msg *msg = heartbeat(load_count);
	uint32_t size = heartbeat_size_bytes(msg);

	peer_msg_free(msg);
	return size;
}

/* Guards against heartbeats that exceed NODE_BYTES_PER_S. */
static void test_digest_plan(void)
{
	static const struct {
		uint32_t local_peer_count;
		uint32_t remote_count;
	} cases[] = { { 0, 0 },	 { 1, 0 }, { 0, 6 }, { 1, 5 },
		      { 3, 12 }, { 9, 0 }, { 9, 50 } };

	for (uint32_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct digest_plan plan = digest_plan(cases[i].local_peer_count,
						      cases[i].remote_count);
		uint64_t remote_per_s = (cases[i].remote_count * USEC_PER_SEC +
					 plan.remote_round_us - 1) /
					plan.remote_round_us;
		uint64_t local_peer_count = cases[i].local_peer_count;
		uint64_t sent_bytes = local_peer_count * size_bytes(0) +
				      (local_peer_count + remote_per_s) *
					      size_bytes(plan.load_count);

		CU_ASSERT_TRUE(plan.load_count >= 1);
		CU_ASSERT_TRUE(sent_bytes <= NODE_BYTES_PER_S);
	}
}

static GPtrArray *roster(uint32_t entry_count, uint32_t removed)
{
	GPtrArray *entries = g_ptr_array_new_with_free_func(g_free);

	for (uint32_t i = 0; i < entry_count; i++) {
		struct fleet_entry *entry = g_new0(struct fleet_entry, 1);

		g_snprintf(entry->decl.name, NAME_SIZE_BYTES, "entry-%u", i);
		g_strlcpy(entry->decl.dc, "dc1", NAME_SIZE_BYTES);
		if (i == removed)
			g_free(entry);
		else
			g_ptr_array_add(entries, entry);
	}
	return entries;
}

static uint32_t share_of(const GPtrArray *entries, uint32_t index,
			 uint32_t slot_count)
{
	const struct fleet_entry *entry = entries->pdata[index];

	return slots_share(entries, "dc1", entry->decl.name, "worker",
			   slot_count);
}

/* Guards against shares that don't add up to the slots of an endpoint. */
static void test_share_sum(void)
{
	for (uint32_t entry_count = 1; entry_count <= 12; entry_count++) {
		for (uint32_t slot_count = 1; slot_count <= 17; slot_count++) {
			GPtrArray *entries = roster(entry_count, UINT32_MAX);
			uint32_t sum = 0;

			for (uint32_t i = 0; i < entry_count; i++)
				sum += share_of(entries, i, slot_count);
			CU_ASSERT_EQUAL(sum, slot_count);
			g_ptr_array_unref(entries);
		}
	}
}

static void check_removal(uint32_t entry_count, uint32_t removed,
			  uint32_t slot_count)
{
	GPtrArray *before = roster(entry_count, UINT32_MAX);
	GPtrArray *after = roster(entry_count, removed);

	for (uint32_t i = 0; i < entry_count; i++) {
		if (i != removed)
			CU_ASSERT_TRUE(
				share_of(before, i, slot_count) <=
				share_of(after, i - (i > removed), slot_count));
	}
	g_ptr_array_unref(before);
	g_ptr_array_unref(after);
}

/*
 * Guards against a share that shrinks when another entry is removed: entries
 * apply the removal at different times, and one would use too much.
 */
static void test_share_removal(void)
{
	for (uint32_t entry_count = 2; entry_count <= 12; entry_count++) {
		for (uint32_t removed = 0; removed < entry_count; removed++) {
			for (uint32_t slot_count = 1; slot_count <= 17;
			     slot_count++)
				check_removal(entry_count, removed, slot_count);
		}
	}
}

static const CU_TestInfo tests[] = {
	{ "heartbeat_size", test_heartbeat_size },
	{ "digest_plan", test_digest_plan },
	{ "share_sum", test_share_sum },
	{ "share_removal", test_share_removal },
	CU_TEST_INFO_NULL,
};

static struct suite cluster_suite = { .name = "cluster", .tests = tests };

SUITE_REGISTER(cluster_suite)
