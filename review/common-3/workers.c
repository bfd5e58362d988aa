/*
 * The workers and the list of their machines. The text of a job tells a worker
 * what its items do: "ms=N" is how long one works (0: it lasts), "fails" that
 * each run fails, "cpu=N" what it takes, "gang=N" that N of them work together.
 */

#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 5
#define BEAT_MS 1500
#define STOP_TAKES_MS 50
#define START_TAKES_MS 300
#define ENDS_LISTED 500
#define WORKERS_PER_RACK 4
/* Last part of the address of the first worker. */
#define WORKER_IP_NUMBER 101
/* Lines on single runs; a large job has thousands. */
#define RUN_LINES_MAX_COUNT 1500

struct worker workers[32];
unsigned worker_count;

void (*on_run_began)(struct worker *worker, const struct run *run);
void (*on_run_ended)(struct worker *worker, const struct end *end);
void (*on_end_taken)(struct worker *worker, const struct end *end);

/* A run of a gang; its members are those of one step. */
struct gang {
	char step[64];
	unsigned run;
	unsigned present;
	unsigned size;
	int64_t began_ms; /* all members were present; 0: not yet */
	const char *how;  /* it has ended; NULL: it hasn't */
	struct gang *next;
};

static struct gang *gangs;

/* Whether record.txt takes another line on a single run. */
static bool run_line(void)
{
	static unsigned count;

	if (count++ == RUN_LINES_MAX_COUNT)
		record("further runs are not listed one by one");
	return count <= RUN_LINES_MAX_COUNT;
}

static int64_t clock_ms(const struct worker *worker)
{
	return world_ms() - worker->clock_start_ms;
}

static struct run *find_run(struct worker *worker, const char *item)
{
	for (unsigned i = 0; i < worker->run_count; i++) {
		if (!strcmp(worker->runs[i].item, item))
			return &worker->runs[i];
	}
	return NULL;
}

unsigned runs_of_item(const char *item)
{
	unsigned count = 0;

	for (unsigned i = 0; i < worker_count; i++)
		count += workers[i].up && find_run(&workers[i], item);
	return count;
}

static struct gang *gang_get(const struct run *run, unsigned size)
{
	size_t length = (size_t)(strrchr(run->item, '.') - run->item);
	struct gang *gang;

	for (gang = gangs; gang; gang = gang->next) {
		if (gang->run == run->run && strlen(gang->step) == length &&
		    !strncmp(gang->step, run->item, length))
			return gang;
	}
	gang = calloc(1, sizeof(*gang));
	memcpy(gang->step, run->item, length);
	gang->run = run->run;
	gang->size = size;
	gang->next = gangs;
	gangs = gang;
	return gang;
}

/* When the run of a gang's member ends, and how; 0: not yet. */
static int64_t gang_member_ends_ms(const struct run *run, const char **how)
{
	const struct gang *gang = run->gang;

	*how = gang->how ? gang->how : gang->began_ms ? "done" : "alone";
	if (gang->how)
		return 1;
	return gang->began_ms ? gang->began_ms + run->takes_ms
			      : run->began_ms + GANG_TIMEOUT_MS;
}

static void gang_note_end(const struct run *run, const char *how)
{
	struct gang *gang = run->gang;

	gang->present--;
	if (!gang->how && strcmp(how, "alone") != 0)
		gang->how = !strcmp(how, "done") ? "done" : "broken";
}

static void gang_note_start(struct run *run, unsigned size)
{
	run->gang = gang_get(run, size);
	if (++run->gang->present == size && !run->gang->how) {
		run->gang->began_ms = world_ms();
		record("gang %s run %u begins, %u members", run->gang->step,
		       run->run, size);
	}
}

static unsigned highest_run(const struct worker *worker, const char *item)
{
	return (unsigned)json_integer_value(
		json_object_get(worker->highest, item));
}

static void note_highest(struct worker *worker, const char *item, unsigned run)
{
	if (run > highest_run(worker, item))
		json_object_set_new(worker->highest, item, json_integer(run));
}

static void end_run(struct worker *worker, struct run *run, const char *how)
{
	struct end *end = &worker->ends[worker->end_count++];

	if (worker->end_count == sizeof(worker->ends) / sizeof(*end))
		abort();
	snprintf(end->item, sizeof(end->item), "%s", run->item);
	end->run = run->run;
	end->how = how;
	end->number = ++worker->next_end;
	note_highest(worker, run->item, run->run);
	if (run->gang)
		gang_note_end(run, how);
	if (run_line())
		record("%s: %s run %u ends %s (%llu)", worker->id, end->item,
		       end->run, how, (unsigned long long)end->number);
	*run = worker->runs[--worker->run_count];
	if (on_run_ended)
		on_run_ended(worker, end);
}

