/*
 * Runs a non-idempotent request at most once: its key is claimed in the log
 * before any dispatch, and the first claim in log order wins.
 *
 * A claim whose place in the log is not known yet is never run while the
 * service refuses work without the log. Its request is refused as not run at
 * once, which stays true: when the claim is read back later, its key is freed.
 */

#include <string.h>

#include "core/fleet.h"
#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "once"
#define HTTP_BAD_REQUEST 400
#define HTTP_CONFLICT 409
#define HTTP_UNAVAILABLE 503
/* Requests in progress, and ended ones whose record is not read back yet. */
#define PENDING_MAX_COUNT 4096
#define RESULT_RETRY_US (1 * USEC_PER_SEC)

enum claim_state {
	CLAIM_NONE, /* not in the log, and never will be */
	CLAIM_SENT, /* proposed; may be in the log */
	CLAIM_OURS, /* read back, and the first of its key */
};

enum request_state {
	REQUEST_WAITING,
	REQUEST_RUNNING, /* may be dispatched */
	REQUEST_ENDED,
};

struct pending {
	uint64_t request_id;
	char key[KEY_SIZE_BYTES];
	char service[NAME_SIZE_BYTES];
	enum claim_state claim;
	enum request_state request;
	struct record *record; /* claim, or NULL */
	struct record *result; /* proposed result, or NULL */
	enum verdict verdict;  /* of an ended request */
	uint32_t status;
};

struct once {
	struct kernel *kernel;
	GHashTable *pending; /* request id -> struct pending */
	GHashTable *running; /* key -> struct pending, not owned */
	bool log_reachable;
	int64_t retry_at_us; /* of dropped results */
};

static void pending_free(gpointer data)
{
	struct pending *pending = data;

	record_unref(pending->record);
	record_unref(pending->result);
	g_free(pending);
}

static void *once_init(struct kernel *kernel)
{
	struct once *once = g_new0(struct once, 1);

	once->kernel = kernel;
	once->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      pending_free);
	once->running = g_hash_table_new(g_str_hash, g_str_equal);
	once->retry_at_us = DEADLINE_NEVER_US;
	return once;
}

static void once_fini(void *self)
{
	struct once *once = self;

	g_hash_table_unref(once->running);
	g_hash_table_unref(once->pending);
	g_free(once);
}

static void count(struct once *once, const char *counter)
{
	counter_add(kernel_counters(once->kernel), counter, 1);
}

static struct pending *find(struct once *once, uint64_t request_id)
{
	return g_hash_table_lookup(once->pending, &request_id);
}

static void unmark_running(struct once *once, const struct pending *pending)
{
	if (g_hash_table_lookup(once->running, pending->key) == pending)
		g_hash_table_remove(once->running, pending->key);
}

static struct record *propose(struct once *once, const struct pending *pending,
			      enum record_kind kind)
{
	struct event event = { .type = EVENT_PROPOSE };
	struct record *record = record_new(kind);
	struct record_claim *body = &record->claim;

	record->wall_us = kernel_wall_us(once->kernel);
	name_copy(body->key, sizeof(body->key), pending->key);
	name_copy(body->service, sizeof(body->service), pending->service);
	body->request_id = pending->request_id;
	if (kind == RECORD_CLAIM_RESULT) {
		body->verdict = pending->verdict;
		body->status = pending->status;
	}
	event.record.record = record_ref(record);
	kernel_emit(once->kernel, &event);
	return record;
}

/* Reports the result of an ended request, or forgets it. */
static void settle(struct once *once, struct pending *pending)
{
	if (pending->request != REQUEST_ENDED || pending->claim == CLAIM_SENT)
		return;
	unmark_running(once, pending);
	if (pending->claim == CLAIM_OURS && !pending->result)
		pending->result = propose(once, pending, RECORD_CLAIM_RESULT);
	else if (pending->claim == CLAIM_NONE)
		g_hash_table_remove(once->pending, &pending->request_id);
}

static struct event decision(uint64_t request_id, const char *key,
			     const char *service)
{
	struct event event = { .type = EVENT_CLAIM_DECIDED };

	event.claim.request_id = request_id;
	name_copy(event.claim.key, sizeof(event.claim.key), key);
	name_copy(event.claim.service, sizeof(event.claim.service), service);
	return event;
}

