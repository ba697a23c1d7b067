/*
 * Key proof: claims about the store, of which the latest that fits the configuration in force
 * counts.
 *
 * A claim holds for every node that has all changes up to its version: the store had no others when
 * the question was sent. A removal that is missing there was therefore acknowledged after that
 * time.
 */
#include "fescuemill/decide/key_proof.h"

#include <string.h>

#define US_PER_MS 1000ULL

/* The bound is counted by the store's clock and by those of all nodes on the way of a claim, and
 * the claim is used until it has reached the bound. Clocks of hosts differ by less than 0.1% in
 * rate (5 ms in 5 s). The rest of the margin covers a turn of the loop between the check and the
 * call's start. */
#define MARGIN_DIVISOR 20 /* 250 ms of 5 s */

static const char *const source_names[KEY_PROOF_SOURCE_COUNT] = {"none", "store", "answer", "pong",
								 "gossip"};

void key_proof_init(struct key_proof *proof, uint32_t bound_ms)
{
	memset(proof, 0, sizeof(*proof));
	proof->valid_us = bound_ms * US_PER_MS - bound_ms * US_PER_MS / MARGIN_DIVISOR;
}

/* Replaces a claim by a later one. */
static void keep_later(struct key_proof_claim *kept, const struct key_proof_claim *claim)
{
	if (kept->source == KEY_PROOF_NONE || claim->asked_us > kept->asked_us)
		*kept = *claim;
}

void key_proof_adopt(struct key_proof *proof, const struct key_proof_claim *claim,
		     uint64_t own_version, uint64_t now_us)
{
	if (claim->source == KEY_PROOF_NONE || claim->asked_us > now_us)
		return;
	keep_later(claim->version <= own_version ? &proof->current : &proof->ahead, claim);
}

/* The age was counted by the other node until its answer, so that the store was asked no earlier
 * than that age before this node's own question. The time of receipt says nothing: answers may be
 * late. */
void key_proof_hear(struct key_proof *proof, const struct key_proof_item *item,
		    enum key_proof_source source, uint64_t asked_us, uint64_t own_version,
		    uint64_t now_us)
{
	struct key_proof_claim claim = {source, item->version, 0};

	if (!item->is_set || asked_us == 0 || item->age_ms * US_PER_MS > asked_us)
		return;
	claim.asked_us = asked_us - item->age_ms * US_PER_MS;
	key_proof_adopt(proof, &claim, own_version, now_us);
}

void key_proof_catch_up(struct key_proof *proof, uint64_t own_version)
{
	if (proof->ahead.source == KEY_PROOF_NONE || proof->ahead.version > own_version)
		return;
	keep_later(&proof->current, &proof->ahead);
	proof->ahead.source = KEY_PROOF_NONE;
}

uint64_t key_proof_age_us(const struct key_proof *proof, uint64_t now_us)
{
	if (proof->current.source == KEY_PROOF_NONE || proof->current.asked_us > now_us)
		return UINT64_MAX;
	return now_us - proof->current.asked_us;
}

bool key_proof_is_fresh(const struct key_proof *proof, uint64_t now_us)
{
	return key_proof_age_us(proof, now_us) < proof->valid_us;
}

void key_proof_tell(const struct key_proof *proof, uint64_t now_us, struct key_proof_item *out)
{
	memset(out, 0, sizeof(*out));
	if (!key_proof_is_fresh(proof, now_us))
		return;
	out->is_set = true;
	out->version = proof->current.version;
	out->age_ms = (uint32_t)((key_proof_age_us(proof, now_us) + US_PER_MS - 1) / US_PER_MS);
}

/* Returns the name of a source as used in the log. */
const char *key_proof_source_name(enum key_proof_source source)
{
	return (unsigned int)source < KEY_PROOF_SOURCE_COUNT ? source_names[source] : "invalid";
}
