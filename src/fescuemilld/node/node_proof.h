/*
 * Callbacks of a node's parts about the age of the customers' keys.
 */
#ifndef FESCUEMILLD_NODE_NODE_PROOF_H
#define FESCUEMILLD_NODE_NODE_PROOF_H

#include "fescuemilld/node/node_defs.h"

int node_proof_open(struct node *node, struct error *err);
bool node_keys_are_fresh(void *user);
void node_proof_tell(void *user, struct key_proof_item *out);
void node_proof_hear(void *user, const struct key_proof_item *proof, enum key_proof_source source,
		     uint64_t asked_us);
void node_proof_hear_gossip(void *user, const struct key_proof_item *proof, uint64_t asked_us);

#endif
