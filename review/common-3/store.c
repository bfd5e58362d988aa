/* The platform's store: a log of topics, as PROTOCOL.md describes it. */

#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TOPICS_MAX_COUNT 16
#define APPEND_MS 1
#define PAGE_ITEMS 500
#define PAGE_BYTES (1024 * 1024)

struct log_record {
	char *data; /* without its length */
	size_t size;
};

struct producer {
	char name[128];
	uint64_t epoch;
	uint64_t sequence; /* of the newest append */
	bool any;
	uint64_t offsets[5]; /* first and end offsets of the last appends */
	uint64_t ends[5];
};

struct topic {
	char name[64];
	struct log_record *records;
	uint64_t count;
	uint64_t room;
	struct producer producers[64];
	unsigned producer_count;
	pthread_cond_t changed;
};

static struct topic topics[TOPICS_MAX_COUNT];
static unsigned topic_count;
static pthread_mutex_t append_lock = PTHREAD_MUTEX_INITIALIZER;

static struct topic *topic_get(const char *name)
{
	for (unsigned i = 0; i < topic_count; i++) {
		if (!strcmp(topics[i].name, name))
			return &topics[i];
	}
	if (topic_count == TOPICS_MAX_COUNT)
		abort();
	snprintf(topics[topic_count].name, sizeof(topics[0].name), "%s", name);
	pthread_cond_init(&topics[topic_count].changed, NULL);
	return &topics[topic_count++];
}

static void append(struct topic *topic, const char *data, size_t size)
{
	if (topic->count == topic->room) {
		topic->room = topic->room ? topic->room * 2 : 1024;
		topic->records = realloc(topic->records,
					 topic->room * sizeof(*topic->records));
	}
	topic->records[topic->count].data = malloc(size ? size : 1);
	memcpy(topic->records[topic->count].data, data, size);
	topic->records[topic->count++].size = size;
}

static size_t key_size(const struct log_record *record)
{
	size_t size = record->size ? (uint8_t)record->data[0] : 0;

	return 1 + size <= record->size ? size : 0;
}

static uint32_t read_u32(const char *data)
{
	const uint8_t *bytes = (const uint8_t *)data;

	return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
	       (uint32_t)bytes[2] << 8 | bytes[3];
}

static void write_u64(char *to, uint64_t value)
{
	for (int i = 0; i < 8; i++)
		to[i] = (char)(value >> (56 - 8 * i));
}

static struct producer *producer_get(struct topic *topic, const char *name)
{
	for (unsigned i = 0; i < topic->producer_count; i++) {
		if (!strcmp(topic->producers[i].name, name))
			return &topic->producers[i];
	}
	if (topic->producer_count == 64)
		abort();
	snprintf(topic->producers[topic->producer_count].name,
		 sizeof(topic->producers[0].name), "%s", name);
	return &topic->producers[topic->producer_count++];
}

static void reply_appended(struct response *response, uint64_t offset,
			   uint64_t end)
{
	response_json(response, 200,
		      json_pack("{s:I,s:I}", "offset", (json_int_t)offset,
				"end_offset", (json_int_t)end));
}

/* Returns true if the append may go on; otherwise it was answered. */
static bool check_producer(struct producer *producer, uint64_t epoch,
			   uint64_t sequence, struct response *response)
{
	if (epoch < producer->epoch) {
		response_json(response, 409,
			      json_pack("{s:s}", "reason", "fenced"));
		return false;
	}
	if (epoch > producer->epoch || !producer->any)
		return true;
	if (sequence == producer->sequence + 1)
		return true;
	if (sequence <= producer->sequence &&
	    producer->sequence - sequence < 5) {
		reply_appended(response, producer->offsets[sequence % 5],
			       producer->ends[sequence % 5]);
		return false;
	}
	response_json(response, 409,
		      json_pack("{s:s,s:I}", "reason", "seq", "seq",
				(json_int_t)(producer->sequence + 1)));
	return false;
}

static void handle_append(const struct request *request,
			  struct response *response)
{
	char name[64];
	char producer_name[128];
	char text[32];
	uint64_t epoch = 0;
	uint64_t sequence = 0;
	struct producer *producer = NULL;
	struct topic *topic;
	uint64_t first;

