/*
 * The operators' HTTP interface: on an address of its own, authorised by a
 * bearer token.
 */

#include <string.h>

#include "io/operator_json.h"
#include "io/serve_limits.h"
#include "io/token.h"
#include "kernel/clock.h"
#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "operator"
#define BODY_MAX_BYTES (UINT64_C(1024) * 1024)
#define CLIENT_TIMEOUT_US (30 * USEC_PER_SEC)

struct operator_api {
	struct kernel *kernel;
	struct httpd *httpd;
	char *token;
	GPtrArray *apply_requests; /* of struct apply_request, owned */
	bool draining;
	int64_t drain_deadline_us;
};

/* An apply request whose outcome is pending. */
struct apply_request {
	struct operator_api *api;
	struct exchange *exchange;
	struct apply *apply;
	bool done;
};

struct route {
	const char *method;
	const char *path;
	bool is_open; /* requires no authorisation */
	void (*serve)(struct operator_api *api, struct exchange *exchange);
};

static void reply_json(struct exchange *exchange, uint32_t status, json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	GBytes *body;

	json_decref(json);
	if (!text) {
		exchange_reply(exchange, 500, "", NULL);
		return;
	}
	body = g_bytes_new_with_free_func(text, strlen(text), free, text);
	exchange_reply(exchange, status, "application/json", body);
	g_bytes_unref(body);
}

static void reply_outcome(struct exchange *exchange, uint32_t status,
			  const char *outcome, const char *reason)
{
	reply_json(exchange, status,
		   json_pack("{s:s, s:[s]}", "outcome", outcome, "reasons",
			     reason));
}

static void reply_error(struct exchange *exchange, uint32_t status,
			const char *reason)
{
	reply_outcome(exchange, status, "rejected", reason);
}

static void reply_text(struct exchange *exchange, uint32_t status,
		       const char *text)
{
	GBytes *body = g_bytes_new(text, strlen(text));

	exchange_reply(exchange, status, "text/plain; charset=utf-8", body);
	g_bytes_unref(body);
}

/* Apply */

static void apply_request_free(gpointer data)
{
	struct apply_request *request = data;

	apply_free(request->apply);
	g_free(request);
}

static uint32_t status_from_outcome(enum apply_outcome outcome)
{
	switch (outcome) {
	case APPLY_ACCEPTED:
		return 200;
	case APPLY_REJECTED:
		return 409;
	default:
		return 504;
	}
}

static void on_applied(void *data, struct apply *apply)
{
	struct apply_request *request = data;

	request->done = true;
	if (request->exchange)
		reply_json(request->exchange,
			   status_from_outcome(apply_outcome(apply)),
			   operator_apply_json(apply));
	request->exchange = NULL;
}

static void start_apply(struct operator_api *api, struct apply_request *request)
{
	exchange_set_data(request->exchange, request);
	g_ptr_array_add(api->apply_requests, request);
	apply_start(request->apply, clock_now_us());
}

static void serve_apply(struct operator_api *api, struct exchange *exchange)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct apply_request *request = g_new0(struct apply_request, 1);
	uint32_t status = 400;
	bool dry_run = false;

	request->api = api;
	request->exchange = exchange;
	request->apply = apply_new(api->kernel, on_applied, request);
	operator_apply_parse(exchange_body(exchange), request->apply, &dry_run,
			     errors);
	if (!errors->len) {
		status = 409;
		apply_check(request->apply, errors);
	}
	if (errors->len) {
		reply_json(exchange, status, operator_errors_json(errors));
		apply_request_free(request);
	} else if (dry_run) {
		reply_json(exchange, 200,
			   operator_dry_run_json(request->apply,
						 kernel_fleet(api->kernel)));
		apply_request_free(request);
	} else {
		start_apply(api, request);
	}
	g_ptr_array_unref(errors);
}

/* Status, timeline, drain */

static void serve_status(struct operator_api *api, struct exchange *exchange)
{
	reply_json(exchange, 200,
		   operator_status_json(api->kernel, api->draining));
}

static bool parse_number(const struct exchange *exchange, const char *name,
			 uint64_t *number)
{
	const char *value = exchange_argument(exchange, name);
	guint64 parsed;

	if (!value || !value[0])
		return true;
	if (!g_ascii_string_to_unsigned(value, 10, 1, UINT64_MAX, &parsed,
					NULL))
		return false;
	*number = parsed;
	return true;
}

