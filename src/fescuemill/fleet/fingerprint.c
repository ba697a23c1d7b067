/*
 * Fingerprints: the low half of the hash that digests use. Two members of a fleet may share one by
 * chance; then a living member is taken for suspect and refutes.
 */
#include "fescuemill/fleet/fingerprint.h"

#include "fescuemill/fleet/digest.h"

#include <string.h>

/* A state that may follow a known one: how many revisions later, and what it says. */
struct step {
	uint32_t revisions;
	enum member_state state;
};

/* What others may say of a revision, and what the member itself may say in its next. */
static const struct step steps[] = {
	{0, MEMBER_SUSPECT}, {0, MEMBER_DEAD}, {1, MEMBER_ALIVE},
	{1, MEMBER_LEAVING}, {1, MEMBER_DEAD},
};

/* Gives the fingerprint of a member's state; never 0. */
uint32_t fingerprint_of(const struct member *member)
{
	uint32_t print = (uint32_t)digest_member_hash(member);

	return print ? print : 1;
}

/* Tells whether news differs from what is known by one step and in nothing else. */
bool fingerprint_can_follow(const struct member *known, const struct member *news)
{
	uint32_t revisions = news->revision - known->revision;

	return known->identity.incarnation == news->identity.incarnation &&
	       known->backend == news->backend && known->slots == news->slots && revisions <= 1 &&
	       strcmp(known->service, news->service) == 0;
}

/* Gives the slot of a fingerprint, or the empty one where it would stand. */
static uint32_t slot_of(const struct fingerprint_set *set, uint32_t print)
{
	uint32_t slot = print % FINGERPRINT_SLOTS;

	while (set->slots[slot] && set->slots[slot] != print)
		slot = (slot + 1) % FINGERPRINT_SLOTS;
	return slot;
}

/* Fills the set anew. */
void fingerprint_set_fill(struct fingerprint_set *set, const uint32_t *list, uint32_t count)
{
	memset(set, 0, sizeof(*set));
	for (uint32_t i = 0; i < count && i < GOSSIP_FINGERPRINTS_MAX; i++)
		set->slots[slot_of(set, list[i])] = list[i];
}

/* Tells whether a revision may be of another service than the one before. */
static bool may_change_service(uint32_t revision)
{
	return revision % (1U << MEMBER_SERVICE_SHIFT) == 0;
}

/* Looks for a newer state of a member in the set. */
bool fingerprint_set_match(const struct fingerprint_set *set, const struct member *known,
			   struct member *news)
{
	*news = *known;
	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		uint32_t print;

		news->revision = known->revision + steps[i].revisions;
		news->state = steps[i].state;
		if (steps[i].revisions && may_change_service(news->revision))
			continue;
		print = fingerprint_of(news);
		if (member_is_newer(news, known) && set->slots[slot_of(set, print)] == print)
			return true;
	}
	return false;
}
