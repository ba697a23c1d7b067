/*
 * What an answer of a gate means for its call.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_ANSWER_H
#define FESCUEMILLD_ENTRY_ENTRY_ANSWER_H

#include "fescuemilld/entry/entry_defs.h"

/* Returns the reason to tell for an answer. */
enum call_reason entry_answer_reason(const struct entry_call *call,
				     const struct message_answer *answer);

#endif
