/* Records of the jobs topic, applied as every entry instance does. */

#include "codec/job_codec.h"
#include "fuzz.h"
#include "jobs/table.h"
#include "platform/job_wire.h"

#define ID "00000000000000a1"

static const char submission[] = "{\"spec\":\"t\",\"steps\":[{\"count\":300}]}";
static const char *const keys[] = { "j/" ID,   "s/" ID,	   "c/" ID,
				    "holder",  "w/1",	   "claim/e",
				    "entry/e", "machines", "s/" ID "/1" };

/* The first byte selects the key; the rest is the value of the record. */
static void run(const uint8_t *data, size_t size_bytes)
{
	struct job_table *table = job_table_new();
	GBytes *body = g_bytes_new_static(submission, sizeof(submission) - 1);
	struct job_record *submit = job_record_new(JOB_RECORD_SUBMIT);
	struct job_record *record;

	submit->spec = job_wire_parse(body);
	g_strlcpy(submit->id, ID, sizeof(submit->id));
	job_table_apply(table, submit, 0, false);
	record = size_bytes
			 ? job_codec_decode(keys[data[0] % G_N_ELEMENTS(keys)],
					    data + 1, size_bytes - 1)
			 : NULL;
	if (record) {
		job_table_apply(table, record, 0, false);
		g_bytes_unref(job_codec_encode(record));
		job_record_unref(record);
	}
	job_record_unref(submit);
	g_bytes_unref(body);
	job_table_free(table);
}

static void seed(const char *folder)
{
	static const uint8_t progress[] = { 1,	  0x08, 0x01, 0x10,
					    0x01, 0x1a, 0x01, 0x01 };
	static const uint8_t cancel[] = { 2, 1 };

	fuzz_seed_write(folder, "progress",
			g_bytes_new(progress, sizeof(progress)));
	fuzz_seed_write(folder, "cancel", g_bytes_new(cancel, sizeof(cancel)));
}

const struct fuzz_target fuzz_target = { .run = run, .seed = seed };
