#ifndef IO_OPERATOR_APPLY_H
#define IO_OPERATOR_APPLY_H

/*
 * One operator's change of configuration: checks declaration files against
 * the files in force and proposes a record for each, one after the other.
 */

#include "kernel/kernel.h"

#define APPLY_TIMEOUT_US (10 * USEC_PER_SEC)

enum apply_outcome {
	APPLY_NOT_PROPOSED,
	APPLY_PROPOSED,
	APPLY_ACCEPTED,
	APPLY_REJECTED,
	APPLY_UNKNOWN, /* not seen in the log within APPLY_TIMEOUT_US */
	APPLY_OUTCOME_COUNT,
};

struct apply_file {
	char name[NAME_SIZE_BYTES];
	struct decl *decl;    /* NULL: remove the file */
	uint64_t base_offset; /* of the version that it replaces; 0: none */
	enum apply_outcome outcome;
	uint64_t offset; /* accepted: of the record */
	char reason[REASON_SIZE_BYTES];
};

struct apply;

/* done: called once, from apply_start() or apply_handle(). */
struct apply *apply_new(struct kernel *kernel,
			void (*done)(void *data, struct apply *apply),
			void *data);
void apply_free(struct apply *apply);

/*
 * Adds a file and takes ownership of decl; NULL removes the file. base_offset
 * NULL stands for the version in force now. Returns false, and frees decl, if
 * the name was added before.
 */
bool apply_add(struct apply *apply, const char *name, struct decl *decl,
	       const uint64_t *base_offset);

/*
 * Checks all files together with those in force. Adds one message for each
 * error to errors (of char *). Returns whether there is none.
 */
bool apply_check(const struct apply *apply, GPtrArray *errors);

void apply_start(struct apply *apply, int64_t now_us);

/* Handles EVENT_WAKE, EVENT_FLEET_CHANGED and EVENT_PROPOSAL_DROPPED. */
void apply_handle(struct apply *apply, const struct event *event);

/* Of struct apply_file, in the order in which they were added. */
const GPtrArray *apply_files(const struct apply *apply);

/* Accepted if all files were, otherwise that of the first that was not. */
enum apply_outcome apply_outcome(const struct apply *apply);

const char *apply_outcome_name(enum apply_outcome outcome);

#endif
