/*
 * Key proof: for how long this node may take the customers' keys in force here for current. A key
 * that was removed from the configuration must not work later than a bound after the store
 * acknowledged the removal. No I/O; times are of CLOCK_BOOTTIME, which counts suspension and does
 * not jump.
 */
#ifndef FESCUEMILL_DECIDE_KEY_PROOF_H
#define FESCUEMILL_DECIDE_KEY_PROOF_H

#include "fescuemill/decide/key_proof_defs.h"

enum key_proof_source {
	KEY_PROOF_NONE,
	KEY_PROOF_STORE,  /* own question to the store */
	KEY_PROOF_ANSWER, /* answer of a gate to a call */
	KEY_PROOF_PONG,	  /* answer of a gate to a ping */
	KEY_PROOF_GOSSIP, /* answer of a member to a gossip ping */
	KEY_PROOF_SOURCE_COUNT,
};

/* "When this node's clock showed asked_us, the store had no newer configuration than version." */
struct key_proof_claim {
	enum key_proof_source source; /* KEY_PROOF_NONE: there is no claim */
	uint64_t version;
	uint64_t asked_us;
};

struct key_proof {
	uint64_t valid_us;		/* how long after asked_us keys may be served */
	struct key_proof_claim current; /* holds for the configuration in force */
	/* The latest claim about a version that this node does not have yet. */
	struct key_proof_claim ahead;
};

/* Initializes a proof that does not hold. The bound is in milliseconds. */
void key_proof_init(struct key_proof *proof, uint32_t bound_ms);
/* Takes a claim, while this node has all changes of the configuration up to own_version. A claim
 * that was asked for in the future is not taken. */
void key_proof_adopt(struct key_proof *proof, const struct key_proof_claim *claim,
		     uint64_t own_version, uint64_t now_us);
/* Takes what another node told in answer to a question that this node sent at asked_us. */
void key_proof_hear(struct key_proof *proof, const struct key_proof_item *item,
		    enum key_proof_source source, uint64_t asked_us, uint64_t own_version,
		    uint64_t now_us);
/* Uses the claim about a later version, once this node has that version. */
void key_proof_catch_up(struct key_proof *proof, uint64_t own_version);
/* Returns true if the keys in force may be used now. */
bool key_proof_is_fresh(const struct key_proof *proof, uint64_t now_us);
/* Returns the time since the question; UINT64_MAX if there is no claim. */
uint64_t key_proof_age_us(const struct key_proof *proof, uint64_t now_us);
/* Fills in what this node tells others; nothing if it has no claim or only an outdated one. */
void key_proof_tell(const struct key_proof *proof, uint64_t now_us, struct key_proof_item *out);
const char *key_proof_source_name(enum key_proof_source source);

#endif
