/*
 * Stand-in for many endpoints in one process. Endpoint i listens on
 * 127.0.0.1:(first port + i) and has 8 slots and 64 connections; a request
 * that exceeds its slots is counted as an overrun and refused.
 *
 * POST on the control port:
 *   /control?endpoint=I&mode=ok|fail|hang|short|cut|late&service_ms=N
 *   (endpoint -1 for all); answers with the counters of the endpoints
 */

#include <argp.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "standin/common_server.h"

#define SLOTS_COUNT 8
#define CONNECTIONS_COUNT 64
#define ENDPOINTS_MAX_COUNT 1024
#define LATE_FACTOR 20

enum mode { MODE_OK, MODE_FAIL, MODE_HANG, MODE_SHORT, MODE_CUT, MODE_LATE };

static const char *const modes[] = { "ok",    "fail", "hang",
				     "short", "cut",  "late" };

struct endpoints;

struct endpoint {
	struct endpoints *endpoints;
	struct server *server;
	enum mode mode;
	double service_s;
	guint running_count;
	guint highest_count;
	guint64 run_count;
	guint64 overrun_count;
	guint64 repeated_count; /* runs whose key ran on any endpoint before */
};

struct endpoints {
	struct ev_loop *loop;
	struct endpoint list[ENDPOINTS_MAX_COUNT];
	guint count;
	guint16 first_port;
	guint16 control_port;
	double service_s;
	double spread; /* service times vary by up to this share */
	GRand *random;
	GHashTable *keys; /* idempotency keys that ran */
};

/* A request that occupies a slot. */
struct run {
	struct endpoint *endpoint;
	struct server_request *request;
	gboolean gone;
	ev_timer timer;
};

static void answer(struct run *run)
{
	struct endpoint *endpoint = run->endpoint;
	struct server_request *request = run->request;
	GByteArray *body = request->body;

	request->gone = NULL;
	switch (endpoint->mode) {
	case MODE_SHORT:
		server_reply_truncated(request);
		return;
	case MODE_CUT:
		server_abort(request);
		return;
	case MODE_FAIL:
		server_reply(request, MHD_HTTP_INTERNAL_SERVER_ERROR,
			     "text/plain", "failed\n", strlen("failed\n"));
		return;
	default:
		break;
	}
	/* Echoes the request, so that callers detect a swapped answer. */
	if (body->len)
		server_reply(request, MHD_HTTP_OK, "text/plain",
			     (const char *)body->data, body->len);
	else
		server_reply(request, MHD_HTTP_OK, "text/plain", request->path,
			     strlen(request->path));
}

static void on_done(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	struct run *run = watcher->data;

	(void)loop;
	(void)revents;
	run->endpoint->running_count--;
	if (!run->gone)
		answer(run);
	g_free(run);
}

static double service_time(struct endpoint *endpoint)
{
	double spread = endpoint->endpoints->spread;
	double time_s = endpoint->service_s;

	if (endpoint->mode == MODE_FAIL)
		return 0.001;
	if (endpoint->mode == MODE_LATE)
		return time_s * LATE_FACTOR;
	if (endpoint->mode == MODE_HANG)
		return 3600.;
	if (spread > 0.)
		time_s *= 1. - spread +
			  2. * spread *
				  g_rand_double(endpoint->endpoints->random);
	return time_s;
}

static void record_key(struct endpoint *endpoint,
		       const struct server_request *request)
{
	const char *key = server_argument(request, "Idempotency-Key");

	if (key && !g_hash_table_add(endpoint->endpoints->keys, g_strdup(key)))
		endpoint->repeated_count++;
}

static void on_request(struct server_request *request, void *data)
{
	struct endpoint *endpoint = data;
	struct run *run;

	if (endpoint->running_count >= SLOTS_COUNT) {
		endpoint->overrun_count++;
		server_reply(request, MHD_HTTP_SERVICE_UNAVAILABLE,
			     "text/plain", "full\n", strlen("full\n"));
		return;
	}
	record_key(endpoint, request);
	endpoint->running_count++;
	endpoint->run_count++;
	endpoint->highest_count =
		MAX(endpoint->highest_count, endpoint->running_count);
	run = g_new0(struct run, 1);
	run->endpoint = endpoint;
	run->request = request;
	request->gone = &run->gone;
	ev_timer_init(&run->timer, on_done, service_time(endpoint), 0.);
	run->timer.data = run;
	ev_timer_start(endpoint->endpoints->loop, &run->timer);
}

