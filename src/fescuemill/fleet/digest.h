/*
 * Member table digest: one hash of the whole member table and one for each bucket of it. By
 * comparing digests, two nodes find where their tables differ without sending the members. Dead
 * members are left out, as each node removes them at a time of its own.
 */
#ifndef FESCUEMILL_FLEET_DIGEST_H
#define FESCUEMILL_FLEET_DIGEST_H

#include "fescuemill/fleet/gossip_defs.h"
#include "fescuemill/fleet/member.h"

struct digest {
	uint64_t revision; /* member_table_revision() when the hashes were computed */
	uint64_t total;
	uint64_t buckets[GOSSIP_BUCKETS];
};

void digest_update(struct digest *digest, const struct member_table *members);
uint32_t digest_bucket_of(uint64_t node_id);
uint64_t digest_member_hash(const struct member *member);

#endif
