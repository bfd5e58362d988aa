/* Reads a script of timed events, one command on a line, and runs it. */

#include <stdarg.h>
#include <string.h>

#include "codec/decl_yaml.h"
#include "codec/snapshot_codec.h"
#include "runner/world.h"

#define WORDS_MAX_COUNT 64

struct script {
	const char *path;
	char *dir;
	uint32_t line;
	struct world *world;
	GPtrArray *errors;
	gchar **words; /* of the current line */
	uint32_t word_count;
};

struct command {
	const char *name;
	uint32_t least_count; /* words after the name */
	void (*run)(struct script *script);
};

static void fail(struct script *script, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void fail(struct script *script, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(
		script->errors,
		g_strdup_printf("%s:%u: %s", script->path, script->line, text));
	g_free(text);
}

static const char *word(const struct script *script, uint32_t index)
{
	return index < script->word_count ? script->words[index] : "";
}

/* Value of "key=value" among the words, or NULL. */
static const char *option(const struct script *script, const char *key)
{
	size_t length_bytes = strlen(key);

	for (uint32_t i = 1; i < script->word_count; i++) {
		if (!strncmp(script->words[i], key, length_bytes) &&
		    script->words[i][length_bytes] == '=')
			return script->words[i] + length_bytes + 1;
	}
	return NULL;
}

static uint64_t number(const struct script *script, const char *key,
		       uint64_t otherwise)
{
	const char *text = option(script, key);

	return text ? g_ascii_strtoull(text, NULL, 10) : otherwise;
}

/* "250us", "20ms", "3s" or "2m" in microseconds. */
static int64_t duration_us(struct script *script, const char *text)
{
	static const struct {
		const char *unit;
		int64_t us;
	} units[] = {
		{ "us", 1 },
		{ "ms", USEC_PER_MSEC },
		{ "s", USEC_PER_SEC },
		{ "m", 60 * USEC_PER_SEC },
	};
	gchar *end = NULL;
	double value = g_ascii_strtod(text, &end);

	for (uint32_t i = 0; i < G_N_ELEMENTS(units); i++) {
		if (!strcmp(end, units[i].unit))
			return (int64_t)(value * (double)units[i].us);
	}
	fail(script, "expected a time such as 20ms, not \"%s\"", text);
	return 0;
}

static int64_t option_us(struct script *script, const char *key,
			 int64_t otherwise)
{
	const char *text = option(script, key);

	return text ? duration_us(script, text) : otherwise;
}

static struct node *node_at(struct script *script, uint32_t index)
{
	struct node *node = world_node(script->world, word(script, index));

	if (!node)
		fail(script, "no node is called \"%s\"", word(script, index));
	return node;
}

static void cmd_print(struct script *script)
{
	for (uint32_t i = 1; i < script->word_count; i++) {
		uint32_t type = 0;

		while (type < EVENT_TYPE_COUNT &&
		       strcmp(event_type_name(type), script->words[i]) != 0)
			type++;
		if (type == EVENT_TYPE_COUNT)
			fail(script, "no event is called \"%s\"",
			     script->words[i]);
		else
			script->world->printed |= EVENT_BIT(type);
	}
}

static void cmd_hide(struct script *script)
{
	script->world->printed = 0;
}

static void cmd_note(struct script *script)
{
	char *text = g_strjoinv(" ", script->words + 1);

	world_print(script->world, "%10.3f -- %s",
		    (double)script->world->now_us / USEC_PER_MSEC, text);
	g_free(text);
}

/* node NAME [dc=DC] [only=PLUGIN,...]: all decision plug-ins, or some. */
static void cmd_node(struct script *script)
{
	const char *dc = option(script, "dc");
	const char *only = option(script, "only");
	struct node *node =
		world_add_node(script->world, word(script, 1), dc ? dc : "dc1");

	if (only && !node->only)
		node->only = g_strsplit(only, ",", -1);
	world_start_node(script->world, node->name, "");
}

/* use NODE KIND PLUGIN: must come before the node is started again. */
static void cmd_use(struct script *script)
{
	struct node *node = node_at(script, 1);

	if (!node)
		return;
	if (!plugin_find(plugin_kind_from_name(word(script, 2)),
			 word(script, 3)))
		fail(script, "no %s plug-in is called \"%s\"", word(script, 2),
		     word(script, 3));
	else
		g_hash_table_insert(node->settings->choices,
				    g_strdup(word(script, 2)),
				    g_strdup(word(script, 3)));
}

/* know NODE PEER: a peer in the settings; before the node is started again. */
static void cmd_know(struct script *script)
{
	struct node *node = node_at(script, 1);
	struct node *known = node_at(script, 2);
	struct settings_peer peer = { 0 };

	if (!node || !known)
		return;
	name_copy(peer.name, sizeof(peer.name), known->name);
	name_copy(peer.dc, sizeof(peer.dc), known->settings->dc);
	name_copy(peer.address, sizeof(peer.address), "127.0.0.1:1");
	g_array_append_val(node->settings->peers, peer);
}

static void cmd_start(struct script *script)
{
	struct node *node = node_at(script, 1);

	if (node && !node->kernel)
		world_start_node(script->world, node->name, "");
}

static void cmd_kill(struct script *script)
{
	struct node *node = node_at(script, 1);

	if (node && node->kernel)
		world_kill_node(script->world, node);
}

static void cmd_pause(struct script *script)
{
	struct node *node = node_at(script, 1);

	if (node)
		world_set_paused(script->world, node, true);
}

static void cmd_resume(struct script *script)
{
	struct node *node = node_at(script, 1);

	if (node)
		world_set_paused(script->world, node, false);
}

static void cmd_at(struct script *script)
{
	int64_t until_us = duration_us(script, word(script, 1));

	if (until_us < script->world->now_us)
		fail(script, "time goes back");
	else
		world_run_until(script->world, until_us);
}

static void cmd_wait(struct script *script)
{
	world_run_until(script->world,
			script->world->now_us +
				duration_us(script, word(script, 1)));
}

static struct decl *load(struct script *script, const char *file)
{
	char *path = g_build_filename(script->dir, file, NULL);
	struct decl *decl = NULL;
	gsize size_bytes;
	gchar *text;

	if (g_file_get_contents(path, &text, &size_bytes, NULL)) {
		decl = decl_parse(file, text, size_bytes, false,
				  script->errors);
		g_free(text);
	} else {
		fail(script, "%s can't be read", path);
	}
	g_free(path);
	return decl;
}

/* apply NODE FILE [as=NAME] [base=OFFSET] */
static void cmd_apply(struct script *script)
{
	struct node *node = node_at(script, 1);
	const char *name = option(script, "as");
	struct event event = { .type = EVENT_PROPOSE };
	struct record *record;
	uint64_t base_offset;

	if (!node || !node->kernel)
		return;
	record = record_new(RECORD_CONFIG_PUT);
	record->config.decl = load(script, word(script, 2));
	if (!record->config.decl) {
		record_unref(record);
		return;
	}
	name = name ? name : word(script, 2);
	name_copy(record->config.file, NAME_SIZE_BYTES, name);
	fleet_file(kernel_fleet(node->kernel), name, &base_offset);
	record->config.base_offset = number(script, "base", base_offset);
	event.record.record = record;
	world_inject(script->world, node, &event);
}

static void add_request(struct script *script, struct node *node,
			const char *name)
{
	struct request *request = request_add(kernel_requests(node->kernel));
	struct event event = { .type = EVENT_REQUEST_NEW };
	const char *method = option(script, "method");
	const char *path = option(script, "path");
	const char *key = option(script, "key");
	int64_t deadline_us = option_us(script, "deadline", 0);

	name_copy(request->method, sizeof(request->method),
		  method ? method : "GET");
	request->path = g_strdup(path ? path : "/");
	/* A key of the script gets the time prefix that it leaves out. */
	if (key && g_ascii_isdigit(key[0]))
		name_copy(request->key, sizeof(request->key), key);
	else if (key)
		g_snprintf(request->key, sizeof(request->key),
			   "%" G_GINT64_FORMAT "-%s",
			   (script->world->wall_start_us) / USEC_PER_MSEC, key);
	request->relayed = option(script, "relayed") != NULL;
	request->arrived_us = script->world->now_us + 1;
	if (deadline_us)
		request->deadline_us = script->world->now_us + 1 + deadline_us;
	g_hash_table_insert(node->request_names,
			    g_memdup2(&request->id, sizeof(request->id)),
			    g_strdup(name));
	event.request.request_id = request->id;
	world_inject(script->world, node, &event);
}

/* request NODE NAME path=P [method=M] [key=K] [deadline=T] [relayed=1] */
static void cmd_request(struct script *script)
{
	struct node *node = node_at(script, 1);

	if (node && node->kernel)
		add_request(script, node, word(script, 2));
}

/* burst NODE PREFIX count=N every=T path=P ...: requests PREFIX1 ... */
static void cmd_burst(struct script *script)
{
	struct node *node = node_at(script, 1);
	uint64_t count = number(script, "count", 1);
	int64_t every_us = option_us(script, "every", 0);

	for (uint64_t i = 1; node && i <= count; i++) {
		char *name = g_strdup_printf("%s%" G_GUINT64_FORMAT,
					     word(script, 2), i);

		if (node->kernel)
			add_request(script, node, name);
		g_free(name);
		world_run_until(script->world,
				script->world->now_us + every_us);
	}
}

static uint64_t request_id(struct script *script, struct node *node,
			   const char *name)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, node->request_names);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (!strcmp(value, name))
			return *(uint64_t *)key;
	}
	fail(script, "no request is called \"%s\"", name);
	return 0;
}

