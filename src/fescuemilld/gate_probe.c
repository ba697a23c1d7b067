/*
 * Gate probe: asks the backend server for its load and pace over its health path.
 */
#include "fescuemilld/gate_probe.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/gate_admission.h"

#include <string.h>

#define HTTP_OK		 200
#define LOOK_PERIOD_US	 (200 * USEC_PER_MSEC) /* a few times within one heartbeat */
#define PROBE_TIMEOUT_US (100 * USEC_PER_MSEC) /* a load that is told later is of no use */

/* Makes wire bytes of a text. */
static struct wire_bytes bytes_of(const char *text)
{
	return (struct wire_bytes){(const uint8_t *)text, (uint32_t)strlen(text)};
}

/* Takes the load that an answer told. */
void gate_probe_take_load(struct gate_shell *shell, const struct backend_answer *answer)
{
	if (answer->has_load)
		gate_admission_take_pace(shell, answer->load.pace_percent);
}

/* Takes the answer to a probe. A server that tells no load is not asked again for a while. */
static void on_probed(void *user, const struct backend_answer *answer)
{
	struct gate_shell *shell = user;

	shell->probe = NULL;
	if (answer->end == BACKEND_END_ANSWERED && answer->has_load) {
		gate_probe_take_load(shell, answer);
		if (shell->backend.state == BACKEND_NONE && answer->status == HTTP_OK &&
		    shell->options.on_found)
			shell->options.on_found(shell->options.user, &answer->load);
	} else {
		log_write(LOG_INFO, LOG_PART_GATE, "A probe of the backend server failed.",
			  "end=%s status=%u", backend_end_name(answer->end), answer->status);
		gate_admission_pace_unknown(shell);
	}
	gate_admission_carry_out(shell);
}

/* Sends a probe. Errors: those of backend_call_start(). */
static int send_probe(struct gate_shell *shell, struct error *err)
{
	struct message_call call = {.method = bytes_of("GET"),
				    .path = bytes_of(shell->health_path)};
	struct backend_request req = {
		.call = &call,
		.time_left_us = PROBE_TIMEOUT_US,
		.is_probe = true,
	};

	call.headers.count = 1;
	call.headers.list[0] = (struct wire_header){bytes_of("host"), bytes_of("health")};
	shell->probe_call = call;
	req.call = &shell->probe_call;
	counter_add(COUNTER_BACKEND_PROBES, 1);
	return backend_call_start(shell->client, &req, on_probed, shell, &shell->probe, err);
}

/* Sends a probe if admission wants one. */
void gate_probe_check(struct gate_shell *shell)
{
	struct error err;

	if (shell->probe || !gate_wants_pace(&shell->admission, clock_monotonic_us()))
		return;
	if (send_probe(shell, &err) == 0)
		return;
	log_failure(LOG_WARNING, LOG_PART_GATE, "A probe could not be sent.", &err);
	gate_admission_pace_unknown(shell);
}

/* Looks for a backend server where the settings say that it is. */
void gate_probe_look(struct gate_shell *shell)
{
	uint64_t now_us = clock_monotonic_us();
	struct error err;

	if (shell->probe || shell->health_path[0] == '\0' ||
	    now_us < shell->looked_us + LOOK_PERIOD_US)
		return;
	shell->looked_us = now_us;
	backend_client_set_address(shell->client, &shell->options.backend_server);
	if (send_probe(shell, &err) != 0)
		log_failure(LOG_WARNING, LOG_PART_GATE, "A probe could not be sent.", &err);
}

/* Gives up a probe that is on its way. */
void gate_probe_cancel(struct gate_shell *shell)
{
	if (shell->probe)
		backend_call_cancel(shell->probe);
	shell->probe = NULL;
}
