/* Relays requests to entry instances of other data centres. */

#include <string.h>

#include "decide/router.h"

/* A peer's wait must be shorter by more than this, to be worth a round trip. */
#define RELAY_MIN_GAIN_US (5 * USEC_PER_MSEC)

/*
 * Heartbeats carry changed loads only, so a known load stays valid as long as
 * heartbeats of its peer arrive within this time.
 */
#define HEARTBEAT_TIMEOUT_US (6 * USEC_PER_SEC)

/*
 * After a peer did not run a request, its pool gets no relays for this time, or
 * until the peer reports the load of the pool again.
 */
#define REFUSED_AVOID_US (1 * USEC_PER_SEC)

/* Limits the waiting pools that are tried when a heartbeat has come. */
#define WAITING_TRIES_COUNT 16

/* Limit of relays per request; a second one follows only a not-run verdict. */
#define REQUEST_RELAYS_MAX_COUNT 2

/* A new measurement counts for a quarter of the smoothed overhead. */
#define RELAY_OVERHEAD_SHIFT 2

static void peer_free(gpointer data)
{
	struct router_peer *peer = data;

	g_hash_table_unref(peer->loads);
	g_free(peer);
}

void router_relay_init(struct router *router)
{
	router->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
}

void router_relay_free(struct router *router)
{
	g_hash_table_unref(router->peers);
}

static struct router_peer *peer_get(struct router *router, const char *name)
{
	struct router_peer *peer = g_hash_table_lookup(router->peers, name);

	if (peer)
		return peer;
	peer = g_new0(struct router_peer, 1);
	name_copy(peer->name, sizeof(peer->name), name);
	peer->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_hash_table_insert(router->peers, peer->name, peer);
	return peer;
}

static gboolean has_left(gpointer key, gpointer value, gpointer data)
{
	(void)value;
	return !fleet_entry(data, key);
}

/* Updates the peers from the roster; only remote ones get relays. */
void router_relay_rebuild(struct router *router)
{
	const struct settings *settings = kernel_settings(router->kernel);
	struct fleet *fleet = kernel_fleet(router->kernel);
	const GPtrArray *entries = fleet_entries(fleet);

	g_hash_table_foreach_remove(router->peers, has_left, fleet);
	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];
		struct router_peer *peer = peer_get(router, entry->decl.name);

		name_copy(peer->address, sizeof(peer->address),
			  entry->decl.caller_address);
		peer->remote = strcmp(entry->decl.dc, settings->dc) != 0;
	}
}

/* The last reported load of a pool at a peer, plus what we relayed since. */
struct known_load {
	struct peer_pool_load load;
	int64_t avoid_until_us; /* no relays before; see REFUSED_AVOID_US */
};

static void store_loads(struct router_peer *peer, const struct peer_msg *msg)
{
	for (guint i = 0; i < msg->loads->len; i++) {
		struct known_load *known = g_new0(struct known_load, 1);

		known->load =
			g_array_index(msg->loads, struct peer_pool_load, i);
		g_hash_table_replace(peer->loads, known->load.pool, known);
	}
}

/* Dispatches waiting pools, since a peer may have free slots now. */
static void dispatch_waiting(struct router *router)
{
	uint32_t count =
		MIN(router->waiting_pools->length, WAITING_TRIES_COUNT);

	for (uint32_t i = 0; i < count; i++) {
		struct router_pool *pool =
			g_queue_pop_head(router->waiting_pools);

		if (!pool)
			return;
		pool->in_waiting_pools = false;
		router_dispatch(router, pool);
	}
}

void router_relay_heartbeat(struct router *router,
			    const struct event_peer *event)
{
	const struct peer_msg *msg = event->msg;
	struct router_peer *peer;

	if (msg->kind != PEER_MSG_HEARTBEAT)
		return;
	peer = g_hash_table_lookup(router->peers, msg->from);
	if (!peer || !peer->remote)
		return;
	peer->state = PEER_ALIVE;
	peer->last_heartbeat_us = kernel_now_us(router->kernel);
	if (msg->loads)
		store_loads(peer, msg);
	dispatch_waiting(router);
}

