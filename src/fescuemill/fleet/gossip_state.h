/*
 * Internal state of gossip, shared by the gossip_*.c files only.
 */
#ifndef FESCUEMILL_FLEET_GOSSIP_STATE_H
#define FESCUEMILL_FLEET_GOSSIP_STATE_H

#include "fescuemill/base/random.h"
#include "fescuemill/fleet/digest.h"
#include "fescuemill/fleet/gossip.h"
#include "fescuemill/fleet/probe.h"
#include "fescuemill/fleet/region.h"
#include "fescuemill/fleet/rumor.h"
#include "fescuemill/fleet/suspicion.h"

#define PROBE_OTHER_REGION_PERCENT  10
#define UPDATE_OTHER_REGION_PERCENT 20

enum pick {
	PICK_ANY,
	PICK_OWN_REGION,
	PICK_OTHER_REGION,
	PICK_DEAD,
};

struct gossip {
	struct member self;
	struct member_table *members;
	struct budget *budget;
	struct gossip_io io;
	struct random rng;
	struct digest digest;
	struct probe_list probes;
	struct rumor_list rumors;
	struct suspicion_list suspicions;
	struct region_list regions;
	struct version_report_table version_reports;
	uint64_t config_version;
	uint32_t config_sends_left;	      /* packets that still announce config_version */
	struct evacuation_table *evacuations; /* NULL: not told and not taken */
	uint64_t evacuations_pushed;	      /* revision of the table that was pushed last */
	uint32_t evacuation_sends_left;	      /* packets that still push it */
	uint64_t differing_peer; /* node id of the last peer whose table hash differed; 0: none */
	uint64_t ring_target;	 /* node id of the ring successor that was probed last */
	uint64_t tick_us;	 /* time of the last tick */
	uint64_t probe_us;	 /* time of the last probe period */
	uint64_t push_us;	 /* time of the last push of updates */
	uint64_t sync_us;	 /* time of the last digest sent */
	uint64_t fast_sync_until_us; /* until then tables are compared as often as while joining */
	uint64_t dead_probe_us;	     /* time of the last ping of a dead member */
	uint64_t query_us;	     /* time of the last version queries */
	uint32_t query_index;	     /* table index at which the next version query starts */
	bool joined;		     /* see gossip_is_joined() */
	bool superseded;	     /* see gossip_is_superseded() */
	struct gossip_packet packet; /* packet being built */
	struct gossip_packet received; /* packet being handled */
	uint32_t received_bytes;       /* size of `received` with the packet headers */
};

/* Adds the orders and recent withdrawals to gsp->packet, and applies those of gsp->received. */
void gossip_fill_evacuations(struct gossip *gsp);
void gossip_apply_evacuations(struct gossip *gsp, uint64_t now_us);
/* Returns true once after each change of what is in force, and starts to push it. */
bool gossip_evacuations_changed(struct gossip *gsp);

const struct member *gossip_pick(struct gossip *gsp, enum pick pick);

/* Clears gsp->packet and fills in the envelope, which every kind has. */
void gossip_packet_start(struct gossip *gsp, enum gossip_kind kind, uint32_t seq);
/* Sends gsp->packet if the budget allows it; returns true if it was sent. */
bool gossip_packet_send(struct gossip *gsp, const struct member *to, uint64_t now_us);
/* Sends gsp->packet to an address even if the budget is used up, and charges the budget. */
void gossip_packet_send_charged(struct gossip *gsp, uint32_t ip, uint16_t port, bool crosses_link,
				uint64_t now_us);
/* Sends a packet of a kind with as many pending updates as fit, and counts those as sent. Returns
 * false if the budget did not allow it. */
bool gossip_send_kind(struct gossip *gsp, const struct member *to, enum gossip_kind kind,
		      uint32_t seq, uint64_t now_us);
/* Sends a message of requests that ran when servers ended, and counts the bytes spent on it. */
bool gossip_send_crashes(struct gossip *gsp, const struct member *to, const uint8_t *data,
			 size_t size, uint64_t now_us);
/* Sends a packet whose only update is the state recorded for the receiver, so that the receiver can
 * refute it. */
bool gossip_send_known_state(struct gossip *gsp, const struct member *to, enum gossip_kind kind,
			     uint64_t now_us);

/* Stores an update in the member table, and spreads it if it was newer than the known record. */
enum member_change gossip_apply(struct gossip *gsp, const struct member *update,
				bool is_full_record, uint64_t now_us);
/* Stores this node's own record in the member table and spreads it. */
void gossip_publish_self(struct gossip *gsp, enum rumor_form form);
/* Raises this node's revision, which overrides what other nodes announced about it. */
void gossip_raise_revision(struct gossip *gsp);

#endif
