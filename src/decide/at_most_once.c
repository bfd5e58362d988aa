/*
 * Runs a non-idempotent request at most once: its key is claimed in the log
 * before any dispatch, and the first claim in log order wins.
 *
 * If the service refuses work without the log, a request never runs before its
 * claim was read back. When the log can't be reached, the request is refused
 * at once, with the verdict not-run. The verdict stays true: if the claim turns
 * up in the log later, its result is recorded as not-run, which frees the key.
 */

#include <string.h>

#include "core/fleet.h"
#include "kernel/kernel.h"
#include "kernel/klog.h"

#define LOG_PREFIX "once"
#define HTTP_BAD_REQUEST 400
#define HTTP_CONFLICT 409
#define HTTP_UNAVAILABLE 503
/* Limits requests in progress and ended ones with records not yet read back. */
#define CLAIMS_MAX_COUNT 4096
#define RESULT_RETRY_US (1 * USEC_PER_SEC)

enum claim_state {
	CLAIM_NONE, /* we hold no claim, and none is pending */
	CLAIM_SENT, /* proposed; may be in the log */
	CLAIM_OURS, /* read back, and the first of its key */
};

enum request_state {
	REQUEST_WAITING,
	REQUEST_RUNNING, /* the router may dispatch it */
	REQUEST_ENDED,
};

struct claim {
	uint64_t request_id;
	char key[KEY_SIZE_BYTES];
	char service[NAME_SIZE_BYTES];
	enum claim_state state;
	enum request_state request_state;
	struct record *record; /* the proposed claim, or NULL */
	struct record *result; /* the proposed result, or NULL */
	enum verdict verdict;  /* of an ended request */
	uint32_t status;
};

struct at_most_once {
	struct kernel *kernel;
	GHashTable *claims;  /* request id -> struct claim */
	GHashTable *running; /* key -> struct claim, not owned */
	bool log_reachable;
	int64_t retry_at_us; /* next retry of dropped results */
};

static void claim_free(gpointer data)
{
	struct claim *claim = data;

	record_unref(claim->record);
	record_unref(claim->result);
	g_free(claim);
}

static void *at_most_once_init(struct kernel *kernel)
{
	struct at_most_once *self = g_new0(struct at_most_once, 1);

	self->kernel = kernel;
	self->claims = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     claim_free);
	self->running = g_hash_table_new(g_str_hash, g_str_equal);
	self->retry_at_us = DEADLINE_NEVER_US;
	return self;
}

static void at_most_once_fini(void *state)
{
	struct at_most_once *self = state;

	g_hash_table_unref(self->running);
	g_hash_table_unref(self->claims);
	g_free(self);
}

static void count(struct at_most_once *self, const char *counter)
{
	counter_add(kernel_counters(self->kernel), counter, 1);
}

static struct claim *find_claim(struct at_most_once *self, uint64_t request_id)
{
	return g_hash_table_lookup(self->claims, &request_id);
}

static void unmark_running(struct at_most_once *self, const struct claim *claim)
{
	if (g_hash_table_lookup(self->running, claim->key) == claim)
		g_hash_table_remove(self->running, claim->key);
}

static struct record *propose_record(struct at_most_once *self,
				     const struct claim *claim,
				     enum record_kind kind)
{
	struct event event = { .type = EVENT_PROPOSE };
	struct record *record = record_new(kind);
	struct record_claim *body = &record->claim;

	record->wall_us = kernel_wall_us(self->kernel);
	name_copy(body->key, sizeof(body->key), claim->key);
	name_copy(body->service, sizeof(body->service), claim->service);
	body->request_id = claim->request_id;
	if (kind == RECORD_CLAIM_RESULT) {
		body->verdict = claim->verdict;
		body->status = claim->status;
	}
	event.record.record = record_ref(record);
	kernel_emit(self->kernel, &event);
	return record;
}

/* Proposes the result of an ended request, or frees it if none is due. */
static void finish_claim(struct at_most_once *self, struct claim *claim)
{
	if (claim->request_state != REQUEST_ENDED || claim->state == CLAIM_SENT)
		return;
	unmark_running(self, claim);
	if (claim->state == CLAIM_OURS && !claim->result)
		claim->result =
			propose_record(self, claim, RECORD_CLAIM_RESULT);
	else if (claim->state == CLAIM_NONE)
		g_hash_table_remove(self->claims, &claim->request_id);
}

