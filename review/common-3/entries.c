/* The entry instances as processes, the record of a case, and its callers. */

#include "world.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM "target/persimmonlatch"
/* Last parts of the addresses; those of entry instances begin at 1. */
#define STORE_IP_NUMBER 201
#define CLOUD_IP_NUMBER 202

pthread_mutex_t world_lock = PTHREAD_MUTEX_INITIALIZER;
struct entry entries[16];
unsigned entry_count;
unsigned entry_memory_mb = 260;

static FILE *record_file;
static char work_folder[256];
static char store_ip[32];
static char cloud_ip[32];
static uint16_t store_port;
static uint16_t cloud_port;

/* Each case has addresses of its own, so that several may run at a time. */
void world_ip(char *ip, size_t size, unsigned number)
{
	unsigned pid = (unsigned)getpid();

	snprintf(ip, size, "127.%u.%u.%u", 16 + pid / 256 % 200, pid % 256,
		 number);
}

static int64_t read_clock(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t wall_ms(void)
{
	return read_clock(CLOCK_REALTIME);
}

int64_t world_ms(void)
{
	static int64_t start_ms;

	if (!start_ms)
		start_ms = read_clock(CLOCK_MONOTONIC) - 1;
	return read_clock(CLOCK_MONOTONIC) - start_ms;
}

void sleep_ms(int64_t ms)
{
	struct timespec time = { .tv_sec = ms / 1000,
				 .tv_nsec = ms % 1000 * 1000000 };

	while (nanosleep(&time, &time) != 0 && errno == EINTR)
		;
}

bool trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

void record_open(const char *folder)
{
	char path[512];

	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	if (!record_file)
		exit(2);
}

void record(const char *format, ...)
{
	int64_t now_ms = world_ms();
	va_list args;

	flockfile(record_file);
	fprintf(record_file, "%7.3f ", (double)now_ms / 1000.);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	funlockfile(record_file);
}

static void end_children(void)
{
	for (unsigned i = 0; i < entry_count; i++) {
		if (entries[i].pid > 0)
			kill(entries[i].pid, SIGKILL);
	}
}

static void on_signal(int number)
{
	(void)number;
	end_children();
	_exit(2);
}

void world_end(int code)
{
	end_children();
	for (unsigned i = 0; i < entry_count; i++) {
		if (entries[i].pid > 0)
			waitpid(entries[i].pid, NULL, 0);
	}
	record("exit %d", code);
	fflush(NULL);
	_exit(code);
}

void world_start(const char *folder)
{
	(void)world_ms();
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGALRM, on_signal);
	alarm(118);
	snprintf(work_folder, sizeof(work_folder), "%s", folder);
	world_ip(store_ip, sizeof(store_ip), STORE_IP_NUMBER);
	world_ip(cloud_ip, sizeof(cloud_ip), CLOUD_IP_NUMBER);
	store_port = store_start(store_ip);
	cloud_port = cloud_start(cloud_ip);
}

json_t *route(const char *name, const char *prefix, const char *service)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}", "name",
			 name, "host", "jobs.example", "path_prefix", prefix,
			 "kind", "non_idempotent", "timeout_ms", 3000,
			 "target_duration_ms", 2500, "priority", 0, "service",
			 service, "max_attempts", 3, "slack_factor", 2.2);
}

void config_put(json_t *routes, json_t *services)
{
	static int version;
	json_t *config = json_pack(
		"{s:i,s:o,s:o,s:{s:i}}", "version", ++version, "routes", routes,
		"services", services, "limits", "max_body_bytes", 262144);
	char *text = json_dumps(config, JSON_COMPACT);

	pthread_mutex_lock(&world_lock);
	store_put("keyed.op", "config", text);
	pthread_mutex_unlock(&world_lock);
	free(text);
	json_decref(config);
}

static json_t *bounds(void)
{
	return json_pack(
		"{s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:f,s:f,"
		"s:i,s:f,s:f,s:f,s:i,s:b,s:i}",
		"contact_ms", CONTACT_MS, "ack_ms", 4000, "drain_ms", DRAIN_MS,
		"grace_s", 6, "config_apply_ms", 2000, "max_skew_ms", 5000,
		"hold_max_ms", LEASE_MAX_MS, "stop_ms", STOP_MS,
		"gang_timeout_ms", 3000, "cancel_ms", CANCEL_MS, "visible_ms",
		3000, "early_ms", 250, "finish_s", 14.0, "status_s", 120.0,
		"notice_ms", 4500, "remote_penalty", 1.5, "checkpoint_s", 0.5,
		"migrate_s", 1.5, "maintenance_s", 2, "fencing", 1, "lease_ms",
		3000);
}

static json_t *address(const char *ip, uint16_t port)
{
	char text[64];

	snprintf(text, sizeof(text), "%s:%u", ip, port);
	return json_string(text);
}

