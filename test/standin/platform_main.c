/*
 * Stand-in for the platform: the append-only log and the list of instances.
 * It listens on one port for each data centre, so that a test can cut off one.
 *
 * POST /control?port=N&log=up|down|lose|slow  sets the mode, port 0 for all
 * POST /control?append_delay_ms=N&keep=N
 * POST /control?name=NAME&state=live|leaving|gone
 */

#include <argp.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/common_server.h"

#define RECORDS_PER_READ_MAX 256
#define PORTS_MAX_COUNT 16
#define USEC_PER_MSEC INT64_C(1000)
#define USEC_PER_SEC INT64_C(1000000)
#define SLOW_US (INT64_C(2) * USEC_PER_SEC)

enum log_mode { LOG_UP, LOG_DOWN, LOG_LOSE, LOG_SLOW };

static const char *const log_modes[] = { "up", "down", "lose", "slow" };

struct platform;

struct port {
	struct platform *platform;
	struct server *server;
	enum log_mode mode;
};

/* A long poll, or a request whose answer is delayed. */
struct pending_request {
	struct platform *platform;
	struct server_request *request;
	gboolean gone;
	gboolean is_read;
	guint64 from;
	int64_t deadline_us;
};

struct platform {
	struct ev_loop *loop;
	struct port ports[PORTS_MAX_COUNT];
	guint port_count;
	guint16 first_port;
	GPtrArray *records; /* of GBytes; offset 1 is index 0 */
	guint64 keep_count; /* retention */
	GPtrArray *pending; /* of struct pending_request */
	ev_timer timer;
	GTree *instances;	   /* name -> state */
	GTree *drains;		   /* name -> drain id of its last reboot */
	GPtrArray *future_changes; /* of struct change, by time */
	int64_t lag_us;
	int64_t reboot_us;
	double rate_per_s;
	double tokens;
	int64_t tokens_at_us;
	guint64 append_count;
	guint64 list_version; /* ETag of the list */
	guint64 reboot_count;
};

/* A change that becomes visible in the list at a later time. */
struct change {
	char *name;
	char *state;
	int64_t at_us;
};

static guint64 first_offset(const struct platform *platform)
{
	guint64 count = platform->records->len;

	return count > platform->keep_count ? count - platform->keep_count + 1
					    : 1;
}

static void reply_json(struct server_request *request, unsigned int status,
		       json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	server_reply(request, status, "application/json", text, strlen(text));
	free(text);
	json_decref(json);
}

static void reply_error(struct server_request *request, unsigned int status,
			const char *reason)
{
	reply_json(request, status, json_pack("{s:s}", "error", reason));
}

static void reply_records(struct platform *platform,
			  struct server_request *request, guint64 from)
{
	guint64 at = MAX(from, first_offset(platform));
	json_t *records = json_array();

	for (; at <= platform->records->len &&
	       json_array_size(records) < RECORDS_PER_READ_MAX;
	     at++) {
		GBytes *bytes = platform->records->pdata[at - 1];
		gsize size_bytes;
		gconstpointer data = g_bytes_get_data(bytes, &size_bytes);
		gchar *text = g_base64_encode(data, size_bytes);

		json_array_append_new(records,
				      json_pack("{s:I,s:s}", "offset",
						(json_int_t)at, "data", text));
		g_free(text);
	}
	reply_json(request, MHD_HTTP_OK,
		   json_pack("{s:I,s:I,s:o}", "first",
			     (json_int_t)first_offset(platform), "next",
			     (json_int_t)platform->records->len + 1, "records",
			     records));
}

