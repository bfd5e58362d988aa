#ifndef KERNEL_REQUEST_H
#define KERNEL_REQUEST_H

/* Callers' requests in progress, with their bodies. */

#include <glib.h>

#include "core/types.h"

struct request {
	uint64_t id;
	char method[METHOD_SIZE_BYTES];
	char *path; /* with the query string, as the caller sent it */
	char content_type[CONTENT_TYPE_SIZE_BYTES];
	char key[KEY_SIZE_BYTES]; /* idempotency key; empty: none */
	bool relayed;		  /* forwarded by another entry instance */
	int64_t deadline_us;	  /* kernel clock; 0: the service's default */
	int64_t arrived_us;
	GBytes *body; /* may be NULL */
};

struct request_table;

struct request_table *request_table_new(void);
void request_table_free(struct request_table *table);

/* Adds an empty request with an id that is unique within the process. */
struct request *request_add(struct request_table *table);

/* NULL if there is none. */
struct request *request_get(const struct request_table *table, uint64_t id);

void request_remove(struct request_table *table, uint64_t id);
uint32_t request_count(const struct request_table *table);

#endif
