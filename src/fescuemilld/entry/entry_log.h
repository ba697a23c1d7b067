/*
 * Log lines of the entry: one for each call and attempt, so that a call can be traced by the
 * client's request id.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_LOG_H
#define FESCUEMILLD_ENTRY_ENTRY_LOG_H

#include "fescuemilld/entry/entry_defs.h"

/* Logs a call that was refused before its first attempt. */
void entry_log_refused(const struct call_request *req, const struct call_class *class,
		       enum call_reason reason, uint32_t retry_after_ms);
/* Logs the outcome of a call. */
void entry_log_finished(const struct entry_call *call, const struct caller_answer *answer);
/* Logs an attempt that is sent to a gate, and the answer that the gate gave to it. */
void entry_log_sent(const struct entry_call *call, uint64_t time_left_us);
void entry_log_ended(const struct entry_call *call, const struct message_answer *answer);

#endif
