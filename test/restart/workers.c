/* Workers, their entries in the store, and the list of machines. */

#include "restart.h"

#include <stdlib.h>
#include <string.h>

#include "../../review/common-2/http.h"

#define SERVICE "svc-ledger"
#define TICK_MS 5
/* The store drops the entry of a worker that is silent for longer. */
#define ENTRY_EXPIRES_MS (3L * HEARTBEAT_MS)
/* How long a call that gets no answer keeps its connection. */
#define SILENCE_MS 6000
#define ENDS_PER_ANSWER_MAX_COUNT 500
#define CLOCK_RATE_MIN_PERMILLE 980
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
#define LIST_SLOW_MAX_MS 4000
/* An order to a worker that is cut off is carried out later. */
#define CUT_LATE_PROBABILITY 0.3
/* For so long after a restart, more orders are lost or late. */
#define YOUNG_MS 3000
#define YOUNG_FAULT_PROBABILITY 0.05
#define FAULT_PROBABILITY 0.005

struct work {
	char task[64];
	int64_t run;
	int64_t began_ms;
	int64_t done_ms;
	int64_t stopped_ms; /* when a stop takes effect; 0: no stop */
};

struct ended {
	int64_t number;
	char task[64];
	int64_t run;
	const char *how;
	int64_t at_ms;
};

struct late_order {
	int64_t due_ms;
	int64_t expires_ms; /* a worker that is cut off doesn't get it */
	json_t *body;
};

struct worker {
	char id[32];
	char machine[32];
	struct http_server *server;
	/* Disturbances, on the time of the run; 0: none. */
	int64_t on_ms;
	int64_t cut_ms;
	int64_t cut_until_ms;
	bool is_off;
	bool is_cut;
	/* Of this life. */
	int life;
	int64_t born_ms;
	int64_t born_unix_ms;
	int64_t clock_permille;
	int64_t fence;
	int64_t lease_end_ms; /* on the worker's clock */
	int64_t lapsed_ms;    /* when the lease lapsed last; 0: never */
	int64_t seq;
	int64_t next_end_number;
	GArray *works;	   /* of struct work */
	GArray *ends;	   /* of struct ended */
	GHashTable *over;  /* task: highest run that was stopped or ended */
	GArray *late;	   /* of struct late_order; outlives the life */
	int64_t beat_ms;   /* when the store is told again */
	int64_t listed_ms; /* when it was told last; 0: not listed */
};

static struct worker workers[MACHINE_COUNT];
static int64_t newest_token;
static int newest_started; /* the worker that began an item last */

/* The life of the worker that a connection belongs to; 0: no call yet. */
static _Thread_local int connection_life;

static void set_json(struct http_reply *reply, int status, json_t *json)
{
	reply->status = status;
	reply->body = json_dumps(json, JSON_COMPACT);
	reply->body_bytes = strlen(reply->body);
	json_decref(json);
}

static json_int_t integer(const json_t *body, const char *field)
{
	return json_integer_value(json_object_get(body, field));
}

static const char *text(const json_t *body, const char *field)
{
	return json_string_value(json_object_get(body, field));
}

static int64_t clock_ms(const struct worker *worker)
{
	return (world_ms() - worker->born_ms) * worker->clock_permille / 1000;
}

static bool chance(double probability)
{
	return g_rand_double(world_random) < probability;
}

static int64_t between_ms(int64_t low_ms, int64_t high_ms)
{
	return g_rand_int_range(world_random, (gint32)low_ms, (gint32)high_ms);
}

static int64_t over_run(const struct worker *worker, const char *task)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(worker->over, task));
}

static void note_over(struct worker *worker, const char *task, int64_t run)
{
	if (over_run(worker, task) < run)
		g_hash_table_replace(worker->over, g_strdup(task),
				     GINT_TO_POINTER((int)run));
}

