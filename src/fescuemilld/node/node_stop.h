/*
 * Node stop: carries out a graceful stop, whose phases decide/stop.h defines.
 */
#ifndef FESCUEMILLD_NODE_NODE_STOP_H
#define FESCUEMILLD_NODE_NODE_STOP_H

#include "fescuemilld/node/node_defs.h"

/* Carries out the steps of the stop that are due; to be called periodically. */
void node_stop_advance(struct node *node, uint64_t now_us);
/* Starts a graceful stop unless one is in progress: on an operator's drain, a signal, or when
 * another process has replaced this node. `user` is the node. */
void node_on_drain(void *user);

#endif
