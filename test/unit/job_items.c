/*
 * Guards against jobs that hold memory for items that nobody has run yet, or
 * that are done, and against a wrong account of what jobs hold.
 */

#include "jobs/table.h"
#include "runner/suite.h"

#define ITEMS_COUNT 300
#define YEAR_HOURS 8760

static struct job_spec *new_spec(uint32_t items_count, uint32_t occurrences)
{
	struct job_spec *spec = job_spec_new();
	struct job_step step = { .item_count = items_count, .cpu_milli = 500 };

	spec->text = g_strdup("t");
	spec->occurrence_count = occurrences;
	g_array_append_val(spec->steps, step);
	return spec;
}

/* Releases the reference to the specification. */
static struct job *new_job(struct job_spec *spec, uint64_t *sum)
{
	struct job *job = job_new("00000000000000a1", spec);

	job_count_in(job, sum);
	job_spec_unref(spec);
	return job;
}

static void test_untouched(void)
{
	uint64_t sum = 0;
	struct job *job = new_job(new_spec(2, YEAR_HOURS), &sum);
	uint64_t untouched_bytes = sum;

	CU_ASSERT_EQUAL(job->item_count, 2 * YEAR_HOURS);
	CU_ASSERT_EQUAL(job->left_count, 2 * YEAR_HOURS);
	CU_ASSERT(sum < 8192);
	CU_ASSERT_EQUAL(job_item_view(job, 9000)->phase, ITEM_WAITING);
	CU_ASSERT_EQUAL(job_step_count(job, 4500, 0).waiting, 2);
	job_recount(job);
	CU_ASSERT_EQUAL(sum, untouched_bytes);
	CU_ASSERT(job_segment_is_shared(job, job_item_segment(9000)));

	job_set_phase(job, 9000, ITEM_RUNNING);
	CU_ASSERT_FALSE(job_segment_is_shared(job, job_item_segment(9000)));
	CU_ASSERT(job_segment_is_shared(job, job_item_segment(9000) + 1));
	CU_ASSERT_EQUAL(job_step_count(job, 4500, 0).waiting, 1);
	CU_ASSERT_EQUAL(job_step_count(job, 4501, 0).waiting, 2);
	CU_ASSERT_EQUAL(job->placed_count, 1);
	CU_ASSERT(sum > untouched_bytes);
	CU_ASSERT(sum < untouched_bytes + 128 * sizeof(struct job_item) + 2048);
	job_free(job);
	CU_ASSERT_EQUAL(sum, 0);
}

static void test_done(void)
{
	uint64_t sum = 0;
	struct job *job = new_job(new_spec(ITEMS_COUNT, 0), &sum);
	uint64_t touched_bytes;

	for (uint32_t i = 0; i < 128; i++)
		job_set_phase(job, i, ITEM_DONE);
	job_set_phase(job, 128, ITEM_DONE);
	touched_bytes = sum;
	job_release_done_segment(job, 0);
	job_release_done_segment(job, 1);
	job_release_done_segment(job, 2);
	CU_ASSERT(sum < touched_bytes - 128 * sizeof(struct job_item));
	CU_ASSERT(job_segment_is_shared(job, 0));
	CU_ASSERT_FALSE(job_segment_is_shared(job, 1));
	CU_ASSERT(job_segment_is_shared(job, 2));
	CU_ASSERT_EQUAL(job_item_view(job, 127)->phase, ITEM_DONE);
	CU_ASSERT_EQUAL(job_item_view(job, 129)->phase, ITEM_WAITING);
	job_recount(job);
	CU_ASSERT_EQUAL(job->left_count, ITEMS_COUNT - 129);
	CU_ASSERT_EQUAL(job_step_count(job, 0, 0).left, ITEMS_COUNT - 129);

	/* An item of such a segment can be changed again. */
	job_set_phase(job, 5, ITEM_WAITING);
	CU_ASSERT_EQUAL(job_item_view(job, 5)->phase, ITEM_WAITING);
	CU_ASSERT_EQUAL(job_item_view(job, 6)->phase, ITEM_DONE);
	CU_ASSERT_EQUAL(job->left_count, ITEMS_COUNT - 128);
	job_free(job);
	CU_ASSERT_EQUAL(sum, 0);
}

static void test_checkpoints(void)
{
	uint64_t sum = 0;
	struct job *job = new_job(new_spec(1, 0), &sum);
	struct job_item *item = job_item(job, 0);
	uint64_t before_bytes = sum;

	job_replace_checkpoint(job, &item->checkpoint, "0123456789");
	CU_ASSERT(sum >= before_bytes + 10);
	job_replace_checkpoint(job, &item->checkpoint, "012345678");
	job_replace_checkpoint(job, &item->checkpoint, NULL);
	CU_ASSERT_EQUAL(sum, before_bytes);
	job_replace_checkpoint(job, &item->start_checkpoint, "0");
	job_free(job);
	CU_ASSERT_EQUAL(sum, 0);
}

static const CU_TestInfo tests[] = {
	{ "untouched items", test_untouched },
	{ "done items", test_done },
	{ "checkpoints", test_checkpoints },
	CU_TEST_INFO_NULL,
};

static struct suite items_suite = { .name = "job items", .tests = tests };

SUITE_REGISTER(items_suite)