static void end_work(struct worker *worker, guint at, const char *how)
{
	struct work work = g_array_index(worker->works, struct work, at);
	struct ended ended = {
		.number = worker->next_end_number++,
		.run = work.run,
		.how = how,
		.at_ms = world_ms(),
	};

	g_array_remove_index_fast(worker->works, at);
	note_over(worker, work.task, work.run);
	g_strlcpy(ended.task, work.task, sizeof(ended.task));
	g_array_append_val(worker->ends, ended);
	check_ended(work.task, work.run, worker->id);
	world_note("%s: run %" G_GINT64_FORMAT " of %s has ended: %s",
		   worker->id, work.run, work.task, how);
}

static void end_lapsed(struct worker *worker)
{
	if (clock_ms(worker) < worker->lease_end_ms)
		return;
	worker->lapsed_ms = world_ms();
	while (worker->works->len)
		end_work(worker, worker->works->len - 1, "lapsed");
}

static void end_due(struct worker *worker)
{
	int64_t now_ms = world_ms();

	for (guint i = worker->works->len; i > 0; i--) {
		const struct work *work =
			&g_array_index(worker->works, struct work, i - 1);

		if (now_ms >= work->done_ms)
			end_work(worker, i - 1, "done");
		else if (work->stopped_ms && now_ms >= work->stopped_ms)
			end_work(worker, i - 1, "stopped");
	}
}

static struct work *find_work(const struct worker *worker, const char *task)
{
	for (guint i = 0; i < worker->works->len; i++) {
		struct work *work =
			&g_array_index(worker->works, struct work, i);

		if (!strcmp(work->task, task))
			return work;
	}
	return NULL;
}

static void extend_lease(struct worker *worker, int64_t deadline_ms)
{
	int64_t longest_ms = clock_ms(worker) + LEASE_MAX_MS;

	worker->lease_end_ms =
		MAX(worker->lease_end_ms, MIN(deadline_ms, longest_ms));
}

static bool check_fence(struct worker *worker, const json_t *body)
{
	if (integer(body, "fence_token") < worker->fence)
		return false;
	worker->fence = integer(body, "fence_token");
	return true;
}

/* The spec of an item says how long it works: "work MILLISECONDS". */
static void begin_work(struct worker *worker, const json_t *body, bool late)
{
	struct work work = { .run = integer(body, "run_number") };
	int64_t work_ms = atoll(text(body, "spec") + strlen("work "));

	g_strlcpy(work.task, text(body, "task"), sizeof(work.task));
	work.began_ms = world_ms();
	work.done_ms = work.began_ms + work_ms;
	g_array_append_val(worker->works, work);
	newest_started = (int)(worker - workers);
	world_note("%s: run %" G_GINT64_FORMAT
		   " of %s starts, %" G_GINT64_FORMAT
		   " ms, token %" G_GINT64_FORMAT ", clock %" G_GINT64_FORMAT
		   ", deadline %" G_GINT64_FORMAT
		   ", lease ends %" G_GINT64_FORMAT "%s",
		   worker->id, work.run, work.task, work_ms, worker->fence,
		   clock_ms(worker), (int64_t)integer(body, "deadline_ms"),
		   worker->lease_end_ms, late ? " (late)" : "");
	check_started(work.task, work.run, worker->id, late);
}

static const char *try_start(struct worker *worker, const json_t *body,
			     bool late)
{
	const char *task = text(body, "task");
	int64_t run = integer(body, "run_number");
	const struct work *work = find_work(worker, task);

	if (!check_fence(worker, body))
		return "fence";
	if (integer(body, "deadline_ms") <= clock_ms(worker))
		return "late";
	extend_lease(worker, integer(body, "deadline_ms"));
	if (work && work->run == run)
		return NULL;
	if (work || run <= over_run(worker, task))
		return "old";
	if ((worker->works->len + 1) * CPU_PER_ITEM > CPU_PER_WORKER)
		return "room";
	begin_work(worker, body, late);
	return NULL;
}

static void answer_order(struct worker *worker, const char *reason,
			 struct http_reply *reply)
{
	set_json(reply, reason ? 409 : 200,
		 json_pack("{s:I, s:s*}", "clock_ms",
			   (json_int_t)clock_ms(worker), "reason", reason));
}

static void handle_start(struct worker *worker, const json_t *body,
			 struct http_reply *reply)
{
	const char *reason = try_start(worker, body, false);

