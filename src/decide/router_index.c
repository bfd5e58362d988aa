/*
 * Look-up tables of the configuration for routing decisions. They hold copies,
 * since the next record may free what the replicated state points to.
 */

#include <string.h>

#include "decide/router.h"

static void pool_free(struct router *router, struct router_pool *pool)
{
	router_lend_remove_pool(router, pool);
	choice_pool_free(pool->choice);
	router->admission->free(pool->queue);
	g_free(pool);
}

void router_index_init(struct router *router)
{
	router->members =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	router->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	router->pools = g_hash_table_new(g_str_hash, g_str_equal);
	router->prefixes = g_hash_table_new(g_str_hash, g_str_equal);
	router->endpoints = g_hash_table_new(g_str_hash, g_str_equal);
}

void router_index_free(struct router *router)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pool_free(router, value);
	g_hash_table_unref(router->prefixes);
	g_hash_table_unref(router->endpoints);
	g_hash_table_unref(router->services);
	g_hash_table_unref(router->pools);
	g_hash_table_unref(router->members);
}

static struct router_member *member_get(struct router *router, const char *name)
{
	struct router_member *member =
		g_hash_table_lookup(router->members, name);

	if (member)
		return member;
	member = g_new0(struct router_member, 1);
	name_copy(member->name, sizeof(member->name), name);
	member->weight = 1;
	g_hash_table_insert(router->members, member->name, member);
	return member;
}

static struct router_pool *pool_get(struct router *router, const char *name)
{
	struct router_pool *pool = g_hash_table_lookup(router->pools, name);

	if (pool)
		return pool;
	pool = g_new0(struct router_pool, 1);
	name_copy(pool->name, sizeof(pool->name), name);
	pool->choice = choice_pool_new();
	pool->queue = router->admission->create();
	pool->state =
		endpoint_table_pool(kernel_endpoints(router->kernel), name);
	g_hash_table_insert(router->pools, pool->name, pool);
	return pool;
}

static struct router_service *service_get(struct router *router,
					  const char *name)
{
	struct router_service *service =
		g_hash_table_lookup(router->services, name);

	if (service)
		return service;
	service = g_new0(struct router_service, 1);
	name_copy(service->decl.name, sizeof(service->decl.name), name);
	g_hash_table_insert(router->services, service->decl.name, service);
	return service;
}

static void clear_declared(struct router *router)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(router->prefixes);
	g_hash_table_remove_all(router->endpoints);
	g_hash_table_iter_init(&iter, router->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct router_member *)value)->declared = false;
	g_hash_table_iter_init(&iter, router->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct router_service *)value)->declared = false;
	g_hash_table_iter_init(&iter, router->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct router_pool *pool = value;

		pool->declared = false;
		pool->lend = false;
		choice_pool_clear(pool->choice);
	}
}

/*
 * Each entry instance counts the requests of its own callers only, so each
 * gets an equal share of a quota, rounded up.
 */
static uint32_t quota_share(const struct decl_member *member,
			    uint32_t entry_count)
{
	return (member->quota_count + entry_count - 1) / entry_count;
}

static void add_members(struct router *router, const struct fleet *fleet)
{
	const GPtrArray *members = fleet_members(fleet);
	uint32_t entry_count = MAX(fleet_entries(fleet)->len, 1);

	for (guint i = 0; i < members->len; i++) {
		const struct decl_member *from = members->pdata[i];
		struct router_member *member = member_get(router, from->name);

		member->declared = true;
		member->weight = from->weight;
		member->quota_count = quota_share(from, entry_count);
		member->left = from->left;
	}
}

static void add_pools(struct router *router, const struct fleet *fleet)
{
	const GPtrArray *pools = fleet_pools(fleet);

	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *from = pools->pdata[i];
		struct router_pool *pool = pool_get(router, from->decl.name);

		pool->declared = true;
		pool->lend = from->decl.lend;
		pool->reserve_slots_count = from->decl.reserve_slots_count;
	}
}

