#ifndef CORE_EVENT_H
#define CORE_EVENT_H

/*
 * Every message between plug-ins.
 *
 * EVENT_REQUEST_REPLY ends each request, also one whose caller has
 * disconnected; the front end keeps the request in the table until then.
 *
 * A plug-in that proposes a record keeps a reference to it. The proposer sets
 * the record's id, and the plug-in finds the outcome by that id in
 * EVENT_FLEET_CHANGED or EVENT_PROPOSAL_DROPPED.
 *
 * The kernel queues events in the order in
 * which they are emitted and hands each to the plug-ins that take its type.
 */

#include <glib.h>

#include "core/peer_msg.h"
#include "core/record.h"
#include "core/types.h"

enum event_type {
	EVENT_WAKE,    /* a stored deadline has passed */
	EVENT_STARTED, /* all plug-ins are initialised */
	EVENT_DRAIN,   /* stop taking work, then leave */
	EVENT_DRAINED, /* router: nothing is in flight any more */
	EVENT_LEFT,    /* cluster: entry_leave was read back, or late */
	EVENT_RESUMED, /* kernel: the process was paused; comes before others */
	EVENT_REQUEST_NEW,  /* front end: a caller's request is complete */
	EVENT_REQUEST_GONE, /* front end: the caller has disconnected */
	/* To the front end: the end of each request, also of one that is gone;
	 * the request stays in the table until then. */
	EVENT_REQUEST_REPLY,
	EVENT_ATTEMPT_SEND,	/* to the endpoint client */
	EVENT_ATTEMPT_CANCEL,	/* to the endpoint client */
	EVENT_ATTEMPT_DONE,	/* endpoint client: how an attempt ended */
	EVENT_DISPATCHED,	/* router: an attempt holds a slot now */
	EVENT_SLOT_FREE,	/* router: an attempt gave its slot back */
	EVENT_PROPOSE,		/* to the proposer: a record to be appended */
	EVENT_PROPOSAL_DROPPED, /* proposer: certain not to be in the log */
	EVENT_LOG_APPEND,	/* to the log client: records for one append */
	EVENT_LOG_APPENDED,	/* log client: how an append ended */
	EVENT_LOG_ASK,		/* to the log client: report EVENT_LOG_STATE */
	EVENT_LOG_RECORD,	/* log client: a record that was read */
	EVENT_LOG_STATE, /* log client: reachable or not, first offset, tail */
	EVENT_FLEET_CHANGED,   /* a record was applied or ignored */
	EVENT_FLEET_RESET,     /* the state was replaced by a snapshot */
	EVENT_INSTANCE_LIST,   /* list client: one answer of the list */
	EVENT_INSTANCE_REBOOT, /* to the list client */
	EVENT_PEER_SEND,       /* to the peer link */
	EVENT_PEER_RECEIVED,   /* peer link */
	EVENT_PEER_STATE,    /* cluster: an entry instance changed its state */
	EVENT_SLOTS_CHANGED, /* slots: our share of some endpoint changed */
	EVENT_CLAIM_DECIDED, /* once: a claimed request may run, or not */
	EVENT_CLAIM_WANTED,  /* router: a request must be claimed first */
	EVENT_ROLE_CHANGED,  /* planner lease gained or lost */
	EVENT_ENDPOINT_HEALTH, /* health: ejected, probing or restored */
	EVENT_TASK_START,      /* to the platform: idempotent by attempt */
	EVENT_TASK_CHECKPOINT, /* to the platform: save its state, then stop */
	EVENT_TASK_STOP,       /* to the platform: stop without a result */
	EVENT_TASK_REPORT,     /* platform: how a task goes, or has ended */
	/* Jobs on the platform's workers; src/jobs/msg.h has their messages. */
	EVENT_STORE_READ,      /* store: records of jobs were read */
	EVENT_STORE_PACE,      /* to the store: how soon to read again */
	EVENT_STORE_WRITE,     /* to the store */
	EVENT_STORE_WRITTEN,   /* store: how a write ended */
	EVENT_JOBS_APPLIED,    /* apply: the records of a read are in force */
	EVENT_HOLDER_CHANGED,  /* lease: the jobs are held here, or no more */
	EVENT_JOB_CALL,	       /* front end: a caller asks */
	EVENT_JOB_CALL_GONE,   /* front end: the caller has disconnected */
	EVENT_JOB_REPLY,       /* to the front end */
	EVENT_WORKERS_SEEN,    /* directory: workers that came or went */
	EVENT_CONFIG_SEEN,     /* directory: queues and pools */
	EVENT_WAVE_SEEN,       /* directory: a maintenance wave */
	EVENT_ORDER,	       /* to a worker */
	EVENT_ORDER_DONE,      /* worker: how an order ended */
	EVENT_MACHINES_ASK,    /* to the machines' list */
	EVENT_MACHINES_SEEN,   /* the machines' list, or its failure */
	EVENT_MACHINE_ORDER,   /* move or maintain a machine */
	EVENT_MACHINE_ORDERED, /* how that ended */
	EVENT_ADVICE_ASK,      /* which workers may run a step */
	EVENT_ADVICE_GIVEN,    /* the answer, or its failure */
	EVENT_TYPE_COUNT,
};

