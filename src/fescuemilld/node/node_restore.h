/*
 * Node restore: what a node does when the platform's store was restored from a copy. The copy lacks
 * the latest changes, of operators and of the nodes themselves. What operators had written they
 * write again; until then the node keeps what it has in force. What the nodes had written, the
 * rosters, their writers write again at once.
 */
#ifndef FESCUEMILL_NODE_NODE_RESTORE_H
#define FESCUEMILL_NODE_NODE_RESTORE_H

#include "fescuemilld/node/node_defs.h"

/* Compares the restores of the store that this node knows, by its own calls or from its peers, with
 * those that it has acted on. */
void node_restore_check(struct node *node, uint64_t now_us);

#endif
