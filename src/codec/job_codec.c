#include "codec/job_codec.h"

#include <string.h>

#include "codec/proto/job.pb-c.h"

#define KEY_SUBMIT "j/"
#define KEY_PROGRESS "s/"
#define KEY_CANCEL "c/"
#define KEY_HOLDER "holder"
#define KEY_CLAIM "claim/"
#define KEY_WAVE "w/"
#define KEY_MACHINES "machines"
#define KEY_ENTRY "entry/"
#define KEY_PREFIX_BYTES 2

/* A cancellation has no fields; an empty value would remove its key. */
static const uint8_t cancel_value[] = { 1 };

/* The key of segment 0 has no number. */
static char *progress_key(const char *id, uint32_t segment)
{
	if (!segment)
		return g_strconcat(KEY_PROGRESS, id, NULL);
	return g_strdup_printf(KEY_PROGRESS "%s/%u", id, segment);
}

/* The submission comes last: without it the other keys name no job. */
static void add_job_keys(GPtrArray *keys, const struct job_record *record)
{
	g_ptr_array_add(keys, g_strconcat(KEY_CANCEL, record->id, NULL));
	for (uint32_t i = 0; i < MAX(record->segment, 1); i++)
		g_ptr_array_add(keys, progress_key(record->id, i));
	g_ptr_array_add(keys, g_strconcat(KEY_SUBMIT, record->id, NULL));
}

static char *single_key(const struct job_record *record)
{
	switch (record->kind) {
	case JOB_RECORD_SUBMIT:
		return g_strconcat(KEY_SUBMIT, record->id, NULL);
	case JOB_RECORD_PROGRESS:
		return progress_key(record->id, record->segment);
	case JOB_RECORD_CANCEL:
		return g_strconcat(KEY_CANCEL, record->id, NULL);
	case JOB_RECORD_HOLDER:
		return record->action == HOLDER_CLAIM
			       ? g_strconcat(KEY_CLAIM, record->entry, NULL)
			       : g_strdup(KEY_HOLDER);
	case JOB_RECORD_MACHINES:
		return g_strdup(KEY_MACHINES);
	case JOB_RECORD_ENTRY:
		return g_strconcat(KEY_ENTRY, record->entry, NULL);
	case JOB_RECORD_WAVE:
		return g_strdup_printf(KEY_WAVE "%" G_GUINT64_FORMAT,
				       record->wave);
	default:
		return NULL;
	}
}

char **job_codec_keys(const struct job_record *record)
{
	GPtrArray *keys = g_ptr_array_new();

	if (record->kind == JOB_RECORD_DROP)
		add_job_keys(keys, record);
	else
		g_ptr_array_add(keys, single_key(record));
	g_ptr_array_add(keys, NULL);
	return (char **)g_ptr_array_free(keys, FALSE);
}

static void step_to_wire(Pl__JobStep *to, const struct job_step *from)
{
	pl__job_step__init(to);
	to->item_count = from->item_count;
	to->cpu_milli = from->cpu_milli;
	to->mem_mb = from->mem_mb;
	to->gpu_count = from->gpu_count;
	to->estimate_ms = from->estimate_ms;
	to->max_per_worker = from->max_per_worker;
	to->max_unavailable = from->max_unavailable;
	to->target_ms = from->target_ms;
	to->after_mask = from->dependency_mask;
	to->gang = from->gang;
	to->one_rack = from->colocated;
	to->saves = from->checkpointable;
	to->copies_allowed = from->speculative;
	to->lasting = from->long_running;
	to->filler = from->filler;
	to->label = (char *)from->label;
	to->rack = (char *)from->rack;
	to->image = (char *)from->image;
}

static GBytes *pack(const ProtobufCMessage *msg)
{
	size_t size_bytes = protobuf_c_message_get_packed_size(msg);
	uint8_t *data = g_malloc(MAX(size_bytes, 1));

	protobuf_c_message_pack(msg, data);
	return g_bytes_new_take(data, size_bytes);
}

static void policy_to_wire(const struct queue_policy *policy,
			   Pl__JobSubmission *to)
{
	to->priority = policy->priority;
	to->attempts_max = policy->attempts_max;
	to->slack_factor = policy->slack_factor;
	to->target_us = policy->target_us;
	to->needs_advice = policy->needs_advice;
	to->advice_decision_us = policy->advice_decision_us;
	to->advice_period_us = policy->advice_period_us;
}

static struct queue_policy policy_from_wire(const Pl__JobSubmission *from)
{
	return (struct queue_policy){
		.priority = from->priority,
		.attempts_max = from->attempts_max,
		.slack_factor = from->slack_factor,
		.target_us = from->target_us,
		.needs_advice = from->needs_advice,
		.advice_decision_us = from->advice_decision_us,
		.advice_period_us = from->advice_period_us,
	};
}

