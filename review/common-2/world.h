#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

/*
 * Stand-ins of the users' platform for the scripts of the second review: the
 * log store, the workers, the list of machines, and the operator. All state is
 * guarded by one lock. Entry instances are started as separate processes.
 */

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "http.h"

#define ENTRIES_MAX_COUNT 4
#define WORKERS_MAX_COUNT 8
#define RUNS_MAX_COUNT 64

/* The bounds of the site file mreja-koop that the scripts use. */
#define CONTACT_MS 3000
#define CANCEL_MS 3000
#define STOP_MS 400
#define HOLD_MAX_MS 6000
#define HEARTBEAT_MS 1500
#define GANG_TIMEOUT_MS 3000
#define CHECKPOINT_MS 500
#define ADVICE_DECISION_MS 50
#define ADVICE_PERIOD_MS 5
#define ADVICE_VALID_MS 10000

extern pthread_mutex_t world_lock;
extern pthread_cond_t world_changed;

/* Milliseconds since the start of the script. */
int64_t world_ms(void);
void world_sleep_ms(int64_t ms);

/* Adds a line with the time to record.txt. */
void world_note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* store.c */

/*
 * How the store answers the calls of one entry instance; each has a port of
 * its own there.
 */
struct store_port {
	int port;
	bool refuses; /* 503: nothing was done */
};

void store_open(struct store_port *ports, int count);
void store_put(const char *topic, const char *key, const char *value);
/* Turns an entry instance away from now on, or serves it again. */
void store_refuse(struct store_port *port, bool refuses);

/* fleet.c */

struct run {
	char task[64];
	int64_t number;
	int64_t started_ms;
	int64_t ends_ms;  /* by its own work; 0: it lasts */
	char carried[32]; /* the checkpoint that its start carried */
	int64_t began_ms; /* gang: when all members were present; 0: not yet */
};

struct end {
	int64_t number;
	char task[64];
	int64_t run;
	const char *how;
	char saved[32];
};

/* One life of a machine; a worker may start again under its id. */
struct worker {
	char id[32];
	char machine[32];
	int port;
	struct http_server *server;
	int64_t started_ms; /* of this life, on the script's clock */
	int64_t born_ms;    /* the same, in Unix milliseconds */
	int64_t fence;
	int64_t lease_end_ms; /* on the worker's clock */
	int64_t seq;
	int64_t next_end_number;
	struct run runs[RUNS_MAX_COUNT];
	int run_count;
	struct end ends[RUNS_MAX_COUNT];
	int end_count;
	/* Runs up to these numbers are refused. */
	struct run over[RUNS_MAX_COUNT];
	int over_count;
	bool is_silent;	  /* calls get no answer and are not carried out */
	char *kept_start; /* body of a start that got no answer */
};

struct start {
	int64_t at_ms;
	char worker[32];
	char task[64];
	int64_t run;
	char carried[32];
	int64_t ended_ms; /* 0: still at work */
	char how[16];
	bool late; /* the order was carried out late */
};

extern struct worker workers[WORKERS_MAX_COUNT];
extern int worker_count;

/* How long the items of each job work, in ms; 0: until they are stopped. */
extern int64_t item_work_ms;
/* All tasks are members of gangs of this many; 0: none is. */
extern int gang_size;
/* Starts need a ticket of the recommendation service. */
extern bool needs_tickets;

int fleet_open(int count); /* returns the port of the list of machines */
/* Opens the recommendation service, which allows all workers. */
int advice_open(void);
void worker_crash(struct worker *worker);
void worker_restart(struct worker *worker);
/* Carries out a start order that got no answer when it came. */
void worker_carry_out_kept(struct worker *worker);
/* Ends a run of a task as failed, by its own fault. */
bool worker_fail_task(const char *task);
/* The worker that runs a task, or NULL. */
struct worker *worker_running(const char *task);

/* All starts so far, and how many of a task's runs are at work now. */
extern struct start starts[256];
extern int start_count;
int task_runs_now(const char *task);

/* entries.c */

struct entry {
	char name[32];
	char ip[16];
	int front_port;
	int ready_port;
	pid_t pid;
};

extern struct entry entries[ENTRIES_MAX_COUNT];
extern int entry_count;

/* advice_port: 0 if there is no recommendation service. */
void entries_start(int count, const struct store_port *stores,
		   int machines_port, int advice_port);
/* Starts the process of an instance that has ended, as it was started first. */
void entry_restart(struct entry *entry);
void entries_stop(void);
/* Waits until all are ready; returns false after 20 s. */
bool entries_wait_ready(void);

/* A caller's request to an entry instance; noted in record.txt. */
int entry_call(const struct entry *entry, const char *method, const char *id,
	       const char *body, char *answer, size_t answer_size_bytes);

/* The host and the path prefix of the only queue. */
#define QUEUE_HOST "plans.example"
#define QUEUE_PREFIX "/ledger/"

/* world.c */

/* The operator's configuration, with or without the only queue. */
void world_configure(int version, bool has_queue);

/* Starts everything; returns whether the world is ready. */
bool world_start(int entry_total, int worker_total, const char *record_path,
		 struct store_port *stores, bool with_advice);
/* Ends all processes and exits: 0 held, 1 broken, 2 could not run. */
void world_end(int code) __attribute__((noreturn));

#endif
