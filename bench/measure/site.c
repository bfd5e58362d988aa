#include "measure/site.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

#include "codec/decl_yaml.h"

#define STEP_US (10 * USEC_PER_MSEC)
#define LIST_US (5 * USEC_PER_SEC)
#define REBOOT_US (180 * USEC_PER_SEC)
/* Starts after 04:00, the end of the ledger's `gentle` window in Mreja. */
#define START_HOURS 6
/* Time for joins, configuration and the first lease claim. */
#define SETTLE_US (20 * USEC_PER_SEC)

static const char *const policy_kinds[] = { "moves", "waves", "admission",
					    "choice", "retry" };

static struct decl *read_declarations(const char *file)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct decl *decl = NULL;
	gchar *text = NULL;
	gsize size_bytes = 0;

	if (g_file_get_contents(file, &text, &size_bytes, NULL))
		decl = decl_parse("site", text, size_bytes, true, errors);
	else
		fprintf(stderr, "bench-measure: can't read %s\n", file);
	for (guint i = 0; i < errors->len; i++)
		fprintf(stderr, "%s\n", (char *)errors->pdata[i]);
	g_ptr_array_unref(errors);
	g_free(text);
	return decl;
}

static const char *spare_pool(const struct decl *decl)
{
	for (guint i = 0; i < decl->pools->len; i++) {
		const struct decl_pool *pool = decl->pools->pdata[i];

		if (pool->spare)
			return pool->name;
	}
	return "";
}

/* Reduces the spare pool to spare_count instances, and limits lending. */
static void limit_spare_and_lending(struct decl *decl, enum lending lending,
				    uint32_t spare_count)
{
	const char *spare = spare_pool(decl);
	uint32_t kept_count = 0;

	for (guint i = 0; i < decl->instances->len;) {
		const struct decl_instance *instance =
			decl->instances->pdata[i];

		if (strcmp(instance->pool, spare) != 0 ||
		    kept_count++ < spare_count)
			i++;
		else
			g_ptr_array_remove_index(decl->instances, i);
	}
	for (guint i = 0; i < decl->pools->len; i++) {
		struct decl_pool *pool = decl->pools->pdata[i];

		pool->lend = pool->lend &&
			     (lending == LENDING_DECLARED ||
			      (lending == LENDING_SPARE && pool->spare));
		if (!pool->spare)
			continue;
		pool->min_available_count = 0;
		pool->max_unavailable_count =
			MIN(pool->max_unavailable_count,
			    spare_count ? spare_count - 1 : 0);
	}
}

static uint32_t queue_index(struct site *site, const char *pool)
{
	for (guint i = 0; i < site->queues->len; i++) {
		if (!strcmp(site->queues->pdata[i], pool))
			return i;
	}
	g_ptr_array_add(site->queues, (gpointer)pool);
	return site->queues->len - 1;
}

static double urgency_weight(const struct decl_service *service)
{
	static const double weights[URGENCY_COUNT] = {
		[URGENCY_URGENT] = 6,
		[URGENCY_NORMAL] = 1,
		[URGENCY_BACKGROUND] = 3,
	};

	return weights[service->urgency];
}

static void make_streams(struct site *site)
{
	double sums[64] = { 0 };

	for (guint i = 0; i < site->decl->services->len; i++) {
		struct stream *stream = g_new0(struct stream, 1);

		stream->service = site->decl->services->pdata[i];
		stream->queue = queue_index(site, stream->service->pool);
		stream->share = urgency_weight(stream->service);
		sums[stream->queue] += stream->share;
		g_ptr_array_add(site->streams, stream);
	}
	for (guint i = 0; i < site->streams->len; i++) {
		struct stream *stream = site->streams->pdata[i];

		stream->share /= sums[stream->queue];
	}
}

static void count_reply(struct site *site, const struct node *node,
			const struct event_request *reply)
{
	const struct request *request =
		request_get(kernel_requests(node->kernel), reply->request_id);

	if (!request || request->relayed || reply->status != 200 ||
	    request->arrived_us <= site->tally_from_us)
		return;
	for (guint i = 0; i < site->streams->len; i++) {
		struct stream *stream = site->streams->pdata[i];

		if (strcmp(stream->service->path, request->path) != 0)
			continue;
		stream->tally.in_time_count +=
			kernel_now_us(node->kernel) - request->arrived_us <=
			stream->service->deadline_us;
		return;
	}
}