static void cmd_gone(struct script *script)
{
	struct node *node = node_at(script, 1);
	struct event event = { .type = EVENT_REQUEST_GONE };

	if (!node)
		return;
	event.request.request_id = request_id(script, node, word(script, 2));
	world_inject(script->world, node, &event);
}

/* done NODE REQUEST ENDPOINT [attempt=N] [result=N] [status=N] */
static void cmd_done(struct script *script)
{
	struct node *node = node_at(script, 1);
	struct event_attempt attempt = {
		.attempt = (uint32_t)number(script, "attempt", 1),
		.result = (enum attempt_result)number(script, "result",
						      ATTEMPT_ANSWERED),
		.status = (uint32_t)number(script, "status", 200),
	};

	if (!node)
		return;
	attempt.request_id = request_id(script, node, word(script, 2));
	name_copy(attempt.endpoint, NAME_SIZE_BYTES, word(script, 3));
	world_finish_attempt(script->world, node, &attempt);
}

/* endpoint NAME|default MODE [service=T] */
static void cmd_endpoint(struct script *script)
{
	static const char *const modes[] = { "auto",   "manual", "fail",
					     "refuse", "hang",	 "cut" };
	struct world *world = script->world;
	struct endpoint *endpoint;
	uint32_t mode = 0;

	while (mode < G_N_ELEMENTS(modes) &&
	       strcmp(modes[mode], word(script, 2)) != 0)
		mode++;
	if (mode == G_N_ELEMENTS(modes)) {
		fail(script, "no endpoint mode is called \"%s\"",
		     word(script, 2));
		return;
	}
	if (!strcmp(word(script, 1), "default")) {
		world->mode = (enum endpoint_mode)mode;
		world->service_us =
			option_us(script, "service", world->service_us);
		return;
	}
	endpoint = world_endpoint(world, word(script, 1));
	endpoint->mode = (enum endpoint_mode)mode;
	endpoint->service_us =
		option_us(script, "service", endpoint->service_us);
}

