#ifndef DECIDE_PEER_OUT_H
#define DECIDE_PEER_OUT_H

/*
 * Creates and sends messages to other entry instances, for the decision
 * plug-ins. The peer link delivers them.
 */

#include "kernel/kernel.h"

/* A new message with our name, incarnation, applied offset and clock set. */
struct peer_msg *peer_out_new(struct kernel *kernel, enum peer_msg_kind kind);

/* Emits EVENT_PEER_SEND; takes the message over. */
void peer_out_send(struct kernel *kernel, const char *peer,
		   struct peer_msg *msg);

#endif
