/*
 * Demand shell: sets the gate's part of each class's fleet-wide calls_per_s, and exchanges demands
 * with the other gates of the service for that.
 */
#ifndef FESCUEMILLD_DEMAND_SHELL_H
#define FESCUEMILLD_DEMAND_SHELL_H

#include "fescuemill/decide/gate.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/gossip.h"

struct demand_shell;

/* What a shell works with belongs to the caller and outlives it. */
struct demand_shell_options {
	struct gossip *gossip;
	const struct member_table *members;
	const struct config_store *config;
	struct gate *admission;
	uint64_t seed;
};

/* Errors: ERROR_MEMORY. */
int demand_shell_open(struct demand_shell **out, const struct demand_shell_options *options,
		      uint64_t now_us, struct error *err);
void demand_shell_close(struct demand_shell *shell);
/* To be called when the members, the configuration or the own backend server have changed. */
void demand_shell_refresh(struct demand_shell *shell, uint64_t now_us);
/* To be called several times a second. */
void demand_shell_tick(struct demand_shell *shell, uint64_t now_us);
/* Takes the demands that a member sent. */
void demand_shell_receive(struct demand_shell *shell, uint64_t node_id, const uint8_t *data,
			  size_t size, uint64_t now_us);

#endif
