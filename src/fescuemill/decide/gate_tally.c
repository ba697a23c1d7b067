/*
 * Tally of a gate: counts the outcomes of attempts, in one table in profile and one out of profile.
 */
#include "fescuemill/decide/gate_tally.h"

/* Counts an attempt that has ended, unless its class was removed in the meantime. */
static void count(const struct gate *gate, const struct gate_ticket *ticket,
		  struct burn_call *ended, uint64_t now_us)
{
	const struct gate_class *class = &gate->classes[ticket->class_index];
	struct burn *table =
		ticket->in_profile ? gate->tally.in_profile : gate->tally.out_of_profile;

	if (!table || class->generation != ticket->generation)
		return;
	ended->service = gate->service;
	ended->class_name = class->target.name;
	ended->target_us = class->target.latency_us;
	ended->latency_us = now_us - ticket->arrival_us;
	burn_record(table, ended, now_us);
}

/* Counts an attempt that a class was offered and that was refused without running. */
void gate_tally_refused(const struct gate *gate, const struct gate_ticket *ticket,
			enum call_reason reason)
{
	struct burn_call ended = {.outcome = OUTCOME_NOT_RUN, .reason = reason};

	count(gate, ticket, &ended, gate->accounted_until_us);
}

/* Counts a running attempt that has ended and was not cancelled. */
void gate_tally_finished(const struct gate *gate, const struct gate_ticket *ticket,
			 enum gate_result result, uint64_t now_us)
{
	struct burn_call ended = {.outcome = OUTCOME_ANSWERED, .reason = REASON_NONE};

	switch (result) {
	case GATE_RESULT_OK:
		break;
	case GATE_RESULT_ERROR:
		ended.failed = true;
		break;
	case GATE_RESULT_SHED:
		ended.outcome = OUTCOME_NOT_RUN;
		ended.reason = REASON_SHED;
		break;
	case GATE_RESULT_TIMEOUT:
		ended.outcome = OUTCOME_UNKNOWN;
		ended.reason = REASON_EXPIRED;
		break;
	}
	count(gate, ticket, &ended, now_us);
}

/* Counts a waiting or running attempt that its entry cancelled. */
void gate_tally_cancelled(const struct gate *gate, const struct gate_ticket *ticket)
{
	bool ran = ticket->state == TICKET_RUNNING;
	struct burn_call ended = {
		.outcome = ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		.reason = REASON_CANCELLED,
	};

	count(gate, ticket, &ended, gate->accounted_until_us);
}
