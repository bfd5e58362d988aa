/*
 * Bounded queues by urgency and member. Members share a pool by start-time
 * fair queueing: a member's tag grows by the service time that it has used,
 * divided by its weight. More urgent work goes first, unless its member has a
 * backlog and is too far ahead of its fair share.
 */

#include <string.h>

#include "kernel/plugin.h"
#include "policy/admission.h"

/* A waiting urgency that was passed over this often gets the next dispatch. */
#define MAX_BYPASS_COUNT 15

/*
 * Service time by which a member may be ahead of the one that has used the
 * least and still have its more urgent work preferred.
 */
#define MAX_LEAD_US (100 * USEC_PER_MSEC)

/* A queue up to this length is not a backlog, whatever its member has used. */
#define SHORT_QUEUE_COUNT 8

#define TAG_SCALE 1000 /* the highest weight, so that no cost rounds to 0 */

/* The queues of one member. */
struct flow {
	char *member;
	uint32_t weight;
	int64_t tag; /* service time used, divided by the weight */
	GQueue items[URGENCY_COUNT];
	int64_t queued_work_us[URGENCY_COUNT];
	GSequenceIter *iter[URGENCY_COUNT]; /* in order; NULL if no items */
	uint32_t queued_count;
	uint32_t held_count;
};

struct fair {
	GHashTable *flows;		 /* member -> struct flow */
	GSequence *order[URGENCY_COUNT]; /* of struct flow, by tag */
	int64_t queued_work_us[URGENCY_COUNT];
	uint32_t bypass_count[URGENCY_COUNT];
	int64_t virtual_time; /* lower bound of the tag after an idle time */
	uint32_t queued_count;
	uint64_t active_weight; /* of the members with queued items */
};

static void flow_free(gpointer data)
{
	struct flow *flow = data;

	g_free(flow->member);
	g_free(flow);
}

static void *fair_new(void)
{
	struct fair *fair = g_new0(struct fair, 1);

	fair->flows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, flow_free);
	for (uint32_t i = 0; i < URGENCY_COUNT; i++)
		fair->order[i] = g_sequence_new(NULL);
	return fair;
}

static void fair_free(void *queue)
{
	struct fair *fair = queue;

	for (uint32_t i = 0; i < URGENCY_COUNT; i++)
		g_sequence_free(fair->order[i]);
	g_hash_table_unref(fair->flows);
	g_free(fair);
}

static struct flow *flow_get(struct fair *fair,
			     const struct admission_item *item)
{
	struct flow *flow = g_hash_table_lookup(fair->flows, item->member);

	if (!flow) {
		flow = g_new0(struct flow, 1);
		flow->member = g_strdup(item->member);
		g_hash_table_insert(fair->flows, flow->member, flow);
	}
	/*
	 * active_weight contains the weight of a member with queued items, so a
	 * new weight takes effect only while it has none.
	 */
	if (!flow->queued_count)
		flow->weight = MAX(item->weight, 1);
	return flow;
}

static gint compare_flows(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct flow *left = a;
	const struct flow *right = b;

	(void)data;
	if (left->tag != right->tag)
		return left->tag < right->tag ? -1 : 1;
	return strcmp(left->member, right->member);
}

static struct flow *first_flow(const struct fair *fair, uint32_t urgency)
{
	GSequenceIter *first = g_sequence_get_begin_iter(fair->order[urgency]);

