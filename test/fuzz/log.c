/* Answers of the platform's log. */

#include "codec/record_codec.h"
#include "fuzz.h"
#include "io/log_wire.h"

static void check_item(const struct log_response *answer, guint index)
{
	const struct log_item *item =
		&g_array_index(answer->items, struct log_item, index);
	char reason[REASON_SIZE_BYTES];
	gsize size_bytes;
	const void *data = g_bytes_get_data(item->data, &size_bytes);
	GPtrArray *records = batch_decode(data, size_bytes, reason);

	fuzz_check(item->platform_offset >= answer->first_offset &&
			   item->platform_offset < answer->next_offset,
		   "records are within the bounds of the answer");
	fuzz_check(!index || item[-1].platform_offset < item->platform_offset,
		   "offsets of records increase");
	fuzz_check(log_block_after(log_block_end(item->platform_offset)) ==
			   item->platform_offset + 1,
		   "record offsets do not overflow");
	if (records)
		g_ptr_array_unref(records);
}

static void run(const uint8_t *data, size_t size_bytes)
{
	char reason[REASON_SIZE_BYTES];
	struct log_response answer;
	uint64_t offset = 0;

	if (log_response_parse(&answer, data, size_bytes, reason)) {
		for (guint i = 0; i < answer.items->len; i++)
			check_item(&answer, i);
	} else {
		fuzz_check(!answer.items->len, "a refused answer is empty");
	}
	log_response_clear(&answer);
	if (log_appended_parse(data, size_bytes, &offset))
		fuzz_check(offset > 0, "offsets are counted from 1");
	log_is_append_refused(data, size_bytes);
}

const struct fuzz_target fuzz_target = { .run = run };