#define EVENT_BIT(type) (UINT64_C(1) << (type))

/* Bound of an answer body and its media type; refcounted. */
struct answer {
	grefcount refs;
	uint32_t status;
	char content_type[CONTENT_TYPE_SIZE_BYTES];
	GBytes *body;
};

struct answer *answer_new(uint32_t status, const char *content_type,
			  GBytes *body);
struct answer *answer_ref(struct answer *answer);
void answer_unref(struct answer *answer);

struct event_request {
	uint64_t request_id;
	uint32_t status;	/* reply: HTTP status */
	enum verdict verdict;	/* reply */
	int64_t retry_after_us; /* reply: advice to the caller, 0 for none */
	char reason[REASON_SIZE_BYTES]; /* reply: empty for an answer */
};

enum attempt_result {
	ATTEMPT_ANSWERED,  /* whole answer, any HTTP status */
	ATTEMPT_REFUSED,   /* connection refused or endpoint full: not run */
	ATTEMPT_FAILED,	   /* connection broken after bytes were sent */
	ATTEMPT_TRUNCATED, /* answer shorter or longer than announced */
	ATTEMPT_TIMED_OUT,
	ATTEMPT_CANCELLED,
};

struct event_attempt {
	uint64_t request_id;
	uint32_t attempt;		/* 1 for the first */
	char endpoint[NAME_SIZE_BYTES]; /* instance, or entry if relayed */
	char address[ADDRESS_SIZE_BYTES];
	bool relayed;		    /* passed on to an entry instance */
	int64_t deadline_us;	    /* kernel clock */
	enum attempt_result result; /* done */
	enum verdict verdict;	    /* done */
	int64_t latency_us;	    /* done */
	uint32_t status;	    /* done: HTTP status, or 0 */
};

enum append_result {
	APPEND_OK,
	APPEND_NOT_TAKEN, /* certain: none of it is in the log */
	APPEND_UNKNOWN,	  /* answer lost: read back before trying again */
};

struct event_append {
	uint64_t append_id;
	GPtrArray *records;	   /* of struct record *, owned (append) */
	enum append_result result; /* appended */
	uint64_t first_offset;	   /* appended: of the first record */
};

struct event_log {
	bool reachable;
	uint64_t first_offset; /* oldest record that the log still keeps */
	uint64_t next_offset;  /* one past the newest record */
};

struct event_record {
	uint64_t offset;
	/*
	 * log_record: no record lies between this offset and the record's
	 * own. Above the applied offset, some records were trimmed unread.
	 */
	uint64_t previous_offset;
	struct record *record; /* owned */
	bool accepted;	       /* fleet_changed */
	/* fleet_changed: why it was ignored; proposal_dropped: why */
	char reason[REASON_SIZE_BYTES];
};

enum list_state {
	LIST_LIVE,
	LIST_LEAVING,
};

struct list_item {
	char name[NAME_SIZE_BYTES];
	enum list_state state;
};

struct event_list {
	GArray *items; /* of struct list_item, owned */
};

/*
 * Names of a list's items -> struct list_item, the first one of a name. It is
 * valid as long as the items are. Caller frees.
 */
GHashTable *list_items_index(const GArray *items);

struct event_name {
	char name[NAME_SIZE_BYTES];
	uint64_t offset;
	uint32_t value; /* meaning depends on the type of the event */
};

struct event_claim {
	uint64_t request_id;
	char key[KEY_SIZE_BYTES];
	char service[NAME_SIZE_BYTES];
	bool may_run;	      /* decided */
	enum verdict verdict; /* decided, if it may not run */
	uint32_t status;      /* decided, if it may not run: HTTP status */
	char reason[REASON_SIZE_BYTES];
};

struct event_peer {
	struct peer_msg *msg;	    /* owned; NULL on peer_state */
	char peer[NAME_SIZE_BYTES]; /* receiver, sender, or who changed */
	uint32_t state;		    /* peer_state: enum peer_state */
};

struct event_drain {
	int64_t deadline_us;
};

enum task_report {
	TASK_RUNNING,
	TASK_SUCCEEDED,
	TASK_FAILED,
	TASK_CHECKPOINTED,
	TASK_STOPPED,
};

/* A task is one attempt of a job on one instance. */
struct event_task {
	char job[NAME_SIZE_BYTES];
	char instance[NAME_SIZE_BYTES];
	uint32_t attempt;
	uint32_t slots_count;		/* start: declared */
	enum task_report report;	/* report */
	uint32_t used_millislots;	/* report: 0 if not known */
	char reason[REASON_SIZE_BYTES]; /* report: of a failure */
};

struct event {
	enum event_type type;
	union {
		struct event_request request;
		struct event_attempt attempt;
		struct event_append append;
		struct event_log log;
		struct event_record record;
		struct event_list list;
		struct event_name name;
		struct event_claim claim;
		struct event_peer peer;
		struct event_drain drain;
		struct event_task task;
		void *msg; /* owned; of the type that src/jobs/msg.h names */
	};
	struct answer *answer; /* owned; attempt_done and request_reply */
};

/* Releases what the event owns. */
void event_clear(struct event *event);

const char *event_type_name(enum event_type type);

#endif
