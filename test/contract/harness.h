#ifndef CONTRACT_HARNESS_H
#define CONTRACT_HARNESS_H

/*
 * One I/O plug-in in a real kernel on a real loop, and the events that it
 * emitted. A test runs the loop until an expected event was emitted.
 */

#include "contract/fake_http.h"
#include "kernel/kernel.h"
#include "kernel/loop.h"

struct harness {
	struct settings *settings;
	struct kernel *kernel;
	struct loop *loop;
	struct ev_loop *ev;
	GPtrArray *events; /* of struct event, in order */
	uint32_t seen_counts[EVENT_TYPE_COUNT];
	enum event_type until_type; /* the loop stops at until_count */
	uint32_t until_count;
	struct plugin probe;
};

struct harness *harness_new(const char *entry);

/* Starts a plug-in; the settings must be complete. */
void harness_start(struct harness *harness, enum plugin_kind kind,
		   const char *name);
void harness_free(struct harness *harness);

/* Emits an event; takes ownership of what it points to. */
void harness_emit(struct harness *harness, const struct event *event);

/* Runs until count events of a type were seen since the start. */
void harness_run_until(struct harness *harness, enum event_type type,
		       uint32_t count);

/* The event of a type at an index; NULL past the last. */
const struct event *harness_event(const struct harness *harness,
				  enum event_type type, uint32_t index);

#endif
