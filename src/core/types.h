#ifndef CORE_TYPES_H
#define CORE_TYPES_H

/* Types, sizes and units shared by the whole program. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define NAME_SIZE_BYTES 64    /* a declared name with its terminating NUL */
#define KEY_SIZE_BYTES 128    /* an idempotency key with its NUL */
#define ADDRESS_SIZE_BYTES 64 /* "IP:port" with its NUL */
#define REASON_SIZE_BYTES 96
#define CONTENT_TYPE_SIZE_BYTES 256 /* a media type with its NUL */
#define METHOD_SIZE_BYTES 16	    /* an HTTP method with its NUL */

#define USEC_PER_MSEC INT64_C(1000)
#define USEC_PER_SEC INT64_C(1000000)
#define NSEC_PER_USEC INT64_C(1000)
#define NSEC_PER_MSEC INT64_C(1000000)
#define NSEC_PER_SEC INT64_C(1000000000)

/* A deadline that never passes. */
#define DEADLINE_NEVER_US INT64_MAX

/* Whether a request may have run at an endpoint. */
enum verdict {
	VERDICT_NONE,	 /* not known yet */
	VERDICT_NOT_RUN, /* certain: no endpoint received any of it */
	VERDICT_RAN,	 /* certain: an endpoint answered it */
	VERDICT_MAY_HAVE_RUN,
	VERDICT_COUNT,
};

enum urgency {
	URGENCY_URGENT,
	URGENCY_NORMAL,
	URGENCY_BACKGROUND,
	URGENCY_COUNT,
};

/* Returns the name of a verdict for callers, for example "not-run". */
const char *verdict_name(enum verdict verdict);

/* Returns VERDICT_NONE for an unknown name. */
enum verdict verdict_from_name(const char *name);

const char *urgency_name(enum urgency urgency);

/* Returns URGENCY_COUNT for an unknown name. */
enum urgency urgency_from_name(const char *name);

/*
 * Copies a name into a buffer of size_bytes. Returns false, and leaves an
 * empty string, if the name does not fit.
 */
bool name_copy(char *to, size_t size_bytes, const char *from);

#endif
