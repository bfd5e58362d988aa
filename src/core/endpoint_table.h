#ifndef CORE_ENDPOINT_TABLE_H
#define CORE_ENDPOINT_TABLE_H

/*
 * State of the endpoints and pools as one entry instance sees it, shared by the
 * decision plug-ins. Each field is written by one plug-in: "slots", "router" or
 * "health", as its comment says.
 */

#include <glib.h>

#include "core/types.h"

struct endpoint_state {
	char name[NAME_SIZE_BYTES];
	uint32_t allowed_count;	  /* slots that this entry may use; slots */
	uint32_t in_flight_count; /* attempts that hold a slot; router */
	bool leaving;		  /* as the platform's list says; health */
	bool ejected;		  /* gets no requests except probes; health */
	bool probing;	    /* ejected, and one probe is allowed; health */
	int64_t latency_us; /* smoothed service time, 0: unknown; health */
};

struct pool_state {
	char name[NAME_SIZE_BYTES];
	uint32_t queued_count;	 /* router */
	int64_t wait_us;	 /* expected wait of a new request; router */
	int64_t demand_us_per_s; /* requested slot time per second; router */
};

struct endpoint_table;

struct endpoint_table *endpoint_table_new(void);
void endpoint_table_free(struct endpoint_table *table);

/* Creates an entry of zeros for an unknown name. */
struct endpoint_state *endpoint_table_get(struct endpoint_table *table,
					  const char *name);
struct pool_state *endpoint_table_pool(struct endpoint_table *table,
				       const char *name);

/* Returns NULL for an unknown name. */
struct endpoint_state *endpoint_table_find(struct endpoint_table *table,
					   const char *name);

/* Only for an instance that is no longer declared: plug-ins keep pointers. */
void endpoint_table_remove(struct endpoint_table *table, const char *name);

#endif
