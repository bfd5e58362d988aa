/* From the queue of a pool to an endpoint, and how attempts end. */

#include <string.h>

#include "decide/router.h"

/* A new measurement counts for an eighth of the smoothed service time. */
#define SERVICE_TIME_SHIFT 3

static void trace_attempt(struct router *router, const struct route *route,
			  const char *what)
{
	struct timeline_entry entry = {
		.kind = TIMELINE_ATTEMPT,
		.request_id = route->item.request_id,
	};

	name_copy(entry.instance, sizeof(entry.instance), route->endpoint);
	name_copy(entry.pool, sizeof(entry.pool), route->pool->name);
	g_snprintf(entry.text, sizeof(entry.text), "attempt %u %s",
		   route->attempt, what);
	timeline_add(kernel_timeline(router->kernel), &entry);
}

static void refresh(struct router *router, const char *endpoint)
{
	struct choice_endpoint *found =
		g_hash_table_lookup(router->endpoints, endpoint);

	if (found)
		choice_refresh(found);
}

static struct event attempt_event(const struct route *route,
				  enum event_type type)
{
	struct event event = {
		.type = type,
		.attempt = { .request_id = route->item.request_id,
			     .attempt = route->attempt,
			     .relayed = route->attempt_relayed },
	};

	name_copy(event.attempt.endpoint, NAME_SIZE_BYTES, route->endpoint);
	return event;
}

/* Starts the next attempt of a request that is in no queue. */
static void send(struct router *router, struct route *route,
		 const char *endpoint, const char *address, bool relayed)
{
	int64_t now_us = kernel_now_us(router->kernel);
	struct event event;

	route->attempt++;
	route->attempt_relayed = relayed;
	name_copy(route->endpoint, sizeof(route->endpoint), endpoint);
	route->phase = ROUTE_RUNNING;
	router_route_run(router, route);
	router->running_count++;
	event = attempt_event(route, EVENT_ATTEMPT_SEND);
	name_copy(event.attempt.address, ADDRESS_SIZE_BYTES, address);
	event.attempt.deadline_us =
		MIN(route->item.deadline_us,
		    now_us + route->service->decl.timeout_us);
	counter_add(kernel_counters(router->kernel), "attempts_total", 1);
	trace_attempt(router, route, "sent");
	kernel_emit(router->kernel, &event);
}

static void send_to(struct router *router, struct route *route,
		    struct choice_endpoint *endpoint)
{
	struct event event;

	endpoint->state->in_flight_count++;
	choice_refresh(endpoint);
	send(router, route, endpoint->state->name, endpoint->address, false);
	event = attempt_event(route, EVENT_DISPATCHED);
	kernel_emit(router->kernel, &event);
}

/*
 * A record that was just applied can have changed the instance before the
 * index is rebuilt.
 */
static bool still_active(struct router *router,
			 const struct choice_endpoint *endpoint)
{
	const struct fleet_instance *instance = fleet_instance(
		kernel_fleet(router->kernel), endpoint->state->name);

	return instance && instance->phase == INSTANCE_ACTIVE &&
	       !instance->down;
}

static struct choice_endpoint *pick(struct router *router,
				    struct router_pool *pool, const char *avoid)
{
	GRand *random = kernel_random(router->kernel);
	struct choice_endpoint *endpoint =
		router->choice->pick(pool->choice, avoid, random);

	while (endpoint && !still_active(router, endpoint)) {
		choice_close(endpoint);
		endpoint = router->choice->pick(pool->choice, avoid, random);
	}
	return endpoint;
}

void router_dispatch(struct router *router, struct router_pool *pool)
{
	for (;;) {
		struct admission_item *item =
			router->admission->peek(pool->queue, NULL, NULL);
		struct choice_endpoint *endpoint;

		if (!item)
			break;
		endpoint = pick(router, pool, NULL);
		if (!endpoint)
			break;
		router->admission->take(pool->queue, item);
		send_to(router, (struct route *)item, endpoint);
	}
	router_pool_publish(router, pool);
}

static void free_slot(struct router *router, struct route *route)
{
	struct endpoint_state *state = endpoint_table_find(
		kernel_endpoints(router->kernel), route->endpoint);
	struct event event = attempt_event(route, EVENT_SLOT_FREE);

	router->running_count--;
	if (route->attempt_relayed)
		return;
	if (state && state->in_flight_count)
		state->in_flight_count--;
	refresh(router, route->endpoint);
	kernel_emit(router->kernel, &event);
}

/* A request that was refused or cut off tells nothing of its service time. */
static void measure(struct route *route, const struct event_attempt *attempt)
{
	struct router_service *service = route->service;

	if (route->attempt_relayed || attempt->result != ATTEMPT_ANSWERED ||
	    attempt->status >= 500)
		return;
	if (!service->service_us)
		service->service_us = MAX(attempt->latency_us, 1);
	else
		service->service_us +=
			(attempt->latency_us - service->service_us) /
			(1 << SERVICE_TIME_SHIFT);
}

/* The verdict over all attempts so far: not run only if none may have run. */
static enum verdict merge(enum verdict before, enum verdict latest)
{
	if (before == VERDICT_RAN || latest == VERDICT_RAN)
		return VERDICT_RAN;
	if (before == VERDICT_MAY_HAVE_RUN || latest != VERDICT_NOT_RUN)
		return VERDICT_MAY_HAVE_RUN;
	return VERDICT_NOT_RUN;
}

static bool is_current(const struct route *route,
		       const struct event_attempt *attempt)
{
	return route && route->phase == ROUTE_RUNNING &&
	       route->attempt == attempt->attempt &&
	       !strcmp(route->endpoint, attempt->endpoint);
}

void router_attempt_done(struct router *router, const struct event *event)
{
	const struct event_attempt *attempt = &event->attempt;
	struct route *route = router_route_find(router, attempt->request_id);
	struct router_pool *pool;

	if (!is_current(route, attempt)) {
		counter_add(kernel_counters(router->kernel),
			    "attempts_stale_total", 1);
		return;
	}
	pool = route->pool;
	free_slot(router, route);
	measure(route, attempt);
	route->verdict = merge(route->verdict, attempt->verdict);
	router_answer(router, route, event);
	router_dispatch(router, pool);
}

void router_cancel(struct router *router, struct route *route,
		   const char *reason)
{
	struct event event = attempt_event(route, EVENT_ATTEMPT_CANCEL);

	if (route->cancelled)
		return;
	route->cancelled = true;
	route->cancel_reason = reason;
	trace_attempt(router, route, "cancelled");
	kernel_emit(router->kernel, &event);
}