static void member_to_wire(const struct job_record *record,
			   Pl__JobSubmission *to)
{
	const struct member_policy *policy = &record->member_policy;

	to->member = (char *)record->member;
	to->member_priority = policy->priority;
	to->member_weight_milli = policy->weight_milli;
	to->member_cpu_max_milli = policy->cpu_max_milli;
	to->member_mem_max_mb = policy->mem_max_mb;
	to->member_gpu_max_count = policy->gpu_max_count;
}

static void member_from_wire(const Pl__JobSubmission *from,
			     struct job_record *record)
{
	name_copy(record->member, sizeof(record->member), from->member);
	record->member_policy = (struct member_policy){
		.priority = from->member_priority,
		.weight_milli = from->member_weight_milli,
		.cpu_max_milli = from->member_cpu_max_milli,
		.mem_max_mb = from->member_mem_max_mb,
		.gpu_max_count = from->member_gpu_max_count,
	};
}

static GBytes *encode_submit(const struct job_record *record)
{
	const struct job_spec *spec = record->spec;
	Pl__JobSubmission to = PL__JOB_SUBMISSION__INIT;
	Pl__JobStep *steps = g_new0(Pl__JobStep, spec->steps->len);
	Pl__JobStep **pointers = g_new0(Pl__JobStep *, spec->steps->len);
	GBytes *bytes;

	for (guint i = 0; i < spec->steps->len; i++) {
		step_to_wire(&steps[i],
			     &g_array_index(spec->steps, struct job_step, i));
		pointers[i] = &steps[i];
	}
	to.queue = (char *)record->queue;
	to.pool = (char *)record->pool;
	policy_to_wire(&record->policy, &to);
	member_to_wire(record, &to);
	to.submitted_ms = record->submitted_ms;
	to.text = spec->text;
	to.n_steps = spec->steps->len;
	to.steps = pointers;
	to.first_due_ms = spec->first_due_ms;
	to.interval_ms = spec->interval_ms;
	to.occurrence_count = spec->occurrence_count;
	bytes = pack(&to.base);
	g_free(pointers);
	g_free(steps);
	return bytes;
}

static GBytes *encode_progress(const struct job_record *record)
{
	Pl__JobProgress to = PL__JOB_PROGRESS__INIT;
	Pl__JobItem *items = g_new0(Pl__JobItem, record->items->len + 1);
	Pl__JobItem **pointers = g_new0(Pl__JobItem *, record->items->len + 1);
	GBytes *bytes;

	for (guint i = 0; i < record->items->len; i++) {
		const struct job_record_item *item = &g_array_index(
			record->items, struct job_record_item, i);

		pl__job_item__init(&items[i]);
		items[i].index = item->index;
		items[i].run = item->run;
		items[i].failed_count = item->failed_count;
		if (item->worker)
			items[i].worker = (char *)item->worker;
		if (item->checkpoint)
			items[i].saved = item->checkpoint;
		pointers[i] = &items[i];
	}
	to.state = record->state;
	to.begun = record->begun;
	to.done.data = record->done->data;
	to.done.len = record->done->len;
	to.n_items = record->items->len;
	to.items = pointers;
	bytes = pack(&to.base);
	g_free(pointers);
	g_free(items);
	return bytes;
}

static GBytes *encode_holder(const struct job_record *record)
{
	Pl__JobHolder to = PL__JOB_HOLDER__INIT;

	to.entry = (char *)record->entry;
	to.boot_id = record->boot_id;
	to.token = record->token;
	to.step = record->action;
	to.earlier_ended = record->earlier_ended;
	return pack(&to.base);
}

static GBytes *encode_wave(const struct job_record *record)
{
	Pl__JobWave to = PL__JOB_WAVE__INIT;

	to.wave = record->wave;
	to.done.data = record->done->data;
	to.done.len = record->done->len;
	return pack(&to.base);
}

static GBytes *encode_entry(const struct job_record *record)
{
	Pl__JobEntry to = PL__JOB_ENTRY__INIT;

	to.entry = (char *)record->entry;
	to.cpu_milli = record->cpu_milli;
	to.address = (char *)record->address;
	to.dc = (char *)record->dc;
	return pack(&to.base);
}

static GBytes *encode_machines(const struct job_record *record)
{
	Pl__JobMachines to = PL__JOB_MACHINES__INIT;

	to.n_names = record->machines->len;
	to.names = (char **)record->machines->pdata;
	return pack(&to.base);
}

