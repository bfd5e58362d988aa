/*
 * Entry instances are stopped and started in turn while callers ask for the
 * state of their jobs over open channels.
 */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "world.h"

#define JOB "5c0e7a21d94b36f8"
#define CHANNELS_PER_ENTRY_COUNT 100
#define ASK_PERIOD_MS 100
#define STOP_GAP_MS 1100
#define START_MS 1000 /* a process is left alone for this long */
#define GRACE_MS 6000
#define LENGTH_MS 95000
/* Crashes on so many machines, each so often, are a fault by the rule. */
#define FAULT_MACHINES_COUNT 2
#define FAULT_CRASHES_COUNT 3

static int64_t stopped_ms[ENTRIES_MAX_COUNT]; /* 0: it runs */
static int64_t started_ms[ENTRIES_MAX_COUNT];
static int stop_count;
static int crash_counts[ENTRIES_MAX_COUNT];

static const char job[] =
	"{\"spec\":\"cut plan\",\"steps\":[{\"count\":1,\"cpu\":2300,"
	"\"mem_mb\":4200,\"estimate_ms\":1000}]}";

/* Opens a channel; returns -1 if the instance takes none. */
static int open_channel(const struct entry *entry)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	struct timeval timeout = { .tv_sec = 3 };
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_port = htons((uint16_t)entry->front_port);
	inet_pton(AF_INET, entry->ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Asks for the state of the job; returns false when the channel has ended. */
static bool ask(int fd)
{
	static const char request[] = "GET " QUEUE_PREFIX JOB " HTTP/1.1\r\n"
				      "Host: " QUEUE_HOST "\r\n\r\n";
	char answer[1024];

	return send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) > 0 &&
	       recv(fd, answer, sizeof(answer), 0) > 0;
}

/* A caller that keeps its channel open, as long as the instance does. */
static void *run_caller(void *data)
{
	const struct entry *entry = data;

	for (;;) {
		int fd = open_channel(entry);

		while (fd >= 0 && ask(fd))
			world_sleep_ms(ASK_PERIOD_MS);
		if (fd >= 0)
			close(fd);
		world_sleep_ms(ASK_PERIOD_MS);
	}
	return NULL;
}

/* Notes how a stopped process has ended; returns whether it crashed. */
static bool note_end(const struct entry *entry, int64_t took_ms, int status)
{
	bool crashed = WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL;

	world_note("%s: has ended %lld ms after SIGTERM with %s %d%s",
		   entry->name, (long long)took_ms,
		   WIFSIGNALED(status) ? "signal" : "code",
		   WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status),
		   crashed ? ": a crash" : "");
	return crashed;
}

/* Starts a stopped process again once it has ended. */
static void check_stopped(int at)
{
	struct entry *entry = &entries[at];
	int64_t took_ms = world_ms() - stopped_ms[at];
	int status = 0;

	if (!stopped_ms[at])
		return;
	if (waitpid(entry->pid, &status, WNOHANG) == 0) {
		if (took_ms > GRACE_MS)
			kill(entry->pid, SIGKILL);
		return;
	}
	stopped_ms[at] = 0;
	started_ms[at] = world_ms();
	crash_counts[at] += note_end(entry, took_ms, status);
	entry_restart(entry);
}

static void stop(int at)
{
	if (stopped_ms[at] || world_ms() - started_ms[at] < START_MS)
		return;
	stopped_ms[at] = world_ms();
	stop_count++;
	kill(entries[at].pid, SIGTERM);
}

/* Whether enough machines have had enough crashes. */
static bool is_fault(void)
{
	int machine_count = 0;

	for (int i = 0; i < entry_count; i++) {
		world_note("%s: %d crashes", entries[i].name, crash_counts[i]);
		machine_count += crash_counts[i] >= FAULT_CRASHES_COUNT;
	}
	return machine_count >= FAULT_MACHINES_COUNT;
}

static void start_callers(void)
{
	pthread_t thread;

	for (int i = 0; i < entry_count; i++) {
		for (int j = 0; j < CHANNELS_PER_ENTRY_COUNT; j++)
			pthread_create(&thread, NULL, run_caller, &entries[i]);
	}
}

int main(int argc, char **argv)
{
	const char *trouble_text = getenv("TROUBLE");
	bool trouble = !trouble_text || strcmp(trouble_text, "0") != 0;
	struct store_port stores[ENTRIES_MAX_COUNT] = { 0 };
	int64_t next_stop_ms;
	int turn = 0;

	item_work_ms = 1000;
	if (argc != 2 || !world_start(4, 3, argv[1], stores))
		world_end(2);
	world_sleep_ms(3000);
	if (entry_call(&entries[0], "POST", JOB, job, NULL, 0) != 200)
		world_end(2);
	start_callers();
	next_stop_ms = world_ms() + STOP_GAP_MS;
	while (world_ms() < LENGTH_MS) {
		world_sleep_ms(5);
		for (int i = 0; i < entry_count; i++)
			check_stopped(i);
		if (!trouble || world_ms() < next_stop_ms)
			continue;
		stop(turn++ % entry_count);
		next_stop_ms += STOP_GAP_MS;
	}
	for (int i = 0; i < entry_count; i++) {
		if (stopped_ms[i] ||
		    waitpid(entries[i].pid, NULL, WNOHANG) == 0)
			continue;
		world_note("%s has ended by itself", entries[i].name);
		crash_counts[i]++;
	}
	world_note("stops: %d", stop_count);
	world_end(is_fault() ? 1 : 0);
}
