/* The endpoint client: HTTP/1.1 through libcurl. */

#include <string.h>

#include "io/curl_loop.h"
#include "io/token.h"
#include "kernel/clock.h"
#include "kernel/kernel.h"

#define RESPONSE_MAX_BYTES (UINT64_C(4) * 1024 * 1024)
/*
 * A connect inside a data centre takes about a millisecond. An endpoint that
 * does not accept within this time counts as refusing the connection.
 */
#define CONNECT_MAX_MS 1000
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

struct endpoint_client {
	struct kernel *kernel;
	struct curl_loop *loop;
	GHashTable *attempts; /* set of struct attempt */
	char *relay_mac;
};

struct attempt {
	struct endpoint_client *client;
	struct event_attempt info;
	CURL *easy;
	struct curl_slist *headers;
	GBytes *body; /* of the request */
	GByteArray *response_body;
	int64_t started_us;
	bool connected;	  /* bytes of the request may have been sent */
	bool too_large;	  /* the response exceeds RESPONSE_MAX_BYTES */
	bool has_excess;  /* bytes after the announced length */
	bool has_headers; /* the final headers are complete */
	bool is_head;	  /* HEAD request */
};

static const char *const result_counters[] = {
	[ATTEMPT_ANSWERED] = "attempts_total{result=\"answered\"}",
	[ATTEMPT_REFUSED] = "attempts_total{result=\"refused\"}",
	[ATTEMPT_FAILED] = "attempts_total{result=\"failed\"}",
	[ATTEMPT_TRUNCATED] = "attempts_total{result=\"truncated\"}",
	[ATTEMPT_TIMED_OUT] = "attempts_total{result=\"timed_out\"}",
	[ATTEMPT_CANCELLED] = "attempts_total{result=\"cancelled\"}",
};

static guint attempt_hash(gconstpointer key)
{
	const struct attempt *attempt = key;

	return g_int64_hash(&attempt->info.request_id) ^ attempt->info.attempt;
}

static gboolean attempt_equal(gconstpointer a, gconstpointer b)
{
	const struct attempt *left = a;
	const struct attempt *right = b;

	return left->info.request_id == right->info.request_id &&
	       left->info.attempt == right->info.attempt;
}

static void attempt_free(gpointer data)
{
	struct attempt *attempt = data;

	if (attempt->easy) {
		curl_loop_cancel(attempt->client->loop, attempt->easy);
		curl_easy_cleanup(attempt->easy);
	}
	curl_slist_free_all(attempt->headers);
	if (attempt->body)
		g_bytes_unref(attempt->body);
	if (attempt->response_body)
		g_byte_array_unref(attempt->response_body);
	g_free(attempt);
}

static void emit_done(struct endpoint_client *client,
		      const struct event_attempt *info, struct response *answer)
{
	struct event event = {
		.type = EVENT_ATTEMPT_DONE,
		.attempt = *info,
		.response = answer,
	};

	counter_add(kernel_counters(client->kernel),
		    result_counters[info->result], 1);
	kernel_emit(client->kernel, &event);
}

/* Only ATTEMPT_ANSWERED is proof that the request was run. */
static enum attempt_result result_from_code(const struct attempt *attempt,
					    CURLcode code)
{
	if (attempt->too_large || attempt->has_excess)
		return ATTEMPT_TRUNCATED;
	switch (code) {
	case CURLE_OK:
		return ATTEMPT_ANSWERED;
	case CURLE_PARTIAL_FILE:
	case CURLE_FILESIZE_EXCEEDED:
		return ATTEMPT_TRUNCATED;
	case CURLE_OPERATION_TIMEDOUT:
		if (clock_now_us() >= attempt->info.deadline_us)
			return ATTEMPT_TIMED_OUT;
		return attempt->connected ? ATTEMPT_TIMED_OUT : ATTEMPT_REFUSED;
	default:
		return attempt->connected ? ATTEMPT_FAILED : ATTEMPT_REFUSED;
	}
}

static const char *response_header(CURL *easy, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(easy, name, 0, CURLH_HEADER, -1, &header) !=
	    CURLHE_OK)
		return NULL;
	return header->value;
}

/*
 * If the connection closes within the headers, or within a body of unannounced
 * length, libcurl reports success although the response may be truncated.
 */
static bool is_complete(const struct attempt *attempt, uint32_t status)
{
	curl_off_t length_bytes = -1;

	if (!attempt->has_headers)
		return false;
	if (attempt->is_head || status == STATUS_NO_CONTENT ||
	    status == STATUS_NOT_MODIFIED)
		return true;
	curl_easy_getinfo(attempt->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
			  &length_bytes);
	return length_bytes >= 0 ||
	       response_header(attempt->easy, "Transfer-Encoding");
}

static enum verdict attempt_verdict(const struct attempt *attempt)
{
	const char *verdict;

	if (!attempt->connected)
		return VERDICT_NOT_RUN;
	if (attempt->info.result != ATTEMPT_ANSWERED)
		return VERDICT_MAY_HAVE_RUN;
	if (!attempt->info.relayed)
		return VERDICT_RAN;
	verdict = response_header(attempt->easy, "Pl-Verdict");
	if (!verdict || verdict_from_name(verdict) == VERDICT_NONE)
		return VERDICT_MAY_HAVE_RUN;
	return verdict_from_name(verdict);
}

