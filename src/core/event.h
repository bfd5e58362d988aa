#ifndef CORE_EVENT_H
#define CORE_EVENT_H

/*
 * The events by which plug-ins communicate. The kernel queues events in the
 * order in which they are emitted and passes each to the plug-ins that have
 * subscribed to its type.
 *
 * EVENT_REQUEST_REPLY ends each request, even if its caller has disconnected;
 * the front end keeps the request in the table until then.
 *
 * A plug-in that proposes a record keeps a reference to it. The proposer sets
 * the record's id, and the plug-in finds the outcome by that id in
 * EVENT_FLEET_CHANGED or EVENT_PROPOSAL_DROPPED.
 */

#include <glib.h>

#include "core/peer_msg.h"
#include "core/record.h"
#include "core/types.h"

/* The comment names the emitter, or the receiver after "to". */
enum event_type {
	EVENT_WAKE,    /* kernel: a stored deadline has passed */
	EVENT_STARTED, /* kernel: all plug-ins are initialised */
	EVENT_DRAIN,   /* to all: finish the work in progress, then leave */
	EVENT_DRAINED, /* router: no request is in flight any more */
	EVENT_LEFT,    /* cluster: entry_leave was read back, or timed out */
	EVENT_RESUMED, /* kernel: the process was paused; emitted first */
	EVENT_REQUEST_NEW,	/* front end: received a complete request */
	EVENT_REQUEST_GONE,	/* front end: the caller has disconnected */
	EVENT_REQUEST_REPLY,	/* to the front end: the result of a request */
	EVENT_ATTEMPT_SEND,	/* to the endpoint client */
	EVENT_ATTEMPT_CANCEL,	/* to the endpoint client */
	EVENT_ATTEMPT_DONE,	/* endpoint client: how an attempt ended */
	EVENT_DISPATCHED,	/* router: an attempt has taken a slot */
	EVENT_SLOT_FREE,	/* router: an attempt has released its slot */
	EVENT_PROPOSE,		/* to the proposer: append a record */
	EVENT_PROPOSAL_DROPPED, /* proposer: certain not to be in the log */
	EVENT_LOG_APPEND,	/* to the log client: records for one append */
	EVENT_LOG_APPENDED,	/* log client: how an append ended */
	EVENT_LOG_QUERY,	/* to the log client: report EVENT_LOG_STATE */
	EVENT_LOG_RECORD,	/* log client: a record that was read */
	EVENT_LOG_STATE, /* log client: reachability, oldest and next offset */
	EVENT_FLEET_CHANGED,   /* replay: a record was applied or ignored */
	EVENT_FLEET_RESET,     /* snapshot: the state was replaced by one */
	EVENT_INSTANCE_LIST,   /* list client: the instances of one response */
	EVENT_INSTANCE_REBOOT, /* to the list client: reboot an instance */
	EVENT_PEER_SEND,       /* to the peer link: send a message */
	EVENT_PEER_RECEIVED,   /* peer link: received a message */
	EVENT_PEER_STATE,      /* cluster: the state of a peer has changed */
	EVENT_SLOTS_CHANGED,   /* slots: our share of an endpoint has changed */
	EVENT_CLAIM_DECIDED,   /* once: whether a claimed request may run */
	EVENT_CLAIM_WANTED,    /* router: a request must be claimed first */
	EVENT_ROLE_CHANGED,    /* planner: its lease was gained or lost */
	EVENT_ENDPOINT_HEALTH, /* health: ejected, probing or restored */
	EVENT_TASK_START,      /* to the platform: idempotent by attempt */
	EVENT_TASK_CHECKPOINT, /* to the platform: save the state, then stop */
	EVENT_TASK_STOP,       /* to the platform: stop without a result */
	EVENT_TASK_REPORT,     /* platform: progress or end of a task */
	/* Jobs on the platform's workers, with the messages of jobs/msg.h. */
	EVENT_STORE_READ,     /* store: job records were read */
	EVENT_STORE_PACE,     /* to the store: how soon to read again */
	EVENT_STORE_WRITE,    /* to the store: append records */
	EVENT_STORE_WRITTEN,  /* store: how a write ended */
	EVENT_JOBS_APPLIED,   /* apply: the records of a read were applied */
	EVENT_HOLDER_CHANGED, /* lease: gained or lost by this entry instance */
	EVENT_JOB_CALL,	      /* front end: a call about jobs */
	EVENT_JOB_CALL_GONE,  /* front end: the caller has disconnected */
	EVENT_JOB_REPLY,      /* to the front end: its reply */
	EVENT_WORKERS_SEEN,   /* directory: workers added or removed */
	EVENT_CONFIG_SEEN,    /* directory: queues and pools */
	EVENT_CONFIG_READ,    /* directory: how recent the configuration is */
	EVENT_WAVE_SEEN,      /* directory: a maintenance wave */
	EVENT_ORDER,	      /* to forward: an order for a worker */
	EVENT_ORDER_DONE,     /* forward: how an order ended */
	EVENT_ORDER_SEND,     /* to the worker client: send an order */
	EVENT_ORDER_SENT,     /* worker client: how an order ended */
	EVENT_FORWARD_SEND,   /* to the link: orders or results for another */
	EVENT_FORWARD_RECEIVED, /* link: orders or results from another */
	EVENT_MACHINES_POLL,	/* to the machine client: read the list */
	EVENT_MACHINES_SEEN,	/* machine client: the list, or a failure */
	EVENT_MACHINE_ORDER,   /* to the machine client: move or maintain one */
	EVENT_MACHINE_ORDERED, /* machine client: how the order ended */
	EVENT_ADVICE_REQUEST,  /* to the advice client: who may run a step */
	EVENT_ADVICE_RESPONSE, /* advice client: the workers, or a failure */
	EVENT_TYPE_COUNT,
};

