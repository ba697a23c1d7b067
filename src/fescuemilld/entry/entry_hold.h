/*
 * Calls that are held until the allotment of their customer lets them start or refuses them.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_HOLD_H
#define FESCUEMILLD_ENTRY_ENTRY_HOLD_H

#include "fescuemilld/entry/entry_defs.h"

enum hold_verdict {
	HOLD_START,  /* the call may start now */
	HOLD_REFUSE, /* it is refused with REASON_ALLOTMENT */
	HOLD_WAIT,   /* entry_start_call() or entry_refuse_request() is called later */
};

/* Takes a classified call from its customer's allotment. `received` is the request as the caller
 * sent it, `req` the one that is forwarded. */
enum hold_verdict entry_hold_take(struct entry *entry, struct caller_call *caller,
				  const struct call_request *received,
				  const struct call_request *req, const struct call_class *class,
				  uint32_t *retry_after_ms);
/* Ends the held call of a caller that has disconnected. Returns false if it has none. */
bool entry_hold_caller_gone(struct entry *entry, struct caller_call *caller);
/* Refuses all held calls, as the process is about to end. */
void entry_hold_end(struct entry *entry);

#endif