static struct response *build_answer(struct attempt *attempt)
{
	GByteArray *received = attempt->response_body;
	const char *content_type = NULL;

	attempt->response_body = NULL;
	curl_easy_getinfo(attempt->easy, CURLINFO_CONTENT_TYPE, &content_type);
	return response_new(attempt->info.status,
			    content_type ? content_type : "",
			    g_byte_array_free_to_bytes(received));
}

static void on_done(void *data, CURL *easy, CURLcode code)
{
	struct attempt *attempt = data;
	struct endpoint_client *client = attempt->client;
	struct event_attempt *info = &attempt->info;
	struct response *answer = NULL;
	uint32_t status = curl_loop_status(easy);

	info->result = result_from_code(attempt, code);
	if (info->result == ATTEMPT_ANSWERED && !is_complete(attempt, status))
		info->result = ATTEMPT_TRUNCATED;
	info->status = info->result == ATTEMPT_ANSWERED ? status : 0;
	info->verdict = attempt_verdict(attempt);
	info->latency_us = clock_now_us() - attempt->started_us;
	if (info->result == ATTEMPT_ANSWERED)
		answer = build_answer(attempt);
	emit_done(client, info, answer);
	g_hash_table_remove(client->attempts, attempt);
}

/* Callbacks of libcurl */

static size_t on_body(char *data, size_t size, size_t count, void *self)
{
	struct attempt *attempt = self;
	size_t size_bytes = size * count;

	if (attempt->response_body->len + size_bytes > RESPONSE_MAX_BYTES) {
		attempt->too_large = true;
		return 0;
	}
	g_byte_array_append(attempt->response_body, (const guint8 *)data,
			    (guint)size_bytes);
	return size_bytes;
}

static size_t on_header(char *data, size_t size, size_t count, void *self)
{
	struct attempt *attempt = self;

	/*
	 * An empty line ends the headers. Those of a final response after an
	 * interim one reset the flag.
	 */
	attempt->has_headers = data[0] == '\r' || data[0] == '\n';
	return size * count;
}

/*
 * Called before each request that libcurl sends. libcurl retries by itself
 * when a reused connection breaks, which could run the request twice without
 * the router's knowledge.
 */
static int on_before_request(void *self, char *remote_ip, char *local_ip,
			     int remote_port, int local_port)
{
	struct attempt *attempt = self;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (attempt->connected)
		return CURL_PREREQFUNC_ABORT;
	attempt->connected = true;
	return CURL_PREREQFUNC_OK;
}

/* libcurl reports bytes after the announced length only in this message. */
static int on_debug(CURL *easy, curl_infotype type, char *data,
		    size_t size_bytes, void *self)
{
	static const char excess[] = "Excess found";
	struct attempt *attempt = self;

	(void)easy;
	if (type == CURLINFO_TEXT && size_bytes >= sizeof(excess) - 1 &&
	    !memcmp(data, excess, sizeof(excess) - 1))
		attempt->has_excess = true;
	return 0;
}

/* Sending */

static void add_header(struct attempt *attempt, const char *name,
		       const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	attempt->headers = curl_slist_append(attempt->headers, line);
	g_free(line);
}

static void set_headers(struct attempt *attempt, const struct request *request,
			int64_t remaining_ms)
{
	char number[24];

	/* An empty value suppresses libcurl's own header. */
	attempt->headers = curl_slist_append(attempt->headers, "Expect:");
	attempt->headers = curl_slist_append(attempt->headers, "Accept:");
	if (request->content_type[0])
		add_header(attempt, "Content-Type", request->content_type);
	else
		attempt->headers =
			curl_slist_append(attempt->headers, "Content-Type:");
	if (attempt->info.relayed) {
		g_snprintf(number, sizeof(number), "%" G_GINT64_FORMAT,
			   remaining_ms);
		add_header(attempt, "Pl-Relay", attempt->client->relay_mac);
		add_header(attempt, "Pl-Deadline-Ms", number);
		if (request->key[0])
			add_header(attempt, "Idempotency-Key", request->key);
	}
	curl_easy_setopt(attempt->easy, CURLOPT_HTTPHEADER, attempt->headers);
}

static void set_request(struct attempt *attempt, const struct request *request)
{
	CURL *easy = attempt->easy;
	const struct event_attempt *info = &attempt->info;
	char *url = g_strdup_printf("http://%s/", info->address);
	bool may_lack_body = strcmp(request->method, "POST") != 0 &&
			     strcmp(request->method, "PUT") != 0 &&
			     strcmp(request->method, "PATCH") != 0;
	gsize size_bytes = 0;
	const void *data = NULL;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request->path);
	if (request->body) {
		attempt->body = g_bytes_ref(request->body);
		data = g_bytes_get_data(attempt->body, &size_bytes);
	}
	attempt->is_head = !strcmp(request->method, "HEAD");
	if (attempt->is_head) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	} else if (size_bytes || !may_lack_body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)size_bytes);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, data ? data : "");
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	g_free(url);
}

