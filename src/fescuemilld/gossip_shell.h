/*
 * Gossip shell: the UDP socket and the timer of membership and of the configuration's version.
 */
#ifndef FESCUEMILLD_GOSSIP_SHELL_H
#define FESCUEMILLD_GOSSIP_SHELL_H

#include "fescuemill/decide/budget.h"
#include "fescuemill/fleet/gossip.h"

#include <uv.h>

struct gossip_shell;

struct gossip_shell_options {
	uint32_t ip;
	uint16_t port; /* 0: any */
	struct member_table *members;
	struct budget *budget;
	/* A peer has a newer configuration. */
	void (*newer_config)(void *user, uint64_t node_id, uint64_t version);
	/* A member sent demands. */
	void (*demand)(void *user, uint64_t node_id, const uint8_t *data, size_t size);
	/* This process would take a later incarnation; returns whether it may now. */
	bool (*new_life)(void *user, uint64_t incarnation);
	void *user;
};

/* Binds the socket, so that the port is known before self is stated by gossip_shell_start. */
int gossip_shell_open(struct gossip_shell **out, uv_loop_t *loop,
		      const struct gossip_shell_options *options, struct error *err);
uint16_t gossip_shell_port(const struct gossip_shell *shell);
int gossip_shell_start(struct gossip_shell *shell, const struct member *self, uint64_t seed,
		       struct error *err);
/* The gossip itself, once started. */
struct gossip *gossip_shell_gossip(struct gossip_shell *shell);
void gossip_shell_close(struct gossip_shell *shell);

#endif
