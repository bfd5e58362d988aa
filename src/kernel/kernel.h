#ifndef KERNEL_KERNEL_H
#define KERNEL_KERNEL_H

/*
 * The kernel: the event bus, the clock, the wake-up deadline and the running
 * plug-ins. It knows no plug-in by name and does no I/O itself; a driver (the
 * libev loop or the test script runner) sets the time and runs it.
 */

#include "core/endpoint_table.h"
#include "core/event.h"
#include "core/fleet.h"
#include "jobs/queues.h"
#include "jobs/table.h"
#include "kernel/counter.h"
#include "kernel/plugin.h"
#include "kernel/request.h"
#include "kernel/settings.h"
#include "kernel/timeline.h"

struct ev_loop;
struct kernel;

/*
 * settings: not copied, must outlive the kernel. incarnation: increases with
 * each start of the same entry instance. seed: for the kernel's random number
 * generator.
 */
struct kernel *kernel_new(const struct settings *settings, uint64_t incarnation,
			  uint32_t seed);
void kernel_free(struct kernel *kernel);

/* Starts one plug-in. Logs an error and returns false if its init fails. */
bool kernel_start_plugin(struct kernel *kernel, const struct plugin *plugin);

/* Starts a plug-in with state created by the caller; init is not called. */
void kernel_start_plugin_with(struct kernel *kernel,
			      const struct plugin *plugin, void *self);

/*
 * Starts the plug-ins of a kind: the one that the settings select, or all if
 * the kind is not exclusive.
 */
bool kernel_start_kind(struct kernel *kernel, enum plugin_kind kind);

/*
 * Function table of the plug-in that the settings select for an exclusive kind.
 * Never NULL for a kind that has a preferred plug-in.
 */
const void *kernel_ops(const struct kernel *kernel, enum plugin_kind kind);

/* Queues an event with a message of src/jobs/msg.h; takes ownership of it. */
void kernel_emit_msg(struct kernel *kernel, enum event_type type, void *msg);

/* Queues an event; takes ownership of everything that the event owns. */
void kernel_emit(struct kernel *kernel, const struct event *event);

/*
 * Like kernel_emit(), but puts the event at the front of the queue, so that no
 * event delivered before it can make its content stale.
 */
void kernel_emit_front(struct kernel *kernel, const struct event *event);

/*
 * A wake-up this long after the deadline means that the process was paused. A
 * shorter pause goes undetected, so whoever takes over from a process must
 * allow for one.
 */
#define KERNEL_PAUSE_MIN_US (5 * USEC_PER_SEC)

/*
 * Longest time for which a process may act without noticing that it was paused,
 * with some slack. Others wait this much longer for what it may still do.
 */
#define KERNEL_PAUSE_MARGIN_US (KERNEL_PAUSE_MIN_US + USEC_PER_SEC)

/*
 * Sets both clocks: now_us is monotonic, wall_us is Unix time. After a pause,
 * EVENT_RESUMED is queued before all pending events.
 */
void kernel_set_time(struct kernel *kernel, int64_t now_us, int64_t wall_us);

/* Delivers all queued events, and EVENT_WAKE if the deadline has passed. */
void kernel_run(struct kernel *kernel);

/*
 * Calls a function for each running plug-in with the time that it has spent
 * handling events since the last call, and with the kernel's counters.
 */
void kernel_collect_busy_times(struct kernel *kernel,
			       void (*collect)(void *data,
					       const struct plugin *plugin,
					       int64_t busy_ns,
					       struct counters *counters),
			       void *data);

int64_t kernel_now_us(const struct kernel *kernel);
int64_t kernel_wall_us(const struct kernel *kernel);

/*
 * Requests EVENT_WAKE at a deadline on the monotonic clock. Only the earliest
 * deadline of all plug-ins is kept, so a plug-in whose deadline is still ahead
 * requests it again on each EVENT_WAKE.
 */
void kernel_wake_at(struct kernel *kernel, int64_t deadline_us);

/* Earliest requested deadline, or DEADLINE_NEVER_US. */
int64_t kernel_next_wake_us(const struct kernel *kernel);

const struct settings *kernel_settings(const struct kernel *kernel);
uint64_t kernel_incarnation(const struct kernel *kernel);

/* Replicated state. Only the replay plug-in changes it. */
struct fleet *kernel_fleet(struct kernel *kernel);

/* Replaces the replicated state by a decoded snapshot; takes ownership. */
void kernel_set_fleet(struct kernel *kernel, struct fleet *fleet);

/*
 * Jobs as recorded in the store. Changed by the apply plug-in and, in the
 * instance that holds the jobs' lease, by the scheduler.
 */
struct job_table *kernel_jobs(struct kernel *kernel);

/* Latest queue configuration; NULL until one has been read. */
const struct queues *kernel_queues(const struct kernel *kernel);

/* Takes ownership of a reference; NULL is ignored. */
void kernel_set_queues(struct kernel *kernel, struct queues *queues);

/* Whether this entry instance should receive requests from callers. */
bool kernel_is_ready(const struct kernel *kernel);
void kernel_set_ready(struct kernel *kernel, bool ready);

struct endpoint_table *kernel_endpoints(struct kernel *kernel);
struct request_table *kernel_requests(struct kernel *kernel);
struct counters *kernel_counters(struct kernel *kernel);
struct timeline *kernel_timeline(struct kernel *kernel);
GRand *kernel_random(struct kernel *kernel);

/* The libev loop that drives the kernel, or NULL under the script runner. */
struct ev_loop *kernel_loop(struct kernel *kernel);
void kernel_set_loop(struct kernel *kernel, struct ev_loop *loop);

/* State of a running plug-in; NULL if no such plug-in is running. */
void *kernel_plugin_self(struct kernel *kernel, enum plugin_kind kind,
			 const char *name);

#endif
