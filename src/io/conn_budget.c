#include "io/conn_budget.h"

#include "core/types.h"

#define LOG_PERIOD_US USEC_PER_SEC
/* Added to the time behind, so that size decides among clients on time. */
#define BEHIND_MIN_US USEC_PER_MSEC

struct conn_budget {
	struct conn_limits limits;
	uint64_t held_bytes[CONN_PARTITION_COUNT];
	GQueue accounts;
	struct {
		uint32_t unlogged_count;
		int64_t next_log_us;
	} causes[CONN_CAUSE_COUNT];
};

struct conn_budget *conn_budget_new(const struct conn_limits *limits)
{
	struct conn_budget *budget = g_new0(struct conn_budget, 1);

	budget->limits = *limits;
	g_queue_init(&budget->accounts);
	return budget;
}

void conn_budget_free(struct conn_budget *budget)
{
	g_free(budget);
}

void conn_budget_open(struct conn_budget *budget, struct conn_account *account,
		      int64_t now_us)
{
	account->phase = CONN_RECEIVING;
	account->held_bytes = 0;
	account->kept_rate_until_us = now_us;
	account->link.data = account;
	g_queue_push_tail_link(&budget->accounts, &account->link);
}

void conn_budget_close(struct conn_budget *budget, struct conn_account *account)
{
	conn_budget_hold(budget, account, 0);
	g_queue_unlink(&budget->accounts, &account->link);
}

/* How long a transfer takes at the lowest rate. */
static int64_t transfer_us(const struct conn_budget *budget, uint64_t bytes)
{
	uint64_t rate = MAX(budget->limits.rate_min_bytes_per_s, 1);

	return (int64_t)(bytes * (uint64_t)USEC_PER_SEC / rate);
}

void conn_budget_begin(struct conn_budget *budget, struct conn_account *account,
		       enum conn_phase phase, uint64_t transfer_bytes,
		       int64_t now_us)
{
	if (account->phase == CONN_CLOSING)
		return;
	account->kept_rate_until_us =
		now_us + transfer_us(budget, transfer_bytes);
	if (phase == CONN_CLOSING)
		conn_budget_hold(budget, account, 0);
	account->phase = phase;
}

void conn_budget_progress(const struct conn_budget *budget,
			  struct conn_account *account, uint64_t size_bytes,
			  int64_t now_us)
{
	account->kept_rate_until_us =
		MIN(now_us, account->kept_rate_until_us +
				    transfer_us(budget, size_bytes));
}

void conn_budget_hold(struct conn_budget *budget, struct conn_account *account,
		      uint64_t held_bytes)
{
	if (account->phase == CONN_CLOSING)
		return;
	budget->held_bytes[account->partition] -= account->held_bytes;
	budget->held_bytes[account->partition] += held_bytes;
	account->held_bytes = held_bytes;
}

/* Bytes held times microseconds behind. */
static double cost(const struct conn_account *account, int64_t now_us)
{
	int64_t behind_us =
		MAX(now_us - account->kept_rate_until_us, 0) + BEHIND_MIN_US;

	return (double)account->held_bytes * (double)behind_us;
}

/* The request may have run, so its response isn't lost while it is read. */
static bool is_closable(const struct conn_account *account, int64_t now_us)
{
	if (account->phase == CONN_SENDING)
		return now_us > account->kept_rate_until_us;
	return account->phase != CONN_WAITING && account->phase != CONN_CLOSING;
}

/* server: NULL for all accounts of the partition, which is ignored otherwise.
 */
static struct conn_account *find_worst(const struct conn_budget *budget,
				       const void *server,
				       enum conn_partition partition,
				       int64_t now_us)
{
	struct conn_account *worst = NULL;

	for (const GList *at = budget->accounts.head; at; at = at->next) {
		struct conn_account *account = at->data;

		if (!is_closable(account, now_us) ||
		    (server ? account->server != server
			    : account->partition != partition))
			continue;
		if (!worst || cost(account, now_us) > cost(worst, now_us))
			worst = account;
	}
	return worst;
}

struct conn_account *conn_budget_excess(const struct conn_budget *budget,
					enum conn_partition partition,
					int64_t now_us)
{
	if (budget->held_bytes[partition] <=
	    budget->limits.partition_max_bytes[partition])
		return NULL;
	return find_worst(budget, NULL, partition, now_us);
}

struct conn_account *conn_budget_worst(const struct conn_budget *budget,
				       const void *server, int64_t now_us)
{
	return find_worst(budget, server, CONN_PARTITION_SHARED, now_us);
}

struct conn_account *conn_budget_overdue(const struct conn_budget *budget,
					 const void *server, int64_t now_us)
{
	int64_t overdue_us = now_us - budget->limits.grace_us;

	for (const GList *at = budget->accounts.head; at; at = at->next) {
		struct conn_account *account = at->data;
		bool transfers = account->phase == CONN_RECEIVING ||
				 account->phase == CONN_SENDING;

		if (account->server == server && transfers &&
		    account->kept_rate_until_us < overdue_us)
			return account;
	}
	return NULL;
}

struct conn_account *conn_budget_next(const struct conn_budget *budget,
				      const void *server,
				      const struct conn_account *after)
{
	const GList *at = after ? after->link.next : budget->accounts.head;

	while (at && ((struct conn_account *)at->data)->server != server)
		at = at->next;
	return at ? at->data : NULL;
}

uint64_t conn_budget_held(const struct conn_budget *budget,
			  enum conn_partition partition)
{
	return budget->held_bytes[partition];
}

bool conn_budget_report(struct conn_budget *budget, enum conn_cause cause,
			int64_t now_us, uint32_t *count)
{
	budget->causes[cause].unlogged_count++;
	if (now_us < budget->causes[cause].next_log_us)
		return false;
	*count = budget->causes[cause].unlogged_count;
	budget->causes[cause].unlogged_count = 0;
	budget->causes[cause].next_log_us = now_us + LOG_PERIOD_US;
	return true;
}

const char *conn_cause_name(enum conn_cause cause)
{
	static const char *const names[] = {
		[CONN_CAUSE_MEMORY] = "memory",
		[CONN_CAUSE_CONNECTIONS] = "connections",
		[CONN_CAUSE_SLOW_REQUEST] = "slow-request",
		[CONN_CAUSE_SLOW_READER] = "slow-reader",
		[CONN_CAUSE_TIMEOUT] = "timeout",
		[CONN_CAUSE_HEADERS] = "headers",
		[CONN_CAUSE_BODY] = "body",
	};

	return names[cause];
}
