/*
 * The state that the files of gossip share. Not for others.
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

#define PROBE_OTHER_REGION_PERCENT 10
#define NEWS_OTHER_REGION_PERCENT  20

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
	struct heard_table heard;
	uint64_t config_version;
	uint32_t config_sends_left;
	uint64_t differing_peer; /* last heard with another table hash; 0: none */
	uint64_t ring_target;	 /* the member on the ring that was last probed */
	uint64_t tick_us;
	uint64_t probe_us;
	uint64_t news_us;
	uint64_t sync_us;
	uint64_t settled_us; /* until then differences are worked off as fast as while joining */
	uint64_t revive_us;
	uint64_t ask_us;
	uint32_t ask_index; /* the member to go on asking with */
	bool joined;
	bool superseded;
	struct gossip_packet packet;   /* the packet that is being made */
	struct gossip_packet received; /* the packet that is being read */
	uint32_t received_bytes;       /* with its headers */
};

const struct member *gossip_pick(struct gossip *gsp, enum pick pick);

/* Starts gsp->packet; fills in what every packet has. */
void gossip_packet_start(struct gossip *gsp, enum gossip_kind kind, uint32_t seq);
/* Sends gsp->packet if the budget allows; returns whether it was sent. */
bool gossip_packet_send(struct gossip *gsp, const struct member *to, uint64_t now_us);
/* Sends gsp->packet to an address whatever the budget holds, charging it. */
void gossip_packet_send_charged(struct gossip *gsp, uint32_t ip, uint16_t port, bool crosses_link,
				uint64_t now_us);
/* Sends a packet of a kind with as much news as fits; counts the news as sent. */
bool gossip_send_kind(struct gossip *gsp, const struct member *to, enum gossip_kind kind,
		      uint32_t seq, uint64_t now_us);
/* Sends a packet whose only news is the receiver itself, so that it can refute. */
bool gossip_send_about(struct gossip *gsp, const struct member *to, enum gossip_kind kind,
		       uint64_t now_us);

/* Takes news of a member into the table, and passes it on if it was news. */
enum member_change gossip_apply(struct gossip *gsp, const struct member *news, bool whole,
				uint64_t now_us);
/* Puts self into the table and passes it on. */
void gossip_publish_self(struct gossip *gsp, enum rumor_form form);
/* Raises self's revision, so that what others said of it is outdated. */
void gossip_renew_self(struct gossip *gsp);

#endif
