#include "world.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

/* A script ends by itself after this time. */
#define SCRIPT_MAX_S 110
#define FIRST_VERSION 7

pthread_mutex_t world_lock = PTHREAD_MUTEX_INITIALIZER;
pthread_cond_t world_changed = PTHREAD_COND_INITIALIZER;

static FILE *record;

static int64_t steady_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t world_ms(void)
{
	static int64_t begin_ms;

	if (!begin_ms)
		begin_ms = steady_ms() - 1;
	return steady_ms() - begin_ms;
}

void world_sleep_ms(int64_t ms)
{
	struct timespec time = { .tv_sec = ms / 1000,
				 .tv_nsec = ms % 1000 * 1000000 };

	nanosleep(&time, NULL);
}

void world_note(const char *format, ...)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	va_list args;

	pthread_mutex_lock(&lock);
	fprintf(record, "%8.3f s  ", (double)world_ms() / 1000.);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&lock);
}

static void on_signal(int number)
{
	(void)number;
	for (int i = 0; i < entry_count; i++)
		kill(entries[i].pid, SIGKILL);
	_exit(2);
}

void world_configure(int version, bool has_queue)
{
	char text[1024];
	char advice[128] = "";
	char routes[512] = "";

	if (needs_tickets)
		snprintf(advice, sizeof(advice),
			 ",\"recommendation\":{\"decision_ms\":%d,"
			 "\"period_ms\":%d,\"valid_ms\":%d}",
			 ADVICE_DECISION_MS, ADVICE_PERIOD_MS, ADVICE_VALID_MS);
	if (has_queue)
		snprintf(routes, sizeof(routes),
			 "{\"name\":\"r-ledger\",\"host\":\"" QUEUE_HOST
			 "\",\"path_prefix\":\"" QUEUE_PREFIX
			 "\",\"kind\":\"non_idempotent\","
			 "\"timeout_ms\":3000,\"target_duration_ms\":600,"
			 "\"priority\":0,\"service\":\"svc-ledger\","
			 "\"max_attempts\":4,\"slack_factor\":1.6%s}",
			 advice);
	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":[%s],\"services\":[{"
		 "\"name\":\"svc-ledger\",\"preconditions\":true}],"
		 "\"limits\":{\"max_body_bytes\":262144}}",
		 version, routes);
	store_put("keyed.op", "config", text);
	world_note("operator: config %d, %s the queue", version,
		   has_queue ? "with" : "without");
}

bool world_start(int entry_total, int worker_total, const char *record_path,
		 struct store_port *stores, bool with_advice)
{
	int advice_port = 0;

	record = fopen(record_path, "w");
	if (!record) {
		perror(record_path);
		return false;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_signal);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	alarm(SCRIPT_MAX_S);
	store_open(stores, entry_total);
	if (with_advice)
		advice_port = advice_open();
	world_configure(FIRST_VERSION, true);
	entries_start(entry_total, stores, fleet_open(worker_total),
		      advice_port);
	if (entries_wait_ready())
		return true;
	world_note("the entry instances did not become ready");
	return false;
}

void world_end(int code)
{
	world_note("result: %s", code == 0   ? "the rule held"
				 : code == 1 ? "the rule was broken"
					     : "the case could not run");
	entries_stop();
	fclose(record);
	_exit(code);
}
