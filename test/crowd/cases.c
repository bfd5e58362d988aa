/*
 * The kinds of misbehaviour, each against every path of the servers; jobs that
 * are accepted and kept are submitted on the path of a queue.
 */

#include "crowd.h"

#include <string.h>

#define CHUNK_BYTES 1000
/* A body that is refused, whether its length is given or not. */
#define OVER_LIMIT_BYTES ((size_t)1536 * 1024)
/* As lengths in headers: below and above what a server may discard. */
#define STATED_BYTES ((size_t)4 * 1024 * 1024)
#define STATED_HUGE_BYTES ((size_t)1024 * 1024 * 1024)
#define PIPELINED_COUNT 1000
#define UNREAD_COUNT 50
#define SCHEDULED_JOBS_COUNT 60
#define WIDE_JOBS_COUNT 250
#define HOUR_MS INT64_C(3600000)
#define HOURS_OF_A_YEAR 8760

static const char *const paths[] = {
	[TARGET_QUEUE] = "/crowd/00000000000c0de5",
	[TARGET_NO_QUEUE] = "/nowhere/00000000000c0de5",
	[TARGET_READINESS] = "/api/readyz",
	[TARGET_METRICS] = "/metrics",
};

static void begin(GString *to, const char *method, enum target target)
{
	g_string_append_printf(
		to, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, paths[target],
		target == TARGET_NO_QUEUE ? "nowhere.example" : QUEUE_HOST);
}

static void append_stated(GString *to, enum target target, const char *body,
			  size_t size_bytes, size_t stated_bytes)
{
	begin(to, "POST", target);
	g_string_append_printf(to, "Content-Length: %zu\r\n\r\n", stated_bytes);
	g_string_append_len(to, body, (gssize)size_bytes);
}

static void append_chunked(GString *to, enum target target, const char *body,
			   size_t size_bytes)
{
	begin(to, "POST", target);
	g_string_append(to, "Transfer-Encoding: chunked\r\n\r\n");
	for (size_t at = 0; at < size_bytes; at += CHUNK_BYTES) {
		size_t left_bytes = MIN(size_bytes - at, CHUNK_BYTES);

		g_string_append_printf(to, "%zx\r\n", left_bytes);
		g_string_append_len(to, body + at, (gssize)left_bytes);
		g_string_append(to, "\r\n");
	}
	g_string_append(to, "0\r\n\r\n");
}

static GString *job_of_size(size_t size_bytes)
{
	static const char end[] = "\",\"steps\":[{\"count\":1,\"cpu\":500}]}";
	GString *job = g_string_new("{\"spec\":\"");

	while (job->len + strlen(end) < size_bytes)
		g_string_append_c(job, 'x');
	return g_string_append(job, end);
}

static void write_stated_body(GString *to, enum target target, uint32_t variant)
{
	GString *job = job_of_size(BODY_MAX_BYTES - 16);

	(void)variant;
	append_stated(to, target, job->str, job->len, job->len);
	g_string_free(job, TRUE);
}

static void write_chunked_body(GString *to, enum target target,
			       uint32_t variant)
{
	GString *job = job_of_size(BODY_MAX_BYTES - 16);

	(void)variant;
	append_chunked(to, target, job->str, job->len);
	g_string_free(job, TRUE);
}

static void write_stated_over(GString *to, enum target target, uint32_t variant)
{
	GString *job = job_of_size(OVER_LIMIT_BYTES);

	append_stated(to, target, job->str, job->len,
		      variant ? STATED_BYTES : STATED_HUGE_BYTES);
	g_string_free(job, TRUE);
}

static void write_chunked_over(GString *to, enum target target,
			       uint32_t variant)
{
	GString *job = job_of_size(OVER_LIMIT_BYTES);

	(void)variant;
	append_chunked(to, target, job->str, job->len);
	g_string_free(job, TRUE);
}

/* Variant 0 has the shortest lines, variant 1 lines of 40 bytes. */
static void write_headers(GString *to, enum target target, uint32_t variant)
{
	begin(to, "GET", target);
	while (to->len < HEADERS_MAX_BYTES - 64) {
		if (variant)
			g_string_append_printf(to, "h%05zu: %031d\r\n", to->len,
					       0);
		else
			g_string_append(to, "a:\r\n");
	}
	g_string_append(to, "\r\n");
}