static void set_callbacks(struct attempt *attempt)
{
	CURL *easy = attempt->easy;

	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, attempt);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, attempt);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, attempt);
	curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, on_debug);
	curl_easy_setopt(easy, CURLOPT_DEBUGDATA, attempt);
	curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L);
}

static void set_limits(struct attempt *attempt,
		       const struct endpoint_client *client,
		       const struct request *request, int64_t remaining_ms)
{
	const struct decl_service *service = fleet_find_service_by_path(
		kernel_fleet(client->kernel), request->path);
	CURL *easy = attempt->easy;

	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)remaining_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)MIN(remaining_ms, CONNECT_MAX_MS));
	curl_easy_setopt(easy, CURLOPT_MAXFILESIZE_LARGE,
			 (curl_off_t)RESPONSE_MAX_BYTES);
	/*
	 * The endpoint may close an idle connection just as a request is sent
	 * on it, which leaves the outcome unknown. Only idempotent requests
	 * take that risk. New connections are closed after the response: kept
	 * ones would add up to the endpoint's connection limit.
	 */
	if (!service || !service->idempotent) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

static bool start_transfer(struct endpoint_client *client,
			   struct attempt *attempt,
			   const struct request *request)
{
	int64_t remaining_us = attempt->info.deadline_us - attempt->started_us;
	int64_t remaining_ms =
		(remaining_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC;

	attempt->easy = curl_loop_easy_new();
	if (!attempt->easy)
		return false;
	remaining_ms = MIN(remaining_ms, INT32_MAX);
	attempt->response_body = g_byte_array_new();
	set_request(attempt, request);
	set_headers(attempt, request, remaining_ms);
	set_callbacks(attempt);
	set_limits(attempt, client, request, remaining_ms);
	return curl_loop_submit(client->loop, attempt->easy, on_done, attempt);
}

static void finish_unsent(struct endpoint_client *client,
			  const struct event_attempt *requested,
			  enum attempt_result result)
{
	struct event_attempt info = *requested;

	info.result = result;
	info.verdict = VERDICT_NOT_RUN;
	info.latency_us = 0;
	info.status = 0;
	emit_done(client, &info, NULL);
}

static void send_attempt(struct endpoint_client *client,
			 const struct event_attempt *requested)
{
	const struct request *request = request_get(
		kernel_requests(client->kernel), requested->request_id);
	struct attempt *attempt;

	if (!request) {
		finish_unsent(client, requested, ATTEMPT_CANCELLED);
		return;
	}
	if (requested->deadline_us <= clock_now_us()) {
		finish_unsent(client, requested, ATTEMPT_TIMED_OUT);
		return;
	}
	attempt = g_new0(struct attempt, 1);
	attempt->client = client;
	attempt->info = *requested;
	attempt->started_us = clock_now_us();
	if (start_transfer(client, attempt, request)) {
		g_hash_table_add(client->attempts, attempt);
		return;
	}
	finish_unsent(client, requested, ATTEMPT_REFUSED);
	attempt_free(attempt);
}

static void cancel_attempt(struct endpoint_client *client,
			   const struct event_attempt *requested)
{
	const struct attempt key = { .info = *requested };
	struct attempt *attempt = g_hash_table_lookup(client->attempts, &key);

	if (!attempt)
		return;
	attempt->info.result = ATTEMPT_CANCELLED;
	attempt->info.verdict = attempt_verdict(attempt);
	attempt->info.latency_us = clock_now_us() - attempt->started_us;
	attempt->info.status = 0;
	emit_done(client, &attempt->info, NULL);
	g_hash_table_remove(client->attempts, attempt);
}

static void client_handle(void *self, const struct event *event)
{
	if (event->type == EVENT_ATTEMPT_SEND)
		send_attempt(self, &event->attempt);
	else if (event->type == EVENT_ATTEMPT_CANCEL)
		cancel_attempt(self, &event->attempt);
}

static void *client_init(struct kernel *kernel)
{
	struct endpoint_client *client;
	char *token = token_read(kernel_settings(kernel)->token_file);

	if (!token)
		return NULL;
	client = g_new0(struct endpoint_client, 1);
	client->relay_mac = token_relay_mac(token);
	g_free(token);
	client->kernel = kernel;
	client->loop = curl_loop_new(kernel_loop(kernel));
	client->attempts = g_hash_table_new_full(attempt_hash, attempt_equal,
						 attempt_free, NULL);
	return client;
}

static void client_fini(void *self)
{
	struct endpoint_client *client = self;

	g_hash_table_unref(client->attempts);
	curl_loop_free(client->loop);
	g_free(client->relay_mac);
	g_free(client);
}

static const struct plugin client_plugin = {
	.name = "curl",
	.kind = PLUGIN_ENDPOINT,
	.preferred = true,
	.subscriptions =
		EVENT_BIT(EVENT_ATTEMPT_SEND) | EVENT_BIT(EVENT_ATTEMPT_CANCEL),
	.init = client_init,
	.handle = client_handle,
	.fini = client_fini,
};

PLUGIN_REGISTER(client_plugin)
