#ifndef POLICY_MOVES_H
#define POLICY_MOVES_H

/* Policies that decide which instances move between pools. */

#include "policy/plan.h"

struct moves_choice {
	char instance[NAME_SIZE_BYTES];
	char to_pool[NAME_SIZE_BYTES];
};

struct moves_ops {
	void *(*create)(void);
	void (*free)(void *self);
	/* Once a second while the planner lease is held. */
	void (*sample)(void *self, const struct plan_view *view);
	/* A move_start of any planner was accepted. */
	void (*note)(void *self, const struct plan_view *view,
		     const struct record *record);
	/* The next move to start; false if there is none now. */
	bool (*choose)(void *self, const struct plan_view *view,
		       struct moves_choice *choice);
	/* Whether the reason of a move in progress still stands. */
	bool (*wanted)(void *self, const struct plan_view *view,
		       const struct fleet_instance *instance);
};

#endif
