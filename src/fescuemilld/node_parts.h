/*
 * Node parts: opens and closes what a node consists of.
 */
#ifndef FESCUEMILLD_NODE_PARTS_H
#define FESCUEMILLD_NODE_PARTS_H

#include "fescuemilld/node_defs.h"

int node_open_parts(struct node *node, struct error *err);
void node_close_parts(struct node *node);

#endif