/* Adds the declared instances and the nodes, less those that are named. */
static GArray *list_items(struct script *script, struct node *to)
{
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct list_item));
	const GPtrArray *instances = fleet_instances(kernel_fleet(to->kernel));

	for (guint i = 0; i < instances->len; i++) {
		const struct fleet_instance *instance = instances->pdata[i];
		const char *state = option(script, instance->decl.name);
		struct list_item item = { .state = LIST_LIVE };

		if (state && !strcmp(state, "gone"))
			continue;
		if (state && !strcmp(state, "leaving"))
			item.state = LIST_LEAVING;
		name_copy(item.name, NAME_SIZE_BYTES, instance->decl.name);
		g_array_append_val(items, item);
	}
	for (guint i = 0; i < script->world->nodes->len; i++) {
		const struct node *node = script->world->nodes->pdata[i];
		const char *state = option(script, node->name);
		struct list_item item = { .state = LIST_LIVE };

		if (state && !strcmp(state, "gone"))
			continue;
		name_copy(item.name, NAME_SIZE_BYTES, node->name);
		g_array_append_val(items, item);
	}
	return items;
}

/* list [NAME=leaving|gone ...]: one answer of the list to all nodes. */
static void cmd_list(struct script *script)
{
	struct world *world = script->world;

	for (guint i = 0; i < world->nodes->len; i++) {
		struct node *node = world->nodes->pdata[i];
		struct event event = { .type = EVENT_INSTANCE_LIST };

		if (!node->kernel || node->log_cut)
			continue;
		event.list.items = list_items(script, node);
		world_schedule(world, world->now_us, node, &event);
	}
}

