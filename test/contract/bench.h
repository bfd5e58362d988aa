#ifndef CONTRACT_BENCH_H
#define CONTRACT_BENCH_H

/*
 * One I/O plug-in in a real kernel on a real loop, and the events that it
 * emitted. A test runs the loop until an expected event was emitted.
 */

#include "contract/fake_http.h"
#include "kernel/kernel.h"
#include "kernel/loop.h"

struct bench {
	struct settings *settings;
	struct kernel *kernel;
	struct loop *loop;
	struct ev_loop *ev;
	GPtrArray *events; /* of struct event, in order */
	uint32_t seen_counts[EVENT_TYPE_COUNT];
	enum event_type until_type; /* the loop stops at until_count of it */
	uint32_t until_count;
	struct plugin probe;
};

struct bench *bench_new(const char *entry);

/* Starts a plug-in; the settings must be complete. */
void bench_start(struct bench *bench, enum plugin_kind kind, const char *name);
void bench_free(struct bench *bench);

/* Emits an event; takes ownership of what it points to. */
void bench_emit(struct bench *bench, const struct event *event);

/* Runs until count events of a type were seen since the start. */
void bench_run(struct bench *bench, enum event_type type, uint32_t count);

/* The event of a type at an index; NULL past the last. */
const struct event *bench_event(const struct bench *bench, enum event_type type,
				uint32_t index);

#endif
