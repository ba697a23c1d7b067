/*
 * Limits on what the clients of a node may send, from its configuration and its settings.
 */
#ifndef FESCUEMILLD_NODE_NODE_LIMITS_H
#define FESCUEMILLD_NODE_NODE_LIMITS_H

#include "fescuemilld/node/node_defs.h"

int node_open_guard(struct node *node, struct error *err);
/* Puts the limits of the configuration in force. */
void node_apply_limits(struct node *node);

#endif
