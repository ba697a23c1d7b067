/*
 * Gate suspect: tells the crash shell which requests ran when the backend server ended, and asks it
 * before a request runs.
 */
#include "fescuemilld/gate/gate_suspect.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/gate/gate_attempt.h"
#include "fescuemilld/node/crash_shell.h"

/* Watches whether the backend server has ended. A server that drains may end while it runs calls,
 * which is its operator's doing and not theirs. */
void gate_suspect_run_ended(struct gate_attempt *attempt, const struct backend_answer *answer)
{
	struct gate_shell *shell = attempt->shell;
	enum backend_state state = shell->backend.state;
	struct request_parts parts;
	uint64_t digest;

	switch (answer->end) {
	case BACKEND_END_ANSWERED:
		gate_crash_answered(shell->crash, attempt->started_us);
		parts = gate_attempt_parts(attempt);
		if (shell->crashes)
			crash_shell_answered(shell->crashes, &parts);
		break;
	case BACKEND_END_NOT_CONNECTED:
		gate_crash_refused(shell->crash);
		break;
	case BACKEND_END_LOST:
		if (state == BACKEND_DRAINING || state == BACKEND_LEAVING)
			break;
		digest = gate_attempt_digest(attempt);
		log_write(LOG_INFO, LOG_PART_GATE,
			  "The backend server's connection of a call was lost.",
			  "entry=%016llx sequence=%llu request_digest=%016llx",
			  (unsigned long long)attempt->id.entry.node_id,
			  (unsigned long long)attempt->id.sequence, (unsigned long long)digest);
		gate_crash_run_lost(shell->crash, digest, &shell->server_to);
		break;
	default:
		break;
	}
}

/* Records the end of the backend server with the requests that ran there. */
void gate_suspect_server_ended(void *user, const uint64_t *digests, uint32_t count)
{
	const struct gate_shell *shell = user;

	if (shell->crashes)
		crash_shell_server_ended(shell->crashes, digests, count);
}

/* Returns why an attempt may not run, as backend servers ended when they ran its request, or
 * REASON_NONE. Of the requests that may be the cause of an end, one at a time runs here. */
enum call_reason gate_suspect_refusal(struct gate_attempt *attempt)
{
	struct gate_shell *shell = attempt->shell;
	struct request_parts parts = gate_attempt_parts(attempt);
	uint32_t retry_ms;

	if (!shell->crashes)
		return REASON_NONE;
	switch (crash_shell_judge(shell->crashes, &parts, &retry_ms)) {
	case CRASH_UNSUSPECTED:
		return REASON_NONE;
	case CRASH_RUN_APART:
		if (attempt->is_apart)
			return REASON_NONE;
		if (shell->apart_count > 0) {
			counter_add(COUNTER_CRASH_APART, 1);
			return REASON_OVERLOAD;
		}
		attempt->is_apart = true;
		shell->apart_count++;
		return REASON_NONE;
	case CRASH_REFUSE:
		counter_add(COUNTER_CRASH_REFUSED, 1);
		log_write(LOG_INFO, LOG_PART_GATE,
			  "An attempt is refused because backend servers end when they run it.",
			  "entry=%016llx sequence=%llu request_digest=%016llx",
			  (unsigned long long)attempt->id.entry.node_id,
			  (unsigned long long)attempt->id.sequence,
			  (unsigned long long)request_digest(&parts));
		return REASON_CRASHES;
	}
	return REASON_NONE;
}

/* Sets what is known of requests that ran when backend servers ended. */
void gate_shell_set_crashes(struct gate_shell *shell, struct crash_shell *crashes)
{
	shell->crashes = crashes;
}
