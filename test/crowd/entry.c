/* The entry instance: its settings, its process, and ordinary calls to it. */

#include "crowd.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../review/common-2/http.h"

#define METRICS_PORT 9464
#define READY_TIMEOUT_MS 20000
#define CALL_TIMEOUT_MS 3000
#define RETRY_PAUSE_MS 100
/* Below the ports that outgoing connections take. */
#define PORT_MIN 20000
#define PORT_MAX 32000
/* Callers, readiness, and two for other entry instances. */
#define PORT_COUNT 4

static struct {
	bool serve;
	char ip[16];
	int front_port;
	int ready_port;
	pid_t pid; /* 0: not running */
} entry;

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

/* The first of PORT_COUNT free ports, so that none is picked twice. */
static int pick_ports(void)
{
	int port = 0;
	int free_count = 0;

	while (free_count < PORT_COUNT) {
		port = g_random_int_range(PORT_MIN, PORT_MAX);
		for (free_count = 0; free_count < PORT_COUNT &&
				     port_is_free(entry.ip, port + free_count);)
			free_count++;
	}
	return port;
}

/* The port of the metrics is fixed, so each run has an address of its own. */
static void pick_ip(void)
{
	do {
		g_snprintf(entry.ip, sizeof(entry.ip), "127.%d.%d.%d",
			   g_random_int_range(1, 255),
			   g_random_int_range(1, 255),
			   g_random_int_range(2, 255));
	} while (!port_is_free(entry.ip, METRICS_PORT));
}

static void write_own_settings(const struct entry_setup *setup,
			       const char *path)
{
	char *token_path = g_build_filename(setup->folder, "token", NULL);
	/* Nothing listens on the last port: no log, no list, no configuration
	 */
	char *text = g_strdup_printf(
		"entry: e1\ndc: d1\ncaller_address: %s:%d\n"
		"operator_address: %s:%d\npeer_address: %s:%d\n"
		"token_file: %s\nlog_address: %s:%d\nlist_address: %s:%d\n"
		"memory_mb: %u\nmax_fds: %u\n",
		entry.ip, entry.front_port, entry.ip, entry.ready_port,
		entry.ip, entry.ready_port + 1, token_path, entry.ip,
		entry.ready_port + 2, entry.ip, entry.ready_port + 2,
		setup->memory_mb, setup->max_fds);

	if (!g_file_set_contents(token_path, "crowd\n", -1, NULL) ||
	    !g_file_set_contents(path, text, -1, NULL)) {
		fprintf(stderr, "can't write %s\n", path);
		exit(2);
	}
	g_free(text);
	g_free(token_path);
}

static void write_settings(const struct entry_setup *setup, const char *path)
{
	char front[32];
	char ready[32];
	char store[32];
	char machines[32];
	json_t *settings;

	g_snprintf(front, sizeof(front), "%s:%d", entry.ip, entry.front_port);
	g_snprintf(ready, sizeof(ready), "%s:%d", entry.ip, entry.ready_port);
	g_snprintf(store, sizeof(store), "127.0.0.1:%d", setup->store_port);
	g_snprintf(machines, sizeof(machines), "127.0.0.1:%d",
		   setup->machines_port);
	settings = json_pack(
		"{s:s, s:s, s:s, s:{s:s, s:s}, s:[i, i], "
		"s:{s:f, s:i, s:i, s:i}, s:s, s:{s:i, s:i, s:i, s:i, s:i}, "
		"s:{s:s, s:i, s:i}, s:{s:s, s:f}}",
		"node_name", "edge-crowd", "ip", entry.ip, "zone", "zone-a",
		"listen", "frontend", front, "readiness", ready,
		"internal_ports", entry.ready_port + 1, entry.ready_port + 2,
		"limits", "cpu_share", 0.25, "cores", 1, "memory_mb",
		(int)setup->memory_mb, "max_fds", (int)setup->max_fds,
		"recommendation", "", "bounds", "hold_max_ms", 6000, "stop_ms",
		400, "status_s", 240, "lease_ms", 3000, "max_skew_ms", 5000,
		"platform", "address", store, "record_bytes", 262144,
		"max_batch_bytes", 2097152, "cloud", "address", machines,
		"duty_per_s", 64.);
	if (!settings || json_dump_file(settings, path, JSON_INDENT(1))) {
		fprintf(stderr, "can't write %s\n", path);
		exit(2);
	}
	json_decref(settings);
}

