/* Workers that run items, their entries in the store, the list of machines. */

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "world.h"

#define SERVICE "svc-ledger"
#define TICK_MS 5
/* How long a call that gets no answer keeps its connection. */
#define SILENCE_MS 2500

struct worker workers[WORKERS_MAX_COUNT];
int worker_count;
int64_t item_work_ms;
int gang_size;
bool needs_tickets;
struct start starts[256];
int start_count;

static void set_json(struct http_reply *reply, int status, json_t *json)
{
	reply->status = status;
	reply->body = json_dumps(json, JSON_COMPACT);
	reply->body_bytes = strlen(reply->body);
	json_decref(json);
}

static int64_t clock_ms(const struct worker *worker)
{
	return world_ms() - worker->started_ms;
}

static struct start *newest_start(const struct worker *worker, const char *task,
				  int64_t run)
{
	for (int i = start_count; i > 0; i--) {
		struct start *start = &starts[i - 1];

		if (!strcmp(start->worker, worker->id) &&
		    !strcmp(start->task, task) && start->run == run)
			return start;
	}
	return NULL;
}

static void note_over(struct worker *worker, const char *task, int64_t run)
{
	for (int i = 0; i < worker->over_count; i++) {
		struct run *over = &worker->over[i];

		if (strcmp(over->task, task) != 0)
			continue;
		if (over->number < run)
			over->number = run;
		return;
	}
	if (worker->over_count == RUNS_MAX_COUNT)
		abort();
	snprintf(worker->over[worker->over_count].task,
		 sizeof(worker->over[0].task), "%s", task);
	worker->over[worker->over_count++].number = run;
}

static int64_t over_run(const struct worker *worker, const char *task)
{
	for (int i = 0; i < worker->over_count; i++) {
		if (!strcmp(worker->over[i].task, task))
			return worker->over[i].number;
	}
	return 0;
}

static void mark_ended(struct worker *worker, const struct run *run,
		       const char *how)
{
	struct start *start = newest_start(worker, run->task, run->number);

	if (start) {
		start->ended_ms = world_ms();
		snprintf(start->how, sizeof(start->how), "%s", how);
	}
	world_note("%s: run %lld of %s has ended: %s", worker->id,
		   (long long)run->number, run->task, how);
}

/* Work of a run so far, with what its checkpoint stands for. */
static int64_t progress_ms(const struct run *run)
{
	int64_t base_ms = run->carried[0] ? atoll(run->carried + 1) : 0;

	return run->began_ms ? base_ms + world_ms() - run->began_ms : base_ms;
}

/* The newest checkpoint; a member's is valid for its whole gang. */
static void format_saved(const struct run *run, bool at_stop, char *to,
			 size_t size_bytes)
{
	int64_t saved_ms = progress_ms(run);

	if (!at_stop)
		saved_ms -= saved_ms % CHECKPOINT_MS;
	to[0] = '\0';
	if (!run->began_ms)
		snprintf(to, size_bytes, "%s", run->carried);
	else if (saved_ms)
		snprintf(to, size_bytes, "c%08lld", (long long)saved_ms);
}

static void end_run(struct worker *worker, int at, const char *how)
{
	struct run run = worker->runs[at];
	struct end *end;

	worker->runs[at] = worker->runs[--worker->run_count];
	note_over(worker, run.task, run.number);
	if (worker->end_count == RUNS_MAX_COUNT)
		abort();
	end = &worker->ends[worker->end_count++];
	end->number = worker->next_end_number++;
	snprintf(end->task, sizeof(end->task), "%s", run.task);
	end->run = run.number;
	end->how = how;
	end->saved[0] = '\0';
	if (gang_size)
		format_saved(&run, true, end->saved, sizeof(end->saved));
	mark_ended(worker, &run, how);
	pthread_cond_broadcast(&world_changed);
}

static bool same_gang(const struct run *a, const struct run *b)
{
	size_t step_bytes = (size_t)(strrchr(a->task, '.') - a->task) + 1;

	return a->number == b->number && !strncmp(a->task, b->task, step_bytes);
}

/* Members of the same run of a gang; with_value: that carry the same value. */
static int count_members(const struct run *run, bool with_value)
{
	int count = 0;

	for (int i = 0; i < worker_count; i++) {
		for (int j = 0; j < workers[i].run_count; j++) {
			const struct run *other = &workers[i].runs[j];

			count += same_gang(run, other) &&
				 (!with_value ||
				  !strcmp(run->carried, other->carried));
		}
	}
	return count;
}

