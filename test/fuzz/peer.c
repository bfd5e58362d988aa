/* Messages of other entry instances. */

#include <xxhash.h>

#include "codec/peer_codec.h"
#include "codec/proto/peer.pb-c.h"
#include "codec/record_body.h"
#include "fuzz.h"

static struct peer_msg *decode(GBytes *bytes)
{
	char reason[REASON_SIZE_BYTES];
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);

	return peer_msg_decode(data, size_bytes, reason);
}

static void check(struct peer_msg *msg)
{
	GBytes *bytes;
	GBytes *again;
	struct peer_msg *decoded;

	if (!msg || msg->kind == PEER_MSG_UNKNOWN)
		return;
	bytes = peer_msg_encode(msg);
	decoded = decode(bytes);
	fuzz_check(decoded != NULL, "an encoded message is valid");
	again = peer_msg_encode(decoded);
	fuzz_check(g_bytes_equal(bytes, again),
		   "a decoded message encodes to the same bytes");
	g_bytes_unref(again);
	peer_msg_free(decoded);
	g_bytes_unref(bytes);
}

/* Corrects the hash, so that mutated messages pass its check. */
static void run(const uint8_t *data, size_t size_bytes)
{
	char reason[REASON_SIZE_BYTES];
	struct peer_msg *msg = peer_msg_decode(data, size_bytes, reason);
	Pl__PeerFrame *frame = pl__peer_frame__unpack(NULL, size_bytes, data);
	GBytes *bytes;

	peer_msg_free(msg);
	if (!frame)
		return;
	frame->hash = XXH3_64bits(frame->msg.data, frame->msg.len);
	bytes = body_serialise(&frame->base);
	msg = decode(bytes);
	check(msg);
	peer_msg_free(msg);
	g_bytes_unref(bytes);
	pl__peer_frame__free_unpacked(frame, NULL);
}

static struct peer_msg *full_msg(enum peer_msg_kind kind)
{
	struct peer_msg *msg = peer_msg_new(kind);
	struct peer_pool_load load = { .pool = "p", .free_slots_count = 4 };

	name_copy(msg->from, sizeof(msg->from), "e1");
	msg->incarnation = 1;
	name_copy(msg->dc, sizeof(msg->dc), "d");
	msg->applied_offset = 2;
	msg->hlc = 3;
	msg->loads = g_array_new(FALSE, TRUE, sizeof(load));
	g_array_append_val(msg->loads, load);
	name_copy(msg->endpoint, sizeof(msg->endpoint), "i1");
	msg->loan_id = 7;
	msg->slots_count = 8;
	msg->join_offset = 9;
	msg->state = g_bytes_new_static("state", 5);
	return msg;
}

static void seed(const char *folder)
{
	for (uint32_t kind = 1; kind < PEER_MSG_KIND_COUNT; kind++) {
		struct peer_msg *msg = full_msg((enum peer_msg_kind)kind);
		GBytes *bytes = peer_msg_encode(msg);

		fuzz_seed_write(folder, peer_msg_kind_name(msg->kind), bytes);
		g_bytes_unref(bytes);
		peer_msg_free(msg);
	}
}

const struct fuzz_target fuzz_target = { .run = run, .seed = seed };
