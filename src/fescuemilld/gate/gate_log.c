/*
 * Log lines of the gate about changes of what it holds true of its backend server.
 */
#include "fescuemilld/gate/gate_log.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"

#include <inttypes.h>

/* Logs a new verdict on whether the backend server slows down with all slots in use. */
static void log_saturation(struct gate_shell *shell)
{
	const struct saturation *saturation = &shell->admission.saturation;

	if (saturation->verdict == SATURATION_UNKNOWN ||
	    saturation->judged_us == shell->saturation_logged_us)
		return;
	shell->saturation_logged_us = saturation->judged_us;
	log_write(LOG_INFO, LOG_PART_GATE, "The backend server was measured with all slots in use.",
		  "verdict=%s service_percent=%" PRIu64 " slots=%u used=%u",
		  saturation_verdict_name(saturation->verdict), saturation->judged_percent,
		  shell->admission.limit.slots, shell->admission.limit.current);
}

/* Logs that the backend server counts as cold, or no longer does, if its calls are limited then. */
static void log_cold(struct gate_shell *shell)
{
	const struct cold *cold = &shell->admission.cold;
	uint64_t now_us = clock_monotonic_us();
	bool is_cold = cold_is_limiting(cold, now_us);
	struct cold_belief belief;

	counter_set(COUNTER_GATE_COLD, is_cold);
	counter_set(COUNTER_GATE_COLD_STARTED, cold->started);
	if (is_cold == shell->has_logged_cold)
		return;
	shell->has_logged_cold = is_cold;
	belief = cold_belief(cold, now_us);
	log_write(LOG_INFO, LOG_PART_GATE,
		  is_cold ? "The backend server is cold; its calls are limited."
			  : "The backend server is not cold any more.",
		  "source=\"%s\" age_ms=%" PRIu64 " left_ms=%" PRIu64 " calls_per_1000s=%u",
		  cold_source_name(belief.source), (uint64_t)(belief.age_us / USEC_PER_MSEC),
		  (uint64_t)(belief.left_us / USEC_PER_MSEC), cold->rate_milli);
}

/* Logs what has changed since the last call. */
void gate_log_changes(struct gate_shell *shell)
{
	log_saturation(shell);
	log_cold(shell);
}
