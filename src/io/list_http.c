/* Client of the platform's instance list over HTTP: polling and reboots. */

#include "io/http_call.h"
#include "io/list_wire.h"
#include "kernel/clock.h"
#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "list"
#define POLL_INTERVAL_US (1 * USEC_PER_SEC)
#define CALL_TIMEOUT_US (5 * USEC_PER_SEC)
#define REBOOT_RETRY_US (1 * USEC_PER_SEC)
#define REBOOTS_MAX_COUNT 64
/* 100 bytes for each of 10,000 instances. */
#define LIST_MAX_BYTES (UINT64_C(1024) * 1024)
#define REBOOT_RESPONSE_MAX_BYTES (UINT64_C(16) * 1024)

struct list_client {
	struct kernel *kernel;
	struct curl_loop *loop;
	struct http_call *poll;
	int64_t next_poll_us;
	char *etag;	     /* of the cached list; NULL: none */
	GArray *items;	     /* cached list, kept only with an ETag */
	GHashTable *reboots; /* name -> struct reboot */
};

/* A reboot that the platform has not confirmed. */
struct reboot {
	struct list_client *client;
	char name[NAME_SIZE_BYTES];
	uint64_t drain_offset; /* of the instance when it was requested */
	struct http_call *call;
	int64_t retry_at_us;
};

static void count(struct list_client *client, const char *counter)
{
	counter_add(kernel_counters(client->kernel), counter, 1);
}

static void clear_cached_list(struct list_client *client)
{
	g_clear_pointer(&client->etag, g_free);
	g_clear_pointer(&client->items, g_array_unref);
}

/*
 * Caches a list with its ETag. At 780 instances, fetching 24 KB every second
 * would take six times the budget of a node for control traffic.
 */
static void cache_list(struct list_client *client, GArray *items,
		       const char *etag)
{
	clear_cached_list(client);
	if (!etag)
		return;
	client->etag = g_strdup(etag);
	client->items = g_array_copy(items);
}

static void on_poll_done(void *data, const struct http_result *result)
{
	struct list_client *client = data;
	struct event event = { .type = EVENT_INSTANCE_LIST };

	client->poll = NULL;
	if (result->complete && result->status == 304 && client->items) {
		count(client, "list_polls_total{result=\"unchanged\"}");
		event.list.items = g_array_copy(client->items);
		kernel_emit(client->kernel, &event);
		return;
	}
	if (!result->complete || result->status != 200) {
		count(client, "list_polls_total{result=\"failed\"}");
		return;
	}
	event.list.items =
		list_response_parse(result->body->data, result->body->len);
	if (!event.list.items) {
		klog_warn(LOG_PREFIX, "invalid response to a list poll");
		count(client, "list_polls_total{result=\"invalid\"}");
		return;
	}
	count(client, "list_polls_total{result=\"ok\"}");
	cache_list(client, event.list.items, result->etag);
	kernel_emit(client->kernel, &event);
}

static void start_poll(struct list_client *client)
{
	const struct settings *settings = kernel_settings(client->kernel);
	char *url =
		g_strdup_printf("http://%s/instances", settings->list_address);
	struct http_spec spec = {
		.url = url,
		.if_none_match = client->etag,
		.timeout_us = CALL_TIMEOUT_US,
		.response_max_bytes = LIST_MAX_BYTES,
	};

	client->poll =
		http_call_start(client->loop, &spec, on_poll_done, client);
	g_free(url);
}

/* Whether the instance still waits for this reboot. */
static bool is_still_waiting(const struct reboot *reboot)
{
	const struct fleet_instance *instance = fleet_instance(
		kernel_fleet(reboot->client->kernel), reboot->name);

	return instance && instance->phase == INSTANCE_REBOOTING &&
	       instance->drain_offset == reboot->drain_offset;
}

static void on_reboot_done(void *data, const struct http_result *result)
{
	struct reboot *reboot = data;
	struct list_client *client = reboot->client;
	bool rejected = result->complete && result->status >= 400 &&
			result->status < 500;

	reboot->call = NULL;
	if (result->complete && result->status >= 200 && result->status < 300) {
		count(client, "reboots_total{result=\"ok\"}");
		g_hash_table_remove(client->reboots, reboot->name);
		return;
	}
	if (rejected) {
		klog_error(LOG_PREFIX, "reboot of %s rejected with status %u",
			   reboot->name, result->status);
		count(client, "reboots_total{result=\"refused\"}");
		g_hash_table_remove(client->reboots, reboot->name);
		return;
	}
	count(client, "reboots_total{result=\"failed\"}");
	reboot->retry_at_us = clock_now_us() + REBOOT_RETRY_US;
	kernel_wake_at(client->kernel, reboot->retry_at_us);
}

