/*
 * What nodes tell each other about how current the customers' keys are.
 */
#ifndef FESCUEMILL_DECIDE_KEY_PROOF_DEFS_H
#define FESCUEMILL_DECIDE_KEY_PROOF_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/* "age_ms ago, the store had no newer configuration than this version." */
struct key_proof_item {
	bool is_set;
	uint32_t age_ms;  /* rounded up */
	uint64_t version; /* config_version() of the node that asked the store */
};

#endif
