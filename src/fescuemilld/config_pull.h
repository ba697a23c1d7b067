/*
 * Config pull: fetches configuration from peers, one question at a time, when this node is behind
 * or not ready.
 */
#ifndef FESCUEMILLD_CONFIG_PULL_H
#define FESCUEMILLD_CONFIG_PULL_H

#include "fescuemill/decide/budget.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/member.h"
#include "fescuemill/wire/channel.h"

struct config_pull;

struct config_pull_options {
	struct channel *channel;
	struct config_store *config;
	const struct member_table *members;
	struct budget *budget;
	uint64_t self_id;
	const char *region; /* of this node */
	uint64_t seed;
};

int config_pull_open(struct config_pull **out, const struct config_pull_options *options,
		     struct error *err);
void config_pull_close(struct config_pull *pull);
/* Asks a peer that is known to have something newer. */
void config_pull_from(struct config_pull *pull, uint64_t node_id, uint64_t now_us);
/* Asks any peer when this node needs it; gives up on silent ones. */
void config_pull_tick(struct config_pull *pull, uint64_t now_us);

#endif