/*
 * The members of a gang work only together, from the moment when all of one run
 * are present, and all must carry the same checkpoint. One that waits too long
 * ends alone, and one whose gang has lost a member ends broken.
 */
static const char *gang_end(struct run *run)
{
	if (!run->began_ms) {
		if (count_members(run, true) == gang_size)
			run->began_ms = world_ms();
		else if (world_ms() - run->started_ms >= GANG_TIMEOUT_MS)
			return "alone";
		return NULL;
	}
	if (progress_ms(run) >= item_work_ms)
		return "done";
	return count_members(run, false) < gang_size ? "broken" : NULL;
}

/* Ends what has done its work, and everything when the lease has expired. */
static void tick(struct worker *worker)
{
	for (int i = worker->run_count; i > 0; i--) {
		struct run *run = &worker->runs[i - 1];
		const char *how = NULL;

		if (gang_size)
			how = gang_end(run);
		else if (run->ends_ms && world_ms() >= run->ends_ms)
			how = "done";
		if (how)
			end_run(worker, i - 1, how);
	}
	if (clock_ms(worker) < worker->lease_end_ms)
		return;
	while (worker->run_count)
		end_run(worker, worker->run_count - 1, "lapsed");
}

static void extend_lease(struct worker *worker, json_int_t deadline_ms)
{
	int64_t longest_ms = clock_ms(worker) + HOLD_MAX_MS;

	if (deadline_ms > longest_ms)
		deadline_ms = longest_ms;
	if (deadline_ms > worker->lease_end_ms)
		worker->lease_end_ms = deadline_ms;
}

static json_int_t integer(const json_t *body, const char *field)
{
	return json_integer_value(json_object_get(body, field));
}

static int find_run(const struct worker *worker, const char *task)
{
	for (int i = 0; i < worker->run_count; i++) {
		if (!strcmp(worker->runs[i].task, task))
			return i;
	}
	return -1;
}

/* Returns false, with a reason, if the token is too low. */
static bool check_fence(struct worker *worker, const json_t *body)
{
	if (integer(body, "fence_token") < worker->fence)
		return false;
	worker->fence = integer(body, "fence_token");
	return true;
}

/* The ticket of a step, ID.K.STEP, on a worker. */
static void format_ticket(const char *step, const char *worker, char *to,
			  size_t size_bytes)
{
	snprintf(to, size_bytes, "t-%s-%s", step, worker);
}

/* Tickets don't expire here within the time of a script. */
static bool has_ticket(const struct worker *worker, const char *task,
		       const json_t *body)
{
	const char *ticket = json_string_value(json_object_get(body, "ticket"));
	char step[64];
	char expected[128];

	snprintf(step, sizeof(step), "%s", task);
	*strrchr(step, '.') = '\0';
	format_ticket(step, worker->id, expected, sizeof(expected));
	return ticket && !strcmp(ticket, expected);
}

static const char *try_start(struct worker *worker, const json_t *body,
			     bool late)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	json_int_t run = integer(body, "run_number");
	json_int_t deadline_ms = integer(body, "deadline_ms");
	const char *carried =
		json_string_value(json_object_get(body, "checkpointed"));
	int at = find_run(worker, task);
	struct start *start;

	if (!check_fence(worker, body))
		return "fence";
	if (at >= 0 && worker->runs[at].number == run)
		return NULL;
	if (deadline_ms <= clock_ms(worker))
		return "late";
	extend_lease(worker, deadline_ms);
	if (at >= 0 || run <= over_run(worker, task))
		return "old";
	if (needs_tickets && !has_ticket(worker, task, body))
		return "ticket";
	if (worker->run_count == RUNS_MAX_COUNT)
		return "room";
	at = worker->run_count++;
	snprintf(worker->runs[at].task, sizeof(worker->runs[at].task), "%s",
		 task);
	worker->runs[at].number = run;
	worker->runs[at].started_ms = world_ms();
	worker->runs[at].began_ms = 0;
	snprintf(worker->runs[at].carried, sizeof(worker->runs[at].carried),
		 "%s", carried ? carried : "");
	worker->runs[at].ends_ms = item_work_ms ? world_ms() + item_work_ms : 0;
	start = &starts[start_count++];
	start->at_ms = world_ms();
	snprintf(start->worker, sizeof(start->worker), "%s", worker->id);
	snprintf(start->task, sizeof(start->task), "%s", task);
	start->run = run;
	start->late = late;
	snprintf(start->carried, sizeof(start->carried), "%s",
		 carried ? carried : "");
	world_note("%s: run %lld of %s starts%s%s%s", worker->id,
		   (long long)run, task, carried ? " from checkpoint " : "",
		   carried ? carried : "",
		   late ? " (an order carried out late)" : "");
	return NULL;
}

