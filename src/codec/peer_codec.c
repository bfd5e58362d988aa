#include "codec/peer_codec.h"

#include <xxhash.h>

#include "codec/proto/peer.pb-c.h"
#include "codec/record_body.h"

#define PEER_VERSION 1
#define LOADS_MAX_COUNT 1024 /* pools of one data centre */

/* Wire values of the kinds; they must never change. */
static const uint32_t wire_kinds[PEER_MSG_KIND_COUNT] = {
	[PEER_MSG_HEARTBEAT] = 1,     [PEER_MSG_SHARE_ACK] = 2,
	[PEER_MSG_LOAN_ASK] = 3,      [PEER_MSG_LOAN_GRANT] = 4,
	[PEER_MSG_LOAN_RETURN] = 5,   [PEER_MSG_LOAN_ACK] = 6,
	[PEER_MSG_STATE_REQUEST] = 7, [PEER_MSG_STATE] = 8,
	[PEER_MSG_BYE] = 9,
};

static enum peer_msg_kind kind_from_wire(uint32_t wire_kind)
{
	for (uint32_t i = 1; i < PEER_MSG_KIND_COUNT; i++) {
		if (wire_kinds[i] == wire_kind)
			return (enum peer_msg_kind)i;
	}
	return PEER_MSG_UNKNOWN;
}

static bool reject(char reason[REASON_SIZE_BYTES], const char *text)
{
	g_strlcpy(reason, text, REASON_SIZE_BYTES);
	return false;
}

static void pack_loads(Pl__PeerMsg *to, Pl__PoolLoad *loads,
		       Pl__PoolLoad **pointers, const GArray *from)
{
	for (guint i = 0; i < from->len; i++) {
		const struct peer_pool_load *load =
			&g_array_index(from, struct peer_pool_load, i);

		pl__pool_load__init(&loads[i]);
		loads[i].pool = (char *)load->pool;
		loads[i].free_slots_count = load->free_slots_count;
		loads[i].queued_count = load->queued_count;
		loads[i].wait_us = load->wait_us;
		loads[i].demand_us_per_s = load->demand_us_per_s;
		pointers[i] = &loads[i];
	}
	to->n_loads = from->len;
	to->loads = pointers;
}

static GBytes *pack_frame(GBytes *msg)
{
	Pl__PeerFrame to = PL__PEER_FRAME__INIT;
	gsize size_bytes;

	to.version = PEER_VERSION;
	to.msg.data = (uint8_t *)g_bytes_get_data(msg, &size_bytes);
	to.msg.len = size_bytes;
	to.hash = XXH3_64bits(to.msg.data, to.msg.len);
	return body_serialise(&to.base);
}

GBytes *peer_msg_encode(const struct peer_msg *msg)
{
	guint load_count = msg->loads ? msg->loads->len : 0;
	Pl__PoolLoad *loads = g_new0(Pl__PoolLoad, load_count);
	Pl__PoolLoad **pointers = g_new0(Pl__PoolLoad *, load_count);
	Pl__PeerMsg to = PL__PEER_MSG__INIT;
	gsize size_bytes = 0;
	GBytes *packed;
	GBytes *frame;

	to.version = PEER_VERSION;
	to.kind = wire_kinds[msg->kind];
	to.from = (char *)msg->from;
	to.incarnation = msg->incarnation;
	to.dc = (char *)msg->dc;
	to.applied_offset = msg->applied_offset;
	to.hlc = msg->hlc;
	if (msg->loads)
		pack_loads(&to, loads, pointers, msg->loads);
	to.endpoint = (char *)msg->endpoint;
	to.loan_id = msg->loan_id;
	to.slots_count = msg->slots_count;
	to.join_offset = msg->join_offset;
	if (msg->state)
		to.state.data =
			(uint8_t *)g_bytes_get_data(msg->state, &size_bytes);
	to.state.len = size_bytes;
	packed = body_serialise(&to.base);
	frame = pack_frame(packed);
	g_bytes_unref(packed);
	g_free(loads);
	g_free(pointers);
	return frame;
}

