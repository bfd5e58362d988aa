/* The platform's store: keyed topics of one partition. Nothing expires. */

#include <stdlib.h>
#include <string.h>

#include "world.h"

#define TOPICS_MAX_COUNT 8
#define PRODUCERS_MAX_COUNT 64
#define ANSWERS_KEPT_COUNT 5
#define PAGE_MAX_COUNT 500
#define PAGE_MAX_BYTES 700000

struct record {
	unsigned char *data; /* as appended, without its length */
	uint32_t size_bytes;
};

struct answer {
	int64_t seq;
	int64_t offset;
	int64_t end_offset;
};

struct producer {
	char name[96];
	int64_t epoch;
	int64_t seq; /* newest; -1: none in this epoch */
	struct answer answers[ANSWERS_KEPT_COUNT];
};

struct topic {
	char name[64];
	struct record *records;
	int64_t count;
	struct producer producers[PRODUCERS_MAX_COUNT];
	int producer_count;
};

static struct topic topics[TOPICS_MAX_COUNT];
static int topic_count;

static struct topic *topic_get(const char *name)
{
	for (int i = 0; i < topic_count; i++) {
		if (!strcmp(topics[i].name, name))
			return &topics[i];
	}
	if (topic_count == TOPICS_MAX_COUNT)
		abort();
	snprintf(topics[topic_count].name, sizeof(topics[0].name), "%s", name);
	return &topics[topic_count++];
}

static void add_record(struct topic *topic, const void *data, uint32_t size)
{
	struct record record = { malloc(size ? size : 1), size };

	memcpy(record.data, data, size);
	topic->records = realloc(topic->records,
				 (size_t)(topic->count + 1) * sizeof(record));
	topic->records[topic->count++] = record;
}

void store_put(const char *topic, const char *key, const char *value)
{
	unsigned char buffer[65536];
	size_t key_bytes = strlen(key);
	size_t value_bytes = value ? strlen(value) : 0;

	buffer[0] = (unsigned char)key_bytes;
	memcpy(buffer + 1, key, key_bytes);
	memcpy(buffer + 1 + key_bytes, value ? value : "", value_bytes);
	pthread_mutex_lock(&world_lock);
	add_record(topic_get(topic), buffer,
		   (uint32_t)(1 + key_bytes + value_bytes));
	pthread_cond_broadcast(&world_changed);
	pthread_mutex_unlock(&world_lock);
}

static bool key_is(const struct record *record, const unsigned char *key,
		   size_t key_bytes)
{
	return record->data[0] == key_bytes &&
	       !memcmp(record->data + 1, key, key_bytes);
}

static void set_json(struct http_reply *reply, int status, json_t *json)
{
	reply->status = status;
	reply->body = json_dumps(json, JSON_COMPACT);
	reply->body_bytes = strlen(reply->body);
	json_decref(json);
}

static uint32_t big_endian_32(const unsigned char *data)
{
	return (uint32_t)data[0] << 24 | (uint32_t)data[1] << 16 |
	       (uint32_t)data[2] << 8 | data[3];
}

static void append_records(struct topic *topic,
			   const struct http_request *request)
{
	const unsigned char *data = (const unsigned char *)request->body;
	size_t at = 0;

	while (at + 4 <= request->body_bytes) {
		uint32_t size = big_endian_32(data + at);

		add_record(topic, data + at + 4, size);
		at += 4 + size;
	}
}

static struct producer *producer_get(struct topic *topic, const char *name)
{
	struct producer *producer;

	for (int i = 0; i < topic->producer_count; i++) {
		if (!strcmp(topic->producers[i].name, name))
			return &topic->producers[i];
	}
	if (topic->producer_count == PRODUCERS_MAX_COUNT)
		abort();
	producer = &topic->producers[topic->producer_count++];
	snprintf(producer->name, sizeof(producer->name), "%s", name);
	producer->seq = -1;
	return producer;
}

