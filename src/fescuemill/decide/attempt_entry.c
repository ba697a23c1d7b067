/*
 * State machine of one call at the entry. The outcome "not run" is reported only if no attempt can
 * have run: its gate reported each one as not run, or it was never written to the socket.
 */
#include "fescuemill/decide/attempt_entry.h"

#include "fescuemill/chart/chart.h"

#include <string.h>

/* Applies an input to the call's state chart. */
static int entry_move(struct attempt_entry *call, enum attempt_entry_input input, struct error *err)
{
	uint32_t next;

	if (chart_next(CHART_ATTEMPT_ENTRY, call->state, input, &next, err))
		return -1;
	call->state = (uint8_t)next;
	return 0;
}

/* Appends an action for the current attempt. */
static struct attempt_entry_action *entry_emit(const struct attempt_entry *call,
					       struct attempt_entry_actions *out,
					       enum attempt_entry_action_type type)
{
	struct attempt_entry_action *action = &out->list[out->count++];

	memset(action, 0, sizeof(*action));
	action->type = type;
	action->target = call->target;
	return action;
}

/* Returns true if an attempt was sent whose result is not known yet. */
static bool entry_is_outstanding(const struct attempt_entry *call)
{
	return call->state == ENTRY_SENT || call->state == ENTRY_ASKING ||
	       call->state == ENTRY_FETCHING;
}

/* Reports the outcome to the caller. "Not run" becomes "unknown" if an abandoned attempt may have
 * run. */
static int entry_finish(struct attempt_entry *call, enum call_outcome outcome,
			enum call_reason reason, struct attempt_entry_actions *out,
			struct error *err)
{
	struct attempt_entry_action *action;

	if (entry_move(call, ENTRY_INPUT_FINISH, err))
		return -1;
	action = entry_emit(call, out, ENTRY_ACTION_FINISH);
	if (outcome == OUTCOME_NOT_RUN && call->may_have_run)
		outcome = OUTCOME_UNKNOWN;
	action->outcome = outcome;
	action->reason = reason;
	return 0;
}

/* Ends the call early, and cancels the current attempt if its result is not known yet. */
static int entry_abandon(struct attempt_entry *call, enum call_reason reason,
			 struct attempt_entry_actions *out, struct error *err)
{
	if (entry_is_outstanding(call)) {
		call->may_have_run = true;
		entry_emit(call, out, ENTRY_ACTION_SEND_CANCEL);
	}
	return entry_finish(call, OUTCOME_NOT_RUN, reason, out, err);
}

/* Chooses a gate for another attempt. The previous attempt's identity is cleared, so that its late
 * answer is not mistaken for the answer to the next attempt. */
static int entry_choose_again(struct attempt_entry *call, struct attempt_entry_actions *out,
			      struct error *err)
{
	if (entry_move(call, ENTRY_INPUT_RETRY, err))
		return -1;
	memset(&call->target, 0, sizeof(call->target));
	entry_emit(call, out, ENTRY_ACTION_CHOOSE);
	return 0;
}

/* Excludes the current gate from the next choices. entry_allow_waiting() undoes this. */
static void entry_exclude(struct attempt_entry *call)
{
	if (call->excluded_count < ENTRY_EXCLUDED_MAX)
		call->excluded[call->excluded_count++] = call->target.gate.node_id;
}

/* Excludes the current gate for the rest of the call: it may have run the call, or its backend
 * server failed or refused it. */
static void entry_exclude_permanently(struct attempt_entry *call)
{
	if (call->excluded_count < ENTRY_EXCLUDED_MAX)
		call->excluded_permanently |= 1U << call->excluded_count;
	entry_exclude(call);
}

/* Excludes the current gate, which has no free slot, until the call may wait or waiting there is
 * better than any other gate. */
static void entry_exclude_full(struct attempt_entry *call)
{
	if (call->excluded_count < ENTRY_EXCLUDED_MAX)
		call->excluded_full |= 1U << call->excluded_count;
	entry_exclude(call);
}

/* Allows the call to wait in a gate's queue, and all gates but the permanently excluded ones to be
 * chosen again. */