/* log down|up|lose|drop|late|keep, log delay=T, log trim=OFFSET,
 * log retain=COUNT */
static void cmd_log(struct script *script)
{
	struct world *world = script->world;
	const char *what = word(script, 1);

	world->log_late_us = !strcmp(what, "late") ? 500 * USEC_PER_MSEC : 0;
	if (!strcmp(what, "down"))
		world->log_down = true;
	else if (!strcmp(what, "up"))
		world->log_down = false;
	else if (!strcmp(what, "lose"))
		world->log_lose_answers = true;
	else if (!strcmp(what, "drop") || !strcmp(what, "late"))
		world->log_drop_appends = true;
	else if (!strcmp(what, "keep"))
		world->log_lose_answers = world->log_drop_appends =
			world->log_limited = false;
	else if ((world->log_limited = option(script, "limit") != NULL))
		world->log_limit_count = (uint32_t)number(script, "limit", 0);
	else if (option(script, "delay"))
		world->log_delay_us = option_us(script, "delay", 0);
	else if (option(script, "trim"))
		world->log_first_offset = number(script, "trim", 1);
	else if (option(script, "retain"))
		world->log_first_offset =
			MAX((int64_t)world->log_first_offset,
			    (int64_t)world->log->len + 1 -
				    (int64_t)number(script, "retain", 0));
	else
		fail(script, "log can't do \"%s\"", what);
	world_announce_log(world);
}

static void set_cut(struct script *script, bool cut)
{
	struct node *a = node_at(script, 1);
	struct node *b;

	if (!a)
		return;
	if (!strcmp(word(script, 2), "log")) {
		a->log_cut = cut;
		world_announce_log(script->world);
		return;
	}
	b = node_at(script, 2);
	if (b && cut) {
		g_hash_table_add(a->peer_cuts, g_strdup(b->name));
		g_hash_table_add(b->peer_cuts, g_strdup(a->name));
	} else if (b) {
		g_hash_table_remove(a->peer_cuts, b->name);
		g_hash_table_remove(b->peer_cuts, a->name);
	}
}

/* cut A B|log and heal A B|log */
static void cmd_cut(struct script *script)
{
	set_cut(script, true);
}

static void cmd_heal(struct script *script)
{
	set_cut(script, false);
}

/* skew NODE T: moves its wall clock ahead. */
static void cmd_skew(struct script *script)
{
	struct node *node = node_at(script, 1);

	if (node)
		node->skew_us = duration_us(script, word(script, 2));
}

static void cmd_drain(struct script *script)
{
	struct node *node = node_at(script, 1);
	struct event event = { .type = EVENT_DRAIN };

	if (!node)
		return;
	event.drain.deadline_us =
		script->world->now_us + 1 +
		option_us(script, "within", 30 * USEC_PER_SEC);
	world_inject(script->world, node, &event);
}

