/* Baseline: one bounded first-come-first-served queue for each pool. */

#include "kernel/plugin.h"
#include "policy/admission.h"

/* The limits of four members together, as in a pool that four share. */
#define FIFO_MAX_COUNT (4 * ADMISSION_MEMBER_MAX_COUNT)

struct fifo {
	GQueue items;
	int64_t queued_work_us;
	uint32_t held_count;
};

static void *fifo_new(void)
{
	return g_new0(struct fifo, 1);
}

static void fifo_free(void *queue)
{
	g_free(queue);
}

static void insert(struct fifo *fifo, struct admission_item *item, bool front)
{
	item->link.data = item;
	if (front)
		g_queue_push_head_link(&fifo->items, &item->link);
	else
		g_queue_push_tail_link(&fifo->items, &item->link);
	fifo->queued_work_us += item->cost_us;
	item->queued = true;
}

static enum admission_result fifo_enqueue(void *queue,
					  struct admission_item *item,
					  const struct admission_load *load,
					  struct admission_item **dropped)
{
	struct fifo *fifo = queue;

	(void)load;
	*dropped = NULL;
	if (fifo->items.length + fifo->held_count >= FIFO_MAX_COUNT)
		return ADMISSION_FULL;
	insert(fifo, item, false);
	return ADMISSION_QUEUED;
}

static struct admission_item *fifo_peek(void *queue, admission_filter *accept,
					void *data)
{
	struct fifo *fifo = queue;
	struct admission_item *item = g_queue_peek_head(&fifo->items);

	return item && (!accept || accept(item, data)) ? item : NULL;
}

static void fifo_take(void *queue, struct admission_item *item)
{
	struct fifo *fifo = queue;

	g_queue_unlink(&fifo->items, &item->link);
	fifo->queued_work_us -= item->cost_us;
	item->queued = false;
}

static void fifo_hold(void *queue, struct admission_item *item)
{
	struct fifo *fifo = queue;

	fifo_take(queue, item);
	item->held = true;
	fifo->held_count++;
}

static void end_hold(struct fifo *fifo, struct admission_item *item)
{
	if (item->held)
		fifo->held_count--;
	item->held = false;
}

static void fifo_requeue(void *queue, struct admission_item *item)
{
	end_hold(queue, item);
	insert(queue, item, true);
}

static void fifo_remove(void *queue, struct admission_item *item)
{
	if (item->queued)
		fifo_take(queue, item);
	end_hold(queue, item);
}

static uint32_t fifo_count(const void *queue)
{
	const struct fifo *fifo = queue;

	return fifo->items.length;
}

static int64_t fifo_wait_us(const void *queue,
			    const struct admission_load *load)
{
	const struct fifo *fifo = queue;

	if (load->free_count || !load->slot_count)
		return 0;
	return fifo->queued_work_us / load->slot_count;
}

static const struct admission_ops fifo_ops = {
	.create = fifo_new,
	.free = fifo_free,
	.enqueue = fifo_enqueue,
	.peek = fifo_peek,
	.take = fifo_take,
	.hold = fifo_hold,
	.requeue = fifo_requeue,
	.remove = fifo_remove,
	.count = fifo_count,
	.wait_us = fifo_wait_us,
};

static const struct plugin fifo_plugin = {
	.name = "fifo",
	.kind = PLUGIN_ADMISSION,
	.ops = &fifo_ops,
};

PLUGIN_REGISTER(fifo_plugin)
