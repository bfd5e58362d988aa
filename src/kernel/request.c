#include "kernel/request.h"

struct request_table {
	GHashTable *requests; /* id -> struct request */
	uint64_t last_id;
};

static void request_free(gpointer data)
{
	struct request *request = data;

	g_free(request->path);
	if (request->body)
		g_bytes_unref(request->body);
	g_free(request);
}

struct request_table *request_table_new(void)
{
	struct request_table *table = g_new0(struct request_table, 1);

	table->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, request_free);
	return table;
}

void request_table_free(struct request_table *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->requests);
	g_free(table);
}

struct request *request_add(struct request_table *table)
{
	struct request *request = g_new0(struct request, 1);

	request->id = ++table->last_id;
	g_hash_table_insert(table->requests, &request->id, request);
	return request;
}

struct request *request_get(const struct request_table *table, uint64_t id)
{
	return g_hash_table_lookup(table->requests, &id);
}

void request_remove(struct request_table *table, uint64_t id)
{
	g_hash_table_remove(table->requests, &id);
}

uint32_t request_count(const struct request_table *table)
{
	return g_hash_table_size(table->requests);
}