	query_value(request, "topic", name, sizeof(name));
	topic = topic_get(name);
	if (query_value(request, "producer", producer_name,
			sizeof(producer_name))) {
		producer = producer_get(topic, producer_name);
		query_value(request, "epoch", text, sizeof(text));
		epoch = strtoull(text, NULL, 10);
		query_value(request, "seq", text, sizeof(text));
		sequence = strtoull(text, NULL, 10);
	}
	if (producer && !check_producer(producer, epoch, sequence, response))
		return;
	first = topic->count;
	for (size_t at = 0; at + 4 <= request->size;) {
		size_t size = read_u32(request->body + at);

		if (size > request->size - at - 4) {
			response->status = 400;
			return;
		}
		append(topic, request->body + at + 4, size);
		at += 4 + size;
	}
	if (producer) {
		producer->epoch = epoch;
		producer->sequence = sequence;
		producer->any = true;
		producer->offsets[sequence % 5] = first;
		producer->ends[sequence % 5] = topic->count;
	}
	pthread_cond_broadcast(&topic->changed);
	reply_appended(response, first, topic->count);
}

static void wait_for_record(struct topic *topic, uint64_t from, int64_t wait)
{
	int64_t until_ms = wall_ms() + wait;
	struct timespec until = { .tv_sec = until_ms / 1000,
				  .tv_nsec = until_ms % 1000 * 1000000 };

	while (topic->count <= from && wall_ms() < until_ms)
		pthread_cond_timedwait(&topic->changed, &world_lock, &until);
}

static void handle_read(const struct request *request,
			struct response *response)
{
	char name[64];
	char text[32];
	uint64_t from;
	size_t limit = 1024 * 1024;
	size_t size = 16;
	size_t at = 16;
	uint64_t end;
	struct topic *topic;

	query_value(request, "topic", name, sizeof(name));
	topic = topic_get(name);
	query_value(request, "from", text, sizeof(text));
	from = strtoull(text, NULL, 10);
	if (query_value(request, "max_kb", text, sizeof(text)))
		limit = strtoull(text, NULL, 10) * 1024;
	if (query_value(request, "wait_ms", text, sizeof(text)))
		wait_for_record(topic, from, strtoll(text, NULL, 10));
	for (end = from; end < topic->count; end++) {
		if (end > from && size + 4 + topic->records[end].size > limit)
			break;
		size += 4 + topic->records[end].size;
	}
	response->body = malloc(size);
	response->size = size;
	response->status = 200;
	response->type = "application/octet-stream";
	write_u64(response->body, topic->count);
	write_u64(response->body + 8, 0);
	for (uint64_t i = from; i < end; i++) {
		const struct log_record *record = &topic->records[i];
		char length[8];

		write_u64(length, record->size);
		memcpy(response->body + at, length + 4, 4);
		memcpy(response->body + at + 4, record->data, record->size);
		at += 4 + record->size;
	}
}

static char *base64(const char *data, size_t size)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	char *text = malloc(size / 3 * 4 + 8);
	char *to = text;

	for (size_t i = 0; i < size; i += 3) {
		uint32_t group = (uint32_t)(uint8_t)data[i] << 16;

		group |= i + 1 < size ? (uint32_t)(uint8_t)data[i + 1] << 8 : 0;
		group |= i + 2 < size ? (uint8_t)data[i + 2] : 0;
		*to++ = digits[group >> 18];
		*to++ = digits[group >> 12 & 63];
		*to++ = i + 1 < size ? digits[group >> 6 & 63] : '=';
		*to++ = i + 2 < size ? digits[group & 63] : '=';
	}
	*to = '\0';
	return text;
}

static int compare_keys(const struct log_record *a, const struct log_record *b)
{
	size_t left = key_size(a);
	size_t right = key_size(b);
	int order =
		memcmp(a->data + 1, b->data + 1, left < right ? left : right);

	return order ? order : (left > right) - (left < right);
}

struct newest {
	const struct log_record *record;
	uint64_t offset;
};

static int compare_newest(const void *a, const void *b)
{
	const struct newest *left = a;
	const struct newest *right = b;
	int order = compare_keys(left->record, right->record);

	return order ? order
		     : (left->offset < right->offset) -
			       (left->offset > right->offset);
}

