#ifndef JOBS_ROSTER_H
#define JOBS_ROSTER_H

/*
 * Which entry instances there are and how much processor time each has. Each
 * writes a record at its start; none is removed, so an entry instance that is
 * listed may have ended.
 */

#include "jobs/record.h"

struct roster;

struct roster *roster_new(void);
void roster_free(struct roster *roster);

void roster_note(struct roster *roster, const struct job_record *record);

/* Share of a processor, in thousandths of a core; 0: not known. */
uint32_t roster_cpu_milli(const struct roster *roster, const char *entry);

/* Whether some entry instance has clearly more than this. */
bool roster_has_stronger(const struct roster *roster, uint32_t cpu_milli);

/* Whether the first share is clearly more; an unknown share never is. */
bool roster_is_stronger(uint32_t cpu_milli, uint32_t than_milli);

#endif
