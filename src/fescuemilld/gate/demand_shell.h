/*
 * Shell of demand: sets this gate's share of the fleet-wide calls_per_s of each class. The shares
 * follow the demand at each gate, which the gates of a service report to each other by gossip.
 */
#ifndef FESCUEMILLD_GATE_DEMAND_SHELL_H
#define FESCUEMILLD_GATE_DEMAND_SHELL_H

#include "fescuemill/decide/gate.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/gossip.h"

struct demand_shell;

/* The pointers belong to the caller and must stay valid until the shell is closed. */
struct demand_shell_options {
	struct gossip *gossip;
	const struct member_table *members;
	const struct config_store *config;
	struct gate *admission; /* admission state whose rates are set */
	uint64_t seed;
};

/* Errors: ERROR_MEMORY. */
int demand_shell_open(struct demand_shell **out, const struct demand_shell_options *options,
		      uint64_t now_us, struct error *err);
void demand_shell_close(struct demand_shell *shell);
/* Reads the members and the configuration again; to be called when they or this node's backend
 * server have changed. */
void demand_shell_refresh(struct demand_shell *shell, uint64_t now_us);
/* Runs the periodic work, once in DEMAND_PERIOD_US; to be called several times a second. */
void demand_shell_tick(struct demand_shell *shell, uint64_t now_us);
/* Handles a demand message from a member. */
void demand_shell_receive(struct demand_shell *shell, uint64_t node_id, const uint8_t *data,
			  size_t size, uint64_t now_us);

#endif
