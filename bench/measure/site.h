#ifndef MEASURE_SITE_H
#define MEASURE_SITE_H

/*
 * Simulates an example deployment in virtual time: the real decision plug-ins
 * of all its entry instances, with fake clients, links and endpoints.
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

/* Policy plug-ins of a run; NULL selects the default. */
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

/* The requests of one service. */
struct stream {
	const struct decl_service *service;
	uint32_t queue; /* index of its pool among the site's queues */
	double share;	/* fraction of the queue's rate */
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
	int64_t tally_from_us; /* earlier requests are not tallied */
	void *random;
};

/* Of every request; one of at most 250 ms may use a lent slot. */
#define SERVICE_US (100 * USEC_PER_MSEC)

/*
 * Starts all entry instances, applies the declarations with spare_count spare
 * instances, and runs until a planner may commit. Returns NULL on error.
 */
struct site *site_new(const struct deployment *deployment,
		      const struct variant *variant, uint32_t spare_count,
		      uint32_t seed);
void site_free(struct site *site);

/* Requests per second that the pool of a queue can serve. */
double site_capacity(const struct site *site, uint32_t queue);

/* Runs with a rate, in requests per second, for each stream. */
void site_run(struct site *site, const double *stream_rates,
	      int64_t duration_us);

/* Declares a wave over all pools. */
void site_start_wave(struct site *site, uint32_t parallel_count);

uint32_t site_instance_count(const struct site *site);

void site_reset_tallies(struct site *site);

#endif
