#include "jobs/msg.h"

#include "core/event.h"

static void record_free(gpointer record)
{
	job_record_unref(record);
}

struct store_read *store_read_new(void)
{
	struct store_read *msg = g_rc_box_new0(struct store_read);

	msg->records = g_ptr_array_new_with_free_func(record_free);
	return msg;
}

struct store_write *store_write_new(enum store_writer writer)
{
	struct store_write *msg = g_rc_box_new0(struct store_write);

	msg->writer = writer;
	msg->records = g_ptr_array_new_with_free_func(record_free);
	return msg;
}

struct job_call *job_call_new(void)
{
	return g_rc_box_new0(struct job_call);
}

void worker_entry_free(gpointer data)
{
	struct worker_entry *entry = data;

	if (!entry)
		return;
	if (entry->labels)
		g_ptr_array_unref(entry->labels);
	g_free(entry);
}

struct workers_seen *workers_seen_new(void)
{
	struct workers_seen *msg = g_rc_box_new0(struct workers_seen);

	msg->entries = g_ptr_array_new_with_free_func(worker_entry_free);
	msg->removed = g_ptr_array_new();
	return msg;
}

struct wave_seen *wave_seen_new(void)
{
	struct wave_seen *msg = g_rc_box_new0(struct wave_seen);

	msg->machines = g_ptr_array_new();
	return msg;
}

static void running_clear(gpointer data)
{
	struct running_row *row = data;

	g_free(row->checkpoint);
}

static void ended_clear(gpointer data)
{
	struct ended_row *row = data;

	g_free(row->checkpoint);
}

struct order *order_new(enum order_kind kind)
{
	struct order *msg = g_rc_box_new0(struct order);

	msg->kind = kind;
	msg->running = g_array_new(FALSE, TRUE, sizeof(struct running_row));
	g_array_set_clear_func(msg->running, running_clear);
	msg->ended = g_array_new(FALSE, TRUE, sizeof(struct ended_row));
	g_array_set_clear_func(msg->ended, ended_clear);
	return msg;
}

struct machines_seen *machines_seen_new(void)
{
	struct machines_seen *msg = g_rc_box_new0(struct machines_seen);

	msg->rows = g_array_new(FALSE, TRUE, sizeof(struct machine_row));
	return msg;
}

GHashTable *machines_seen_up(const struct machines_seen *seen)
{
	GHashTable *up = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < seen->rows->len; i++) {
		const struct machine_row *row =
			&g_array_index(seen->rows, struct machine_row, i);

		if (row->state == MACHINE_UP && row->worker)
			g_hash_table_add(up, (gpointer)row->worker);
	}
	return up;
}

static void advice_row_clear(gpointer data)
{
	struct advice_row *row = data;

	g_free(row->ticket);
}

struct advice *advice_new(void)
{
	struct advice *msg = g_rc_box_new0(struct advice);

	msg->workers = g_ptr_array_new();
	msg->allowed = g_array_new(FALSE, TRUE, sizeof(struct advice_row));
	g_array_set_clear_func(msg->allowed, advice_row_clear);
	return msg;
}

static void store_read_clear(gpointer data)
{
	struct store_read *msg = data;

	g_ptr_array_unref(msg->records);
}

static void store_write_clear(gpointer data)
{
	struct store_write *msg = data;

	g_ptr_array_unref(msg->records);
}

void store_write_unref(struct store_write *msg)
{
	if (msg)
		g_rc_box_release_full(msg, store_write_clear);
}

static void job_call_clear(gpointer data)
{
	struct job_call *msg = data;

	g_free(msg->path);
	g_free(msg->key);
	job_spec_unref(msg->spec);
}

static void workers_seen_clear(gpointer data)
{
	struct workers_seen *msg = data;

	g_ptr_array_unref(msg->entries);
	g_ptr_array_unref(msg->removed);
}

static void config_seen_clear(gpointer data)
{
	struct config_seen *msg = data;

	queues_unref(msg->queues);
}

static void wave_seen_clear(gpointer data)
{
	struct wave_seen *msg = data;

	g_ptr_array_unref(msg->machines);
}

static void order_clear(gpointer data)
{
	struct order *msg = data;

	job_spec_unref(msg->spec);
	g_free(msg->checkpoint);
	g_free(msg->ticket);
	g_array_unref(msg->running);
	g_array_unref(msg->ended);
}

struct order *order_ref(struct order *order)
{
	return g_rc_box_acquire(order);
}