static void run_program(const char *program, const char *settings_path,
			const char *log_path)
{
	int fd =
		open(log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execl(program, program, entry.serve ? "serve" : "entry", "--settings",
	      settings_path, NULL);
	_exit(127);
}

static bool is_ready(void)
{
	if (entry.serve)
		return http_call(entry.ip, entry.ready_port, "GET", "/metrics",
				 NULL, NULL, CALL_TIMEOUT_MS, NULL, 0) == 200;
	return http_call(entry.ip, entry.ready_port, "GET", "/api/readyz", NULL,
			 NULL, CALL_TIMEOUT_MS, NULL, 0) == 200;
}

bool entry_start(const struct entry_setup *setup)
{
	char *settings_path = g_build_filename(setup->folder, "settings", NULL);
	char *log_path = g_build_filename(setup->folder, "entry.log", NULL);
	int64_t until_ms = world_ms() + READY_TIMEOUT_MS;

	pick_ip();
	entry.front_port = pick_ports();
	entry.ready_port = entry.front_port + 1;
	entry.serve = setup->serve;
	if (setup->serve)
		write_own_settings(setup, settings_path);
	else
		write_settings(setup, settings_path);
	entry.pid = fork();
	if (!entry.pid)
		run_program(setup->program, settings_path, log_path);
	g_free(settings_path);
	g_free(log_path);
	if (entry.pid < 0)
		return false;
	while (!is_ready()) {
		if (world_ms() > until_ms)
			return false;
		world_sleep_ms(RETRY_PAUSE_MS);
	}
	return true;
}

static uint64_t read_peak_kb(void)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)entry.pid);
	char *text = NULL;
	const char *line;
	uint64_t peak_kb = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		line = strstr(text, "VmHWM:");
		peak_kb = line ? g_ascii_strtoull(line + 6, NULL, 10) : 0;
	}
	g_free(text);
	g_free(path);
	return peak_kb;
}

static uint32_t count_fds(void)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)entry.pid);
	GDir *folder = g_dir_open(path, 0, NULL);
	uint32_t count = 0;

	while (folder && g_dir_read_name(folder))
		count++;
	if (folder)
		g_dir_close(folder);
	g_free(path);
	return count;
}

bool entry_measure(struct entry_peak *peak)
{
	int status;

	if (!entry.pid)
		return false;
	if (waitpid(entry.pid, &status, WNOHANG) > 0) {
		fprintf(stderr, "the process ended, status %#x\n",
			(unsigned int)status);
		entry.pid = 0;
		return false;
	}
	peak->memory_kb = MAX(peak->memory_kb, read_peak_kb());
	peak->fd_count = MAX(peak->fd_count, count_fds());
	return true;
}

const char *entry_ip(void)
{
	return entry.ip;
}

int entry_port(enum target target)
{
	if (target == TARGET_READINESS ||
	    (entry.serve && target == TARGET_METRICS))
		return entry.ready_port;
	return target == TARGET_METRICS ? METRICS_PORT : entry.front_port;
}

static bool call_front(const char *method, const char *path, const char *body,
		       const char *answer_part)
{
	char answer[256] = "";
	int status =
		http_call(entry.ip, entry.front_port, method, path, QUEUE_HOST,
			  body, CALL_TIMEOUT_MS, answer, sizeof(answer));

	return status / 100 == 2 && strstr(answer, answer_part);
}

static bool retry_front(int64_t until_ms, const char *method, const char *path,
			const char *body, const char *answer_part)
{
	while (!call_front(method, path, body, answer_part)) {
		if (world_ms() > until_ms) {
			fprintf(stderr, "%s of a job was not answered\n",
				method);
			return false;
		}
		world_sleep_ms(RETRY_PAUSE_MS);
	}
	return true;
}

static bool own_interface_serves(int64_t until_ms)
{
	while (http_call(entry.ip, entry.front_port, "POST", "/ordinary",
			 QUEUE_HOST, "work", CALL_TIMEOUT_MS, NULL, 0) <= 0 ||
	       !is_ready()) {
		if (world_ms() > until_ms) {
			fprintf(stderr, "a request was not answered\n");
			return false;
		}
		world_sleep_ms(RETRY_PAUSE_MS);
	}
	return true;
}

static bool queue_serves(int64_t until_ms)
{
	char *path = g_strdup_printf("/crowd/%08x%08x", g_random_int(),
				     g_random_int());
	bool served = retry_front(until_ms, "POST", path,
				  "{\"spec\":\"work\",\"steps\":[{\"count\":1,"
				  "\"cpu\":500,\"mem_mb\":256}]}",
				  "") &&
		      retry_front(until_ms, "GET", path, NULL, "\"state\"");

	while (served && !is_ready()) {
		served = world_ms() <= until_ms;
		if (!served)
			fprintf(stderr, "readiness was not answered\n");
		else
			world_sleep_ms(RETRY_PAUSE_MS);
	}
	g_free(path);
	return served;
}

bool entry_serves(int64_t until_ms)
{
	return entry.serve ? own_interface_serves(until_ms)
			   : queue_serves(until_ms);
}

void entry_stop(void)
{
	if (!entry.pid)
		return;
	kill(entry.pid, SIGKILL);
	waitpid(entry.pid, NULL, 0);
	entry.pid = 0;
}
