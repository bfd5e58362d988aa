#ifndef CORE_ENDPOINT_TABLE_H
#define CORE_ENDPOINT_TABLE_H

/*
 * What one entry instance knows of the endpoints and pools, shared by the
 * decision plug-ins. Each field has one writer, named beside it.
 */

#include <glib.h>

#include "core/types.h"

struct endpoint_state {
	char name[NAME_SIZE_BYTES];
	uint32_t allowed_count;	  /* slots that we may use now; slots */
	uint32_t in_flight_count; /* attempts that hold a slot; router */
	bool leaving;		  /* on the platform's list; health */
	bool ejected;		  /* takes no work but probes; health */
	bool probing;	    /* ejected, and one probe is allowed; health */
	int64_t latency_us; /* smoothed service time, 0: unknown; health */
};

struct pool_state {
	char name[NAME_SIZE_BYTES];
	uint32_t queued_count;	 /* router */
	int64_t wait_us;	 /* expected wait of a new request; router */
	int64_t demand_us_per_s; /* slot time asked for per second; router */
};

struct endpoint_table;

struct endpoint_table *endpoint_table_new(void);
void endpoint_table_free(struct endpoint_table *table);

/* Never NULL: an unknown name gets an entry of zeros. */
struct endpoint_state *endpoint_table_get(struct endpoint_table *table,
					  const char *name);
struct pool_state *endpoint_table_pool(struct endpoint_table *table,
				       const char *name);

/* NULL for an unknown name. */
struct endpoint_state *endpoint_table_find(struct endpoint_table *table,
					   const char *name);

/* Only for an instance that is no longer declared: others keep pointers. */
void endpoint_table_remove(struct endpoint_table *table, const char *name);

#endif
