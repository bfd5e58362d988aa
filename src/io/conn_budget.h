#ifndef IO_CONN_BUDGET_H
#define IO_CONN_BUDGET_H

/*
 * Account of what clients make the HTTP servers of a process hold. Decides
 * which connection to close when that exceeds a limit; does no I/O.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Parts of the budget, so that clients that fill one leave the other. */
enum conn_partition {
	CONN_PARTITION_SHARED,
	CONN_PARTITION_RESERVED, /* for the checks of readiness */
	CONN_PARTITION_COUNT,
};

enum conn_phase {
	CONN_IDLE,	/* between requests */
	CONN_RECEIVING, /* a request, from the opening of the connection on */
	CONN_WAITING,	/* the request was passed on: it is never closed */
	CONN_SENDING, /* the response; only closed once the client is behind */
	CONN_CLOSING, /* holds nothing any more; never left */
};

/* Why a request was refused or a connection closed. */
enum conn_cause {
	CONN_CAUSE_MEMORY,
	CONN_CAUSE_CONNECTIONS,
	CONN_CAUSE_SLOW_REQUEST,
	CONN_CAUSE_SLOW_READER,
	CONN_CAUSE_TIMEOUT,
	CONN_CAUSE_HEADERS,
	CONN_CAUSE_BODY,
	CONN_CAUSE_COUNT,
};

struct conn_limits {
	uint64_t partition_max_bytes[CONN_PARTITION_COUNT]; /* held at most */
	/*
	 * A body must arrive, and a response be read, at this rate or faster;
	 * a transfer that falls behind by more than grace_us is overdue.
	 */
	uint32_t rate_min_bytes_per_s;
	int64_t grace_us;
};

/* One connection; embedded in the structure of the owner. */
struct conn_account {
	void *owner;
	const void *server;
	enum conn_partition partition;
	enum conn_phase phase;
	uint64_t held_bytes;
	/*
	 * Up to this time the client has kept the lowest rate. In the future
	 * while a response is sent that takes until then at that rate.
	 */
	int64_t kept_rate_until_us;
	GList link;
};

struct conn_budget;

/* All times are monotonic. The limits are copied. */
struct conn_budget *conn_budget_new(const struct conn_limits *limits);
/* All accounts must have been closed. NULL is ignored. */
void conn_budget_free(struct conn_budget *budget);

/*
 * Adds an account, which holds nothing yet and is receiving. Its owner, server
 * and partition must be set.
 */
void conn_budget_open(struct conn_budget *budget, struct conn_account *account,
		      int64_t now_us);
/* Removes the account and what it holds. */
void conn_budget_close(struct conn_budget *budget,
		       struct conn_account *account);

/*
 * Begins a phase in which the client has to transfer so many bytes: 0, but for
 * a response to be read. No effect once the account is closing.
 */
void conn_budget_begin(struct conn_budget *budget, struct conn_account *account,
		       enum conn_phase phase, uint64_t transfer_bytes,
		       int64_t now_us);

/* The client has sent so many bytes of its request. */
void conn_budget_progress(const struct conn_budget *budget,
			  struct conn_account *account, uint64_t size_bytes,
			  int64_t now_us);

/* Sets what the connection holds now, unless the account is closing. */
void conn_budget_hold(struct conn_budget *budget, struct conn_account *account,
		      uint64_t held_bytes);

/*
 * The account to close next while a partition is exceeded: the one with the
 * largest product of bytes held and time it is behind. NULL if the partition
 * isn't exceeded, or no account can be closed.
 */
struct conn_account *conn_budget_excess(const struct conn_budget *budget,
					enum conn_partition partition,
					int64_t now_us);

/* The account to close for a new connection of a server, by the same rule. */
struct conn_account *conn_budget_worst(const struct conn_budget *budget,
				       const void *server, int64_t now_us);

/* An account of a server whose transfer is overdue; NULL if there is none. */
struct conn_account *conn_budget_overdue(const struct conn_budget *budget,
					 const void *server, int64_t now_us);

/* The next account of a server after another; NULL: the first. */
struct conn_account *conn_budget_next(const struct conn_budget *budget,
				      const void *server,
				      const struct conn_account *after);

/* Bytes that all accounts of a partition hold. */
uint64_t conn_budget_held(const struct conn_budget *budget,
			  enum conn_partition partition);

/*
 * Counts a refusal or closed connection. Returns true, with the number since
 * the last time, if it should be logged: once a second for each cause.
 */
bool conn_budget_report(struct conn_budget *budget, enum conn_cause cause,
			int64_t now_us, uint32_t *count);

/* Short name, as in the label of the counter. */
const char *conn_cause_name(enum conn_cause cause);

#endif