	newest_token = MAX(newest_token, integer(body, "fence_token"));
	if (reason)
		world_note("%s: refuses run %" G_GINT64_FORMAT " of %s: %s",
			   worker->id, (int64_t)integer(body, "run_number"),
			   text(body, "task"), reason);
	answer_order(worker, reason, reply);
}

static void handle_stop(struct worker *worker, const json_t *body,
			struct http_reply *reply)
{
	const char *task = text(body, "task");
	int64_t run = integer(body, "run_number");
	struct work *work = find_work(worker, task);

	if (!check_fence(worker, body)) {
		answer_order(worker, "fence", reply);
		return;
	}
	world_note("%s: told to stop run %" G_GINT64_FORMAT " of %s",
		   worker->id, run, task);
	note_over(worker, task, run);
	if (work && work->run <= run && !work->stopped_ms)
		work->stopped_ms = world_ms() + between_ms(0, STOP_MAX_MS);
	answer_order(worker, NULL, reply);
}

static void acknowledge(struct worker *worker, int64_t through)
{
	while (worker->ends->len) {
		const struct ended *ended =
			&g_array_index(worker->ends, struct ended, 0);

		if (ended->number > through)
			return;
		if (!strcmp(ended->how, "done") &&
		    worker->lapsed_ms < ended->at_ms)
			check_acknowledged(ended->task, ended->at_ms);
		g_array_remove_index(worker->ends, 0);
	}
}

static void wait_for_end(const struct worker *worker, int64_t until_ms)
{
	int life = worker->life;

	while (!worker->ends->len && worker->life == life && !worker->is_off &&
	       !worker->is_cut && world_ms() < until_ms) {
		pthread_mutex_unlock(&world_lock);
		world_sleep_ms(TICK_MS);
		pthread_mutex_lock(&world_lock);
	}
}

static json_t *running_rows(const struct worker *worker)
{
	json_t *rows = json_array();

	for (guint i = 0; i < worker->works->len; i++) {
		const struct work *work =
			&g_array_index(worker->works, struct work, i);
		int64_t age_ms = world_ms() - work->began_ms;
		int64_t work_ms = work->done_ms - work->began_ms;

		json_array_append_new(
			rows, json_pack("[s, I, s, I, i]", work->task,
					(json_int_t)work->run, "",
					(json_int_t)(100 * age_ms / work_ms),
					CPU_PER_ITEM));
	}
	return rows;
}

static json_t *finished_rows(const struct worker *worker)
{
	json_t *rows = json_array();

	for (guint i = 0;
	     i < worker->ends->len && i < ENDS_PER_ANSWER_MAX_COUNT; i++) {
		const struct ended *ended =
			&g_array_index(worker->ends, struct ended, i);

		json_array_append_new(rows, json_pack("[I, s, I, s, s]",
						      (json_int_t)ended->number,
						      ended->task,
						      (json_int_t)ended->run,
						      ended->how, ""));
	}
	return rows;
}

static void handle_hold(struct worker *worker, const json_t *body,
			struct http_reply *reply)
{
	if (!check_fence(worker, body)) {
		answer_order(worker, "fence", reply);
		return;
	}
	acknowledge(worker, integer(body, "acked_through"));
	if (json_object_get(body, "deadline_ms"))
		extend_lease(worker, integer(body, "deadline_ms"));
	wait_for_end(worker, world_ms() + integer(body, "wait_ms"));
	set_json(reply, 200,
		 json_pack("{s:I, s:I, s:o, s:o}", "clock_ms",
			   (json_int_t)clock_ms(worker), "born",
			   (json_int_t)worker->born_unix_ms, "running",
			   running_rows(worker), "finished",
			   finished_rows(worker)));
}

/* Lets the call run into its time limit at the caller. */
static void stay_silent(struct http_reply *reply)
{
	pthread_mutex_unlock(&world_lock);
	world_sleep_ms(SILENCE_MS);
	pthread_mutex_lock(&world_lock);
	reply->drop = true;
}

