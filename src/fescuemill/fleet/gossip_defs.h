/*
 * Gossip types: packets between nodes and the times that govern them.
 */
#ifndef FESCUEMILL_FLEET_GOSSIP_DEFS_H
#define FESCUEMILL_FLEET_GOSSIP_DEFS_H

#include "fescuemill/base/clock.h"
#include "fescuemill/fleet/member_defs.h"
#include "fescuemill/wire/message_defs.h"

#define GOSSIP_VERSION		1
#define GOSSIP_PACKET_BYTES	1200
#define GOSSIP_NEWS_MAX		64
#define GOSSIP_DEMAND_BYTES	1100
#define GOSSIP_NUMBERS_MAX	64
#define GOSSIP_WANTS_MAX	GOSSIP_NUMBERS_MAX
#define GOSSIP_BUCKETS		GOSSIP_NUMBERS_MAX
#define GOSSIP_FINGERPRINTS_MAX 64

#define GOSSIP_PROBE_PERIOD_US	      (500 * USEC_PER_MSEC)
#define GOSSIP_NEWS_PERIOD_US	      (100 * USEC_PER_MSEC)
#define GOSSIP_NEWS_FANOUT	      3
#define GOSSIP_DIRECT_TIMEOUT_US      (250 * USEC_PER_MSEC)
#define GOSSIP_PROBE_TIMEOUT_US	      (700 * USEC_PER_MSEC)
#define GOSSIP_INDIRECT_PROBES	      3
#define GOSSIP_SUSPECT_US	      (2 * USEC_PER_SEC)
#define GOSSIP_PAUSE_US		      (1500 * USEC_PER_MSEC)
#define GOSSIP_SYNC_PERIOD_US	      (5 * USEC_PER_SEC)
#define GOSSIP_SYNC_MIN_PERIOD_US     USEC_PER_SEC
#define GOSSIP_SYNC_PER_MEMBER_US     (10 * USEC_PER_MSEC)
#define GOSSIP_CROWDED_SYNC_PERIOD_US (20 * USEC_PER_SEC)
#define GOSSIP_JOIN_PERIOD_US	      (250 * USEC_PER_MSEC)
#define GOSSIP_SETTLE_US	      (5 * USEC_PER_SEC) /* a peer may have joined with the same gap */
#define GOSSIP_REVIVE_PERIOD_US	      (5 * USEC_PER_SEC)
#define GOSSIP_ASK_PERIOD_US	      (200 * USEC_PER_MSEC)
#define GOSSIP_ASKS_MAX		      4
#define GOSSIP_DEAD_KEEP_US	      (7200 * USEC_PER_SEC)

enum gossip_kind {
	GOSSIP_PING = 1,     /* answer with an ack */
	GOSSIP_ACK,	     /* answers a ping; seq is the ping's */
	GOSSIP_PING_REQUEST, /* ping the target for me */
	GOSSIP_NEWS,	     /* nothing but news */
	GOSSIP_DIGEST,	     /* hashes of my table; tell me where yours differs */
	GOSSIP_ENTRIES,	     /* entries of buckets that differ; tell me what you know better */
	GOSSIP_WANT,	     /* send me the whole records of these members */
	GOSSIP_DEMAND,	     /* demands of gates, see decide/demand.h */
	GOSSIP_KIND_END,
};

/* News of one member. Brief news lacks the names and addresses, which the receiver has. */
struct gossip_news {
	bool whole;
	struct member member;
};

struct gossip_packet {
	enum gossip_kind kind;
	uint32_t seq;
	struct node_incarnation sender;
	uint64_t config_version;  /* of the sender */
	uint64_t table_hash;	  /* of the sender */
	uint64_t target;	  /* of a ping request */
	struct wire_bytes demand; /* borrowed */
	uint32_t want_count;
	uint64_t wants[GOSSIP_WANTS_MAX];
	uint64_t buckets[GOSSIP_BUCKETS]; /* of a digest */
	uint32_t news_count;
	uint32_t fingerprint_count;
	struct gossip_news news[GOSSIP_NEWS_MAX];
	uint32_t fingerprints[GOSSIP_FINGERPRINTS_MAX]; /* news that names states by hash */
};

#endif
