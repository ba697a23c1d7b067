/*
 * Random numbers: erand48 of the C library, with a state that the caller owns.
 */
#include "fescuemill/base/random.h"

#include <stdlib.h>

/* Seeds the state with the low 48 bits of seed. Equal seeds give equal sequences. */
void random_seed(struct random *rng, uint64_t seed)
{
	rng->state[0] = (unsigned short)seed;
	rng->state[1] = (unsigned short)(seed >> 16);
	rng->state[2] = (unsigned short)(seed >> 32);
}

/* Returns a random number in [0, 1). */
double random_unit(struct random *rng)
{
	return erand48(rng->state);
}

/* Returns a random integer in [0, bound), or 0 if bound is 0. */
uint32_t random_below(struct random *rng, uint32_t bound)
{
	return (uint32_t)(erand48(rng->state) * bound);
}
