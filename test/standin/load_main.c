/*
 * Load generator: sends classes of requests at fixed rates to one or more
 * entry instances, checks that each answer belongs to its request, and prints
 * a table of the outcomes of each class.
 *
 * A class is NAME,METHOD,PATH,RATE_PER_S[,key][,deadline_ms=N]
 */

#include <argp.h>
#include <curl/curl.h>
#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLASSES_MAX_COUNT 32
#define SERVERS_MAX_COUNT 16
#define IN_FLIGHT_MAX_COUNT 4000
#define LATENCY_MAX_MS 10000.
#define LATENCY_BINS_COUNT 100000
#define TIMEOUT_MS 15000L
#define USEC_PER_SEC INT64_C(1000000)

enum outcome {
	OUTCOME_OK,
	OUTCOME_NOT_RUN, /* refused with this verdict */
	OUTCOME_MAY_HAVE_RUN,
	OUTCOME_RAN_ERROR, /* an endpoint's own error */
	OUTCOME_WRONG,	   /* answer truncated or of another request */
	OUTCOME_BROKEN,	   /* connection refused, reset or timed out */
	OUTCOME_COUNT,
};

static const char *const outcome_names[OUTCOME_COUNT] = {
	"ok", "not-run", "may-have", "error", "WRONG", "broken"
};

struct class
{
	char *name;
	char *method;
	char *path;
	double rate_per_s;
	gboolean with_key;
	long deadline_ms;
	int64_t next_us; /* when the next request is due */
	guint64 sent_count;
	guint64 counts[OUTCOME_COUNT];
	gsl_histogram *latency_ms;
};

struct load {
	char *servers[SERVERS_MAX_COUNT];
	guint server_count;
	struct class classes[CLASSES_MAX_COUNT];
	guint class_count;
	double seconds;
	CURLM *multi;
	guint in_flight_count;
	guint64 next_id;
	char *prefix; /* of request ids, unique to the run */
};

struct call {
	struct class *class;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	GString *answer;
	char verdict[32];
	int64_t sent_us;
};

static size_t on_body(char *data, size_t size, size_t count, void *user)
{
	struct call *call = user;

	g_string_append_len(call->answer, data, (gssize)(size * count));
	return size * count;
}

static size_t on_header(char *data, size_t size, size_t count, void *user)
{
	static const char name[] = "Pl-Verdict:";
	struct call *call = user;
	size_t size_bytes = size * count;

	if (size_bytes > strlen(name) &&
	    !g_ascii_strncasecmp(data, name, strlen(name))) {
		char *value = g_strndup(data + strlen(name),
					size_bytes - strlen(name));

		g_strlcpy(call->verdict, g_strstrip(value),
			  sizeof(call->verdict));
		g_free(value);
	}
	return size_bytes;
}

static void add_headers(struct load *load, struct call *call)
{
	struct class *class = call->class;
	char *text;

	if (class->with_key) {
		text = g_strdup_printf("Idempotency-Key: %" G_GINT64_FORMAT
				       "-%s",
				       g_get_real_time() / 1000, call->body);
		call->headers = curl_slist_append(call->headers, text);
		g_free(text);
	}
	if (class->deadline_ms) {
		text = g_strdup_printf("Pl-Deadline-Ms: %ld",
				       class->deadline_ms);
		call->headers = curl_slist_append(call->headers, text);
		g_free(text);
	}
	call->headers = curl_slist_append(call->headers, "Expect:");
	(void)load;
}

static void send_one(struct load *load, struct class *class)
{
	struct call *call = g_new0(struct call, 1);
	const char *server = load->servers[load->next_id % load->server_count];
	char *url = g_strdup_printf("http://%s%s", server, class->path);

	call->class = class;
	call->body = g_strdup_printf("%s-%" G_GUINT64_FORMAT, load->prefix,
				     ++load->next_id);
	call->answer = g_string_new(NULL);
	call->easy = curl_easy_init();
	call->sent_us = g_get_monotonic_time();
	add_headers(load, call);
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, class->method);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->body);
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
	curl_multi_add_handle(load->multi, call->easy);
	load->in_flight_count++;
	class->sent_count++;
	g_free(url);
}

static enum outcome classify(const struct call *call, CURLcode code)
{
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK)
		return status == 200 ? OUTCOME_WRONG : OUTCOME_BROKEN;
	if (status == 200)
		return strcmp(call->answer->str, call->body) ? OUTCOME_WRONG
							     : OUTCOME_OK;
	if (!strcmp(call->verdict, "not-run"))
		return OUTCOME_NOT_RUN;
	if (!strcmp(call->verdict, "may-have-run"))
		return OUTCOME_MAY_HAVE_RUN;
	return OUTCOME_RAN_ERROR;
}

static void finish(struct load *load, CURL *easy, CURLcode code)
{
	struct call *call;
	enum outcome outcome;
	double latency_ms;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&call);
	outcome = classify(call, code);
	latency_ms = (double)(g_get_monotonic_time() - call->sent_us) / 1000.;
	call->class->counts[outcome]++;
	if (outcome == OUTCOME_OK)
		gsl_histogram_increment(call->class->latency_ms,
					MIN(latency_ms, LATENCY_MAX_MS - 1.));
	curl_multi_remove_handle(load->multi, easy);
	curl_easy_cleanup(easy);
	curl_slist_free_all(call->headers);
	g_string_free(call->answer, TRUE);
	g_free(call->body);
	g_free(call);
	load->in_flight_count--;
}

