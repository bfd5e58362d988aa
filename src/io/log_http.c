/* Client of the platform's log over HTTP: appends and one long poll. */

#include <string.h>

#include "codec/record_codec.h"
#include "io/http_call.h"
#include "io/log_wire.h"
#include "kernel/clock.h"
#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "log"
/* An outage is noticed within this time plus READ_SLACK_US. */
#define POLL_WAIT_MS 2000
#define READ_SLACK_US (3 * USEC_PER_SEC)
#define APPEND_TIMEOUT_US (5 * USEC_PER_SEC)
/* Room for the largest snapshot, 32 MiB, in base64 and the records since. */
#define READ_MAX_BYTES (UINT64_C(64) * 1024 * 1024)
#define APPEND_RESPONSE_MAX_BYTES (UINT64_C(16) * 1024)
#define BACKOFF_MIN_US (50 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (1 * USEC_PER_SEC)
/* Keeps long polls that end at once without records from a busy loop. */
#define EMPTY_POLL_MIN_US (100 * USEC_PER_MSEC)
/* A single failed long poll may be the restart of a proxy. */
#define OUTAGE_FAILURES_COUNT 2

struct log_client {
	struct kernel *kernel;
	struct curl_loop *loop;
	GHashTable *appends; /* set of struct append */
	struct http_call *read;
	struct http_call *bounds_call;
	int64_t read_at_us; /* DEADLINE_NEVER_US while a read is pending */
	int64_t read_started_us;
	int64_t read_wait_ms; /* 0 while the log is not known to be reachable */
	int64_t backoff_us;
	uint32_t failure_count;
	uint64_t next_read_offset;    /* platform offset to be read next */
	uint64_t pending_read_offset; /* of the pending read */
	uint64_t bounds_from;
	bool bounds_wanted;
	int64_t bounds_retry_us;
	bool reachable;
	bool state_emitted;    /* EVENT_LOG_STATE was emitted once */
	uint64_t first_offset; /* platform offsets, highest received */
	uint64_t next_offset;
	uint64_t emitted_first_offset;
};

struct append {
	struct log_client *client;
	struct http_call *call;
	uint64_t append_id;
	uint32_t record_count;
};

static void count(struct log_client *client, const char *counter)
{
	counter_add(kernel_counters(client->kernel), counter, 1);
}

static void emit_state(struct log_client *client)
{
	struct event event = { .type = EVENT_LOG_STATE };

	client->state_emitted = true;
	client->emitted_first_offset = client->first_offset;
	event.log.reachable = client->reachable;
	event.log.first_offset = log_block_end(client->first_offset - 1) + 1;
	event.log.next_offset = log_block_end(client->next_offset - 1) + 1;
	kernel_emit(client->kernel, &event);
}

static void add_timeline_entry(struct log_client *client, const char *text)
{
	struct timeline_entry entry = { .kind = TIMELINE_LOG };

	g_strlcpy(entry.text, text, sizeof(entry.text));
	timeline_add(kernel_timeline(client->kernel), &entry);
}

static void set_reachable(struct log_client *client, bool reachable)
{
	if (client->state_emitted && client->reachable == reachable)
		return;
	client->reachable = reachable;
	counter_set(kernel_counters(client->kernel), "log_reachable",
		    reachable);
	add_timeline_entry(client, reachable ? "log is reachable"
					     : "log is unreachable");
	klog_info(LOG_PREFIX, "log is %s",
		  reachable ? "reachable" : "unreachable");
	emit_state(client);
}

/*
 * Updates the bounds, the first and next offset, from a response. Responses on
 * two connections may arrive out of order, so only one whose end is below the
 * requested offset is an error.
 */
static bool update_bounds(struct log_client *client,
			  const struct log_response *response,
			  uint64_t requested_offset)
{
	if (response->next_offset < requested_offset) {
		klog_error(LOG_PREFIX,
			   "the log's end went back from %" G_GUINT64_FORMAT
			   " to %" G_GUINT64_FORMAT,
			   requested_offset, response->next_offset);
		count(client, "log_went_back_total");
		return false;
	}
	client->first_offset =
		MAX(client->first_offset, response->first_offset);
	client->next_offset = MAX(client->next_offset, response->next_offset);
	return true;
}