static void copy_option(struct script *script, const char *key, char *to,
			size_t size_bytes)
{
	const char *text = option(script, key);

	if (text && !name_copy(to, size_bytes, text))
		fail(script, "%s is too long", key);
}

static void fill_instance(struct script *script, struct record *record,
			  uint64_t token)
{
	struct record_instance *body = &record->instance;

	copy_option(script, "instance", body->instance, NAME_SIZE_BYTES);
	copy_option(script, "to", body->to_pool, NAME_SIZE_BYTES);
	copy_option(script, "wave", body->wave, NAME_SIZE_BYTES);
	body->token = number(script, "token", token);
	body->drain_offset = number(script, "drain", 0);
	body->failed = option(script, "failed") != NULL;
}

static void fill_job(struct script *script, struct record *record,
		     uint64_t token)
{
	struct record_job *body = &record->job;

	copy_option(script, "job", body->job, NAME_SIZE_BYTES);
	copy_option(script, "member", body->member, NAME_SIZE_BYTES);
	copy_option(script, "pool", body->pool, NAME_SIZE_BYTES);
	copy_option(script, "instance", body->instance, NAME_SIZE_BYTES);
	copy_option(script, "reason", body->reason, REASON_SIZE_BYTES);
	body->declared_slots_count = (uint32_t)number(script, "slots", 1);
	body->token = number(script, "token", token);
	body->succeeded = option(script, "succeeded") != NULL;
	body->checkpointed = option(script, "checkpointed") != NULL;
}

/* propose NODE KIND key=value ...: any record, for races and bad writers. */
static void cmd_propose(struct script *script)
{
	struct node *node = node_at(script, 1);
	enum record_kind kind = record_kind_from_name(word(script, 2));
	struct event event = { .type = EVENT_PROPOSE };
	struct record *record;
	uint64_t token;

	if (!node || !node->kernel)
		return;
	record = record_new(kind);
	token = fleet_lease(kernel_fleet(node->kernel))->token;
	if (kind >= RECORD_MOVE_START && kind <= RECORD_INSTANCE_UP) {
		fill_instance(script, record, token);
	} else if (kind >= RECORD_JOB_SUBMIT && kind <= RECORD_JOB_SET_ASIDE) {
		fill_job(script, record, token);
	} else if (kind == RECORD_LEASE_CLAIM || kind == RECORD_LEASE_RENEW) {
		record->lease.token = number(script, "token", token);
	} else if (kind == RECORD_ENTRY_GONE || kind == RECORD_ENTRY_LEAVE) {
		copy_option(script, "entry", record->entry.name,
			    NAME_SIZE_BYTES);
		record->entry.incarnation = number(script, "incarnation", 1);
	} else if (kind == RECORD_CONFIG_REMOVE) {
		copy_option(script, "file", record->config.file,
			    NAME_SIZE_BYTES);
		fleet_file(kernel_fleet(node->kernel), record->config.file,
			   &record->config.base_offset);
		record->config.base_offset =
			number(script, "base", record->config.base_offset);
	} else {
		fail(script, "can't propose \"%s\"", word(script, 2));
	}
	event.record.record = record;
	world_inject(script->world, node, &event);
}

