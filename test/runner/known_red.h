#ifndef RUNNER_KNOWN_RED_H
#define RUNNER_KNOWN_RED_H

#include <stdbool.h>

/*
 * Whether KNOWN-RED.txt lists a script as one that shows an open fault, in a
 * line "test: script NAME, NAME". path: of the .script file.
 */
bool known_red_contains(const char *path);

#endif