/* "ID" or "ENTRY/ID", as in the Pl-Request header. */
static bool parse_request_id(const struct operator_api *api,
			     const struct exchange *exchange,
			     uint64_t *request_id)
{
	const char *value = exchange_argument(exchange, "request");
	const char *slash = value ? strchr(value, '/') : NULL;
	const char *entry = kernel_settings(api->kernel)->entry;
	guint64 parsed;

	if (!slash)
		return parse_number(exchange, "request", request_id);
	if (!g_ascii_string_to_unsigned(slash + 1, 10, 1, UINT64_MAX, &parsed,
					NULL))
		return false;
	/* An id of another entry must match nothing; no request has this id. */
	*request_id = UINT64_MAX;
	if (strlen(entry) == (size_t)(slash - value) &&
	    !strncmp(entry, value, strlen(entry)))
		*request_id = parsed;
	return true;
}

static const char *null_if_empty(const char *text)
{
	return text && text[0] ? text : NULL;
}

static void serve_timeline(struct operator_api *api, struct exchange *exchange)
{
	struct timeline_filter filter = {
		.instance =
			null_if_empty(exchange_argument(exchange, "instance")),
		.pool = null_if_empty(exchange_argument(exchange, "pool")),
	};

	if (!parse_request_id(api, exchange, &filter.request_id)) {
		reply_error(exchange, 400, "request: expected ID or ENTRY/ID");
		return;
	}
	if (!parse_number(exchange, "offset", &filter.offset)) {
		reply_error(exchange, 400, "offset: expected an offset");
		return;
	}
	reply_json(exchange, 200, operator_timeline_json(api->kernel, &filter));
}

static void serve_drain(struct operator_api *api, struct exchange *exchange)
{
	struct event event = { .type = EVENT_DRAIN };
	int64_t now_us = clock_now_us();

	if (!api->draining) {
		api->draining = true;
		api->drain_deadline_us =
			now_us + kernel_settings(api->kernel)->drain_us;
		event.drain.deadline_us = api->drain_deadline_us;
		kernel_emit(api->kernel, &event);
		klog_info(LOG_PREFIX, "drain requested by an operator");
	}
	reply_json(exchange, 202,
		   json_pack("{s:s, s:s, s:I}", "outcome", "accepted", "entry",
			     kernel_settings(api->kernel)->entry, "deadline_ms",
			     (json_int_t)((api->drain_deadline_us - now_us) /
					  USEC_PER_MSEC)));
}

/* Paths without authorisation */

static void serve_health(struct operator_api *api, struct exchange *exchange)
{
	(void)api;
	reply_text(exchange, 200, "ok\n");
}

static const char *not_ready_reason(const struct operator_api *api)
{
	struct kernel *kernel = api->kernel;
	const struct fleet_entry *entry = fleet_entry(
		kernel_fleet(kernel), kernel_settings(kernel)->entry);

	if (api->draining)
		return "draining\n";
	if (!entry || entry->decl.incarnation != kernel_incarnation(kernel))
		return "this entry instance has not joined the fleet\n";
	return NULL;
}

static void serve_ready(struct operator_api *api, struct exchange *exchange)
{
	const char *reason = not_ready_reason(api);

	reply_text(exchange, reason ? 503 : 200, reason ? reason : "ready\n");
}

static void serve_metrics(struct operator_api *api, struct exchange *exchange)
{
	struct counters *counters = kernel_counters(api->kernel);
	GString *text;

	counter_set(counters, "requests_in_progress",
		    request_count(kernel_requests(api->kernel)));
	counter_set(counters, "timeline_lost_total",
		    timeline_lost_count(kernel_timeline(api->kernel)));
	text = counters_text(counters);
	reply_text(exchange, 200, text->str);
	g_string_free(text, TRUE);
}

static const struct route routes[] = {
	{ "POST", "/v1/apply", false, serve_apply },
	{ "GET", "/v1/status", false, serve_status },
	{ "GET", "/v1/timeline", false, serve_timeline },
	{ "POST", "/v1/drain", false, serve_drain },
	{ "GET", "/healthz", true, serve_health },
	{ "GET", "/readyz", true, serve_ready },
	{ "GET", "/metrics", true, serve_metrics },
};

