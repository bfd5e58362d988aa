#ifndef JOBS_PARKING_H
#define JOBS_PARKING_H

/* Table of PLUGIN_PARKING: which machines are moved between pools. */

#include "jobs/sched.h"

struct parking_ops {
	/* Called on the holder a few times a second. */
	void (*tick)(struct sched *sched);
};

#endif