static void keep_late(struct worker *worker, const json_t *body)
{
	struct late_order order = {
		.due_ms = world_ms() + between_ms(LATE_MIN_MS, LATE_MAX_MS),
		.expires_ms = world_ms() + LATE_MAX_MS,
		.body = json_deep_copy(body),
	};

	g_array_append_val(worker->late, order);
	world_note("%s: the order for run %" G_GINT64_FORMAT " of %s gets no "
		   "answer; due at %.3f s",
		   worker->id, (int64_t)integer(body, "run_number"),
		   text(body, "task"), (double)order.due_ms / 1000.);
}

/* How likely one call is lost, or late: more after a restart. */
static double fault_probability(const struct worker *worker)
{
	bool is_young =
		worker->life > 1 && world_ms() - worker->born_ms < YOUNG_MS;

	return is_young ? YOUNG_FAULT_PROBABILITY : FAULT_PROBABILITY;
}

/* Carries out an order; returns false if its answer is lost. */
static bool carry_out(struct worker *worker, const char *path,
		      const json_t *body, struct http_reply *reply)
{
	int life = worker->life;
	double probability = fault_probability(worker);
	bool is_lost = fault_enabled(FAULT_LOST) && chance(probability);

	if (!strcmp(path, "/api/run-start")) {
		if (fault_enabled(FAULT_LATE) && chance(probability)) {
			keep_late(worker, body);
			return false;
		}
		handle_start(worker, body, reply);
	} else if (!strcmp(path, "/api/run-stop")) {
		handle_stop(worker, body, reply);
	} else if (!strcmp(path, "/api/hold")) {
		handle_hold(worker, body, reply);
	} else if (!strcmp(path, "/api/pace")) {
		answer_order(worker, NULL, reply);
	} else {
		set_json(reply, 404, json_object());
	}
	if (is_lost)
		world_note("%s: the answer to %s is lost", worker->id, path);
	return !is_lost && worker->life == life && !worker->is_off &&
	       !worker->is_cut;
}

/* A connection that is made while the worker is down reaches its next life. */
static void wait_connected(const struct worker *worker)
{
	while (worker->is_off) {
		pthread_mutex_unlock(&world_lock);
		world_sleep_ms(TICK_MS);
		pthread_mutex_lock(&world_lock);
	}
	connection_life = worker->life;
}

/* Returns false if the call gets no answer. */
static bool answer(struct worker *worker, const struct http_request *request,
		   const json_t *body, struct http_reply *reply)
{
	if (worker->is_off || connection_life != worker->life)
		return false;
	if (worker->is_cut) {
		if (fault_enabled(FAULT_LATE) && chance(CUT_LATE_PROBABILITY) &&
		    !strcmp(request->path, "/api/run-start"))
			keep_late(worker, body);
		return false;
	}
	if (!strcmp(request->expected_instance, worker->id))
		return carry_out(worker, request->path, body, reply);
	set_json(reply, 421, json_object());
	return true;
}

static void handle(void *self, const struct http_request *request,
		   struct http_reply *reply)
{
	struct worker *worker = self;
	json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);

	pthread_mutex_lock(&world_lock);
	if (!connection_life)
		wait_connected(worker);
	if (!answer(worker, request, body, reply))
		stay_silent(reply);
	pthread_mutex_unlock(&world_lock);
	json_decref(body);
}

static void carry_out_late(struct worker *worker)
{
	for (guint i = worker->late->len; i > 0; i--) {
		struct late_order *order =
			&g_array_index(worker->late, struct late_order, i - 1);
		const char *reason = "dropped";

		if (world_ms() < order->due_ms)
			continue;
		if (world_ms() <= order->expires_ms)
			reason = try_start(worker, order->body, true);
		world_note("%s: the late order for run %" G_GINT64_FORMAT
			   " of %s: %s",
			   worker->id,
			   (int64_t)integer(order->body, "run_number"),
			   text(order->body, "task"),
			   reason ? reason : "carried out");
		json_decref(order->body);
		g_array_remove_index_fast(worker->late, i - 1);
	}
}

static void drop_late(struct worker *worker)
{
	for (guint i = 0; i < worker->late->len; i++)
		json_decref(
			g_array_index(worker->late, struct late_order, i).body);
	g_array_set_size(worker->late, 0);
}

