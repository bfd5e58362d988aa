#include "jobs/queues.h"

#include <string.h>

struct queue *queue_new(void)
{
	return g_new0(struct queue, 1);
}

void queue_free(struct queue *queue)
{
	if (!queue)
		return;
	g_free(queue->prefix);
	g_free(queue);
}

static bool is_duration(int64_t value_us)
{
	return value_us >= 0 && value_us <= QUEUE_DURATION_MAX_US;
}

bool queue_policy_is_valid(const struct queue_policy *policy)
{
	return policy->slack_factor >= 0. &&
	       policy->slack_factor <= SLACK_FACTOR_MAX &&
	       is_duration(policy->target_us) &&
	       is_duration(policy->advice_decision_us) &&
	       is_duration(policy->advice_period_us);
}

struct queues *queues_new(void)
{
	struct queues *queues = g_rc_box_new0(struct queues);

	queues->queues =
		g_ptr_array_new_with_free_func((GDestroyNotify)queue_free);
	queues->pools = g_ptr_array_new_with_free_func(g_free);
	queues->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	queues->by_route =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	queues->prefix_lengths = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	return queues;
}

struct queues *queues_ref(struct queues *queues)
{
	return g_rc_box_acquire(queues);
}

static void queues_clear(gpointer data)
{
	struct queues *queues = data;

	g_hash_table_unref(queues->by_name);
	g_hash_table_unref(queues->by_route);
	g_array_unref(queues->prefix_lengths);
	g_ptr_array_unref(queues->queues);
	g_ptr_array_unref(queues->pools);
	members_free(queues->members);
}

void queues_unref(struct queues *queues)
{
	if (queues)
		g_rc_box_release_full(queues, queues_clear);
}

/* Ignores the port of a host and the case of its letters. */
static char *route_key(const char *host, const char *path, size_t prefix_bytes)
{
	char *lower = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	char *key = g_strdup_printf("%s %.*s", lower, (int)prefix_bytes, path);

	g_free(lower);
	return key;
}

static void add_prefix_length(struct queues *queues, uint32_t length)
{
	guint index = 0;

	while (index < queues->prefix_lengths->len &&
	       g_array_index(queues->prefix_lengths, uint32_t, index) > length)
		index++;
	if (index == queues->prefix_lengths->len ||
	    g_array_index(queues->prefix_lengths, uint32_t, index) != length)
		g_array_insert_val(queues->prefix_lengths, index, length);
}

void queues_add_queue(struct queues *queues, struct queue *queue)
{
	uint32_t length = (uint32_t)strlen(queue->prefix);
	char *key = route_key(queue->host, queue->prefix, length);

	g_ptr_array_add(queues->queues, queue);
	if (!g_hash_table_contains(queues->by_name, queue->name))
		g_hash_table_insert(queues->by_name, queue->name, queue);
	add_prefix_length(queues, length);
	if (g_hash_table_contains(queues->by_route, key))
		g_free(key);
	else
		g_hash_table_insert(queues->by_route, key, queue);
}

struct pool *queues_add_pool(struct queues *queues)
{
	struct pool *pool = g_new0(struct pool, 1);

	g_ptr_array_add(queues->pools, pool);
	return pool;
}

const struct queue *queues_find(const struct queues *queues, const char *name)
{
	return queues ? g_hash_table_lookup(queues->by_name, name) : NULL;
}

const struct pool *queues_pool(const struct queues *queues, const char *name)
{
	for (guint i = 0; queues && i < queues->pools->len; i++) {
		const struct pool *pool = queues->pools->pdata[i];

		if (!strcmp(pool->name, name))
			return pool;
	}
	return NULL;
}

const struct queue *queues_route(const struct queues *queues, const char *host,
				 const char *path, const char **rest)
{
	size_t path_bytes = strlen(path);

	for (guint i = 0; queues && i < queues->prefix_lengths->len; i++) {
		uint32_t length =
			g_array_index(queues->prefix_lengths, uint32_t, i);
		const struct queue *found;
		char *key;

		if (length > path_bytes)
			continue;
		key = route_key(host, path, length);
		found = g_hash_table_lookup(queues->by_route, key);
		g_free(key);
		if (!found)
			continue;
		*rest = path + length;
		return found;
	}
	return NULL;
}
