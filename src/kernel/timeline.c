#include "kernel/timeline.h"

#define HLC_COUNTER_BITS 16

struct timeline {
	char process[NAME_SIZE_BYTES];
	uint64_t wall_hlc; /* wall clock as an hlc with counter 0 */
	uint64_t hlc;
	uint64_t added_count;
	struct timeline_entry ring[TIMELINE_CAPACITY_COUNT];
};

static const char *const kind_names[TIMELINE_KIND_COUNT] = {
	[TIMELINE_REQUEST] = "request", [TIMELINE_ATTEMPT] = "attempt",
	[TIMELINE_REPLY] = "reply",	[TIMELINE_RECORD] = "record",
	[TIMELINE_LOG] = "log",		[TIMELINE_PEER] = "peer",
	[TIMELINE_ROLE] = "role",	[TIMELINE_SLOTS] = "slots",
	[TIMELINE_HEALTH] = "health",	[TIMELINE_PROCESS] = "process",
};

struct timeline *timeline_new(const char *process)
{
	struct timeline *timeline = g_new0(struct timeline, 1);

	name_copy(timeline->process, sizeof(timeline->process), process);
	return timeline;
}

void timeline_free(struct timeline *timeline)
{
	g_free(timeline);
}

void timeline_set_wall(struct timeline *timeline, int64_t wall_us)
{
	timeline->wall_hlc = (uint64_t)(wall_us / USEC_PER_MSEC)
			     << HLC_COUNTER_BITS;
}

uint64_t timeline_next_hlc(struct timeline *timeline)
{
	if (timeline->wall_hlc > timeline->hlc)
		timeline->hlc = timeline->wall_hlc;
	else
		timeline->hlc++;
	return timeline->hlc;
}

void timeline_merge_hlc(struct timeline *timeline, uint64_t hlc)
{
	if (hlc > timeline->hlc)
		timeline->hlc = hlc;
}

void timeline_add(struct timeline *timeline, const struct timeline_entry *entry)
{
	uint64_t at = timeline->added_count % TIMELINE_CAPACITY_COUNT;

	timeline->ring[at] = *entry;
	timeline->ring[at].hlc = timeline_next_hlc(timeline);
	timeline->added_count++;
}

uint64_t timeline_lost_count(const struct timeline *timeline)
{
	if (timeline->added_count < TIMELINE_CAPACITY_COUNT)
		return 0;
	return timeline->added_count - TIMELINE_CAPACITY_COUNT;
}

uint32_t timeline_count(const struct timeline *timeline)
{
	return (uint32_t)MIN(timeline->added_count, TIMELINE_CAPACITY_COUNT);
}

const struct timeline_entry *timeline_get(const struct timeline *timeline,
					  uint32_t index)
{
	uint64_t at = timeline_lost_count(timeline) + index;

	if (at >= timeline->added_count)
		return NULL;
	return &timeline->ring[at % TIMELINE_CAPACITY_COUNT];
}

const char *timeline_kind_name(enum timeline_kind kind)
{
	return kind < TIMELINE_KIND_COUNT ? kind_names[kind] : "unknown";
}

const char *timeline_process(const struct timeline *timeline)
{
	return timeline->process;
}