GBytes *job_codec_encode(const struct job_record *record)
{
	switch (record->kind) {
	case JOB_RECORD_SUBMIT:
		return encode_submit(record);
	case JOB_RECORD_PROGRESS:
		return encode_progress(record);
	case JOB_RECORD_CANCEL:
		return g_bytes_new_static(cancel_value, sizeof(cancel_value));
	case JOB_RECORD_HOLDER:
		return encode_holder(record);
	case JOB_RECORD_WAVE:
		return encode_wave(record);
	case JOB_RECORD_MACHINES:
		return encode_machines(record);
	case JOB_RECORD_ENTRY:
		return encode_entry(record);
	default:
		return g_bytes_new(NULL, 0);
	}
}

static void step_from_wire(struct job_step *to, const Pl__JobStep *from)
{
	to->item_count = from->item_count;
	to->cpu_milli = from->cpu_milli;
	to->mem_mb = from->mem_mb;
	to->gpu_count = from->gpu_count;
	to->estimate_ms = from->estimate_ms;
	to->max_per_worker = from->max_per_worker;
	to->max_unavailable = from->max_unavailable;
	to->target_ms = from->target_ms;
	to->dependency_mask = from->after_mask;
	to->gang = from->gang;
	to->colocated = from->one_rack;
	to->checkpointable = from->saves;
	to->speculative = from->copies_allowed;
	to->long_running = from->lasting;
	to->filler = from->filler;
	name_copy(to->label, sizeof(to->label), from->label);
	name_copy(to->rack, sizeof(to->rack), from->rack);
	name_copy(to->image, sizeof(to->image), from->image);
}

static struct job_record *decode_submit(const uint8_t *value, size_t size_bytes)
{
	Pl__JobSubmission *from =
		pl__job_submission__unpack(NULL, size_bytes, value);
	struct job_record *record;

	if (!from)
		return NULL;
	if (from->submitted_ms < 0 || from->submitted_ms > JOB_TIME_MAX_MS) {
		pl__job_submission__free_unpacked(from, NULL);
		return NULL;
	}
	record = job_record_new(JOB_RECORD_SUBMIT);
	record->spec = job_spec_new();
	name_copy(record->queue, sizeof(record->queue), from->queue);
	name_copy(record->pool, sizeof(record->pool), from->pool);
	record->policy = policy_from_wire(from);
	member_from_wire(from, record);
	record->submitted_ms = from->submitted_ms;
	record->spec->text = g_strdup(from->text);
	record->spec->first_due_ms = from->first_due_ms;
	record->spec->interval_ms = from->interval_ms;
	record->spec->occurrence_count = from->occurrence_count;
	for (size_t i = 0; i < from->n_steps; i++) {
		struct job_step step = { 0 };

		step_from_wire(&step, from->steps[i]);
		g_array_append_val(record->spec->steps, step);
	}
	pl__job_submission__free_unpacked(from, NULL);
	if (job_spec_check(record->spec) ||
	    !queue_policy_is_valid(&record->policy)) {
		job_record_unref(record);
		return NULL;
	}
	return record;
}

static void item_clear(gpointer data)
{
	struct job_record_item *item = data;

	g_free(item->checkpoint);
}

static struct job_record *decode_progress(const uint8_t *value,
					  size_t size_bytes)
{
	Pl__JobProgress *from =
		pl__job_progress__unpack(NULL, size_bytes, value);
	struct job_record *record;

	if (!from)
		return NULL;
	record = job_record_new(JOB_RECORD_PROGRESS);
	record->state = MIN(from->state, JOB_STATE_COUNT - 1);
	record->begun = from->begun;
	record->done = g_byte_array_new();
	g_byte_array_append(record->done, from->done.data,
			    (guint)from->done.len);
	record->items =
		g_array_new(FALSE, TRUE, sizeof(struct job_record_item));
	g_array_set_clear_func(record->items, item_clear);
	for (size_t i = 0; i < from->n_items; i++) {
		const Pl__JobItem *item = from->items[i];
		struct job_record_item to = {
			.index = item->index,
			.run = item->run,
			.failed_count = item->failed_count,
			.worker = item->worker[0]
					  ? g_intern_string(item->worker)
					  : NULL,
			.checkpoint =
				item->saved[0] ? g_strdup(item->saved) : NULL,
		};

		g_array_append_val(record->items, to);
	}
	pl__job_progress__free_unpacked(from, NULL);
	return record;
}

static struct job_record *decode_holder(const uint8_t *value, size_t size_bytes)
{
	Pl__JobHolder *from = pl__job_holder__unpack(NULL, size_bytes, value);
	struct job_record *record;

