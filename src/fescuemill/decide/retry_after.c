/*
 * Retry-After: the delay that is suggested to a client whose call was not run.
 */
#include "fescuemill/decide/retry_after.h"

#define OTHER_SERVER_MS	     50	  /* another node or backend server may accept the call at once */
#define NODE_STARTING_MS     150  /* a starting node has its configuration after about this time */
#define EVACUATION_MS	     1000 /* a withdrawal of the order takes about this time to spread */
#define QUEUE_FULL_MS	     200  /* a full queue has room again after a few service times */
#define EXPECTED_WAIT_MS_MAX 2000 /* retrying is better than relying on a longer prediction */
#define SPREAD_FACTOR	     1.0  /* the longest delay exceeds the shortest by this fraction */

/* Returns the shortest delay for a reason, in milliseconds. wait_us is the expected wait at the
 * gate; 0: none or unknown. */
static uint32_t min_delay_ms(enum call_reason reason, uint32_t wait_us)
{
	uint32_t wait_ms = wait_us / 1000;

	switch (reason) {
	case REASON_SHED:
		/* Slots are free at the gate, so the backend server refused for a reason of its
		 * own, and an early retry is as likely to succeed as a later one. */
		if (wait_us == 0)
			return OTHER_SERVER_MS;
		/* fall through */
	case REASON_OVERLOAD:
	case REASON_EXPIRED:
	case REASON_RETRY_BUDGET:
		if (wait_ms > EXPECTED_WAIT_MS_MAX)
			wait_ms = EXPECTED_WAIT_MS_MAX;
		return wait_ms > QUEUE_FULL_MS ? wait_ms : QUEUE_FULL_MS;
	case REASON_COLD:
		/* All servers that were asked are cold, and the last one has room after this time.
		 */
		if (wait_ms > EXPECTED_WAIT_MS_MAX)
			wait_ms = EXPECTED_WAIT_MS_MAX;
		return wait_ms > OTHER_SERVER_MS ? wait_ms : OTHER_SERVER_MS;
	case REASON_NO_BACKEND:
	case REASON_REGION:
	case REASON_KEYS_STALE:
	case REASON_NOT_READY:
		return NODE_STARTING_MS;
	case REASON_EVACUATED:
		return EVACUATION_MS;
	case REASON_DRAINING:
	case REASON_INCARNATION:
	case REASON_STALE_EPOCH:
	case REASON_CONNECTION_LOST:
		return OTHER_SERVER_MS;
	default:
		return 0;
	}
}

/* Returns the delay in milliseconds after which a client should retry a call that was not run for
 * this reason; 0 if a retry does not help. wait_us is the time that the gate expects a new call to
 * wait; 0: none or unknown. jitter is a random number in [0,1) that spreads the retries of clients
 * that were refused at the same time. */
uint32_t retry_after_ms(enum call_reason reason, uint32_t wait_us, double jitter)
{
	uint32_t delay_ms = min_delay_ms(reason, wait_us);

	return delay_ms + (uint32_t)(jitter * SPREAD_FACTOR * delay_ms);
}
