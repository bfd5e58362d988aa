/* Dispatches queued requests to endpoints, and handles attempts that end. */

#include <string.h>

#include "decide/router.h"

/* A new measurement counts for an eighth of the smoothed service time. */
#define SERVICE_TIME_SHIFT 3

static void trace_attempt(struct router *router,
			  const struct router_request *req, const char *what)
{
	struct timeline_entry entry = {
		.kind = TIMELINE_ATTEMPT,
		.request_id = req->item.request_id,
	};

	name_copy(entry.instance, sizeof(entry.instance), req->endpoint);
	name_copy(entry.pool, sizeof(entry.pool), req->pool->name);
	g_snprintf(entry.text, sizeof(entry.text), "attempt %u %s",
		   req->attempt, what);
	timeline_add(kernel_timeline(router->kernel), &entry);
}

static void refresh_endpoint(struct router *router, const char *endpoint)
{
	struct choice_endpoint *found =
		g_hash_table_lookup(router->endpoints, endpoint);

	if (found)
		choice_refresh(found);
}

static struct event attempt_event(const struct router_request *req,
				  enum event_type type)
{
	struct event event = {
		.type = type,
		.attempt = { .request_id = req->item.request_id,
			     .attempt = req->attempt,
			     .relayed = req->attempt_relayed },
	};

	name_copy(event.attempt.endpoint, NAME_SIZE_BYTES, req->endpoint);
	return event;
}

/* Starts the next attempt of a request that was taken out of its queue. */
static void start_attempt(struct router *router, struct router_request *req,
			  const char *endpoint, const char *address,
			  bool relayed)
{
	int64_t now_us = kernel_now_us(router->kernel);
	struct event event;

	req->attempt++;
	req->attempt_relayed = relayed;
	name_copy(req->endpoint, sizeof(req->endpoint), endpoint);
	req->phase = ROUTER_PHASE_RUNNING;
	router_request_unwatch_deadline(req);
	event = attempt_event(req, EVENT_ATTEMPT_SEND);
	name_copy(event.attempt.address, ADDRESS_SIZE_BYTES, address);
	event.attempt.deadline_us = req->item.deadline_us;
	/* A relayed request may queue for a slot at the peer. */
	if (!relayed)
		event.attempt.deadline_us =
			MIN(event.attempt.deadline_us,
			    now_us + req->service->decl.timeout_us);
	counter_add(kernel_counters(router->kernel), "attempts_total", 1);
	trace_attempt(router, req, "sent");
	kernel_emit(router->kernel, &event);
}

/* Where the next attempt of a request can go: an endpoint or a peer. */
struct target {
	struct router *router;
	const struct router_request *req; /* that it was found for */
	const char *avoid[ROUTER_RETRY_MAX_COUNT + 1]; /* up to a NULL */
	struct choice_endpoint *endpoint;
	struct router_peer *peer;
};

static void dispatch_to(struct router *router, struct router_request *req,
			const struct target *target)
{
	struct choice_endpoint *endpoint = target->endpoint;
	struct event event;

	if (!req->attempt)
		router->retry->request_started(router->retry_state,
					       req->member->name,
					       req->pool->name);
	if (!endpoint) {
		req->relay_count++;
		router_relay_sent(target->peer, req);
		start_attempt(router, req, target->peer->name,
			      target->peer->address, true);
		return;
	}
	endpoint->state->in_flight_count++;
	choice_refresh(endpoint);
	start_attempt(router, req, endpoint->state->name, endpoint->address,
		      false);
	event = attempt_event(req, EVENT_DISPATCHED);
	kernel_emit(router->kernel, &event);
}

/*
 * The replicated state may be ahead of the index, which is rebuilt when the
 * event of an applied record arrives.
 */
static bool is_still_active(struct router *router,
			    const struct choice_endpoint *endpoint)
{
	const struct fleet_instance *instance = fleet_instance(
		kernel_fleet(router->kernel), endpoint->state->name);

	return instance && instance->phase == INSTANCE_ACTIVE &&
	       !instance->down;
}

