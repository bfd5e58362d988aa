/* Jobs as callers submit them. */

#include "fuzz.h"
#include "platform/job_wire.h"

static void run(const uint8_t *data, size_t size_bytes)
{
	GBytes *body = g_bytes_new(data, size_bytes);
	struct job_spec *spec = job_wire_parse(body);

	/* Every entry instance allocates the items of an accepted job. */
	if (spec && !job_spec_check(spec)) {
		struct job *job = job_new("00000000000000a1", spec);

		fuzz_check(job->item_count > 0 &&
				   job->item_count <= JOB_ITEMS_MAX_COUNT,
			   "an accepted job has a limited number of items");
		fuzz_check(job_due_ms(job, job_spec_occurrences(spec) - 1) >= 0,
			   "every due time is representable");
		job_free(job);
	}
	job_spec_unref(spec);
	g_bytes_unref(body);
}

const struct fuzz_target fuzz_target = { .run = run };
