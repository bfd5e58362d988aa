#ifndef JOBS_MSG_H
#define JOBS_MSG_H

/*
 * Messages carried by the events of jobs, between the decision plug-ins in
 * src/jobs and the plug-ins that talk to callers, workers, the store and the
 * machine list. Each is refcounted with g_rc_box; an event owns one reference.
 */

#include "jobs/queues.h"
#include "jobs/record.h"

/* EVENT_STORE_READ: records of the jobs topic in store order. */
struct store_read {
	GPtrArray *records;   /* of struct job_record */
	uint64_t next_offset; /* every earlier record has been read */
	uint64_t end_offset;  /* one past the newest record in the store */
	int64_t sent_us;      /* when it was asked for; 0: a snapshot */
	bool snapshot;	/* newest record of each key; replaces the state */
	bool reachable; /* the store answered the read */
	bool local;	/* stored by this process, not read back yet */
};

/* EVENT_STORE_PACE */
struct store_pace {
	bool urgent; /* others wait for the next read; shortens the pause */
};

enum store_writer {
	STORE_WRITER_ENTRY,  /* submissions and cancellations of callers */
	STORE_WRITER_HOLDER, /* fenced by token */
	STORE_WRITER_CLAIM,  /* not retried; if unknown, may yet be written */
	STORE_WRITER_FENCE,  /* no records; fences all lower tokens */
	STORE_WRITER_STATUS, /* wave status for the operator */
};

enum store_result {
	STORE_WRITTEN,
	/* Certainly not written; of the holder's records, some may be */
	STORE_NOT_WRITTEN,
	STORE_FENCED,  /* certainly not written: a higher token has written */
	STORE_UNKNOWN, /* STORE_WRITER_CLAIM only; others retry until known */
};

/* EVENT_STORE_WRITE and EVENT_STORE_WRITTEN */
struct store_write {
	uint64_t write_id;
	enum store_writer writer;
	uint64_t token;	    /* fencing token (holder, fence) */
	GPtrArray *records; /* of struct job_record */
	int64_t sent_us;    /* when its sender emitted it; holder only */
	enum store_result result;
	uint64_t end_offset; /* STORE_WRITTEN */
	int64_t took_us;     /* duration of the attempt that was answered */
};

enum call_kind {
	CALL_SUBMIT,
	CALL_STATE, /* of a job; without an id, the depth of the queue */
	CALL_CANCEL,
	CALL_DEPTH, /* not used */
};

/* EVENT_JOB_CALL: a caller's request. */
struct job_call {
	uint64_t call_id;
	enum call_kind kind;
	char host[256];
	char *path;
	char *key;	       /* API key; NULL: none was sent */
	struct job_spec *spec; /* submit; NULL: malformed */
	int64_t deadline_us;
};

/* EVENT_JOB_REPLY */
struct job_reply {
	uint64_t call_id;
	uint32_t status;
	bool has_state;
	enum job_state state;
	bool has_depth;
	uint32_t depth_count;
	int64_t retry_after_us; /* 0: none */
	char reason[REASON_SIZE_BYTES];
};

/* One worker in the platform's directory. */
struct worker_entry {
	const char *id; /* interned */
	char address[ADDRESS_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES];
	char dc[NAME_SIZE_BYTES];
	char machine[NAME_SIZE_BYTES]; /* empty: unknown */
	GPtrArray *labels;	       /* of interned strings; owned */
	char rack[NAME_SIZE_BYTES];
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu_count;
	bool draining;
	int64_t started_ms; /* wall clock; start of the worker; 0: unknown */
};

/* EVENT_WORKERS_SEEN: changes of the directory, or its full content. */
struct workers_seen {
	GPtrArray *entries; /* of struct worker_entry, owned */
	GPtrArray *removed; /* of interned ids */
	bool all;	    /* full content: workers not in entries are gone */
};

/* EVENT_CONFIG_SEEN */
struct config_seen {
	struct queues *queues; /* owned reference */
};

/* EVENT_CONFIG_READ: a read of the configuration reached the store's end. */
struct config_read {
	/* When it was sent: what was acknowledged by then has been read. */
	int64_t sent_us;
};

/* EVENT_WAVE_SEEN: machines of a maintenance wave. */
struct wave_seen {
	uint64_t wave;
	GPtrArray *machines; /* of interned names */
	int64_t duration_us;
	uint32_t max_count; /* machines in maintenance at once */
};

enum order_kind {
	ORDER_START,
	ORDER_STOP,
	ORDER_HOLD, /* renews the lease of all items; the answer lists them */
	ORDER_PACE, /* throttles an item */
	ORDER_KIND_COUNT,
};

enum order_result {
	ORDER_OK,
	ORDER_FENCED,	     /* the worker has seen a higher token */
	ORDER_STALE_RUN,     /* this run or a later one was stopped or ended */
	ORDER_LEASE_EXPIRED, /* the lease in the order had expired on arrival */
	ORDER_NO_ROOM,
	ORDER_NO_TICKET,
	ORDER_REFUSED,	    /* certainly not carried out */
	ORDER_WRONG_WORKER, /* the address belongs to another worker now */
	ORDER_NOT_SENT,	    /* no connection: certainly not carried out */
	ORDER_UNANSWERED,   /* no answer: may have taken effect, or may yet */
	ORDER_RESULT_COUNT,
};

struct running_row {
	char item[NAME_SIZE_BYTES];
	uint32_t run;
	char *checkpoint;
	uint32_t percent;
	uint32_t observed; /* tail latency in ms if it serves, else its CPU */
};