	if (!from)
		return NULL;
	record = job_record_new(JOB_RECORD_HOLDER);
	name_copy(record->entry, sizeof(record->entry), from->entry);
	record->boot_id = from->boot_id;
	record->token = from->token;
	record->action = MIN(from->step, HOLDER_RESIGN);
	record->earlier_ended = from->earlier_ended;
	pl__job_holder__free_unpacked(from, NULL);
	return record;
}

static struct job_record *decode_wave(const uint8_t *value, size_t size_bytes)
{
	Pl__JobWave *from = pl__job_wave__unpack(NULL, size_bytes, value);
	struct job_record *record;

	if (!from)
		return NULL;
	record = job_record_new(JOB_RECORD_WAVE);
	record->wave = from->wave;
	record->done = g_byte_array_new();
	g_byte_array_append(record->done, from->done.data,
			    (guint)from->done.len);
	pl__job_wave__free_unpacked(from, NULL);
	return record;
}

static struct job_record *decode_entry(const uint8_t *value, size_t size_bytes)
{
	Pl__JobEntry *from = pl__job_entry__unpack(NULL, size_bytes, value);
	struct job_record *record;

	if (!from)
		return NULL;
	record = job_record_new(JOB_RECORD_ENTRY);
	name_copy(record->entry, sizeof(record->entry), from->entry);
	record->cpu_milli = from->cpu_milli;
	name_copy(record->address, sizeof(record->address), from->address);
	name_copy(record->dc, sizeof(record->dc), from->dc);
	pl__job_entry__free_unpacked(from, NULL);
	return record;
}

static struct job_record *decode_machines(const uint8_t *value,
					  size_t size_bytes)
{
	Pl__JobMachines *from =
		pl__job_machines__unpack(NULL, size_bytes, value);
	struct job_record *record;

	if (!from)
		return NULL;
	record = job_record_new(JOB_RECORD_MACHINES);
	record->machines = g_ptr_array_new();
	for (size_t i = 0; i < from->n_names; i++)
		g_ptr_array_add(record->machines,
				(gpointer)g_intern_string(from->names[i]));
	pl__job_machines__free_unpacked(from, NULL);
	return record;
}

/*
 * Splits what follows the prefix of a job's key into its id, which must have
 * room for JOB_ID_SIZE_BYTES, and the number of a segment. Returns false if it
 * is malformed.
 */
static bool parse_job_key(const char *text, char *id, uint32_t *segment)
{
	guint64 number = 0;

	*segment = 0;
	g_strlcpy(id, text, JOB_ID_SIZE_BYTES);
	if (!job_id_is_valid(id))
		return false;
	text += JOB_ID_SIZE_BYTES - 1;
	if (!*text)
		return true;
	if (*text != '/' ||
	    !g_ascii_string_to_unsigned(text + 1, 10, 1, JOB_ITEMS_MAX_COUNT,
					&number, NULL))
		return false;
	*segment = (uint32_t)number;
	return true;
}

static struct job_record *decode_job(const char *key, const uint8_t *value,
				     size_t size_bytes)
{
	char id[JOB_ID_SIZE_BYTES];
	uint32_t segment;
	struct job_record *record;

	if (!parse_job_key(key + KEY_PREFIX_BYTES, id, &segment) ||
	    (segment && !g_str_has_prefix(key, KEY_PROGRESS)))
		return NULL;
	if (g_str_has_prefix(key, KEY_SUBMIT))
		record = size_bytes ? decode_submit(value, size_bytes)
				    : job_record_new(JOB_RECORD_DROP);
	else if (!size_bytes)
		record = job_record_new(JOB_RECORD_UNKNOWN);
	else if (g_str_has_prefix(key, KEY_PROGRESS))
		record = decode_progress(value, size_bytes);
	else
		record = job_record_new(JOB_RECORD_CANCEL);
	if (!record)
		return NULL;
	g_strlcpy(record->id, id, sizeof(record->id));
	record->segment = segment;
	return record;
}

struct job_record *job_codec_decode(const char *key, const uint8_t *value,
				    size_t size_bytes)
{
	if (!strcmp(key, KEY_HOLDER) || g_str_has_prefix(key, KEY_CLAIM))
		return decode_holder(value, size_bytes);
	if (!strcmp(key, KEY_MACHINES))
		return decode_machines(value, size_bytes);
	if (g_str_has_prefix(key, KEY_ENTRY))
		return decode_entry(value, size_bytes);
	if (g_str_has_prefix(key, KEY_WAVE))
		return decode_wave(value, size_bytes);
	if (g_str_has_prefix(key, KEY_SUBMIT) ||
	    g_str_has_prefix(key, KEY_PROGRESS) ||
	    g_str_has_prefix(key, KEY_CANCEL))
		return decode_job(key, value, size_bytes);
	return job_record_new(JOB_RECORD_UNKNOWN);
}
