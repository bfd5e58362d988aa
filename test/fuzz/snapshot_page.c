/* Pages with the newest record of each key of a topic. */

#include "fuzz.h"
#include "platform/topic.h"

static void run(const uint8_t *data, size_t size_bytes)
{
	struct topic_batch *batch = topic_batch_new();
	char *next_key = NULL;

	if (!topic_parse_snapshot((const char *)data, size_bytes, batch,
				  &next_key))
		fuzz_check(!next_key, "a malformed page is not continued");
	for (guint i = 0; i < batch->records->len; i++)
		fuzz_check(g_array_index(batch->records, struct topic_record, i)
				   .key[0],
			   "each record has a key");
	g_free(next_key);
	topic_batch_free(batch);
}

const struct fuzz_target fuzz_target = { .run = run };