static struct event decided_event(uint64_t request_id, const char *key,
				  const char *service)
{
	struct event event = { .type = EVENT_CLAIM_DECIDED };

	event.claim.request_id = request_id;
	name_copy(event.claim.key, sizeof(event.claim.key), key);
	name_copy(event.claim.service, sizeof(event.claim.service), service);
	return event;
}

static void set_refusal(struct event *decided, uint32_t status,
			enum verdict verdict, const char *reason)
{
	decided->claim.status = status;
	decided->claim.verdict = verdict;
	g_strlcpy(decided->claim.reason, reason, REASON_SIZE_BYTES);
}

/*
 * Refuses a key that is claimed already. The verdict is that of the key, not of
 * this request: a caller that reads not-run would send the work again under a
 * new key.
 */
static bool refuse_claimed(struct at_most_once *self, const char *key,
			   struct event *decided)
{
	const struct fleet_claim *claim =
		fleet_claim(kernel_fleet(self->kernel), key);
	char reason[REASON_SIZE_BYTES];

	if (g_hash_table_contains(self->running, key)) {
		set_refusal(decided, HTTP_CONFLICT, VERDICT_MAY_HAVE_RUN,
			    "the request with this key is running");
		return true;
	}
	if (!claim || claim->verdict == VERDICT_NOT_RUN)
		return false;
	switch (claim->verdict) {
	case VERDICT_NONE:
		set_refusal(decided, HTTP_CONFLICT, VERDICT_MAY_HAVE_RUN,
			    "the request with this key is running");
		break;
	case VERDICT_RAN:
		g_snprintf(reason, sizeof(reason),
			   "the request with this key ran, with status %u",
			   claim->status);
		set_refusal(decided, HTTP_CONFLICT, VERDICT_RAN, reason);
		break;
	default:
		set_refusal(decided, HTTP_CONFLICT, VERDICT_MAY_HAVE_RUN,
			    "the request with this key may have run");
		break;
	}
	return true;
}

static bool refuse_invalid_key(struct at_most_once *self, const char *key,
			       struct event *decided)
{
	int64_t wall_us = kernel_wall_us(self->kernel);
	int64_t newest_us =
		MAX(wall_us, fleet_wall_us(kernel_fleet(self->kernel)));
	int64_t key_wall_us;
	const char *reason = NULL;

	if (!claim_key_wall_us(key, &key_wall_us))
		reason = "the idempotency key has no time prefix";
	else if (key_wall_us < newest_us - CLAIM_KEY_LIFETIME_US)
		reason = "the idempotency key is older than 24 h";
	else if (key_wall_us > wall_us + CLAIM_KEY_SKEW_US)
		reason = "the idempotency key is in the future";
	if (reason)
		set_refusal(decided, HTTP_BAD_REQUEST, VERDICT_NOT_RUN, reason);
	return reason != NULL;
}

/* Ends a request that waits for its claim, with the given refusal. */
static void refuse_waiting(struct at_most_once *self, struct claim *claim,
			   const struct event *decided, enum verdict verdict)
{
	claim->request_state = REQUEST_ENDED;
	claim->verdict = verdict;
	claim->status = 0;
	kernel_emit(self->kernel, decided);
	finish_claim(self, claim);
}

static void allow_run(struct at_most_once *self, struct claim *claim)
{
	struct event decided =
		decided_event(claim->request_id, claim->key, claim->service);

	if (g_hash_table_contains(self->running, claim->key)) {
		/* It has no claim in the log, so ours must not free the key. */
		refuse_claimed(self, claim->key, &decided);
		refuse_waiting(self, claim, &decided, VERDICT_MAY_HAVE_RUN);
		return;
	}
	claim->request_state = REQUEST_RUNNING;
	g_hash_table_insert(self->running, claim->key, claim);
	count(self, claim->state == CLAIM_OURS
			    ? "claims_total{outcome=\"won\"}"
			    : "claims_total{outcome=\"unprotected\"}");
	decided.claim.may_run = true;
	kernel_emit(self->kernel, &decided);
}

/* The log can't take the claim now: the service's when_log_down decides. */
static void decide_without_log(struct at_most_once *self, struct claim *claim)
{
	const struct decl_service *service =
		fleet_service(kernel_fleet(self->kernel), claim->service);
	struct event decided =
		decided_event(claim->request_id, claim->key, claim->service);

	if (claim->request_state != REQUEST_WAITING) {
		finish_claim(self, claim);
		return;
	}
	if (service && service->when_log_down == LOG_DOWN_RUN) {
		allow_run(self, claim);
		return;
	}
	count(self, "claims_total{outcome=\"no-log\"}");
	set_refusal(&decided, HTTP_UNAVAILABLE, VERDICT_NOT_RUN,
		    "the log can't be reached to claim the key");
	refuse_waiting(self, claim, &decided, VERDICT_NOT_RUN);
}

