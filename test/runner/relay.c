/* Fake of the HTTP connection by which one node relays a request to another. */

#include "runner/world.h"

/* An attempt that waits for the reply to a relayed request. */
struct relay {
	struct node *from;
	uint64_t from_incarnation;
	int64_t sent_us;
	struct event_attempt attempt;
};

/* Ends the attempt. Takes ownership of the event's data. */
static void end_relay(struct world *world, const struct relay *relay,
		      struct event *done)
{
	if (relay->from->incarnation == relay->from_incarnation)
		world_schedule(world, world->now_us + world->peer_delay_us,
			       relay->from, done);
	else
		event_clear(done);
}

static struct event done_event(const struct event_attempt *attempt,
			       enum attempt_result result, enum verdict verdict)
{
	struct event done = {
		.type = EVENT_ATTEMPT_DONE,
		.attempt = *attempt,
	};

	done.attempt.result = result;
	done.attempt.verdict = verdict;
	return done;
}

static void copy_request(struct request *to, const struct request *from,
			 const struct event_attempt *attempt)
{
	name_copy(to->method, sizeof(to->method), from->method);
	name_copy(to->key, sizeof(to->key), from->key);
	to->path = g_strdup(from->path);
	to->relayed = true;
	to->deadline_us = attempt->deadline_us;
}

/* Delivers a request to the node that the attempt names. */
void relay_send(struct world *world, struct node *node,
		const struct event *event)
{
	const struct event_attempt *attempt = &event->attempt;
	const struct request *request =
		request_get(kernel_requests(node->kernel), attempt->request_id);
	struct node *to = world_node(world, attempt->endpoint);
	struct event arrived = { .type = EVENT_REQUEST_NEW };
	struct event done =
		done_event(attempt, ATTEMPT_TIMED_OUT, VERDICT_MAY_HAVE_RUN);
	struct relay relay = { node, node->incarnation, world->now_us,
			       *attempt };
	struct request *copy;

	if (!to || !to->kernel ||
	    g_hash_table_contains(node->unreachable_peers, attempt->endpoint)) {
		done = done_event(attempt, ATTEMPT_REFUSED, VERDICT_NOT_RUN);
		end_relay(world, &relay, &done);
		return;
	}
	copy = request_add(kernel_requests(to->kernel));
	copy_request(copy, request, attempt);
	copy->arrived_us = world->now_us + 1 + world->peer_delay_us;
	g_hash_table_insert(
		to->request_names, g_memdup2(&copy->id, sizeof(copy->id)),
		g_strdup(g_hash_table_lookup(node->request_names,
					     &attempt->request_id)));
	g_hash_table_insert(to->relays, g_memdup2(&copy->id, sizeof(copy->id)),
			    g_memdup2(&relay, sizeof(relay)));
	arrived.request.request_id = copy->id;
	world_schedule(world, world->now_us + world->peer_delay_us, to,
		       &arrived);
	/* Timeout; the router drops it as stale if the reply arrives first. */
	world_schedule(world, attempt->deadline_us - 1, node, &done);
}

/* Returns the reply to a relayed request to the node that sent it. */
void relay_reply(struct world *world, struct node *node,
		 const struct event *event)
{
	const struct event_request *reply = &event->request;
	const struct relay *relay =
		g_hash_table_lookup(node->relays, &reply->request_id);
	struct event done;

	if (!relay)
		return;
	done = done_event(&relay->attempt, ATTEMPT_ANSWERED, reply->verdict);
	done.attempt.status = reply->status;
	done.attempt.latency_us =
		world->now_us + world->peer_delay_us - relay->sent_us;
	done.response =
		event->response
			? response_ref(event->response)
			: response_new(reply->status, "application/json",
				       g_bytes_new_static("{}", 2));
	end_relay(world, relay, &done);
	g_hash_table_remove(node->relays, &reply->request_id);
}

/* Closes the connection, which the other node sees as a disconnected caller. */
void relay_cancel(struct world *world, struct node *node,
		  const struct event *event)
{
	struct event done = done_event(&event->attempt, ATTEMPT_CANCELLED,
				       VERDICT_MAY_HAVE_RUN);
	struct node *to = world_node(world, event->attempt.endpoint);
	struct event gone = { .type = EVENT_REQUEST_GONE };
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	world_schedule(world, world->now_us, node, &done);
	if (!to || !to->kernel)
		return;
	g_hash_table_iter_init(&iter, to->relays);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct relay *relay = value;

		if (relay->from != node ||
		    relay->attempt.request_id != event->attempt.request_id)
			continue;
		gone.request.request_id = *(uint64_t *)key;
		world_schedule(world, world->now_us + world->peer_delay_us, to,
			       &gone);
	}
}
