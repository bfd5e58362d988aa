/*
 * Loans of slots between entry instances. A lender counts slots as lent before
 * it offers them. It counts them as its own again only when the borrower has
 * returned them, or when the borrower has ended and its requests can no longer
 * run; no loan expires. Grants and returns are resent until they are acked.
 */

#include <string.h>

#include "decide/peer_out.h"
#include "decide/slots.h"

/* A borrowed slot that has been idle for this time is returned. */
#define IDLE_RETURN_US (200 * USEC_PER_MSEC)
#define ASK_BACKOFF_MIN_US (50 * USEC_PER_MSEC)
#define ASK_BACKOFF_MAX_US (800 * USEC_PER_MSEC)
#define ASK_SLOTS_MAX 64

static void send_loan_msg(struct slots *slots, enum peer_msg_kind kind,
			  const char *endpoint, const struct loan *loan,
			  uint32_t slots_count)
{
	struct peer_msg *msg = peer_out_new(slots->kernel, kind);

	name_copy(msg->endpoint, sizeof(msg->endpoint), endpoint);
	msg->loan_id = loan->loan_id;
	msg->slots_count = slots_count;
	/* The message is meant for this incarnation of the receiver only. */
	msg->join_offset = loan->join_offset;
	peer_out_send(slots->kernel, loan->peer, msg);
}

static struct loan *find_loan(const GPtrArray *loans, const char *peer,
			      uint64_t loan_id, guint *index)
{
	for (guint i = 0; i < loans->len; i++) {
		struct loan *loan = loans->pdata[i];

		if (loan->loan_id != loan_id || strcmp(loan->peer, peer) != 0)
			continue;
		if (index)
			*index = i;
		return loan;
	}
	return NULL;
}

static struct loan *loan_new(const struct local_peer *peer, uint64_t loan_id,
			     uint32_t slots_count)
{
	struct loan *loan = g_new0(struct loan, 1);

	name_copy(loan->peer, sizeof(loan->peer), peer->name);
	loan->incarnation = peer->incarnation;
	loan->join_offset = peer->join_offset;
	loan->loan_id = loan_id;
	loan->slots_count = slots_count;
	loan->return_at_us = DEADLINE_NEVER_US;
	return loan;
}

/* Slots of our share that are neither used nor lent. */
static uint32_t idle_own_count(const struct slots *slots,
			       const struct slot_endpoint *endpoint)
{
	uint32_t used_count =
		slots_in_flight(slots, endpoint) + loans_total(endpoint->lent);

	return endpoint->share_count > used_count
		       ? endpoint->share_count - used_count
		       : 0;
}

static void lend(struct slots *slots, struct slot_endpoint *endpoint,
		 const struct local_peer *peer, uint32_t slots_count)
{
	struct loan *loan = loan_new(peer, ++slots->last_loan_id, slots_count);

	g_ptr_array_add(endpoint->lent, loan);
	slots_update_allowed(slots, endpoint);
	counter_add(kernel_counters(slots->kernel), "slots_lent_total",
		    slots_count);
	slots_trace(slots, endpoint->name, "lends %u slots to %s", slots_count,
		    peer->name);
	send_loan_msg(slots, PEER_MSG_LOAN_GRANT, endpoint->name, loan,
		      slots_count);
	slots_schedule_resend(slots);
}

/* A lender asks when its own requests wait, so it gets its slots back first. */
static void return_loans_of(struct slots *slots, struct slot_endpoint *endpoint,
			    const struct local_peer *lender)
{
	for (guint i = 0; i < endpoint->borrowed->len; i++) {
		struct loan *loan = endpoint->borrowed->pdata[i];

		if (!strcmp(loan->peer, lender->name))
			loan->returning = true;
	}
	loans_update(slots, endpoint);
}