static void refuse(struct event *decided, uint32_t status, enum verdict verdict,
		   const char *reason)
{
	decided->claim.status = status;
	decided->claim.verdict = verdict;
	g_strlcpy(decided->claim.reason, reason, REASON_SIZE_BYTES);
}

/*
 * Whether the key is claimed already. The verdict is that of the key, not of
 * this call: a caller that reads not-run would send the work again under a
 * new key.
 */
static bool refuse_claimed(struct once *once, const char *key,
			   struct event *decided)
{
	const struct fleet_claim *claim =
		fleet_claim(kernel_fleet(once->kernel), key);
	char reason[REASON_SIZE_BYTES];

	if (g_hash_table_contains(once->running, key)) {
		refuse(decided, HTTP_CONFLICT, VERDICT_MAY_HAVE_RUN,
		       "the request with this key is running");
		return true;
	}
	if (!claim || claim->verdict == VERDICT_NOT_RUN)
		return false;
	switch (claim->verdict) {
	case VERDICT_NONE:
		refuse(decided, HTTP_CONFLICT, VERDICT_MAY_HAVE_RUN,
		       "the request with this key is running");
		break;
	case VERDICT_RAN:
		g_snprintf(reason, sizeof(reason),
			   "the request with this key ran, with status %u",
			   claim->status);
		refuse(decided, HTTP_CONFLICT, VERDICT_RAN, reason);
		break;
	default:
		refuse(decided, HTTP_CONFLICT, VERDICT_MAY_HAVE_RUN,
		       "the request with this key may have run");
		break;
	}
	return true;
}

static bool refuse_key(struct once *once, const char *key,
		       struct event *decided)
{
	int64_t wall_us = kernel_wall_us(once->kernel);
	int64_t newest_us =
		MAX(wall_us, fleet_wall_us(kernel_fleet(once->kernel)));
	int64_t key_wall_us;
	const char *reason = NULL;

	if (!claim_key_wall_us(key, &key_wall_us))
		reason = "the idempotency key has no time prefix";
	else if (key_wall_us < newest_us - CLAIM_KEY_LIFE_US)
		reason = "the idempotency key is older than 24 h";
	else if (key_wall_us > wall_us + CLAIM_KEY_SKEW_US)
		reason = "the idempotency key is in the future";
	if (reason)
		refuse(decided, HTTP_BAD_REQUEST, VERDICT_NOT_RUN, reason);
	return reason != NULL;
}

/* Ends a request that waits for its claim. */
static void end_waiting(struct once *once, struct pending *pending,
			const struct event *decided, enum verdict verdict)
{
	pending->request = REQUEST_ENDED;
	pending->verdict = verdict;
	pending->status = 0;
	kernel_emit(once->kernel, decided);
	settle(once, pending);
}

static void let_run(struct once *once, struct pending *pending)
{
	struct event decided =
		decision(pending->request_id, pending->key, pending->service);

	if (g_hash_table_contains(once->running, pending->key)) {
		/* It runs here without a claim, so its key stays taken. */
		refuse_claimed(once, pending->key, &decided);
		end_waiting(once, pending, &decided, VERDICT_MAY_HAVE_RUN);
		return;
	}
	pending->request = REQUEST_RUNNING;
	g_hash_table_insert(once->running, pending->key, pending);
	count(once, pending->claim == CLAIM_OURS
			    ? "claims_total{outcome=\"won\"}"
			    : "claims_total{outcome=\"unprotected\"}");
	decided.claim.may_run = true;
	kernel_emit(once->kernel, &decided);
}

/* The log can't take the claim now: the service says what is done. */
static void decide_without_log(struct once *once, struct pending *pending)
{
	const struct decl_service *service =
		fleet_service(kernel_fleet(once->kernel), pending->service);
	struct event decided =
		decision(pending->request_id, pending->key, pending->service);

	if (pending->request != REQUEST_WAITING) {
		settle(once, pending);
		return;
	}
	if (service && service->when_log_down == LOG_DOWN_RUN) {
		let_run(once, pending);
		return;
	}
	count(once, "claims_total{outcome=\"no-log\"}");
	refuse(&decided, HTTP_UNAVAILABLE, VERDICT_NOT_RUN,
	       "the log can't be reached to claim the key");
	end_waiting(once, pending, &decided, VERDICT_NOT_RUN);
}

