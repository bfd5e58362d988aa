/* Entries of workers in the directory, which other writers may damage. */

#include <string.h>

#include "core/address.h"
#include "fuzz.h"
#include "platform/directory_wire.h"

/* The first line is the id; the rest is the value of the record. */
static void run(const uint8_t *data, size_t size_bytes)
{
	const uint8_t *end = memchr(data, '\n', size_bytes);
	size_t id_bytes = end ? (size_t)(end - data) : 0;
	char *id = g_strndup((const char *)data, id_bytes);
	const char *invalid_part = NULL;
	struct worker_entry *entry;

	if (end)
		id_bytes++;
	entry = directory_parse_worker(id, data + id_bytes,
				       size_bytes - id_bytes, &invalid_part);
	fuzz_check(!entry == (invalid_part != NULL),
		   "an invalid entry has an invalid part");
	if (entry) {
		fuzz_check(address_is_valid(entry->address),
			   "a worker can be connected to");
		fuzz_check(entry->started_ms >= 0, "a start time is positive");
		worker_entry_free(entry);
	}
	g_free(id);
}

const struct fuzz_target fuzz_target = { .run = run };
