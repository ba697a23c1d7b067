/*
 * Member table digest. Each bucket is the exclusive or of the hashes of its members, so that the
 * order of the members does not matter.
 */
#include "fescuemill/fleet/digest.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define BUCKET_SHIFT 58 /* the top 6 bits of a node id select one of GOSSIP_BUCKETS */

/* Returns the hash of the fields of a member that two nodes must agree on. */
uint64_t digest_member_hash(const struct member *member)
{
	uint64_t words[4] = {member->identity.node_id, member->identity.incarnation,
			     member->revision, member->state};

	return XXH3_64bits(words, sizeof(words));
}

/* Returns the index of the bucket that a member belongs to. */
uint32_t digest_bucket_of(uint64_t node_id)
{
	return (uint32_t)(node_id >> BUCKET_SHIFT);
}

/* Recomputes the hashes if the table has changed since the last update. */
void digest_update(struct digest *digest, const struct member_table *members)
{
	if (digest->revision == member_table_revision(members))
		return;
	memset(digest, 0, sizeof(*digest));
	digest->revision = member_table_revision(members);
	for (size_t i = 0; i < member_count(members); i++) {
		const struct member *member = member_at(members, i);

		if (member->state == MEMBER_DEAD)
			continue;
		digest->buckets[digest_bucket_of(member->identity.node_id)] ^=
			digest_member_hash(member);
		digest->total ^= digest_member_hash(member);
	}
}
