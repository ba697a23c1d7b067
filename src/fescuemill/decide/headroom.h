/*
 * Headroom: slots that classes of long calls leave free for other classes.
 */
#ifndef FESCUEMILL_DECIDE_HEADROOM_H
#define FESCUEMILL_DECIDE_HEADROOM_H

#include "fescuemill/decide/gate_defs.h"

#define HEADROOM_SMOOTH_TICKS  256 /* span of the moving mean of running attempts */
#define HEADROOM_COST_PERMILLE 50  /* of the limit; mean idle slots that it may cost */

void headroom_update(struct gate *gate);
bool headroom_blocks_class(const struct gate *gate, const struct gate_class *class);

#endif
