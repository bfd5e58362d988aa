#include "kernel/loop.h"
#include "kernel/clock.h"
#include "kernel/loop_stats.h"

#include <ev.h>

#include "kernel/decision_log.h"

struct loop {
	struct ev_loop *ev;
	struct kernel *kernel;
	struct loop_stats *stats;
	ev_prepare prepare; /* runs the kernel before the loop blocks */
	ev_check check;	    /* called when the loop wakes */
	ev_timer timer;	    /* armed for the kernel's wake-up deadline */
};

static void run_kernel(struct loop *loop)
{
	kernel_set_time(loop->kernel, clock_now_us(), g_get_real_time());
	kernel_run(loop->kernel);
}

static void arm_timer(struct loop *loop)
{
	int64_t next_us = kernel_next_wake_us(loop->kernel);
	int64_t left_us;

	ev_timer_stop(loop->ev, &loop->timer);
	if (next_us == DEADLINE_NEVER_US)
		return;
	left_us = MAX(next_us - clock_now_us(), 0);
	ev_now_update(loop->ev);
	ev_timer_set(&loop->timer, (double)left_us / (double)USEC_PER_SEC, 0.);
	ev_timer_start(loop->ev, &loop->timer);
}

static void on_prepare(struct ev_loop *ev, ev_prepare *watcher, int revents)
{
	struct loop *loop = watcher->data;

	(void)ev;
	(void)revents;
	run_kernel(loop);
	decision_log_flush();
	arm_timer(loop);
	loop_stats_end_iteration(loop->stats);
}

static void on_check(struct ev_loop *ev, ev_check *watcher, int revents)
{
	struct loop *loop = watcher->data;

	(void)ev;
	(void)revents;
	loop_stats_begin_iteration(loop->stats);
}

static void on_timer(struct ev_loop *ev, ev_timer *watcher, int revents)
{
	(void)ev;
	(void)watcher;
	(void)revents;
	/* The prepare watcher runs next and delivers EVENT_WAKE. */
}

struct loop *loop_new(struct kernel *kernel)
{
	struct loop *loop = g_new0(struct loop, 1);

	loop->ev = ev_loop_new(EVFLAG_AUTO);
	loop->kernel = kernel;
	loop->stats = loop_stats_new(kernel);
	ev_prepare_init(&loop->prepare, on_prepare);
	loop->prepare.data = loop;
	ev_prepare_start(loop->ev, &loop->prepare);
	/* Highest priority: the iteration starts before any socket callback. */
	ev_check_init(&loop->check, on_check);
	ev_set_priority(&loop->check, EV_MAXPRI);
	loop->check.data = loop;
	ev_check_start(loop->ev, &loop->check);
	ev_timer_init(&loop->timer, on_timer, 0., 0.);
	loop->timer.data = loop;
	kernel_set_loop(kernel, loop->ev);
	kernel_set_time(kernel, clock_now_us(), g_get_real_time());
	return loop;
}

void loop_free(struct loop *loop)
{
	if (!loop)
		return;
	ev_prepare_stop(loop->ev, &loop->prepare);
	ev_check_stop(loop->ev, &loop->check);
	ev_timer_stop(loop->ev, &loop->timer);
	ev_loop_destroy(loop->ev);
	loop_stats_free(loop->stats);
	g_free(loop);
}

void loop_run(struct loop *loop)
{
	ev_run(loop->ev, 0);
}

void loop_stop(struct loop *loop)
{
	ev_break(loop->ev, EVBREAK_ALL);
}