static struct pending *add(struct once *once, const struct event_claim *wanted)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->request_id = wanted->request_id;
	name_copy(pending->key, sizeof(pending->key), wanted->key);
	name_copy(pending->service, sizeof(pending->service), wanted->service);
	g_hash_table_insert(once->pending, &pending->request_id, pending);
	return pending;
}

static void claim_wanted(struct once *once, const struct event_claim *wanted)
{
	struct event decided =
		decision(wanted->request_id, wanted->key, wanted->service);
	struct pending *pending;

	if (find(once, wanted->request_id))
		return;
	if (refuse_key(once, wanted->key, &decided)) {
		count(once, "claims_total{outcome=\"bad-key\"}");
	} else if (refuse_claimed(once, wanted->key, &decided)) {
		count(once, "claims_total{outcome=\"lost\"}");
	} else if (g_hash_table_size(once->pending) >= PENDING_MAX_COUNT) {
		count(once, "claims_total{outcome=\"full\"}");
		refuse(&decided, HTTP_UNAVAILABLE, VERDICT_NOT_RUN,
		       "too many claims wait for the log");
	}
	if (decided.claim.status) {
		kernel_emit(once->kernel, &decided);
		return;
	}
	pending = add(once, wanted);
	if (!once->log_reachable) {
		decide_without_log(once, pending);
		return;
	}
	pending->record = propose(once, pending, RECORD_CLAIM);
	pending->claim = CLAIM_SENT;
}

/* Our claim was read back, and it is not the first of its key. */
static void claim_lost(struct once *once, struct pending *pending,
		       const char *reason)
{
	struct event decided =
		decision(pending->request_id, pending->key, pending->service);

	pending->claim = CLAIM_NONE;
	if (pending->request != REQUEST_WAITING) {
		settle(once, pending);
		return;
	}
	count(once, "claims_total{outcome=\"lost\"}");
	if (!refuse_claimed(once, pending->key, &decided) &&
	    !refuse_key(once, pending->key, &decided))
		refuse(&decided, HTTP_UNAVAILABLE, VERDICT_NOT_RUN, reason);
	end_waiting(once, pending, &decided, VERDICT_NOT_RUN);
}

static void claim_won(struct once *once, struct pending *pending)
{
	pending->claim = CLAIM_OURS;
	if (pending->request == REQUEST_WAITING)
		let_run(once, pending);
	else
		settle(once, pending);
}

/* The pending request that a record of ours belongs to, or NULL. */
static struct pending *find_by_record(struct once *once,
				      const struct record *record)
{
	struct pending *pending;
	const struct record *ours;

	if (record->kind != RECORD_CLAIM && record->kind != RECORD_CLAIM_RESULT)
		return NULL;
	pending = find(once, record->claim.request_id);
	if (!pending)
		return NULL;
	ours = record->kind == RECORD_CLAIM ? pending->record : pending->result;
	/* A record that was dropped before it was sent may have no id. */
	if (ours && (ours == record || record_id_equal(&ours->id, &record->id)))
		return pending;
	return NULL;
}

static void fleet_changed(struct once *once, const struct event_record *changed)
{
	struct pending *pending = find_by_record(once, changed->record);

	if (!pending)
		return;
	if (changed->record->kind == RECORD_CLAIM_RESULT)
		g_hash_table_remove(once->pending, &pending->request_id);
	else if (pending->claim != CLAIM_SENT)
		return; /* the record is in the log twice */
	else if (changed->accepted)
		claim_won(once, pending);
	else
		claim_lost(once, pending, changed->reason);
}

static void proposal_dropped(struct once *once, const struct record *record)
{
	struct pending *pending = find_by_record(once, record);

	if (!pending)
		return;
	if (record->kind == RECORD_CLAIM_RESULT) {
		g_clear_pointer(&pending->result, record_unref);
		once->retry_at_us =
			kernel_now_us(once->kernel) + RESULT_RETRY_US;
		kernel_wake_at(once->kernel, once->retry_at_us);
		return;
	}
	if (pending->claim != CLAIM_SENT)
		return;
	pending->claim = CLAIM_NONE;
	decide_without_log(once, pending);
}

