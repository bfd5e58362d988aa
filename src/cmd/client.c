#include "cmd/client.h"

#include <ev.h>
#include <stdio.h>
#include <string.h>

#include "io/curl_loop.h"

#define CONNECT_MAX_MS 2000L
#define OPTION_TOKEN_FILE 't'
#define OPTION_SERVER 's'

struct transfer {
	struct client_call *call;
	CURL *easy;
	GByteArray *received;
	bool connected;
	uint32_t *pending_count;
	struct ev_loop *ev;
};

static void read_token(struct argp_state *state, const char *path,
		       struct client_options *options)
{
	GError *error = NULL;
	gchar *text;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		argp_error(state, "token file: %s", error->message);
		g_error_free(error);
		return;
	}
	g_free(options->token);
	options->token = g_strstrip(text);
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct client_options *options = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		options->servers = g_ptr_array_new_with_free_func(g_free);
		return 0;
	case OPTION_SERVER:
		g_ptr_array_add(options->servers, g_strdup(arg));
		return 0;
	case OPTION_TOKEN_FILE:
		read_token(state, arg, options);
		return 0;
	case ARGP_KEY_END:
		if (!options->servers->len)
			argp_error(state, "--server is missing");
		if (!options->token)
			argp_error(state, "--token-file is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options_list[] = {
	{ "server", OPTION_SERVER, "IP:PORT", 0,
	  "operator address of an entry instance; may be repeated", 0 },
	{ "token-file", OPTION_TOKEN_FILE, "FILE", 0,
	  "file with the operators' bearer token", 0 },
	{ 0 },
};

static const struct argp client_argp = {
	.options = options_list,
	.parser = parse,
};

const struct argp_child client_parsers[] = {
	{ &client_argp, 0, NULL, 0 },
	{ 0 },
};

void client_options_clear(struct client_options *options)
{
	if (options->servers)
		g_ptr_array_unref(options->servers);
	g_free(options->token);
}

void client_call_free(gpointer data)
{
	struct client_call *call = data;

	if (!call)
		return;
	g_free(call->server);
	json_decref(call->response);
	g_free(call->error);
	g_free(call);
}

static size_t on_body(char *data, size_t size, size_t count, void *self)
{
	struct transfer *transfer = self;

	g_byte_array_append(transfer->received, (const guint8 *)data,
			    (guint)(size * count));
	return size * count;
}

static int on_before_request(void *self, char *remote_ip, char *local_ip,
			     int remote_port, int local_port)
{
	struct transfer *transfer = self;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	transfer->connected = true;
	return CURL_PREREQFUNC_OK;
}

static void on_done(void *data, CURL *easy, CURLcode code)
{
	struct transfer *transfer = data;
	struct client_call *call = transfer->call;

	if (code == CURLE_OK) {
		call->result = CLIENT_RESPONDED;
		call->status = curl_loop_status(easy);
		call->response =
			json_loadb((const char *)transfer->received->data,
				   transfer->received->len, 0, NULL);
	} else {
		call->result = transfer->connected ? CLIENT_NO_RESPONSE
						   : CLIENT_UNREACHABLE;
		call->error = g_strdup(curl_easy_strerror(code));
	}
	if (--*transfer->pending_count == 0)
		ev_break(transfer->ev, EVBREAK_ALL);
}

static void set_request(struct transfer *transfer, const char *method,
			const char *target, const char *body,
			struct curl_slist *headers, int64_t timeout_us)
{
	CURL *easy = transfer->easy;
	char *url =
		g_strdup_printf("http://%s%s", transfer->call->server, target);

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	if (!strcmp(method, "POST")) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS,
				 body ? body : "");
	}
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(timeout_us / USEC_PER_MSEC));
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MAX_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	g_free(url);
}

static struct curl_slist *make_headers(const struct client_options *options)
{
	char *line =
		g_strdup_printf("Authorization: Bearer %s", options->token);
	struct curl_slist *headers = curl_slist_append(NULL, line);