static void begin_life(struct worker *worker)
{
	worker->life++;
	worker->born_ms = world_ms();
	worker->born_unix_ms = g_get_real_time() / 1000;
	worker->clock_permille = between_ms(CLOCK_RATE_MIN_PERMILLE, 1001);
	worker->fence = 0;
	worker->lease_end_ms = 0;
	worker->lapsed_ms = 0;
	worker->seq = 0;
	worker->next_end_number = 1;
	worker->beat_ms = world_ms() + between_ms(0, HEARTBEAT_MS / 2);
	g_hash_table_remove_all(worker->over);
	g_array_set_size(worker->ends, 0);
	g_array_set_size(worker->works, 0);
}

static void lose_power(struct worker *worker)
{
	world_note("%s: loses power until %.3f s", worker->id,
		   (double)worker->on_ms / 1000.);
	worker->is_off = true;
	for (guint i = 0; i < worker->works->len; i++) {
		const struct work *work =
			&g_array_index(worker->works, struct work, i);

		check_ended(work->task, work->run, worker->id);
	}
	g_array_set_size(worker->works, 0);
	if (!fault_enabled(FAULT_NEXT_LIFE))
		drop_late(worker);
}

/* Applies the disturbances that are due. */
static void apply_faults(struct worker *worker)
{
	int64_t now_ms = world_ms();

	if (worker->is_off && now_ms >= worker->on_ms) {
		worker->is_off = false;
		begin_life(worker);
		world_note("%s: starts again, born=%" G_GINT64_FORMAT,
			   worker->id, worker->born_unix_ms);
	}
	if (!worker->is_cut && now_ms >= worker->cut_ms &&
	    now_ms < worker->cut_until_ms) {
		worker->is_cut = true;
		world_note("%s: is cut off until %.3f s", worker->id,
			   (double)worker->cut_until_ms / 1000.);
	} else if (worker->is_cut && now_ms >= worker->cut_until_ms) {
		worker->is_cut = false;
		world_note("%s: is no longer cut off", worker->id);
	}
}

static void tick(struct worker *worker)
{
	apply_faults(worker);
	if (worker->is_off)
		return;
	end_due(worker);
	end_lapsed(worker);
	if (!worker->is_cut)
		carry_out_late(worker);
}

static char *format_entry(struct worker *worker)
{
	char address[32];
	json_t *entry;
	char *value;

	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   http_server_port(worker->server));
	entry = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, "
		"s:[s, s], s:I, s:I, s:s, s:I}",
		"service", SERVICE, "address", address, "zone", "zone-a",
		"version", "v1", "slots", 8, "state", "ready",
		"cold_remaining_ms", 0, "capacity", "cpu", CPU_PER_WORKER,
		"mem_mb", 65536, "gpu", 0, "labels", "a", "r1-1", "clock_ms",
		(json_int_t)clock_ms(worker), "seq", (json_int_t)++worker->seq,
		"machine", worker->machine, "born",
		(json_int_t)worker->born_unix_ms);
	value = json_dumps(entry, JSON_COMPACT);
	json_decref(entry);
	return value;
}

/* Keeps the worker's entry, which expires after three missed heartbeats. */
static void update_entry(struct worker *worker)
{
	int64_t now_ms = world_ms();
	char *value = NULL;
	bool has_expired = false;

	pthread_mutex_lock(&world_lock);
	if (!worker->is_off && !worker->is_cut && now_ms >= worker->beat_ms) {
		value = format_entry(worker);
		worker->beat_ms = now_ms + HEARTBEAT_MS;
		worker->listed_ms = now_ms;
	} else if (worker->listed_ms &&
		   now_ms - worker->listed_ms > ENTRY_EXPIRES_MS) {
		has_expired = true;
		worker->listed_ms = 0;
	}
	pthread_mutex_unlock(&world_lock);
	if (value || has_expired)
		store_put("keyed.servers", worker->id, value);
	free(value);
}

