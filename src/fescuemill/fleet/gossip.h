/*
 * Gossip: membership by probing and passing on news, and the spread of the configuration's
 * version. Pure: time comes in, packets go out through a function.
 */
#ifndef FESCUEMILL_FLEET_GOSSIP_H
#define FESCUEMILL_FLEET_GOSSIP_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/budget.h"
#include "fescuemill/fleet/gossip_defs.h"
#include "fescuemill/fleet/heard.h"
#include "fescuemill/fleet/member.h"

#include <stddef.h>

struct gossip;

struct gossip_io {
	void (*send)(void *user, uint32_t ip, uint16_t port, const uint8_t *data, size_t size);
	/* A peer has a newer configuration than was last set. May be NULL. */
	void (*newer_config)(void *user, uint64_t node_id, uint64_t version);
	void *user;
	/* A member sent demands. May be NULL. */
	void (*demand)(void *user, uint64_t node_id, const uint8_t *data, size_t size);
	/* This process would take a later incarnation, since an earlier one of its address had a
	 * clock ahead of its own. Returns whether it may now. May be NULL: always. */
	bool (*new_life)(void *user, uint64_t incarnation);
};

/* Self is put into the table. The table and the budget belong to the caller and outlive the
 * gossip. Errors: ERROR_MEMORY. */
int gossip_open(struct gossip **out, const struct member *self, struct member_table *members,
		struct budget *bud, const struct gossip_io *io, uint64_t seed, uint64_t now_us,
		struct error *err);
void gossip_close(struct gossip *gsp);
/* To be called at least every GOSSIP_NEWS_PERIOD_US. */
void gossip_tick(struct gossip *gsp, uint64_t now_us);
void gossip_receive(struct gossip *gsp, uint32_t ip, uint16_t port, const uint8_t *data,
		    size_t size, uint64_t now_us);
/* Changes what this node says of itself and passes it on at once. */
void gossip_set_backend(struct gossip *gsp, const char *service, enum backend_state backend,
			uint32_t slots);
void gossip_set_leaving(struct gossip *gsp);
/* Says goodbye: this node is dead to the others from now on. */
void gossip_leave(struct gossip *gsp, uint64_t now_us);
void gossip_set_config_version(struct gossip *gsp, uint64_t version);
/* Gives what a member last said of the version that it has, or NULL. */
const struct heard *gossip_heard(const struct gossip *gsp, const struct node_incarnation *identity);
/* Pings a few members that are not known to have the version, at most GOSSIP_ASKS_MAX in
 * GOSSIP_ASK_PERIOD_US and as far as the budget allows: every answer tells the member's version. */
void gossip_ask_version(struct gossip *gsp, uint64_t version, uint64_t now_us);
/* A call found the node unreachable: it is probed at once. */
void gossip_report_failure(struct gossip *gsp, uint64_t node_id, uint64_t now_us);
/* Whether the table has once matched another node's since the start or the last pause, or this
 * node knows of no other. */
bool gossip_is_joined(const struct gossip *gsp);
/* Whether another process uses this node's name, at another address, with a later incarnation. */
bool gossip_is_superseded(const struct gossip *gsp);
/* Whether the link to a region works; the members of a region that it does not reach are no gates
 * to choose. */
bool gossip_region_is_reachable(const struct gossip *gsp, const char *region);
const struct member *gossip_self(const struct gossip *gsp);

/* Sends demands, at most GOSSIP_DEMAND_BYTES, to a member if it can be reached and the budget
 * allows it; returns whether they were sent. */
bool gossip_send_demand(struct gossip *gsp, uint64_t node_id, const uint8_t *data, size_t size,
			uint64_t now_us);

#endif