static void write_arguments(GString *to, enum target target, uint32_t variant)
{
	g_string_append_printf(to, "GET %s?", paths[target]);
	while (to->len < HEADERS_MAX_BYTES - 128)
		g_string_append(to, variant ? "a=&" : "a&");
	g_string_append_printf(to,
			       "a HTTP/1.1\r\nHost: " QUEUE_HOST "\r\n\r\n");
}

/* Fills a body of legal size with copies of a part. */
static GString *repeat(const char *start, const char *part, const char *end)
{
	GString *text = g_string_new(start);

	while (text->len + strlen(part) + strlen(end) < BODY_MAX_BYTES - 16)
		g_string_append(text, part);
	return g_string_append(text, end);
}

static void write_members(GString *to, enum target target, uint32_t variant)
{
	GString *body;

	if (variant == 0) {
		body = repeat("{\"steps\":[{}", ",{}", "]}");
	} else if (variant == 1) {
		body = g_string_new("{");
		while (body->len < BODY_MAX_BYTES - 64)
			g_string_append_printf(body, "\"%zx\":0,", body->len);
		g_string_append(body, "\"steps\":[]}");
	} else if (variant == 2) {
		body = repeat("{\"steps\":", "[", "");
	} else {
		body = repeat("{\"spec\":[0", ",{}", "],\"steps\":[]}");
	}
	append_stated(to, target, body->str, body->len, body->len);
	g_string_free(body, TRUE);
}

static void write_gets(GString *to, enum target target, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		begin(to, "GET", target);
		g_string_append(to, "\r\n");
	}
}

static void write_pipelined(GString *to, enum target target, uint32_t variant)
{
	(void)variant;
	write_gets(to, target, PIPELINED_COUNT);
}

static void write_unread(GString *to, enum target target, uint32_t variant)
{
	(void)variant;
	write_gets(to, target, UNREAD_COUNT);
}

/* Variants 0 and 1 end in the headers, 2 and 3 in the body; see their paces. */
static void write_slow(GString *to, enum target target, uint32_t variant)
{
	if (variant < 2)
		write_headers(to, target, variant);
	else
		write_stated_body(to, target, variant);
}

static void append_job(GString *to, uint32_t variant, uint32_t number,
		       const GString *body)
{
	g_string_append_printf(to,
			       "POST /crowd/%08x%08x HTTP/1.1\r\n"
			       "Host: " QUEUE_HOST "\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
			       variant, number, body->len, body->str);
}

/* Jobs that run once an hour for a year, the first time in an hour. */
static void write_scheduled_jobs(GString *to, enum target target,
				 uint32_t variant)
{
	GString *body = g_string_new(NULL);

	(void)target;
	g_string_printf(body,
			"{\"spec\":\"work\",\"start_at_ms\":%" G_GINT64_FORMAT
			",\"interval_ms\":%" G_GINT64_FORMAT
			",\"times\":%d,\"steps\":[{\"count\":2,\"cpu\":500}]}",
			g_get_real_time() / 1000 + HOUR_MS, HOUR_MS,
			HOURS_OF_A_YEAR);
	for (uint32_t i = 0; i < SCHEDULED_JOBS_COUNT; i++)
		append_job(to, variant, i, body);
	g_string_free(body, TRUE);
}

/* Jobs with the longest text and as many steps as a job may have. */
static void write_wide_jobs(GString *to, enum target target, uint32_t variant)
{
	GString *body = g_string_new("{\"spec\":\"");

	(void)target;
	while (body->len < 4000)
		g_string_append_c(body, 'x');
	g_string_append(body, "\",\"steps\":[{\"count\":1,\"cpu\":500}");
	for (int i = 1; i < 64; i++)
		g_string_append(body, ",{\"count\":1,\"cpu\":500}");
	g_string_append(body, "]}");
	for (uint32_t i = 0; i < WIDE_JOBS_COUNT; i++)
		append_job(to, variant, i, body);
	g_string_free(body, TRUE);
}

/* 400 clients, bodies of 100 MB in all */
#define MANY_BODIES                                                            \
	{                                                                      \
		240, 40, 60, 60                                                \
	}
/* 64 clients, bodies of 96 MB in all */
#define LARGE_BODIES                                                           \
	{                                                                      \
		32, 12, 10, 10                                                 \
	}