static void send_reboot(struct reboot *reboot)
{
	struct list_client *client = reboot->client;
	const struct settings *settings = kernel_settings(client->kernel);
	/* The platform performs one reboot per drain, however late. */
	char *url = g_strdup_printf(
		"http://%s/instances/%s/reboot?drain=%" G_GUINT64_FORMAT,
		settings->list_address, reboot->name, reboot->drain_offset);
	GBytes *body = g_bytes_new_static("", 0);
	struct http_spec spec = {
		.url = url,
		.body = body,
		.content_type = "application/json",
		.timeout_us = CALL_TIMEOUT_US,
		.response_max_bytes = REBOOT_RESPONSE_MAX_BYTES,
	};

	reboot->retry_at_us = DEADLINE_NEVER_US;
	reboot->call =
		http_call_start(client->loop, &spec, on_reboot_done, reboot);
	if (!reboot->call) {
		reboot->retry_at_us = clock_now_us() + REBOOT_RETRY_US;
		kernel_wake_at(client->kernel, reboot->retry_at_us);
	}
	g_bytes_unref(body);
	g_free(url);
}

static void request_reboot(struct list_client *client, const char *name)
{
	const struct fleet_instance *instance =
		fleet_instance(kernel_fleet(client->kernel), name);
	struct reboot *reboot = g_hash_table_lookup(client->reboots, name);

	if (reboot)
		return;
	if (!instance ||
	    g_hash_table_size(client->reboots) >= REBOOTS_MAX_COUNT) {
		count(client, "reboots_total{result=\"dropped\"}");
		return;
	}
	reboot = g_new0(struct reboot, 1);
	reboot->client = client;
	name_copy(reboot->name, sizeof(reboot->name), name);
	reboot->drain_offset = instance->drain_offset;
	g_hash_table_insert(client->reboots, reboot->name, reboot);
	send_reboot(reboot);
}

/* A retry must not reboot an instance that is back in service. */
static void retry_reboots(struct list_client *client, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, client->reboots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct reboot *reboot = value;

		if (reboot->call)
			continue;
		if (!is_still_waiting(reboot))
			g_hash_table_iter_remove(&iter);
		else if (now_us >= reboot->retry_at_us)
			send_reboot(reboot);
		else
			kernel_wake_at(client->kernel, reboot->retry_at_us);
	}
}

static void on_wake(struct list_client *client)
{
	int64_t now_us = clock_now_us();

	if (now_us >= client->next_poll_us) {
		client->next_poll_us = now_us + POLL_INTERVAL_US;
		if (!client->poll)
			start_poll(client);
	}
	kernel_wake_at(client->kernel, client->next_poll_us);
	retry_reboots(client, now_us);
}

static void list_handle(void *self, const struct event *event)
{
	struct list_client *client = self;

	if (event->type == EVENT_INSTANCE_REBOOT)
		request_reboot(client, event->subject.name);
	else
		on_wake(client);
}

static void reboot_free(gpointer data)
{
	struct reboot *reboot = data;

	http_call_cancel(reboot->call);
	g_free(reboot);
}

static void *list_init(struct kernel *kernel)
{
	struct list_client *client;

	if (!kernel_settings(kernel)->list_address[0]) {
		klog_error(LOG_PREFIX, "the setting list_address is missing");
		return NULL;
	}
	client = g_new0(struct list_client, 1);
	client->kernel = kernel;
	client->loop = curl_loop_new(kernel_loop(kernel));
	client->reboots = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						reboot_free);
	return client;
}

static void list_fini(void *self)
{
	struct list_client *client = self;

	g_hash_table_unref(client->reboots);
	http_call_cancel(client->poll);
	curl_loop_free(client->loop);
	clear_cached_list(client);
	g_free(client);
}

static const struct plugin list_plugin = {
	.name = "http",
	.kind = PLUGIN_LIST,
	.preferred = true,
	.subscriptions = EVENT_BIT(EVENT_STARTED) | EVENT_BIT(EVENT_WAKE) |
			 EVENT_BIT(EVENT_INSTANCE_REBOOT),
	.init = list_init,
	.handle = list_handle,
	.fini = list_fini,
};

PLUGIN_REGISTER(list_plugin)
