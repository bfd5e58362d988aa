#include "unit/codec_sample.h"

#include <string.h>

#include "codec/decl_yaml.h"

#define SOURCE "members:\n- name: a\n  weight: 3\n"

static struct decl *source_decl(void)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct decl *decl =
		decl_parse("a.yaml", SOURCE, strlen(SOURCE), false, errors);

	g_ptr_array_unref(errors);
	return decl;
}

static void fill_config(struct record *record)
{
	struct record_config *body = &record->config;

	name_copy(body->file, sizeof(body->file), "a.yaml");
	body->base_offset = 7;
	if (record->kind == RECORD_CONFIG_PUT)
		body->decl = source_decl();
}

static void fill_entry(struct record_entry *body)
{
	name_copy(body->name, sizeof(body->name), "e1");
	body->incarnation = UINT64_MAX;
	name_copy(body->dc, sizeof(body->dc), "dc1");
	name_copy(body->caller_address, ADDRESS_SIZE_BYTES, "127.0.0.1:1");
	name_copy(body->operator_address, ADDRESS_SIZE_BYTES, "127.0.0.1:2");
	name_copy(body->peer_address, ADDRESS_SIZE_BYTES, "127.0.0.1:3");
}

static void fill_instance(struct record_instance *body)
{
	body->token = 5;
	name_copy(body->instance, sizeof(body->instance), "i1");
	body->drain_offset = 6;
	name_copy(body->to_pool, sizeof(body->to_pool), "p2");
	name_copy(body->wave, sizeof(body->wave), "w");
	body->failed = true;
	body->incarnation = 3;
}

static void fill_claim(struct record_claim *body)
{
	name_copy(body->key, sizeof(body->key), "1500-k");
	name_copy(body->service, sizeof(body->service), "s");
	body->request_id = 9;
	body->verdict = VERDICT_RAN;
	body->status = 201;
}

static void fill_job(struct record_job *body)
{
	body->token = 1;
	name_copy(body->job, sizeof(body->job), "j");
	name_copy(body->member, sizeof(body->member), "m");
	name_copy(body->pool, sizeof(body->pool), "p");
	name_copy(body->instance, sizeof(body->instance), "i");
	body->declared_slots_count = 2;
	body->attempt_count = 3;
	body->succeeded = true;
	body->checkpointed = true;
	name_copy(body->reason, sizeof(body->reason), "out of memory");
}

static void fill_snapshot(struct record_snapshot *body)
{
	body->base_offset = 4096;
	body->part = 1;
	body->part_count = 3;
	body->state_hash = UINT64_C(0x8000000000000001);
	body->bytes = g_bytes_new_static("\0part", 5);
}

struct record *full_record(enum record_kind kind)
{
	struct record *record = record_new(kind);

	name_copy(record->id.entry, sizeof(record->id.entry), "e1");
	record->id.incarnation = 2;
	record->id.sequence = 3 + (uint64_t)kind;
	record->wall_us = 4;
	switch (kind) {
	case RECORD_CONFIG_PUT:
	case RECORD_CONFIG_REMOVE:
		fill_config(record);
		break;
	case RECORD_ENTRY_JOIN ... RECORD_ENTRY_GONE:
		fill_entry(&record->entry);
		break;
	case RECORD_LEASE_CLAIM:
	case RECORD_LEASE_RENEW:
		record->lease.token = 8;
		break;
	case RECORD_MOVE_START ... RECORD_INSTANCE_UP:
		fill_instance(&record->instance);
		break;
	case RECORD_CLAIM:
	case RECORD_CLAIM_RESULT:
		fill_claim(&record->claim);
		break;
	case RECORD_JOB_SUBMIT ... RECORD_JOB_SET_ASIDE:
		fill_job(&record->job);
		break;
	case RECORD_SNAPSHOT_PART:
		fill_snapshot(&record->snapshot);
		break;
	default:
		break;
	}
	return record;
}

bool same_record(const struct record *a, const struct record *b)
{
	struct record left;
	struct record right;

	if (!b)
		return false;
	left = *a;
	right = *b;
	left.refs = right.refs;
	if (a->kind == RECORD_CONFIG_PUT) {
		if (!g_bytes_equal(a->config.decl->source,
				   b->config.decl->source) ||
		    b->config.decl->members->len != 1)
			return false;
		left.config.decl = right.config.decl = NULL;
	}
	if (a->kind == RECORD_SNAPSHOT_PART) {
		if (!g_bytes_equal(a->snapshot.bytes, b->snapshot.bytes))
			return false;
		left.snapshot.bytes = right.snapshot.bytes = NULL;
	}
	return !memcmp((const void *)&left, (const void *)&right, sizeof(left));
}

struct peer_msg *full_msg(enum peer_msg_kind kind)
{
	struct peer_msg *msg = peer_msg_new(kind);
	struct peer_pool_load load = {
		.pool = "p",
		.free_slots_count = 4,
		.queued_count = 5,
		.wait_us = 6,
		.demand_us_per_s = 10,
	};

	name_copy(msg->from, sizeof(msg->from), "e1");
	msg->incarnation = 1;
	name_copy(msg->dc, sizeof(msg->dc), "dc1");
	msg->applied_offset = 2;
	msg->hlc = 3;
	msg->loads = g_array_new(FALSE, TRUE, sizeof(load));
	g_array_append_val(msg->loads, load);
	g_array_append_val(msg->loads, load);
	name_copy(msg->endpoint, sizeof(msg->endpoint), "i1");
	msg->loan_id = 7;
	msg->slots_count = 8;
	msg->join_offset = 9;
	msg->state = g_bytes_new_static("\0state", 6);
	return msg;
}

bool same_msg(const struct peer_msg *a, const struct peer_msg *b)
{
	struct peer_msg left;
	struct peer_msg right;

	if (!b)
		return false;
	left = *a;
	right = *b;
	if (!g_bytes_equal(a->state, b->state) ||
	    a->loads->len != b->loads->len ||
	    memcmp(a->loads->data, b->loads->data,
		   a->loads->len * sizeof(struct peer_pool_load)) != 0)
		return false;
	left.state = right.state = NULL;
	left.loads = right.loads = NULL;
	return !memcmp((const void *)&left, (const void *)&right, sizeof(left));
}
