#ifndef IO_TOKEN_H
#define IO_TOKEN_H

/* The operators' bearer token, and what is derived from it. */

#include <stdbool.h>

/* Reads a token file. NULL on failure, after logging the cause. */
char *token_read(const char *path);

/* Takes the same time wherever the two differ. */
bool token_equal(const char *given, const char *token);

/*
 * The value of the Pl-Relay header, by which an entry instance knows a request
 * that another one has passed on. All entry instances have the same token; a
 * caller, who lacks it, can't skip the quota and the claim of its key.
 */
char *token_relay_mark(const char *token);

#endif