/* Returns true if the append was answered from the producer's state. */
static bool answer_repeat(struct producer *producer, int64_t epoch, int64_t seq,
			  struct http_reply *reply)
{
	if (epoch < producer->epoch) {
		set_json(reply, 409, json_pack("{s:s}", "reason", "fenced"));
		return true;
	}
	if (epoch > producer->epoch) {
		producer->epoch = epoch;
		producer->seq = -1;
		memset(producer->answers, -1, sizeof(producer->answers));
		return false;
	}
	for (int i = 0; i < ANSWERS_KEPT_COUNT; i++) {
		const struct answer *kept = &producer->answers[i];

		if (producer->seq >= 0 && kept->seq == seq) {
			set_json(reply, 200,
				 json_pack("{s:I, s:I}", "offset",
					   (json_int_t)kept->offset,
					   "end_offset",
					   (json_int_t)kept->end_offset));
			return true;
		}
	}
	if (producer->seq >= 0 && seq != producer->seq + 1) {
		set_json(reply, 409,
			 json_pack("{s:s, s:I}", "reason", "seq", "seq",
				   (json_int_t)(producer->seq + 1)));
		return true;
	}
	return false;
}

static void handle_append(struct topic *topic,
			  const struct http_request *request,
			  struct http_reply *reply)
{
	char name[96];
	char epoch[32] = "0";
	char seq[32] = "0";
	struct producer *producer = NULL;
	int64_t offset;

	if (http_query(request, "producer", name, sizeof(name))) {
		http_query(request, "epoch", epoch, sizeof(epoch));
		http_query(request, "seq", seq, sizeof(seq));
		producer = producer_get(topic, name);
		if (answer_repeat(producer, atoll(epoch), atoll(seq), reply))
			return;
	}
	offset = topic->count;
	append_records(topic, request);
	if (producer) {
		producer->seq = atoll(seq);
		producer->answers[producer->seq % ANSWERS_KEPT_COUNT] =
			(struct answer){ producer->seq, offset, topic->count };
	}
	set_json(reply, 200,
		 json_pack("{s:I, s:I}", "offset", (json_int_t)offset,
			   "end_offset", (json_int_t)topic->count));
	pthread_cond_broadcast(&world_changed);
}

static void put_big_endian(unsigned char *to, uint64_t value, int size)
{
	for (int i = 0; i < size; i++)
		to[i] = (unsigned char)(value >> 8 * (size - 1 - i));
}

static void wait_for_records(const struct store_port *port,
			     const struct topic *topic, int64_t from,
			     int64_t until_ms)
{
	while (topic->count <= from && !port->refuses &&
	       world_ms() < until_ms) {
		struct timespec until;

		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += 20 * 1000000L;
		if (until.tv_nsec >= 1000000000L) {
			until.tv_sec++;
			until.tv_nsec -= 1000000000L;
		}
		pthread_cond_timedwait(&world_changed, &world_lock, &until);
	}
}

static void handle_read(const struct store_port *port,
			const struct topic *topic,
			const struct http_request *request,
			struct http_reply *reply)
{
	char from_text[32] = "0";
	char wait_text[32] = "0";
	char max_text[32] = "1024";
	size_t used = 16;
	int64_t from;

	http_query(request, "from", from_text, sizeof(from_text));
	http_query(request, "wait_ms", wait_text, sizeof(wait_text));
	http_query(request, "max_kb", max_text, sizeof(max_text));
	from = atoll(from_text);
	wait_for_records(port, topic, from, world_ms() + atoll(wait_text));
	if (port->refuses) {
		set_json(reply, 503, json_object());
		return;
	}
	reply->body = calloc(1, 16);
	put_big_endian((unsigned char *)reply->body, (uint64_t)topic->count, 8);
	for (int64_t i = from; i < topic->count; i++) {
		const struct record *record = &topic->records[i];

		if (i > from &&
		    used + record->size_bytes > (size_t)atoll(max_text) * 1024)
			break;
		reply->body =
			realloc(reply->body, used + 4 + record->size_bytes);
		put_big_endian((unsigned char *)reply->body + used,
			       record->size_bytes, 4);
		memcpy(reply->body + used + 4, record->data,
		       record->size_bytes);
		used += 4 + record->size_bytes;
	}
	reply->body_bytes = used;
}

