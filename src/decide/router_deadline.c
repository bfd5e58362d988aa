/*
 * Deadlines of the waiting requests, as a binary heap of small entries. An
 * entry whose request was dispatched is stale; it stays in the heap and is
 * skipped when its time has come. Few requests wait until their deadline, and
 * removal from the middle of a heap or tree was the part of a decision whose
 * cost grew with the fleet.
 */

#include "decide/router.h"

/* Stale entries that are allowed however few requests are in progress. */
#define STALE_MAX_COUNT 1024

struct deadline {
	int64_t deadline_us;
	uint64_t request_id;
};

static struct deadline *at(GArray *heap, guint index)
{
	return &g_array_index(heap, struct deadline, index);
}

static void swap(GArray *heap, guint a, guint b)
{
	struct deadline held = *at(heap, a);

	*at(heap, a) = *at(heap, b);
	*at(heap, b) = held;
}

static bool is_earlier(GArray *heap, guint a, guint b)
{
	const struct deadline *left = at(heap, a);
	const struct deadline *right = at(heap, b);

	if (left->deadline_us != right->deadline_us)
		return left->deadline_us < right->deadline_us;
	return left->request_id < right->request_id;
}

static void sift_up(GArray *heap, guint index)
{
	while (index && is_earlier(heap, index, (index - 1) / 2)) {
		swap(heap, index, (index - 1) / 2);
		index = (index - 1) / 2;
	}
}

static void sift_down(GArray *heap, guint index)
{
	for (;;) {
		guint least = index;

		for (guint i = 2 * index + 1; i <= 2 * index + 2; i++) {
			if (i < heap->len && is_earlier(heap, i, least))
				least = i;
		}
		if (least == index)
			return;
		swap(heap, index, least);
		index = least;
	}
}

GArray *router_deadlines_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct deadline));
}

static bool is_live(const struct router *router,
		    const struct deadline *deadline)
{
	const struct router_request *req =
		router_request_find(router, deadline->request_id);

	return req && req->deadline_watched;
}

/* Removes stale entries when the heap outgrows the requests in progress. */
static void compact(struct router *router)
{
	GArray *heap = router->deadlines;
	guint kept_count = 0;

	if (heap->len <
	    4 * g_hash_table_size(router->requests) + STALE_MAX_COUNT)
		return;
	for (guint i = 0; i < heap->len; i++) {
		if (is_live(router, at(heap, i)))
			*at(heap, kept_count++) = *at(heap, i);
	}
	g_array_set_size(heap, kept_count);
	for (guint i = kept_count / 2; i > 0; i--)
		sift_down(heap, i - 1);
}

void router_deadline_add(struct router *router,
			 const struct router_request *req)
{
	const struct deadline deadline = {
		.deadline_us = req->item.deadline_us,
		.request_id = req->item.request_id,
	};

	compact(router);
	g_array_append_val(router->deadlines, deadline);
	sift_up(router->deadlines, router->deadlines->len - 1);
	kernel_wake_at(router->kernel, deadline.deadline_us);
}

static void pop(GArray *heap)
{
	swap(heap, 0, heap->len - 1);
	g_array_set_size(heap, heap->len - 1);
	if (heap->len)
		sift_down(heap, 0);
}

struct router_request *router_deadline_pop_passed(struct router *router)
{
	GArray *heap = router->deadlines;
	int64_t now_us = kernel_now_us(router->kernel);

	while (heap->len && at(heap, 0)->deadline_us <= now_us) {
		struct deadline first = *at(heap, 0);

		pop(heap);
		if (is_live(router, &first))
			return router_request_find(router, first.request_id);
	}
	return NULL;
}

void router_deadline_arm(struct router *router)
{
	if (router->deadlines->len)
		kernel_wake_at(router->kernel,
			       at(router->deadlines, 0)->deadline_us);
}
