/*
 * State of the gate's backend server.
 */
#include "fescuemilld/gate/gate_state.h"

#include "fescuemill/base/log.h"
#include "fescuemilld/gate/gate_admission.h"
#include "fescuemilld/gate/gate_cold.h"

/* Passes the backend server's state to admission, as draining if the node itself drains or its
 * failure domain is evacuated: admission then refuses what waits and lets what runs end. */
static void apply_backend_state(struct gate_shell *shell)
{
	enum backend_state state = shell->backend.state;

	backend_client_set_draining(shell->client,
				    state == BACKEND_DRAINING || state == BACKEND_LEAVING);
	if ((shell->is_draining || shell->is_evacuated) && state != BACKEND_NONE)
		state = BACKEND_DRAINING;
	gate_admission_set_backend(shell, state);
}

/* Applies the latest announcement of the backend server. */
void gate_shell_set_backend(struct gate_shell *shell, const struct announcement *now)
{
	struct endpoint to = {now->ip, now->port};

	if (shell->options.backend_server.port != 0)
		to = shell->options.backend_server;
	gate_cold_set_backend(shell, now);
	/* The backend server's lease can expire while it still runs calls: an announcement without
	 * a port leaves the address as it is. */
	if (to.port != 0) {
		backend_client_set_address(shell->client, &to);
		shell->server_to = to;
	}
	apply_backend_state(shell);
}

/* Refuses new attempts from now on, and those that wait. */
void gate_shell_drain(struct gate_shell *shell)
{
	shell->is_draining = true;
	apply_backend_state(shell);
}

/* Refuses new attempts and those that wait while the failure domain is evacuated. */
void gate_shell_set_evacuated(struct gate_shell *shell, bool is_evacuated)
{
	if (is_evacuated == shell->is_evacuated)
		return;
	log_write(LOG_INFO, LOG_PART_GATE,
		  is_evacuated ? "The gate gives its queue back for an evacuation."
			       : "The gate takes calls again after an evacuation.",
		  "waiting=%u running=%u", shell->admission.queued, shell->admission.in_use);
	shell->is_evacuated = is_evacuated;
	apply_backend_state(shell);
}

enum call_reason gate_state_refusal(const struct gate_shell *shell, enum call_reason reason)
{
	return reason == REASON_DRAINING && shell->is_evacuated ? REASON_EVACUATED : reason;
}