static void entry_allow_waiting(struct attempt_entry *call)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < call->excluded_count; i++) {
		if (call->excluded_permanently & (1U << i))
			call->excluded[kept++] = call->excluded[i];
	}
	call->may_wait = true;
	call->excluded_count = (uint8_t)kept;
	call->excluded_permanently = (1U << kept) - 1;
	call->excluded_full = 0;
}

/* Lists the gates that must not be chosen next and returns their number; list has room for
 * ENTRY_EXCLUDED_MAX ids. If the route bounds the backend servers, a gate without a free slot is
 * not listed until the call may wait: it is still compared with gates that were not tried yet. */
uint32_t attempt_entry_excluded(const struct attempt_entry *call, uint64_t *list)
{
	bool may_choose_full = call->servers_max > 0 && !call->may_wait;
	uint32_t count = 0;

	for (uint32_t i = 0; i < call->excluded_count; i++) {
		if (!may_choose_full || !(call->excluded_full & (1U << i)))
			list[count++] = call->excluded[i];
	}
	return count;
}

/* Returns true if a gate refused the call because it had no free slot. If such a gate is still the
 * best choice, waiting there is better than trying others: step with ENTRY_EVENT_NO_GATE then. */
bool attempt_entry_gate_was_full(const struct attempt_entry *call, uint64_t node_id)
{
	for (uint32_t i = 0; i < call->excluded_count; i++) {
		if ((call->excluded_full & (1U << i)) && call->excluded[i] == node_id)
			return true;
	}
	return false;
}

/* Returns true if a call that cannot be served in time at one gate may be tried at another. If it
 * has waited there for longer than the time that is left, or if a second gate has said the same,
 * the caller is told at once rather than after a tour of all gates. */
static bool entry_may_be_in_time_elsewhere(struct attempt_entry *call)
{
	if (call->servers_max == 0)
		return false;
	if (call->deadline_us - call->now_us < call->now_us - call->sent_us)
		return false;
	return ++call->expired_refusals < ENTRY_EXPIRED_MAX;
}

/* Returns true if another gate may accept a call that was refused for this reason. */
static bool entry_reason_is_retryable(struct attempt_entry *call, enum call_reason reason)
{
	switch (reason) {
	case REASON_EXPIRED:
		return entry_may_be_in_time_elsewhere(call);
	case REASON_OVERLOAD:
	case REASON_COLD:
	case REASON_DRAINING:
	case REASON_NO_BACKEND:
	case REASON_SHED:
	case REASON_INCARNATION:
	case REASON_STALE_EPOCH:
	case REASON_CONNECTION_LOST:
	case REASON_NOT_READY:
	case REASON_REGION:
	case REASON_EVACUATED:
		return true;
	default:
		return false;
	}
}

/* Returns the bucket to charge for a retry after a refusal; NULL: the retry is not charged. A gate
 * that stops, is evacuated, has lost its backend server or whose server is cold refuses all calls
 * on their way to it at once, which would empty the bucket. The bucket need not bound them, as the
 * choice of gates bounds the calls on their way to one gate, and a call asks each gate once. */
static struct retry_bucket *entry_bucket_for(struct retry_bucket *bucket, enum call_reason reason)
{
	switch (reason) {
	case REASON_DRAINING:
	case REASON_NO_BACKEND:
	case REASON_EVACUATED:
	case REASON_COLD:
		return NULL;
	default:
		return bucket;
	}
}

/* Returns true if the backend server itself refused the call, and not its gate. */
static bool refusal_is_from_server(enum call_reason reason)
{
	return reason == REASON_SHED;
}

/* Charges a retry after a refusal. Returns false, with no retry charged, if none is allowed. If the
 * route bounds the backend servers, a refusal by a gate is not charged, as it costs no backend
 * server any work; only the number of such refusals is bounded. */
