#ifndef POLICY_WAVES_H
#define POLICY_WAVES_H

/* Policies for the order of instances in maintenance waves. */

#include "policy/plan.h"

struct waves_ops {
	void *(*create)(void);
	void (*free)(void *self);
	/* Called once a second while the planner lease is held. */
	void (*sample)(void *self, const struct plan_view *view);
	/* Returns the next instance of a wave to drain, or NULL for now. */
	const struct fleet_instance *(*choose)(void *self,
					       const struct plan_view *view,
					       const struct fleet_wave *wave);
};

#endif
