/*
 * Gossip: SWIM-like membership by probing and by spreading updates, and the spread of the
 * configuration's version. Pure: the caller passes in the time, and packets go out through a
 * callback.
 */
#ifndef FESCUEMILL_FLEET_GOSSIP_H
#define FESCUEMILL_FLEET_GOSSIP_H

#include "fescuemill/base/error.h"
#include "fescuemill/decide/budget.h"
#include "fescuemill/fleet/gossip_defs.h"
#include "fescuemill/fleet/member.h"
#include "fescuemill/fleet/version_report.h"

#include <stddef.h>

struct gossip;

struct gossip_io {
	void (*send)(void *user, uint32_t ip, uint16_t port, const uint8_t *data, size_t size);
	/* Called when a peer has a newer configuration than this node. May be NULL. */
	void (*newer_config)(void *user, uint64_t node_id, uint64_t version);
	void *user;
	/* Called with the demand reports that a member sent. May be NULL. */
	void (*demand)(void *user, uint64_t node_id, const uint8_t *data, size_t size);
	/* Asks whether this process may take a later incarnation. That is needed when an earlier
	 * process at the same address started while the clock was ahead. Returns false if it may
	 * not yet, and is then called again later. May be NULL: always allowed. */
	bool (*allow_new_incarnation)(void *user, uint64_t incarnation);
	/* How current this node's configuration is. All may be NULL. Returns the time by the clock
	 * of key proofs; fills in what this node tells; takes what a member told in its ack to a
	 * ping that was sent at asked_us. */
	uint64_t (*proof_time)(void *user);
	void (*proof_tell)(void *user, struct key_proof_item *out);
	void (*proof_hear)(void *user, const struct key_proof_item *proof, uint64_t asked_us);
	/* Called with the allotment message of a member. May be NULL. */
	void (*allotment)(void *user, uint64_t node_id, const uint8_t *data, size_t size);
	/* Called with a member's message of requests that ran when servers ended. May be NULL. */
	void (*crashes)(void *user, const uint8_t *data, size_t size);
};

/* Opens the gossip of a node and stores its own record in the table. The table and the budget
 * belong to the caller and must outlive the gossip. Errors: ERROR_MEMORY. */
int gossip_open(struct gossip **out, const struct member *self, struct member_table *members,
		struct budget *bud, const struct gossip_io *io, uint64_t seed, uint64_t now_us,
		struct error *err);
void gossip_close(struct gossip *gsp);
/* Must be called at least every GOSSIP_UPDATE_PERIOD_US. */
void gossip_tick(struct gossip *gsp, uint64_t now_us);
void gossip_receive(struct gossip *gsp, uint32_t ip, uint16_t port, const uint8_t *data,
		    size_t size, uint64_t now_us);
/* Sets the announced service, state and slots of this node's backend server and starts to spread
 * them. */
void gossip_set_backend(struct gossip *gsp, const char *service, enum backend_state backend,
			uint32_t slots);
/* Pings some random members of the own region, besides the regular probes. */
void gossip_ask_members(struct gossip *gsp, uint32_t count, uint64_t now_us);
void gossip_set_leaving(struct gossip *gsp);
/* Announces this node as dead to the other members. */
void gossip_leave(struct gossip *gsp, uint64_t now_us);
/* Sets the table of evacuations, which belongs to the caller: it is told to other nodes, and what
 * they tell is applied to it. Without it, packets carry none. */
void gossip_set_evacuations(struct gossip *gsp, struct evacuation_table *table);
void gossip_set_config_version(struct gossip *gsp, uint64_t version);
/* Returns the version of the configuration that this incarnation of a member last reported, or NULL
 * if it has not reported one. */
const struct version_report *gossip_version_report(const struct gossip *gsp,
						   const struct node_incarnation *identity);
/* Pings members that are not known to have the version, at most GOSSIP_QUERIES_MAX in
 * GOSSIP_QUERY_PERIOD_US and as far as the budget allows. Every ack reports the version that the
 * member has. */
void gossip_query_version(struct gossip *gsp, uint64_t version, uint64_t now_us);
/* Reports that a call could not reach the node, which is then probed at once. */
void gossip_report_failure(struct gossip *gsp, uint64_t node_id, uint64_t now_us);
/* Returns true if the table has matched that of another node since the start or the last pause of
 * the process, or if no other member is known. */
bool gossip_is_joined(const struct gossip *gsp);
/* Returns true if another process, at another address, uses this node's name with a later
 * incarnation. */
bool gossip_is_superseded(const struct gossip *gsp);
/* Returns true if the link to a region works. Members of a region that is not reachable must not be
 * chosen as gates. */
bool gossip_region_is_reachable(const struct gossip *gsp, const char *region);
const struct member *gossip_self(const struct gossip *gsp);

/* Sends demand reports of at most GOSSIP_DEMAND_BYTES to a member. Returns false if they were not
 * sent, because the member cannot be reached or the budget does not allow it. */
bool gossip_send_demand(struct gossip *gsp, uint64_t node_id, const uint8_t *data, size_t size,
			uint64_t now_us);
/* The same for an allotment message of at most GOSSIP_ALLOTMENT_BYTES. */
bool gossip_send_allotment(struct gossip *gsp, uint64_t node_id, const uint8_t *data, size_t size,
			   uint64_t now_us);
/* Sends a message of at most GOSSIP_CRASH_BYTES, of requests that ran when servers ended, to some
 * random members, as far as the budget allows. */
void gossip_spread_crashes(struct gossip *gsp, uint32_t members, const uint8_t *data, size_t size,
			   uint64_t now_us);

#endif