static bool entry_spend_retry_after_refusal(struct attempt_entry *call, struct retry_bucket *bucket,
					    enum call_reason reason)
{
	if (call->servers_max == 0)
		return retry_take(entry_bucket_for(bucket, reason), &call->retries);
	if (!refusal_is_from_server(reason)) {
		if (++call->refusals <= ENTRY_REFUSALS_MAX)
			return true;
		if (call->may_wait)
			return false;
		entry_allow_waiting(call);
		return true;
	}
	return ++call->servers < call->servers_max && retry_take_token(bucket);
}

/* Charges a retry after an attempt that may have run. Returns false, with no retry charged, if none
 * is allowed. */
static bool entry_spend_retry_after_loss(struct attempt_entry *call, struct retry_bucket *bucket)
{
	if (call->servers_max == 0)
		return retry_take(bucket, &call->retries);
	return ++call->servers < call->servers_max && retry_take_token(bucket);
}

/* Returns true if enough time is left for another attempt to be answered. */
static bool entry_has_time(const struct attempt_entry *call)
{
	return call->now_us + ENTRY_RETRY_TIME_US_MIN <= call->deadline_us;
}

/* Handles an attempt that did not run and never will: tries another gate, within the budgets. A
 * keyed call has only one gate, the owner of its key, and is sent there again only if the gate was
 * restarted. */
static int entry_not_run(struct attempt_entry *call, struct retry_bucket *bucket,
			 enum call_reason reason, struct attempt_entry_actions *out,
			 struct error *err)
{
	bool may_retry = entry_has_time(call) && entry_reason_is_retryable(call, reason);

	if (call->keyed && reason != REASON_INCARNATION)
		may_retry = false;
	retry_tree_return(&call->retries);
	call->last_reason = (uint8_t)reason;
	call->has_reached_server |= refusal_is_from_server(reason);
	if (!may_retry || !entry_spend_retry_after_refusal(call, bucket, reason))
		return entry_finish(call, OUTCOME_NOT_RUN, reason, out, err);
	if (reason == REASON_SHED)
		entry_exclude_permanently(call);
	else if (reason == REASON_OVERLOAD || reason == REASON_COLD)
		entry_exclude_full(call);
	else if (reason != REASON_INCARNATION)
		entry_exclude(call);
	return entry_choose_again(call, out, err);
}

/* Handles an attempt that may have run and whose answer cannot be fetched any more. */
static int entry_lost(struct attempt_entry *call, struct retry_bucket *bucket,
		      enum call_reason reason, struct attempt_entry_actions *out, struct error *err)
{
	call->may_have_run = true;
	call->has_reached_server = true;
	call->last_reason = (uint8_t)reason;
	if (!call->idempotent || !entry_has_time(call) ||
	    !entry_spend_retry_after_loss(call, bucket))
		return entry_finish(call, OUTCOME_UNKNOWN, reason, out, err);
	entry_exclude_permanently(call);
	return entry_choose_again(call, out, err);
}

/* Handles an error answered by the backend server. Tries another server if that is allowed;
 * otherwise the error is the answer to the caller. */
static int entry_failed(struct attempt_entry *call, struct retry_bucket *bucket,
			enum call_reason reason, struct attempt_entry_actions *out,
			struct error *err)
{
	if (call->servers_max == 0 || !call->idempotent || !entry_has_time(call) ||
	    !entry_spend_retry_after_loss(call, bucket))
		return entry_finish(call, OUTCOME_ANSWERED, reason, out, err);
	call->may_have_run = true;
	call->has_reached_server = true;
	entry_exclude_permanently(call);
	return entry_choose_again(call, out, err);
}

/* Sends an attempt to the chosen gate. */
static int entry_send(struct attempt_entry *call, const struct attempt_target *target,
		      uint64_t now_us, struct attempt_entry_actions *out, struct error *err)
{
	uint64_t left_us = call->deadline_us - now_us;
	uint64_t margin_us = call->answer_margin_us;
	struct attempt_entry_action *action;

	if (entry_move(call, ENTRY_INPUT_CHOSEN, err))
		return -1;
	if (margin_us > left_us / 2)
		margin_us = left_us / 2;
	call->target = *target;
	call->attempts++;
	call->sent_us = now_us;
	action = entry_emit(call, out, ENTRY_ACTION_SEND_CALL);
	action->time_left_us = left_us - margin_us;
	action->has_wait_limit = call->servers_max > 0 && !call->may_wait;
	action->retries_passed = retry_tree_pass(&call->retries, call->idempotent);
	action->repeat_permille =
		call->has_reached_server ? RETRY_REPEAT_PERMILLE : call->repeat_permille;
	return 0;
}

