#include "jobs/forwarders.h"

#include <string.h>

/* Forwarders used in each data centre. */
#define SELECTED_PER_DC_COUNT 2
#define PROBE_PERIOD_US USEC_PER_SEC
/* A forwarder that has not answered for this long gets no orders. */
#define READY_US (2500 * USEC_PER_MSEC)
/* A probe without an answer for this long has failed. */
#define PROBE_TIMEOUT_US USEC_PER_SEC
/* Doubled with each further failure: it may have ended for good. */
#define AVOID_AFTER_FAILURE_US (3 * USEC_PER_SEC)
#define AVOID_DOUBLINGS_MAX 4
#define BYPASS_US (3 * USEC_PER_SEC)
/* A busier forwarder gets no further workers. */
#define BUSY_MAX_PERCENT 60

/* Which way the orders to a worker take. */
struct assignment {
	struct forwarder *forwarder; /* NULL: none yet */
	int64_t bypass_until_us;
};

struct forwarders {
	char own_entry[NAME_SIZE_BYTES];
	GPtrArray *all;		 /* of struct forwarder, by entry name */
	GHashTable *assignments; /* interned worker id -> struct assignment */
};

struct forwarders *forwarders_new(const char *own_entry)
{
	struct forwarders *forwarders = g_new0(struct forwarders, 1);

	g_strlcpy(forwarders->own_entry, own_entry,
		  sizeof(forwarders->own_entry));
	forwarders->all = g_ptr_array_new_with_free_func(g_free);
	forwarders->assignments =
		g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return forwarders;
}

void forwarders_free(struct forwarders *forwarders)
{
	g_ptr_array_unref(forwarders->all);
	g_hash_table_unref(forwarders->assignments);
	g_free(forwarders);
}

static struct forwarder *find_entry(const struct forwarders *forwarders,
				    const char *entry)
{
	for (guint i = 0; i < forwarders->all->len; i++) {
		struct forwarder *forwarder = forwarders->all->pdata[i];

		if (!strcmp(forwarder->entry, entry))
			return forwarder;
	}
	return NULL;
}

void forwarders_add(struct forwarders *forwarders,
		    const struct job_record *record)
{
	struct forwarder *forwarder = find_entry(forwarders, record->entry);

	if (!record->address[0] ||
	    !strcmp(record->entry, forwarders->own_entry))
		return;
	if (!forwarder) {
		forwarder = g_new0(struct forwarder, 1);
		g_strlcpy(forwarder->entry, record->entry,
			  sizeof(forwarder->entry));
		g_ptr_array_add(forwarders->all, forwarder);
	}
	g_strlcpy(forwarder->address, record->address,
		  sizeof(forwarder->address));
	g_strlcpy(forwarder->dc, record->dc, sizeof(forwarder->dc));
	forwarder->cpu_milli = record->cpu_milli;
	/* It has just started, and knows nothing of earlier orders. */
	forwarder->ready_until_us = 0;
	forwarder->probed_us = 0;
	forwarder->next_probe_us = 0;
	forwarder->avoid_until_us = 0;
	forwarder->failures_count = 0;
}

void forwarders_reset(struct forwarders *forwarders)
{
	g_hash_table_remove_all(forwarders->assignments);
	for (guint i = 0; i < forwarders->all->len; i++) {
		struct forwarder *forwarder = forwarders->all->pdata[i];

		forwarder->ready_until_us = 0;
		forwarder->probed_us = 0;
		forwarder->next_probe_us = 0;
		forwarder->workers_count = 0;
	}
}

/* Number of better ones in the same data centre that could be used now. */
static uint32_t rank_in_dc(const struct forwarders *forwarders,
			   const struct forwarder *forwarder, int64_t now_us)
{
	uint32_t rank = 0;

	for (guint i = 0; i < forwarders->all->len; i++) {
		const struct forwarder *other = forwarders->all->pdata[i];

		if (strcmp(other->dc, forwarder->dc) != 0 ||
		    other->avoid_until_us > now_us)
			continue;
		if (other->cpu_milli != forwarder->cpu_milli)
			rank += other->cpu_milli > forwarder->cpu_milli;
		else
			rank += strcmp(other->entry, forwarder->entry) < 0;
	}
	return rank;
}

