#include "jobs/job.h"

#include <string.h>

/* Upper bounds of what a step, and a job without its text, take when stored. */
#define STEP_STORED_MAX_BYTES (3 * NAME_SIZE_BYTES + 128)
#define JOB_STORED_MAX_BYTES (3 * NAME_SIZE_BYTES + 256)
/* What an allocation takes beyond its size, and an entry of a hash table. */
#define ALLOCATION_BYTES 16
#define TABLE_ENTRY_BYTES 64

/* Shared by the segments whose items are all done. */
static struct job_item done_item = { .phase = ITEM_DONE };

static void spec_clear(gpointer data)
{
	struct job_spec *spec = data;

	g_free(spec->text);
	g_array_unref(spec->steps);
}

struct job_spec *job_spec_new(void)
{
	struct job_spec *spec = g_rc_box_new0(struct job_spec);

	spec->steps = g_array_new(FALSE, TRUE, sizeof(struct job_step));
	return spec;
}

struct job_spec *job_spec_ref(struct job_spec *spec)
{
	return g_rc_box_acquire(spec);
}

void job_spec_unref(struct job_spec *spec)
{
	if (spec)
		g_rc_box_release_full(spec, spec_clear);
}

uint64_t job_spec_stored_max_bytes(const struct job_spec *spec)
{
	return JOB_STORED_MAX_BYTES + strlen(spec->text) +
	       (uint64_t)spec->steps->len * STEP_STORED_MAX_BYTES;
}

static uint32_t segments_count(uint32_t item_count)
{
	return job_item_segment(item_count - 1) + 1;
}

static uint32_t blocks_count(const struct job_spec *spec)
{
	return (job_spec_occurrences(spec) - 1) / JOB_BLOCK_OCCURRENCES_COUNT +
	       1;
}

/* Occurrences of a block. */
static uint32_t block_len(const struct job_spec *spec, uint32_t block)
{
	return MIN(job_spec_occurrences(spec) -
			   block * JOB_BLOCK_OCCURRENCES_COUNT,
		   JOB_BLOCK_OCCURRENCES_COUNT);
}

static uint64_t block_bytes(const struct job_spec *spec, uint32_t block)
{
	return (uint64_t)block_len(spec, block) * spec->steps->len *
		       sizeof(struct step_count) +
	       ALLOCATION_BYTES;
}

/* Items of a segment. */
static uint32_t segment_len(uint32_t item_count, uint32_t segment)
{
	return MIN(item_count - segment * JOB_SEGMENT_ITEMS_COUNT,
		   JOB_SEGMENT_ITEMS_COUNT);
}

static uint64_t segment_bytes(uint32_t item_count, uint32_t segment)
{
	return segment_len(item_count, segment) * sizeof(struct job_item) +
	       ALLOCATION_BYTES;
}

static uint32_t spec_item_count(const struct job_spec *spec)
{
	return job_spec_items_per_occurrence(spec) * job_spec_occurrences(spec);
}

/* Memory of a job none of whose items was changed. */
static uint64_t untouched_bytes(const struct job_spec *spec)
{
	uint64_t by_segment_bytes =
		sizeof(struct job_item *) + sizeof(uint64_t) + sizeof(bool);

	return TABLE_ENTRY_BYTES + sizeof(struct job) +
	       sizeof(struct job_spec) + strlen(spec->text) +
	       spec->steps->len * sizeof(struct job_step) +
	       segments_count(spec_item_count(spec)) * by_segment_bytes +
	       blocks_count(spec) * sizeof(struct step_count *) +
	       (uint64_t)8 * ALLOCATION_BYTES;
}

uint64_t job_spec_held_bytes(const struct job_spec *spec)
{
	return untouched_bytes(spec) + block_bytes(spec, 0) +
	       segment_bytes(spec_item_count(spec), 0);
}

uint32_t job_spec_items_per_occurrence(const struct job_spec *spec)
{
	uint32_t count = 0;

	for (guint i = 0; i < spec->steps->len; i++)
		count += g_array_index(spec->steps, struct job_step, i)
				 .item_count;
	return count;
}

uint32_t job_spec_occurrences(const struct job_spec *spec)
{
	return MAX(spec->occurrence_count, 1);
}