/* Handles the case that no gate is left to choose. If gates have refused the call and it may not
 * wait yet, it may wait in a queue from now on, and a gate is chosen again. */
static int entry_no_gate(struct attempt_entry *call, enum call_reason reason,
			 struct attempt_entry_actions *out, struct error *err)
{
	if (call->servers_max == 0 || call->may_wait || call->refusals == 0)
		return entry_finish(call, OUTCOME_NOT_RUN, reason, out, err);
	entry_allow_waiting(call);
	entry_emit(call, out, ENTRY_ACTION_CHOOSE);
	return 0;
}

/* Handles a reply from a later incarnation of the gate than the attempt was sent to. If the attempt
 * was sent over the connection on which the later incarnation replies, the earlier one never
 * received it and the later one refuses it: it did not run. If it was sent over an earlier
 * connection, it may have run. */
static int entry_gate_restarted(struct attempt_entry *call, uint32_t epoch,
				struct retry_bucket *bucket, struct attempt_entry_actions *out,
				struct error *err)
{
	if (!entry_is_outstanding(call))
		return 0;
	if (call->state == ENTRY_SENT && call->target.epoch == epoch)
		return entry_not_run(call, bucket, REASON_INCARNATION, out, err);
	return entry_lost(call, bucket, REASON_CONNECTION_LOST, out, err);
}

/* Handles an answer message. An answer to another attempt is acknowledged and otherwise ignored. */
static int entry_answer(struct attempt_entry *call, const struct attempt_entry_event *event,
			struct retry_bucket *bucket, struct attempt_entry_actions *out,
			struct error *err)
{
	entry_emit(call, out, ENTRY_ACTION_SEND_ACK)->target.id = event->answer.id;
	if (!entry_is_outstanding(call) || !attempt_id_equal(&event->answer.id, &call->target.id))
		return 0;
	switch (event->answer.outcome) {
	case OUTCOME_ANSWERED:
		if (event->answer.failed)
			return entry_failed(call, bucket, event->answer.reason, out, err);
		return entry_finish(call, OUTCOME_ANSWERED, event->answer.reason, out, err);
	case OUTCOME_NOT_RUN:
		return entry_not_run(call, bucket, event->answer.reason, out, err);
	default:
		return entry_lost(call, bucket, event->answer.reason, out, err);
	}
}

/* Handles a pending or held message. */
static int entry_progress(struct attempt_entry *call, const struct attempt_entry_event *event,
			  struct attempt_entry_actions *out, struct error *err)
{
	bool was_fetching = call->state == ENTRY_FETCHING;

	if (!entry_is_outstanding(call) || !attempt_id_equal(&event->about.id, &call->target.id))
		return 0;
	if (event->type == ENTRY_EVENT_PENDING)
		return entry_move(call, ENTRY_INPUT_PENDING, err);
	if (entry_move(call, ENTRY_INPUT_HELD, err))
		return -1;
	if (!was_fetching)
		entry_emit(call, out, ENTRY_ACTION_ASK_BULK);
	return 0;
}

/* Asks for the attempt's state again, over the connection that replaced a silent or lost one. */
static int entry_resend_ask(struct attempt_entry *call, uint32_t epoch,
			    struct attempt_entry_actions *out, struct error *err)
{
	bool is_same_kind = link_kind_of(epoch) == link_kind_of(call->target.epoch);

	if (!entry_is_outstanding(call))
		return 0;
	if (!is_same_kind && call->state != ENTRY_FETCHING)
		return 0;
	if (entry_move(call, ENTRY_INPUT_LINK_REPLACED, err))
		return -1;
	if (is_same_kind)
		call->target.epoch = epoch;
	entry_emit(call, out,
		   call->state == ENTRY_FETCHING ? ENTRY_ACTION_ASK_BULK : ENTRY_ACTION_SEND_ASK);
	return 0;
}

