/* The router's requests in progress, and their deadlines while they wait. */

#include "decide/router.h"

static gint compare_deadlines(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct route *left = a;
	const struct route *right = b;

	(void)data;
	if (left->item.deadline_us != right->item.deadline_us)
		return left->item.deadline_us < right->item.deadline_us ? -1
									: 1;
	return left->item.request_id < right->item.request_id ? -1 : 1;
}

/* Arms the deadline of a request that waits. */
void router_route_wait(struct router *router, struct route *route)
{
	if (!route->deadline_at)
		route->deadline_at = g_sequence_insert_sorted(
			router->deadlines, route, compare_deadlines, NULL);
	kernel_wake_at(router->kernel, route->item.deadline_us);
}

/* While an attempt runs, the endpoint client watches the deadline. */
void router_route_run(struct router *router, struct route *route)
{
	(void)router;
	if (route->deadline_at)
		g_sequence_remove(route->deadline_at);
	route->deadline_at = NULL;
}

struct route *router_route_new(struct router *router,
			       const struct request *request,
			       struct router_service *service)
{
	struct route *route = g_new0(struct route, 1);
	int64_t deadline_us = request->deadline_us;

	if (!deadline_us)
		deadline_us = request->arrived_us + service->decl.deadline_us;
	route->item = (struct admission_item){
		.request_id = request->id,
		.member = service->member->name,
		.weight = service->member->weight,
		.urgency = service->decl.urgency,
		.cost_us = service->service_us ? service->service_us
					       : ADMISSION_COST_US,
		.deadline_us = deadline_us,
	};
	route->service = service;
	route->pool = service->pool;
	route->member = service->member;
	route->relayed = request->relayed;
	name_copy(route->key, sizeof(route->key), request->key);
	service->route_count++;
	route->pool->route_count++;
	route->member->request_count++;
	g_hash_table_insert(router->routes, &route->item.request_id, route);
	return route;
}

struct route *router_route_find(const struct router *router,
				uint64_t request_id)
{
	return g_hash_table_lookup(router->routes, &request_id);
}

void router_route_free(struct router *router, struct route *route)
{
	router_route_run(router, route);
	route->service->route_count--;
	route->pool->route_count--;
	route->member->request_count--;
	g_hash_table_remove(router->routes, &route->item.request_id);
	g_free(route);
}
