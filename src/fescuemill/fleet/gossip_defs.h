/*
 * Gossip types: the packets that nodes exchange, and the limits and periods of the protocol.
 */
#ifndef FESCUEMILL_FLEET_GOSSIP_DEFS_H
#define FESCUEMILL_FLEET_GOSSIP_DEFS_H

#include "fescuemill/base/clock.h"
#include "fescuemill/fleet/evacuation.h"
#include "fescuemill/fleet/member_defs.h"
#include "fescuemill/wire/message_defs.h"

#define GOSSIP_VERSION		1
#define GOSSIP_PACKET_BYTES	1200
#define GOSSIP_UPDATES_MAX	64
#define GOSSIP_DEMAND_BYTES	1100
#define GOSSIP_ALLOTMENT_BYTES	1100
#define GOSSIP_CRASH_BYTES	1100
#define GOSSIP_NUMBERS_MAX	64 /* 64-bit numbers in one list of a packet */
#define GOSSIP_REQUESTED_MAX	GOSSIP_NUMBERS_MAX
#define GOSSIP_BUCKETS		GOSSIP_NUMBERS_MAX
#define GOSSIP_FINGERPRINTS_MAX 64

#define GOSSIP_PROBE_PERIOD_US	(500 * USEC_PER_MSEC)
#define GOSSIP_UPDATE_PERIOD_US (100 * USEC_PER_MSEC)
#define GOSSIP_UPDATE_FANOUT	3
/* Both timeouts start with the ping: at the first one indirect probes are sent, at the second one
 * the probe has failed. */
#define GOSSIP_DIRECT_PROBE_TIMEOUT_US (250 * USEC_PER_MSEC)
#define GOSSIP_PROBE_TIMEOUT_US	       (700 * USEC_PER_MSEC)
#define GOSSIP_INDIRECT_PROBES	       3
#define GOSSIP_SUSPECT_TIMEOUT_US      (2 * USEC_PER_SEC)
#define GOSSIP_PAUSE_THRESHOLD_US      (1500 * USEC_PER_MSEC) /* a longer gap of ticks is a pause */
/* Time between two comparisons of member tables: GOSSIP_SYNC_PER_MEMBER_US for each member, but at
 * least GOSSIP_SYNC_MIN_PERIOD_US and at most GOSSIP_SYNC_PERIOD_US. */
#define GOSSIP_SYNC_PERIOD_US	      (5 * USEC_PER_SEC)
#define GOSSIP_SYNC_MIN_PERIOD_US     USEC_PER_SEC
#define GOSSIP_SYNC_PER_MEMBER_US     (10 * USEC_PER_MSEC)
#define GOSSIP_BACKLOG_SYNC_PERIOD_US (20 * USEC_PER_SEC)   /* while many updates are pending */
#define GOSSIP_JOIN_PERIOD_US	      (250 * USEC_PER_MSEC) /* while this node is joining */
/* For this long after the start or a pause of the process, tables are compared every
 * GOSSIP_JOIN_PERIOD_US: a peer that joined at the same time may lack the same members. */
#define GOSSIP_FAST_SYNC_US	    (5 * USEC_PER_SEC)
#define GOSSIP_DEAD_PROBE_PERIOD_US (5 * USEC_PER_SEC)
#define GOSSIP_QUERY_PERIOD_US	    (200 * USEC_PER_MSEC)
#define GOSSIP_QUERIES_MAX	    4
#define GOSSIP_DEAD_RETENTION_US    (7200 * USEC_PER_SEC)

enum gossip_kind {
	GOSSIP_PING = 1,       /* request for an ack */
	GOSSIP_ACK,	       /* answer to a ping; seq is that of the ping */
	GOSSIP_PING_REQUEST,   /* request to ping the target on behalf of the sender */
	GOSSIP_UPDATES,	       /* member updates only */
	GOSSIP_DIGEST,	       /* bucket hashes; answered with GOSSIP_BUCKET_RECORDS */
	GOSSIP_BUCKET_RECORDS, /* members of the buckets that differ; answered with newer records */
	GOSSIP_RECORD_REQUEST, /* request for the full records of the listed members */
	GOSSIP_DEMAND,	       /* demand reports of gates, see decide/demand.h */
	GOSSIP_ALLOTMENT,      /* use and shares of customers, see decide/allotment_wire.h */
	GOSSIP_CRASHES,	       /* requests that ran when servers ended, see decide/crash_wire.h */
	GOSSIP_KIND_END,
};

/* An update about one member. A compact update carries only the identity, revision, states and
 * slots; the receiver takes the names and addresses from its own table. */
struct gossip_update {
	bool is_full_record; /* the update carries the names and addresses, too */
	struct member member;
};

struct gossip_packet {
	enum gossip_kind kind;
	uint32_t seq;
	struct node_incarnation sender;
	uint64_t config_version; /* version of the configuration that the sender has */
	uint64_t table_hash;	 /* digest total of the sender's member table */
	uint64_t target;	 /* node id to ping; in GOSSIP_PING_REQUEST */
	/* These point into the received or sent data. */
	struct wire_bytes demand;
	struct wire_bytes allotment;
	struct wire_bytes crashes;
	uint32_t requested_count;
	uint64_t requested[GOSSIP_REQUESTED_MAX]; /* node ids; in GOSSIP_RECORD_REQUEST */
	uint64_t buckets[GOSSIP_BUCKETS];	  /* bucket hashes; in GOSSIP_DIGEST */
	struct key_proof_item proof;		  /* in GOSSIP_ACK */
	uint32_t update_count;
	uint32_t fingerprint_count;
	uint32_t evacuation_count;
	struct gossip_update updates[GOSSIP_UPDATES_MAX];
	uint32_t fingerprints[GOSSIP_FINGERPRINTS_MAX];	 /* updates sent as hashes of states */
	struct evacuation evacuations[EVACUATIONS_TOLD]; /* orders and recent withdrawals */
};

#endif
