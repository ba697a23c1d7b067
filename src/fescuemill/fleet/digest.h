/*
 * Digest: hashes of the member table, in all and by bucket, so that two nodes find where their
 * tables differ without sending them. Dead members do not count: a node forgets them in its own
 * time.
 */
#ifndef FESCUEMILL_FLEET_DIGEST_H
#define FESCUEMILL_FLEET_DIGEST_H

#include "fescuemill/fleet/gossip_defs.h"
#include "fescuemill/fleet/member.h"

struct digest {
	uint64_t revision; /* of the table that the hashes were made from */
	uint64_t total;
	uint64_t buckets[GOSSIP_BUCKETS];
};

void digest_update(struct digest *digest, const struct member_table *members);
uint32_t digest_bucket_of(uint64_t node_id);
uint64_t digest_member_hash(const struct member *member);

#endif