static struct choice_endpoint *pick_endpoint(struct router *router,
					     struct router_pool *pool,
					     const char *const *avoid)
{
	GRand *random = kernel_random(router->kernel);
	struct choice_endpoint *endpoint =
		router->choice->pick(pool->choice, avoid, random);

	while (endpoint && !is_still_active(router, endpoint)) {
		choice_exclude(endpoint);
		endpoint = router->choice->pick(pool->choice, avoid, random);
	}
	return endpoint;
}

/* Tries the request's own pool, then a lending pool, then a peer. */
static bool find_target(const struct router_request *req, struct target *target)
{
	struct router *router = target->router;
	struct router_pool *lender;

	target->endpoint = pick_endpoint(router, req->pool, target->avoid);
	target->peer = NULL;
	if (target->endpoint)
		return true;
	lender = router_lend_find_lender(router, req);
	if (lender)
		target->endpoint = pick_endpoint(router, lender, target->avoid);
	if (!target->endpoint)
		target->peer = router_relay_find_peer(router, req);
	return target->endpoint || target->peer;
}

/* An admission filter; the policy may call it for several requests. */
static bool has_target(const struct admission_item *item, void *data)
{
	struct target *target = data;

	target->req = NULL;
	if (!find_target((const struct router_request *)item, target))
		return false;
	target->req = (const struct router_request *)item;
	return true;
}

/* The next queued request of a pool that has a target, or NULL. */
static struct router_request *next_request(struct router_pool *pool,
					   struct target *target)
{
	struct admission_item *item = target->router->admission->peek(
		pool->queue, has_target, target);
	struct router_request *req = (struct router_request *)item;

	if (req && target->req != req && !find_target(req, target))
		return NULL;
	return req;
}

/*
 * Whether too little time is left for a request that has waited: an attempt
 * that its deadline cuts off wastes the slot and leaves the verdict unknown.
 */
static bool lacks_time(const struct router *router,
		       const struct router_request *req)
{
	int64_t now_us = kernel_now_us(router->kernel);

	return now_us > req->queued_us &&
	       now_us + req->service->service_us > req->item.deadline_us;
}

void router_dispatch(struct router *router, struct router_pool *pool)
{
	struct target target = { .router = router };
	struct router_request *req;

	while ((req = next_request(pool, &target))) {
		if (lacks_time(router, req)) {
			router_refuse(router, req, REFUSAL_NO_TIME);
			continue;
		}
		router->admission->take(pool->queue, &req->item);
		dispatch_to(router, req, &target);
	}
	router_pool_publish(router, pool);
	router_lend_add_waiting(router, pool);
}

void router_slots_changed(struct router *router, struct router_pool *pool)
{
	router_dispatch(router, pool);
	router_lend_add_lender(router, pool);
	router_lend_to_waiting(router, pool);
}

static void release_slot(struct router *router, struct router_request *req)
{
	struct endpoint_state *state = endpoint_table_find(
		kernel_endpoints(router->kernel), req->endpoint);
	struct event event = attempt_event(req, EVENT_SLOT_FREE);

	if (state && state->in_flight_count)
		state->in_flight_count--;
	refresh_endpoint(router, req->endpoint);
	kernel_emit(router->kernel, &event);
}

/* The pool that an endpoint belongs to now, or NULL. */
static struct router_pool *pool_of(const struct router *router,
				   const char *endpoint)
{
	const struct fleet_instance *instance =
		fleet_instance(kernel_fleet(router->kernel), endpoint);

	return instance ? g_hash_table_lookup(router->pools, instance->pool)
			: NULL;
}

/* Refused, failed and cut-off attempts say nothing about the service time. */
static void measure_service_time(struct router_request *req,
				 const struct event_attempt *attempt)
{
	struct router_service *service = req->service;

	if (req->attempt_relayed || attempt->result != ATTEMPT_ANSWERED ||
	    attempt->status >= 500)
		return;
	if (!service->service_us)
		service->service_us = MAX(attempt->latency_us, 1);
	else
		service->service_us +=
			(attempt->latency_us - service->service_us) /
			(1 << SERVICE_TIME_SHIFT);
}