/* state NODE [instances] [pools] [entries] [jobs] */
static void cmd_state(struct script *script)
{
	struct node *node = node_at(script, 1);
	struct world *world = script->world;
	struct fleet *fleet;
	const GPtrArray *pools;

	if (!node || !node->kernel)
		return;
	fleet = kernel_fleet(node->kernel);
	pools = fleet_pools(fleet);
	world_print(world,
		    "%10.3f %s state at %" G_GUINT64_FORMAT
		    ", lease %s token %" G_GUINT64_FORMAT,
		    (double)world->now_us / USEC_PER_MSEC, node->name,
		    fleet_offset(fleet),
		    fleet_lease(fleet)->holder[0] ? fleet_lease(fleet)->holder
						  : "vacant",
		    fleet_lease(fleet)->token);
	for (guint i = 0; i < pools->len; i++) {
		const struct fleet_pool *pool = pools->pdata[i];
		GString *line = g_string_new(NULL);

		for (guint k = 0; k < pool->instances->len; k++) {
			const struct fleet_instance *instance =
				pool->instances->pdata[k];

			g_string_append_printf(line, " %s",
					       instance->decl.name);
			if (instance->phase != INSTANCE_ACTIVE)
				g_string_append_printf(
					line, "(%s)",
					instance_phase_name(instance->phase));
			if (instance->down)
				g_string_append(line, "(down)");
		}
		world_print(world, "           pool %s:%s", pool->decl.name,
			    line->str);
		g_string_free(line, TRUE);
	}
}

static bool same_state(struct node *a, struct node *b)
{
	GBytes *left = snapshot_encode(kernel_fleet(a->kernel));
	GBytes *right = snapshot_encode(kernel_fleet(b->kernel));
	bool same = g_bytes_equal(left, right);

	g_bytes_unref(left);
	g_bytes_unref(right);
	return same;
}

/* agree: all running nodes have the same replicated state. */
static void cmd_agree(struct script *script)
{
	struct world *world = script->world;
	struct node *first = NULL;

	for (guint i = 0; i < world->nodes->len; i++) {
		struct node *node = world->nodes->pdata[i];
		const GPtrArray *instances;

		if (!node->kernel)
			continue;
		if (!first)
			first = node;
		if (fleet_offset(kernel_fleet(node->kernel)) !=
		    fleet_offset(kernel_fleet(first->kernel)))
			world_violation(world, "%s and %s differ in offset",
					first->name, node->name);
		instances = fleet_instances(kernel_fleet(first->kernel));
		for (guint k = 0; k < instances->len; k++) {
			const struct fleet_instance *a = instances->pdata[k];
			const struct fleet_instance *b = fleet_instance(
				kernel_fleet(node->kernel), a->decl.name);

			if (!b || strcmp(a->pool, b->pool) != 0 ||
			    a->phase != b->phase)
				world_violation(world, "%s and %s differ on %s",
						first->name, node->name,
						a->decl.name);
		}
		if (!same_state(first, node))
			world_violation(world, "%s and %s differ in state",
					first->name, node->name);
	}
}

/* counter NODE NAME ... */
static void cmd_counter(struct script *script)
{
	struct node *node = node_at(script, 1);

	for (uint32_t i = 2; node && node->kernel && i < script->word_count;
	     i++)
		world_print(script->world,
			    "%10.3f %s counter %s %" G_GUINT64_FORMAT,
			    (double)script->world->now_us / USEC_PER_MSEC,
			    node->name, script->words[i],
			    counter_get(kernel_counters(node->kernel),
					script->words[i]));
}

static void cmd_totals(struct script *script)
{
	struct world *world = script->world;

	world_print(world, "%10.3f totals not-run %u ran %u may-have-run %u",
		    (double)world->now_us / USEC_PER_MSEC,
		    world->reply_counts[VERDICT_NOT_RUN],
		    world->reply_counts[VERDICT_RAN],
		    world->reply_counts[VERDICT_MAY_HAVE_RUN]);
}

static gboolean print_member(gpointer key, gpointer value, gpointer data)
{
	const uint32_t *counts = value;
	struct world *world = data;

	world_print(world, "%10.3f %s not-run %u ran %u may-have-run %u",
		    (double)world->now_us / USEC_PER_MSEC, (const char *)key,
		    counts[VERDICT_NOT_RUN], counts[VERDICT_RAN],
		    counts[VERDICT_MAY_HAVE_RUN]);
	return FALSE;
}

/* members: replies to the callers of each member */
static void cmd_members(struct script *script)
{
	g_tree_foreach(script->world->member_counts, print_member,
		       script->world);
}

static void cmd_reset(struct script *script)
{
	memset(script->world->reply_counts, 0,
	       sizeof(script->world->reply_counts));
	g_tree_remove_all(script->world->member_counts);
}

