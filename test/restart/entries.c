/* Entry instances: their settings, their processes, and calls to them. */

#include "restart.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../review/common-2/http.h"

#define READY_TIMEOUT_MS 20000
#define READY_CALL_TIMEOUT_MS 500
#define CALL_TIMEOUT_MS 3000
/* Below the ports that outgoing connections take, also those of other runs. */
#define PORT_MIN 20000
#define PORT_MAX 32000

struct entry {
	char name[32];
	char ip[16];
	int front_port;
	int ready_port;
	char *settings_path;
	char *log_path;
	char **environment;
	pid_t pid;	  /* 0: not running */
	int64_t start_ms; /* when to start it again; 0: it runs */
	int64_t thaw_ms;  /* when to continue it; 0: it isn't stopped */
};

static struct entry entries[ENTRY_COUNT];
static const char *program_path;

static bool port_is_free(const char *ip, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool is_free;

	address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &address.sin_addr);
	is_free = !bind(fd, (struct sockaddr *)&address, sizeof(address));
	close(fd);
	return is_free;
}

static int pick_port(const char *ip)
{
	int port;

	do {
		port = g_random_int_range(PORT_MIN, PORT_MAX);
	} while (!port_is_free(ip, port));
	return port;
}

static json_t *settings_bounds(void)
{
	return json_pack(
		"{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, "
		"s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:f, s:f, s:f, s:i, "
		"s:f, s:i, s:b, s:i, s:i, s:i, s:i}",
		"seed_lag_s", 3, "reuse_after_s", 2, "contact_ms", 3000,
		"ack_ms", 4000, "catch_up_s", 4, "drain_ms", 2000, "grace_s", 6,
		"loss_slack_ms", 200, "config_apply_ms", 2000,
		"rollback_slack_ms", 250, "max_skew_ms", 5000, "recover_s", 12,
		"hold_max_ms", LEASE_MAX_MS, "stop_ms", STOP_MAX_MS,
		"gang_timeout_ms", 3000, "cancel_ms", 3000, "visible_ms", 3000,
		"early_ms", 250, "finish_s", 14, "status_s", 240,
		"remote_penalty", 1.5, "checkpoint_s", 0.5, "restore_ms", 250.,
		"notice_ms", 4500, "migrate_s", 1.5, "maintenance_s", 2,
		"fencing", 1, "lease_ms", 3000, "thaw_ms", 300, "pace_ms", 100,
		"interference_ms", 4000);
}

static json_t *settings_store(const char *address)
{
	return json_pack("{s:s, s:s, s:i, s:i, s:i, s:f, s:f, s:f, s:i, s:i, "
			 "s:i, s:i, s:i}",
			 "address", address, "form", "log", "writes_per_s", 600,
			 "reads_per_s", 2000, "parts", 24, "append_ms", 1.,
			 "part_mb_s", 20., "read_mb_s", 80., "record_bytes",
			 262144, "max_batch_bytes", 2097152, "keep_s", 300,
			 "part_mb", 200, "ttl_min_ms", 1000);
}

static void write_settings(const struct entry *entry, int number,
			   int store_port, int machines_port)
{
	char zone[8];
	char front[32];
	char ready[32];
	char store[32];
	char machines[32];
	json_t *settings;

	g_snprintf(zone, sizeof(zone), "zone-%c", 'a' + number);
	g_snprintf(front, sizeof(front), "%s:%d", entry->ip, entry->front_port);
	g_snprintf(ready, sizeof(ready), "%s:%d", entry->ip, entry->ready_port);
	g_snprintf(store, sizeof(store), "127.0.0.1:%d", store_port);
	g_snprintf(machines, sizeof(machines), "127.0.0.1:%d", machines_port);
	settings = json_pack(
		"{s:s, s:s, s:s, s:[s], s:s, s:s, s:s, s:{s:s, s:s, s:s}, "
		"s:{s:s, s:s}, s:[i, i], s:[], s:b, s:b, "
		"s:{s:f, s:i, s:i, s:i, s:f, s:i}, s:n, s:s, s:s, s:i, "
		"s:[s, s, s, s, s, s, s], s:{s:i, s:i, s:i}, s:o, s:s, s:s, "
		"s:o, s:{s:s, s:f, s:[], s:f}}",
		"node_name", entry->name, "role", "entry", "machine_class",
		"edge", "serves", "edge", "ip", entry->ip, "zone", zone,
		"region", "r", "zones", "zone-a", "r", "zone-b", "r", "zone-c",
		"r", "listen", "frontend", front, "readiness", ready,
		"internal_ports", pick_port(entry->ip), pick_port(entry->ip),
		"seeds", "bootstrap", 1, "counts_as_loss", 0, "limits",
		"cpu_share", 0.25, "cores", 1, "memory_mb", 260, "max_fds",
		4100, "link_mbps", 1000., "disk_mb", 0, "data_dir", "discovery",
		"platform", "entry", "vip", "heartbeat_ms", HEARTBEAT_MS,
		"contracts", "base", "drain", "config", "cost", "recover",
		"sched", "platform", "fault_tolerance", "machines", 2, "zones",
		1, "regions", 0, "bounds", settings_bounds(), "control_mode",
		"rpc", "recommendation", "", "platform", settings_store(store),
		"cloud", "address", machines, "rate_per_s", 64., "duties",
		"duty_per_s", 64.);
	if (!settings ||
	    json_dump_file(settings, entry->settings_path, JSON_INDENT(1))) {
		fprintf(stderr, "can't write %s\n", entry->settings_path);
		exit(2);
	}
	json_decref(settings);
}

