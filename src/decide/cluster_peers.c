#include "decide/cluster_peers.h"

#include <string.h>

#define SUSPECT_TIMEOUT_US (2 * USEC_PER_SEC)
#define DEAD_TIMEOUT_US (6 * USEC_PER_SEC)

struct peers {
	struct kernel *kernel;
	GHashTable *by_name; /* name -> struct peer */
	GPtrArray *local;    /* of struct peer, by name */
	GPtrArray *remote;   /* of struct peer, by name */
};

struct peers *peers_new(struct kernel *kernel)
{
	struct peers *peers = g_new0(struct peers, 1);

	peers->kernel = kernel;
	peers->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	peers->local = g_ptr_array_new();
	peers->remote = g_ptr_array_new();
	return peers;
}

void peers_free(struct peers *peers)
{
	g_hash_table_unref(peers->by_name);
	g_ptr_array_unref(peers->local);
	g_ptr_array_unref(peers->remote);
	g_free(peers);
}

static const struct settings *own_settings(const struct peers *peers)
{
	return kernel_settings(peers->kernel);
}

static gboolean is_off_roster(gpointer key, gpointer value, gpointer data)
{
	const struct peer *peer = value;
	const struct fleet_entry *entry = fleet_entry(data, key);

	return !entry || entry->decl.incarnation != peer->incarnation;
}

static struct peer *add_peer(struct peers *peers,
			     const struct fleet_entry *entry)
{
	struct peer *peer = g_new0(struct peer, 1);

	name_copy(peer->name, sizeof(peer->name), entry->decl.name);
	name_copy(peer->dc, sizeof(peer->dc), entry->decl.dc);
	peer->incarnation = entry->decl.incarnation;
	peer->state = PEER_SUSPECT;
	peer->added_us = kernel_now_us(peers->kernel);
	g_hash_table_insert(peers->by_name, peer->name, peer);
	return peer;
}

void peers_sync_roster(struct peers *peers)
{
	struct fleet *fleet = kernel_fleet(peers->kernel);
	const GPtrArray *entries = fleet_entries(fleet);

	g_hash_table_foreach_remove(peers->by_name, is_off_roster, fleet);
	g_ptr_array_set_size(peers->local, 0);
	g_ptr_array_set_size(peers->remote, 0);
	for (guint i = 0; i < entries->len; i++) {
		const struct fleet_entry *entry = entries->pdata[i];
		struct peer *peer;

		if (!strcmp(entry->decl.name, own_settings(peers)->entry))
			continue;
		peer = g_hash_table_lookup(peers->by_name, entry->decl.name);
		if (!peer)
			peer = add_peer(peers, entry);
		g_ptr_array_add(strcmp(peer->dc, own_settings(peers)->dc) != 0
					? peers->remote
					: peers->local,
				peer);
	}
}

const GPtrArray *peers_local(const struct peers *peers)
{
	return peers->local;
}

const GPtrArray *peers_remote(const struct peers *peers)
{
	return peers->remote;
}

static void set_state(struct peers *peers, struct peer *peer,
		      enum peer_state state)
{
	static const char *const names[] = {
		[PEER_ALIVE] = "alive",
		[PEER_SUSPECT] = "suspect",
		[PEER_DEAD] = "dead",
	};
	struct event event = { .type = EVENT_PEER_STATE };
	struct timeline_entry entry = { .kind = TIMELINE_PEER };

	if (peer->state == state)
		return;
	peer->state = state;
	g_snprintf(entry.text, sizeof(entry.text), "entry %s is %s", peer->name,
		   names[state]);
	timeline_add(kernel_timeline(peers->kernel), &entry);
	name_copy(event.peer.peer, sizeof(event.peer.peer), peer->name);
	event.peer.state = state;
	kernel_emit(peers->kernel, &event);
}

void peers_handle_msg(struct peers *peers, const struct peer_msg *msg)
{
	struct peer *peer = g_hash_table_lookup(peers->by_name, msg->from);

	timeline_merge_hlc(kernel_timeline(peers->kernel), msg->hlc);
	if (!peer || peer->incarnation != msg->incarnation)
		return;
	if (msg->kind == PEER_MSG_BYE) {
		peer->stopped = true;
		set_state(peers, peer, PEER_DEAD);
		return;
	}
	peer->last_heard_us = kernel_now_us(peers->kernel);
	peer->stopped = false;
	peer->delisted = false;
	peer->gone_since_us = 0;
	set_state(peers, peer, PEER_ALIVE);
}