/* Handles an event after the outcome was reported: acknowledges a late answer, so that the gate can
 * free it. */
static void entry_ack_late_answer(struct attempt_entry *call,
				  const struct attempt_entry_event *event,
				  struct attempt_entry_actions *out)
{
	if (event->type == ENTRY_EVENT_ANSWER)
		entry_emit(call, out, ENTRY_ACTION_SEND_ACK)->target.id = event->answer.id;
	if (event->type == ENTRY_EVENT_HELD)
		entry_emit(call, out, ENTRY_ACTION_SEND_ACK)->target.id = event->about.id;
}

/* Initialises a call. The first event must be ENTRY_EVENT_START. */
void attempt_entry_init(struct attempt_entry *call, const struct attempt_entry_settings *settings)
{
	memset(call, 0, sizeof(*call));
	call->deadline_us = settings->deadline_us;
	call->answer_margin_us = settings->answer_margin_us;
	call->idempotent = settings->idempotent;
	call->keyed = settings->keyed;
	call->may_wait = settings->may_wait;
	call->servers_max =
		settings->servers_max < UINT8_MAX ? (uint8_t)settings->servers_max : UINT8_MAX;
	call->repeat_permille = (uint16_t)settings->repeat_permille;
	call->state = ENTRY_CHOOSING;
	retry_tree_init(&call->retries, settings->has_retry_budget, settings->retry_budget);
}

/* Handles one event and fills out with the actions to carry out, in order. bucket is the retry
 * budget of the call's service at this entry. At or after the deadline every event ends the call.
 * Errors: ERROR_STATE if the state chart does not allow the event; out is then empty and the call's
 * state unchanged. */
int attempt_entry_step(struct attempt_entry *call, const struct attempt_entry_event *event,
		       struct retry_bucket *bucket, uint64_t now_us,
		       struct attempt_entry_actions *out, struct error *err)
{
	out->count = 0;
	call->now_us = now_us;
	if (call->state == ENTRY_DONE) {
		entry_ack_late_answer(call, event, out);
		return 0;
	}
	if (now_us >= call->deadline_us)
		return entry_abandon(call, REASON_EXPIRED, out, err);
	switch (event->type) {
	case ENTRY_EVENT_START:
		retry_bucket_first_attempt(bucket, call->repeat_permille);
		entry_emit(call, out, ENTRY_ACTION_CHOOSE);
		return 0;
	case ENTRY_EVENT_CHOSEN:
		return entry_send(call, &event->chosen, now_us, out, err);
	case ENTRY_EVENT_NO_GATE:
		return entry_no_gate(call, event->no_gate.reason, out, err);
	case ENTRY_EVENT_SEND_FAILED:
		if (call->state != ENTRY_SENT)
			return error_set(err, ERROR_STATE, "send failure, but no attempt was sent");
		return entry_not_run(call, bucket, REASON_CONNECTION_LOST, out, err);
	case ENTRY_EVENT_ANSWER:
		return entry_answer(call, event, bucket, out, err);
	case ENTRY_EVENT_PENDING:
	case ENTRY_EVENT_HELD:
		return entry_progress(call, event, out, err);
	case ENTRY_EVENT_LINK_REPLACED:
		return entry_resend_ask(call, event->link_replaced.epoch, out, err);
	case ENTRY_EVENT_GATE_GONE:
		if (!entry_is_outstanding(call))
			return 0;
		return entry_lost(call, bucket, REASON_CONNECTION_LOST, out, err);
	case ENTRY_EVENT_GATE_RESTARTED:
		return entry_gate_restarted(call, event->gate_restarted.epoch, bucket, out, err);
	case ENTRY_EVENT_CALLER_GONE:
		return entry_abandon(call, REASON_CANCELLED, out, err);
	case ENTRY_EVENT_NODE_STOPPING:
		return entry_abandon(call, REASON_DRAINING, out, err);
	case ENTRY_EVENT_TICK:
		return 0;
	}
	return 0;
}