static char *base64(const unsigned char *data, size_t size_bytes)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	char *text = malloc(size_bytes * 2 + 8);
	size_t used = 0;

	for (size_t i = 0; i < size_bytes; i += 3) {
		uint32_t group = (uint32_t)data[i] << 16;

		if (i + 1 < size_bytes)
			group |= (uint32_t)data[i + 1] << 8;
		if (i + 2 < size_bytes)
			group |= data[i + 2];
		text[used++] = digits[group >> 18];
		text[used++] = digits[group >> 12 & 63];
		text[used++] =
			i + 1 < size_bytes ? digits[group >> 6 & 63] : '=';
		text[used++] = i + 2 < size_bytes ? digits[group & 63] : '=';
	}
	text[used] = '\0';
	return text;
}

static int compare_keys(const void *a, const void *b)
{
	const struct record *left = *(struct record *const *)a;
	const struct record *right = *(struct record *const *)b;
	size_t shorter =
		left->data[0] < right->data[0] ? left->data[0] : right->data[0];
	int order = memcmp(left->data + 1, right->data + 1, shorter);

	return order ? order : left->data[0] - right->data[0];
}

/* The newest record of each key that has a value, by key. */
static struct record **newest_records(const struct topic *topic, int *count)
{
	struct record **found =
		calloc((size_t)topic->count + 1, sizeof(*found));

	*count = 0;
	for (int64_t i = topic->count; i > 0; i--) {
		struct record *record = &topic->records[i - 1];
		bool is_newest = true;

		for (int j = 0; j < *count && is_newest; j++)
			is_newest = !key_is(found[j], record->data + 1,
					    record->data[0]);
		if (is_newest)
			found[(*count)++] = record;
	}
	qsort(found, (size_t)*count, sizeof(*found), compare_keys);
	return found;
}

static void handle_newest(const struct topic *topic,
			  const struct http_request *request,
			  struct http_reply *reply)
{
	json_t *items = json_array();
	char after[256] = "";
	size_t page_bytes = 0;
	bool has_more = false;
	int count;
	struct record **newest = newest_records(topic, &count);

	http_query(request, "depends_on", after, sizeof(after));
	for (int i = 0; i < count; i++) {
		const struct record *record = newest[i];
		char key[256];
		char *value;

		memcpy(key, record->data + 1, record->data[0]);
		key[record->data[0]] = '\0';
		if (strcmp(key, after) <= 0 ||
		    record->size_bytes == 1u + record->data[0])
			continue;
		if (json_array_size(items) >= PAGE_MAX_COUNT ||
		    page_bytes > PAGE_MAX_BYTES) {
			has_more = true;
			break;
		}
		value = base64(record->data + 1 + record->data[0],
			       record->size_bytes - 1 - record->data[0]);
		page_bytes += strlen(value);
		json_array_append_new(
			items,
			json_pack("{s:s, s:s, s:I}", "key", key, "value", value,
				  "offset",
				  (json_int_t)(record - topic->records)));
		free(value);
	}
	free(newest);
	set_json(reply, 200,
		 json_pack("{s:o, s:b, s:I}", "items", items, "has_more",
			   has_more, "end_offset", (json_int_t)topic->count));
}

static void handle(void *self, const struct http_request *request,
		   struct http_reply *reply)
{
	const struct store_port *port = self;
	char name[64];
	struct topic *topic;

	pthread_mutex_lock(&world_lock);
	if (port->refuses) {
		set_json(reply, 503, json_object());
	} else if (!http_query(request, "topic", name, sizeof(name))) {
		set_json(reply, 400, json_object());
	} else {
		topic = topic_get(name);
		if (!strcmp(request->path, "/api/log-append"))
			handle_append(topic, request, reply);
		else if (!strcmp(request->path, "/api/log-read"))
			handle_read(port, topic, request, reply);
		else if (!strcmp(request->path, "/api/log-newest"))
			handle_newest(topic, request, reply);
		else
			set_json(reply, 404, json_object());
	}
	pthread_mutex_unlock(&world_lock);
}

void store_refuse(struct store_port *port, bool refuses)
{
	pthread_mutex_lock(&world_lock);
	port->refuses = refuses;
	pthread_cond_broadcast(&world_changed);
	pthread_mutex_unlock(&world_lock);
}

void store_open(struct store_port *ports, int count)
{
	for (int i = 0; i < count; i++)
		ports[i].port =
			http_server_port(http_server_new(0, handle, &ports[i]));
}
