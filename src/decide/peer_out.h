#ifndef DECIDE_PEER_OUT_H
#define DECIDE_PEER_OUT_H

/* Messages of this entry instance to others. */

#include "kernel/kernel.h"

/* A message with the sender's name, incarnation, offset and clock. */
struct peer_msg *peer_out_new(struct kernel *kernel, enum peer_msg_kind kind);

/* Emits EVENT_PEER_SEND; takes the message over. */
void peer_out_send(struct kernel *kernel, const char *peer,
		   struct peer_msg *msg);

#endif