void order_unref(struct order *order)
{
	if (order)
		g_rc_box_release_full(order, order_clear);
}

static void order_destroy(gpointer order)
{
	order_unref(order);
}

struct forward_msg *forward_msg_new(void)
{
	struct forward_msg *msg = g_rc_box_new0(struct forward_msg);

	msg->orders = g_ptr_array_new_with_free_func(order_destroy);
	return msg;
}

static void forward_msg_clear(gpointer data)
{
	struct forward_msg *msg = data;

	g_ptr_array_unref(msg->orders);
}

void forward_msg_unref(struct forward_msg *msg)
{
	if (msg)
		g_rc_box_release_full(msg, forward_msg_clear);
}

static void machines_seen_clear(gpointer data)
{
	struct machines_seen *msg = data;

	g_array_unref(msg->rows);
}

static void advice_clear(gpointer data)
{
	struct advice *msg = data;

	g_ptr_array_unref(msg->workers);
	g_array_unref(msg->allowed);
}

static void nothing_to_clear(gpointer data)
{
	(void)data;
}

void job_msg_clear(struct event *event)
{
	static const GDestroyNotify clear[EVENT_TYPE_COUNT] = {
		[EVENT_STORE_READ] = store_read_clear,
		[EVENT_JOBS_APPLIED] = store_read_clear,
		[EVENT_STORE_PACE] = nothing_to_clear,
		[EVENT_STORE_WRITE] = store_write_clear,
		[EVENT_STORE_WRITTEN] = store_write_clear,
		[EVENT_JOB_CALL] = job_call_clear,
		[EVENT_JOB_REPLY] = nothing_to_clear,
		[EVENT_WORKERS_SEEN] = workers_seen_clear,
		[EVENT_CONFIG_SEEN] = config_seen_clear,
		[EVENT_CONFIG_READ] = nothing_to_clear,
		[EVENT_WAVE_SEEN] = wave_seen_clear,
		[EVENT_ORDER] = order_clear,
		[EVENT_ORDER_DONE] = order_clear,
		[EVENT_ORDER_SEND] = order_clear,
		[EVENT_ORDER_SENT] = order_clear,
		[EVENT_FORWARD_SEND] = forward_msg_clear,
		[EVENT_FORWARD_RECEIVED] = forward_msg_clear,
		[EVENT_MACHINES_SEEN] = machines_seen_clear,
		[EVENT_MACHINE_ORDER] = nothing_to_clear,
		[EVENT_MACHINE_ORDERED] = nothing_to_clear,
		[EVENT_ADVICE_REQUEST] = advice_clear,
		[EVENT_ADVICE_RESPONSE] = advice_clear,
		[EVENT_HOLDER_CHANGED] = nothing_to_clear,
	};

	if (event->msg && clear[event->type])
		g_rc_box_release_full(event->msg, clear[event->type]);
}

bool order_is_answered(const struct order *order)
{
	return order->result != ORDER_UNANSWERED &&
	       order->result != ORDER_NOT_SENT;
}

const char *order_kind_name(enum order_kind kind)
{
	static const char *const names[] = {
		[ORDER_START] = "start",
		[ORDER_STOP] = "stop",
		[ORDER_HOLD] = "hold",
		[ORDER_PACE] = "pace",
	};

	return names[kind];
}

const char *order_result_name(enum order_result result)
{
	static const char *const names[ORDER_RESULT_COUNT] = {
		[ORDER_OK] = "ok",
		[ORDER_FENCED] = "fenced",
		[ORDER_STALE_RUN] = "old",
		[ORDER_LEASE_EXPIRED] = "late",
		[ORDER_NO_ROOM] = "no-room",
		[ORDER_NO_TICKET] = "no-ticket",
		[ORDER_REFUSED] = "refused",
		[ORDER_WRONG_WORKER] = "other-life",
		[ORDER_NOT_SENT] = "not-sent",
		[ORDER_UNANSWERED] = "lost",
	};

	return names[result];
}

const char *item_end_name(enum item_end end)
{
	static const char *const names[ITEM_END_COUNT] = {
		[ITEM_END_DONE] = "done",
		[ITEM_END_FAILED] = "failed",
		[ITEM_END_STOPPED] = "stopped",
		[ITEM_END_LEASE_EXPIRED] = "lapsed",
		[ITEM_END_BROKEN] = "broken",
		[ITEM_END_ALONE] = "alone",
	};

	return names[end];
}