/* Answers requests that are due, and long polls that have records to read. */
static void serve_pending(struct platform *platform)
{
	int64_t now_us = g_get_monotonic_time();
	int64_t next_us = INT64_MAX;

	for (guint i = platform->pending->len; i > 0; i--) {
		struct pending_request *pending =
			platform->pending->pdata[i - 1];
		gboolean due = now_us >= pending->deadline_us;

		if (pending->is_read && pending->from <= platform->records->len)
			due = TRUE;
		if (!pending->gone && !due) {
			next_us = MIN(next_us, pending->deadline_us);
			continue;
		}
		if (!pending->gone) {
			pending->request->gone = NULL;
			reply_records(platform, pending->request,
				      pending->from);
		}
		g_ptr_array_remove_index(platform->pending, i - 1);
	}
	ev_timer_stop(platform->loop, &platform->timer);
	if (next_us == INT64_MAX)
		return;
	ev_timer_set(&platform->timer,
		     (double)MAX(next_us - now_us, 0) / (double)USEC_PER_SEC,
		     0.);
	ev_timer_start(platform->loop, &platform->timer);
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	(void)loop;
	(void)revents;
	serve_pending(watcher->data);
}

static void delay_reply(struct platform *platform,
			struct server_request *request, guint64 from,
			int64_t for_us, gboolean is_read)
{
	struct pending_request *pending = g_new0(struct pending_request, 1);

	pending->platform = platform;
	pending->request = request;
	pending->from = from;
	pending->is_read = is_read;
	pending->deadline_us = g_get_monotonic_time() + for_us;
	request->gone = &pending->gone;
	g_ptr_array_add(platform->pending, pending);
	ev_timer_stop(platform->loop, &platform->timer);
	ev_timer_set(&platform->timer, 0., 0.);
	ev_timer_start(platform->loop, &platform->timer);
}

static guint64 argument_number(const struct server_request *request,
			       const char *name, guint64 fallback)
{
	const char *text = server_argument(request, name);

	return text ? g_ascii_strtoull(text, NULL, 10) : fallback;
}

static gboolean take_token(struct platform *platform)
{
	int64_t now_us = g_get_monotonic_time();
	double passed_s = (double)(now_us - platform->tokens_at_us) /
			  (double)USEC_PER_SEC;

	platform->tokens =
		MIN(platform->tokens + passed_s * platform->rate_per_s,
		    platform->rate_per_s);
	platform->tokens_at_us = now_us;
	if (platform->tokens < 1.)
		return FALSE;
	platform->tokens -= 1.;
	return TRUE;
}

static void handle_append(struct platform *platform, enum log_mode mode,
			  struct server_request *request)
{
	if (!take_token(platform)) {
		reply_error(request, MHD_HTTP_TOO_MANY_REQUESTS,
			    "append rate exceeded");
		return;
	}
	platform->append_count++;
	g_ptr_array_add(platform->records,
			g_bytes_new(request->body->data, request->body->len));
	serve_pending(platform);
	if (mode == LOG_LOSE)
		server_abort(request);
	else
		reply_json(request, MHD_HTTP_OK,
			   json_pack("{s:I}", "offset",
				     (json_int_t)platform->records->len));
}

static void handle_read(struct platform *platform, enum log_mode mode,
			struct server_request *request)
{
	guint64 from = argument_number(request, "from", 1);
	int64_t wait_us =
		(int64_t)argument_number(request, "wait_ms", 0) * USEC_PER_MSEC;

	if (mode == LOG_SLOW)
		delay_reply(platform, request, from, SLOW_US, FALSE);
	else if (from <= platform->records->len || !wait_us)
		reply_records(platform, request, from);
	else
		delay_reply(platform, request, from, wait_us, TRUE);
}

static void apply_due_changes(struct platform *platform)
{
	int64_t now_us = g_get_monotonic_time();

	while (platform->future_changes->len) {
		struct change *change = platform->future_changes->pdata[0];

		if (change->at_us > now_us)
			return;
		platform->list_version++;
		if (!strcmp(change->state, "gone"))
			g_tree_remove(platform->instances, change->name);
		else
			g_tree_insert(platform->instances,
				      g_strdup(change->name),
				      g_strdup(change->state));
		g_free(change->name);
		g_free(change->state);
		g_free(change);
		g_ptr_array_remove_index(platform->future_changes, 0);
	}
}

