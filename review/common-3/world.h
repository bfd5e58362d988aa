#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

/*
 * Stand-ins of the users' platform for the cases of this review: its store, its
 * list of machines, workers and callers, all on loopback addresses, and the
 * entry instances as processes. One lock guards all of their state.
 */

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Bounds of the settings, in ms; those of the small sites. */
#define STOP_MS 900
#define LEASE_MAX_MS 10000
#define CANCEL_MS 3000
#define DRAIN_MS 2000
#define CONTACT_MS 3000
#define FINISH_MS 14000
#define GANG_TIMEOUT_MS 3000

extern pthread_mutex_t world_lock;

int64_t world_ms(void); /* since the start of the case */
int64_t wall_ms(void);
void sleep_ms(int64_t ms);

/* Writes a line to record.txt in the folder of the case. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void record_open(const char *folder);

/* False if the disruption is left out (TROUBLE=0). */
bool trouble(void);

/* A loopback address of this case. */
void world_ip(char *ip, size_t size, unsigned number);

/* http.c */

struct request {
	char method[8];
	char path[512];
	char query[1024];
	char expected[64]; /* X-Expected-Instance */
	char *body;
	size_t size;
};

struct response {
	int status;
	const char *type;
	char *body; /* owned; NULL: empty */
	size_t size;
	bool silent; /* no answer: the connection is kept and says nothing */
};

/* Called without the lock. */
typedef void handler_fn(void *self, const struct request *request,
			struct response *response);

/* Returns the port that it listens on. */
uint16_t server_start(const char *ip, handler_fn *handler, void *self);
uint16_t free_port(const char *ip);
void response_json(struct response *response, int status, json_t *json);
bool query_value(const struct request *request, const char *name, char *to,
		 size_t size);

/* Returns the status; 0: no answer in time. reply: to be freed, or NULL. */
int http_call(const char *ip, uint16_t port, const char *method,
	      const char *path, const char *body, int timeout_ms, char **reply);

/* store.c */

uint16_t store_start(const char *ip);
/* Writes a record of the operator or of a worker. value NULL: it is removed. */
void store_put(const char *topic, const char *key, const char *value);
/* The newest value of a key, to be freed; NULL: there is none. */
char *store_get(const char *topic, const char *key, size_t *size);

/* workers.c */

#define RUNS_MAX_COUNT 8192
#define ENDS_MAX_COUNT 32768

struct gang;

struct run {
	char item[64];
	unsigned run;
	int64_t began_ms;
	int64_t ends_ms; /* 0: it lasts */
	bool fails;
	int64_t stopped_ms; /* 0: no stop was ordered */
	unsigned cpu;
	unsigned takes_ms;
	struct gang *gang; /* NULL: it works by itself */
};

struct end {
	uint64_t number;
	char item[64];
	unsigned run;
	const char *how;
};

struct worker;

/* What happens to an order. */
enum treatment {
	TREAT_NORMALLY,
	TREAT_LATE, /* no answer; carried out when worker_run_late() says so */
	TREAT_SILENT, /* no answer, never carried out */
};

struct late_order {
	char path[32];
	json_t *body;
};

struct worker {
	char id[32];
	char machine[32];
	char service[32];
	char rack[32];
	char kind[32]; /* its first label */
	char ip[32];
	uint16_t port;
	unsigned cpu;
	bool up;
	bool draining;
	bool listed;	 /* it writes its entry to the store */
	int64_t born_ms; /* wall clock */
	int64_t clock_start_ms;
	uint64_t fence;
	int64_t lease_end_ms; /* on its clock */
	uint64_t seq;
	struct run runs[RUNS_MAX_COUNT];
	unsigned run_count;
	struct end ends[ENDS_MAX_COUNT];
	unsigned end_count;
	uint64_t next_end;
	unsigned waiting_holds;
	uint64_t reported; /* the newest end that an answer has listed */
	uint64_t acked;	   /* ends up to it are forgotten */
	/* item and run: the highest run that was stopped or has ended */
	json_t *highest;
	enum treatment (*treat)(struct worker *worker, const char *path,
				const json_t *body);
	struct late_order late[64];
	unsigned late_count;
};

extern struct worker workers[32];
extern unsigned worker_count;

struct worker *worker_add(const char *id, const char *service, unsigned cpu);
void worker_power_off(struct worker *worker);
/* Begins another life under the same id. */
void worker_power_on(struct worker *worker);
/* Carries out the orders that got no answer, on the present life. */
unsigned worker_run_late(struct worker *worker);
/* Number of workers, of those that are up, on which the item runs. */
unsigned runs_of_item(const char *item);

/* Called with the lock, when a run begins and when it has ended. */
extern void (*on_run_began)(struct worker *worker, const struct run *run);
extern void (*on_run_ended)(struct worker *worker, const struct end *end);
/* Called with the lock for each end that is forgotten. */
extern void (*on_end_taken)(struct worker *worker, const struct end *end);

/* Starts the list of machines; returns its port. */
uint16_t cloud_start(const char *ip);

/* entries.c */

struct entry {
	char name[32];
	char ip[32];
	uint16_t callers_port;
	uint16_t ready_port;
	char settings[256];
	pid_t pid;
	unsigned ends_count; /* that this case didn't order */
};

extern struct entry entries[16];
extern unsigned entry_count;
extern unsigned entry_memory_mb;

/* Starts store, list of machines and callers' configuration. */
void world_start(const char *folder);
void config_put(json_t *routes, json_t *services);
json_t *route(const char *name, const char *prefix, const char *service);
struct entry *entry_add(const char *zone);
void entry_run(struct entry *entry);
void entry_signal(struct entry *entry, int signal);
/* Waits until all are ready; exits with 2 if they aren't in time. */
void entries_await(int64_t timeout_ms);
uint64_t entry_rss_kb(const struct entry *entry);
/* Whether the process lives; collects it otherwise. */
bool entry_lives(struct entry *entry);
/* The entry instance that holds the jobs, by the store; without the lock. */
struct entry *entry_holder(void);

int job_submit(struct entry *entry, const char *prefix, const char *id,
	       const char *spec, const char *steps);
/* 0: no answer. state: of the job, if it was answered with 200. */
int job_state(struct entry *entry, const char *prefix, const char *id,
	      char *state, size_t size);
int job_cancel(struct entry *entry, const char *prefix, const char *id);

/* Ends all processes and exits. */
void world_end(int code) __attribute__((noreturn));

#endif
