/* The router's requests in progress. */

#include "decide/router.h"

void router_route_wait(struct router *router, struct route *route)
{
	if (route->waiting)
		return;
	route->waiting = true;
	router_deadline_add(router, route);
}

/* While an attempt runs, the endpoint client watches the deadline. */
void router_route_run(struct route *route)
{
	route->waiting = false;
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
	route->member->route_count++;
	route->member->own_count += !route->relayed;
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
	route->service->route_count--;
	route->pool->route_count--;
	route->member->route_count--;
	route->member->own_count -= !route->relayed;
	g_hash_table_remove(router->routes, &route->item.request_id);
	g_free(route);
}
