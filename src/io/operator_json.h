#ifndef IO_OPERATOR_JSON_H
#define IO_OPERATOR_JSON_H

/* JSON of the operator interface. */

#include <jansson.h>

#include "io/operator_apply.h"
#include "kernel/kernel.h"

/* Selects entries of the timeline; 0 and NULL match all. */
struct timeline_filter {
	uint64_t request_id;
	uint64_t offset;
	const char *instance;
	const char *pool;
};

json_t *operator_status_json(struct kernel *kernel, bool draining);
json_t *operator_timeline_json(struct kernel *kernel,
			       const struct timeline_filter *filter);
json_t *operator_apply_json(const struct apply *apply);

/* The changes of a dry run, with the current text of each file. */
json_t *operator_dry_run_json(const struct apply *apply,
			      const struct fleet *fleet);

/* {"outcome":"rejected","reasons":[...]}; errors: of char *. */
json_t *operator_errors_json(const GPtrArray *errors);

/*
 * Parses the body of an apply request into apply. Adds one message for each
 * error to errors (of char *).
 */
void operator_apply_parse(GBytes *body, struct apply *apply, bool *dry_run,
			  GPtrArray *errors);

#endif