static void answer_start(struct worker *worker, const json_t *body,
			 struct http_reply *reply)
{
	const char *reason = try_start(worker, body, false);

	if (reason)
		world_note("%s: refuses to start %s: %s", worker->id,
			   json_string_value(json_object_get(body, "task")),
			   reason);
	set_json(reply, reason ? 409 : 200,
		 json_pack("{s:I, s:s*}", "clock_ms",
			   (json_int_t)clock_ms(worker), "reason", reason));
}

static void answer_stop(struct worker *worker, const json_t *body,
			struct http_reply *reply)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	json_int_t run = integer(body, "run_number");
	bool fenced = !check_fence(worker, body);
	int at = find_run(worker, task);

	if (!fenced) {
		world_note("%s: told to stop run %lld of %s", worker->id,
			   (long long)run, task);
		note_over(worker, task, run);
		if (at >= 0 && worker->runs[at].number <= run)
			end_run(worker, at, "stopped");
	}
	set_json(reply, fenced ? 409 : 200,
		 json_pack("{s:I, s:s*}", "clock_ms",
			   (json_int_t)clock_ms(worker), "reason",
			   fenced ? "fence" : NULL));
}

static void drop_acknowledged(struct worker *worker, json_int_t through)
{
	int kept = 0;

	for (int i = 0; i < worker->end_count; i++) {
		if (worker->ends[i].number > through)
			worker->ends[kept++] = worker->ends[i];
	}
	worker->end_count = kept;
}

static void wait_for_end(const struct worker *worker, int64_t until_ms)
{
	int64_t life_ms = worker->started_ms;

	while (!worker->end_count && !worker->is_silent &&
	       worker->started_ms == life_ms && world_ms() < until_ms) {
		pthread_mutex_unlock(&world_lock);
		world_sleep_ms(TICK_MS);
		pthread_mutex_lock(&world_lock);
	}
}

static json_t *lists(const struct worker *worker)
{
	json_t *running = json_array();
	json_t *finished = json_array();

	for (int i = 0; i < worker->run_count; i++) {
		const struct run *run = &worker->runs[i];
		int64_t age_ms = world_ms() - run->started_ms;
		int64_t work_ms = run->ends_ms - run->started_ms;
		int percent =
			run->ends_ms ? (int)(100 * age_ms / work_ms) : 100;
		char saved[32] = "";

		if (gang_size) {
			percent = (int)(100 * progress_ms(run) / item_work_ms);
			format_saved(run, false, saved, sizeof(saved));
		}
		json_array_append_new(running,
				      json_pack("[s, I, s, i, i]", run->task,
						(json_int_t)run->number, saved,
						percent, 500));
	}
	for (int i = 0; i < worker->end_count; i++) {
		const struct end *end = &worker->ends[i];

		json_array_append_new(finished,
				      json_pack("[I, s, I, s, s]",
						(json_int_t)end->number,
						end->task, (json_int_t)end->run,
						end->how, end->saved));
	}
	return json_pack("{s:I, s:I, s:o, s:o}", "clock_ms",
			 (json_int_t)clock_ms(worker), "born",
			 (json_int_t)worker->born_ms, "running", running,
			 "finished", finished);
}

static void answer_hold(struct worker *worker, const json_t *body,
			struct http_reply *reply)
{
	if (!check_fence(worker, body)) {
		set_json(reply, 409,
			 json_pack("{s:I, s:s}", "clock_ms",
				   (json_int_t)clock_ms(worker), "reason",
				   "fence"));
		return;
	}
	drop_acknowledged(worker, integer(body, "acked_through"));
	if (json_object_get(body, "deadline_ms"))
		extend_lease(worker, integer(body, "deadline_ms"));
	wait_for_end(worker, world_ms() + integer(body, "wait_ms"));
	set_json(reply, 200, lists(worker));
}

/* Keeps the first start order that gets no answer. */
static void keep_start(struct worker *worker,
		       const struct http_request *request, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));

	if (strcmp(request->path, "/api/run-start") != 0)
		return;
	world_note("%s: the order to start run %lld of %s gets no answer",
		   worker->id, (long long)integer(body, "run_number"), task);
	if (worker->kept_start)
		return;
	worker->kept_start = strndup(request->body, request->body_bytes);
}