static void write_settings(struct entry *entry, const char *zone)
{
	json_t *listen = json_object();
	json_t *platform =
		json_pack("{s:s,s:i,s:i,s:i,s:i}", "form", "log",
			  "writes_per_s", 600, "reads_per_s", 2000,
			  "record_bytes", 262144, "max_batch_bytes", 2097152);
	json_t *cloud =
		json_pack("{s:f,s:f}", "rate_per_s", 64.0, "duty_per_s", 64.0);
	uint16_t internal = free_port(entry->ip);
	json_t *root = json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:s,s:[i,i],s:b,s:{s:f,s:i,s:i,s:i},"
		"s:n,s:i,s:s,s:o,s:o,s:o,s:o}",
		"node_name", entry->name, "role", "entry", "machine_class",
		"edge", "ip", entry->ip, "zone", zone, "region", "co-centro",
		"internal_ports", internal, internal, "bootstrap", 1, "limits",
		"cpu_share", 0.25, "cores", 1, "memory_mb",
		(int)entry_memory_mb, "max_fds", 4100, "data_dir",
		"heartbeat_ms", 1500, "control_mode", "rpc", "listen", listen,
		"bounds", bounds(), "platform", platform, "cloud", cloud);

	json_object_set_new(listen, "frontend",
			    address(entry->ip, entry->callers_port));
	json_object_set_new(listen, "readiness",
			    address(entry->ip, entry->ready_port));
	json_object_set_new(platform, "address", address(store_ip, store_port));
	json_object_set_new(cloud, "address", address(cloud_ip, cloud_port));
	if (json_dump_file(root, entry->settings, JSON_INDENT(1)) != 0)
		world_end(2);
	json_decref(root);
}

struct entry *entry_add(const char *zone)
{
	struct entry *entry = &entries[entry_count++];

	snprintf(entry->name, sizeof(entry->name), "edge-%u", entry_count);
	world_ip(entry->ip, sizeof(entry->ip), entry_count);
	snprintf(entry->settings, sizeof(entry->settings), "%.200s/%s.json",
		 work_folder, entry->name);
	entry->callers_port = free_port(entry->ip);
	entry->ready_port = free_port(entry->ip);
	write_settings(entry, zone);
	entry_run(entry);
	return entry;
}

void entry_run(struct entry *entry)
{
	pid_t parent = getpid();
	char log[320];

	snprintf(log, sizeof(log), "%.200s/%s.log", work_folder, entry->name);
	record("%s: the process starts", entry->name);
	entry->pid = fork();
	if (entry->pid < 0)
		world_end(2);
	if (entry->pid)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(2);
	dup2(open(log, O_WRONLY | O_CREAT | O_APPEND, 0644), 1);
	dup2(1, 2);
	setenv("PERSIMMONLATCH_SETTINGS", entry->settings, 1);
	execl(PROGRAM, PROGRAM, "entry", (char *)NULL);
	_exit(127);
}

void entry_signal(struct entry *entry, int signal)
{
	record("%s: signal %d", entry->name, signal);
	kill(entry->pid, signal);
	if (signal == SIGKILL) {
		waitpid(entry->pid, NULL, 0);
		entry->pid = 0;
	}
}

bool entry_lives(struct entry *entry)
{
	int status;

	if (entry->pid <= 0)
		return false;
	if (waitpid(entry->pid, &status, WNOHANG) == 0)
		return true;
	entry->pid = 0;
	record("%s: the process has ended by itself, status %d", entry->name,
	       status);
	return false;
}

uint64_t entry_rss_kb(const struct entry *entry)
{
	char path[64];
	char line[256];
	unsigned long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)entry->pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file)) {
		if (sscanf(line, "VmRSS: %lu", &kb) == 1)
			break;
	}
	if (file)
		fclose(file);
	return kb;
}

void entries_await(int64_t timeout_ms)
{
	int64_t until_ms = world_ms() + timeout_ms;

	for (unsigned i = 0; i < entry_count; i++) {
		while (http_call(entries[i].ip, entries[i].ready_port, "GET",
				 "/api/readyz", NULL, 500, NULL) != 200) {
			if (world_ms() > until_ms ||
			    !entry_lives(&entries[i])) {
				record("%s isn't ready in time",
				       entries[i].name);
				world_end(2);
			}
			sleep_ms(50);
		}
	}
	record("all entry instances are ready");
}

struct entry *entry_holder(void)
{
	size_t size;
	char *value;
	struct entry *found = NULL;

	pthread_mutex_lock(&world_lock);
	value = store_get("keyed.jobs", "holder", &size);
	pthread_mutex_unlock(&world_lock);
	for (unsigned i = 0; value && i < entry_count; i++) {
		if (memmem(value, size, entries[i].name,
			   strlen(entries[i].name)))
			found = &entries[i];
	}
	free(value);
	return found;
}

int job_submit(struct entry *entry, const char *prefix, const char *id,
	       const char *spec, const char *steps)
{
	char path[128];
	char *body = malloc(strlen(spec) + strlen(steps) + 64);
	int status;

	snprintf(path, sizeof(path), "%s%s", prefix, id);
	sprintf(body, "{\"spec\":\"%s\",\"steps\":[%s]}", spec, steps);
	status = http_call(entry->ip, entry->callers_port, "POST", path, body,
			   3000, NULL);
	record("POST %s to %s: %d; %s", path, entry->name, status, body);
	free(body);
	return status;
}

int job_state(struct entry *entry, const char *prefix, const char *id,
	      char *state, size_t size)
{
	char path[128];
	char *reply;
	json_t *json;
	int status;

	snprintf(path, sizeof(path), "%s%s", prefix, id);
	status = http_call(entry->ip, entry->callers_port, "GET", path, NULL,
			   3000, &reply);
	json = reply ? json_loads(reply, 0, NULL) : NULL;
	snprintf(state, size, "%s",
		 json_is_string(json_object_get(json, "state"))
			 ? json_string_value(json_object_get(json, "state"))
			 : "");
	record("GET %s from %s: %d %s", path, entry->name, status, state);
	json_decref(json);
	free(reply);
	return status;
}

int job_cancel(struct entry *entry, const char *prefix, const char *id)
{
	char path[128];
	int status;

	snprintf(path, sizeof(path), "%s%s", prefix, id);
	status = http_call(entry->ip, entry->callers_port, "DELETE", path, NULL,
			   3000, NULL);
	record("DELETE %s at %s: %d", path, entry->name, status);
	return status;
}
