/* The serve command: runs one entry instance until it has drained. */

#include <argp.h>
#include <curl/curl.h>
#include <ev.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "cmd/command.h"
#include "cmd/heap.h"
#include "kernel/clock.h"
#include "kernel/kernel.h"
#include "kernel/klog.h"
#include "kernel/loop.h"

#define LOG_PREFIX "serve"
/* Time after the drain deadline to reply to unfinished requests. */
#define REPLY_GRACE_US (2 * USEC_PER_SEC)
/* Time after the last reply to append a leave record to the log. */
#define LEAVE_MAX_US (10 * USEC_PER_SEC)

struct serve {
	struct settings *settings;
	struct kernel *kernel;
	struct loop *loop;
	ev_signal signals[2];
	ev_timer exit_timer;	  /* armed for exit_deadline_us */
	int64_t exit_deadline_us; /* exits then in any case; 0: not draining */
	bool signalled;
	bool drained;
};

static const int shutdown_signals[] = { SIGTERM, SIGINT };

static const enum plugin_kind started_kinds[] = {
	PLUGIN_DECIDE, PLUGIN_FRONT, PLUGIN_ENDPOINT,
	PLUGIN_LOG,    PLUGIN_LIST,  PLUGIN_PEER,
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	const char **path = state->input;

	switch (key) {
	case 's':
		*path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!*path)
			argp_error(state, "--settings is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void set_exit_deadline(struct serve *serve, int64_t exit_deadline_us)
{
	struct ev_loop *ev = kernel_loop(serve->kernel);
	int64_t left_us = MAX(exit_deadline_us - clock_now_us(), 0);

	serve->exit_deadline_us = exit_deadline_us;
	ev_timer_stop(ev, &serve->exit_timer);
	ev_now_update(ev);
	ev_timer_set(&serve->exit_timer, (double)left_us / (double)USEC_PER_SEC,
		     0.);
	ev_timer_start(ev, &serve->exit_timer);
}

static void emit_drain(struct serve *serve, int64_t deadline_us)
{
	struct event event = { .type = EVENT_DRAIN };

	event.drain.deadline_us = deadline_us;
	kernel_emit(serve->kernel, &event);
}

static void on_signal(struct ev_loop *ev, ev_signal *watcher, int revents)
{
	struct serve *serve = watcher->data;
	int64_t now_us = clock_now_us();

	(void)ev;
	(void)revents;
	if (serve->signalled) {
		klog_warn(LOG_PREFIX,
			  "second signal: ending unfinished requests");
		emit_drain(serve, now_us);
		if (serve->drained)
			loop_stop(serve->loop);
		return;
	}
	serve->signalled = true;
	klog_info(LOG_PREFIX, "signal %d: draining", watcher->signum);
	/* An operator's drain command keeps its own deadline. */
	if (!serve->exit_deadline_us)
		emit_drain(serve, now_us + serve->settings->drain_us);
}

static void on_exit_timer(struct ev_loop *ev, ev_timer *watcher, int revents)
{
	struct serve *serve = watcher->data;

	(void)ev;
	(void)revents;
	klog_warn(LOG_PREFIX, "timeout: exiting before %s",
		  serve->drained ? "the leave record was read back"
				 : "all requests have finished");
	loop_stop(serve->loop);
}

static void serve_handle(void *self, const struct event *event)
{
	struct serve *serve = self;

	switch (event->type) {
	case EVENT_DRAIN:
		if (!serve->drained)
			set_exit_deadline(serve, event->drain.deadline_us +
							 REPLY_GRACE_US);
		break;
	case EVENT_DRAINED:
		klog_info(LOG_PREFIX, "drained");
		serve->drained = true;
		set_exit_deadline(serve, clock_now_us() + LEAVE_MAX_US);
		break;
	default:
		klog_info(LOG_PREFIX, "left the fleet");
		loop_stop(serve->loop);
		break;
	}
}

static const struct plugin shutdown_plugin = {
	.name = "serve",
	.kind = PLUGIN_FRONT,
	.subscriptions = EVENT_BIT(EVENT_DRAIN) | EVENT_BIT(EVENT_DRAINED) |
			 EVENT_BIT(EVENT_LEFT),
	.handle = serve_handle,
};

/* Each caller and each slot of an endpoint needs a file descriptor. */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	if (setrlimit(RLIMIT_NOFILE, &limit) != 0)
		klog_warn(LOG_PREFIX, "cannot raise the file descriptor limit");
}

static void start_signals(struct serve *serve)
{
	struct ev_loop *ev = kernel_loop(serve->kernel);

	for (gsize i = 0; i < G_N_ELEMENTS(shutdown_signals); i++) {
		ev_signal_init(&serve->signals[i], on_signal,
			       shutdown_signals[i]);
		serve->signals[i].data = serve;
		ev_signal_start(ev, &serve->signals[i]);
	}
	ev_timer_init(&serve->exit_timer, on_exit_timer, 0., 0.);
	serve->exit_timer.data = serve;
}

static bool start_plugins(struct serve *serve)
{
	for (gsize i = 0; i < G_N_ELEMENTS(started_kinds); i++) {
		if (!kernel_start_kind(serve->kernel, started_kinds[i]))
			return false;
	}
	kernel_start_plugin_with(serve->kernel, &shutdown_plugin, serve);
	return true;
}

static int run(struct serve *serve)
{
	const struct settings *settings = serve->settings;
	uint64_t incarnation = (uint64_t)(g_get_real_time() / USEC_PER_MSEC);
	int code = EXIT_REJECTED;

	serve->kernel =
		kernel_new(settings, incarnation,
			   settings->seed ? settings->seed : g_random_int());
	serve->loop = loop_new(serve->kernel);
	start_signals(serve);
	if (start_plugins(serve)) {
		kernel_emit(serve->kernel,
			    &(struct event){ .type = EVENT_STARTED });
		loop_run(serve->loop);
		code = serve->drained ? EXIT_DONE : EXIT_UNKNOWN;
	}
	/* The plug-ins stop their watchers, so the loop must still exist. */
	kernel_free(serve->kernel);
	loop_free(serve->loop);
	return code;
}

static int serve_run(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "settings", 's', "FILE", 0, "settings of this process", 0 },
		{ 0 },
	};
	const char *path = NULL;
	const struct argp argp = {
		.options = options,
		.parser = parse,
		.doc = "Runs one entry instance until it has drained.",
	};
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct serve serve = { .settings = NULL };
	int code = EXIT_REJECTED;

	heap_init();
	argp_parse(&argp, argc, argv, 0, NULL, &path);
	serve.settings = settings_load(path, errors);
	for (guint i = 0; i < errors->len; i++)
		fprintf(stderr, "%s\n", (char *)errors->pdata[i]);
	g_ptr_array_unref(errors);
	if (!serve.settings)
		return code;
	klog_init(serve.settings->entry);
	raise_descriptor_limit();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = run(&serve);
	curl_global_cleanup();
	settings_free(serve.settings);
	return code;
}

static const struct command_ops serve_ops = {
	.summary = "run an entry instance",
	.run = serve_run,
};

static const struct plugin serve_plugin = {
	.name = "serve",
	.kind = PLUGIN_COMMAND,
	.ops = &serve_ops,
};

PLUGIN_REGISTER(serve_plugin)