static struct claim *add_claim(struct at_most_once *self,
			       const struct event_claim *wanted)
{
	struct claim *claim = g_new0(struct claim, 1);

	claim->request_id = wanted->request_id;
	name_copy(claim->key, sizeof(claim->key), wanted->key);
	name_copy(claim->service, sizeof(claim->service), wanted->service);
	g_hash_table_insert(self->claims, &claim->request_id, claim);
	return claim;
}

static void on_claim_wanted(struct at_most_once *self,
			    const struct event_claim *wanted)
{
	struct event decided =
		decided_event(wanted->request_id, wanted->key, wanted->service);
	struct claim *claim;

	if (find_claim(self, wanted->request_id))
		return;
	if (refuse_invalid_key(self, wanted->key, &decided)) {
		count(self, "claims_total{outcome=\"bad-key\"}");
	} else if (refuse_claimed(self, wanted->key, &decided)) {
		count(self, "claims_total{outcome=\"lost\"}");
	} else if (g_hash_table_size(self->claims) >= CLAIMS_MAX_COUNT) {
		count(self, "claims_total{outcome=\"full\"}");
		set_refusal(&decided, HTTP_UNAVAILABLE, VERDICT_NOT_RUN,
			    "too many claims wait for the log");
	}
	if (decided.claim.status) {
		kernel_emit(self->kernel, &decided);
		return;
	}
	claim = add_claim(self, wanted);
	if (!self->log_reachable) {
		decide_without_log(self, claim);
		return;
	}
	claim->record = propose_record(self, claim, RECORD_CLAIM);
	claim->state = CLAIM_SENT;
}

/* Our claim was read back, and it is not the first of its key. */
static void on_claim_lost(struct at_most_once *self, struct claim *claim,
			  const char *reason)
{
	struct event decided =
		decided_event(claim->request_id, claim->key, claim->service);

	claim->state = CLAIM_NONE;
	if (claim->request_state != REQUEST_WAITING) {
		finish_claim(self, claim);
		return;
	}
	count(self, "claims_total{outcome=\"lost\"}");
	if (!refuse_claimed(self, claim->key, &decided) &&
	    !refuse_invalid_key(self, claim->key, &decided))
		set_refusal(&decided, HTTP_UNAVAILABLE, VERDICT_NOT_RUN,
			    reason);
	refuse_waiting(self, claim, &decided, VERDICT_NOT_RUN);
}

static void on_claim_won(struct at_most_once *self, struct claim *claim)
{
	claim->state = CLAIM_OURS;
	if (claim->request_state == REQUEST_WAITING)
		allow_run(self, claim);
	else
		finish_claim(self, claim);
}

/* The request that a record proposed by us belongs to, or NULL. */
static struct claim *find_claim_by_record(struct at_most_once *self,
					  const struct record *record)
{
	struct claim *claim;
	const struct record *ours;

	if (record->kind != RECORD_CLAIM && record->kind != RECORD_CLAIM_RESULT)
		return NULL;
	claim = find_claim(self, record->claim.request_id);
	if (!claim)
		return NULL;
	ours = record->kind == RECORD_CLAIM ? claim->record : claim->result;
	/* A record that was dropped before it was sent may have no id. */
	if (ours && (ours == record || record_id_equal(&ours->id, &record->id)))
		return claim;
	return NULL;
}

static void on_fleet_changed(struct at_most_once *self,
			     const struct event_record *changed)
{
	struct claim *claim = find_claim_by_record(self, changed->record);

	if (!claim)
		return;
	if (changed->record->kind == RECORD_CLAIM_RESULT)
		g_hash_table_remove(self->claims, &claim->request_id);
	else if (claim->state != CLAIM_SENT)
		return; /* a duplicate: the record is in the log twice */
	else if (changed->accepted)
		on_claim_won(self, claim);
	else
		on_claim_lost(self, claim, changed->reason);
}

static void on_proposal_dropped(struct at_most_once *self,
				const struct record *record)
{
	struct claim *claim = find_claim_by_record(self, record);

	if (!claim)
		return;
	if (record->kind == RECORD_CLAIM_RESULT) {
		g_clear_pointer(&claim->result, record_unref);
		self->retry_at_us =
			kernel_now_us(self->kernel) + RESULT_RETRY_US;
		kernel_wake_at(self->kernel, self->retry_at_us);
		return;
	}
	if (claim->state != CLAIM_SENT)
		return;
	claim->state = CLAIM_NONE;
	decide_without_log(self, claim);
}

