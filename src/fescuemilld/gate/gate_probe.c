/*
 * Probes: requests to the health path of the backend server, which reports load and slowdown there.
 */
#include "fescuemilld/gate/gate_probe.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/gate/gate_admission.h"
#include "fescuemilld/gate/gate_cold.h"
#include "fescuemilld/gate/gate_notice.h"

#include <string.h>

#define HTTP_OK		    200
#define DISCOVERY_PERIOD_US (200 * USEC_PER_MSEC) /* a few times within one heartbeat */
#define PROBE_TIMEOUT_US    (100 * USEC_PER_MSEC) /* a load reported later is out of date */

/* Returns a string as wire bytes. */
static struct wire_bytes wire_string(const char *text)
{
	return (struct wire_bytes){(const uint8_t *)text, (uint32_t)strlen(text)};
}

/* Passes to admission the slowdown that an answer of the backend server reports, if any. */
void gate_probe_record_load(struct gate_shell *shell, const struct backend_answer *answer)
{
	if (answer->has_load)
		gate_admission_record_slowdown(shell, answer->load.slowdown_percent);
}

/* Reports what a probe found of a backend server that has not announced itself. */
static void report_found(struct gate_shell *shell, const struct backend_answer *answer)
{
	const struct gate_shell_options *options = &shell->options;

	if (shell->backend.state != BACKEND_NONE || answer->end != BACKEND_END_ANSWERED)
		return;
	if (answer->status != HTTP_OK && options->on_backend_refused)
		options->on_backend_refused(options->user);
	else if (answer->status == HTTP_OK && answer->has_load && options->on_backend_found)
		options->on_backend_found(options->user, &answer->load);
}

/* Handles the end of a probe: records the reported load, and reports a backend server that has not
 * announced itself. If no load was reported, admission pauses further probes for a while. */
static void on_probe_done(void *user, const struct backend_answer *answer)
{
	struct gate_shell *shell = user;

	shell->probe = NULL;
	gate_cold_record_probe(shell, answer);
	report_found(shell, answer);
	gate_notice_record_probe(shell, answer);
	gate_admission_apply_verdicts(shell);
}

/* Sends a probe. Errors: those of backend_call_start(). */
static int send_probe(struct gate_shell *shell, struct error *err)
{
	struct message_call call = {.method = wire_string("GET"),
				    .path = wire_string(shell->health_path)};
	struct backend_request req = {
		.call = &call,
		.time_left_us = PROBE_TIMEOUT_US,
		.is_probe = true,
	};

	call.headers.count = 1;
	call.headers.list[0] = (struct wire_header){wire_string("host"), wire_string("health")};
	shell->probe_call = call;
	req.call = &shell->probe_call;
	shell->probe_sent_us = clock_monotonic_us();
	counter_add(COUNTER_BACKEND_PROBES, 1);
	return backend_call_start(shell->client, &req, on_probe_done, shell, &shell->probe, err);
}

/* Sends a probe if admission needs one. */
void gate_probe_check(struct gate_shell *shell)
{
	struct error err;

	if (shell->probe || !gate_start_slowdown_probe(&shell->admission, clock_monotonic_us()))
		return;
	if (send_probe(shell, &err) == 0)
		return;
	log_failure(LOG_WARNING, LOG_PART_GATE, "A probe of the backend server could not be sent.",
		    &err);
	gate_admission_slowdown_unknown(shell);
}

/* Probes the configured address for a backend server, at most every DISCOVERY_PERIOD_US. */
void gate_probe_discover(struct gate_shell *shell)
{
	uint64_t now_us = clock_monotonic_us();
	struct error err;

	if (shell->probe || !shell->health_path ||
	    now_us < shell->last_discovery_us + DISCOVERY_PERIOD_US)
		return;
	shell->last_discovery_us = now_us;
	backend_client_set_address(shell->client, &shell->options.backend_server);
	if (send_probe(shell, &err) != 0)
		log_failure(LOG_WARNING, LOG_PART_GATE,
			    "A probe of the backend server could not be sent.", &err);
}

/* Cancels a probe in progress. */
void gate_probe_cancel(struct gate_shell *shell)
{
	if (shell->probe)
		backend_call_cancel(shell->probe);
	shell->probe = NULL;
}
