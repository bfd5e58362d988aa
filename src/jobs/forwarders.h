#ifndef JOBS_FORWARDERS_H
#define JOBS_FORWARDERS_H

/*
 * The entry instances that may forward orders of the holder to workers, and
 * which of them forwards to which worker. A worker stays with its forwarder, so
 * that the connections between the two are reused. Forwarders are preferred in
 * the data centre of the worker, and by their CPU.
 */

#include "jobs/record.h"

struct forwarder {
	char entry[NAME_SIZE_BYTES];
	char address[ADDRESS_SIZE_BYTES];
	char dc[NAME_SIZE_BYTES];
	uint32_t cpu_milli;
	uint32_t busy_percent;	/* of its loop, in its last answer */
	uint32_t workers_count; /* assigned to it */
	int64_t probed_us;	/* oldest probe without an answer; 0: none */
	int64_t next_probe_us;
	int64_t ready_until_us;	 /* its last answer is too old after this */
	int64_t avoid_until_us;	 /* after a failure */
	uint32_t failures_count; /* since the last answer */
};

struct forwarders;

struct forwarders *forwarders_new(const char *own_entry);
void forwarders_free(struct forwarders *forwarders);

/* Adds or updates an entry instance from its record. */
void forwarders_add(struct forwarders *forwarders,
		    const struct job_record *record);

/* Forgets all assignments and answers. */
void forwarders_reset(struct forwarders *forwarders);

/*
 * Returns those that are to be probed now (of struct forwarder): the few best
 * of each data centre. Caller frees the array only.
 */
GPtrArray *forwarders_to_probe(struct forwarders *forwarders, int64_t now_us);

/* The forwarder of a worker, by its interned id; NULL: send it directly. */
struct forwarder *forwarders_choose(struct forwarders *forwarders,
				    const char *worker, const char *dc,
				    int64_t now_us);

struct forwarder *forwarders_find(const struct forwarders *forwarders,
				  const char *address);

void forwarder_answered(struct forwarder *forwarder, uint32_t busy_percent,
			int64_t now_us);
void forwarder_failed(struct forwarder *forwarder, int64_t now_us);

/* A worker that did not answer through its forwarder is asked directly. */
void forwarders_bypass(struct forwarders *forwarders, const char *worker,
		       int64_t now_us);

#endif
