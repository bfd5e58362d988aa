/*
 * Retry budget: a token bucket for each member in each pool. A request earns a
 * token and a retry costs ten, so that retries add at most a tenth to an
 * overload.
 */

#include <string.h>

#include "kernel/plugin.h"
#include "policy/retry.h"

#define TOKENS_PER_RETRY 10
#define BUCKET_SIZE_TOKENS (10 * TOKENS_PER_RETRY)

struct bucket {
	char member[NAME_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES];
	uint32_t token_count;
};

static guint bucket_hash(gconstpointer key)
{
	const struct bucket *bucket = key;

	return g_str_hash(bucket->member) * 31 + g_str_hash(bucket->pool);
}

static gboolean bucket_equal(gconstpointer a, gconstpointer b)
{
	const struct bucket *left = a;
	const struct bucket *right = b;

	return !strcmp(left->member, right->member) &&
	       !strcmp(left->pool, right->pool);
}

static void *budget_new(void)
{
	return g_hash_table_new_full(bucket_hash, bucket_equal, NULL, g_free);
}

static void budget_free(void *self)
{
	g_hash_table_unref(self);
}

static struct bucket *bucket_get(GHashTable *buckets, const char *member,
				 const char *pool)
{
	struct bucket key = { .token_count = BUCKET_SIZE_TOKENS };
	struct bucket *bucket;

	name_copy(key.member, sizeof(key.member), member);
	name_copy(key.pool, sizeof(key.pool), pool);
	bucket = g_hash_table_lookup(buckets, &key);
	if (!bucket) {
		bucket = g_memdup2(&key, sizeof(key));
		g_hash_table_add(buckets, bucket);
	}
	return bucket;
}

static void budget_request_started(void *self, const char *member,
				   const char *pool)
{
	struct bucket *bucket = bucket_get(self, member, pool);

	if (bucket->token_count < BUCKET_SIZE_TOKENS)
		bucket->token_count++;
}

static bool budget_allow(void *self, const struct retry_case *failed)
{
	struct bucket *bucket;

	if (!failed->idempotent && failed->verdict != VERDICT_NOT_RUN)
		return false;
	if (failed->now_us + failed->service_us >= failed->deadline_us)
		return false;
	bucket = bucket_get(self, failed->member, failed->pool);
	if (bucket->token_count < TOKENS_PER_RETRY)
		return false;
	bucket->token_count -= TOKENS_PER_RETRY;
	return true;
}

static const struct retry_ops budget_ops = {
	.create = budget_new,
	.free = budget_free,
	.request_started = budget_request_started,
	.allow = budget_allow,
};

static const struct plugin budget_plugin = {
	.name = "budget",
	.kind = PLUGIN_RETRY,
	.preferred = true,
	.ops = &budget_ops,
};

PLUGIN_REGISTER(budget_plugin)
