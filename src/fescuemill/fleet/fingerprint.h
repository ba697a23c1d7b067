/*
 * Fingerprints: 32-bit hashes of a member's state, so that updates of many members fit into one
 * packet. A receiver knows which states may follow those in its table, hashes them, and searches
 * for the results among the received fingerprints.
 */
#ifndef FESCUEMILL_FLEET_FINGERPRINT_H
#define FESCUEMILL_FLEET_FINGERPRINT_H

#include "fescuemill/fleet/gossip_defs.h"

#define FINGERPRINT_SLOTS (4 * GOSSIP_FINGERPRINTS_MAX) /* a power of two */

/* A hash set with open addressing; 0 marks an empty slot and is never a fingerprint. */
struct fingerprint_set {
	uint32_t slots[FINGERPRINT_SLOTS];
};

uint32_t fingerprint_of(const struct member *member);
/* Returns true if a receiver with the `known` record can derive the update from a fingerprint. */
bool fingerprint_can_follow(const struct member *known, const struct member *update);
/* Only the first GOSSIP_FINGERPRINTS_MAX fingerprints of the list are stored. */
void fingerprint_set_fill(struct fingerprint_set *set, const uint32_t *list, uint32_t count);
/* Fills `update` with the state that follows the known one and is in the set; returns false if
 * there is none. */
bool fingerprint_set_match(const struct fingerprint_set *set, const struct member *known,
			   struct member *update);

#endif
