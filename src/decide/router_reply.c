/* Ends requests with a refusal or an answer, each with its verdict. */

#include "decide/router.h"
#include "kernel/klog.h"

#define HTTP_BAD_REQUEST 400
#define HTTP_FORBIDDEN 403
#define HTTP_NOT_FOUND 404
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_CLIENT_CLOSED 499 /* for logs and counters; never sent */
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

/* Upper bound of Retry-After: conditions change, however long the queue is. */
#define RETRY_AFTER_MAX_US (10 * USEC_PER_SEC)

struct refusal_info {
	uint32_t status;
	bool retryable; /* a later attempt of the caller may succeed */
	const char *reason;
	const char *counter;
};

static const struct refusal_info refusals[REFUSAL_COUNT] = {
	[REFUSAL_NO_CONFIG] = { HTTP_UNAVAILABLE, true,
				"no configuration is in force yet",
				"refused_total{reason=\"no-config\"}" },
	[REFUSAL_NO_SERVICE] = { HTTP_NOT_FOUND, false,
				 "no service has this path",
				 "refused_total{reason=\"no-service\"}" },
	[REFUSAL_MEMBER_LEFT] = { HTTP_FORBIDDEN, false,
				  "the member takes no new work",
				  "refused_total{reason=\"member-left\"}" },
	[REFUSAL_QUOTA] = { HTTP_TOO_MANY_REQUESTS, true,
			    "the quota of the member is used up",
			    "refused_total{reason=\"quota\"}" },
	[REFUSAL_NO_KEY] = { HTTP_BAD_REQUEST, false,
			     "the service requires an idempotency key",
			     "refused_total{reason=\"no-key\"}" },
	[REFUSAL_DRAINING] = { HTTP_UNAVAILABLE, true, "shutting down",
			       "refused_total{reason=\"draining\"}" },
	[REFUSAL_QUEUE_FULL] = { HTTP_TOO_MANY_REQUESTS, true,
				 "the queue of the member is full",
				 "refused_total{reason=\"queue-full\"}" },
	[REFUSAL_DROPPED] = { HTTP_UNAVAILABLE, true,
			      "more urgent work took the place in the queue",
			      "refused_total{reason=\"dropped\"}" },
	[REFUSAL_TOO_LATE] = { HTTP_UNAVAILABLE, true,
			       "the expected wait passes the deadline",
			       "refused_total{reason=\"too-late\"}" },
	[REFUSAL_DEADLINE] = { HTTP_UNAVAILABLE, true,
			       "the deadline passed in the queue",
			       "refused_total{reason=\"deadline\"}" },
	[REFUSAL_NO_TIME] = { HTTP_UNAVAILABLE, true,
			      "too little time is left to run it",
			      "refused_total{reason=\"too-little-time\"}" },
	[REFUSAL_NO_ENDPOINT] = { HTTP_UNAVAILABLE, true,
				  "no endpoint here can take it",
				  "refused_total{reason=\"no-endpoint\"}" },
	[REFUSAL_CLAIM] = { HTTP_UNAVAILABLE, false, "",
			    "refused_total{reason=\"claim\"}" },
	[REFUSAL_GONE] = { HTTP_CLIENT_CLOSED, false,
			   "the caller has disconnected",
			   "refused_total{reason=\"gone\"}" },
};

static const char *const request_counters[VERDICT_COUNT] = {
	[VERDICT_NONE] = "requests_total{verdict=\"none\"}",
	[VERDICT_NOT_RUN] = "requests_total{verdict=\"not-run\"}",
	[VERDICT_RAN] = "requests_total{verdict=\"ran\"}",
	[VERDICT_MAY_HAVE_RUN] = "requests_total{verdict=\"may-have-run\"}",
};

static void trace_reply(struct router *router, const struct event *reply)
{
	struct timeline_entry entry = {
		.kind = TIMELINE_REPLY,
		.request_id = reply->request.request_id,
	};

	g_snprintf(entry.text, sizeof(entry.text), "%u %s %s",
		   reply->request.status, verdict_name(reply->request.verdict),
		   reply->request.reason);
	timeline_add(kernel_timeline(router->kernel), &entry);
}

static void emit_reply(struct router *router, const struct event *reply)
{
	counter_add(kernel_counters(router->kernel),
		    request_counters[reply->request.verdict], 1);
	trace_reply(router, reply);
	kernel_emit(router->kernel, reply);
}