/* How a run ended. The item is placed again, unless it is done. */
enum item_end {
	ITEM_END_DONE,
	ITEM_END_FAILED, /* the only one that counts as a failure */
	ITEM_END_STOPPED,
	ITEM_END_LEASE_EXPIRED, /* its lease expired */
	ITEM_END_BROKEN,
	ITEM_END_ALONE,
	ITEM_END_COUNT,
};

struct ended_row {
	uint64_t number;
	char item[NAME_SIZE_BYTES];
	uint32_t run;
	enum item_end end;
	char *checkpoint;
};

/* EVENT_ORDER, EVENT_ORDER_DONE, EVENT_ORDER_SEND and EVENT_ORDER_SENT */
struct order {
	enum order_kind kind;
	uint64_t forward_id; /* of the holder, if it is forwarded */
	/* Link address of the holder for which it is forwarded; or empty */
	char forward_for[ADDRESS_SIZE_BYTES];
	const char *worker;	  /* interned id */
	char dc[NAME_SIZE_BYTES]; /* of the worker */
	char address[ADDRESS_SIZE_BYTES];
	uint64_t token;
	char item[NAME_SIZE_BYTES];
	uint32_t run;
	struct job_spec *spec; /* start */
	char *checkpoint;      /* start; NULL: none */
	char *ticket;	       /* start; NULL: the queue needs none */
	int64_t lease_ms;      /* on the worker's clock; 0: none */
	uint64_t acked_number;
	int64_t wait_us;    /* hold: long-poll timeout for an item to end */
	int64_t timeout_us; /* of the answer, with wait_us; 0: the longest */
	uint32_t percent;   /* pace */
	int64_t sent_us;
	enum order_result result;
	bool has_clock;
	int64_t clock_ms;   /* of the worker, at some time during the order */
	int64_t started_ms; /* hold; as in struct worker_entry */
	GArray *running;    /* hold: of struct running_row */
	GArray *ended;	    /* hold: of struct ended_row, in order of number */
};

/* Longest wait of a forwarded hold. */
#define FORWARD_WAIT_MAX_US (2 * USEC_PER_SEC)

/*
 * EVENT_FORWARD_SEND and EVENT_FORWARD_RECEIVED: orders for a forwarder, or the
 * results of orders. A message without orders is a probe, and its answer.
 */
struct forward_msg {
	char to[ADDRESS_SIZE_BYTES];   /* link address; set by the sender */
	char from[ADDRESS_SIZE_BYTES]; /* link address of the sender */
	bool is_reply;
	uint32_t busy_percent; /* of the sender's loop */
	GPtrArray *orders;     /* of struct order, owned references */
};

enum machine_state {
	MACHINE_UP,
	MACHINE_MOVING,
	MACHINE_UPKEEP,
	MACHINE_DOWN,
};

struct machine_row {
	char name[NAME_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES];
	char dc[NAME_SIZE_BYTES];
	enum machine_state state;
	const char *worker; /* interned id; NULL: none */
};

/* EVENT_MACHINES_SEEN: the full list. EVENT_MACHINES_POLL has no message. */
struct machines_seen {
	bool complete;
	GArray *rows; /* of struct machine_row */
	int64_t asked_us;
};

enum machine_result {
	MACHINE_OK,
	MACHINE_FENCED,
	MACHINE_BUSY,
	MACHINE_NOT_IN_WAVE,
	MACHINE_REFUSED,    /* certainly not carried out */
	MACHINE_UNANSWERED, /* no answer: may have been carried out */
};

/* EVENT_MACHINE_ORDER and EVENT_MACHINE_ORDERED */
struct machine_order {
	bool upkeep; /* maintenance; false: move to another pool */
	char machine[NAME_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES]; /* move */
	uint64_t wave;		    /* upkeep */
	uint64_t token;
	int64_t send_by_us; /* must not be sent later; 0: no limit */
	enum machine_result result;
};

/* A worker that may run a step. */
struct advice_row {
	const char *worker; /* interned id */
	char *ticket;	    /* to be sent in its start orders */
};

/* EVENT_ADVICE_REQUEST and EVENT_ADVICE_RESPONSE: which workers may run a step.
 */
struct advice {
	char step[NAME_SIZE_BYTES]; /* JOB.OCCURRENCE.STEP */
	GPtrArray *workers;	    /* of interned ids; candidates */
	int64_t timeout_us;
	int64_t asked_us;
	bool answered;
	GArray *allowed;  /* of struct advice_row; all others may not */
	int64_t valid_us; /* validity of the tickets, from the answer on */
};

/* EVENT_HOLDER_CHANGED */
struct holder_changed {
	bool held; /* this process is the holder */
	uint64_t token;
	/* Time at which all worker leases of earlier holders have expired. */
	int64_t earlier_holder_until_us;
};

struct store_read *store_read_new(void);
struct store_write *store_write_new(enum store_writer writer);
void store_write_unref(struct store_write *msg);
struct job_call *job_call_new(void);
struct workers_seen *workers_seen_new(void);
struct wave_seen *wave_seen_new(void);
struct order *order_new(enum order_kind kind);
struct order *order_ref(struct order *order);
void order_unref(struct order *order);
struct forward_msg *forward_msg_new(void);
void forward_msg_unref(struct forward_msg *msg);
struct machines_seen *machines_seen_new(void);
/* Set of the interned ids of workers on machines that are up. Caller unrefs. */
GHashTable *machines_seen_up(const struct machines_seen *seen);
struct advice *advice_new(void);

void worker_entry_free(gpointer entry);

struct event;
/* Releases the message of an event if it is one of this file. */
void job_msg_clear(struct event *event);

/* Whether a worker has answered the order, which shows that it is reachable. */
bool order_is_answered(const struct order *order);

const char *order_kind_name(enum order_kind kind);
const char *order_result_name(enum order_result result);
const char *item_end_name(enum item_end end);

#endif
