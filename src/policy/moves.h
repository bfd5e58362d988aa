#ifndef POLICY_MOVES_H
#define POLICY_MOVES_H

/* Policies for moving instances between pools. */

#include "policy/plan.h"

struct moves_choice {
	char instance[NAME_SIZE_BYTES];
	char to_pool[NAME_SIZE_BYTES];
};

struct moves_ops {
	void *(*create)(void);
	void (*free)(void *self);
	/* Called once a second while the planner lease is held. */
	void (*sample)(void *self, const struct plan_view *view);
	/* Called when a move_start record of any planner was accepted. */
	void (*move_started)(void *self, const struct plan_view *view,
			     const struct record *record);
	/* Sets the next move to start; returns false if there is none now. */
	bool (*choose)(void *self, const struct plan_view *view,
		       struct moves_choice *choice);
	/* Whether a move in progress is still needed. */
	bool (*still_needed)(void *self, const struct plan_view *view,
			     const struct fleet_instance *instance);
};

#endif