static void emit_record(struct log_client *client, uint64_t offset,
			uint64_t previous_offset, struct record *record)
{
	struct event event = { .type = EVENT_LOG_RECORD };

	event.record.offset = offset;
	event.record.previous_offset = previous_offset;
	event.record.record = record;
	kernel_emit(client->kernel, &event);
}

/*
 * Emits the records of an append. One that can't be decoded is emitted as an
 * unknown record, so that consumers see no gap in the offsets.
 */
static void emit_item(struct log_client *client, const struct log_item *item,
		      uint64_t previous_offset)
{
	char reason[REASON_SIZE_BYTES] = "";
	gsize size_bytes;
	const void *data = g_bytes_get_data(item->data, &size_bytes);
	GPtrArray *records = batch_decode(data, size_bytes, reason);
	uint64_t offset;

	if (reason[0]) {
		klog_warn(LOG_PREFIX, "append %" G_GUINT64_FORMAT ": %s",
			  item->platform_offset, reason);
		count(client, "log_damaged_total");
	}
	if (!records) {
		emit_record(client, log_block_end(item->platform_offset),
			    previous_offset, record_new(RECORD_UNKNOWN));
		return;
	}
	offset = log_block_first(item->platform_offset, records->len);
	for (guint i = 0; i < records->len; i++) {
		emit_record(client, offset + i,
			    i ? offset + i - 1 : previous_offset,
			    record_ref(records->pdata[i]));
	}
	g_ptr_array_unref(records);
}

static void emit_items(struct log_client *client,
		       const struct log_response *response)
{
	/* The response has every record from here on. */
	uint64_t from = MAX(client->next_read_offset, response->first_offset);

	for (guint i = 0; i < response->items->len; i++) {
		const struct log_item *item =
			&g_array_index(response->items, struct log_item, i);

		if (item->platform_offset < client->next_read_offset)
			continue;
		emit_item(client, item, log_block_end(from - 1));
		from = item->platform_offset + 1;
		client->next_read_offset = from;
	}
	counter_set(kernel_counters(client->kernel), "log_read_offset",
		    client->next_read_offset - 1);
}

static void schedule_read(struct log_client *client, int64_t at_us)
{
	client->read_at_us = at_us;
	kernel_wake_at(client->kernel, at_us);
}

static void on_failure(struct log_client *client)
{
	client->failure_count++;
	client->backoff_us =
		CLAMP(client->backoff_us * 2, BACKOFF_MIN_US, BACKOFF_MAX_US);
	if (client->failure_count >= OUTAGE_FAILURES_COUNT)
		set_reachable(client, false);
}

static void on_success(struct log_client *client)
{
	client->failure_count = 0;
	client->backoff_us = 0;
	set_reachable(client, true);
	if (client->first_offset != client->emitted_first_offset)
		emit_state(client);
}

/* Parses the response to a read. Counts and returns false on failure. */
static bool parse_result(struct log_client *client,
			 const struct http_result *result,
			 uint64_t requested_offset,
			 struct log_response *response)
{
	char reason[REASON_SIZE_BYTES];

	*response = (struct log_response){ 0 };
	if (!result->complete || result->status != 200) {
		count(client, "log_read_failed_total");
		return false;
	}
	if (log_response_parse(response, result->body->data, result->body->len,
			       reason))
		return update_bounds(client, response, requested_offset);
	klog_warn(LOG_PREFIX, "%s", reason);
	count(client, "log_answer_invalid_total");
	return false;
}

static void on_read_done(void *data, const struct http_result *result)
{
	struct log_client *client = data;
	int64_t now_us = clock_now_us();
	int64_t next_us = now_us;
	struct log_response response;

	client->read = NULL;
	if (parse_result(client, result, client->pending_read_offset,
			 &response)) {
		emit_items(client, &response);
		if (!response.items->len && client->read_wait_ms)
			next_us = MAX(now_us, client->read_started_us +
						      EMPTY_POLL_MIN_US);
		on_success(client);
	} else {
		on_failure(client);
		next_us = now_us + client->backoff_us;
	}
	log_response_clear(&response);
	schedule_read(client, next_us);
}