static void tick(struct worker *worker)
{
	int64_t now_ms = world_ms();

	for (unsigned i = worker->run_count; worker->up && i > 0; i--) {
		struct run *run = &worker->runs[i - 1];
		const char *how = run->fails ? "failed" : "done";
		int64_t ends_ms = run->gang ? gang_member_ends_ms(run, &how)
					    : run->ends_ms;

		if (clock_ms(worker) >= worker->lease_end_ms)
			end_run(worker, run, "lapsed");
		else if (run->stopped_ms &&
			 now_ms >= run->stopped_ms + STOP_TAKES_MS)
			end_run(worker, run, "stopped");
		else if (ends_ms && now_ms >= ends_ms)
			end_run(worker, run, how);
	}
}

static void write_entry(struct worker *worker)
{
	json_t *entry = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:s,"
		"s:I,s:I}",
		"service", worker->service, "address", "", "zone", "bog-a",
		"version", "v1", "slots", 8, "state",
		worker->draining ? "draining" : "ready", "cold_remaining_ms", 0,
		"capacity", "cpu", (int)worker->cpu, "mem_mb", 65536, "gpu", 0,
		"labels", worker->kind, worker->rack, "machine",
		worker->machine, "born", (json_int_t)worker->born_ms, "seq",
		(json_int_t)++worker->seq);
	char address[64];
	char *text;

	snprintf(address, sizeof(address), "%s:%u", worker->ip, worker->port);
	json_object_set_new(entry, "address", json_string(address));
	text = json_dumps(entry, JSON_COMPACT);
	store_put("keyed.servers", worker->id, text);
	free(text);
	json_decref(entry);
	worker->listed = true;
}

static void *run_workers(void *data)
{
	int64_t next_beat_ms = 0;

	(void)data;
	for (;;) {
		pthread_mutex_lock(&world_lock);
		for (unsigned i = 0; i < worker_count; i++)
			tick(&workers[i]);
		if (world_ms() >= next_beat_ms) {
			next_beat_ms = world_ms() + BEAT_MS;
			for (unsigned i = 0; i < worker_count; i++) {
				if (workers[i].up)
					write_entry(&workers[i]);
			}
		}
		pthread_mutex_unlock(&world_lock);
		sleep_ms(TICK_MS);
	}
	return NULL;
}

static void extend_lease(struct worker *worker, const json_t *body)
{
	json_int_t until_ms =
		json_integer_value(json_object_get(body, "deadline_ms"));
	int64_t most_ms = clock_ms(worker) + LEASE_MAX_MS;

	if (until_ms > most_ms)
		until_ms = most_ms;
	if (until_ms > worker->lease_end_ms)
		worker->lease_end_ms = until_ms;
}

static json_t *reply_base(const struct worker *worker)
{
	return json_pack("{s:I,s:I}", "clock_ms", (json_int_t)clock_ms(worker),
			 "born", (json_int_t)worker->born_ms);
}

static void refuse(struct worker *worker, struct response *response,
		   const char *reason)
{
	json_t *json = reply_base(worker);

	json_object_set_new(json, "reason", json_string(reason));
	response_json(response, 409, json);
}

static unsigned number_in(const char *text, const char *name)
{
	const char *at = strstr(text, name);

	return at ? (unsigned)strtoul(at + strlen(name), NULL, 10) : 0;
}

static unsigned used_cpu(const struct worker *worker)
{
	unsigned used = 0;

	for (unsigned i = 0; i < worker->run_count; i++)
		used += worker->runs[i].cpu;
	return used;
}

static void order_start(struct worker *worker, const json_t *body,
			struct response *response)
{
	const char *item = json_string_value(json_object_get(body, "task"));
	const char *spec = json_string_value(json_object_get(body, "spec"));
	unsigned number = (unsigned)json_integer_value(
		json_object_get(body, "run_number"));
	json_int_t until_ms =
		json_integer_value(json_object_get(body, "deadline_ms"));
	const struct run *old = find_run(worker, item);
	unsigned cpu = number_in(spec, "cpu=");
	unsigned takes_ms = number_in(spec, "ms=");
	struct run *run;

	if (old && old->run == number) {
		response_json(response, 200, reply_base(worker));
		return;
	}
	if (until_ms <= clock_ms(worker)) {
		refuse(worker, response, "late");
		return;
	}
	extend_lease(worker, body);
	if (old || number <= highest_run(worker, item)) {
		refuse(worker, response, "old");
		return;
	}
	if (used_cpu(worker) + cpu > worker->cpu) {
		refuse(worker, response, "room");
		return;
	}
	if (worker->run_count == RUNS_MAX_COUNT)
		abort();
	run = &worker->runs[worker->run_count++];
	memset(run, 0, sizeof(*run));
	snprintf(run->item, sizeof(run->item), "%s", item);
	run->run = number;
	run->cpu = cpu;
	run->began_ms = world_ms();
	run->ends_ms = takes_ms ? run->began_ms + takes_ms : 0;
	run->takes_ms = takes_ms;
	run->fails = strstr(spec, "fails") != NULL;
	if (number_in(spec, "gang="))
		gang_note_start(run, number_in(spec, "gang="));
	if (run_line())
		record("%s: %s run %u begins, fence %llu", worker->id, item,
		       number, (unsigned long long)worker->fence);
	if (on_run_began)
		on_run_began(worker, run);
	response_json(response, 200, reply_base(worker));
}

