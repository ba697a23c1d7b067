/*
 * Node stop: the phases of a graceful stop.
 */
#ifndef FESCUEMILLD_NODE_STOP_H
#define FESCUEMILLD_NODE_STOP_H

#include "fescuemilld/node_defs.h"

void node_stop_begin(struct node *node);
void node_stop_advance(struct node *node, uint64_t now_us);
void node_stop_check_limit(struct node *node, uint64_t now_us);
/* An operator asked for a stop. User is the node. */
void node_on_drain(void *user);

#endif