/* 540 clients: more than the descriptors */
#define MOST_CLIENTS                                                           \
	{                                                                      \
		360, 60, 60, 60                                                \
	}

const struct crowd_case crowd_cases[] = {
	{
		.name = "bodies",
		.write = write_stated_body,
		.variant_count = 1,
		.client_counts = MANY_BODIES,
		.withheld_bytes = 2,
	},
	{
		.name = "bodies-pieces",
		.write = write_stated_body,
		.variant_count = 1,
		.client_counts = MANY_BODIES,
		.withheld_bytes = 2,
		.piece_bytes = 1000,
	},
	{
		.name = "bodies-chunked",
		.write = write_chunked_body,
		.variant_count = 1,
		.client_counts = MANY_BODIES,
		.withheld_bytes = 2,
	},
	{
		.name = "over-limit",
		.write = write_stated_over,
		.variant_count = 2,
		.client_counts = LARGE_BODIES,
	},
	{
		.name = "over-limit-chunked",
		.write = write_chunked_over,
		.variant_count = 1,
		.client_counts = LARGE_BODIES,
	},
	{
		.name = "headers",
		.write = write_headers,
		.variant_count = 2,
		.client_counts = MANY_BODIES,
		.withheld_bytes = 2,
	},
	{
		.name = "arguments",
		.write = write_arguments,
		.variant_count = 2,
		.client_counts = MANY_BODIES,
		.withheld_bytes = 2,
	},
	{
		.name = "members",
		.write = write_members,
		.variant_count = 4,
		.client_counts = { 80, 20, 20, 20 },
	},
	{
		.name = "pipelined",
		.write = write_pipelined,
		.variant_count = 1,
		.client_counts = { 100, 40, 60, 60 },
		.reading = READ_NOTHING,
	},
	{
		.name = "slow-senders",
		.write = write_slow,
		.variant_count = 4,
		.client_counts = MOST_CLIENTS,
		.reconnect_count = 10,
		.pace = { { .burst_bytes = 20, .trickles = true },
			  { .burst_bytes = 8192 },
			  { .burst_bytes = 65536, .trickles = true },
			  { .burst_bytes = 32768 } },
	},
	{
		.name = "slow-readers",
		.write = write_unread,
		.variant_count = 1,
		.client_counts = MOST_CLIENTS,
		.reconnect_count = 10,
		.reading = READ_SLOWLY,
	},
	{
		.name = "no-readers",
		.write = write_unread,
		.variant_count = 1,
		.client_counts = MOST_CLIENTS,
		.reconnect_count = 10,
		.reading = READ_NOTHING,
	},
	{
		.name = "scheduled-jobs",
		.write = write_scheduled_jobs,
		.variant_count = 4,
		.client_counts = { 4 },
	},
	{
		.name = "wide-jobs",
		.write = write_wide_jobs,
		.variant_count = 32,
		.client_counts = { 32 },
	},
	{
		.name = "serve-bodies",
		.serve = true,
		.write = write_stated_body,
		.variant_count = 1,
		.client_counts = MANY_BODIES,
		.withheld_bytes = 2,
	},
	{
		.name = "serve-bodies-chunked",
		.serve = true,
		.write = write_chunked_body,
		.variant_count = 1,
		.client_counts = MANY_BODIES,
		.withheld_bytes = 2,
	},
	{
		.name = "serve-headers",
		.serve = true,
		.write = write_headers,
		.variant_count = 2,
		.client_counts = MANY_BODIES,
		.withheld_bytes = 2,
	},
	{
		.name = "serve-slow-senders",
		.serve = true,
		.write = write_slow,
		.variant_count = 4,
		.client_counts = MOST_CLIENTS,
		.reconnect_count = 10,
		.pace = { { .burst_bytes = 20, .trickles = true },
			  { .burst_bytes = 8192 },
			  { .burst_bytes = 65536, .trickles = true },
			  { .burst_bytes = 32768 } },
	},
	{
		.name = "serve-no-readers",
		.serve = true,
		.write = write_unread,
		.variant_count = 1,
		.client_counts = MOST_CLIENTS,
		.reconnect_count = 10,
		.reading = READ_NOTHING,
	},
};

const uint32_t crowd_case_count = G_N_ELEMENTS(crowd_cases);