	return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

static int64_t min_tag(const struct fair *fair)
{
	int64_t lowest_tag = INT64_MAX;

	for (uint32_t i = 0; i < URGENCY_COUNT; i++) {
		const struct flow *flow = first_flow(fair, i);

		if (flow)
			lowest_tag = MIN(lowest_tag, flow->tag);
	}
	return lowest_tag;
}

static int64_t tag_cost(const struct flow *flow, int64_t cost_us)
{
	return cost_us * TAG_SCALE / flow->weight;
}

static void set_tag(struct flow *flow, int64_t tag)
{
	flow->tag = tag;
	for (uint32_t i = 0; i < URGENCY_COUNT; i++) {
		if (flow->iter[i])
			g_sequence_sort_changed(flow->iter[i], compare_flows,
						NULL);
	}
}

static void insert(struct fair *fair, struct admission_item *item, bool front)
{
	struct flow *flow = item->flow;
	uint32_t urgency = item->urgency;

	if (!flow->queued_count) {
		flow->tag = MAX(flow->tag, fair->virtual_time);
		fair->active_weight += flow->weight;
	}
	item->link.data = item;
	if (front)
		g_queue_push_head_link(&flow->items[urgency], &item->link);
	else
		g_queue_push_tail_link(&flow->items[urgency], &item->link);
	if (!flow->iter[urgency])
		flow->iter[urgency] = g_sequence_insert_sorted(
			fair->order[urgency], flow, compare_flows, NULL);
	flow->queued_work_us[urgency] += item->cost_us;
	fair->queued_work_us[urgency] += item->cost_us;
	flow->queued_count++;
	fair->queued_count++;
	item->queued = true;
}

static void unlink_item(struct fair *fair, struct admission_item *item)
{
	struct flow *flow = item->flow;
	uint32_t urgency = item->urgency;

	g_queue_unlink(&flow->items[urgency], &item->link);
	flow->queued_work_us[urgency] -= item->cost_us;
	fair->queued_work_us[urgency] -= item->cost_us;
	flow->queued_count--;
	fair->queued_count--;
	item->queued = false;
	if (!flow->items[urgency].length) {
		g_sequence_remove(flow->iter[urgency]);
		flow->iter[urgency] = NULL;
		fair->bypass_count[urgency] = 0;
	}
	if (!flow->queued_count)
		fair->active_weight -= flow->weight;
}

/*
 * Expected wait of a new item. The work ahead of it is that of its member at
 * the member's share of the slots, or all work of at least its urgency if that
 * is less.
 */
static int64_t expected_wait_us(const struct fair *fair,
				const struct flow *flow,
				const struct admission_item *item,
				const struct admission_load *load)
{
	uint64_t active_weight = fair->active_weight;
	int64_t member_work_us = 0;
	int64_t total_work_us = 0;

	if (load->free_count || !load->slot_count)
		return 0;
	if (!flow->queued_count)
		active_weight += flow->weight;
	for (uint32_t i = 0; i <= item->urgency; i++) {
		member_work_us += flow->queued_work_us[i];
		total_work_us += fair->queued_work_us[i];
	}
	member_work_us = member_work_us * (int64_t)active_weight / flow->weight;
	/* Attempts in flight end in turn: one per cost_us / slot_count. */
	return (MIN(member_work_us, total_work_us) + item->cost_us) /
	       load->slot_count;
}

/* The newest of the member's least urgent items below an urgency, or NULL. */
static struct admission_item *eviction_candidate(const struct flow *flow,
						 uint32_t urgency)
{
	for (uint32_t i = URGENCY_COUNT - 1; i > urgency; i--) {
		if (flow->items[i].length)
			return flow->items[i].tail->data;
	}
	return NULL;
}

static enum admission_result fair_enqueue(void *queue,
					  struct admission_item *item,
					  const struct admission_load *load,
					  struct admission_item **dropped)
{
	struct fair *fair = queue;
	struct flow *flow = flow_get(fair, item);
	int64_t wait_us;