const char *job_spec_check(const struct job_spec *spec)
{
	uint64_t item_count = 0;

	if (!spec->text || strlen(spec->text) > JOB_TEXT_MAX_BYTES)
		return "the text of the job is missing or too long";
	if (!spec->steps->len || spec->steps->len > JOB_STEPS_MAX_COUNT)
		return "expected 1 to 64 steps";
	for (guint i = 0; i < spec->steps->len; i++) {
		const struct job_step *step =
			&g_array_index(spec->steps, struct job_step, i);

		if (!step->item_count)
			return "a step has no work items";
		if (step->dependency_mask >> i)
			return "a step depends on itself or on a later one";
		item_count += step->item_count;
	}
	/* Divides, as the product of both may exceed 64 bits. */
	if (item_count > JOB_ITEMS_MAX_COUNT / job_spec_occurrences(spec))
		return "expected at most 20000 work items";
	if (spec->first_due_ms < 0 || spec->first_due_ms > JOB_TIME_MAX_MS ||
	    spec->interval_ms < 0 ||
	    spec->interval_ms > JOB_TIME_MAX_MS / job_spec_occurrences(spec))
		return "a time of the job is out of range";
	return NULL;
}

static void hold(struct job *job, uint64_t size_bytes)
{
	job->held_bytes += size_bytes;
	if (job->held_sum)
		*job->held_sum += size_bytes;
}

static void release(struct job *job, uint64_t size_bytes)
{
	job->held_bytes -= size_bytes;
	if (job->held_sum)
		*job->held_sum -= size_bytes;
}

void job_count_in(struct job *job, uint64_t *sum)
{
	job->held_sum = sum;
	*sum += job->held_bytes;
}

struct job *job_new(const char *id, struct job_spec *spec)
{
	struct job *job = g_new0(struct job, 1);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->spec = job_spec_ref(spec);
	job->item_count = spec_item_count(spec);
	job->segments = g_new0(struct job_item *, job_segments_count(job));
	job->step_counts = g_new0(struct step_count *, blocks_count(spec));
	job->segment_offsets = g_new0(uint64_t, job_segments_count(job));
	job->dirty_segments = g_new0(bool, job_segments_count(job));
	job->left_count = job->item_count;
	hold(job, untouched_bytes(spec));
	return job;
}

static void free_segment(struct job *job, uint32_t segment)
{
	struct job_item *items = job->segments[segment];

	if (!items || items == &done_item)
		return;
	for (uint32_t i = 0; i < segment_len(job->item_count, segment); i++) {
		job_replace_checkpoint(job, &items[i].checkpoint, NULL);
		job_replace_checkpoint(job, &items[i].start_checkpoint, NULL);
	}
	g_free(items);
	release(job, segment_bytes(job->item_count, segment));
	job->segments[segment] = NULL;
}

static void free_counts(struct job *job)
{
	for (uint32_t i = 0; i < blocks_count(job->spec); i++) {
		if (job->step_counts[i])
			release(job, block_bytes(job->spec, i));
		g_clear_pointer(&job->step_counts[i], g_free);
	}
}

void job_free(struct job *job)
{
	if (!job)
		return;
	for (uint32_t i = 0; i < job_segments_count(job); i++)
		free_segment(job, i);
	free_counts(job);
	release(job, untouched_bytes(job->spec));
	g_free(job->segments);
	g_free(job->step_counts);
	g_free(job->segment_offsets);
	g_free(job->dirty_segments);
	job_spec_unref(job->spec);
	g_free(job);
}

void job_replace_checkpoint(struct job *job, char **checkpoint, const char *by)
{
	if (*checkpoint)
		release(job, strlen(*checkpoint) + ALLOCATION_BYTES);
	g_free(*checkpoint);
	*checkpoint = g_strdup(by);
	if (by)
		hold(job, strlen(by) + ALLOCATION_BYTES);
}

bool job_segment_is_shared(const struct job *job, uint32_t segment)
{
	return !job->segments[segment] || job->segments[segment] == &done_item;
}

const struct job_item *job_item_view(const struct job *job, uint32_t index)
{
	const struct job_item *items = job->segments[job_item_segment(index)];

	if (!items)
		return &job->untouched;
	return items == &done_item ? items
				   : &items[index % JOB_SEGMENT_ITEMS_COUNT];
}

struct job_item *job_item(struct job *job, uint32_t index)
{
	uint32_t segment = job_item_segment(index);