static void order_stop(struct worker *worker, const json_t *body,
		       struct response *response)
{
	const char *item = json_string_value(json_object_get(body, "task"));
	unsigned number = (unsigned)json_integer_value(
		json_object_get(body, "run_number"));
	struct run *run = find_run(worker, item);

	note_highest(worker, item, number);
	if (run && run->run <= number && !run->stopped_ms) {
		run->stopped_ms = world_ms();
		if (run_line())
			record("%s: %s run %u is told to stop", worker->id,
			       item, run->run);
	}
	response_json(response, 200, reply_base(worker));
}

static void forget_ends(struct worker *worker, uint64_t through)
{
	unsigned kept = 0;

	if (through > worker->next_end)
		through = worker->next_end;
	for (unsigned i = 0; i < worker->end_count; i++) {
		if (worker->ends[i].number > through) {
			worker->ends[kept++] = worker->ends[i];
			continue;
		}
		if (run_line())
			record("%s: the end of %s run %u (%s) is taken note of",
			       worker->id, worker->ends[i].item,
			       worker->ends[i].run, worker->ends[i].how);
		if (on_end_taken)
			on_end_taken(worker, &worker->ends[i]);
	}
	worker->end_count = kept;
	if (through > worker->acked)
		worker->acked = through;
}

static unsigned percent(const struct run *run)
{
	int64_t age_ms = world_ms() - run->began_ms;

	if (run->gang)
		return run->gang->began_ms ? 50 : 0;
	if (!run->ends_ms)
		return age_ms > START_TAKES_MS ? 100 : 0;
	return (unsigned)(100 * age_ms / (run->ends_ms - run->began_ms + 1));
}

static void reply_lists(struct worker *worker, struct response *response)
{
	json_t *running = json_array();
	json_t *finished = json_array();
	json_t *json = reply_base(worker);

	for (unsigned i = 0; i < worker->run_count; i++)
		json_array_append_new(
			running, json_pack("[s,i,s,i,i]", worker->runs[i].item,
					   (int)worker->runs[i].run, "",
					   (int)percent(&worker->runs[i]),
					   (int)worker->runs[i].cpu));
	for (unsigned i = 0; i < worker->end_count && i < ENDS_LISTED; i++) {
		worker->reported = worker->ends[i].number;
		json_array_append_new(
			finished, json_pack("[I,s,i,s,s]",
					    (json_int_t)worker->ends[i].number,
					    worker->ends[i].item,
					    (int)worker->ends[i].run,
					    worker->ends[i].how, ""));
	}
	json_object_set_new(json, "running", running);
	json_object_set_new(json, "finished", finished);
	response_json(response, 200, json);
}

static void order_hold(struct worker *worker, const json_t *body,
		       struct response *response, bool waits)
{
	int64_t born_ms = worker->born_ms;
	int64_t until_ms = world_ms() +
			   json_integer_value(json_object_get(body, "wait_ms"));

	extend_lease(worker, body);
	forget_ends(worker, (uint64_t)json_integer_value(
				    json_object_get(body, "acked_through")));
	worker->waiting_holds++;
	while (waits && !worker->end_count && world_ms() < until_ms) {
		pthread_mutex_unlock(&world_lock);
		sleep_ms(TICK_MS);
		pthread_mutex_lock(&world_lock);
		if (!worker->up || worker->born_ms != born_ms) {
			response->silent = true;
			return;
		}
	}
	worker->waiting_holds--;
	reply_lists(worker, response);
}

static void carry_out(struct worker *worker, const char *path,
		      const json_t *body, struct response *response, bool waits)
{
	uint64_t fence = (uint64_t)json_integer_value(
		json_object_get(body, "fence_token"));

	if (fence < worker->fence) {
		refuse(worker, response, "fence");
		return;
	}
	worker->fence = fence;
	if (!strcmp(path, "/api/run-start"))
		order_start(worker, body, response);
	else if (!strcmp(path, "/api/run-stop"))
		order_stop(worker, body, response);
	else if (!strcmp(path, "/api/hold"))
		order_hold(worker, body, response, waits);
	else
		response_json(response, 200, reply_base(worker));
}