static bool is_lendable(const struct slots *slots,
			const struct fleet_instance *instance,
			const struct slot_endpoint *endpoint)
{
	const struct endpoint_state *state = endpoint_table_find(
		kernel_endpoints(slots->kernel), endpoint->name);

	return instance->phase == INSTANCE_ACTIVE && !instance->down &&
	       !endpoint->borrowed->len && state && !state->leaving &&
	       !state->ejected;
}

static bool pool_has_queue(const struct slots *slots, const char *pool)
{
	return endpoint_table_pool(kernel_endpoints(slots->kernel), pool)
		       ->queued_count > 0;
}

/* Lends at most half of our idle slots of each endpoint of the pool. */
static void handle_ask(struct slots *slots, const struct local_peer *peer,
		       const struct peer_msg *msg)
{
	const struct fleet *fleet = kernel_fleet(slots->kernel);
	const struct fleet_instance *asked =
		fleet_instance(fleet, msg->endpoint);
	const struct fleet_pool *pool =
		asked ? fleet_pool(fleet, asked->pool) : NULL;
	uint32_t remaining_count = MIN(msg->slots_count, ASK_SLOTS_MAX);
	bool can_lend = slots->joined && slots->confirmed &&
			!slots->resyncing && !slots->draining;

	for (guint i = 0; pool && i < pool->instances->len; i++) {
		const struct fleet_instance *instance =
			pool->instances->pdata[i];
		struct slot_endpoint *endpoint =
			slots_find_endpoint(slots, instance->decl.name);
		uint32_t count;

		if (!endpoint)
			continue;
		return_loans_of(slots, endpoint, peer);
		if (!can_lend || pool_has_queue(slots, pool->decl.name) ||
		    !is_lendable(slots, instance, endpoint))
			continue;
		count = MIN(idle_own_count(slots, endpoint) / 2,
			    remaining_count);
		if (count)
			lend(slots, endpoint, peer, count);
		remaining_count -= count;
	}
}

static void reset_ask_backoff(struct slots *slots, const char *endpoint)
{
	const struct fleet_instance *instance =
		fleet_instance(kernel_fleet(slots->kernel), endpoint);
	struct pool_demand *demand =
		instance ? g_hash_table_lookup(slots->demands, instance->pool)
			 : NULL;

	if (demand)
		demand->backoff_us = ASK_BACKOFF_MIN_US;
}

/* Answers a grant that came again; its slots may have been returned since. */
static void answer_repeated_grant(struct slots *slots, struct local_peer *peer,
				  struct slot_endpoint *endpoint,
				  const struct peer_msg *msg)
{
	struct loan again = { .loan_id = msg->loan_id,
			      .join_offset = peer->join_offset };
	bool held = find_loan(endpoint->borrowed, peer->name, msg->loan_id,
			      NULL) != NULL;

	name_copy(again.peer, sizeof(again.peer), peer->name);
	if (held)
		send_loan_msg(slots, PEER_MSG_LOAN_ACK, endpoint->name, &again,
			      msg->slots_count);
	else
		send_loan_msg(slots, PEER_MSG_LOAN_RETURN, endpoint->name,
			      &again, msg->slots_count);
}

static void handle_grant(struct slots *slots, struct local_peer *peer,
			 const struct peer_msg *msg)
{
	struct slot_endpoint *endpoint =
		slots_find_endpoint(slots, msg->endpoint);
	struct loan *loan;

	if (!endpoint || !slots->joined || !msg->slots_count)
		return;
	if (msg->loan_id <= peer->last_loan_id) {
		answer_repeated_grant(slots, peer, endpoint, msg);
		return;
	}
	peer->last_loan_id = msg->loan_id;
	loan = loan_new(peer, msg->loan_id, msg->slots_count);
	loan->returning = slots->draining;
	g_ptr_array_add(endpoint->borrowed, loan);
	counter_add(kernel_counters(slots->kernel), "slots_borrowed_total",
		    msg->slots_count);
	send_loan_msg(slots, PEER_MSG_LOAN_ACK, endpoint->name, loan,
		      msg->slots_count);
	reset_ask_backoff(slots, endpoint->name);
	loans_update(slots, endpoint);
}