static bool probe_has_failed(const struct forwarder *forwarder, int64_t now_us)
{
	return forwarder->probed_us &&
	       now_us - forwarder->probed_us > PROBE_TIMEOUT_US;
}

GPtrArray *forwarders_to_probe(struct forwarders *forwarders, int64_t now_us)
{
	GPtrArray *selected = g_ptr_array_new();

	for (guint i = 0; i < forwarders->all->len; i++) {
		struct forwarder *forwarder = forwarders->all->pdata[i];

		if (probe_has_failed(forwarder, now_us))
			forwarder_failed(forwarder, now_us);
		if (forwarder->avoid_until_us > now_us ||
		    forwarder->next_probe_us > now_us ||
		    rank_in_dc(forwarders, forwarder, now_us) >=
			    SELECTED_PER_DC_COUNT)
			continue;
		forwarder->next_probe_us = now_us + PROBE_PERIOD_US;
		if (!forwarder->probed_us)
			forwarder->probed_us = now_us;
		g_ptr_array_add(selected, forwarder);
	}
	return selected;
}

static bool is_ready(const struct forwarder *forwarder, int64_t now_us)
{
	return forwarder->ready_until_us > now_us &&
	       forwarder->avoid_until_us <= now_us;
}

/* The best one for another worker, in its data centre if there is one. */
static struct forwarder *find_best(const struct forwarders *forwarders,
				   const char *dc, int64_t now_us)
{
	struct forwarder *best = NULL;
	bool best_is_local = false;

	for (guint i = 0; i < forwarders->all->len; i++) {
		struct forwarder *forwarder = forwarders->all->pdata[i];
		bool is_local = !strcmp(forwarder->dc, dc);

		if (!is_ready(forwarder, now_us) ||
		    forwarder->busy_percent > BUSY_MAX_PERCENT ||
		    (best_is_local && !is_local))
			continue;
		if (best && best_is_local == is_local &&
		    (uint64_t)(best->workers_count + 1) *
				    forwarder->cpu_milli <=
			    (uint64_t)(forwarder->workers_count + 1) *
				    best->cpu_milli)
			continue;
		best = forwarder;
		best_is_local = is_local;
	}
	return best;
}

static struct assignment *assignment_get(struct forwarders *forwarders,
					 const char *worker)
{
	struct assignment *assignment =
		g_hash_table_lookup(forwarders->assignments, worker);

	if (assignment)
		return assignment;
	assignment = g_new0(struct assignment, 1);
	g_hash_table_insert(forwarders->assignments, (gpointer)worker,
			    assignment);
	return assignment;
}

struct forwarder *forwarders_choose(struct forwarders *forwarders,
				    const char *worker, const char *dc,
				    int64_t now_us)
{
	struct assignment *assignment = assignment_get(forwarders, worker);

	if (assignment->bypass_until_us > now_us)
		return NULL;
	if (assignment->forwarder && is_ready(assignment->forwarder, now_us))
		return assignment->forwarder;
	if (assignment->forwarder)
		assignment->forwarder->workers_count--;
	assignment->forwarder = find_best(forwarders, dc, now_us);
	if (assignment->forwarder)
		assignment->forwarder->workers_count++;
	return assignment->forwarder;
}

struct forwarder *forwarders_find(const struct forwarders *forwarders,
				  const char *address)
{
	for (guint i = 0; i < forwarders->all->len; i++) {
		struct forwarder *forwarder = forwarders->all->pdata[i];

		if (!strcmp(forwarder->address, address))
			return forwarder;
	}
	return NULL;
}

void forwarder_answered(struct forwarder *forwarder, uint32_t busy_percent,
			int64_t now_us)
{
	forwarder->busy_percent = busy_percent;
	forwarder->probed_us = 0;
	forwarder->failures_count = 0;
	forwarder->ready_until_us = now_us + READY_US;
}

void forwarder_failed(struct forwarder *forwarder, int64_t now_us)
{
	forwarder->probed_us = 0;
	forwarder->ready_until_us = 0;
	forwarder->avoid_until_us = now_us + (AVOID_AFTER_FAILURE_US
					      << MIN(forwarder->failures_count,
						     AVOID_DOUBLINGS_MAX));
	forwarder->failures_count++;
}

void forwarders_bypass(struct forwarders *forwarders, const char *worker,
		       int64_t now_us)
{
	assignment_get(forwarders, worker)->bypass_until_us =
		now_us + BYPASS_US;
}