static void keep_late(struct worker *worker, const char *path, json_t *body)
{
	struct late_order *late;

	if (worker->late_count == 64)
		abort();
	late = &worker->late[worker->late_count++];
	snprintf(late->path, sizeof(late->path), "%s", path);
	late->body = json_incref(body);
}

unsigned worker_run_late(struct worker *worker)
{
	unsigned count = worker->late_count;

	for (unsigned i = 0; i < count; i++) {
		struct response response = { .status = 0 };

		record("%s: carries out an order late: %s", worker->id,
		       worker->late[i].path);
		carry_out(worker, worker->late[i].path, worker->late[i].body,
			  &response, false);
		free(response.body);
		json_decref(worker->late[i].body);
	}
	worker->late_count = 0;
	return count;
}

static void handle_order(void *self, const struct request *request,
			 struct response *response)
{
	struct worker *worker = self;
	json_t *body = json_loadb(request->body, request->size, 0, NULL);
	enum treatment treatment = TREAT_NORMALLY;

	pthread_mutex_lock(&world_lock);
	if (!worker->up) {
		response->silent = true;
	} else if (!body) {
		response->status = 400;
	} else if (strcmp(request->expected, worker->id) != 0) {
		response_json(response, 421, json_object());
	} else {
		if (worker->treat)
			treatment = worker->treat(worker, request->path, body);
		if (treatment == TREAT_NORMALLY)
			carry_out(worker, request->path, body, response, true);
		else
			response->silent = true;
		if (treatment == TREAT_LATE)
			keep_late(worker, request->path, body);
	}
	pthread_mutex_unlock(&world_lock);
	json_decref(body);
}

struct worker *worker_add(const char *id, const char *service, unsigned cpu)
{
	struct worker *worker;
	pthread_t thread;

	pthread_mutex_lock(&world_lock);
	worker = &workers[worker_count];
	snprintf(worker->id, sizeof(worker->id), "%s", id);
	snprintf(worker->machine, sizeof(worker->machine), "m-%s", id);
	snprintf(worker->service, sizeof(worker->service), "%s", service);
	world_ip(worker->ip, sizeof(worker->ip),
		 WORKER_IP_NUMBER + worker_count);
	snprintf(worker->rack, sizeof(worker->rack), "r1-%u",
		 worker_count / WORKERS_PER_RACK + 1);
	snprintf(worker->kind, sizeof(worker->kind), "a");
	worker->cpu = cpu;
	worker->highest = json_object();
	worker->clock_start_ms = world_ms();
	worker->born_ms = wall_ms();
	worker->up = true;
	worker->port = server_start(worker->ip, handle_order, worker);
	write_entry(worker);
	if (!worker_count++)
		pthread_create(&thread, NULL, run_workers, NULL);
	pthread_mutex_unlock(&world_lock);
	return worker;
}

void worker_power_off(struct worker *worker)
{
	record("%s: loses power, %u runs", worker->id, worker->run_count);
	for (unsigned i = 0; i < worker->run_count; i++) {
		if (worker->runs[i].gang)
			gang_note_end(&worker->runs[i], "broken");
	}
	worker->up = false;
	worker->run_count = 0;
	worker->end_count = 0;
	worker->waiting_holds = 0;
}

void worker_power_on(struct worker *worker)
{
	worker->next_end = 0;
	worker->acked = 0;
	worker->reported = 0;
	worker->seq = 0;
	worker->fence = 0;
	worker->lease_end_ms = 0;
	worker->clock_start_ms = world_ms();
	worker->born_ms = wall_ms();
	json_object_clear(worker->highest);
	worker->up = true;
	record("%s: starts again under its id", worker->id);
	write_entry(worker);
}

static json_t *machine_row(const struct worker *worker)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:i,s:i,s:i},s:s}",
			 "machine", worker->machine, "pool", worker->service,
			 "state", worker->up ? "up" : "down", "zone", "bog-a",
			 "labels", worker->kind, worker->rack, "capacity",
			 "cpu", (int)worker->cpu, "mem_mb", 65536, "gpu", 0,
			 "id", worker->up ? worker->id : "");
}

static void handle_cloud(void *self, const struct request *request,
			 struct response *response)
{
	json_t *rows = json_array();

	(void)self;
	if (strcmp(request->path, "/api/machines") != 0) {
		json_decref(rows);
		response_json(response, 409,
			      json_pack("{s:s}", "reason", "busy"));
		return;
	}
	pthread_mutex_lock(&world_lock);
	for (unsigned i = 0; i < worker_count; i++)
		json_array_append_new(rows, machine_row(&workers[i]));
	pthread_mutex_unlock(&world_lock);
	response_json(response, 200,
		      json_pack("{s:o,s:n}", "machines", rows, "next_token"));
}

uint16_t cloud_start(const char *ip)
{
	return server_start(ip, handle_cloud, NULL);
}
