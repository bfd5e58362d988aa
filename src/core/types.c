#include "core/types.h"

#include <string.h>

static const char *const verdict_names[VERDICT_COUNT] = {
	[VERDICT_NONE] = "none",
	[VERDICT_NOT_RUN] = "not-run",
	[VERDICT_RAN] = "ran",
	[VERDICT_MAY_HAVE_RUN] = "may-have-run",
};

static const char *const urgency_names[URGENCY_COUNT] = {
	[URGENCY_URGENT] = "urgent",
	[URGENCY_NORMAL] = "normal",
	[URGENCY_BACKGROUND] = "background",
};

const char *verdict_name(enum verdict verdict)
{
	return verdict < VERDICT_COUNT ? verdict_names[verdict] : "none";
}

enum verdict verdict_from_name(const char *name)
{
	for (uint32_t i = 0; i < VERDICT_COUNT; i++) {
		if (!strcmp(name, verdict_names[i]))
			return (enum verdict)i;
	}
	return VERDICT_NONE;
}

const char *urgency_name(enum urgency urgency)
{
	return urgency < URGENCY_COUNT ? urgency_names[urgency] : "unknown";
}

enum urgency urgency_from_name(const char *name)
{
	for (uint32_t i = 0; i < URGENCY_COUNT; i++) {
		if (!strcmp(name, urgency_names[i]))
			return (enum urgency)i;
	}
	return URGENCY_COUNT;
}

bool name_copy(char *to, size_t size_bytes, const char *from)
{
	size_t length_bytes = strlen(from);

	if (length_bytes >= size_bytes) {
		to[0] = '\0';
		return false;
	}
	memcpy(to, from, length_bytes + 1);
	return true;
}
