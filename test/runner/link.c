/* Fake of the link between peers. */

#include <string.h>

#include "runner/world.h"

/* Each receiver gets its own copy. */
static struct peer_msg *copy_msg(const struct peer_msg *msg)
{
	struct peer_msg *copy = g_memdup2(msg, sizeof(*msg));

	if (msg->loads)
		copy->loads = g_array_copy(msg->loads);
	if (msg->state)
		copy->state = g_bytes_ref(msg->state);
	return copy;
}

void link_send(struct world *world, struct node *node,
	       const struct event *event)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct node *to = world->nodes->pdata[i];
		struct event received = { .type = EVENT_PEER_RECEIVED };

		if (to == node || !to->kernel ||
		    (event->peer.peer[0] &&
		     strcmp(event->peer.peer, to->name) != 0) ||
		    g_hash_table_contains(node->unreachable_peers, to->name))
			continue;
		received.peer.msg = copy_msg(event->peer.msg);
		name_copy(received.peer.peer, sizeof(received.peer.peer),
			  node->name);
		world_schedule(world, world->now_us + world->peer_delay_us, to,
			       &received);
	}
}
