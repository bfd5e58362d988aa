/* Admits callers' requests, and decides when and where each of them runs. */

#include "decide/router.h"

#include "kernel/klog.h"

#define LOG_PREFIX "router"

/* Demand is published as the mean over windows of this length. */
#define DEMAND_WINDOW_US (5 * USEC_PER_SEC)

static void *router_init(struct kernel *kernel)
{
	struct router *router = g_new0(struct router, 1);

	router->kernel = kernel;
	router->admission = kernel_ops(kernel, PLUGIN_ADMISSION);
	router->choice = kernel_ops(kernel, PLUGIN_ENDPOINT_CHOICE);
	router->retry = kernel_ops(kernel, PLUGIN_RETRY);
	if (!router->admission || !router->choice || !router->retry) {
		klog_error(LOG_PREFIX, "an admission, a choice and a retry "
				       "policy are required");
		g_free(router);
		return NULL;
	}
	router->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	router->deadlines = router_deadlines_new();
	router->retry_state = router->retry->create();
	router->lenders = g_queue_new();
	router->waiting_pools = g_queue_new();
	router_index_init(router);
	router_relay_init(router);
	return router;
}

static void router_fini(void *self)
{
	struct router *router = self;
	GHashTableIter iter;
	gpointer value;

	g_array_unref(router->deadlines);
	router_index_free(router);
	router_relay_free(router);
	router->retry->free(router->retry_state);
	g_queue_free(router->lenders);
	g_queue_free(router->waiting_pools);
	g_hash_table_iter_init(&iter, router->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_free(value);
	g_hash_table_unref(router->requests);
	g_free(router);
}

/* Why a request is refused before admission; REFUSAL_COUNT if it is not. */
static enum refusal early_refusal(const struct router *router,
				  const struct request *request,
				  const struct router_service *service)
{
	if (router->draining)
		return REFUSAL_DRAINING;
	if (!g_hash_table_size(router->prefixes))
		return REFUSAL_NO_CONFIG;
	if (!service)
		return REFUSAL_NO_SERVICE;
	if (service->member->left)
		return REFUSAL_MEMBER_LEFT;
	/* The relaying entry counts it against the quota and claims its key. */
	if (request->relayed)
		return REFUSAL_COUNT;
	if (service->member->quota_count &&
	    service->member->caller_request_count >=
		    service->member->quota_count)
		return REFUSAL_QUOTA;
	if (!service->decl.idempotent && service->decl.key_required &&
	    !request->key[0])
		return REFUSAL_NO_KEY;
	return REFUSAL_COUNT;
}

static void trace_request(struct router *router, const struct request *request)
{
	struct timeline_entry entry = {
		.kind = TIMELINE_REQUEST,
		.request_id = request->id,
	};

	g_snprintf(entry.text, sizeof(entry.text), "%s %s%s", request->method,
		   request->path, request->relayed ? " relayed" : "");
	timeline_add(kernel_timeline(router->kernel), &entry);
}

/* Offers a request to the admission policy; false if it is refused. */
static bool admit(struct router *router, struct router_request *req)
{
	struct admission_load load = router_pool_load(router, req->pool);
	struct admission_item *dropped = NULL;
	enum admission_result result;

	if (req->item.deadline_us <= load.now_us) {
		router_refuse(router, req, REFUSAL_DEADLINE);
		return false;
	}
	/* The relaying entry instance can send it elsewhere. */
	if (req->relayed && !load.slot_count) {
		router_refuse(router, req, REFUSAL_NO_ENDPOINT);
		return false;
	}
	result = router->admission->enqueue(req->pool->queue, &req->item, &load,
					    &dropped);
	if (dropped)
		router_refuse(router, (struct router_request *)dropped,
			      REFUSAL_DROPPED);
	if (result == ADMISSION_QUEUED)
		return true;
	router_refuse(router, req,
		      result == ADMISSION_FULL ? REFUSAL_QUEUE_FULL
					       : REFUSAL_TOO_LATE);
	return false;
}

static void request_claim(struct router *router, struct router_request *req)
{
	struct event event = {
		.type = EVENT_CLAIM_WANTED,
		.claim = { .request_id = req->item.request_id },
	};

	router->admission->hold(req->pool->queue, &req->item);
	req->phase = ROUTER_PHASE_CLAIMING;
	name_copy(event.claim.key, KEY_SIZE_BYTES, req->key);
	name_copy(event.claim.service, NAME_SIZE_BYTES,
		  req->service->decl.name);
	kernel_emit(router->kernel, &event);
}

static void on_request_new(struct router *router, uint64_t request_id)
{
	const struct request *request =
		request_get(kernel_requests(router->kernel), request_id);
	struct router_service *service;
	enum refusal refusal;
	struct router_request *req;

	if (!request || router_request_find(router, request_id))
		return;
	trace_request(router, request);
	service = router_index_find_service(router, request->path);
	refusal = early_refusal(router, request, service);
	if (refusal != REFUSAL_COUNT) {
		router_refuse_new(router, request_id, refusal);
		return;
	}
	req = router_request_new(router, request, service);
	req->pool->demand_us += req->item.cost_us;
	if (!admit(router, req))
		return;
	req->phase = ROUTER_PHASE_QUEUED;
	req->queued_us = kernel_now_us(router->kernel);
	router_request_watch_deadline(router, req);
	if (!service->decl.idempotent && req->key[0] && !req->relayed)
		request_claim(router, req);
	else
		router_dispatch(router, req->pool);
}

static void on_claim_decided(struct router *router,
			     const struct event_claim *claim)
{
	struct router_request *req =
		router_request_find(router, claim->request_id);

	if (!req || req->phase != ROUTER_PHASE_CLAIMING)
		return;
	if (!claim->may_run) {
		router_refuse_claim(router, req, claim);
		return;
	}
	req->phase = ROUTER_PHASE_QUEUED;
	router->admission->requeue(req->pool->queue, &req->item);
	router_dispatch(router, req->pool);
}

static void on_request_gone(struct router *router, uint64_t request_id)
{
	struct router_request *req = router_request_find(router, request_id);

	if (!req)
		return;
	if (req->phase == ROUTER_PHASE_RUNNING)
		router_cancel(router, req, REFUSAL_GONE);
	else
		router_refuse(router, req, REFUSAL_GONE);
}

/* Uses slots that have become free by a change of an endpoint's state. */
static void on_endpoint_changed(struct router *router, const char *name)
{
	struct choice_endpoint *endpoint =
		g_hash_table_lookup(router->endpoints, name);
	const struct fleet_instance *instance =
		fleet_instance(kernel_fleet(router->kernel), name);
	struct router_pool *pool =
		instance ? g_hash_table_lookup(router->pools, instance->pool)
			 : NULL;

	if (endpoint)
		choice_refresh(endpoint);
	if (pool)
		router_slots_changed(router, pool);
}

static void refresh_all(struct router *router)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		choice_refresh(value);
	g_hash_table_iter_init(&iter, router->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		router_slots_changed(router, value);
}

/* Records of claims and jobs are frequent and change nothing here. */
static bool affects_routing(const struct event *event)
{
	const struct record *record = event->record.record;

	return event->record.accepted && record->kind >= RECORD_CONFIG_PUT &&
	       record->kind <= RECORD_INSTANCE_UP &&
	       record->kind != RECORD_DRAIN_ACK &&
	       record->kind != RECORD_LEASE_CLAIM &&
	       record->kind != RECORD_LEASE_RENEW;
}

static void on_fleet_changed(struct router *router, const struct event *event)
{
	if (event->type == EVENT_FLEET_CHANGED && !affects_routing(event))
		return;
	router_index_rebuild(router);
	router_relay_rebuild(router);
	refresh_all(router);
}

static void refuse_expired(struct router *router)
{
	struct router_request *req;

	while ((req = router_deadline_pop_passed(router)))
		router_refuse(router, req, REFUSAL_DEADLINE);
}

/* Publishes each pool's mean demand once the window has ended. */
static void publish_demand(struct router *router)
{
	int64_t now_us = kernel_now_us(router->kernel);
	GHashTableIter iter;
	gpointer value;

	if (now_us >= router->demand_window_end_us) {
		g_hash_table_iter_init(&iter, router->pools);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct router_pool *pool = value;

			pool->state->demand_us_per_s = pool->demand_us *
						       USEC_PER_SEC /
						       DEMAND_WINDOW_US;
			pool->demand_us = 0;
		}
		router->demand_window_end_us = now_us + DEMAND_WINDOW_US;
	}
	kernel_wake_at(router->kernel, router->demand_window_end_us);
}

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	const struct router_request *left = a;
	const struct router_request *right = b;

	return left->item.request_id < right->item.request_id ? -1 : 1;
}

