/*
 * Callbacks of a node's parts about the age of the customers' keys. While the node opens its parts,
 * there is no proof yet.
 */
#include "fescuemilld/node/node_proof.h"

/* Opens the key proof. The store and gossip must be open. */
int node_proof_open(struct node *node, struct error *err)
{
	struct key_proof_options options = {
		.revoke_ms = node->settings.revoke_ms,
		.store = node->store,
		.config = node->config,
		.gossip = node->gossip,
		.members = node->members,
		.domain = node->settings.failure_domain,
		.seed = node->self.identity.node_id ^ node->self.identity.incarnation,
	};

	return key_proof_shell_open(&node->key_proof, &options, err);
}

/* Returns true if the customers' keys may be used now. */
bool node_keys_are_fresh(void *user)
{
	struct node *node = user;

	return node->key_proof && key_proof_shell_is_fresh(node->key_proof);
}

/* Tells another node how current the configuration is. */
void node_proof_tell(void *user, struct key_proof_item *out)
{
	const struct node *node = user;

	if (node->key_proof)
		key_proof_shell_tell(node->key_proof, out);
}

/* Takes what another node told. */
void node_proof_hear(void *user, const struct key_proof_item *proof, enum key_proof_source source,
		     uint64_t asked_us)
{
	struct node *node = user;

	if (node->key_proof)
		key_proof_shell_hear(node->key_proof, proof, source, asked_us);
}

void node_proof_hear_gossip(void *user, const struct key_proof_item *proof, uint64_t asked_us)
{
	node_proof_hear(user, proof, KEY_PROOF_GOSSIP, asked_us);
}
