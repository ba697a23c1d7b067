/*
 * Node parts: opens and closes the parts of a node.
 */
#ifndef FESCUEMILLD_NODE_NODE_PARTS_H
#define FESCUEMILLD_NODE_NODE_PARTS_H

#include "fescuemilld/node/node_defs.h"

/* Returns -1 on error; the parts that are open then stay open. */
int node_open_parts(struct node *node, struct error *err);
void node_close_parts(struct node *node);

#endif
