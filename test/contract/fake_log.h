#ifndef CONTRACT_FAKE_LOG_H
#define CONTRACT_FAKE_LOG_H

/* Stands in for the proposer and the log behind the operator interface. */

#include "contract/contract.h"

enum log_mode {
	LOG_ACCEPTS,
	LOG_DROPS,    /* certainly not in the log */
	LOG_SILENT,   /* no outcome */
	LOG_CONFLICT, /* another operator's change comes first */
};

struct fake_log {
	struct contract *contract;
	enum log_mode mode;
	uint32_t proposed_count;
	struct record *silent; /* kept in LOG_SILENT */
	uint32_t drain_count;
};

void fake_log_start(struct fake_log *log, struct contract *contract);

/* Makes the record the next one that is read from the log. */
void fake_log_append(struct fake_log *log, struct record *record);

#endif