static void set_endpoint(struct endpoint *endpoint,
			 const struct server_request *request)
{
	const char *mode = server_argument(request, "mode");
	const char *service_ms = server_argument(request, "service_ms");

	for (guint i = 0; mode && i < G_N_ELEMENTS(modes); i++) {
		if (!strcmp(modes[i], mode))
			endpoint->mode = (enum mode)i;
	}
	if (service_ms)
		endpoint->service_s = atof(service_ms) / 1000.;
}

static json_t *counts(const struct endpoint *endpoint)
{
	return json_pack("{s:I,s:I,s:I,s:I}", "runs",
			 (json_int_t)endpoint->run_count, "overruns",
			 (json_int_t)endpoint->overrun_count, "highest",
			 (json_int_t)endpoint->highest_count, "repeated",
			 (json_int_t)endpoint->repeated_count);
}

static void on_control(struct server_request *request, void *data)
{
	struct endpoints *endpoints = data;
	const char *index = server_argument(request, "endpoint");
	int only_index = index ? atoi(index) : -1;
	json_t *list = json_array();
	char *text;

	for (guint i = 0; i < endpoints->count; i++) {
		if (only_index >= 0 && (guint)only_index != i)
			continue;
		set_endpoint(&endpoints->list[i], request);
		json_array_append_new(list, counts(&endpoints->list[i]));
	}
	text = json_dumps(list, JSON_COMPACT);
	server_reply(request, MHD_HTTP_OK, "application/json", text,
		     strlen(text));
	free(text);
	json_decref(list);
}

static const struct argp_option options[] = {
	{ "port", 'p', "N", 0, "First port", 0 },
	{ "count", 'n', "N", 0, "Number of endpoints", 0 },
	{ "control", 'c', "N", 0, "Control port", 0 },
	{ "service-ms", 's', "N", 0, "Service time", 0 },
	{ "spread", 'v', "F", 0, "Random part of the service time, 0 to 1", 0 },
	{ "seed", 'r', "N", 0, "Seed of the service times", 0 },
	{ 0 },
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct endpoints *endpoints = state->input;

	switch (key) {
	case 'p':
		endpoints->first_port = (guint16)atoi(arg);
		return 0;
	case 'n':
		endpoints->count =
			CLAMP((guint)atoi(arg), 1, ENDPOINTS_MAX_COUNT);
		return 0;
	case 'c':
		endpoints->control_port = (guint16)atoi(arg);
		return 0;
	case 's':
		endpoints->service_s = atof(arg) / 1000.;
		return 0;
	case 'v':
		endpoints->spread = CLAMP(atof(arg), 0., 1.);
		return 0;
	case 'r':
		g_rand_set_seed(endpoints->random, (guint32)atoi(arg));
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int revents)
{
	(void)watcher;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	static struct endpoints endpoints = {
		.count = 1,
		.first_port = 9100,
		.control_port = 9099,
		.service_s = 0.02,
	};
	const struct argp argp = { .options = options, .parser = parse };
	ev_signal signal_watcher;

	endpoints.loop = ev_default_loop(EVFLAG_AUTO);
	endpoints.random = g_rand_new_with_seed(1);
	endpoints.keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	argp_parse(&argp, argc, argv, 0, NULL, &endpoints);
	for (guint i = 0; i < endpoints.count; i++) {
		struct endpoint *endpoint = &endpoints.list[i];

		endpoint->endpoints = &endpoints;
		endpoint->service_s = endpoints.service_s;
		endpoint->server = server_new(
			endpoints.loop, (uint16_t)(endpoints.first_port + i),
			CONNECTIONS_COUNT, on_request, endpoint);
	}
	server_new(endpoints.loop, endpoints.control_port, 0, on_control,
		   &endpoints);
	ev_signal_init(&signal_watcher, on_signal, SIGTERM);
	ev_signal_start(endpoints.loop, &signal_watcher);
	ev_run(endpoints.loop, 0);
	return 0;
}