static void run_line(struct script *script, char *line);

/* repeat COUNT EVERY COMMAND...: "%" in it becomes the number of the run. */
static void cmd_repeat(struct script *script)
{
	struct world *world = script->world;
	uint64_t count = g_ascii_strtoull(word(script, 1), NULL, 10);
	int64_t every_us = duration_us(script, word(script, 2));
	char *line = g_strjoinv(" ", script->words + 3);
	gchar **parts = g_strsplit(line, "%", -1);
	gchar **words = script->words;
	uint32_t word_count = script->word_count;

	for (uint64_t i = 0; i < count; i++) {
		char *count_text = g_strdup_printf("%" G_GUINT64_FORMAT, i + 1);
		char *copy = g_strjoinv(count_text, parts);

		run_line(script, copy);
		g_free(copy);
		g_free(count_text);
		world_run_until(world, world->now_us + every_us);
	}
	script->words = words;
	script->word_count = word_count;
	g_strfreev(parts);
	g_free(line);
}

static const struct command commands[] = {
	{ "agree", 0, cmd_agree },
	{ "apply", 2, cmd_apply },
	{ "at", 1, cmd_at },
	{ "burst", 2, cmd_burst },
	{ "counter", 2, cmd_counter },
	{ "cut", 2, cmd_cut },
	{ "done", 3, cmd_done },
	{ "drain", 1, cmd_drain },
	{ "endpoint", 2, cmd_endpoint },
	{ "gone", 2, cmd_gone },
	{ "heal", 2, cmd_heal },
	{ "hide", 0, cmd_hide },
	{ "kill", 1, cmd_kill },
	{ "know", 2, cmd_know },
	{ "list", 0, cmd_list },
	{ "log", 1, cmd_log },
	{ "node", 1, cmd_node },
	{ "members", 0, cmd_members },
	{ "note", 1, cmd_note },
	{ "pause", 1, cmd_pause },
	{ "print", 1, cmd_print },
	{ "propose", 2, cmd_propose },
	{ "repeat", 3, cmd_repeat },
	{ "request", 2, cmd_request },
	{ "reset", 0, cmd_reset },
	{ "resume", 1, cmd_resume },
	{ "skew", 2, cmd_skew },
	{ "start", 1, cmd_start },
	{ "state", 1, cmd_state },
	{ "totals", 0, cmd_totals },
	{ "use", 3, cmd_use },
	{ "wait", 1, cmd_wait },
};

static void run_line(struct script *script, char *line)
{
	g_strstrip(line);
	if (!line[0] || line[0] == '#')
		return;
	script->words = g_strsplit_set(line, " \t", WORDS_MAX_COUNT);
	script->word_count = g_strv_length(script->words);
	for (uint32_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct command *command = &commands[i];

		if (strcmp(command->name, script->words[0]) != 0)
			continue;
		if (script->word_count <= command->least_count)
			fail(script, "%s needs %u words", command->name,
			     command->least_count);
		else
			command->run(script);
		g_strfreev(script->words);
		return;
	}
	if (!script_plan(script->world, script->words, script->errors) &&
	    !script_slots(script->world, script->words) &&
	    !script_feed(script->world, script->dir, script->words,
			 script->errors))
		fail(script, "no command is called \"%s\"", script->words[0]);
	g_strfreev(script->words);
}

struct world *script_run(const char *path, GPtrArray *errors)
{
	struct script script = { .path = path, .errors = errors };
	gchar *text = NULL;
	gchar **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		g_ptr_array_add(errors,
				g_strdup_printf("%s can't be read", path));
		return NULL;
	}
	script.dir = g_path_get_dirname(path);
	script.world = world_new(1);
	lines = g_strsplit(text, "\n", -1);
	for (uint32_t i = 0; lines[i]; i++) {
		script.line = i + 1;
		run_line(&script, lines[i]);
	}
	g_strfreev(lines);
	g_free(text);
	g_free(script.dir);
	return script.world;
}
