/*
 * Entry log: one line for each call that ended, so that it can be found by the client's id.
 */
#ifndef FESCUEMILLD_ENTRY_LOG_H
#define FESCUEMILLD_ENTRY_LOG_H

#include "fescuemilld/entry_defs.h"

/* A call that never got as far as an attempt. */
void entry_log_refused(const struct call_request *req, enum call_reason reason,
		       uint32_t retry_after_ms);
void entry_log_finished(const struct entry_call *call, const struct caller_answer *answer);
/* An attempt that is sent to a gate, or that ended without being the call's outcome. */
void entry_log_sent(const struct entry_call *call, uint64_t time_left_us);
void entry_log_ended(const struct entry_call *call, const struct message_answer *answer);

#endif
