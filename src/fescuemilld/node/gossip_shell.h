/*
 * Shell of gossip: the UDP socket and the timer with which membership, configuration versions and
 * demands are exchanged.
 */
#ifndef FESCUEMILLD_NODE_GOSSIP_SHELL_H
#define FESCUEMILLD_NODE_GOSSIP_SHELL_H

#include "fescuemill/decide/budget.h"
#include "fescuemill/fleet/gossip.h"

#include <uv.h>

struct gossip_shell;

struct gossip_shell_options {
	uint32_t ip;   /* host byte order */
	uint16_t port; /* 0: any */
	struct member_table *members;
	struct budget *budget;
	/* Called when a peer has a newer configuration version than was last passed to
	 * gossip_set_config_version(). */
	void (*on_newer_config)(void *user, uint64_t node_id, uint64_t version);
	/* Called with the demand message of a member. */
	void (*on_demand)(void *user, uint64_t node_id, const uint8_t *data, size_t size);
	/* Called with the allotment message of a member. */
	void (*on_allotment)(void *user, uint64_t node_id, const uint8_t *data, size_t size);
	/* Called with a member's message of requests that ran when servers ended. */
	void (*on_crashes)(void *user, const uint8_t *data, size_t size);
	/* Called before this process changes to a later incarnation. Returns false if it may not
	 * yet. */
	bool (*allow_new_incarnation)(void *user, uint64_t incarnation);
	/* Tell how current this node's configuration is, and take what a member told. */
	void (*proof_tell)(void *user, struct key_proof_item *out);
	void (*proof_hear)(void *user, const struct key_proof_item *proof, uint64_t asked_us);
	void *user;
};

/* Binds the socket, since the port must be known for the `self` of gossip_shell_start(). */
int gossip_shell_open(struct gossip_shell **out, uv_loop_t *loop,
		      const struct gossip_shell_options *options, struct error *err);
uint16_t gossip_shell_port(const struct gossip_shell *shell);
int gossip_shell_start(struct gossip_shell *shell, const struct member *self, uint64_t seed,
		       struct error *err);
/* Returns the gossip state; NULL before gossip_shell_start(). */
struct gossip *gossip_shell_gossip(struct gossip_shell *shell);
void gossip_shell_close(struct gossip_shell *shell);

#endif
