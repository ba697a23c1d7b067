/*
 * Fingerprints of member states: the low 32 bits of the hash that digests use. Two members of a
 * fleet may have the same fingerprint by chance; then a live member can be marked as suspect, and
 * refutes it.
 */
#include "fescuemill/fleet/fingerprint.h"

#include "fescuemill/fleet/digest.h"

#include <string.h>

/* A state that may follow a known one, and by how much it raises the revision. */
struct transition {
	uint32_t revisions;
	enum member_state state;
};

/* Other nodes may mark the same revision as suspect or dead; the member itself may announce its
 * next revision as alive, leaving or dead. */
static const struct transition transitions[] = {
	{0, MEMBER_SUSPECT}, {0, MEMBER_DEAD}, {1, MEMBER_ALIVE},
	{1, MEMBER_LEAVING}, {1, MEMBER_DEAD},
};

/* Returns the fingerprint of a member's state; never 0. */
uint32_t fingerprint_of(const struct member *member)
{
	uint32_t fingerprint = (uint32_t)digest_member_hash(member);

	return fingerprint ? fingerprint : 1;
}

/* Returns true if the update differs from the known record by at most one revision and by the
 * state, and in nothing else. */
bool fingerprint_can_follow(const struct member *known, const struct member *update)
{
	uint32_t revisions = update->revision - known->revision;

	return known->identity.incarnation == update->identity.incarnation &&
	       known->backend == update->backend && known->slots == update->slots &&
	       revisions <= 1 && strcmp(known->service, update->service) == 0;
}

/* Returns the slot that holds a fingerprint, or the empty slot where it would be inserted. */
static uint32_t slot_of(const struct fingerprint_set *set, uint32_t fingerprint)
{
	uint32_t slot = fingerprint % FINGERPRINT_SLOTS;

	while (set->slots[slot] && set->slots[slot] != fingerprint)
		slot = (slot + 1) % FINGERPRINT_SLOTS;
	return slot;
}

/* Replaces the content of the set by a list of fingerprints. */
void fingerprint_set_fill(struct fingerprint_set *set, const uint32_t *list, uint32_t count)
{
	memset(set, 0, sizeof(*set));
	for (uint32_t i = 0; i < count && i < GOSSIP_FINGERPRINTS_MAX; i++)
		set->slots[slot_of(set, list[i])] = list[i];
}

/* Returns true if a revision may announce another service than the revision before it. */
static bool may_change_service(uint32_t revision)
{
	return revision % (1U << MEMBER_SERVICE_SHIFT) == 0;
}

/* Searches the set for a newer state of a member. If found, fills `update` and returns true. */
bool fingerprint_set_match(const struct fingerprint_set *set, const struct member *known,
			   struct member *update)
{
	*update = *known;
	for (size_t i = 0; i < sizeof(transitions) / sizeof(transitions[0]); i++) {
		uint32_t fingerprint;

		update->revision = known->revision + transitions[i].revisions;
		update->state = transitions[i].state;
		if (transitions[i].revisions && may_change_service(update->revision))
			continue;
		fingerprint = fingerprint_of(update);
		if (member_is_newer(update, known) &&
		    set->slots[slot_of(set, fingerprint)] == fingerprint)
			return true;
	}
	return false;
}
