#include "io/operator_apply.h"

#include <string.h>

struct apply {
	struct kernel *kernel;
	void (*done)(void *data, struct apply *apply);
	void *data;
	GPtrArray *files;      /* of struct apply_file */
	guint current;	       /* index of the proposed file */
	struct record *record; /* proposed, outcome pending; or NULL */
	int64_t deadline_us;
};

static const char *const outcome_names[APPLY_OUTCOME_COUNT] = {
	[APPLY_NOT_PROPOSED] = "not-proposed", [APPLY_PROPOSED] = "proposed",
	[APPLY_ACCEPTED] = "accepted",	       [APPLY_REJECTED] = "rejected",
	[APPLY_UNKNOWN] = "unknown",
};

static void file_free(gpointer data)
{
	struct apply_file *file = data;

	decl_unref(file->decl);
	g_free(file);
}

struct apply *apply_new(struct kernel *kernel,
			void (*done)(void *data, struct apply *apply),
			void *data)
{
	struct apply *apply = g_new0(struct apply, 1);

	apply->kernel = kernel;
	apply->done = done;
	apply->data = data;
	apply->files = g_ptr_array_new_with_free_func(file_free);
	return apply;
}

static void release_record(struct apply *apply)
{
	if (apply->record)
		record_unref(apply->record);
	apply->record = NULL;
}

void apply_free(struct apply *apply)
{
	if (!apply)
		return;
	release_record(apply);
	g_ptr_array_unref(apply->files);
	g_free(apply);
}

static const struct apply_file *find_file(const struct apply *apply,
					  const char *name)
{
	for (guint i = 0; i < apply->files->len; i++) {
		const struct apply_file *file = apply->files->pdata[i];

		if (!strcmp(file->name, name))
			return file;
	}
	return NULL;
}

bool apply_add(struct apply *apply, const char *name, struct decl *decl,
	       const uint64_t *base_offset)
{
	struct apply_file *file;

	if (find_file(apply, name)) {
		decl_unref(decl);
		return false;
	}
	file = g_new0(struct apply_file, 1);
	name_copy(file->name, sizeof(file->name), name);
	file->decl = decl;
	if (base_offset)
		file->base_offset = *base_offset;
	else
		fleet_file(kernel_fleet(apply->kernel), name,
			   &file->base_offset);
	g_ptr_array_add(apply->files, file);
	return true;
}

static void check_base(const struct fleet *fleet, const struct apply_file *file,
		       GPtrArray *errors)
{
	uint64_t current_offset = 0;
	bool in_force = fleet_file(fleet, file->name, &current_offset) != NULL;

	if (!file->decl && !in_force)
		g_ptr_array_add(errors, g_strdup_printf("%s: is not in force",
							file->name));
	/* A higher base offset may be one that has not been read here yet. */
	if (file->base_offset < current_offset)
		g_ptr_array_add(errors,
				g_strdup_printf("%s: conflict: base offset "
						"%" G_GUINT64_FORMAT
						", but the file is at "
						"offset %" G_GUINT64_FORMAT,
						file->name, file->base_offset,
						current_offset));
}

/* The files that would be in force after the change. */
static GPtrArray *merge_files(const struct apply *apply)
{
	const struct fleet *fleet = kernel_fleet(apply->kernel);
	GPtrArray *names = fleet_files(fleet);
	GPtrArray *merged = g_ptr_array_new();

	for (guint i = 0; i < names->len; i++) {
		const char *name = names->pdata[i];

		if (!find_file(apply, name))
			g_ptr_array_add(merged, (gpointer)fleet_file(
							fleet, name, NULL));
	}
	for (guint i = 0; i < apply->files->len; i++) {
		const struct apply_file *file = apply->files->pdata[i];

		if (file->decl)
			g_ptr_array_add(merged, file->decl);
	}
	g_ptr_array_unref(names);
	return merged;
}

bool apply_check(const struct apply *apply, GPtrArray *errors)
{
	const struct fleet *fleet = kernel_fleet(apply->kernel);
	guint before = errors->len;
	GPtrArray *merged = merge_files(apply);

	for (guint i = 0; i < apply->files->len; i++)
		check_base(fleet, apply->files->pdata[i], errors);
	decl_check(merged, errors);
	g_ptr_array_unref(merged);
	return errors->len == before;
}

static void propose_current(struct apply *apply, int64_t now_us)
{
	struct apply_file *file = apply->files->pdata[apply->current];
	struct event event = { .type = EVENT_PROPOSE };
	struct record *record = record_new(file->decl ? RECORD_CONFIG_PUT
						      : RECORD_CONFIG_REMOVE);

	name_copy(record->config.file, sizeof(record->config.file), file->name);
	record->config.base_offset = file->base_offset;
	if (file->decl)
		record->config.decl = decl_ref(file->decl);
	record->wall_us = kernel_wall_us(apply->kernel);
	apply->record = record;
	file->outcome = APPLY_PROPOSED;
	apply->deadline_us = now_us + APPLY_TIMEOUT_US;
	kernel_wake_at(apply->kernel, apply->deadline_us);
	event.record.record = record_ref(record);
	kernel_emit(apply->kernel, &event);
}

void apply_start(struct apply *apply, int64_t now_us)
{
	if (apply->files->len)
		propose_current(apply, now_us);
	else
		apply->done(apply->data, apply);
}

/* Stops at a file that was not accepted: later ones may depend on it. */
static void finish_current(struct apply *apply, enum apply_outcome outcome,
			   uint64_t offset, const char *reason)
{
	struct apply_file *file = apply->files->pdata[apply->current];

	release_record(apply);
	file->outcome = outcome;
	file->offset = offset;
	g_strlcpy(file->reason, reason, sizeof(file->reason));
	apply->current++;
	if (outcome == APPLY_ACCEPTED && apply->current < apply->files->len)
		propose_current(apply, kernel_now_us(apply->kernel));
	else
		apply->done(apply->data, apply);
}

static void on_wake(struct apply *apply)
{
	if (apply->deadline_us > kernel_now_us(apply->kernel)) {
		kernel_wake_at(apply->kernel, apply->deadline_us);
		return;
	}
	finish_current(apply, APPLY_UNKNOWN, 0,
		       "not read back from the log within 10 s");
}

/* The proposer sets the id; until then the record is identified by address. */
static bool is_current_record(const struct apply *apply,
			      const struct event *event)
{
	const struct record *record = event->record.record;

	return record == apply->record ||
	       (apply->record->id.entry[0] &&
		record_id_equal(&record->id, &apply->record->id));
}

void apply_handle(struct apply *apply, const struct event *event)
{
	if (!apply->record)
		return;
	if (event->type == EVENT_WAKE) {
		on_wake(apply);
		return;
	}
	if (!is_current_record(apply, event))
		return;
	if (event->type == EVENT_FLEET_CHANGED && event->record.accepted)
		finish_current(apply, APPLY_ACCEPTED, event->record.offset, "");
	else
		finish_current(apply, APPLY_REJECTED, 0, event->record.reason);
}

const GPtrArray *apply_files(const struct apply *apply)
{
	return apply->files;
}

enum apply_outcome apply_outcome(const struct apply *apply)
{
	for (guint i = 0; i < apply->files->len; i++) {
		const struct apply_file *file = apply->files->pdata[i];

		/* Files after one that was not accepted were not proposed. */
		if (file->outcome != APPLY_ACCEPTED)
			return file->outcome;
	}
	return APPLY_ACCEPTED;
}

const char *apply_outcome_name(enum apply_outcome outcome)
{
	return outcome < APPLY_OUTCOME_COUNT ? outcome_names[outcome]
					     : "unknown";
}
