/* Responses to a read of a topic. */

#include <string.h>

#include "fuzz.h"
#include "platform/topic.h"

#define FROM UINT64_C(7)

static void run(const uint8_t *data, size_t size_bytes)
{
	GBytes *body = g_bytes_new(data, size_bytes);
	struct topic_batch *batch = topic_batch_new();

	if (topic_parse_read(body, FROM, batch))
		fuzz_check(batch->next_offset == FROM + batch->records->len +
							 batch->invalid_count,
			   "every record is counted once");
	topic_batch_free(batch);
	g_bytes_unref(body);
}

static void add_record(GByteArray *body, const char *key, const char *value)
{
	GBytes *bytes = g_bytes_new(value, strlen(value));

	topic_encode_record(body, key, bytes);
	g_bytes_unref(bytes);
}

static void seed(const char *folder)
{
	static const uint8_t header[16] = { [7] = 9, [15] = 7 };
	static const uint8_t without_key[] = { 0, 0, 0, 2, 0, 'v' };
	static const uint8_t key_with_nul[] = { 0, 0, 0, 4, 2, 'a', 0, 'v' };
	GByteArray *body = g_byte_array_new();

	g_byte_array_append(body, header, sizeof(header));
	add_record(body, "w1", "{}");
	g_byte_array_append(body, without_key, sizeof(without_key));
	g_byte_array_append(body, key_with_nul, sizeof(key_with_nul));
	add_record(body, "w1", "");
	fuzz_seed_write(folder, "records", g_byte_array_free_to_bytes(body));
	fuzz_seed_write(folder, "empty", g_bytes_new(header, sizeof(header)));
}

const struct fuzz_target fuzz_target = { .run = run, .seed = seed };
