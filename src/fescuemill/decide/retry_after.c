/*
 * Retry after: when a client whose call was not run is asked to come back.
 */
#include "fescuemill/decide/retry_after.h"

#define ELSEWHERE_MS  50   /* another node or backend server may take it at once */
#define STARTING_MS   150  /* a node that starts has its configuration within about this */
#define FULL_MS	      200  /* a queue that is full has room again after a few service times */
#define WAIT_MS_MAX   2000 /* a longer forecast is worth less than another try */
#define SPREAD_FACTOR 1.0  /* the latest return is this much later than the earliest, relatively */

/* Gives the earliest return for a reason. */
static uint32_t earliest_ms(enum call_reason reason, uint32_t wait_us)
{
	uint32_t wait_ms = wait_us / 1000;

	switch (reason) {
	case REASON_SHED:
		/* With slots free at its gate the backend server refused for a reason of its own;
		 * the next try is as good as any later one. */
		if (wait_us == 0)
			return ELSEWHERE_MS;
		/* fall through */
	case REASON_OVERLOAD:
	case REASON_EXPIRED:
	case REASON_RETRY_BUDGET:
		if (wait_ms > WAIT_MS_MAX)
			wait_ms = WAIT_MS_MAX;
		return wait_ms > FULL_MS ? wait_ms : FULL_MS;
	case REASON_NO_BACKEND:
	case REASON_NOT_READY:
		return STARTING_MS;
	case REASON_DRAINING:
	case REASON_INCARNATION:
	case REASON_STALE_EPOCH:
	case REASON_CONNECTION_LOST:
		return ELSEWHERE_MS;
	default:
		return 0;
	}
}

/* Gives when to come back. */
uint32_t retry_after_ms(enum call_reason reason, uint32_t wait_us, double unit)
{
	uint32_t earliest = earliest_ms(reason, wait_us);

	return earliest + (uint32_t)(unit * SPREAD_FACTOR * earliest);
}