	if (job_segment_is_shared(job, segment)) {
		const struct job_item *shared = job_item_view(job, index);
		uint32_t count = segment_len(job->item_count, segment);
		struct job_item *items = g_new(struct job_item, count);

		for (uint32_t i = 0; i < count; i++)
			items[i] = *shared;
		job->segments[segment] = items;
		hold(job, segment_bytes(job->item_count, segment));
	}
	return &job->segments[segment][index % JOB_SEGMENT_ITEMS_COUNT];
}

void job_release_done_segment(struct job *job, uint32_t segment)
{
	uint32_t count = segment_len(job->item_count, segment);

	if (job_segment_is_shared(job, segment))
		return;
	for (uint32_t i = 0; i < count; i++) {
		if (job->segments[segment][i].phase != ITEM_DONE)
			return;
	}
	free_segment(job, segment);
	job->segments[segment] = &done_item;
}

const struct job_step *job_step(const struct job *job, uint32_t step)
{
	return &g_array_index(job->spec->steps, struct job_step, step);
}

uint32_t job_item_step(const struct job *job, uint32_t index)
{
	uint32_t left = index % job_spec_items_per_occurrence(job->spec);
	uint32_t step = 0;

	while (left >= job_step(job, step)->item_count)
		left -= job_step(job, step++)->item_count;
	return step;
}

uint32_t job_item_occurrence(const struct job *job, uint32_t index)
{
	uint32_t item_count = job_spec_items_per_occurrence(job->spec);

	g_assert(item_count);
	return index / item_count;
}

uint32_t job_segments_count(const struct job *job)
{
	return segments_count(job->item_count);
}

uint32_t job_item_segment(uint32_t index)
{
	return index / JOB_SEGMENT_ITEMS_COUNT;
}

uint32_t job_first_item(const struct job *job, uint32_t occurrence,
			uint32_t step)
{
	uint32_t first = occurrence * job_spec_items_per_occurrence(job->spec);

	for (uint32_t i = 0; i < step; i++)
		first += job_step(job, i)->item_count;
	return first;
}

uint32_t job_checkpoint_index(const struct job *job, uint32_t index)
{
	uint32_t step = job_item_step(job, index);

	if (!job_step(job, step)->gang)
		return index;
	return job_first_item(job, job_item_occurrence(job, index), step);
}

void job_item_name(const struct job *job, uint32_t index, char *to,
		   size_t size_bytes)
{
	uint32_t occurrence = job_item_occurrence(job, index);
	uint32_t step = job_item_step(job, index);

	g_snprintf(to, size_bytes, "%s.%u.%u.%u", job->id, occurrence, step,
		   index - job_first_item(job, occurrence, step));
}

void job_step_name(const struct job *job, uint32_t occurrence, uint32_t step,
		   char *to, size_t size_bytes)
{
	g_snprintf(to, size_bytes, "%s.%u.%u", job->id, occurrence, step);
}

static bool parse_part(const char **text, uint32_t *value)
{
	char *end;
	guint64 parsed;

	if (**text != '.' || !g_ascii_isdigit((*text)[1]))
		return false;
	parsed = g_ascii_strtoull(*text + 1, &end, 10);
	if (parsed > UINT32_MAX)
		return false;
	*value = (uint32_t)parsed;
	*text = end;
	return true;
}

bool job_item_parse(const char *name, char *id, uint32_t *occurrence,
		    uint32_t *step, uint32_t *index)
{
	if (strlen(name) < JOB_ID_SIZE_BYTES)
		return false;
	memcpy(id, name, JOB_ID_SIZE_BYTES - 1);
	id[JOB_ID_SIZE_BYTES - 1] = '\0';
	name += JOB_ID_SIZE_BYTES - 1;
	return job_id_is_valid(id) && parse_part(&name, occurrence) &&
	       parse_part(&name, step) && parse_part(&name, index) && !*name;
}

struct step_count job_step_count(const struct job *job, uint32_t occurrence,
				 uint32_t step)
{
	const struct step_count *block =
		job->step_counts[occurrence / JOB_BLOCK_OCCURRENCES_COUNT];
	uint32_t item_count = job_step(job, step)->item_count;

	if (!block)
		return (struct step_count){ item_count, item_count };
	return block[occurrence % JOB_BLOCK_OCCURRENCES_COUNT *
			     job->spec->steps->len +
		     step];
}

