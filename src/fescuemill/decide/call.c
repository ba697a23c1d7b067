/*
 * Names of outcomes and reasons, as used in headers, logs and counters.
 */
#include "fescuemill/decide/call_defs.h"

static const char *const outcome_names[OUTCOME_COUNT] = {"answered", "not-run", "unknown"};

static const char *const reason_names[REASON_COUNT] = {
	[REASON_NONE] = "none",
	[REASON_OVERLOAD] = "overload",
	[REASON_DRAINING] = "draining",
	[REASON_EXPIRED] = "expired",
	[REASON_NO_BACKEND] = "no-backend-server",
	[REASON_SHED] = "shed",
	[REASON_CANCELLED] = "cancelled",
	[REASON_BAD_REQUEST] = "bad-request",
	[REASON_UNKNOWN_SERVICE] = "unknown-service",
	[REASON_UNKNOWN_CLASS] = "unknown-class",
	[REASON_TOO_LARGE] = "too-large",
	[REASON_TOO_DEEP] = "too-deep",
	[REASON_RETRY_BUDGET] = "retry-budget",
	[REASON_INCARNATION] = "incarnation",
	[REASON_STALE_EPOCH] = "stale-epoch",
	[REASON_CONNECTION_LOST] = "connection-lost",
	[REASON_KEY_RUNNING] = "key-running",
	[REASON_KEY_HISTORY] = "key-history",
	[REASON_NOT_READY] = "not-ready",
	[REASON_REGION] = "region",
	[REASON_EVACUATED] = "evacuated",
	[REASON_COLD] = "cold",
	[REASON_UNKNOWN_KEY] = "unknown-key",
	[REASON_KEYS_STALE] = "keys-stale",
	[REASON_ALLOTMENT] = "allotment",
	[REASON_CRASHES] = "crashes-server",
};

/* Returns the name of an outcome as used in the outcome header; "invalid" if out of range. */
const char *call_outcome_name(enum call_outcome outcome)
{
	return (unsigned int)outcome < OUTCOME_COUNT ? outcome_names[outcome] : "invalid";
}

/* Returns the name of a reason as used in the reason header; "invalid" if out of range. */
const char *call_reason_name(enum call_reason reason)
{
	return (unsigned int)reason < REASON_COUNT ? reason_names[reason] : "invalid";
}

/* Returns true if a gate refuses a call for this reason because it has no room, which is no error
 * of the gate. */
bool call_reason_is_lack_of_room(enum call_reason reason)
{
	return reason == REASON_OVERLOAD || reason == REASON_EXPIRED || reason == REASON_COLD;
}

/* Returns true if both identities name the same attempt. */
bool attempt_id_equal(const struct attempt_id *a, const struct attempt_id *b)
{
	return a->entry.node_id == b->entry.node_id &&
	       a->entry.incarnation == b->entry.incarnation && a->sequence == b->sequence;
}
