#include "codec/record_codec.h"

#include <xxhash.h>

#include "codec/record_body.h"

#define RECORD_VERSION 1
#define BATCH_VERSION 1

/* Wire values of the kinds; they must never change. */
static const uint32_t wire_kinds[RECORD_KIND_COUNT] = {
	[RECORD_CONFIG_PUT] = 1,     [RECORD_CONFIG_REMOVE] = 2,
	[RECORD_ENTRY_JOIN] = 3,     [RECORD_ENTRY_LEAVE] = 4,
	[RECORD_ENTRY_GONE] = 5,     [RECORD_LEASE_CLAIM] = 6,
	[RECORD_LEASE_RENEW] = 7,    [RECORD_MOVE_START] = 8,
	[RECORD_DRAIN_ACK] = 9,	     [RECORD_MOVE_COMMIT] = 10,
	[RECORD_MOVE_ABORT] = 11,    [RECORD_MAINT_START] = 12,
	[RECORD_MAINT_REBOOT] = 13,  [RECORD_MAINT_DONE] = 14,
	[RECORD_WAVE_HALT] = 15,     [RECORD_INSTANCE_DOWN] = 16,
	[RECORD_INSTANCE_UP] = 17,   [RECORD_CLAIM] = 18,
	[RECORD_CLAIM_RESULT] = 19,  [RECORD_JOB_SUBMIT] = 20,
	[RECORD_JOB_PLACE] = 21,     [RECORD_JOB_RENEW] = 22,
	[RECORD_JOB_END] = 23,	     [RECORD_JOB_CANCEL] = 24,
	[RECORD_JOB_SET_ASIDE] = 25, [RECORD_SNAPSHOT_PART] = 26,
};

static enum record_kind kind_from_wire(uint32_t wire_kind)
{
	for (uint32_t i = 1; i < RECORD_KIND_COUNT; i++) {
		if (wire_kinds[i] == wire_kind)
			return (enum record_kind)i;
	}
	return RECORD_UNKNOWN;
}

static bool reject(char reason[REASON_SIZE_BYTES], const char *text)
{
	g_strlcpy(reason, text, REASON_SIZE_BYTES);
	return false;
}

/* Storage for the body of a packed record; its kind decides which is used. */
struct bodies {
	Pl__ConfigBody config;
	Pl__EntryBody entry;
	Pl__LeaseBody lease;
	Pl__InstanceBody instance;
	Pl__ClaimBody claim;
	Pl__JobBody job;
	Pl__SnapshotBody snapshot;
};

static void pack_config(Pl__ConfigBody *to, const struct record_config *from)
{
	pl__config_body__init(to);
	to->file = (char *)from->file;
	to->base_offset = from->base_offset;
	to->source = body_pack_source(from->decl);
}

static void pack_instance(Pl__InstanceBody *to,
			  const struct record_instance *from)
{
	pl__instance_body__init(to);
	to->token = from->token;
	to->instance = (char *)from->instance;
	to->drain_offset = from->drain_offset;
	to->to_pool = (char *)from->to_pool;
	to->wave = (char *)from->wave;
	to->failed = from->failed;
	to->incarnation = from->incarnation;
}

static void pack_claim(Pl__ClaimBody *to, const struct record_claim *from)
{
	pl__claim_body__init(to);
	to->key = (char *)from->key;
	to->service = (char *)from->service;
	to->request_id = from->request_id;
	to->verdict = from->verdict;
	to->status = from->status;
}

static void pack_snapshot(Pl__SnapshotBody *to,
			  const struct record_snapshot *from)
{
	gsize size_bytes = 0;

	pl__snapshot_body__init(to);
	to->base_offset = from->base_offset;
	to->part = from->part;
	to->part_count = from->part_count;
	to->state_hash = from->state_hash;
	if (from->bytes)
		to->bytes.data =
			(uint8_t *)g_bytes_get_data(from->bytes, &size_bytes);
	to->bytes.len = size_bytes;
}