static void collect(struct load *load)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(load->multi, &left))) {
		if (message->msg == CURLMSG_DONE)
			finish(load, message->easy_handle,
			       message->data.result);
	}
}

/* Sends the requests that are due; returns when the next one is due. */
static int64_t send_due(struct load *load, int64_t now_us)
{
	int64_t next_us = INT64_MAX;

	for (guint i = 0; i < load->class_count; i++) {
		struct class *class = &load->classes[i];
		int64_t interval_us =
			(int64_t)((double)USEC_PER_SEC / class->rate_per_s);

		while (class->next_us <= now_us &&
		       load->in_flight_count < IN_FLIGHT_MAX_COUNT) {
			send_one(load, class);
			class->next_us += interval_us;
		}
		next_us = MIN(next_us, class->next_us);
	}
	return next_us;
}

static void run(struct load *load)
{
	int64_t start_us = g_get_monotonic_time();
	int64_t end_us =
		start_us + (int64_t)(load->seconds * (double)USEC_PER_SEC);
	int running;

	for (guint i = 0; i < load->class_count; i++)
		load->classes[i].next_us = start_us;
	for (;;) {
		int64_t now_us = g_get_monotonic_time();
		int64_t next_us;

		if (now_us < end_us)
			next_us = send_due(load, now_us);
		else if (!load->in_flight_count)
			break;
		else
			next_us = now_us + USEC_PER_SEC;
		curl_multi_perform(load->multi, &running);
		collect(load);
		curl_multi_poll(load->multi, NULL, 0,
				(int)CLAMP((next_us - now_us) / 1000, 1, 1000),
				NULL);
	}
}

/* The latency that a share of the answered requests did not exceed. */
static double percentile(const gsl_histogram *histogram, double share)
{
	double target = gsl_histogram_sum(histogram) * share;
	double sum = 0.;

	for (size_t i = 0; i < LATENCY_BINS_COUNT; i++) {
		sum += gsl_histogram_get(histogram, i);
		if (sum >= target && sum > 0.)
			return LATENCY_MAX_MS * (double)(i + 1) /
			       LATENCY_BINS_COUNT;
	}
	return 0.;
}

static guint64 print_table(const struct load *load)
{
	guint64 wrong_count = 0;

	printf("%-20s %7s", "class", "sent");
	for (guint i = 0; i < OUTCOME_COUNT; i++)
		printf(" %8s", outcome_names[i]);
	printf(" %8s %8s\n", "p50 ms", "p99 ms");
	for (guint i = 0; i < load->class_count; i++) {
		const struct class *class = &load->classes[i];

		printf("%-20s %7" G_GUINT64_FORMAT, class->name,
		       class->sent_count);
		for (guint k = 0; k < OUTCOME_COUNT; k++)
			printf(" %8" G_GUINT64_FORMAT, class->counts[k]);
		printf(" %8.1f %8.1f\n", percentile(class->latency_ms, 0.5),
		       percentile(class->latency_ms, 0.99));
		wrong_count += class->counts[OUTCOME_WRONG];
	}
	return wrong_count;
}

static void add_class(struct load *load, const char *text)
{
	struct class *class = &load->classes[load->class_count++];
	gchar **parts = g_strsplit(text, ",", 0);

	if (load->class_count > CLASSES_MAX_COUNT || g_strv_length(parts) < 4)
		g_error("load: invalid class %s", text);
	class->name = g_strdup(parts[0]);
	class->method = g_strdup(parts[1]);
	class->path = g_strdup(parts[2]);
	class->rate_per_s = g_ascii_strtod(parts[3], NULL);
	for (guint i = 4; parts[i]; i++) {
		if (!strcmp(parts[i], "key"))
			class->with_key = TRUE;
		if (g_str_has_prefix(parts[i], "deadline_ms="))
			class->deadline_ms = atol(strchr(parts[i], '=') + 1);
	}
	class->latency_ms = gsl_histogram_alloc(LATENCY_BINS_COUNT);
	gsl_histogram_set_ranges_uniform(class->latency_ms, 0., LATENCY_MAX_MS);
	g_strfreev(parts);
}

static const struct argp_option options[] = {
	{ "server", 's', "IP:PORT", 0, "An entry instance; may be repeated",
	  0 },
	{ "class", 'c', "CLASS", 0, "A class of requests", 0 },
	{ "seconds", 't', "N", 0, "Duration", 0 },
	{ 0 },
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct load *load = state->input;

	switch (key) {
	case 's':
		if (load->server_count == SERVERS_MAX_COUNT)
			argp_error(state, "too many servers");
		load->servers[load->server_count++] = arg;
		return 0;
	case 'c':
		add_class(load, arg);
		return 0;
	case 't':
		load->seconds = atof(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static struct load load = { .seconds = 5. };
	const struct argp argp = { .options = options, .parser = parse };

	argp_parse(&argp, argc, argv, 0, NULL, &load);
	if (!load.server_count || !load.class_count) {
		fprintf(stderr, "load: --server and --class are required\n");
		return 2;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	load.multi = curl_multi_init();
	load.prefix = g_strdup_printf("%" G_GINT64_FORMAT, g_get_real_time());
	run(&load);
	curl_multi_cleanup(load.multi);
	return print_table(&load) ? 1 : 0;
}
