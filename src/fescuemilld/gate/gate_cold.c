/*
 * Passes to admission what the backend server says of its being cold.
 */
#include "fescuemilld/gate/gate_cold.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemill/decide/slowdown.h"
#include "fescuemill/http/dialect.h"
#include "fescuemilld/gate/gate_admission.h"
#include "fescuemilld/gate/gate_log.h"
#include "fescuemilld/gate/gate_notice.h"
#include "fescuemilld/gate/gate_probe.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Records what the answer to a health check says of the server's being cold. Returns false if it
 * says nothing. */
static bool record_cold(struct gate_shell *shell, const struct backend_answer *answer)
{
	uint32_t left_ms;

	if (!shell->options.dialect->read_cold(&answer->headers, &left_ms))
		return false;
	cold_hear_probe(&shell->admission.cold, left_ms, shell->probe_sent_us,
			clock_monotonic_us());
	return true;
}

/*
 * Records the load that a health check reports. Without one, further checks pause for a while. An
 * answer that only says how long the server remains cold counts as one of normal speed where that
 * limits the calls: a pause would let calls pass before it is known that the server became cold.
 */
static void record_load(struct gate_shell *shell, const struct backend_answer *answer,
			bool has_cold)
{
	if (answer->end == BACKEND_END_ANSWERED && answer->has_load) {
		gate_probe_record_load(shell, answer);
		return;
	}
	if (has_cold && shell->admission.cold.rate_milli > 0) {
		gate_admission_record_slowdown(shell, SLOWDOWN_NONE_PERCENT);
		return;
	}
	log_write(LOG_INFO, LOG_PART_GATE, "A probe of the backend server failed.",
		  "end=%s status=%u", backend_end_name(answer->end), answer->status);
	gate_admission_slowdown_unknown(shell);
}

/* Records how a health check ended. What it says of the server's being cold comes first, since
 * recording the load starts calls. */
void gate_cold_record_probe(struct gate_shell *shell, const struct backend_answer *answer)
{
	bool has_cold = false;

	if (answer->end == BACKEND_END_ANSWERED)
		has_cold = record_cold(shell, answer);
	else
		cold_probe_failed(&shell->admission.cold, clock_monotonic_us());
	record_load(shell, answer, has_cold);
	gate_log_changes(shell);
}

/* Sets the rate that the backend server bears while it is cold. */
void gate_shell_set_cold(struct gate_shell *shell, uint32_t rate_milli, uint32_t start_ms)
{
	const struct cold *cold = &shell->admission.cold;

	if (cold->rate_milli == rate_milli && cold->start_ms == start_ms)
		return;
	cold_configure(&shell->admission.cold, rate_milli, start_ms, clock_monotonic_us());
	gate_log_changes(shell);
}

/* Records what a heartbeat says of how long the backend server remains cold. */
void gate_shell_hear_heartbeat(struct gate_shell *shell, const struct announcement *heard)
{
	struct cold_heartbeat heartbeat = {
		.started_ms = heard->started_ms,
		.sequence = heard->sequence,
		.has_left = heard->states_cold,
		.left_ms = heard->cold_ms,
	};

	if (heard->is_partial)
		return;
	if (heard->instance[0])
		heartbeat.instance = XXH3_64bits(heard->instance, strlen(heard->instance));
	cold_hear_heartbeat(&shell->admission.cold, &heartbeat, clock_monotonic_us());
	gate_log_changes(shell);
}

/* Stores the latest announcement, and forgets what earlier starts of the server have said. A server
 * that is in service again may have been started again. */
void gate_cold_set_backend(struct gate_shell *shell, const struct announcement *now)
{
	bool was_absent = shell->backend.state == BACKEND_NONE;
	bool is_absent = now->state == BACKEND_NONE;
	uint64_t now_us = clock_monotonic_us();

	shell->backend = *now;
	gate_notice_check_start(shell, now);
	if (is_absent && !was_absent)
		cold_assume(&shell->admission.cold, now_us);
	if (!is_absent && was_absent)
		cold_server_back(&shell->admission.cold, now_us);
	gate_log_changes(shell);
}
