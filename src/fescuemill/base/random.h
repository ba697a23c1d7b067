/*
 * Random numbers from an explicit state, so that all decisions can be replayed from a seed.
 */
#ifndef FESCUEMILL_BASE_RANDOM_H
#define FESCUEMILL_BASE_RANDOM_H

#include <stdint.h>

struct random {
	unsigned short state[3];
};

void random_seed(struct random *rng, uint64_t seed);
double random_unit(struct random *rng);
uint32_t random_below(struct random *rng, uint32_t bound);

#endif