static struct http_call *start_get(struct log_client *client, uint64_t from,
				   int64_t wait_ms, http_done_fn *done)
{
	const struct settings *settings = kernel_settings(client->kernel);
	char *url = g_strdup_printf("http://%s/read?from=%" G_GUINT64_FORMAT
				    "&wait_ms=%" G_GINT64_FORMAT,
				    settings->log_address, from, wait_ms);
	struct http_spec spec = {
		.url = url,
		.timeout_us = wait_ms * USEC_PER_MSEC + READ_SLACK_US,
		.response_max_bytes = READ_MAX_BYTES,
	};
	struct http_call *call =
		http_call_start(client->loop, &spec, done, client);

	g_free(url);
	return call;
}

static void start_read(struct log_client *client)
{
	client->read_started_us = clock_now_us();
	client->read_at_us = DEADLINE_NEVER_US;
	client->pending_read_offset = client->next_read_offset;
	client->read_wait_ms = client->reachable ? POLL_WAIT_MS : 0;
	client->read = start_get(client, client->next_read_offset,
				 client->read_wait_ms, on_read_done);
	if (client->read)
		return;
	on_failure(client);
	schedule_read(client, client->read_started_us + client->backoff_us);
}

/* A failed request for the bounds is retried, unless the log is unreachable. */
static void on_bounds_done(void *data, const struct http_result *result)
{
	struct log_client *client = data;
	struct log_response response;

	client->bounds_call = NULL;
	if (parse_result(client, result, client->bounds_from, &response)) {
		client->bounds_wanted = false;
		if (client->reachable)
			emit_state(client);
	} else {
		client->bounds_retry_us = clock_now_us() + BACKOFF_MAX_US;
		kernel_wake_at(client->kernel, client->bounds_retry_us);
	}
	log_response_clear(&response);
}

static void request_bounds(struct log_client *client)
{
	/* The response to a pending request may predate this one. */
	http_call_cancel(client->bounds_call);
	client->bounds_call = NULL;
	if (!client->bounds_wanted || !client->reachable)
		return;
	/* Reads at the end, as only the bounds are needed and no records. */
	client->bounds_from = client->next_offset;
	client->bounds_call =
		start_get(client, client->bounds_from, 0, on_bounds_done);
	client->bounds_retry_us = DEADLINE_NEVER_US;
	if (client->bounds_call)
		return;
	client->bounds_retry_us = clock_now_us() + BACKOFF_MAX_US;
	kernel_wake_at(client->kernel, client->bounds_retry_us);
}

static void emit_appended(struct log_client *client, uint64_t append_id,
			  enum append_result result, uint64_t first_offset)
{
	struct event event = { .type = EVENT_LOG_APPENDED };

	event.append.append_id = append_id;
	event.append.result = result;
	event.append.first_offset = first_offset;
	kernel_emit(client->kernel, &event);
}

static enum append_result classify_append(const struct http_result *result,
					  uint64_t *platform_offset)
{
	const GByteArray *body = result->body;

	if (!result->sent)
		return APPEND_NOT_STORED;
	if (!result->complete)
		return APPEND_UNKNOWN;
	if (result->status == 200 &&
	    log_appended_parse(body->data, body->len, platform_offset))
		return APPEND_OK;
	if (result->status >= 400 && result->status < 500)
		return APPEND_NOT_STORED;
	/* Other errors may come from a proxy after the append was stored. */
	if (result->status == 503 &&
	    log_is_append_refused(body->data, body->len))
		return APPEND_NOT_STORED;
	return APPEND_UNKNOWN;
}

static void on_append_done(void *data, const struct http_result *result)
{
	static const char *const counters[] = {
		[APPEND_OK] = "log_appends_total{result=\"ok\"}",
		[APPEND_NOT_STORED] = "log_appends_total{result=\"not-taken\"}",
		[APPEND_UNKNOWN] = "log_appends_total{result=\"unknown\"}",
	};
	struct append *append = data;
	struct log_client *client = append->client;
	uint64_t platform_offset = 0;
	uint64_t first_offset = 0;
	enum append_result outcome = classify_append(result, &platform_offset);

	if (outcome == APPEND_OK)
		first_offset =
			log_block_first(platform_offset, append->record_count);
	count(client, counters[outcome]);
	emit_appended(client, append->append_id, outcome, first_offset);
	g_hash_table_remove(client->appends, append);
}

