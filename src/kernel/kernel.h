#ifndef KERNEL_KERNEL_H
#define KERNEL_KERNEL_H

/*
 * The kernel: the event bus, the clock, stored wake-up deadlines and the
 * running plug-ins. It knows no plug-in by name, and does no input or output
 * itself; a driver (the libev loop or the script runner) advances it.
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
 * settings: kept by reference, must outlive the kernel. incarnation: higher
 * for each later start of the same entry instance. seed: of the kernel's
 * random numbers.
 */
struct kernel *kernel_new(const struct settings *settings, uint64_t incarnation,
			  uint32_t seed);
void kernel_free(struct kernel *kernel);

/* Starts one plug-in. Returns false, after logging, if it fails to start. */
bool kernel_start_plugin(struct kernel *kernel, const struct plugin *plugin);

/* Starts a plug-in whose state the caller has made; init is not called. */
void kernel_start_plugin_with(struct kernel *kernel,
			      const struct plugin *plugin, void *self);

/* Starts the plug-ins of a kind that the settings select. */
bool kernel_start_kind(struct kernel *kernel, enum plugin_kind kind);

/* The chosen table of a policy kind; never NULL for a registered kind. */
const void *kernel_ops(const struct kernel *kernel, enum plugin_kind kind);

/* Emits an event that carries a message of src/jobs/msg.h; takes it over. */
void kernel_emit_msg(struct kernel *kernel, enum event_type type, void *msg);

/* Queues an event and takes over what it owns. */
void kernel_emit(struct kernel *kernel, const struct event *event);

/*
 * Like kernel_emit(), but before the events that are queued already, so that
 * what it reports is still true when it is delivered.
 */
void kernel_emit_next(struct kernel *kernel, const struct event *event);

/*
 * A process that wakes so long after a stored deadline was paused. Others that
 * took its place must allow for a shorter pause, which it does not notice.
 */
#define KERNEL_PAUSE_US (5 * USEC_PER_SEC)

/*
 * Sets both clocks. now_us is monotonic, wall_us counts from 1970 in UTC.
 * After a pause, EVENT_RESUMED comes before the events that have piled up.
 */
void kernel_set_time(struct kernel *kernel, int64_t now_us, int64_t wall_us);

/* Delivers queued events, and EVENT_WAKE if a deadline has passed. */
void kernel_run(struct kernel *kernel);

/*
 * Hands the time that each plug-in has spent on events since the last call to
 * a function, with the kernel's counters.
 */
void kernel_take_busy(struct kernel *kernel,
		      void (*take)(void *data, const struct plugin *plugin,
				   int64_t busy_ns, struct counters *counters),
		      void *data);

int64_t kernel_now_us(const struct kernel *kernel);
int64_t kernel_wall_us(const struct kernel *kernel);

/*
 * Asks for EVENT_WAKE at a deadline of the monotonic clock. Only the earliest
 * deadline is kept: a plug-in asks again on each EVENT_WAKE.
 */
void kernel_wake_at(struct kernel *kernel, int64_t deadline_us);

/* Earliest stored deadline, or DEADLINE_NEVER_US. */
int64_t kernel_next_wake_us(const struct kernel *kernel);

const struct settings *kernel_settings(const struct kernel *kernel);
uint64_t kernel_incarnation(const struct kernel *kernel);

/* Replicated state. Only the replay plug-in changes it. */
struct fleet *kernel_fleet(struct kernel *kernel);

/* Replaces the replicated state by a snapshot; takes it over. */
void kernel_set_fleet(struct kernel *kernel, struct fleet *fleet);

/* Jobs as the store keeps them. Changed by apply, and by the holder. */
struct job_table *kernel_jobs(struct kernel *kernel);

/* Newest configuration of queues; NULL until one was read. */
const struct queues *kernel_queues(const struct kernel *kernel);

/* Takes over a reference; NULL is ignored. */
void kernel_set_queues(struct kernel *kernel, struct queues *queues);

/* Whether this entry instance should get callers' work. */
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

/* The running plug-in of a kind, by name; NULL if it is not running. */
void *kernel_plugin_self(struct kernel *kernel, enum plugin_kind kind,
			 const char *name);

#endif
