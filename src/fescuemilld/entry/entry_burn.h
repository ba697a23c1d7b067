/*
 * Counts finished calls against the latency targets of their classes.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_BURN_H
#define FESCUEMILLD_ENTRY_ENTRY_BURN_H

#include "fescuemilld/entry/entry.h"

/* Counts a finished call that arrived at `received_us` against its class's latency target. */
void entry_record_burn(const struct entry_options *options, const char *service,
		       const char *class_name, const struct caller_answer *answer,
		       uint64_t received_us);

#endif