static void run_program(const struct entry *entry, int log_fd)
{
	char *const arguments[] = { (char *)program_path, "entry", NULL };

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(log_fd, STDOUT_FILENO);
	dup2(log_fd, STDERR_FILENO);
	execve(program_path, arguments, entry->environment);
	_exit(127);
}

static void start_process(struct entry *entry)
{
	int fd = open(entry->log_path,
		      O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	pid_t pid = fork();

	if (!pid)
		run_program(entry, fd);
	close(fd);
	if (pid < 0) {
		perror("can't start an entry instance");
		exit(2);
	}
	entry->pid = pid;
	entry->start_ms = 0;
	world_note("%s: process %d started", entry->name, (int)pid);
}

static void open_entry(struct entry *entry, int number, const char *folder,
		       int store_port, int machines_port)
{
	g_snprintf(entry->name, sizeof(entry->name), "edge-zone-%c-1",
		   'a' + number);
	g_snprintf(entry->ip, sizeof(entry->ip), "127.0.0.%d", 2 + number);
	entry->front_port = pick_port(entry->ip);
	entry->ready_port = pick_port(entry->ip);
	entry->settings_path =
		g_strdup_printf("%s/%s.json", folder, entry->name);
	entry->log_path = g_strdup_printf("%s/%s.log", folder, entry->name);
	entry->environment =
		g_environ_setenv(g_get_environ(), "PERSIMMONLATCH_SETTINGS",
				 entry->settings_path, TRUE);
	write_settings(entry, number, store_port, machines_port);
	start_process(entry);
}

void entries_open(const char *program, const char *folder,
		  const int store_ports[ENTRY_COUNT], int machines_port)
{
	program_path = program;
	for (int i = 0; i < ENTRY_COUNT; i++)
		open_entry(&entries[i], i, folder, store_ports[i],
			   machines_port);
}

static bool is_ready(const struct entry *entry)
{
	return http_call(entry->ip, entry->ready_port, "GET", "/api/readyz",
			 NULL, NULL, READY_CALL_TIMEOUT_MS, NULL, 0) == 200;
}

bool entries_wait_ready(void)
{
	int64_t until_ms = world_ms() + READY_TIMEOUT_MS;

	for (int i = 0; i < ENTRY_COUNT;) {
		if (is_ready(&entries[i]))
			i++;
		else if (world_ms() > until_ms)
			return false;
		else
			world_sleep_ms(100);
	}
	return true;
}

/* A process that ends by itself breaks the run; it isn't started again. */
static void check_running(struct entry *entry)
{
	int status;

	if (!entry->pid || waitpid(entry->pid, &status, WNOHANG) <= 0)
		return;
	check_broken("%s ended by itself, status %#x", entry->name, status);
	entry->pid = 0;
}

void entries_tick(void)
{
	for (int i = 0; i < ENTRY_COUNT; i++) {
		struct entry *entry = &entries[i];

		check_running(entry);
		if (entry->start_ms && world_ms() >= entry->start_ms)
			start_process(entry);
		if (entry->thaw_ms && world_ms() >= entry->thaw_ms) {
			kill(entry->pid, SIGCONT);
			entry->thaw_ms = 0;
			world_note("%s: continued", entry->name);
		}
	}
}

static bool is_running(const struct entry *entry)
{
	return entry->pid && !entry->thaw_ms;
}

static bool log_has(const struct entry *entry, const char *line_part)
{
	char *log = NULL;
	bool found;

	g_file_get_contents(entry->log_path, &log, NULL, NULL);
	found = log && strstr(log, line_part);
	g_free(log);
	return found;
}

int entries_holder(int64_t token)
{
	char line_part[64];
	int other = -1;

	g_snprintf(line_part, sizeof(line_part),
		   "decision=hold token=%" G_GINT64_FORMAT " ", token);
	for (int i = 0; i < ENTRY_COUNT; i++) {
		if (!is_running(&entries[i]))
			continue;
		if (log_has(&entries[i], line_part))
			return i;
		other = i;
	}
	return other;
}

void entries_kill(int at, int64_t until_ms)
{
	struct entry *entry = &entries[at];

	kill(entry->pid, SIGKILL);
	waitpid(entry->pid, NULL, 0);
	entry->pid = 0;
	entry->start_ms = until_ms;
	world_note("%s: killed until %.3f s", entry->name,
		   (double)until_ms / 1000.);
}

void entries_freeze(int at, int64_t until_ms)
{
	struct entry *entry = &entries[at];

	kill(entry->pid, SIGSTOP);
	entry->thaw_ms = until_ms;
	world_note("%s: frozen until %.3f s", entry->name,
		   (double)until_ms / 1000.);
}

void entries_calm(void)
{
	for (int i = 0; i < ENTRY_COUNT; i++) {
		entries[i].start_ms = MIN(entries[i].start_ms, 1);
		entries[i].thaw_ms = MIN(entries[i].thaw_ms, 1);
	}
	entries_tick();
}

void entries_stop(void)
{
	for (int i = 0; i < ENTRY_COUNT; i++) {
		if (!entries[i].pid)
			continue;
		kill(entries[i].pid, SIGKILL);
		waitpid(entries[i].pid, NULL, 0);
		entries[i].pid = 0;
	}
}

int entries_call(int entry, const char *method, const char *path,
		 const char *body, char *answer, size_t answer_size_bytes)
{
	return http_call(entries[entry].ip, entries[entry].front_port, method,
			 path, QUEUE_HOST, body, CALL_TIMEOUT_MS, answer,
			 answer_size_bytes);
}
