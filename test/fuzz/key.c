/* Idempotency keys of callers. */

#include <string.h>

#include "fuzz.h"

static void run(const uint8_t *data, size_t size_bytes)
{
	char key[KEY_SIZE_BYTES];
	int64_t wall_us = 0;

	if (size_bytes >= sizeof(key))
		return;
	if (size_bytes)
		memcpy(key, data, size_bytes);
	key[size_bytes] = '\0';
	if (!claim_key_wall_us(key, &wall_us))
		return;
	fuzz_check(wall_us >= 0 && wall_us % USEC_PER_MSEC == 0,
		   "a key's time is in whole milliseconds since 1970");
	fuzz_check(strchr(key, '-') != NULL, "a key has a token");
}

const struct fuzz_target fuzz_target = { .run = run };
