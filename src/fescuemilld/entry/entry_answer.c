/*
 * What an answer of a gate means for its call.
 */
#include "fescuemilld/entry/entry_answer.h"

/* Returns the reason of an answer. If the class came from a route, REASON_UNKNOWN_CLASS becomes
 * REASON_NOT_READY: a gate with another version of the routes may not know the class yet, which is
 * not the client's fault. */
enum call_reason entry_answer_reason(const struct entry_call *call,
				     const struct message_answer *answer)
{
	if (answer->reason == REASON_UNKNOWN_CLASS && call->route[0])
		return REASON_NOT_READY;
	return answer->reason;
}