static void end_all_requests(struct router *router)
{
	GList *requests = g_list_sort(g_hash_table_get_values(router->requests),
				      compare_ids);

	for (GList *at = requests; at; at = at->next) {
		struct router_request *req = at->data;

		if (req->phase == ROUTER_PHASE_RUNNING)
			router_cancel(router, req, REFUSAL_DRAINING);
		else
			router_refuse(router, req, REFUSAL_DRAINING);
	}
	g_list_free(requests);
}

static void check_drain_deadline(struct router *router)
{
	if (!router->draining || router->drained)
		return;
	if (kernel_now_us(router->kernel) >= router->drain_deadline_us)
		end_all_requests(router);
	else
		kernel_wake_at(router->kernel, router->drain_deadline_us);
}

static void on_drain(struct router *router, int64_t deadline_us)
{
	if (!router->draining || deadline_us < router->drain_deadline_us)
		router->drain_deadline_us = deadline_us;
	router->draining = true;
	router_check_drained(router);
	check_drain_deadline(router);
}

static void on_wake(struct router *router)
{
	router_deadline_arm(router);
	publish_demand(router);
	check_drain_deadline(router);
}

static void router_handle(void *self, const struct event *event)
{
	struct router *router = self;

	/* After a pause, other events are delivered before EVENT_WAKE. */
	refuse_expired(router);
	switch (event->type) {
	case EVENT_STARTED:
	case EVENT_WAKE:
		on_wake(router);
		break;
	case EVENT_DRAIN:
		on_drain(router, event->drain.deadline_us);
		break;
	case EVENT_REQUEST_NEW:
		on_request_new(router, event->request.request_id);
		break;
	case EVENT_REQUEST_GONE:
		on_request_gone(router, event->request.request_id);
		break;
	case EVENT_CLAIM_DECIDED:
		on_claim_decided(router, &event->claim);
		break;
	case EVENT_ATTEMPT_DONE:
		router_attempt_done(router, event);
		break;
	case EVENT_SLOTS_CHANGED:
	case EVENT_ENDPOINT_HEALTH:
		if (event->subject.name[0])
			on_endpoint_changed(router, event->subject.name);
		else
			refresh_all(router);
		break;
	case EVENT_INSTANCE_LIST:
		refresh_all(router);
		break;
	case EVENT_PEER_RECEIVED:
		router_relay_heartbeat(router, &event->peer);
		break;
	case EVENT_PEER_STATE:
		router_relay_peer_state(router, &event->peer);
		break;
	case EVENT_FLEET_CHANGED:
	case EVENT_FLEET_RESET:
		on_fleet_changed(router, event);
		break;
	default:
		break;
	}
}

static const struct plugin router_plugin = {
	.name = "router",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_STARTED) | EVENT_BIT(EVENT_WAKE) |
		EVENT_BIT(EVENT_DRAIN) | EVENT_BIT(EVENT_REQUEST_NEW) |
		EVENT_BIT(EVENT_REQUEST_GONE) | EVENT_BIT(EVENT_CLAIM_DECIDED) |
		EVENT_BIT(EVENT_ATTEMPT_DONE) | EVENT_BIT(EVENT_SLOTS_CHANGED) |
		EVENT_BIT(EVENT_ENDPOINT_HEALTH) |
		EVENT_BIT(EVENT_INSTANCE_LIST) |
		EVENT_BIT(EVENT_FLEET_CHANGED) | EVENT_BIT(EVENT_FLEET_RESET) |
		EVENT_BIT(EVENT_PEER_RECEIVED) | EVENT_BIT(EVENT_PEER_STATE),
	.init = router_init,
	.handle = router_handle,
	.fini = router_fini,
};

PLUGIN_REGISTER(router_plugin)