static bool is_authorised(const struct operator_api *api,
			  const struct exchange *exchange)
{
	static const char scheme[] = "Bearer ";
	const char *value = exchange_header(exchange, "Authorization");

	return value &&
	       !g_ascii_strncasecmp(value, scheme, sizeof(scheme) - 1) &&
	       token_equal(value + sizeof(scheme) - 1, api->token);
}

static void operator_request(void *self, struct exchange *exchange)
{
	struct operator_api *api = self;
	const struct route *route = NULL;

	for (gsize i = 0; !route && i < G_N_ELEMENTS(routes); i++) {
		if (!strcmp(exchange_path(exchange), routes[i].path))
			route = &routes[i];
	}
	if ((!route || !route->is_open) && !is_authorised(api, exchange)) {
		counter_add(kernel_counters(api->kernel),
			    "operator_unauthorised_total", 1);
		exchange_add_header(exchange, "WWW-Authenticate", "Bearer");
		reply_error(exchange, 401, "a valid bearer token is required");
	} else if (!route) {
		reply_error(exchange, 404, "there is no such path");
	} else if (strcmp(exchange_method(exchange), route->method) != 0) {
		exchange_add_header(exchange, "Allow", route->method);
		reply_error(exchange, 405, "the path has another method");
	} else {
		route->serve(api, exchange);
	}
}

static void operator_disconnected(void *self, struct exchange *exchange)
{
	struct operator_api *api = self;
	struct apply_request *request = exchange_data(exchange);

	/* The current record may still be accepted; no other is proposed. */
	g_ptr_array_remove(api->apply_requests, request);
}

static const struct httpd_ops operator_ops = {
	.request = operator_request,
	.disconnected = operator_disconnected,
};

static void operator_handle(void *self, const struct event *event)
{
	struct operator_api *api = self;

	if (event->type == EVENT_DRAIN) {
		api->draining = true;
		api->drain_deadline_us = event->drain.deadline_us;
		return;
	}
	for (guint i = api->apply_requests->len; i > 0; i--) {
		struct apply_request *request =
			api->apply_requests->pdata[i - 1];

		apply_handle(request->apply, event);
		if (request->done)
			g_ptr_array_remove_index(api->apply_requests, i - 1);
	}
}

static void operator_fini(void *self)
{
	struct operator_api *api = self;

	for (guint i = 0; api->apply_requests && i < api->apply_requests->len;
	     i++) {
		struct apply_request *request = api->apply_requests->pdata[i];

		reply_outcome(request->exchange, 504, "unknown",
			      "this entry instance has ended; GET /v1/status "
			      "of another one lists the offset of each file");
	}
	httpd_free(api->httpd);
	if (api->apply_requests)
		g_ptr_array_unref(api->apply_requests);
	g_free(api->token);
	g_free(api);
}

static void *operator_init(struct kernel *kernel)
{
	const struct settings *settings = kernel_settings(kernel);
	struct conn_limits conn_limits;
	struct httpd_limits limits = {
		.body_max_bytes = BODY_MAX_BYTES,
		.client_timeout_us = CLIENT_TIMEOUT_US,
	};
	struct operator_api *api = g_new0(struct operator_api, 1);

	api->kernel = kernel;
	api->token = token_read(settings->token_file);
	if (!api->token)
		goto fail;
	serve_limits_operators(kernel, &limits, &conn_limits);
	api->httpd = httpd_new(kernel_loop(kernel), settings->operator_address,
			       &limits, &operator_ops, api);
	if (!api->httpd)
		goto fail;
	api->apply_requests =
		g_ptr_array_new_with_free_func(apply_request_free);
	counter_set(kernel_counters(kernel),
		    "listening_port{interface=\"operators\"}",
		    httpd_port(api->httpd));
	klog_info(LOG_PREFIX, "listening for operators on port %u",
		  httpd_port(api->httpd));
	return api;
fail:
	operator_fini(api);
	return NULL;
}

static const struct plugin operator_plugin = {
	.name = "operator_http",
	.kind = PLUGIN_FRONT,
	.subscriptions = EVENT_BIT(EVENT_WAKE) | EVENT_BIT(EVENT_DRAIN) |
			 EVENT_BIT(EVENT_FLEET_CHANGED) |
			 EVENT_BIT(EVENT_PROPOSAL_DROPPED),
	.init = operator_init,
	.handle = operator_handle,
	.fini = operator_fini,
};

PLUGIN_REGISTER(operator_plugin)
