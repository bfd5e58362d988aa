#ifndef IO_TOKEN_H
#define IO_TOKEN_H

/* The operators' bearer token, and the relay header's value derived from it. */

#include <stdbool.h>

/* Reads a token file. NULL on failure, after logging the cause. */
char *token_read(const char *path);

/* Compares in a time that does not depend on where the strings differ. */
bool token_equal(const char *given, const char *token);

/*
 * Returns the value of the Pl-Relay header, an HMAC by which an entry instance
 * recognises requests that another one has relayed. All entry instances share
 * the token; callers lack it, so that they can't bypass the quota and the
 * claim of their idempotency key.
 */
char *token_relay_mac(const char *token);

#endif