static void count_change(struct site *site, const struct event *event)
{
	if (!event->record.accepted)
		return;
	site->move_count += event->record.record->kind == RECORD_MOVE_START;
	if (event->record.record->kind != RECORD_MAINT_DONE)
		return;
	site->done_count++;
	site->failed_count += event->record.record->instance.failed;
}

struct observer {
	struct site *site;
	struct node *node;
};

static void observer_handle(void *self, const struct event *event)
{
	struct observer *observer = self;

	if (event->type == EVENT_REQUEST_REPLY)
		count_reply(observer->site, observer->node, &event->request);
	else if (observer->node == observer->site->world->nodes->pdata[0])
		count_change(observer->site, event);
}

static const struct plugin observer_plugin = {
	.name = "measure",
	.kind = PLUGIN_FRONT,
	.subscriptions =
		EVENT_BIT(EVENT_REQUEST_REPLY) | EVENT_BIT(EVENT_FLEET_CHANGED),
	.handle = observer_handle,
	.fini = g_free,
};

static void start_entry(struct site *site, const struct variant *variant,
			uint32_t index, const char *dc)
{
	const char *const policies[] = { variant->moves, variant->waves,
					 variant->admission, variant->choice,
					 variant->retry };
	char name[NAME_SIZE_BYTES];
	struct observer *observer = g_new0(struct observer, 1);
	struct node *node;

	g_snprintf(name, sizeof(name), "e%u", index + 1);
	node = world_add_node(site->world, name, dc);
	for (uint32_t i = 0; i < G_N_ELEMENTS(policy_kinds); i++) {
		if (policies[i])
			g_hash_table_insert(node->settings->plugin_names,
					    g_strdup(policy_kinds[i]),
					    g_strdup(policies[i]));
	}
	world_start_node(site->world, name, dc);
	observer->site = site;
	observer->node = node;
	kernel_start_plugin_with(node->kernel, &observer_plugin, observer);
}

static GPtrArray *data_centres(const struct decl *decl)
{
	GPtrArray *dcs = g_ptr_array_new();

	for (guint i = 0; i < decl->instances->len; i++) {
		const struct decl_instance *instance =
			decl->instances->pdata[i];

		if (!g_ptr_array_find_with_equal_func(dcs, instance->dc,
						      g_str_equal, NULL))
			g_ptr_array_add(dcs, (gpointer)instance->dc);
	}
	return dcs;
}

static void propose(struct site *site, const char *file, struct decl *decl)
{
	struct event event = { .type = EVENT_PROPOSE };

	event.record.record = record_new(RECORD_CONFIG_PUT);
	name_copy(event.record.record->config.file, NAME_SIZE_BYTES, file);
	event.record.record->config.decl = decl_ref(decl);
	world_inject(site->world, site->world->nodes->pdata[0], &event);
}

static void send_list(struct site *site)
{
	struct world *world = site->world;
	GArray *items =
		g_array_new(FALSE, TRUE, sizeof(struct instance_list_item));
	struct instance_list_item item = { .state = LIST_LIVE };

	for (guint i = 0; i < site->decl->instances->len; i++) {
		const struct decl_instance *instance =
			site->decl->instances->pdata[i];
		const struct endpoint *endpoint =
			world_endpoint(world, instance->name);

		if (endpoint->rebooted_us &&
		    world->now_us < endpoint->rebooted_us + REBOOT_US)
			continue;
		name_copy(item.name, NAME_SIZE_BYTES, instance->name);
		g_array_append_val(items, item);
	}
	for (guint i = 0; i < world->nodes->len; i++) {
		const struct node *node = world->nodes->pdata[i];

		name_copy(item.name, NAME_SIZE_BYTES, node->name);
		g_array_append_val(items, item);
	}
	for (guint i = 0; i < world->nodes->len; i++) {
		struct event event = { .type = EVENT_INSTANCE_LIST };

		event.list.items = g_array_copy(items);
		world_inject(world, world->nodes->pdata[i], &event);
	}
	g_array_unref(items);
	site->last_list_us = world->now_us;
}

static void advance(struct site *site, int64_t until_us)
{
	while (site->world->now_us < until_us) {
		world_run_until(site->world,
				MIN(until_us, site->last_list_us + LIST_US));
		if (site->world->now_us >= site->last_list_us + LIST_US)
			send_list(site);
	}
}