/* Calls a function for each pending request; it may remove that request. */
static void for_each(struct once *once,
		     void (*call)(struct once *, struct pending *))
{
	GList *all = g_hash_table_get_values(once->pending);

	for (GList *at = all; at; at = at->next)
		call(once, at->data);
	g_list_free(all);
}

static void log_state(struct once *once, bool reachable)
{
	bool lost = once->log_reachable && !reachable;

	once->log_reachable = reachable;
	if (lost)
		for_each(once, decide_without_log);
}

/* The claim or result may lie among the records that a snapshot replaced. */
static void reread(struct once *once, struct pending *pending)
{
	const struct fleet *fleet = kernel_fleet(once->kernel);
	const struct settings *settings = kernel_settings(once->kernel);
	const struct fleet_claim *claim = fleet_claim(fleet, pending->key);
	const struct fleet_entry *entry = fleet_entry(fleet, settings->entry);
	uint64_t incarnation = kernel_incarnation(once->kernel);
	bool ours = claim && claim->request_id == pending->request_id &&
		    claim->incarnation == incarnation &&
		    !strcmp(claim->entry, settings->entry);

	if (pending->claim == CLAIM_SENT && ours) {
		claim_won(once, pending);
	} else if (pending->claim == CLAIM_SENT && entry &&
		   entry->decl.incarnation == incarnation &&
		   pending->record->id.sequence &&
		   entry->last_sequence >= pending->record->id.sequence) {
		claim_lost(once, pending, "the claim was ignored");
	} else if (pending->result &&
		   (!ours || claim->verdict != VERDICT_NONE)) {
		g_hash_table_remove(once->pending, &pending->request_id);
	}
}

static void request_reply(struct once *once, const struct event_request *reply)
{
	struct pending *pending = find(once, reply->request_id);

	if (!pending || pending->request == REQUEST_ENDED)
		return;
	pending->request = REQUEST_ENDED;
	pending->verdict =
		reply->verdict ? reply->verdict : VERDICT_MAY_HAVE_RUN;
	pending->status = reply->status;
	unmark_running(once, pending);
	settle(once, pending);
}

static void wake(struct once *once)
{
	if (once->retry_at_us > kernel_now_us(once->kernel)) {
		if (once->retry_at_us != DEADLINE_NEVER_US)
			kernel_wake_at(once->kernel, once->retry_at_us);
		return;
	}
	once->retry_at_us = DEADLINE_NEVER_US;
	for_each(once, settle);
}

static void once_handle(void *self, const struct event *event)
{
	struct once *once = self;

	switch (event->type) {
	case EVENT_CLAIM_WANTED:
		claim_wanted(once, &event->claim);
		break;
	case EVENT_FLEET_CHANGED:
		fleet_changed(once, &event->record);
		break;
	case EVENT_FLEET_RESET:
		for_each(once, reread);
		break;
	case EVENT_PROPOSAL_DROPPED:
		proposal_dropped(once, event->record.record);
		break;
	case EVENT_LOG_STATE:
		log_state(once, event->log.reachable);
		break;
	case EVENT_REQUEST_REPLY:
		request_reply(once, &event->request);
		break;
	case EVENT_WAKE:
		wake(once);
		break;
	default:
		break;
	}
}

static const struct plugin once_plugin = {
	.name = "once",
	.kind = PLUGIN_DECIDE,
	.takes = EVENT_BIT(EVENT_CLAIM_WANTED) |
		 EVENT_BIT(EVENT_FLEET_CHANGED) | EVENT_BIT(EVENT_FLEET_RESET) |
		 EVENT_BIT(EVENT_PROPOSAL_DROPPED) |
		 EVENT_BIT(EVENT_LOG_STATE) | EVENT_BIT(EVENT_REQUEST_REPLY) |
		 EVENT_BIT(EVENT_WAKE),
	.init = once_init,
	.handle = once_handle,
	.fini = once_fini,
};

PLUGIN_REGISTER(once_plugin)
