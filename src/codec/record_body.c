#include "codec/record_body.h"

#include <string.h>

#include "codec/decl_yaml.h"

bool body_copy_text(char *to, size_t size_bytes, const char *from)
{
	to[0] = '\0';
	if (!g_utf8_validate(from, -1, NULL))
		return false;
	for (const char *at = from; *at; at++) {
		if (g_ascii_iscntrl(*at))
			return false;
	}
	return name_copy(to, size_bytes, from);
}

bool body_copy_name(char *to, size_t size_bytes, const char *from)
{
	return from[0] && body_copy_text(to, size_bytes, from);
}

void body_pack_entry(Pl__EntryBody *to, const struct record_entry *from)
{
	pl__entry_body__init(to);
	to->name = (char *)from->name;
	to->incarnation = from->incarnation;
	to->dc = (char *)from->dc;
	to->caller_address = (char *)from->caller_address;
	to->operator_address = (char *)from->operator_address;
	to->peer_address = (char *)from->peer_address;
}

bool body_unpack_entry(struct record_entry *to, const Pl__EntryBody *from)
{
	to->incarnation = from->incarnation;
	return body_copy_name(to->name, sizeof(to->name), from->name) &&
	       body_copy_text(to->dc, sizeof(to->dc), from->dc) &&
	       body_copy_text(to->caller_address, sizeof(to->caller_address),
			      from->caller_address) &&
	       body_copy_text(to->operator_address,
			      sizeof(to->operator_address),
			      from->operator_address) &&
	       body_copy_text(to->peer_address, sizeof(to->peer_address),
			      from->peer_address);
}

void body_pack_job(Pl__JobBody *to, const struct record_job *from)
{
	pl__job_body__init(to);
	to->token = from->token;
	to->job = (char *)from->job;
	to->member = (char *)from->member;
	to->pool = (char *)from->pool;
	to->instance = (char *)from->instance;
	to->declared_slots_count = from->declared_slots_count;
	to->attempt_count = from->attempt_count;
	to->succeeded = from->succeeded;
	to->checkpointed = from->checkpointed;
	to->reason = (char *)from->reason;
}

bool body_unpack_job(struct record_job *to, const Pl__JobBody *from)
{
	to->token = from->token;
	to->declared_slots_count = from->declared_slots_count;
	to->attempt_count = from->attempt_count;
	to->succeeded = from->succeeded;
	to->checkpointed = from->checkpointed;
	return body_copy_name(to->job, sizeof(to->job), from->job) &&
	       body_copy_text(to->member, sizeof(to->member), from->member) &&
	       body_copy_text(to->pool, sizeof(to->pool), from->pool) &&
	       body_copy_text(to->instance, sizeof(to->instance),
			      from->instance) &&
	       body_copy_text(to->reason, sizeof(to->reason), from->reason);
}

ProtobufCBinaryData body_pack_source(const struct decl *decl)
{
	ProtobufCBinaryData source = { 0 };
	gsize size_bytes = 0;

	if (decl && decl->source)
		source.data =
			(uint8_t *)g_bytes_get_data(decl->source, &size_bytes);
	source.len = size_bytes;
	return source;
}

struct decl *body_unpack_source(const char *file,
				const ProtobufCBinaryData *source)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct decl *decl = decl_parse(file, (const char *)source->data,
				       source->len, true, errors);

	g_ptr_array_unref(errors);
	return decl;
}

GBytes *body_serialise(const ProtobufCMessage *message)
{
	size_t size_bytes = protobuf_c_message_get_packed_size(message);
	uint8_t *data = g_malloc(size_bytes);

	protobuf_c_message_pack(message, data);
	return g_bytes_new_take(data, size_bytes);
}
