#ifndef JOBS_ROSTER_H
#define JOBS_ROSTER_H

/*
 * The entry instances and how much CPU each has. Each writes a record when it
 * starts. Records are never removed, so a listed entry instance may have
 * stopped.
 */

#include "jobs/record.h"

struct roster;

struct roster *roster_new(void);
void roster_free(struct roster *roster);

void roster_add(struct roster *roster, const struct job_record *record);

/* CPU of an entry instance, in thousandths of a core; 0: unknown. */
uint32_t roster_cpu_milli(const struct roster *roster, const char *entry);

/* Whether any entry instance has clearly more CPU than this. */
bool roster_any_has_more_cpu(const struct roster *roster, uint32_t cpu_milli);

/* Whether cpu_milli is clearly more; false if than_milli is unknown. */
bool roster_has_more_cpu(uint32_t cpu_milli, uint32_t than_milli);

#endif
