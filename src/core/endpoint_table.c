#include "core/endpoint_table.h"

struct endpoint_table {
	GHashTable *endpoints; /* name -> struct endpoint_state */
	GHashTable *pools;     /* name -> struct pool_state */
};

struct endpoint_table *endpoint_table_new(void)
{
	struct endpoint_table *table = g_new0(struct endpoint_table, 1);

	table->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	table->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return table;
}

void endpoint_table_free(struct endpoint_table *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->endpoints);
	g_hash_table_unref(table->pools);
	g_free(table);
}

struct endpoint_state *endpoint_table_get(struct endpoint_table *table,
					  const char *name)
{
	struct endpoint_state *state = endpoint_table_find(table, name);

	if (state)
		return state;
	state = g_new0(struct endpoint_state, 1);
	name_copy(state->name, sizeof(state->name), name);
	g_hash_table_insert(table->endpoints, state->name, state);
	return state;
}

struct pool_state *endpoint_table_pool(struct endpoint_table *table,
				       const char *name)
{
	struct pool_state *state = g_hash_table_lookup(table->pools, name);

	if (state)
		return state;
	state = g_new0(struct pool_state, 1);
	name_copy(state->name, sizeof(state->name), name);
	g_hash_table_insert(table->pools, state->name, state);
	return state;
}

struct endpoint_state *endpoint_table_find(struct endpoint_table *table,
					   const char *name)
{
	return g_hash_table_lookup(table->endpoints, name);
}

void endpoint_table_remove(struct endpoint_table *table, const char *name)
{
	g_hash_table_remove(table->endpoints, name);
}