/* The counts of a step, to be changed. */
static struct step_count *step_count(struct job *job, uint32_t occurrence,
				     uint32_t step)
{
	uint32_t number = occurrence / JOB_BLOCK_OCCURRENCES_COUNT;
	uint32_t steps_count = job->spec->steps->len;

	if (!job->step_counts[number]) {
		uint32_t len = block_len(job->spec, number) * steps_count;
		struct step_count *block = g_new0(struct step_count, len);

		for (uint32_t i = 0; i < len; i++) {
			uint32_t item_count =
				job_step(job, i % steps_count)->item_count;

			block[i] =
				(struct step_count){ item_count, item_count };
		}
		job->step_counts[number] = block;
		hold(job, block_bytes(job->spec, number));
	}
	return &job->step_counts[number][occurrence %
						 JOB_BLOCK_OCCURRENCES_COUNT *
						 steps_count +
					 step];
}

bool job_step_is_done(const struct job *job, uint32_t occurrence, uint32_t step)
{
	return !job_step_count(job, occurrence, step).left;
}

bool job_step_is_ready(const struct job *job, uint32_t occurrence,
		       uint32_t step)
{
	uint64_t mask = job_step(job, step)->dependency_mask;

	for (uint32_t i = 0; i < job->spec->steps->len; i++) {
		if ((mask >> i & 1) && !job_step_is_done(job, occurrence, i))
			return false;
	}
	return true;
}

int64_t job_due_ms(const struct job *job, uint32_t occurrence)
{
	if (!job->spec->occurrence_count)
		return 0;
	return job->spec->first_due_ms +
	       (int64_t)occurrence * job->spec->interval_ms;
}

bool job_has_ended(const struct job *job)
{
	return job->state >= JOB_COMPLETE || job->cancelled;
}

/* Adds count items of a phase to the counts; -1U removes one. */
static void count_item(struct job *job, struct step_count *of_step,
		       enum item_phase phase, uint32_t count)
{
	if (phase == ITEM_DONE)
		return;
	job->left_count += count;
	of_step->left += count;
	if (phase == ITEM_WAITING)
		of_step->waiting += count;
	else
		job->placed_count += count;
}

void job_set_phase(struct job *job, uint32_t index, enum item_phase phase)
{
	struct job_item *item = job_item(job, index);
	struct step_count *of_step =
		step_count(job, job_item_occurrence(job, index),
			   job_item_step(job, index));

	count_item(job, of_step, item->phase, -1U);
	item->phase = phase;
	count_item(job, of_step, phase, 1);
}

/* Counts items that were counted as waiting by their phase. */
static void recount_segment(struct job *job, uint32_t segment)
{
	uint32_t first = segment * JOB_SEGMENT_ITEMS_COUNT;

	for (uint32_t i = 0; i < segment_len(job->item_count, segment); i++) {
		uint32_t index = first + i;
		enum item_phase phase = job_item_view(job, index)->phase;
		struct step_count *of_step;

		if (phase == ITEM_WAITING)
			continue;
		of_step = step_count(job, job_item_occurrence(job, index),
				     job_item_step(job, index));
		count_item(job, of_step, ITEM_WAITING, -1U);
		count_item(job, of_step, phase, 1);
	}
}

void job_recount(struct job *job)
{
	free_counts(job);
	job->left_count = job->item_count;
	job->placed_count = 0;
	for (uint32_t i = 0; i < job_segments_count(job); i++) {
		if (job->segments[i])
			recount_segment(job, i);
	}
}

bool job_id_is_valid(const char *id)
{
	if (strlen(id) != JOB_ID_SIZE_BYTES - 1)
		return false;
	for (; *id; id++) {
		if (!g_ascii_isxdigit(*id))
			return false;
	}
	return true;
}

const char *job_state_text(enum job_state state)
{
	static const char *const texts[JOB_STATE_COUNT] = {
		[JOB_PENDING] = "pending",   [JOB_ACTIVE] = "active",
		[JOB_COMPLETE] = "complete", [JOB_FAILED] = "failed",
		[JOB_CANCELED] = "canceled",
	};

	return state < JOB_STATE_COUNT ? texts[state] : "unknown";
}
