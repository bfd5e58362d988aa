#ifndef MEASURE_SITE_H
#define MEASURE_SITE_H

/*
 * A deployment of the examples in virtual time: the real decision plug-ins of
 * all its entry instances, with fakes that only carry timed events.
 */

#include "runner/world.h"

struct deployment {
	const char *name;
	const char *file; /* of the declarations */
	uint32_t entry_count;
};

enum lending {
	LENDING_NONE,
	LENDING_SPARE, /* the spare pool alone */
	LENDING_DECLARED,
};

/* The policies of a run; NULL: the preferred one. */
struct variant {
	const char *name;
	const char *moves;
	const char *waves;
	const char *admission;
	const char *choice;
	const char *retry;
	enum lending lending;
};

struct tally {
	uint64_t sent_count;
	uint64_t in_time_count;
};

/* One service's requests. */
struct stream {
	const struct decl_service *service;
	uint32_t queue; /* index of its pool among the site's queues */
	double share;	/* of the queue's rate */
	struct tally tally;
};

struct site {
	struct world *world;
	struct decl *decl;
	GPtrArray *queues;  /* of char *: pools that services use */
	GPtrArray *streams; /* of struct stream */
	double *rates;	    /* mean requests per second of each queue */
	uint32_t move_count;
	uint32_t done_count; /* instances maintained */
	uint32_t failed_count;
	int64_t last_list_us;
	int64_t tally_from_us; /* requests since then count */
	void *random;
};

/* Service time of every request; a lent slot takes up to 250 ms. */
#define SERVICE_US (100 * USEC_PER_MSEC)

/*
 * Starts all entry instances and applies the declarations with so many spare
 * instances, then waits until a planner may commit. NULL after an error.
 */
struct site *site_new(const struct deployment *deployment,
		      const struct variant *variant, uint32_t spare_count,
		      uint32_t seed);
void site_free(struct site *site);

/* Requests per second that the pool of a queue can serve. */
double site_capacity(const struct site *site, uint32_t queue);

/* Runs with so many requests per second from each stream. */
void site_run(struct site *site, const double *stream_rates,
	      int64_t duration_us);

/* Declares a wave over all pools. */
void site_start_wave(struct site *site, uint32_t parallel_count);

uint32_t site_instance_count(const struct site *site);

void site_reset_tallies(struct site *site);

#endif