	g_free(line);
	headers = curl_slist_append(headers, "Expect:");
	return curl_slist_append(headers, "Content-Type: application/json");
}

GPtrArray *client_call_all(const struct client_options *options,
			   const GPtrArray *servers, const char *method,
			   const char *target, const char *body,
			   int64_t timeout_us)
{
	GPtrArray *calls = g_ptr_array_new_with_free_func(client_call_free);
	struct transfer *transfers = g_new0(struct transfer, servers->len);
	struct curl_slist *headers = make_headers(options);
	struct ev_loop *ev = ev_loop_new(EVFLAG_AUTO);
	struct curl_loop *loop = curl_loop_new(ev);
	uint32_t pending_count = 0;

	for (guint i = 0; i < servers->len; i++) {
		struct client_call *call = g_new0(struct client_call, 1);

		call->server = g_strdup(servers->pdata[i]);
		call->result = CLIENT_UNREACHABLE;
		g_ptr_array_add(calls, call);
		transfers[i].call = call;
		transfers[i].easy = curl_loop_easy_new();
		transfers[i].received = g_byte_array_new();
		transfers[i].pending_count = &pending_count;
		transfers[i].ev = ev;
		set_request(&transfers[i], method, target, body, headers,
			    timeout_us);
		if (curl_loop_submit(loop, transfers[i].easy, on_done,
				     &transfers[i]))
			pending_count++;
	}
	if (pending_count)
		ev_run(ev, 0);
	for (guint i = 0; i < servers->len; i++) {
		curl_easy_cleanup(transfers[i].easy);
		g_byte_array_unref(transfers[i].received);
	}
	curl_loop_free(loop);
	ev_loop_destroy(ev);
	curl_slist_free_all(headers);
	g_free(transfers);
	return calls;
}

struct client_call *client_call_first(const struct client_options *options,
				      const char *method, const char *target,
				      const char *body, int64_t timeout_us)
{
	struct client_call *call = NULL;

	for (guint i = 0; i < options->servers->len; i++) {
		GPtrArray *one = g_ptr_array_new();
		GPtrArray *calls;

		client_call_free(call);
		g_ptr_array_add(one, options->servers->pdata[i]);
		calls = client_call_all(options, one, method, target, body,
					timeout_us);
		call = g_ptr_array_steal_index(calls, 0);
		g_ptr_array_unref(calls);
		g_ptr_array_unref(one);
		if (call->result != CLIENT_UNREACHABLE)
			break;
	}
	return call;
}

static void print_reasons(const struct client_call *call)
{
	const json_t *reasons = json_object_get(call->response, "reasons");
	const char *reason =
		json_string_value(json_object_get(call->response, "reason"));

	for (size_t i = 0; i < json_array_size(reasons); i++)
		fprintf(stderr, "%s\n",
			json_string_value(json_array_get(reasons, i)));
	if (reason)
		fprintf(stderr, "%s\n", reason);
	if (!reason && !json_array_size(reasons))
		fprintf(stderr, "%s: HTTP status %u\n", call->server,
			call->status);
}

enum exit_code client_report(const struct client_call *call)
{
	const char *outcome =
		json_string_value(json_object_get(call->response, "outcome"));

	if (call->result != CLIENT_RESPONDED) {
		fprintf(stderr, "%s: %s\n", call->server,
			call->error ? call->error : "the request was not sent");
		return call->result == CLIENT_NO_RESPONSE ? EXIT_UNKNOWN
							  : EXIT_UNREACHABLE;
	}
	if (call->status / 100 == 2 && call->response)
		return EXIT_DONE;
	print_reasons(call);
	if (outcome && !strcmp(outcome, "rejected"))
		return EXIT_REJECTED;
	return call->status / 100 == 4 ? EXIT_REJECTED : EXIT_UNKNOWN;
}

const char *client_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}