void peers_handle_list(struct peers *peers, const GArray *items)
{
	GHashTableIter iter;
	GHashTable *items_by_name;
	gpointer value;

	if (!items || !items->len)
		return;
	items_by_name = list_items_index(items);
	g_hash_table_iter_init(&iter, peers->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;
		bool present = g_hash_table_contains(items_by_name, peer->name);

		/*
		 * Only a list that is received while the peer is dead counts:
		 * after an earlier one it may have come back.
		 */
		peer->delisted = peer->was_listed && !present &&
				 peer->state == PEER_DEAD;
		peer->was_listed = peer->was_listed || present;
	}
	g_hash_table_unref(items_by_name);
}

/*
 * Latest time at which an entry of a remote data centre was heard whose name is
 * last_name or sorts before it.
 */
static int64_t dc_last_heard_us(const struct peers *peers, const char *dc,
				const char *last_name)
{
	int64_t last_heard_us = 0;

	for (guint i = 0; i < peers->remote->len; i++) {
		const struct peer *peer = peers->remote->pdata[i];

		if (!strcmp(peer->dc, dc) && strcmp(peer->name, last_name) <= 0)
			last_heard_us = MAX(last_heard_us, peer->last_heard_us);
	}
	return last_heard_us;
}

/*
 * Only the lowest live name of a data centre sends to other data centres, so
 * its heartbeats count for all higher names too. They say nothing about lower
 * names, which would send themselves if they were alive.
 */
static int64_t silence_us(const struct peers *peers, const struct peer *peer,
			  bool is_local)
{
	int64_t last_heard_us =
		is_local ? peer->last_heard_us
			 : dc_last_heard_us(peers, peer->dc, peer->name);

	return kernel_now_us(peers->kernel) -
	       MAX(last_heard_us, peer->added_us);
}

static void update_state(struct peers *peers, struct peer *peer, bool is_local,
			 int64_t round_us)
{
	int64_t silent_for_us = silence_us(peers, peer, is_local);
	int64_t suspect_us =
		MAX(SUSPECT_TIMEOUT_US, is_local ? 0 : 2 * round_us);
	int64_t dead_us = MAX(DEAD_TIMEOUT_US, is_local ? 0 : 3 * round_us);

	if (peer->stopped || silent_for_us >= dead_us)
		set_state(peers, peer, PEER_DEAD);
	else if (silent_for_us >= suspect_us)
		set_state(peers, peer, PEER_SUSPECT);
	else if (!is_local || peer->last_heard_us)
		set_state(peers, peer, PEER_ALIVE);
	if (!peer->delisted || silent_for_us < dead_us)
		peer->gone_since_us = 0;
	else if (!peer->gone_since_us)
		peer->gone_since_us = kernel_now_us(peers->kernel);
}

void peers_update_states(struct peers *peers, int64_t remote_round_us)
{
	for (guint i = 0; i < peers->local->len; i++)
		update_state(peers, peers->local->pdata[i], true,
			     remote_round_us);
	for (guint i = 0; i < peers->remote->len; i++)
		update_state(peers, peers->remote->pdata[i], false,
			     remote_round_us);
}

void peers_restart_timeouts(struct peers *peers)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		peer->added_us = kernel_now_us(peers->kernel);
		peer->gone_since_us = 0;
	}
}

static bool is_alive(const struct peer *peer)
{
	return peer->state == PEER_ALIVE;
}

bool peers_is_lowest_name(const struct peers *peers)
{
	for (guint i = 0; i < peers->local->len; i++) {
		const struct peer *peer = peers->local->pdata[i];

		if (is_alive(peer) &&
		    strcmp(peer->name, own_settings(peers)->entry) < 0)
			return false;
	}
	return true;
}

/* Number of live entries that report a peer before we do. */
static uint32_t report_rank(const struct peers *peers, const struct peer *gone)
{
	bool own_in_dc = !strcmp(gone->dc, own_settings(peers)->dc);
	uint32_t rank = 0;

	for (uint32_t list = 0; list < 2; list++) {
		const GPtrArray *all = list ? peers->remote : peers->local;

		for (guint i = 0; i < all->len; i++) {
			const struct peer *peer = all->pdata[i];
			bool peer_in_dc = !strcmp(peer->dc, gone->dc);

			if (!is_alive(peer) || peer == gone ||
			    peer_in_dc < own_in_dc)
				continue;
			rank += peer_in_dc > own_in_dc ||
				strcmp(peer->name, own_settings(peers)->entry) <
					0;
		}
	}
	return rank;
}

const struct peer *peers_find_gone(const struct peers *peers,
				   int64_t report_delay_us)
{
	int64_t now_us = kernel_now_us(peers->kernel);

	for (uint32_t list = 0; list < 2; list++) {
		const GPtrArray *all = list ? peers->remote : peers->local;

		for (guint i = 0; i < all->len; i++) {
			const struct peer *peer = all->pdata[i];

			if (peer->gone_since_us &&
			    now_us >= peer->gone_since_us +
					      report_delay_us *
						      report_rank(peers, peer))
				return peer;
		}
	}
	return NULL;
}
