/* Maintenance waves of the operator. */

#include "core/event.h"
#include "fuzz.h"
#include "platform/directory_wire.h"

static void run(const uint8_t *data, size_t size_bytes)
{
	const char *invalid_part = NULL;
	struct wave_seen *seen =
		directory_parse_wave(data, size_bytes, &invalid_part);
	struct event event = { .type = EVENT_WAVE_SEEN, .msg = seen };

	fuzz_check(!seen == (invalid_part != NULL),
		   "an invalid wave has an invalid part");
	if (!seen)
		return;
	fuzz_check(seen->duration_us >= 0, "a duration is positive");
	event_clear(&event);
}

const struct fuzz_target fuzz_target = { .run = run };