static void pack_body(Pl__Record *to, struct bodies *bodies,
		      const struct record *from)
{
	switch (from->kind) {
	case RECORD_CONFIG_PUT:
	case RECORD_CONFIG_REMOVE:
		to->body_case = PL__RECORD__BODY_CONFIG;
		to->config = &bodies->config;
		pack_config(to->config, &from->config);
		break;
	case RECORD_ENTRY_JOIN:
	case RECORD_ENTRY_LEAVE:
	case RECORD_ENTRY_GONE:
		to->body_case = PL__RECORD__BODY_ENTRY_BODY;
		to->entry_body = &bodies->entry;
		body_pack_entry(to->entry_body, &from->entry);
		break;
	case RECORD_LEASE_CLAIM:
	case RECORD_LEASE_RENEW:
		to->body_case = PL__RECORD__BODY_LEASE;
		to->lease = &bodies->lease;
		pl__lease_body__init(to->lease);
		to->lease->token = from->lease.token;
		break;
	case RECORD_MOVE_START ... RECORD_INSTANCE_UP:
		to->body_case = PL__RECORD__BODY_INSTANCE;
		to->instance = &bodies->instance;
		pack_instance(to->instance, &from->instance);
		break;
	case RECORD_CLAIM:
	case RECORD_CLAIM_RESULT:
		to->body_case = PL__RECORD__BODY_CLAIM;
		to->claim = &bodies->claim;
		pack_claim(to->claim, &from->claim);
		break;
	case RECORD_JOB_SUBMIT ... RECORD_JOB_SET_ASIDE:
		to->body_case = PL__RECORD__BODY_JOB;
		to->job = &bodies->job;
		body_pack_job(to->job, &from->job);
		break;
	case RECORD_SNAPSHOT_PART:
		to->body_case = PL__RECORD__BODY_SNAPSHOT;
		to->snapshot = &bodies->snapshot;
		pack_snapshot(to->snapshot, &from->snapshot);
		break;
	case RECORD_UNKNOWN:
	case RECORD_KIND_COUNT:
		break;
	}
}

GBytes *record_encode(const struct record *record)
{
	struct bodies bodies;
	Pl__Record to = PL__RECORD__INIT;

	to.version = RECORD_VERSION;
	to.entry = (char *)record->id.entry;
	to.incarnation = record->id.incarnation;
	to.sequence = record->id.sequence;
	to.wall_us = record->wall_us;
	to.kind = wire_kinds[record->kind];
	pack_body(&to, &bodies, record);
	return body_serialise(&to.base);
}

static bool unpack_config(struct record *to, const Pl__ConfigBody *from)
{
	struct record_config *body = &to->config;

	body->base_offset = from->base_offset;
	if (!body_copy_name(body->file, sizeof(body->file), from->file))
		return false;
	if (to->kind == RECORD_CONFIG_PUT)
		body->decl = body_unpack_source(body->file, &from->source);
	return true;
}

static bool unpack_instance(struct record_instance *to,
			    const Pl__InstanceBody *from)
{
	to->token = from->token;
	to->drain_offset = from->drain_offset;
	to->failed = from->failed;
	to->incarnation = from->incarnation;
	return body_copy_text(to->instance, sizeof(to->instance),
			      from->instance) &&
	       body_copy_text(to->to_pool, sizeof(to->to_pool),
			      from->to_pool) &&
	       body_copy_text(to->wave, sizeof(to->wave), from->wave);
}

static bool unpack_claim(struct record_claim *to, const Pl__ClaimBody *from)
{
	if (from->verdict >= VERDICT_COUNT)
		return false;
	to->request_id = from->request_id;
	to->verdict = (enum verdict)from->verdict;
	to->status = from->status;
	return body_copy_name(to->key, sizeof(to->key), from->key) &&
	       body_copy_text(to->service, sizeof(to->service), from->service);
}

static bool unpack_snapshot(struct record_snapshot *to,
			    const Pl__SnapshotBody *from)
{
	/* A record with a part count of 0 marks the offset of a snapshot. */
	if (from->part >= MAX(from->part_count, 1))
		return false;
	to->base_offset = from->base_offset;
	to->part = from->part;
	to->part_count = from->part_count;
	to->state_hash = from->state_hash;
	to->bytes = g_bytes_new(from->bytes.data, from->bytes.len);
	return true;
}

/* Whether the body is that of the kind, and valid. */
static bool unpack_body(struct record *to, const Pl__Record *from)
{
	switch (to->kind) {
	case RECORD_CONFIG_PUT:
	case RECORD_CONFIG_REMOVE:
		return from->body_case == PL__RECORD__BODY_CONFIG &&
		       unpack_config(to, from->config);
	case RECORD_ENTRY_JOIN:
	case RECORD_ENTRY_LEAVE:
	case RECORD_ENTRY_GONE:
		return from->body_case == PL__RECORD__BODY_ENTRY_BODY &&
		       body_unpack_entry(&to->entry, from->entry_body);
	case RECORD_LEASE_CLAIM:
	case RECORD_LEASE_RENEW:
		if (from->body_case != PL__RECORD__BODY_LEASE)
			return false;
		to->lease.token = from->lease->token;
		return true;
	case RECORD_MOVE_START ... RECORD_INSTANCE_UP:
		return from->body_case == PL__RECORD__BODY_INSTANCE &&
		       unpack_instance(&to->instance, from->instance);
	case RECORD_CLAIM:
	case RECORD_CLAIM_RESULT:
		return from->body_case == PL__RECORD__BODY_CLAIM &&
		       unpack_claim(&to->claim, from->claim);
	case RECORD_JOB_SUBMIT ... RECORD_JOB_SET_ASIDE:
		return from->body_case == PL__RECORD__BODY_JOB &&
		       body_unpack_job(&to->job, from->job);
	case RECORD_SNAPSHOT_PART:
		return from->body_case == PL__RECORD__BODY_SNAPSHOT &&
		       unpack_snapshot(&to->snapshot, from->snapshot);
	case RECORD_UNKNOWN:
	case RECORD_KIND_COUNT:
		break;
	}
	return true;
}

