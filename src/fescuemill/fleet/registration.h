/*
 * Registration: keeps this node's entry in the roster of its failure domain up to date, maintains
 * the entries of other nodes if this node is one of the roster's writers, and adds the members of
 * all rosters to the member table.
 */
#ifndef FESCUEMILL_FLEET_REGISTRATION_H
#define FESCUEMILL_FLEET_REGISTRATION_H

#include "fescuemill/fleet/roster.h"
#include "fescuemill/store/platform.h"
#include "fescuemill/store/session.h"

#include <uv.h>

struct registration;

/* Members read from rosters, except this node itself, are added to the table as MEMBER_ALIVE. */
int registration_open(struct registration **out, uv_loop_t *loop, struct platform *platform,
		      struct member_table *members, const struct session_limits *limits,
		      uint64_t seed, struct error *err);
/* Sets this node's own member entry. Must be called again whenever it changes. */
void registration_set_self(struct registration *registration, const struct member *self);
/* Switches watching of the rosters on or off; it starts on. Without gossip, watching is the only
 * way to discover members. When off, the rosters are read once at the start and the roster's
 * writers maintain this node's entry. */
void registration_set_watching(struct registration *registration, bool on);
/* The whole fleet starts for the first time, so that all rosters are still empty. To be called
 * before registration_set_self(). */
void registration_set_fleet_is_new(struct registration *registration, bool is_new);
/* Reads all rosters again. */
void registration_refresh(struct registration *registration);
/* Reads the own roster again, after the store was restored from a copy: it may lack entries, and
 * hold those of members that have left. */
void registration_store_restored(struct registration *registration);
/* Removes this node from the roster. `done` is called once, also if the removal failed. */
void registration_leave(struct registration *registration, void (*done)(void *user), void *user);
void registration_close(struct registration *registration);

#endif