static void handle_return(struct slots *slots, const struct local_peer *peer,
			  const struct peer_msg *msg)
{
	struct slot_endpoint *endpoint =
		slots_find_endpoint(slots, msg->endpoint);
	struct loan ack = { .loan_id = msg->loan_id,
			    .join_offset = peer->join_offset };
	struct loan *loan;
	guint index;

	if (!endpoint)
		return;
	loan = find_loan(endpoint->lent, peer->name, msg->loan_id, &index);
	if (loan && loan->incarnation == peer->incarnation) {
		g_ptr_array_remove_index(endpoint->lent, index);
		slots_update_allowed(slots, endpoint);
	}
	name_copy(ack.peer, sizeof(ack.peer), peer->name);
	send_loan_msg(slots, PEER_MSG_LOAN_ACK, endpoint->name, &ack, 0);
}

/* slots_count is 0 in the ack of a return, and not 0 in that of a grant. */
static void handle_loan_ack(struct slots *slots, const struct local_peer *peer,
			    const struct peer_msg *msg)
{
	struct slot_endpoint *endpoint =
		slots_find_endpoint(slots, msg->endpoint);
	struct loan *loan;
	guint index;

	if (!endpoint)
		return;
	if (msg->slots_count) {
		loan = find_loan(endpoint->lent, peer->name, msg->loan_id,
				 NULL);
		if (loan)
			loan->acked = true;
		return;
	}
	loan = find_loan(endpoint->returned, peer->name, msg->loan_id, &index);
	if (loan)
		g_ptr_array_remove_index(endpoint->returned, index);
}

void loans_handle_msg(struct slots *slots, const struct peer_msg *msg)
{
	struct local_peer *peer = slots_find_peer(slots, msg->from);

	if (!peer || peer->incarnation != msg->incarnation)
		return;
	if (msg->kind == PEER_MSG_LOAN_ASK) {
		handle_ask(slots, peer, msg);
		return;
	}
	/* The message was sent to an earlier incarnation of ours. */
	if (!slots->joined || msg->join_offset != slots->join_offset)
		return;
	if (msg->kind == PEER_MSG_LOAN_GRANT)
		handle_grant(slots, peer, msg);
	else if (msg->kind == PEER_MSG_LOAN_RETURN)
		handle_return(slots, peer, msg);
	else if (msg->kind == PEER_MSG_LOAN_ACK)
		handle_loan_ack(slots, peer, msg);
}

/*
 * Loans count as used in their order: one is idle while our own slots and those
 * of the loans before it cover what is in use.
 */
static void update_return_times(struct slots *slots,
				struct slot_endpoint *endpoint)
{
	uint32_t used_count =
		slots_in_flight(slots, endpoint) + loans_total(endpoint->lent);
	uint32_t covered_count = endpoint->share_count;

	for (guint i = 0; i < endpoint->borrowed->len; i++) {
		struct loan *loan = endpoint->borrowed->pdata[i];

		if (used_count > covered_count)
			loan->return_at_us = DEADLINE_NEVER_US;
		else if (loan->return_at_us == DEADLINE_NEVER_US)
			loan->return_at_us =
				kernel_now_us(slots->kernel) + IDLE_RETURN_US;
		covered_count += loan->slots_count;
	}
}

static bool has_peer_ended(const struct slots *slots, const struct loan *loan)
{
	const struct local_peer *peer = slots_find_peer(slots, loan->peer);

	return !peer || peer->incarnation != loan->incarnation;
}

static void remove_ended(const struct slots *slots, GPtrArray *loans)
{
	for (guint i = loans->len; i > 0; i--) {
		if (has_peer_ended(slots, loans->pdata[i - 1]))
			g_ptr_array_remove_index(loans, i - 1);
	}
}