static void set_reason(struct event *reply, const char *reason)
{
	g_strlcpy(reply->request.reason, reason, REASON_SIZE_BYTES);
}

static struct event refusal_reply(struct router *router, uint64_t request_id,
				  enum refusal refusal, int64_t wait_us)
{
	const struct refusal_info *info = &refusals[refusal];
	struct event reply = {
		.type = EVENT_REQUEST_REPLY,
		.request = { .request_id = request_id,
			     .status = info->status,
			     .verdict = VERDICT_NOT_RUN },
	};

	if (info->retryable)
		reply.request.retry_after_us = CLAMP(
			wait_us, ROUTER_RETRY_AFTER_US, RETRY_AFTER_MAX_US);
	set_reason(&reply, info->reason);
	counter_add(kernel_counters(router->kernel), info->counter, 1);
	return reply;
}

void router_refuse_new(struct router *router, uint64_t request_id,
		       enum refusal refusal)
{
	struct event reply = refusal_reply(router, request_id, refusal, 0);

	emit_reply(router, &reply);
}

/* The verdict over all attempts; without one, the request did not run. */
static enum verdict final_verdict(const struct router_request *req)
{
	return req->verdict ? req->verdict : VERDICT_NOT_RUN;
}

static void end_request(struct router *router, struct router_request *req,
			const struct event *reply)
{
	struct router_pool *pool = req->pool;

	router->admission->remove(pool->queue, &req->item);
	emit_reply(router, reply);
	router_request_free(router, req);
	router_pool_publish(router, pool);
	router_check_drained(router);
}

void router_refuse(struct router *router, struct router_request *req,
		   enum refusal refusal)
{
	struct event reply = refusal_reply(router, req->item.request_id,
					   refusal, req->pool->state->wait_us);

	reply.request.verdict = final_verdict(req);
	end_request(router, req, &reply);
}

void router_refuse_claim(struct router *router, struct router_request *req,
			 const struct event_claim *claim)
{
	struct event reply =
		refusal_reply(router, req->item.request_id, REFUSAL_CLAIM, 0);

	if (claim->status)
		reply.request.status = claim->status;
	reply.request.verdict =
		claim->verdict ? claim->verdict : VERDICT_MAY_HAVE_RUN;
	set_reason(&reply, claim->reason);
	if (reply.request.status == HTTP_UNAVAILABLE)
		reply.request.retry_after_us = ROUTER_RETRY_AFTER_US;
	end_request(router, req, &reply);
}

static void set_failure(struct event *reply, const struct event *done)
{
	static const struct {
		uint32_t status;
		const char *reason;
	} failures[] = {
		[ATTEMPT_ANSWERED] = { HTTP_BAD_GATEWAY, "" },
		[ATTEMPT_REFUSED] = { HTTP_UNAVAILABLE,
				      "the endpoint refused the connection" },
		[ATTEMPT_FAILED] = { HTTP_BAD_GATEWAY,
				     "the connection to the endpoint broke" },
		[ATTEMPT_TRUNCATED] = { HTTP_BAD_GATEWAY,
					"the answer was incomplete" },
		[ATTEMPT_TIMED_OUT] = { HTTP_GATEWAY_TIMEOUT,
					"the endpoint did not answer in time" },
		[ATTEMPT_CANCELLED] = { HTTP_UNAVAILABLE,
					"the attempt was cancelled" },
	};

	reply->request.status = failures[done->attempt.result].status;
	set_reason(reply, failures[done->attempt.result].reason);
	if (reply->request.status == HTTP_UNAVAILABLE)
		reply->request.retry_after_us = ROUTER_RETRY_AFTER_US;
}

void router_answer(struct router *router, struct router_request *req,
		   const struct event *done)
{
	struct event reply = {
		.type = EVENT_REQUEST_REPLY,
		.request = { .request_id = req->item.request_id,
			     .verdict = final_verdict(req) },
	};

	if (done->attempt.result == ATTEMPT_ANSWERED && done->response) {
		reply.request.status = done->attempt.status;
		reply.response = response_ref(done->response);
	} else {
		set_failure(&reply, done);
	}
	end_request(router, req, &reply);
}

void router_check_drained(struct router *router)
{
	if (!router->draining || router->drained ||
	    g_hash_table_size(router->requests))
		return;
	router->drained = true;
	kernel_emit(router->kernel, &(struct event){ .type = EVENT_DRAINED });
}