static bool unpack_loads(struct peer_msg *to, const Pl__PeerMsg *from)
{
	if (from->n_loads > LOADS_MAX_COUNT)
		return false;
	if (from->n_loads)
		to->loads =
			g_array_new(FALSE, TRUE, sizeof(struct peer_pool_load));
	for (size_t i = 0; i < from->n_loads; i++) {
		struct peer_pool_load load = {
			.free_slots_count = from->loads[i]->free_slots_count,
			.queued_count = from->loads[i]->queued_count,
			.wait_us = from->loads[i]->wait_us,
			.demand_us_per_s = from->loads[i]->demand_us_per_s,
		};

		if (!body_copy_name(load.pool, sizeof(load.pool),
				    from->loads[i]->pool) ||
		    load.wait_us < 0 || load.demand_us_per_s < 0)
			return false;
		g_array_append_val(to->loads, load);
	}
	return true;
}

static bool is_loan(enum peer_msg_kind kind)
{
	return kind >= PEER_MSG_LOAN_ASK && kind <= PEER_MSG_LOAN_ACK;
}

static bool unpack_msg(struct peer_msg *to, const Pl__PeerMsg *from,
		       char reason[REASON_SIZE_BYTES])
{
	if (!from->version || !from->kind)
		return reject(reason, "message has no version or no kind");
	if (!body_copy_name(to->from, sizeof(to->from), from->from) ||
	    !body_copy_text(to->dc, sizeof(to->dc), from->dc))
		return reject(reason, "message has no valid sender");
	if (!unpack_loads(to, from))
		return reject(reason, "message has invalid loads");
	if (!body_copy_text(to->endpoint, sizeof(to->endpoint),
			    from->endpoint) ||
	    (is_loan(to->kind) && !to->endpoint[0]))
		return reject(reason, "message has no valid endpoint");
	if (to->kind == PEER_MSG_STATE && !from->state.len)
		return reject(reason, "message has no state");
	to->incarnation = from->incarnation;
	to->applied_offset = from->applied_offset;
	to->hlc = from->hlc;
	to->loan_id = from->loan_id;
	to->slots_count = from->slots_count;
	to->join_offset = from->join_offset;
	if (from->state.len)
		to->state = g_bytes_new(from->state.data, from->state.len);
	return true;
}

static struct peer_msg *decode_msg(const Pl__PeerFrame *frame,
				   char reason[REASON_SIZE_BYTES])
{
	Pl__PeerMsg *from;
	struct peer_msg *msg;

	if (!frame->version) {
		reject(reason, "message has no version");
		return NULL;
	}
	if (frame->hash != XXH3_64bits(frame->msg.data, frame->msg.len)) {
		reject(reason, "message hash does not match");
		return NULL;
	}
	from = pl__peer_msg__unpack(NULL, frame->msg.len, frame->msg.data);
	if (!from) {
		reject(reason, "message is damaged");
		return NULL;
	}
	msg = peer_msg_new(kind_from_wire(from->kind));
	if (!unpack_msg(msg, from, reason)) {
		peer_msg_free(msg);
		msg = NULL;
	}
	pl__peer_msg__free_unpacked(from, NULL);
	return msg;
}

struct peer_msg *peer_msg_decode(const void *data, size_t size_bytes,
				 char reason[REASON_SIZE_BYTES])
{
	Pl__PeerFrame *frame = pl__peer_frame__unpack(NULL, size_bytes, data);
	struct peer_msg *msg;

	reason[0] = '\0';
	if (!frame) {
		reject(reason, "message is damaged");
		return NULL;
	}
	msg = decode_msg(frame, reason);
	pl__peer_frame__free_unpacked(frame, NULL);
	return msg;
}
