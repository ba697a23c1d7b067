/*
 * Retry-After: the delay that is suggested to a client whose call was not run. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_RETRY_AFTER_H
#define FESCUEMILL_DECIDE_RETRY_AFTER_H

#include "fescuemill/decide/call_defs.h"

uint32_t retry_after_ms(enum call_reason reason, uint32_t wait_us, double jitter);

#endif
