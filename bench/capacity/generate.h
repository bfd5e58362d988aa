#ifndef CAPACITY_GENERATE_H
#define CAPACITY_GENERATE_H

/*
 * Generates the declarations of a fleet of any size, deterministically: one
 * file for each member with its pools, instances and services.
 */

#include <glib.h>

#include "capacity/sim.h"

/* YAML text of one member's file; caller frees. */
char *generate_member(const struct size *size, uint32_t member);

/* YAML text of the whole fleet as one file; caller frees. */
char *generate_all(const struct size *size);

/* Of struct decl *: one for each member. */
GPtrArray *generate_files(const struct size *size);

/* A wave over all pools, as a separate file. */
struct decl *generate_wave(const struct size *size);

#endif