void loans_release_ended(struct slots *slots)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, slots->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct slot_endpoint *endpoint = value;

		remove_ended(slots, endpoint->lent);
	}
}

/* Whether what is in use fits the slots that are left without the loan. */
static bool can_return(const struct slots *slots,
		       const struct slot_endpoint *endpoint,
		       const struct loan *loan)
{
	uint32_t used_count =
		slots_in_flight(slots, endpoint) + loans_total(endpoint->lent);
	uint32_t owned_count =
		endpoint->share_count + loans_total(endpoint->borrowed);

	return used_count + loan->slots_count <= owned_count;
}

static void return_loan(struct slots *slots, struct slot_endpoint *endpoint,
			guint index)
{
	struct loan *loan = g_ptr_array_steal_index(endpoint->borrowed, index);

	slots_update_allowed(slots, endpoint);
	slots_trace(slots, endpoint->name, "returns %u slots to %s",
		    loan->slots_count, loan->peer);
	send_loan_msg(slots, PEER_MSG_LOAN_RETURN, endpoint->name, loan,
		      loan->slots_count);
	g_ptr_array_add(endpoint->returned, loan);
	slots_schedule_resend(slots);
}

static void return_idle(struct slots *slots, struct slot_endpoint *endpoint)
{
	int64_t now_us = kernel_now_us(slots->kernel);

	for (guint i = endpoint->borrowed->len; i > 0; i--) {
		struct loan *loan = endpoint->borrowed->pdata[i - 1];

		if (loan->return_at_us <= now_us || slots->draining)
			loan->returning = true;
		if (loan->returning && can_return(slots, endpoint, loan))
			return_loan(slots, endpoint, i - 1);
		else if (!loan->returning)
			slots->return_us =
				MIN(slots->return_us, loan->return_at_us);
	}
	slots_update_allowed(slots, endpoint);
}

void loans_update(struct slots *slots, struct slot_endpoint *endpoint)
{
	if (!endpoint->borrowed->len)
		return;
	update_return_times(slots, endpoint);
	return_idle(slots, endpoint);
}

/* Calls in order of name, so that messages are in the same order each run. */
static void for_each_by_name(struct slots *slots,
			     void (*call)(struct slots *,
					  struct slot_endpoint *))
{
	GList *names = g_hash_table_get_keys(slots->endpoints);

	names = g_list_sort(names, (GCompareFunc)strcmp);
	for (const GList *at = names; at; at = at->next)
		call(slots, slots_find_endpoint(slots, at->data));
	g_list_free(names);
}

static void on_roster_changed(struct slots *slots,
			      struct slot_endpoint *endpoint)
{
	remove_ended(slots, endpoint->borrowed);
	remove_ended(slots, endpoint->returned);
	/* Shares are about to change, so the other loans are returned too. */
	for (guint i = 0; i < endpoint->borrowed->len; i++) {
		struct loan *loan = endpoint->borrowed->pdata[i];

		loan->returning = true;
	}
	slots_update_allowed(slots, endpoint);
}

void loans_roster_changed(struct slots *slots)
{
	for_each_by_name(slots, on_roster_changed);
	loans_update_all(slots);
}

void loans_update_all(struct slots *slots)
{
	slots->return_us = DEADLINE_NEVER_US;
	for_each_by_name(slots, loans_update);
}

/*
 * Whether we have a free slot at some endpoint of a pool. If not, sets endpoint
 * to one that takes work but has no free slot, if there is any.
 */
