#ifndef JOBS_PARKING_H
#define JOBS_PARKING_H

/* PLUGIN_PARKING: policy that moves machines between pools. */

#include "jobs/sched.h"

struct parking_ops {
	/* Called periodically on the holder, several times a second. */
	void (*tick)(struct sched *sched);
};

#endif
