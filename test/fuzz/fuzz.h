#ifndef FUZZ_FUZZ_H
#define FUZZ_FUZZ_H

/* Interface between the driver and the fuzz targets. */

#include "core/fleet.h"

/* Each target defines fuzz_target, which the driver calls. */
struct fuzz_target {
	void (*run)(const uint8_t *data, size_t size_bytes);
	/* Writes the initial corpus; NULL: the corpus is written by hand. */
	void (*seed)(const char *folder);
};

extern const struct fuzz_target fuzz_target;

/* Prints the property and aborts if it does not hold. */
void fuzz_check(bool holds, const char *property);

void fuzz_seed_write(const char *folder, const char *name, GBytes *bytes);

/*
 * A state at offset FUZZ_FLEET_OFFSET: the entry "e1" with incarnation 1 has
 * joined, and the file "a.yaml" was applied.
 */
#define FUZZ_FLEET_OFFSET 2
#define FUZZ_WALL_US (INT64_C(1796000000) * USEC_PER_SEC)

struct fleet *fuzz_fleet_new(void);

/* Checks that a snapshot of the state decodes to an equal state. */
void fuzz_check_snapshot(const struct fleet *fleet);

#endif