static void stay_silent(struct http_reply *reply)
{
	pthread_mutex_unlock(&world_lock);
	world_sleep_ms(SILENCE_MS);
	pthread_mutex_lock(&world_lock);
	reply->drop = true;
}

static void handle(void *self, const struct http_request *request,
		   struct http_reply *reply)
{
	struct worker *worker = self;
	json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);
	int64_t life_ms;

	pthread_mutex_lock(&world_lock);
	life_ms = worker->started_ms;
	if (worker->is_silent) {
		keep_start(worker, request, body);
		stay_silent(reply);
	} else if (strcmp(request->expected_instance, worker->id) != 0) {
		set_json(reply, 421, json_object());
	} else if (!strcmp(request->path, "/api/run-start")) {
		answer_start(worker, body, reply);
	} else if (!strcmp(request->path, "/api/run-stop")) {
		answer_stop(worker, body, reply);
	} else if (!strcmp(request->path, "/api/hold")) {
		answer_hold(worker, body, reply);
	} else if (!strcmp(request->path, "/api/pace")) {
		set_json(reply, 200,
			 json_pack("{s:I}", "clock_ms",
				   (json_int_t)clock_ms(worker)));
	} else {
		set_json(reply, 404, json_object());
	}
	/* A call that was being answered when the worker crashed is lost. */
	if (worker->is_silent && !reply->drop)
		stay_silent(reply);
	reply->drop |= worker->started_ms != life_ms;
	pthread_mutex_unlock(&world_lock);
	json_decref(body);
}

/* The worker's entry in the directory. */
static void write_entry(struct worker *worker)
{
	char key[64];
	char address[32];
	char *text;
	json_t *entry;

	pthread_mutex_lock(&world_lock);
	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 http_server_port(worker->server));
	entry = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, "
		"s:[s, s], s:I, s:I, s:s, s:I}",
		"service", SERVICE, "address", address, "zone", "zone-a",
		"version", "v1", "slots", 8, "state", "ready",
		"cold_remaining_ms", 0, "capacity", "cpu", 32000, "mem_mb",
		65536, "gpu", 0, "labels", "a", "r1-1", "clock_ms",
		(json_int_t)clock_ms(worker), "seq", (json_int_t)++worker->seq,
		"machine", worker->machine, "born",
		(json_int_t)worker->born_ms);
	snprintf(key, sizeof(key), "%s", worker->id);
	pthread_mutex_unlock(&world_lock);
	text = json_dumps(entry, JSON_COMPACT);
	store_put("keyed.servers", key, text);
	free(text);
	json_decref(entry);
}

static void *run_ticks(void *data)
{
	int64_t next_beat_ms = 0;

	(void)data;
	for (;;) {
		pthread_mutex_lock(&world_lock);
		for (int i = 0; i < worker_count; i++)
			tick(&workers[i]);
		pthread_mutex_unlock(&world_lock);
		if (world_ms() >= next_beat_ms) {
			next_beat_ms = world_ms() + HEARTBEAT_MS;
			for (int i = 0; i < worker_count; i++) {
				if (!workers[i].is_silent)
					write_entry(&workers[i]);
			}
		}
		world_sleep_ms(TICK_MS);
	}
	return NULL;
}

static void list_machines(void *self, const struct http_request *request,
			  struct http_reply *reply)
{
	json_t *rows = json_array();

	(void)self;
	if (strcmp(request->path, "/api/machines") != 0) {
		/* No machine can be moved or maintained in these scripts. */
		set_json(reply, 409, json_pack("{s:s}", "reason", "busy"));
		json_decref(rows);
		return;
	}
	pthread_mutex_lock(&world_lock);
	for (int i = 0; i < worker_count; i++) {
		const struct worker *worker = &workers[i];
		bool up = !worker->is_silent;

		json_array_append_new(
			rows, json_pack("{s:s, s:s, s:s, s:s, s:[s, s], "
					"s:{s:i, s:i, s:i}, s:s}",
					"machine", worker->machine, "pool",
					SERVICE, "state", up ? "up" : "down",
					"zone", "zone-a", "labels", "a", "r1-1",
					"capacity", "cpu", 32000, "mem_mb",
					65536, "gpu", 0, "id", worker->id));
	}
	pthread_mutex_unlock(&world_lock);
	set_json(reply, 200,
		 json_pack("{s:o, s:n}", "machines", rows, "next_token"));
}