/* The verdict over all attempts: not-run only if none of them may have run. */
static enum verdict merge_verdicts(enum verdict before, enum verdict latest)
{
	if (before == VERDICT_RAN || latest == VERDICT_RAN)
		return VERDICT_RAN;
	if (before == VERDICT_MAY_HAVE_RUN || latest != VERDICT_NOT_RUN)
		return VERDICT_MAY_HAVE_RUN;
	return VERDICT_NOT_RUN;
}

static bool is_current(const struct router_request *req,
		       const struct event_attempt *attempt)
{
	return req && req->phase == ROUTER_PHASE_RUNNING &&
	       req->attempt == attempt->attempt &&
	       !strcmp(req->endpoint, attempt->endpoint);
}

static bool is_failure(const struct event_attempt *attempt)
{
	return attempt->result != ATTEMPT_ANSWERED || attempt->status >= 500;
}

/* Puts a request that did not run back at the front of its queue. */
static void requeue(struct router *router, struct router_request *req)
{
	req->phase = ROUTER_PHASE_QUEUED;
	req->queued_us = kernel_now_us(router->kernel);
	router->admission->requeue(req->pool->queue, &req->item);
	router_request_watch_deadline(router, req);
}

static bool may_retry(struct router *router, const struct router_request *req)
{
	const struct retry_case failed = {
		.member = req->member->name,
		.pool = req->pool->name,
		.idempotent = req->service->decl.idempotent,
		.verdict = req->verdict,
		.now_us = kernel_now_us(router->kernel),
		.service_us = req->service->service_us,
		.deadline_us = req->item.deadline_us,
	};

	return router->retry->allow(router->retry_state, &failed);
}

/*
 * Retries a failed attempt at another endpoint that has a free slot now. If
 * all are busy, only a request that did not run is queued again: retrying the
 * others would add work during an overload.
 */
static bool try_retry(struct router *router, struct router_request *req,
		      const struct event_attempt *attempt)
{
	struct target target = { .router = router };
	bool found;

	if (req->cancelled || !is_failure(attempt))
		return false;
	if (req->attempt_relayed && req->verdict == VERDICT_NOT_RUN) {
		requeue(router, req);
		return true;
	}
	if (req->retry_count == ROUTER_RETRY_MAX_COUNT)
		return false;
	name_copy(req->tried[req->retry_count], NAME_SIZE_BYTES,
		  attempt->endpoint);
	for (uint32_t i = 0; i <= req->retry_count; i++)
		target.avoid[i] = req->tried[i];
	found = find_target(req, &target);
	if (!found &&
	    (req->verdict != VERDICT_NOT_RUN || req->pool->choice->open_count))
		return false;
	if (!may_retry(router, req))
		return false;
	req->retry_count++;
	counter_add(kernel_counters(router->kernel), "retries_total", 1);
	if (found)
		dispatch_to(router, req, &target);
	else
		requeue(router, req);
	return true;
}

void router_attempt_done(struct router *router, const struct event *event)
{
	const struct event_attempt *attempt = &event->attempt;
	struct router_request *req =
		router_request_find(router, attempt->request_id);
	struct router_pool *freed;

	if (!is_current(req, attempt)) {
		counter_add(kernel_counters(router->kernel),
			    "attempts_stale_total", 1);
		return;
	}
	freed = req->pool;
	if (req->attempt_relayed) {
		router_relay_done(router, req, attempt);
	} else {
		freed = pool_of(router, req->endpoint);
		release_slot(router, req);
	}
	measure_service_time(req, attempt);
	req->verdict = merge_verdicts(req->verdict, attempt->verdict);
	if (req->cancelled && attempt->result != ATTEMPT_ANSWERED)
		router_refuse(router, req, req->cancel_cause);
	else if (!try_retry(router, req, attempt))
		router_answer(router, req, event);
	if (freed)
		router_slots_changed(router, freed);
}

void router_cancel(struct router *router, struct router_request *req,
		   enum refusal cause)
{
	struct event event = attempt_event(req, EVENT_ATTEMPT_CANCEL);

	if (req->cancelled)
		return;
	req->cancelled = true;
	req->cancel_cause = cause;
	trace_attempt(router, req, "cancelled");
	kernel_emit(router->kernel, &event);
}