void router_relay_peer_state(struct router *router,
			     const struct event_peer *event)
{
	struct router_peer *peer =
		g_hash_table_lookup(router->peers, event->peer);

	if (peer)
		peer->state = event->state;
}

/* Our own expected wait for a slot; INT64_MAX if we have none. */
static int64_t own_wait_us(const struct router *router,
			   const struct router_pool *pool)
{
	struct admission_load load = router_pool_load(router, pool);

	if (!load.slot_count)
		return INT64_MAX;
	return router->admission->wait_us(pool->queue, &load);
}

/*
 * Expected relay overhead and wait at a peer, or INT64_MAX if the peer is not
 * known to run the request sooner than we do.
 */
static int64_t relay_cost_us(const struct router *router,
			     const struct router_peer *peer, const char *pool,
			     int64_t own_us)
{
	const struct known_load *known = g_hash_table_lookup(peer->loads, pool);
	int64_t now_us = kernel_now_us(router->kernel);

	if (!known || !peer->remote || peer->state != PEER_ALIVE ||
	    peer->last_heartbeat_us + HEARTBEAT_TIMEOUT_US < now_us ||
	    known->avoid_until_us > now_us)
		return INT64_MAX;
	if (known->load.free_slots_count)
		return peer->relay_overhead_us;
	if (known->load.wait_us >= own_us - RELAY_MIN_GAIN_US ||
	    known->load.wait_us >= ROUTER_WAIT_MAX_US)
		return INT64_MAX;
	return peer->relay_overhead_us + known->load.wait_us;
}

/*
 * The peer with the lowest relay cost that can run the request sooner than we
 * do, or NULL. A peer that was never used has no measured overhead, so it is
 * tried first.
 */
struct router_peer *router_relay_find_peer(struct router *router,
					   const struct router_request *req)
{
	int64_t own_us = own_wait_us(router, req->pool);
	struct router_peer *best = NULL;
	int64_t best_us = INT64_MAX;
	GHashTableIter iter;
	gpointer value;

	if (req->relayed || req->relay_count >= REQUEST_RELAYS_MAX_COUNT)
		return NULL;
	g_hash_table_iter_init(&iter, router->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct router_peer *peer = value;
		int64_t cost_us =
			relay_cost_us(router, peer, req->pool->name, own_us);

		if (cost_us < best_us || (best && cost_us == best_us &&
					  strcmp(peer->name, best->name) < 0)) {
			best = peer;
			best_us = cost_us;
		}
	}
	return best;
}

/* Counts a relayed request in the peer's load until its next digest. */
void router_relay_sent(struct router_peer *peer,
		       const struct router_request *req)
{
	struct known_load *known =
		g_hash_table_lookup(peer->loads, req->pool->name);

	if (!known)
		return;
	if (known->load.free_slots_count)
		known->load.free_slots_count--;
	else
		known->load.wait_us += req->item.cost_us;
}

static void measure_relay_overhead(struct router_peer *peer,
				   int64_t relay_overhead_us)
{
	relay_overhead_us = MAX(relay_overhead_us, 1);
	if (!peer->relay_overhead_us)
		peer->relay_overhead_us = relay_overhead_us;
	else
		peer->relay_overhead_us +=
			(relay_overhead_us - peer->relay_overhead_us) /
			(1 << RELAY_OVERHEAD_SHIFT);
}

void router_relay_done(struct router *router, const struct router_request *req,
		       const struct event_attempt *attempt)
{
	struct router_peer *peer =
		g_hash_table_lookup(router->peers, attempt->endpoint);
	struct known_load *known;

	if (!peer)
		return;
	if (attempt->verdict == VERDICT_RAN)
		measure_relay_overhead(peer, attempt->latency_us -
						     req->service->service_us);
	known = g_hash_table_lookup(peer->loads, req->pool->name);
	if (known && attempt->verdict == VERDICT_NOT_RUN)
		known->avoid_until_us =
			kernel_now_us(router->kernel) + REFUSED_AVOID_US;
}
