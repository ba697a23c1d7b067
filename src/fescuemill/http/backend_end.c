/*
 * Backend end: maps how a call ended at the backend server to the outcome for its caller.
 */
#include "fescuemill/http/backend.h"

static const char *const end_names[BACKEND_END_COUNT] = {
	"answered", "refused", "not-connected", "lost",
	"timeout",  "expired", "too-large",	"draining",
};

/* Returns the fixed name of an end, for logs. */
const char *backend_end_name(enum backend_end end)
{
	return (unsigned int)end < BACKEND_END_COUNT ? end_names[end] : "invalid";
}

/* Returns the outcome that the caller gets for an end, and stores the reason. The outcome is
 * unknown wherever the call may have run without a complete answer. */
enum call_outcome backend_end_outcome(enum backend_end end, enum call_reason *reason)
{
	switch (end) {
	case BACKEND_END_ANSWERED:
		*reason = REASON_NONE;
		return OUTCOME_ANSWERED;
	case BACKEND_END_REFUSED:
		*reason = REASON_SHED;
		return OUTCOME_NOT_RUN;
	case BACKEND_END_NOT_CONNECTED:
		*reason = REASON_NO_BACKEND;
		return OUTCOME_NOT_RUN;
	case BACKEND_END_DRAINING:
		*reason = REASON_DRAINING;
		return OUTCOME_NOT_RUN;
	case BACKEND_END_EXPIRED:
		*reason = REASON_EXPIRED;
		return OUTCOME_NOT_RUN;
	case BACKEND_END_TIMEOUT:
		*reason = REASON_EXPIRED;
		return OUTCOME_UNKNOWN;
	case BACKEND_END_TOO_LARGE:
		*reason = REASON_TOO_LARGE;
		return OUTCOME_UNKNOWN;
	default:
		*reason = REASON_CONNECTION_LOST;
		return OUTCOME_UNKNOWN;
	}
}