static gint compare_changes(gconstpointer a, gconstpointer b)
{
	const struct change *const *left = a;
	const struct change *const *right = b;

	return (*left)->at_us < (*right)->at_us
		       ? -1
		       : (*left)->at_us > (*right)->at_us;
}

static void schedule_change(struct platform *platform, const char *name,
			    const char *state, int64_t after_us)
{
	struct change *change = g_new0(struct change, 1);

	change->name = g_strdup(name);
	change->state = g_strdup(state);
	change->at_us = g_get_monotonic_time() + platform->lag_us + after_us;
	g_ptr_array_add(platform->future_changes, change);
	g_ptr_array_sort(platform->future_changes, compare_changes);
}

static gboolean add_instance(gpointer key, gpointer value, gpointer data)
{
	json_array_append_new(data, json_pack("{s:s,s:s}", "name", (char *)key,
					      "state", (char *)value));
	return FALSE;
}

static void handle_list(struct platform *platform,
			struct server_request *request)
{
	json_t *instances = json_array();
	char *etag;

	apply_due_changes(platform);
	etag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"",
			       platform->list_version);
	if (!g_strcmp0(server_argument(request, "If-None-Match"), etag)) {
		server_reply(request, MHD_HTTP_NOT_MODIFIED, "text/plain", "",
			     0);
		server_add_header(request, "ETag", etag);
		g_free(etag);
		json_decref(instances);
		return;
	}
	g_tree_foreach(platform->instances, add_instance, instances);
	reply_json(request, MHD_HTTP_OK,
		   json_pack("{s:o}", "instances", instances));
	server_add_header(request, "ETag", etag);
	g_free(etag);
}

/* POST /instances/NAME/reboot?drain=ID: ignored unless ID has increased. */
static void handle_reboot(struct platform *platform,
			  struct server_request *request)
{
	char **parts = g_strsplit(request->path, "/", 0);

	guint64 drain = argument_number(request, "drain", 0);
	guint64 *last_drain;

	if (g_strv_length(parts) == 4 && !strcmp(parts[3], "reboot")) {
		last_drain = g_tree_lookup(platform->drains, parts[2]);
		if (last_drain && drain <= *last_drain) {
			reply_json(request, MHD_HTTP_OK, json_object());
			g_strfreev(parts);
			return;
		}
		g_tree_insert(platform->drains, g_strdup(parts[2]),
			      g_memdup2(&drain, sizeof(drain)));
		platform->reboot_count++;
		schedule_change(platform, parts[2], "gone", 0);
		schedule_change(platform, parts[2], "live",
				platform->reboot_us);
		reply_json(request, MHD_HTTP_OK, json_object());
	} else {
		reply_error(request, MHD_HTTP_NOT_FOUND, "no such path");
	}
	g_strfreev(parts);
}

static void set_mode(struct platform *platform, guint64 port_number,
		     const char *name)
{
	for (guint mode = 0; mode < G_N_ELEMENTS(log_modes); mode++) {
		if (strcmp(log_modes[mode], name) != 0)
			continue;
		for (guint i = 0; i < platform->port_count; i++) {
			if (!port_number ||
			    port_number == platform->first_port + i)
				platform->ports[i].mode = (enum log_mode)mode;
		}
	}
}

static void handle_control(struct platform *platform,
			   struct server_request *request)
{
	const char *mode = server_argument(request, "log");
	const char *name = server_argument(request, "name");
	const char *state = server_argument(request, "state");

	if (mode)
		set_mode(platform, argument_number(request, "port", 0), mode);
	if (name && state)
		schedule_change(platform, name, state, 0);
	platform->keep_count =
		argument_number(request, "keep", platform->keep_count);
	reply_json(request, MHD_HTTP_OK,
		   json_pack("{s:I,s:I,s:I}", "appends",
			     (json_int_t)platform->append_count, "records",
			     (json_int_t)platform->records->len, "reboots",
			     (json_int_t)platform->reboot_count));
}

