/*
 * Retry after: when a client whose call was not run is asked to come back. Pure.
 */
#ifndef FESCUEMILL_DECIDE_RETRY_AFTER_H
#define FESCUEMILL_DECIDE_RETRY_AFTER_H

#include "fescuemill/decide/call_defs.h"

/* Gives milliseconds; 0 when coming back does not help. Wait is what the gate expects a new call to
 * wait, if known; unit is a draw in [0,1) that spreads the return of clients refused at once. */
uint32_t retry_after_ms(enum call_reason reason, uint32_t wait_us, double unit);

#endif
