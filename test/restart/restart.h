#ifndef RESTART_H
#define RESTART_H

/*
 * A randomised run of entry instances, as real processes, against stand-ins of
 * the store, the workers and the list of machines. The store and the HTTP code
 * are those of review/common-2. One lock guards all state of the stand-ins.
 */

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#define ENTRY_COUNT 3
#define MACHINE_COUNT 8
#define LEASE_MAX_MS 10000
#define STOP_MAX_MS 400
#define HEARTBEAT_MS 1500
#define CPU_PER_WORKER 12000
#define CPU_PER_ITEM 500

/* world.c */

extern pthread_mutex_t world_lock;
/* Decides what happens to single calls; guarded by world_lock. */
extern GRand *world_random;

int64_t world_ms(void);
void world_sleep_ms(int64_t ms);
void world_note(const char *format, ...) G_GNUC_PRINTF(1, 2);
void world_open(const char *folder, uint32_t seed);
/* Opens the store, with a port for each entry instance. */
void world_open_store(int ports[ENTRY_COUNT]);
void store_put(const char *topic, const char *key, const char *value);

/* The disturbances; OFF names those that are left out, separated by commas. */
enum fault {
	FAULT_POWER, /* a worker loses power and starts again under its id */
	FAULT_CUT,   /* a worker is cut off after that */
	FAULT_LOST,  /* the answer of an order is lost */
	FAULT_LATE,  /* an order is carried out seconds later */
	FAULT_NEXT_LIFE, /* such an order reaches the next life as well */
	FAULT_LIST,	 /* the list of machines is slow */
	FAULT_KILL,	 /* an entry instance is killed and started again */
	FAULT_FREEZE,	 /* an entry instance is stopped for seconds */
};

bool fault_enabled(enum fault fault);

/* check.c: the rule TWICE, by what the workers see; call with world_lock. */

void check_started(const char *task, int64_t run, const char *worker,
		   bool late);
/* The run is over: by its own end, or with the life of its worker. */
void check_ended(const char *task, int64_t run, const char *worker);
/* The end `done` at done_ms has been acknowledged. */
void check_acknowledged(const char *task, int64_t done_ms);
void check_broken(const char *format, ...) G_GNUC_PRINTF(1, 2);
int check_broken_count(void);

/* workers.c */

/* Starts the workers; returns the port of the list of machines. */
int workers_open(void);
/* Whether the worker is neither down nor cut off, nor will be. */
bool workers_is_calm(int worker);
/* The worker is down until on_ms and cut off from cut_ms to cut_until_ms. */
void workers_disturb(int worker, int64_t on_ms, int64_t cut_ms,
		     int64_t cut_until_ms);
/* Ends all disturbances of the workers. */
void workers_calm(void);
/* The fencing token of the newest start order. */
int64_t workers_newest_token(void);
/* The worker that began an item last. */
int workers_newest_started(void);

/* entries.c */

void entries_open(const char *program, const char *folder,
		  const int store_ports[ENTRY_COUNT], int machines_port);
bool entries_wait_ready(void);
/* Starts and continues the processes for which it is time. */
void entries_tick(void);
/* The entry instance that holds a fencing token; any running one otherwise. */
int entries_holder(int64_t token);
void entries_kill(int entry, int64_t until_ms);
void entries_freeze(int entry, int64_t until_ms);
void entries_calm(void);
void entries_stop(void);
/* Returns the status; 0: there was no answer in time. */
int entries_call(int entry, const char *method, const char *path,
		 const char *body, char *answer, size_t answer_size_bytes);

/* callers.c */

#define QUEUE_HOST "plans.example"

void callers_start(uint32_t seed);
/* From now on only short jobs are submitted; then none. */
void callers_end_long(void);
void callers_stop(void);
/* Waits until all accepted jobs are complete, or returns how many aren't. */
int callers_wait_complete(int64_t until_ms);

#endif
