#include "jobs/queues.h"

#include <string.h>

static void queue_free(gpointer data)
{
	struct queue *queue = data;

	g_free(queue->prefix);
	g_free(queue);
}

struct queues *queues_new(void)
{
	struct queues *queues = g_rc_box_new0(struct queues);

	queues->queues = g_ptr_array_new_with_free_func(queue_free);
	queues->pools = g_ptr_array_new_with_free_func(g_free);
	return queues;
}

struct queues *queues_ref(struct queues *queues)
{
	return g_rc_box_acquire(queues);
}

static void queues_clear(gpointer data)
{
	struct queues *queues = data;

	g_ptr_array_unref(queues->queues);
	g_ptr_array_unref(queues->pools);
}

void queues_unref(struct queues *queues)
{
	if (queues)
		g_rc_box_release_full(queues, queues_clear);
}

struct queue *queues_add_queue(struct queues *queues)
{
	struct queue *queue = g_new0(struct queue, 1);

	g_ptr_array_add(queues->queues, queue);
	return queue;
}

struct pool *queues_add_pool(struct queues *queues)
{
	struct pool *pool = g_new0(struct pool, 1);

	g_ptr_array_add(queues->pools, pool);
	return pool;
}

const struct queue *queues_find(const struct queues *queues, const char *name)
{
	for (guint i = 0; queues && i < queues->queues->len; i++) {
		const struct queue *queue = queues->queues->pdata[i];

		if (!strcmp(queue->name, name))
			return queue;
	}
	return NULL;
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

static bool same_host(const char *host, const char *given)
{
	size_t length = strcspn(given, ":");

	return strlen(host) == length &&
	       !g_ascii_strncasecmp(host, given, length);
}

const struct queue *queues_route(const struct queues *queues, const char *host,
				 const char *path, const char **rest)
{
	const struct queue *found = NULL;

	for (guint i = 0; queues && i < queues->queues->len; i++) {
		const struct queue *queue = queues->queues->pdata[i];

		if (!g_str_has_prefix(path, queue->prefix) ||
		    !same_host(queue->host, host))
			continue;
		if (!found || strlen(queue->prefix) > strlen(found->prefix))
			found = queue;
	}
	if (found)
		*rest = path + strlen(found->prefix);
	return found;
}
