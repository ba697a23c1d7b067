/*
 * Keeper: keeps this node's entry in the roster of its failure domain, prunes the roster when this
 * node is one of its writers, and learns the members of all rosters.
 */
#ifndef FESCUEMILL_FLEET_KEEPER_H
#define FESCUEMILL_FLEET_KEEPER_H

#include "fescuemill/fleet/roster.h"
#include "fescuemill/store/platform.h"
#include "fescuemill/store/session.h"

#include <uv.h>

struct keeper;

/* Learned members are put into the table as MEMBER_ALIVE, but for self. */
int keeper_open(struct keeper **out, uv_loop_t *loop, struct platform *platform,
		struct member_table *members, const struct session_limits *limits, uint64_t seed,
		struct error *err);
/* States this node's own member; call again whenever it changes. */
void keeper_set_self(struct keeper *keeper, const struct member *self);
/* Whether to watch the rosters; without gossip that is how members are learned. Starts on. When
 * off, they are read once at the start and the writers keep this node's entry. */
void keeper_set_watching(struct keeper *keeper, bool on);
/* Reads all rosters again. */
void keeper_refresh(struct keeper *keeper);
/* Takes this node out of the roster; done is called once, also when it failed. */
void keeper_leave(struct keeper *keeper, void (*done)(void *user), void *user);
void keeper_close(struct keeper *keeper);

#endif