static void append_free(gpointer data)
{
	g_free(data);
}

static void start_append(struct log_client *client,
			 const struct event_append *requested)
{
	const struct settings *settings = kernel_settings(client->kernel);
	char *url = g_strdup_printf("http://%s/append", settings->log_address);
	GBytes *body = batch_encode(requested->records);
	struct http_spec spec = {
		.url = url,
		.body = body,
		.content_type = "application/octet-stream",
		.timeout_us = APPEND_TIMEOUT_US,
		.response_max_bytes = APPEND_RESPONSE_MAX_BYTES,
	};
	struct append *append = g_new0(struct append, 1);

	append->client = client;
	append->append_id = requested->append_id;
	append->record_count = requested->records->len;
	append->call =
		http_call_start(client->loop, &spec, on_append_done, append);
	if (append->call) {
		g_hash_table_add(client->appends, append);
	} else {
		emit_appended(client, requested->append_id, APPEND_NOT_STORED,
			      0);
		g_free(append);
	}
	g_bytes_unref(body);
	g_free(url);
}

static void on_wake(struct log_client *client)
{
	int64_t now_us = clock_now_us();

	if (!client->read && now_us >= client->read_at_us)
		start_read(client);
	else if (client->read_at_us != DEADLINE_NEVER_US)
		kernel_wake_at(client->kernel, client->read_at_us);
	if (now_us >= client->bounds_retry_us)
		request_bounds(client);
	else if (client->bounds_retry_us != DEADLINE_NEVER_US)
		kernel_wake_at(client->kernel, client->bounds_retry_us);
}

static void log_handle(void *self, const struct event *event)
{
	struct log_client *client = self;

	switch (event->type) {
	case EVENT_STARTED:
		start_read(client);
		break;
	case EVENT_WAKE:
		on_wake(client);
		break;
	case EVENT_LOG_APPEND:
		start_append(client, &event->append);
		break;
	case EVENT_LOG_QUERY:
		client->bounds_wanted = true;
		request_bounds(client);
		break;
	case EVENT_FLEET_RESET:
		client->next_read_offset =
			MAX(client->next_read_offset,
			    log_block_after(event->subject.offset));
		break;
	default:
		break;
	}
}

static void *log_init(struct kernel *kernel)
{
	struct log_client *client;

	if (!kernel_settings(kernel)->log_address[0]) {
		klog_error(LOG_PREFIX, "the setting log_address is missing");
		return NULL;
	}
	client = g_new0(struct log_client, 1);
	client->kernel = kernel;
	client->loop = curl_loop_new(kernel_loop(kernel));
	client->appends = g_hash_table_new_full(NULL, NULL, append_free, NULL);
	client->read_at_us = DEADLINE_NEVER_US;
	client->bounds_retry_us = DEADLINE_NEVER_US;
	client->next_read_offset = 1;
	client->first_offset = 1;
	client->next_offset = 1;
	return client;
}

static void log_fini(void *self)
{
	struct log_client *client = self;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, client->appends);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		http_call_cancel(((struct append *)key)->call);
	g_hash_table_unref(client->appends);
	http_call_cancel(client->read);
	http_call_cancel(client->bounds_call);
	curl_loop_free(client->loop);
	g_free(client);
}

static const struct plugin log_plugin = {
	.name = "http",
	.kind = PLUGIN_LOG,
	.preferred = true,
	.subscriptions = EVENT_BIT(EVENT_STARTED) | EVENT_BIT(EVENT_WAKE) |
			 EVENT_BIT(EVENT_LOG_APPEND) |
			 EVENT_BIT(EVENT_LOG_QUERY) |
			 EVENT_BIT(EVENT_FLEET_RESET),
	.init = log_init,
	.handle = log_handle,
	.fini = log_fini,
};

PLUGIN_REGISTER(log_plugin)
