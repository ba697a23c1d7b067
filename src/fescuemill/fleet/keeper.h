/*
 * Registration: keeps this node's entry in the roster of its failure domain up to date, maintains
 * the entries of other nodes if this node is one of the roster's writers, and adds the members of
 * all rosters to the member table.
 */
#ifndef FESCUEMILL_FLEET_KEEPER_H
#define FESCUEMILL_FLEET_KEEPER_H

#include "fescuemill/fleet/roster.h"
#include "fescuemill/store/platform.h"
#include "fescuemill/store/session.h"

#include <uv.h>

struct keeper;

/* Members read from rosters, except this node itself, are added to the table as MEMBER_ALIVE. */
int keeper_open(struct keeper **out, uv_loop_t *loop, struct platform *platform,
		struct member_table *members, const struct session_limits *limits, uint64_t seed,
		struct error *err);
/* Sets this node's own member entry. Must be called again whenever it changes. */
void keeper_set_self(struct keeper *keeper, const struct member *self);
/* Switches watching of the rosters on or off; it starts on. Without gossip, watching is the only
 * way to discover members. When off, the rosters are read once at the start and the roster's
 * writers maintain this node's entry. */
void keeper_set_watching(struct keeper *keeper, bool on);
/* Reads all rosters again. */
void keeper_refresh(struct keeper *keeper);
/* Removes this node from the roster. `done` is called once, also if the removal failed. */
void keeper_leave(struct keeper *keeper, void (*done)(void *user), void *user);
void keeper_close(struct keeper *keeper);

#endif
