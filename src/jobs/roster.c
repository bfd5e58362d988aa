#include "jobs/roster.h"

/* One CPU amount is clearly more than another above this percentage of it. */
#define MORE_CPU_PERCENT 150

struct roster {
	GHashTable
		*cpu_milli; /* entry -> thousandths of a core, as a pointer */
	uint32_t max_cpu_milli;
};

struct roster *roster_new(void)
{
	struct roster *roster = g_new0(struct roster, 1);

	roster->cpu_milli =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return roster;
}

void roster_free(struct roster *roster)
{
	g_hash_table_unref(roster->cpu_milli);
	g_free(roster);
}

void roster_add(struct roster *roster, const struct job_record *record)
{
	g_hash_table_replace(roster->cpu_milli, g_strdup(record->entry),
			     GUINT_TO_POINTER(record->cpu_milli));
	roster->max_cpu_milli = MAX(roster->max_cpu_milli, record->cpu_milli);
}

uint32_t roster_cpu_milli(const struct roster *roster, const char *entry)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(roster->cpu_milli, entry));
}

bool roster_has_more_cpu(uint32_t cpu_milli, uint32_t than_milli)
{
	return than_milli && (uint64_t)cpu_milli * 100 >
				     (uint64_t)than_milli * MORE_CPU_PERCENT;
}

bool roster_any_has_more_cpu(const struct roster *roster, uint32_t cpu_milli)
{
	return roster_has_more_cpu(roster->max_cpu_milli, cpu_milli);
}