#define EVENT_BIT(type) (UINT64_C(1) << (type))
_Static_assert(EVENT_TYPE_COUNT <= 64, "EVENT_BIT() has 64 bits");

/* HTTP response of an endpoint; reference-counted. */
struct response {
	grefcount refs;
	uint32_t status;
	char content_type[CONTENT_TYPE_SIZE_BYTES];
	GBytes *body;
};

struct response *response_new(uint32_t status, const char *content_type,
			      GBytes *body);
struct response *response_ref(struct response *response);
void response_unref(struct response *response);

struct event_request {
	uint64_t request_id;
	uint32_t status;		/* reply: HTTP status */
	enum verdict verdict;		/* reply */
	int64_t retry_after_us;		/* reply: for the caller; 0: none */
	char reason[REASON_SIZE_BYTES]; /* reply: why it failed, or empty */
};

enum attempt_result {
	ATTEMPT_ANSWERED,  /* complete response, any HTTP status */
	ATTEMPT_REFUSED,   /* connection refused or endpoint full: not run */
	ATTEMPT_FAILED,	   /* connection broken after bytes were sent */
	ATTEMPT_TRUNCATED, /* response shorter or longer than announced */
	ATTEMPT_TIMED_OUT,
	ATTEMPT_CANCELLED,
};

struct event_attempt {
	uint64_t request_id;
	uint32_t attempt;		/* 1 for the first */
	char endpoint[NAME_SIZE_BYTES]; /* instance, or entry if relayed */
	char address[ADDRESS_SIZE_BYTES];
	bool relayed;		    /* sent to another entry instance */
	int64_t deadline_us;	    /* kernel clock */
	enum attempt_result result; /* done */
	enum verdict verdict;	    /* done */
	int64_t latency_us;	    /* done */
	uint32_t status;	    /* done: HTTP status, or 0 */
};

enum append_result {
	APPEND_OK,
	APPEND_NOT_STORED, /* certain: none of the records is in the log */
	APPEND_UNKNOWN,	   /* response lost: read the log before a retry */
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
	 * own. If it is above the applied offset, records were trimmed before
	 * they were read.
	 */
	uint64_t previous_offset;
	struct record *record; /* owned */
	bool accepted;	       /* fleet_changed */
	/* fleet_changed: why it was ignored; proposal_dropped: why dropped */
	char reason[REASON_SIZE_BYTES];
};

enum list_state {
	LIST_LIVE,
	LIST_LEAVING,
};

struct instance_list_item {
	char name[NAME_SIZE_BYTES];
	enum list_state state;
};

struct event_list {
	GArray *items; /* of struct instance_list_item, owned */
};

/*
 * Returns a table of name -> struct instance_list_item, with the first item of
 * each name. It points into the items. Caller unrefs.
 */
GHashTable *list_items_index(const GArray *items);

/* For events that concern one named instance, endpoint or entry. */
struct event_subject {
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
	char peer[NAME_SIZE_BYTES]; /* receiver, sender, or changed peer */
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
		struct event_subject subject;
		struct event_claim claim;
		struct event_peer peer;
		struct event_drain drain;
		struct event_task task;
		void *msg; /* owned; of the type that src/jobs/msg.h names */
	};
	struct response *response; /* owned; attempt_done and request_reply */
};

/* Releases the owned members of the event. */
void event_clear(struct event *event);

const char *event_type_name(enum event_type type);

#endif
