/*
 * Random numbers: the C library's erand48 with the state held by the caller.
 */
#include "fescuemill/base/random.h"

#include <stdlib.h>

/* Seeds the state; equal seeds give equal sequences. */
void random_seed(struct random *rng, uint64_t seed)
{
	rng->state[0] = (unsigned short)seed;
	rng->state[1] = (unsigned short)(seed >> 16);
	rng->state[2] = (unsigned short)(seed >> 32);
}

/* Draws a number from [0, 1). */
double random_unit(struct random *rng)
{
	return erand48(rng->state);
}

/* Draws a number from [0, bound); gives 0 for a bound of 0. */
uint32_t random_below(struct random *rng, uint32_t bound)
{
	return (uint32_t)(erand48(rng->state) * bound);
}