/* Calls a function for each request; the function may remove it. */
static void for_each_claim(struct at_most_once *self,
			   void (*call)(struct at_most_once *, struct claim *))
{
	GList *all = g_hash_table_get_values(self->claims);

	for (GList *at = all; at; at = at->next)
		call(self, at->data);
	g_list_free(all);
}

static void on_log_state(struct at_most_once *self, bool reachable)
{
	bool lost = self->log_reachable && !reachable;

	self->log_reachable = reachable;
	if (lost)
		for_each_claim(self, decide_without_log);
}

/* The snapshot may cover our claim or result, which is then never read back. */
static void recheck_claim(struct at_most_once *self, struct claim *claim)
{
	const struct fleet *fleet = kernel_fleet(self->kernel);
	const struct settings *settings = kernel_settings(self->kernel);
	const struct fleet_claim *applied = fleet_claim(fleet, claim->key);
	const struct fleet_entry *entry = fleet_entry(fleet, settings->entry);
	uint64_t incarnation = kernel_incarnation(self->kernel);
	bool ours = applied && applied->request_id == claim->request_id &&
		    applied->incarnation == incarnation &&
		    !strcmp(applied->entry, settings->entry);

	if (claim->state == CLAIM_SENT && ours) {
		on_claim_won(self, claim);
	} else if (claim->state == CLAIM_SENT && entry &&
		   entry->decl.incarnation == incarnation &&
		   claim->record->id.sequence &&
		   entry->last_sequence >= claim->record->id.sequence) {
		on_claim_lost(self, claim, "the claim was ignored");
	} else if (claim->result &&
		   (!ours || applied->verdict != VERDICT_NONE)) {
		g_hash_table_remove(self->claims, &claim->request_id);
	}
}

static void on_request_reply(struct at_most_once *self,
			     const struct event_request *reply)
{
	struct claim *claim = find_claim(self, reply->request_id);

	if (!claim || claim->request_state == REQUEST_ENDED)
		return;
	claim->request_state = REQUEST_ENDED;
	claim->verdict = reply->verdict ? reply->verdict : VERDICT_MAY_HAVE_RUN;
	claim->status = reply->status;
	unmark_running(self, claim);
	finish_claim(self, claim);
}

static void on_wake(struct at_most_once *self)
{
	if (self->retry_at_us > kernel_now_us(self->kernel)) {
		if (self->retry_at_us != DEADLINE_NEVER_US)
			kernel_wake_at(self->kernel, self->retry_at_us);
		return;
	}
	self->retry_at_us = DEADLINE_NEVER_US;
	for_each_claim(self, finish_claim);
}

static void at_most_once_handle(void *state, const struct event *event)
{
	struct at_most_once *self = state;

	switch (event->type) {
	case EVENT_CLAIM_WANTED:
		on_claim_wanted(self, &event->claim);
		break;
	case EVENT_FLEET_CHANGED:
		on_fleet_changed(self, &event->record);
		break;
	case EVENT_FLEET_RESET:
		for_each_claim(self, recheck_claim);
		break;
	case EVENT_PROPOSAL_DROPPED:
		on_proposal_dropped(self, event->record.record);
		break;
	case EVENT_LOG_STATE:
		on_log_state(self, event->log.reachable);
		break;
	case EVENT_REQUEST_REPLY:
		on_request_reply(self, &event->request);
		break;
	case EVENT_WAKE:
		on_wake(self);
		break;
	default:
		break;
	}
}

static const struct plugin at_most_once_plugin = {
	.name = "once",
	.kind = PLUGIN_DECIDE,
	.subscriptions =
		EVENT_BIT(EVENT_CLAIM_WANTED) | EVENT_BIT(EVENT_FLEET_CHANGED) |
		EVENT_BIT(EVENT_FLEET_RESET) |
		EVENT_BIT(EVENT_PROPOSAL_DROPPED) | EVENT_BIT(EVENT_LOG_STATE) |
		EVENT_BIT(EVENT_REQUEST_REPLY) | EVENT_BIT(EVENT_WAKE),
	.init = at_most_once_init,
	.handle = at_most_once_handle,
	.fini = at_most_once_fini,
};

PLUGIN_REGISTER(at_most_once_plugin)
