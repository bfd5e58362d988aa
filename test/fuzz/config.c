/* The operator's configuration of queues and pools. */

#include "fuzz.h"
#include "platform/directory_wire.h"

static void check_queue(const struct queue *queue)
{
	fuzz_check(queue->name[0] && queue->host[0] && queue->pool[0],
		   "a queue has a name, a host and a pool");
	fuzz_check(queue->policy.target_us >= 0 && queue->timeout_us >= 0 &&
			   queue->policy.advice_decision_us >= 0 &&
			   queue->policy.advice_period_us >= 0,
		   "durations are positive");
	fuzz_check(queue->policy.slack_factor >= 0., "the slack is positive");
}

static void run(const uint8_t *data, size_t size_bytes)
{
	const char *invalid_part = NULL;
	struct queues *queues =
		directory_parse_config(data, size_bytes, &invalid_part);

	fuzz_check(!queues == (invalid_part != NULL),
		   "an invalid configuration has an invalid part");
	if (!queues)
		return;
	for (guint i = 0; i < queues->queues->len; i++)
		check_queue(queues->queues->pdata[i]);
	queues_unref(queues);
}

const struct fuzz_target fuzz_target = { .run = run };
