/* Requests in progress in the router. */

#include "decide/router.h"

void router_request_watch_deadline(struct router *router,
				   struct router_request *req)
{
	if (req->deadline_watched)
		return;
	req->deadline_watched = true;
	router_deadline_add(router, req);
}

/* While an attempt runs, the endpoint client watches the deadline. */
void router_request_unwatch_deadline(struct router_request *req)
{
	req->deadline_watched = false;
}

struct router_request *router_request_new(struct router *router,
					  const struct request *request,
					  struct router_service *service)
{
	struct router_request *req = g_new0(struct router_request, 1);
	int64_t deadline_us = request->deadline_us;

	if (!deadline_us)
		deadline_us = request->arrived_us + service->decl.deadline_us;
	req->item = (struct admission_item){
		.request_id = request->id,
		.member = service->member->name,
		.weight = service->member->weight,
		.urgency = service->decl.urgency,
		.cost_us = service->service_us ? service->service_us
					       : ADMISSION_DEFAULT_COST_US,
		.deadline_us = deadline_us,
	};
	req->service = service;
	req->pool = service->pool;
	req->member = service->member;
	req->relayed = request->relayed;
	name_copy(req->key, sizeof(req->key), request->key);
	service->request_count++;
	req->pool->request_count++;
	req->member->request_count++;
	req->member->caller_request_count += !req->relayed;
	g_hash_table_insert(router->requests, &req->item.request_id, req);
	return req;
}

struct router_request *router_request_find(const struct router *router,
					   uint64_t request_id)
{
	return g_hash_table_lookup(router->requests, &request_id);
}

void router_request_free(struct router *router, struct router_request *req)
{
	req->service->request_count--;
	req->pool->request_count--;
	req->member->request_count--;
	req->member->caller_request_count -= !req->relayed;
	g_hash_table_remove(router->requests, &req->item.request_id);
	g_free(req);
}