static void on_request(struct server_request *request, void *data)
{
	struct port *port = data;
	struct platform *platform = port->platform;

	if (!strcmp(request->path, "/control"))
		handle_control(platform, request);
	else if (port->mode == LOG_DOWN)
		server_abort(request);
	else if (!strcmp(request->path, "/append"))
		handle_append(platform, port->mode, request);
	else if (!strcmp(request->path, "/read"))
		handle_read(platform, port->mode, request);
	else if (!strcmp(request->path, "/instances"))
		handle_list(platform, request);
	else if (g_str_has_prefix(request->path, "/instances/"))
		handle_reboot(platform, request);
	else
		reply_error(request, MHD_HTTP_NOT_FOUND, "no such path");
}

static const struct argp_option options[] = {
	{ "port", 'p', "N", 0, "First port", 0 },
	{ "ports", 'n', "N", 0, "Number of ports, one per data centre", 0 },
	{ "keep", 'k', "N", 0, "Records retained", 0 },
	{ "rate", 'r', "N", 0, "Appends per second", 0 },
	{ "lag-ms", 'l', "N", 0, "Lag of the list", 0 },
	{ "reboot-ms", 'b', "N", 0, "Time of a reboot", 0 },
	{ "names", 'f', "FILE", 0, "Names of live instances, one per line", 0 },
	{ 0 },
};

static void read_names(struct platform *platform, const char *path)
{
	gchar *text = NULL;
	gchar **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("standin: %s can't be read", path);
	lines = g_strsplit(text, "\n", -1);
	for (guint i = 0; lines[i]; i++) {
		if (lines[i][0])
			g_tree_insert(platform->instances, g_strdup(lines[i]),
				      g_strdup("live"));
	}
	g_strfreev(lines);
	g_free(text);
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct platform *platform = state->input;

	switch (key) {
	case 'p':
		platform->first_port = (guint16)atoi(arg);
		return 0;
	case 'n':
		platform->port_count =
			CLAMP((guint)atoi(arg), 1, PORTS_MAX_COUNT);
		return 0;
	case 'k':
		platform->keep_count = g_ascii_strtoull(arg, NULL, 10);
		return 0;
	case 'r':
		platform->rate_per_s = atof(arg);
		return 0;
	case 'l':
		platform->lag_us = atoi(arg) * USEC_PER_MSEC;
		return 0;
	case 'b':
		platform->reboot_us = atoi(arg) * USEC_PER_MSEC;
		return 0;
	case 'f':
		read_names(platform, arg);
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

static gint compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

int main(int argc, char **argv)
{
	static struct platform platform = {
		.port_count = 1,
		.first_port = 7000,
		.keep_count = 100000,
		.lag_us = 200 * USEC_PER_MSEC,
		.reboot_us = 500 * USEC_PER_MSEC,
		.rate_per_s = 300.,
	};
	const struct argp argp = { .options = options, .parser = parse };
	ev_signal signal_watcher;

	platform.loop = ev_default_loop(EVFLAG_AUTO);
	platform.records =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	platform.pending = g_ptr_array_new_with_free_func(g_free);
	platform.future_changes = g_ptr_array_new();
	platform.instances =
		g_tree_new_full(compare_names, NULL, g_free, g_free);
	platform.drains = g_tree_new_full(compare_names, NULL, g_free, g_free);
	argp_parse(&argp, argc, argv, 0, NULL, &platform);
	ev_timer_init(&platform.timer, on_timer, 0., 0.);
	platform.timer.data = &platform;
	platform.tokens_at_us = g_get_monotonic_time();
	for (guint i = 0; i < platform.port_count; i++) {
		platform.ports[i].platform = &platform;
		platform.ports[i].server = server_new(
			platform.loop, (uint16_t)(platform.first_port + i), 0,
			on_request, &platform.ports[i]);
	}
	ev_signal_init(&signal_watcher, on_signal, SIGTERM);
	ev_signal_start(platform.loop, &signal_watcher);
	ev_run(platform.loop, 0);
	return 0;
}