	*dropped = NULL;
	item->flow = flow;
	wait_us = expected_wait_us(fair, flow, item, load);
	if (wait_us &&
	    load->now_us + wait_us + item->cost_us > item->deadline_us)
		return ADMISSION_TOO_LATE;
	if (flow->queued_count + flow->held_count >=
	    ADMISSION_MEMBER_MAX_COUNT) {
		*dropped = eviction_candidate(flow, item->urgency);
		if (!*dropped)
			return ADMISSION_FULL;
		unlink_item(fair, *dropped);
	}
	insert(fair, item, false);
	return ADMISSION_QUEUED;
}

/* Whether a member's work of an urgency may precede less urgent work. */
static bool within_share(const struct flow *flow, uint32_t urgency,
			 int64_t lowest_tag)
{
	return flow->items[urgency].length <= SHORT_QUEUE_COUNT ||
	       flow->tag <= lowest_tag + tag_cost(flow, MAX_LEAD_US);
}

static struct admission_item *eligible_head(const struct flow *flow,
					    uint32_t urgency,
					    admission_filter *accept,
					    void *data)
{
	struct admission_item *item = flow->items[urgency].head->data;

	return !accept || accept(item, data) ? item : NULL;
}

/*
 * Prefers an urgency that was passed over too often, then the most urgent work
 * within its share, then the lowest tag.
 */
static struct admission_item *fair_peek(void *queue, admission_filter *accept,
					void *data)
{
	struct fair *fair = queue;
	struct admission_item *fallback = NULL;
	int64_t fallback_tag = INT64_MAX;
	int64_t lowest_tag = min_tag(fair);

	for (uint32_t i = URGENCY_COUNT; i > 1; i--) {
		struct flow *flow = first_flow(fair, i - 1);
		struct admission_item *item;

		if (!flow || fair->bypass_count[i - 1] < MAX_BYPASS_COUNT)
			continue;
		item = eligible_head(flow, i - 1, accept, data);
		if (item)
			return item;
	}
	for (uint32_t i = 0; i < URGENCY_COUNT; i++) {
		struct flow *flow = first_flow(fair, i);
		struct admission_item *item =
			flow ? eligible_head(flow, i, accept, data) : NULL;

		if (!item)
			continue;
		if (within_share(flow, i, lowest_tag))
			return item;
		if (flow->tag < fallback_tag) {
			fallback = item;
			fallback_tag = flow->tag;
		}
	}
	return fallback;
}

static void fair_take(void *queue, struct admission_item *item)
{
	struct fair *fair = queue;
	struct flow *flow = item->flow;
	int64_t lowest_tag = min_tag(fair);
	int64_t cost = tag_cost(flow, item->cost_us);

	fair->virtual_time = MAX(fair->virtual_time, lowest_tag);
	for (uint32_t i = item->urgency + 1; i < URGENCY_COUNT; i++) {
		if (first_flow(fair, i))
			fair->bypass_count[i]++;
	}
	fair->bypass_count[item->urgency] = 0;
	unlink_item(fair, item);
	/*
	 * Caps the lead over the other members, so that service time used long
	 * ago does not starve the member now.
	 */
	set_tag(flow, MIN(flow->tag, lowest_tag + tag_cost(flow, MAX_LEAD_US)) +
			      cost);
}

static void fair_hold(void *queue, struct admission_item *item)
{
	struct flow *flow = item->flow;

	unlink_item(queue, item);
	item->held = true;
	flow->held_count++;
}

static void end_hold(struct admission_item *item)
{
	struct flow *flow = item->flow;

	if (item->held)
		flow->held_count--;
	item->held = false;
}

static void fair_requeue(void *queue, struct admission_item *item)
{
	struct flow *flow = item->flow;

	/* An item that was taken but did not run is not charged. */
	if (!item->held)
		set_tag(flow, flow->tag - tag_cost(flow, item->cost_us));
	end_hold(item);
	insert(queue, item, true);
}

static void fair_remove(void *queue, struct admission_item *item)
{
	if (item->queued)
		unlink_item(queue, item);
	end_hold(item);
}

static uint32_t fair_count(const void *queue)
{
	const struct fair *fair = queue;

	return fair->queued_count;
}

static int64_t fair_wait_us(const void *queue,
			    const struct admission_load *load)
{
	const struct fair *fair = queue;
	int64_t total_work_us = 0;

	if (load->free_count || !load->slot_count)
		return 0;
	for (uint32_t i = 0; i < URGENCY_COUNT; i++)
		total_work_us += fair->queued_work_us[i];
	return total_work_us / load->slot_count;
}

static const struct admission_ops fair_ops = {
	.create = fair_new,
	.free = fair_free,
	.enqueue = fair_enqueue,
	.peek = fair_peek,
	.take = fair_take,
	.hold = fair_hold,
	.requeue = fair_requeue,
	.remove = fair_remove,
	.count = fair_count,
	.wait_us = fair_wait_us,
};

static const struct plugin fair_plugin = {
	.name = "fair",
	.kind = PLUGIN_ADMISSION,
	.preferred = true,
	.ops = &fair_ops,
};

PLUGIN_REGISTER(fair_plugin)