/* The newest record of each key, in order of keys; count is set. */
static struct newest *list_newest(const struct topic *topic, size_t *count)
{
	struct newest *all = malloc((topic->count + 1) * sizeof(*all));
	struct newest *list = malloc((topic->count + 1) * sizeof(*list));
	size_t kept = 0;

	for (uint64_t i = 0; i < topic->count; i++) {
		all[i].record = &topic->records[i];
		all[i].offset = i;
	}
	qsort(all, topic->count, sizeof(*all), compare_newest);
	for (uint64_t i = 0; i < topic->count; i++) {
		const struct log_record *record = all[i].record;

		if (i && !compare_keys(all[i - 1].record, record))
			continue;
		/* Without a value, the key is dropped. */
		if (record->size > 1 + key_size(record))
			list[kept++] = all[i];
	}
	free(all);
	*count = kept;
	return list;
}

static void handle_newest(const struct request *request,
			  struct response *response)
{
	char name[64];
	char after[300];
	bool from_start =
		!query_value(request, "depends_on", after, sizeof(after));
	json_t *items = json_array();
	struct topic *topic;
	struct newest *list;
	size_t count;
	size_t bytes = 0;
	size_t i;

	query_value(request, "topic", name, sizeof(name));
	topic = topic_get(name);
	list = list_newest(topic, &count);
	for (i = 0; i < count; i++) {
		const struct log_record *record = list[i].record;
		size_t length = key_size(record);
		char key[256];
		char *value;

		memcpy(key, record->data + 1, length);
		key[length] = '\0';
		if (!from_start && strcmp(key, after) <= 0)
			continue;
		if (json_array_size(items) == PAGE_ITEMS ||
		    bytes > PAGE_BYTES * 3 / 4)
			break;
		value = base64(record->data + 1 + length,
			       record->size - 1 - length);
		bytes += strlen(value);
		json_array_append_new(items,
				      json_pack("{s:s,s:s,s:I}", "key", key,
						"value", value, "offset",
						(json_int_t)list[i].offset));
		free(value);
	}
	response_json(response, 200,
		      json_pack("{s:o,s:b,s:I}", "items", items, "has_more",
				(int)(i < count), "end_offset",
				(json_int_t)topic->count));
	free(list);
}

static void handle_store(void *self, const struct request *request,
			 struct response *response)
{
	bool appends = !strcmp(request->path, "/api/log-append");

	(void)self;
	/* A partition processes its appends one at a time. */
	if (appends) {
		pthread_mutex_lock(&append_lock);
		sleep_ms(APPEND_MS);
	}
	pthread_mutex_lock(&world_lock);
	if (appends)
		handle_append(request, response);
	else if (!strcmp(request->path, "/api/log-read"))
		handle_read(request, response);
	else if (!strcmp(request->path, "/api/log-newest"))
		handle_newest(request, response);
	pthread_mutex_unlock(&world_lock);
	if (appends)
		pthread_mutex_unlock(&append_lock);
}

void store_put(const char *topic_name, const char *key, const char *value)
{
	struct topic *topic = topic_get(topic_name);
	size_t key_length = strlen(key);
	size_t size = 1 + key_length + (value ? strlen(value) : 0);
	char *data = malloc(size);

	data[0] = (char)key_length;
	memcpy(data + 1, key, key_length);
	memcpy(data + 1 + key_length, value ? value : "",
	       size - 1 - key_length);
	append(topic, data, size);
	pthread_cond_broadcast(&topic->changed);
	free(data);
}

char *store_get(const char *topic_name, const char *key, size_t *size)
{
	const struct topic *topic = topic_get(topic_name);
	size_t length = strlen(key);

	for (uint64_t i = topic->count; i > 0; i--) {
		const struct log_record *record = &topic->records[i - 1];
		char *value;

		if (key_size(record) != length ||
		    memcmp(record->data + 1, key, length) != 0)
			continue;
		*size = record->size - 1 - length;
		if (!*size)
			return NULL;
		value = malloc(*size + 1);
		memcpy(value, record->data + 1 + length, *size);
		value[*size] = '\0';
		return value;
	}
	return NULL;
}

uint16_t store_start(const char *ip)
{
	return server_start(ip, handle_store, NULL);
}