static bool unpack_record(struct record *to, const Pl__Record *from,
			  char reason[REASON_SIZE_BYTES])
{
	if (!from->version || !from->kind)
		return reject(reason, "record has no version or no kind");
	if (!body_copy_name(to->id.entry, sizeof(to->id.entry), from->entry))
		return reject(reason, "record has no valid writer");
	to->id.incarnation = from->incarnation;
	to->id.sequence = from->sequence;
	to->wall_us = from->wall_us;
	/* Adding the lifetime of a key to the time must not overflow. */
	if (to->wall_us < 0 || to->wall_us > INT64_MAX / 2)
		return reject(reason, "record has no valid time");
	if (!unpack_body(to, from))
		return reject(reason, "record body is missing or invalid");
	return true;
}

struct record *record_decode(const void *data, size_t size_bytes,
			     char reason[REASON_SIZE_BYTES])
{
	Pl__Record *from = pl__record__unpack(NULL, size_bytes, data);
	struct record *record;

	if (!from) {
		reject(reason, "record is damaged");
		return NULL;
	}
	record = record_new(kind_from_wire(from->kind));
	if (!unpack_record(record, from, reason)) {
		record_unref(record);
		record = NULL;
	}
	pl__record__free_unpacked(from, NULL);
	return record;
}

static uint64_t batch_hash(const Pl__Batch *batch)
{
	uint64_t hash = batch->n_records;

	for (size_t i = 0; i < batch->n_records; i++)
		hash = XXH3_64bits_withSeed(batch->records[i].data,
					    batch->records[i].len, hash);
	return hash;
}

GBytes *batch_encode(const GPtrArray *records)
{
	ProtobufCBinaryData packed[BATCH_RECORDS_MAX];
	GBytes *encoded[BATCH_RECORDS_MAX];
	Pl__Batch batch = PL__BATCH__INIT;
	GBytes *bytes;

	g_return_val_if_fail(records->len <= BATCH_RECORDS_MAX, NULL);
	for (guint i = 0; i < records->len; i++) {
		gsize size_bytes;

		encoded[i] = record_encode(records->pdata[i]);
		packed[i].data =
			(uint8_t *)g_bytes_get_data(encoded[i], &size_bytes);
		packed[i].len = size_bytes;
	}
	batch.version = BATCH_VERSION;
	batch.n_records = records->len;
	batch.records = packed;
	batch.hash = batch_hash(&batch);
	bytes = body_serialise(&batch.base);
	for (guint i = 0; i < records->len; i++)
		g_bytes_unref(encoded[i]);
	return bytes;
}

static void unref_record(gpointer data)
{
	record_unref(data);
}

static GPtrArray *decode_records(const Pl__Batch *batch,
				 char reason[REASON_SIZE_BYTES])
{
	GPtrArray *records = g_ptr_array_new_with_free_func(unref_record);

	for (size_t i = 0; i < batch->n_records; i++) {
		struct record *record = record_decode(
			batch->records[i].data, batch->records[i].len, reason);

		g_ptr_array_add(records,
				record ? record : record_new(RECORD_UNKNOWN));
	}
	return records;
}

GPtrArray *batch_decode(const void *data, size_t size_bytes,
			char reason[REASON_SIZE_BYTES])
{
	Pl__Batch *batch = pl__batch__unpack(NULL, size_bytes, data);
	GPtrArray *records = NULL;

	reason[0] = '\0';
	if (!batch)
		reject(reason, "batch is damaged");
	else if (!batch->version)
		reject(reason, "batch has no version");
	else if (!batch->n_records || batch->n_records > BATCH_RECORDS_MAX)
		reject(reason, "batch has no records or too many");
	else if (batch->hash != batch_hash(batch))
		reject(reason, "batch hash does not match");
	else
		records = decode_records(batch, reason);
	if (batch)
		pl__batch__free_unpacked(batch, NULL);
	return records;
}
