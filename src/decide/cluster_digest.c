#include "decide/cluster_digest.h"

#include <string.h>

/*
 * Limit of heartbeats sent by one entry instance. It receives less than it
 * sends, so that sent and received heartbeats and the records of the log
 * together stay below 4 KB/s.
 */
#define BUDGET_BYTES_PER_S 2500
/*
 * Upper bounds of heartbeat_size_bytes() for names of up to 20 bytes: of a
 * heartbeat without loads, and of each load.
 */
#define HEARTBEAT_SIZE_BYTES 96
#define LOAD_SIZE_BYTES 46
/*
 * Version and kind of the message; version, hash and length of the frame;
 * ZeroMQ's header.
 */
#define FRAME_OVERHEAD_BYTES (4 + 14 + 9)
/* Limit of heartbeats to entries of other data centres. */
#define REMOTE_HEARTBEATS_PER_S 8
/* An unchanged load is sent again after this time. */
#define RESEND_INTERVAL_US (10 * USEC_PER_SEC)

struct sent_load {
	struct peer_pool_load load;
	int64_t sent_us;
};

struct digest_sender {
	GHashTable *sent; /* pool -> struct sent_load */
};

struct candidate {
	struct peer_pool_load load;
	int64_t sent_us; /* -1: never */
};

struct digest_sender *digest_sender_new(void)
{
	struct digest_sender *sender = g_new0(struct digest_sender, 1);

	sender->sent =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return sender;
}

void digest_sender_free(struct digest_sender *sender)
{
	g_hash_table_unref(sender->sent);
	g_free(sender);
}

/*
 * Our free slots at the usable endpoints of a pool in our data centre. Adds the
 * pool's instances in our data centre, usable or not, to endpoint_count.
 */
static uint32_t count_free_slots(struct kernel *kernel,
				 const struct fleet_pool *pool,
				 uint32_t *endpoint_count)
{
	const char *dc = kernel_settings(kernel)->dc;
	uint32_t free_count = 0;

	for (guint i = 0; i < pool->instances->len; i++) {
		const struct fleet_instance *instance =
			pool->instances->pdata[i];
		const struct endpoint_state *state = endpoint_table_find(
			kernel_endpoints(kernel), instance->decl.name);

		if (strcmp(instance->decl.dc, dc) != 0)
			continue;
		(*endpoint_count)++;
		if (instance->phase != INSTANCE_ACTIVE || instance->down ||
		    !state || state->leaving || state->ejected)
			continue;
		if (state->allowed_count > state->in_flight_count)
			free_count +=
				state->allowed_count - state->in_flight_count;
	}
	return free_count;
}

static bool is_same_load(const struct peer_pool_load *a,
			 const struct peer_pool_load *b)
{
	return a->free_slots_count == b->free_slots_count &&
	       a->queued_count == b->queued_count && a->wait_us == b->wait_us;
}

static bool is_due(const struct sent_load *sent,
		   const struct peer_pool_load *load, int64_t now_us)
{
	return !sent || !is_same_load(&sent->load, load) ||
	       now_us - sent->sent_us >= RESEND_INTERVAL_US;
}

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->sent_us != right->sent_us)
		return left->sent_us < right->sent_us ? -1 : 1;
	return strcmp(left->load.pool, right->load.pool);
}

static GArray *find_candidates(struct digest_sender *sender,
			       struct kernel *kernel)
{
	const GPtrArray *pools = fleet_pools(kernel_fleet(kernel));
	int64_t now_us = kernel_now_us(kernel);
	GArray *found = g_array_new(FALSE, TRUE, sizeof(struct candidate));

	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *pool = pools->pdata[i];
		const struct pool_state *state = endpoint_table_pool(
			kernel_endpoints(kernel), pool->decl.name);
		const struct sent_load *sent =
			g_hash_table_lookup(sender->sent, pool->decl.name);
		struct candidate candidate = { .sent_us = -1 };
		uint32_t endpoint_count = 0;