static void begin_life(struct worker *worker)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	worker->started_ms = world_ms();
	worker->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
	worker->fence = 0;
	worker->lease_end_ms = 0;
	worker->seq = 0;
	worker->next_end_number = 1;
	worker->run_count = 0;
	worker->end_count = 0;
	worker->over_count = 0;
	worker->is_silent = false;
	if (!worker->port)
		worker->port = http_free_port();
	worker->server = http_server_new(worker->port, handle, worker);
}

void worker_crash(struct worker *worker)
{
	struct run *run;

	pthread_mutex_lock(&world_lock);
	world_note("%s: crashes and is silent", worker->id);
	worker->is_silent = true;
	while (worker->run_count) {
		run = &worker->runs[--worker->run_count];
		mark_ended(worker, run, "crashed");
	}
	worker->end_count = 0;
	pthread_cond_broadcast(&world_changed);
	pthread_mutex_unlock(&world_lock);
}

void worker_restart(struct worker *worker)
{
	struct http_server *old = worker->server;

	http_server_stop(old);
	pthread_mutex_lock(&world_lock);
	begin_life(worker);
	world_note("%s: starts again under its id, and knows nothing",
		   worker->id);
	pthread_mutex_unlock(&world_lock);
	write_entry(worker);
}

void worker_carry_out_kept(struct worker *worker)
{
	json_t *body;
	const char *reason;

	pthread_mutex_lock(&world_lock);
	body = json_loads(worker->kept_start ? worker->kept_start : "{}", 0,
			  NULL);
	reason = worker->kept_start ? try_start(worker, body, true)
				    : "none kept";
	world_note("%s: the order without an answer is carried out now: %s",
		   worker->id, reason ? reason : "started");
	pthread_mutex_unlock(&world_lock);
	json_decref(body);
}

bool worker_fail_task(const char *task)
{
	struct worker *worker = worker_running(task);

	if (!worker)
		return false;
	pthread_mutex_lock(&world_lock);
	if (find_run(worker, task) >= 0)
		end_run(worker, find_run(worker, task), "failed");
	pthread_mutex_unlock(&world_lock);
	return true;
}

struct worker *worker_running(const char *task)
{
	struct worker *found = NULL;

	pthread_mutex_lock(&world_lock);
	for (int i = 0; i < worker_count && !found; i++) {
		if (find_run(&workers[i], task) >= 0)
			found = &workers[i];
	}
	pthread_mutex_unlock(&world_lock);
	return found;
}

int task_runs_now(const char *task)
{
	int count = 0;

	pthread_mutex_lock(&world_lock);
	for (int i = 0; i < worker_count; i++)
		count += find_run(&workers[i], task) >= 0;
	pthread_mutex_unlock(&world_lock);
	return count;
}

static void advise(void *self, const struct http_request *request,
		   struct http_reply *reply)
{
	json_t *body = json_loadb(request->body, request->body_bytes, 0, NULL);
	const char *step = json_string_value(json_object_get(body, "step"));
	const json_t *named = json_object_get(body, "workers");
	json_t *allowed = json_array();
	const json_t *id;
	size_t i;

	(void)self;
	json_array_foreach((json_t *)named, i, id)
	{
		char ticket[128];

		format_ticket(step, json_string_value(id), ticket,
			      sizeof(ticket));
		json_array_append_new(
			allowed,
			json_pack("[s, s]", json_string_value(id), ticket));
	}
	world_note("recommendation: asked about step %s", step);
	world_sleep_ms(ADVICE_DECISION_MS +
		       ADVICE_PERIOD_MS * (int64_t)json_array_size(named));
	set_json(reply, 200,
		 json_pack("{s:o, s:i}", "allowed", allowed, "valid_ms",
			   ADVICE_VALID_MS));
	json_decref(body);
}

int advice_open(void)
{
	needs_tickets = true;
	return http_server_port(http_server_new(0, advise, NULL));
}

int fleet_open(int count)
{
	pthread_t thread;

	worker_count = count;
	for (int i = 0; i < count; i++) {
		struct worker *worker = &workers[i];

		snprintf(worker->id, sizeof(worker->id), "i-%08x",
			 0x7f3a9100 + i);
		snprintf(worker->machine, sizeof(worker->machine), "m-%05x",
			 0x0a3f0 + i);
		begin_life(worker);
	}
	pthread_create(&thread, NULL, run_ticks, NULL);
	pthread_detach(thread);
	return http_server_port(http_server_new(0, list_machines, NULL));
}
