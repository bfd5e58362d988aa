/*
 * Measures the processor time that the holder of the planner lease uses per
 * second, at two sizes of the fleet in one run, and prints the ratio.
 */

#include <stdio.h>
#include <string.h>
#include <time.h>

#include "kernel/kernel.h"

#define TICKS_COUNT 300 /* of 1 s */
#define JOBS_PER_INSTANCE_COUNT 2
#define SERVICES_PER_POOL_COUNT 3

struct size {
	const char *name;
	uint32_t instance_count;
	uint32_t pool_count;
};

static const struct size sizes[] = {
	{ "today", 48, 9 },
	{ "design", 780, 185 },
};

struct bench {
	struct settings *settings;
	struct kernel *kernel;
	GPtrArray *names; /* of char *: instances */
	uint64_t offset;
	int64_t now_us;
};

/* Stands in for the proposer and the log. */
static void sink_handle(void *self, const struct event *event)
{
	struct bench *bench = self;
	struct record *record = event->record.record;
	struct event read = { .type = EVENT_LOG_RECORD };

	name_copy(record->id.entry, NAME_SIZE_BYTES, bench->settings->entry);
	record->id.incarnation = 1;
	record->id.sequence = ++bench->offset;
	record->wall_us = bench->now_us;
	read.record.offset = bench->offset;
	read.record.record = record_ref(record);
	kernel_emit(bench->kernel, &read);
}

static const struct plugin sink_plugin = {
	.name = "sink",
	.kind = PLUGIN_FRONT,
	.subscriptions = EVENT_BIT(EVENT_PROPOSE),
	.handle = sink_handle,
};

static void propose(struct bench *bench, struct record *record)
{
	struct event event = { .type = EVENT_PROPOSE };

	event.record.record = record;
	kernel_emit(bench->kernel, &event);
}

static struct decl_instance *make_instance(const struct size *size, uint32_t i)
{
	struct decl_instance *instance = g_new0(struct decl_instance, 1);

	g_snprintf(instance->name, NAME_SIZE_BYTES, "i%u", i);
	g_snprintf(instance->address, ADDRESS_SIZE_BYTES, "10.%u.%u.1:80",
		   i / 200, i % 200);
	name_copy(instance->dc, NAME_SIZE_BYTES, "dc1");
	g_snprintf(instance->rack, NAME_SIZE_BYTES, "r%u", i / 4);
	g_snprintf(instance->pool, NAME_SIZE_BYTES, "p%u",
		   i % size->pool_count);
	instance->slot_count = 8;
	return instance;
}

static void add_pool(struct decl *decl, struct decl_wave *wave, uint32_t i)
{
	struct decl_pool *pool = g_new0(struct decl_pool, 1);

	g_snprintf(pool->name, NAME_SIZE_BYTES, "p%u", i);
	pool->max_unavailable_count = 1;
	pool->min_available_count = -1;
	pool->spare = !i;
	g_ptr_array_add(decl->pools, pool);
	g_ptr_array_add(wave->pools, g_strdup(pool->name));
	for (uint32_t k = 0; k < SERVICES_PER_POOL_COUNT; k++) {
		struct decl_service *service = g_new0(struct decl_service, 1);

		g_snprintf(service->name, NAME_SIZE_BYTES, "s%u-%u", i, k);
		g_snprintf(service->path, NAME_SIZE_BYTES, "/s%u/%u", i, k);
		name_copy(service->member, NAME_SIZE_BYTES, "m");
		name_copy(service->pool, NAME_SIZE_BYTES, pool->name);
		service->timeout_us = service->deadline_us = USEC_PER_SEC;
		service->gentle_from_min = -1;
		g_ptr_array_add(decl->services, service);
	}
}

static void declare(struct bench *bench, const struct size *size)
{
	struct decl *decl = decl_new("site");
	struct decl_member *member = g_new0(struct decl_member, 1);
	struct decl_wave *wave = g_new0(struct decl_wave, 1);
	struct record *record = record_new(RECORD_CONFIG_PUT);

	name_copy(member->name, NAME_SIZE_BYTES, "m");
	member->weight = 1;
	g_ptr_array_add(decl->members, member);
	name_copy(wave->name, NAME_SIZE_BYTES, "wave");
	wave->parallel_count = 4;
	wave->pools = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < size->pool_count; i++)
		add_pool(decl, wave, i);
	for (uint32_t i = 0; i < size->instance_count; i++) {
		struct decl_instance *instance = make_instance(size, i);

		g_ptr_array_add(decl->instances, instance);
		g_ptr_array_add(bench->names, g_strdup(instance->name));
	}
	g_ptr_array_add(decl->waves, wave);
	name_copy(record->config.file, NAME_SIZE_BYTES, "site");
	record->config.decl = decl;
	propose(bench, record);
}

