/*
 * Headroom: slots that classes of long calls leave to others.
 */
#ifndef FESCUEMILL_DECIDE_HEADROOM_H
#define FESCUEMILL_DECIDE_HEADROOM_H

#include "fescuemill/decide/gate_defs.h"

#define HEADROOM_SMOOTH_TICKS  256
#define HEADROOM_COST_PERMILLE 50 /* of the limit, the most that may stay idle for it */

void headroom_update(struct gate *gate);
bool headroom_holds_back(const struct gate *gate, const struct gate_class *class);

#endif