		candidate.load.free_slots_count =
			count_free_slots(kernel, pool, &endpoint_count);
		candidate.load.queued_count = state->queued_count;
		candidate.load.wait_us = state->wait_us;
		candidate.load.demand_us_per_s = state->demand_us_per_s;
		name_copy(candidate.load.pool, NAME_SIZE_BYTES,
			  pool->decl.name);
		if (sent)
			candidate.sent_us = sent->sent_us;
		if (endpoint_count && is_due(sent, &candidate.load, now_us))
			g_array_append_val(found, candidate);
	}
	g_array_sort(found, compare_candidates);
	return found;
}

static void remember_sent(struct digest_sender *sender,
			  const struct peer_pool_load *load, int64_t now_us)
{
	struct sent_load *sent = g_hash_table_lookup(sender->sent, load->pool);

	if (!sent) {
		sent = g_new0(struct sent_load, 1);
		sent->load = *load;
		g_hash_table_insert(sender->sent, sent->load.pool, sent);
	}
	sent->load = *load;
	sent->sent_us = now_us;
}

GArray *digest_sender_next(struct digest_sender *sender, struct kernel *kernel,
			   uint32_t max_count)
{
	GArray *found = find_candidates(sender, kernel);
	GArray *loads = NULL;

	for (guint i = 0; i < MIN(found->len, max_count); i++) {
		const struct candidate *candidate =
			&g_array_index(found, struct candidate, i);

		if (!loads)
			loads = g_array_new(FALSE, TRUE,
					    sizeof(struct peer_pool_load));
		g_array_append_val(loads, candidate->load);
		remember_sent(sender, &candidate->load, kernel_now_us(kernel));
	}
	g_array_unref(found);
	return loads;
}

/* Upper bound of the size of a varint with its field tag. */
static uint32_t varint_size_bytes(uint64_t value)
{
	uint32_t size_bytes = 2;

	while (value >= 128) {
		value >>= 7;
		size_bytes++;
	}
	return size_bytes;
}

uint32_t heartbeat_size_bytes(const struct peer_msg *msg)
{
	uint32_t size_bytes = FRAME_OVERHEAD_BYTES;

	size_bytes += 2 + (uint32_t)strlen(msg->from);
	size_bytes += 2 + (uint32_t)strlen(msg->dc);
	size_bytes += varint_size_bytes(msg->incarnation);
	size_bytes += varint_size_bytes(msg->applied_offset);
	size_bytes += varint_size_bytes(msg->hlc);
	for (guint i = 0; msg->loads && i < msg->loads->len; i++) {
		const struct peer_pool_load *load =
			&g_array_index(msg->loads, struct peer_pool_load, i);

		size_bytes += 4 + (uint32_t)strlen(load->pool);
		size_bytes += varint_size_bytes(load->free_slots_count);
		size_bytes += varint_size_bytes(load->queued_count);
		size_bytes += varint_size_bytes((uint64_t)load->wait_us);
		size_bytes +=
			varint_size_bytes((uint64_t)load->demand_us_per_s);
	}
	return size_bytes;
}

struct digest_plan digest_plan(uint32_t local_count, uint32_t remote_count)
{
	struct digest_plan plan = {
		.remote_round_us = USEC_PER_SEC,
		.remote_count = remote_count,
	};
	uint32_t base_bytes;
	uint32_t sent_count;

	if (remote_count > REMOTE_HEARTBEATS_PER_S)
		plan.remote_round_us =
			remote_count * USEC_PER_SEC / REMOTE_HEARTBEATS_PER_S;
	/*
	 * Local entries get two heartbeats per second, of which every other
	 * one carries loads.
	 */
	base_bytes =
		HEARTBEAT_SIZE_BYTES *
		(2 * local_count + MIN(remote_count, REMOTE_HEARTBEATS_PER_S));
	sent_count = local_count + MIN(remote_count, REMOTE_HEARTBEATS_PER_S);
	if (base_bytes < BUDGET_BYTES_PER_S && sent_count)
		plan.load_count = (BUDGET_BYTES_PER_S - base_bytes) /
				  (LOAD_SIZE_BYTES * sent_count);
	plan.load_count = MAX(plan.load_count, 1);
	return plan;
}
