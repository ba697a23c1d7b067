/*
 * Passes attempts to the admission module (decide/gate.c) and carries out its verdicts.
 */
#include "fescuemilld/gate/gate_admission.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemilld/gate/gate_attempt.h"
#include "fescuemilld/gate/gate_key.h"
#include "fescuemilld/gate/gate_log.h"
#include "fescuemilld/gate/gate_probe.h"
#include "fescuemilld/gate/gate_state.h"

#include <string.h>

static const struct origin no_origin = {NULL, NULL};

/* Initializes admission, which starts without a backend server. */
void gate_admission_init(struct gate_shell *shell)
{
	gate_init(&shell->admission, clock_monotonic_us());
	h2o_linklist_init_anchor(&shell->verdicts);
}

/* Removes an attempt's verdict from the queue. */
static void unlink_verdict(struct gate_attempt *attempt)
{
	if (h2o_linklist_is_linked(&attempt->verdict_link))
		h2o_linklist_unlink(&attempt->verdict_link);
}

/* Queues a verdict. It replaces a queued verdict about the same attempt. */
void gate_admission_queue_verdict(struct gate_attempt *attempt, struct gate_verdict verdict)
{
	unlink_verdict(attempt);
	attempt->verdict = verdict;
	h2o_linklist_insert(&attempt->shell->verdicts, &attempt->verdict_link);
}

/* Queues the verdicts that admission returned. */
static void queue_verdicts(const struct gate_actions *actions)
{
	for (uint32_t i = 0; i < actions->count; i++)
		gate_admission_queue_verdict(actions->list[i].ticket->owner,
					     actions->list[i].verdict);
}

/* Counts an offered attempt as in or out of profile, by whether admission found a token for it. */
static void count_profile(const struct gate_ticket *ticket)
{
	if (ticket->arrival_us)
		counter_add(ticket->in_profile ? COUNTER_GATE_IN_PROFILE
					       : COUNTER_GATE_OUT_OF_PROFILE,
			    1);
}

/* Offers an attempt to admission, in the nearest class if this gate does not know its class (see
 * gate_find_nearest_class()). */
void gate_admission_offer(struct gate_attempt *attempt)
{
	struct gate_shell *shell = attempt->shell;
	struct gate_actions actions;
	struct gate_verdict verdict = {GATE_REFUSE, REASON_NO_BACKEND};
	int class_index = gate_find_class(&shell->admission, attempt->call.class_name);

	if (class_index < 0)
		class_index = gate_find_nearest_class(&shell->admission, attempt->call.class_name);
	attempt->ticket.has_wait_limit = attempt->call.has_wait_limit;
	attempt->ticket.wait_max_us = attempt->call.wait_max_us;
	attempt->ticket.repeat_permille = attempt->call.repeat_permille;
	actions.count = 0;
	if (strcmp(attempt->call.service, shell->backend.service) == 0)
		verdict = gate_offer(&shell->admission, &attempt->ticket, (uint32_t)class_index,
				     attempt->deadline_us, attempt->offered_us, &actions);
	count_profile(&attempt->ticket);
	if (verdict.kind != GATE_WAIT)
		gate_admission_queue_verdict(attempt, verdict);
	queue_verdicts(&actions);
}

/* Releases the slot of an attempt that ran or could not be started, so that another can use it. */
void gate_admission_finish(struct gate_attempt *attempt, enum gate_result result)
{
	struct gate_actions actions;

	gate_finish(&attempt->shell->admission, &attempt->ticket, result, clock_monotonic_us(),
		    &actions);
	queue_verdicts(&actions);
}

/* Releases the slot or the queue place of an attempt. */
void gate_admission_cancel(struct gate_attempt *attempt)
{
	struct gate_actions actions;

	gate_cancel(&attempt->shell->admission, &attempt->ticket, clock_monotonic_us(), &actions);
	unlink_verdict(attempt);
	queue_verdicts(&actions);
}

/* Passes a verdict about an attempt to the attempt table. */
static void report_verdict(struct gate_attempt *attempt)
{
	struct attempt_gate_event event;

	switch (attempt->verdict.kind) {
	case GATE_START:
		event = gate_shell_event(GATE_EVENT_ADMITTED, &attempt->id);
		gate_shell_step(attempt->shell, &event, &no_origin);
		break;
	case GATE_REFUSE:
		event = gate_shell_event(GATE_EVENT_REFUSED, &attempt->id);
		event.refused.reason = gate_state_refusal(attempt->shell, attempt->verdict.reason);
		gate_shell_step(attempt->shell, &event, &no_origin);
		gate_key_finished(attempt, OUTCOME_NOT_RUN, 0);
		gate_attempt_release_request(attempt);
		break;
	case GATE_WAIT:
		break;
	}
}

/* Carries out the queued verdicts in order, including those queued meanwhile. They wait while
 * messages are being read. */
void gate_admission_apply_verdicts(struct gate_shell *shell)
{
	if (shell->is_applying_verdicts || shell->is_reading)
		return;
	shell->is_applying_verdicts = true;
	while (!h2o_linklist_is_empty(&shell->verdicts)) {
		struct gate_attempt *attempt = H2O_STRUCT_FROM_MEMBER(
			struct gate_attempt, verdict_link, shell->verdicts.next);

		unlink_verdict(attempt);
		report_verdict(attempt);
	}
	shell->is_applying_verdicts = false;
	gate_probe_check(shell);
}

/* Records the slowdown of the backend server's host, in percent of its normal service time. */
void gate_admission_record_slowdown(struct gate_shell *shell, uint32_t percent)
{
	struct gate_actions actions;

	gate_record_slowdown(&shell->admission, percent, clock_monotonic_us(), &actions);
	queue_verdicts(&actions);
}

/* Records that the slowdown of the host could not be obtained. */
void gate_admission_slowdown_unknown(struct gate_shell *shell)
{
	struct gate_actions actions;

	gate_slowdown_unknown(&shell->admission, clock_monotonic_us(), &actions);
	queue_verdicts(&actions);
}

/* Holds the calls that start to the rate that the backend server states. */
void gate_admission_set_rate_limit(struct gate_shell *shell, uint32_t rate_milli)
{
	gate_set_rate_limit(&shell->admission, rate_milli, clock_monotonic_us());
}

/* Lets calls start at any rate. */
void gate_admission_clear_rate_limit(struct gate_shell *shell)
{
	struct gate_actions actions;

	gate_clear_rate_limit(&shell->admission, clock_monotonic_us(), &actions);
	queue_verdicts(&actions);
}

/* Lets admission act on the passage of time. */
void gate_admission_tick(struct gate_shell *shell)
{
	struct gate_actions actions;

	gate_tick(&shell->admission, clock_monotonic_us(), &actions);
	gate_log_changes(shell);
	queue_verdicts(&actions);
	gate_admission_apply_verdicts(shell);
}

/* Sets the state of the backend server. */
void gate_admission_set_backend(struct gate_shell *shell, enum backend_state state)
{
	struct gate_actions actions;

	gate_set_backend(&shell->admission, state, shell->backend.slots, clock_monotonic_us(),
			 &actions);
	queue_verdicts(&actions);
	gate_admission_apply_verdicts(shell);
}

/* Sets the classes of the service. */
void gate_admission_set_config(struct gate_shell *shell, const struct service_config *config)
{
	struct gate_actions actions;

	gate_set_config(&shell->admission, config, clock_monotonic_us(), &actions);
	queue_verdicts(&actions);
	gate_admission_apply_verdicts(shell);
}