struct site *site_new(const struct deployment *deployment,
		      const struct variant *variant, uint32_t spare_count,
		      uint32_t seed)
{
	struct decl *decl = read_declarations(deployment->file);
	GPtrArray *dcs;
	struct site *site;
	gsl_rng *random;

	if (!decl)
		return NULL;
	limit_spare_and_lending(decl, variant->lending, spare_count);
	site = g_new0(struct site, 1);
	site->decl = decl;
	site->queues = g_ptr_array_new();
	site->streams = g_ptr_array_new_with_free_func(g_free);
	random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(random, seed);
	site->random = random;
	site->world = world_new(seed);
	site->world->quiet = true;
	site->world->service_us = SERVICE_US;
	site->world->wall_start_us +=
		(int64_t)START_HOURS * 3600 * USEC_PER_SEC;
	make_streams(site);
	dcs = data_centres(decl);
	for (uint32_t i = 0; i < deployment->entry_count; i++)
		start_entry(site, variant, i, dcs->pdata[i % dcs->len]);
	g_ptr_array_unref(dcs);
	advance(site, USEC_PER_SEC);
	propose(site, "site", decl);
	advance(site, SETTLE_US);
	/* A new planner waits for the longest timeout before it commits. */
	advance(site,
		SETTLE_US +
			fleet_longest_timeout_us(kernel_fleet(
				((struct node *)site->world->nodes->pdata[0])
					->kernel)));
	return site;
}

void site_free(struct site *site)
{
	gsl_rng_free(site->random);
	world_free(site->world);
	g_ptr_array_unref(site->streams);
	g_ptr_array_unref(site->queues);
	decl_unref(site->decl);
	g_free(site);
}

double site_capacity(const struct site *site, uint32_t queue)
{
	uint32_t slot_count = 0;

	for (guint i = 0; i < site->decl->instances->len; i++) {
		const struct decl_instance *instance =
			site->decl->instances->pdata[i];

		if (!strcmp(instance->pool, site->queues->pdata[queue]))
			slot_count += instance->slot_count;
	}
	return (double)slot_count * USEC_PER_SEC / SERVICE_US;
}

/* Sends to a random entry instance, as the platform's load balancer does. */
static void send_request(struct site *site, struct stream *stream)
{
	struct world *world = site->world;
	struct node *node = world->nodes->pdata[gsl_rng_uniform_int(
		site->random, world->nodes->len)];
	struct request *request = request_add(kernel_requests(node->kernel));
	struct event event = { .type = EVENT_REQUEST_NEW };

	name_copy(request->method, sizeof(request->method), "POST");
	request->path = g_strdup(stream->service->path);
	/* The clock of a node that has not run yet may be behind. */
	request->arrived_us = world->now_us + 1;
	if (!stream->service->idempotent)
		g_snprintf(request->key, sizeof(request->key),
			   "%" G_GINT64_FORMAT "-%s-%" G_GUINT64_FORMAT,
			   (world->wall_start_us + world->now_us) /
				   USEC_PER_MSEC,
			   stream->service->name, stream->tally.sent_count);
	stream->tally.sent_count++;
	event.request.request_id = request->id;
	world_inject(world, node, &event);
}

void site_run(struct site *site, const double *stream_rates,
	      int64_t duration_us)
{
	int64_t end_us = site->world->now_us + duration_us;

	while (site->world->now_us < end_us) {
		advance(site, site->world->now_us + STEP_US);
		for (guint i = 0; i < site->streams->len; i++) {
			uint32_t count = gsl_ran_poisson(
				site->random,
				stream_rates[i] * STEP_US / USEC_PER_SEC);

			while (count--)
				send_request(site, site->streams->pdata[i]);
		}
	}
}

void site_start_wave(struct site *site, uint32_t parallel_count)
{
	struct decl *decl = decl_new("wave");
	struct decl_wave *wave = g_new0(struct decl_wave, 1);

	name_copy(wave->name, NAME_SIZE_BYTES, "wave");
	wave->parallel_count = parallel_count;
	wave->pools = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < site->decl->pools->len; i++) {
		const struct decl_pool *pool = site->decl->pools->pdata[i];

		g_ptr_array_add(wave->pools, g_strdup(pool->name));
	}
	g_ptr_array_add(decl->waves, wave);
	propose(site, "wave", decl);
	decl_unref(decl);
}

uint32_t site_instance_count(const struct site *site)
{
	return site->decl->instances->len;
}

void site_reset_tallies(struct site *site)
{
	/* Excludes replies to requests that were sent before. */
	site->tally_from_us = site->world->now_us + 1;
	for (guint i = 0; i < site->streams->len; i++)
		((struct stream *)site->streams->pdata[i])->tally =
			(struct tally){ 0 };
}
