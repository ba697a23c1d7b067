/*
 * Config pull: fetches configuration from peers, one request at a time, while this node's version
 * is outdated or its configuration is not ready.
 */
#ifndef FESCUEMILLD_NODE_CONFIG_PULL_H
#define FESCUEMILLD_NODE_CONFIG_PULL_H

#include "fescuemill/decide/budget.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/evacuation.h"
#include "fescuemill/fleet/member.h"
#include "fescuemill/wire/channel.h"

struct config_pull;

struct config_pull_options {
	struct channel *channel;
	struct config_store *config;
	struct evacuation_table *evacuations; /* learned from peers, too; NULL: they are not */
	const struct member_table *members;
	struct budget *budget; /* charged for requests and answers */
	uint64_t self_id;      /* node id of this node */
	const char *region;    /* of this node */
	uint64_t seed;
};

int config_pull_open(struct config_pull **out, const struct config_pull_options *options,
		     struct error *err);
void config_pull_close(struct config_pull *pull);
/* Sends a request to a peer that has a newer version. */
void config_pull_from_peer(struct config_pull *pull, uint64_t node_id, uint64_t now_us);
/* Sends a request to a random peer if this node needs configuration; ends a request that got no
 * answer in time. To be called several times a second. */
void config_pull_tick(struct config_pull *pull, uint64_t now_us);

#endif
