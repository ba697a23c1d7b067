/*
 * Node stop: the phases of a graceful stop.
 */
#ifndef FESCUEMILLD_NODE_STOP_H
#define FESCUEMILLD_NODE_STOP_H

#include "fescuemilld/node_defs.h"

void node_stop_advance(struct node *node, uint64_t now_us);
/* Begins a stop that an operator, a signal or a successor asks for, unless one is under way. User
 * is the node. */
void node_on_drain(void *user);

#endif