static void add_endpoints(struct router *router, const struct fleet *fleet)
{
	const GPtrArray *instances = fleet_instances(fleet);
	const char *dc = kernel_settings(router->kernel)->dc;

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *from = instances->pdata[i];
		struct endpoint_state *state;

		if (from->phase != INSTANCE_ACTIVE || from->down ||
		    strcmp(from->decl.dc, dc) != 0)
			continue;
		state = endpoint_table_get(kernel_endpoints(router->kernel),
					   from->decl.name);
		g_hash_table_insert(
			router->endpoints, state->name,
			choice_pool_add(pool_get(router, from->pool)->choice,
					state, from->decl.address));
	}
}

static void add_services(struct router *router, const struct fleet *fleet)
{
	const GPtrArray *services = fleet_services(fleet);

	for (guint i = 0; i < services->len; i++) {
		const struct decl_service *from = services->pdata[i];
		struct router_service *service =
			service_get(router, from->name);

		service->decl = *from;
		service->declared = true;
		service->member = member_get(router, from->member);
		service->pool = pool_get(router, from->pool);
		g_hash_table_insert(router->prefixes, service->decl.path,
				    service);
	}
}

static gboolean is_unused_service(gpointer key, gpointer value, gpointer data)
{
	const struct router_service *service = value;

	(void)key;
	(void)data;
	return !service->declared && !service->request_count;
}

static gboolean is_unused_member(gpointer key, gpointer value, gpointer data)
{
	const struct router_member *member = value;

	(void)key;
	(void)data;
	return !member->declared && !member->request_count;
}

/* Keeps what a request in progress still refers to. */
static void remove_unused(struct router *router)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_foreach_remove(router->services, is_unused_service, NULL);
	g_hash_table_foreach_remove(router->members, is_unused_member, NULL);
	g_hash_table_iter_init(&iter, router->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct router_pool *pool = value;

		if (pool->declared || pool->request_count ||
		    pool->choice->endpoints->len)
			continue;
		g_hash_table_iter_remove(&iter);
		pool_free(router, pool);
	}
}

void router_index_rebuild(struct router *router)
{
	const struct fleet *fleet = kernel_fleet(router->kernel);

	clear_declared(router);
	add_members(router, fleet);
	add_pools(router, fleet);
	add_services(router, fleet);
	add_endpoints(router, fleet);
	remove_unused(router);
}

/* Looks up the first length_bytes of a path. */
static struct router_service *lookup_prefix(const struct router *router,
					    const char *path,
					    size_t length_bytes)
{
	char prefix[NAME_SIZE_BYTES];

	if (length_bytes >= sizeof(prefix))
		return NULL;
	memcpy(prefix, path, length_bytes);
	prefix[length_bytes] = '\0';
	return g_hash_table_lookup(router->prefixes, prefix);
}

/*
 * Same result as fleet_find_service_by_path(), at a cost that depends on the
 * path only.
 */
struct router_service *router_index_find_service(const struct router *router,
						 const char *path)
{
	size_t length_bytes = MIN(strlen(path), NAME_SIZE_BYTES);

	for (size_t at = length_bytes + 1; at > 0; at--) {
		size_t end = at - 1;
		struct router_service *service = NULL;

		if (strchr("/?", path[end]) || (end && path[end - 1] == '/'))
			service = lookup_prefix(router, path, end);
		if (service)
			return service;
	}
	return NULL;
}

struct admission_load router_pool_load(const struct router *router,
				       const struct router_pool *pool)
{
	return (struct admission_load){
		.now_us = kernel_now_us(router->kernel),
		.slot_count = pool->choice->allowed_count,
		.free_count = pool->choice->free_count,
	};
}

void router_pool_publish(const struct router *router, struct router_pool *pool)
{
	struct admission_load load = router_pool_load(router, pool);

	pool->state->queued_count = router->admission->count(pool->queue);
	pool->state->wait_us =
		load.slot_count ? router->admission->wait_us(pool->queue, &load)
				: ROUTER_WAIT_MAX_US;
}
