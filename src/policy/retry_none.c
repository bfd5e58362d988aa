/* Baseline: no retries. */

#include "kernel/plugin.h"
#include "policy/retry.h"

static void *none_new(void)
{
	return NULL;
}

static void none_free(void *self)
{
	(void)self;
}

static void none_request_started(void *self, const char *member,
				 const char *pool)
{
	(void)self;
	(void)member;
	(void)pool;
}

static bool none_allow(void *self, const struct retry_case *failed)
{
	(void)self;
	(void)failed;
	return false;
}

static const struct retry_ops none_ops = {
	.create = none_new,
	.free = none_free,
	.request_started = none_request_started,
	.allow = none_allow,
};

static const struct plugin none_plugin = {
	.name = "none",
	.kind = PLUGIN_RETRY,
	.ops = &none_ops,
};

PLUGIN_REGISTER(none_plugin)