static bool has_free_slot(const struct slots *slots,
			  const struct fleet_pool *pool, const char **endpoint)
{
	for (guint i = 0; i < pool->instances->len; i++) {
		const struct fleet_instance *instance =
			pool->instances->pdata[i];
		const struct endpoint_state *state = endpoint_table_find(
			kernel_endpoints(slots->kernel), instance->decl.name);

		if (instance->phase != INSTANCE_ACTIVE || instance->down ||
		    !g_hash_table_contains(slots->endpoints,
					   instance->decl.name) ||
		    !state || state->leaving || state->ejected)
			continue;
		if (state->allowed_count > state->in_flight_count)
			return true;
		*endpoint = instance->decl.name;
	}
	return false;
}

static struct pool_demand *get_demand(struct slots *slots, const char *pool)
{
	struct pool_demand *demand = g_hash_table_lookup(slots->demands, pool);

	if (demand)
		return demand;
	demand = g_new0(struct pool_demand, 1);
	demand->backoff_us = ASK_BACKOFF_MIN_US;
	g_hash_table_insert(slots->demands, g_strdup(pool), demand);
	return demand;
}

static void ask_peers(struct slots *slots, const char *endpoint,
		      uint32_t wanted_count)
{
	uint32_t per_peer_count =
		(wanted_count + slots->peers->len - 1) / slots->peers->len;

	for (guint i = 0; i < slots->peers->len; i++) {
		const struct local_peer *peer = slots->peers->pdata[i];
		struct loan ask = { .join_offset = peer->join_offset };

		name_copy(ask.peer, sizeof(ask.peer), peer->name);
		send_loan_msg(slots, PEER_MSG_LOAN_ASK, endpoint, &ask,
			      MIN(per_peer_count, ASK_SLOTS_MAX));
	}
	counter_add(kernel_counters(slots->kernel), "slots_asked_total", 1);
}

/* Asks for slots if the pool needs some; returns the time of its next check. */
static int64_t check_pool(struct slots *slots, const struct fleet_pool *pool)
{
	uint32_t queued_count =
		endpoint_table_pool(kernel_endpoints(slots->kernel),
				    pool->decl.name)
			->queued_count;
	int64_t now_us = kernel_now_us(slots->kernel);
	struct pool_demand *demand;
	const char *endpoint = NULL;

	if (!queued_count || has_free_slot(slots, pool, &endpoint) || !endpoint)
		return DEADLINE_NEVER_US;
	demand = get_demand(slots, pool->decl.name);
	if (now_us >= demand->next_ask_us) {
		ask_peers(slots, endpoint, queued_count);
		demand->next_ask_us = now_us + demand->backoff_us;
		demand->backoff_us =
			MIN(demand->backoff_us * 2, ASK_BACKOFF_MAX_US);
	}
	return demand->next_ask_us;
}

void loans_check_demand(struct slots *slots)
{
	const GPtrArray *pools = fleet_pools(kernel_fleet(slots->kernel));

	slots->demand_check_us = DEADLINE_NEVER_US;
	if (!slots->joined || !slots->peers->len || slots->draining ||
	    slots->resyncing)
		return;
	for (guint i = 0; i < pools->len; i++)
		slots->demand_check_us =
			MIN(slots->demand_check_us,
			    check_pool(slots, pools->pdata[i]));
}

static void resend_endpoint(struct slots *slots, struct slot_endpoint *endpoint)
{
	for (guint i = 0; i < endpoint->lent->len; i++) {
		const struct loan *loan = endpoint->lent->pdata[i];

		if (loan->acked || has_peer_ended(slots, loan))
			continue;
		send_loan_msg(slots, PEER_MSG_LOAN_GRANT, endpoint->name, loan,
			      loan->slots_count);
		slots_schedule_resend(slots);
	}
	for (guint i = 0; i < endpoint->returned->len; i++) {
		const struct loan *loan = endpoint->returned->pdata[i];

		send_loan_msg(slots, PEER_MSG_LOAN_RETURN, endpoint->name, loan,
			      loan->slots_count);
		slots_schedule_resend(slots);
	}
}

void loans_resend(struct slots *slots)
{
	for_each_by_name(slots, resend_endpoint);
}
