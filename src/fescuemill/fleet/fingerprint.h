/*
 * Fingerprints: short hashes that name a state of a member, so that news of many members fits into
 * one packet. A receiver knows which states may follow those in its table, hashes these, and looks
 * for them among the fingerprints that it got.
 */
#ifndef FESCUEMILL_FLEET_FINGERPRINT_H
#define FESCUEMILL_FLEET_FINGERPRINT_H

#include "fescuemill/fleet/gossip_defs.h"

#define FINGERPRINT_SLOTS (4 * GOSSIP_FINGERPRINTS_MAX) /* a power of two */

/* A set for lookups; an empty slot holds 0, which is no fingerprint. */
struct fingerprint_set {
	uint32_t slots[FINGERPRINT_SLOTS];
};

uint32_t fingerprint_of(const struct member *member);
/* Whether a receiver that knows the one can derive the other from a fingerprint. */
bool fingerprint_can_follow(const struct member *known, const struct member *news);
/* Takes at most GOSSIP_FINGERPRINTS_MAX fingerprints. */
void fingerprint_set_fill(struct fingerprint_set *set, const uint32_t *list, uint32_t count);
/* Gives the state that follows what is known of a member and is in the set. */
bool fingerprint_set_match(const struct fingerprint_set *set, const struct member *known,
			   struct member *news);

#endif