static void submit_jobs(struct bench *bench, const struct size *size)
{
	uint32_t count = size->instance_count * JOBS_PER_INSTANCE_COUNT;

	for (uint32_t i = 0; i < count; i++) {
		struct record *record = record_new(RECORD_JOB_SUBMIT);

		g_snprintf(record->job.job, NAME_SIZE_BYTES, "j%u", i);
		name_copy(record->job.member, NAME_SIZE_BYTES, "m");
		g_snprintf(record->job.pool, NAME_SIZE_BYTES, "p%u",
			   i % size->pool_count);
		record->job.declared_slots_count = 1;
		propose(bench, record);
	}
}

static void send_list(struct bench *bench)
{
	struct event event = { .type = EVENT_INSTANCE_LIST };

	event.list.items =
		g_array_new(FALSE, TRUE, sizeof(struct instance_list_item));
	for (guint i = 0; i < bench->names->len; i++) {
		struct instance_list_item item = { .state = LIST_LIVE };

		name_copy(item.name, NAME_SIZE_BYTES, bench->names->pdata[i]);
		g_array_append_val(event.list.items, item);
	}
	kernel_emit(bench->kernel, &event);
}

/* Runs the kernel at each of its wake-up times until a time. */
static void advance(struct bench *bench, int64_t until_us)
{
	while (bench->now_us < until_us) {
		bench->now_us =
			MIN(until_us, MAX(bench->now_us + 1,
					  kernel_next_wake_us(bench->kernel)));
		kernel_set_time(bench->kernel, bench->now_us, bench->now_us);
		kernel_run(bench->kernel);
	}
}

static void start(struct bench *bench, const struct size *size)
{
	static const char *const names[] = { "jobs", "planner", "replay" };
	struct event state = { .type = EVENT_LOG_STATE };
	struct record *join = record_new(RECORD_ENTRY_JOIN);

	bench->names = g_ptr_array_new_with_free_func(g_free);
	bench->settings = settings_new();
	name_copy(bench->settings->dc, NAME_SIZE_BYTES, "dc1");
	bench->kernel = kernel_new(bench->settings, 1, 1);
	bench->now_us = 1;
	kernel_set_time(bench->kernel, 1, 1);
	for (uint32_t i = 0; i < G_N_ELEMENTS(names); i++)
		kernel_start_plugin(bench->kernel,
				    plugin_find(PLUGIN_DECIDE, names[i]));
	kernel_start_plugin_with(bench->kernel, &sink_plugin, bench);
	name_copy(join->entry.name, NAME_SIZE_BYTES, bench->settings->entry);
	name_copy(join->entry.dc, NAME_SIZE_BYTES, "dc1");
	join->entry.incarnation = 1;
	propose(bench, join);
	declare(bench, size);
	submit_jobs(bench, size);
	state.log.reachable = true;
	kernel_emit(bench->kernel, &state);
	send_list(bench);
	advance(bench, 60 * USEC_PER_SEC);
}

/* Processor time per second of virtual time, in microseconds. */
static double measure(struct bench *bench)
{
	int64_t from_us = bench->now_us;
	clock_t before = clock();

	for (uint32_t i = 0; i < TICKS_COUNT; i++) {
		send_list(bench);
		advance(bench, from_us + (i + 1) * USEC_PER_SEC);
	}
	return (double)(clock() - before) * USEC_PER_SEC / CLOCKS_PER_SEC /
	       TICKS_COUNT;
}

static void stop(struct bench *bench)
{
	kernel_free(bench->kernel);
	settings_free(bench->settings);
	g_ptr_array_unref(bench->names);
}

int main(void)
{
	double costs_us[G_N_ELEMENTS(sizes)] = { 0 };

	for (uint32_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct bench bench = { 0 };
		GPtrArray *jobs;

		start(&bench, &sizes[i]);
		costs_us[i] = measure(&bench);
		jobs = fleet_jobs(kernel_fleet(bench.kernel));
		printf("%-8s %4u instances %4u pools %5u jobs: %8.1f us a "
		       "second, %.3f %% of a core\n",
		       sizes[i].name, sizes[i].instance_count,
		       sizes[i].pool_count, jobs->len, costs_us[i],
		       costs_us[i] / 1e4);
		g_ptr_array_unref(jobs);
		stop(&bench);
	}
	printf("ratio %.1f for %.1f times the instances\n",
	       costs_us[1] / costs_us[0],
	       (double)sizes[1].instance_count / sizes[0].instance_count);
	return 0;
}