static void *run_ticks(void *data)
{
	(void)data;
	for (;;) {
		pthread_mutex_lock(&world_lock);
		for (int i = 0; i < MACHINE_COUNT; i++)
			tick(&workers[i]);
		pthread_mutex_unlock(&world_lock);
		for (int i = 0; i < MACHINE_COUNT; i++)
			update_entry(&workers[i]);
		world_sleep_ms(TICK_MS);
	}
	return NULL;
}

static json_t *machine_rows(void)
{
	json_t *rows = json_array();

	for (int i = 0; i < MACHINE_COUNT; i++) {
		const struct worker *worker = &workers[i];

		json_array_append_new(
			rows,
			json_pack("{s:s, s:s, s:s, s:s, s:[s, s], "
				  "s:{s:i, s:i, s:i}, s:s}",
				  "machine", worker->machine, "pool", SERVICE,
				  "state", worker->is_off ? "down" : "up",
				  "zone", "zone-a", "labels", "a", "r1-1",
				  "capacity", "cpu", CPU_PER_WORKER, "mem_mb",
				  65536, "gpu", 0, "id", worker->id));
	}
	return rows;
}

/* Shows what was true when it was asked for, also when it is slow. */
static void list_machines(void *self, const struct http_request *request,
			  struct http_reply *reply)
{
	int64_t slow_ms = 0;

	(void)self;
	if (strcmp(request->path, "/api/machines") != 0) {
		set_json(reply, 409, json_pack("{s:s}", "reason", "busy"));
		return;
	}
	pthread_mutex_lock(&world_lock);
	set_json(reply, 200,
		 json_pack("{s:o, s:n}", "machines", machine_rows(),
			   "next_token"));
	if (fault_enabled(FAULT_LIST) && chance(0.4))
		slow_ms = between_ms(100, LIST_SLOW_MAX_MS);
	pthread_mutex_unlock(&world_lock);
	world_sleep_ms(slow_ms);
}

bool workers_is_calm(int worker)
{
	return world_ms() >
	       MAX(workers[worker].on_ms, workers[worker].cut_until_ms);
}

void workers_disturb(int at, int64_t on_ms, int64_t cut_ms,
		     int64_t cut_until_ms)
{
	struct worker *worker = &workers[at];

	pthread_mutex_lock(&world_lock);
	worker->on_ms = on_ms;
	worker->cut_ms = cut_ms;
	worker->cut_until_ms = cut_until_ms;
	if (on_ms > world_ms())
		lose_power(worker);
	pthread_mutex_unlock(&world_lock);
}

void workers_calm(void)
{
	pthread_mutex_lock(&world_lock);
	for (int i = 0; i < MACHINE_COUNT; i++) {
		workers[i].on_ms = 0;
		workers[i].cut_until_ms = 0;
	}
	pthread_mutex_unlock(&world_lock);
}

int64_t workers_newest_token(void)
{
	int64_t token;

	pthread_mutex_lock(&world_lock);
	token = newest_token;
	pthread_mutex_unlock(&world_lock);
	return token;
}

int workers_newest_started(void)
{
	int worker;

	pthread_mutex_lock(&world_lock);
	worker = newest_started;
	pthread_mutex_unlock(&world_lock);
	return worker;
}

static void open_worker(struct worker *worker, int number)
{
	g_snprintf(worker->id, sizeof(worker->id), "i-%08x",
		   0x7f3a9100 + number);
	g_snprintf(worker->machine, sizeof(worker->machine), "m-%05x",
		   0x0a3f0 + number);
	worker->works = g_array_new(FALSE, FALSE, sizeof(struct work));
	worker->ends = g_array_new(FALSE, FALSE, sizeof(struct ended));
	worker->late = g_array_new(FALSE, FALSE, sizeof(struct late_order));
	worker->over =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	begin_life(worker);
	worker->server = http_server_new(0, handle, worker);
}

int workers_open(void)
{
	pthread_t thread;

	for (int i = 0; i < MACHINE_COUNT; i++)
		open_worker(&workers[i], i);
	pthread_create(&thread, NULL, run_ticks, NULL);
	pthread_detach(thread);
	return http_server_port(http_server_new(0, list_machines, NULL));
}
