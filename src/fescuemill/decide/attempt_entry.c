/*
 * One call at the entry. The outcome "not run" is told only while every attempt that was sent is
 * known not to have run: by its gate's word, or because it never reached the socket.
 */
#include "fescuemill/decide/attempt_entry.h"

#include "fescuemill/chart/chart.h"

#include <string.h>

/* Moves the call along its chart. */
static int entry_move(struct attempt_entry *call, enum attempt_entry_input input, struct error *err)
{
	uint32_t next;

	if (chart_next(CHART_ATTEMPT_ENTRY, call->state, input, &next, err))
		return -1;
	call->state = (uint8_t)next;
	return 0;
}

/* Adds an action about the present attempt. */
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

/* Tells whether an attempt was sent whose end is not known. */
static bool entry_is_outstanding(const struct attempt_entry *call)
{
	return call->state == ENTRY_SENT || call->state == ENTRY_ASKING ||
	       call->state == ENTRY_FETCHING;
}

/* Tells the caller. "Not run" becomes "unknown" when an abandoned attempt may have run. */
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

/* Ends the call while an attempt may be outstanding, which is cancelled. */
static int entry_abandon(struct attempt_entry *call, enum call_reason reason,
			 struct attempt_entry_actions *out, struct error *err)
{
	if (entry_is_outstanding(call)) {
		call->may_have_run = true;
		entry_emit(call, out, ENTRY_ACTION_SEND_CANCEL);
	}
	return entry_finish(call, OUTCOME_NOT_RUN, reason, out, err);
}

/* Goes back to choosing a gate. The old attempt's identity is dropped, so that its late answer
 * cannot be taken for the next attempt's. */
static int entry_choose_again(struct attempt_entry *call, struct attempt_entry_actions *out,
			      struct error *err)
{
	if (entry_move(call, ENTRY_INPUT_RETRY, err))
		return -1;
	memset(&call->target, 0, sizeof(call->target));
	entry_emit(call, out, ENTRY_ACTION_CHOOSE);
	return 0;
}

/* Keeps the present gate out of the next choice. */
static void entry_exclude(struct attempt_entry *call)
{
	if (call->excluded_count < ENTRY_EXCLUDED_MAX)
		call->excluded[call->excluded_count++] = call->target.gate.node_id;
}

/* Keeps the present gate out for good: it lost the call or failed it. */
static void entry_exclude_for_good(struct attempt_entry *call)
{
	if (call->excluded_count < ENTRY_EXCLUDED_MAX)
		call->excluded_for_good |= 1U << call->excluded_count;
	entry_exclude(call);
}

/* Keeps the present gate out until the call may wait, or is better off waiting there than
 * elsewhere. */
static void entry_exclude_full(struct attempt_entry *call)
{
	if (call->excluded_count < ENTRY_EXCLUDED_MAX)
		call->excluded_full |= 1U << call->excluded_count;
	entry_exclude(call);
}

/* Lets the gates that only had no room be chosen again, to wait at one of them. */
static void entry_become_patient(struct attempt_entry *call)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < call->excluded_count; i++) {
		if (call->excluded_for_good & (1U << i))
			call->excluded[kept++] = call->excluded[i];
	}
	call->is_patient = true;
	call->excluded_count = (uint8_t)kept;
	call->excluded_for_good = (1U << kept) - 1;
	call->excluded_full = 0;
}

/* Lists the gates that must not be chosen next. Until the call may wait, one that had no room is
 * still compared with those that were not asked yet. */
uint32_t attempt_entry_excluded(const struct attempt_entry *call, uint64_t *list)
{
	bool compares_full = call->servers_max > 0 && !call->is_patient;
	uint32_t count = 0;

	for (uint32_t i = 0; i < call->excluded_count; i++) {
		if (!compares_full || !(call->excluded_full & (1U << i)))
			list[count++] = call->excluded[i];
	}
	return count;
}

/* Tells whether a gate had no room for the call. */
bool attempt_entry_was_full(const struct attempt_entry *call, uint64_t node_id)
{
	for (uint32_t i = 0; i < call->excluded_count; i++) {
		if ((call->excluded_full & (1U << i)) && call->excluded[i] == node_id)
			return true;
	}
	return false;
}

/* Tells whether another gate may do better after a refusal. */
static bool entry_reason_is_retryable(const struct attempt_entry *call, enum call_reason reason)
{
	switch (reason) {
	case REASON_EXPIRED: /* the gate's wait is too long; another's may not be */
		return call->servers_max > 0;
	case REASON_OVERLOAD:
	case REASON_DRAINING:
	case REASON_NO_BACKEND:
	case REASON_SHED:
	case REASON_INCARNATION:
	case REASON_STALE_EPOCH:
	case REASON_CONNECTION_LOST:
	case REASON_NOT_READY:
		return true;
	default:
		return false;
	}
}

/* Gives the service's bucket if a refusal for this reason is charged to it. A planned stop hands
 * back at most what is on its way to the gate, all of it at once, so that the bucket would run dry;
 * it need not bound what the choice bounds. */
static struct retry_bucket *entry_bucket_for(struct retry_bucket *bucket, enum call_reason reason)
{
	return reason == REASON_DRAINING ? NULL : bucket;
}

/* Tells whether a refusal came from the backend server itself, and not from a gate before it. */
static bool entry_reached_server(enum call_reason reason)
{
	return reason == REASON_SHED;
}

/* Takes one more try out of the budgets after a refusal, or out of none. Where the backend servers
 * are bounded, a gate's refusal costs no backend server anything and only its number is bounded. */
static bool entry_take_after_refusal(struct attempt_entry *call, struct retry_bucket *bucket,
				     enum call_reason reason)
{
	if (call->servers_max == 0)
		return retry_take(entry_bucket_for(bucket, reason), &call->retries);
	if (!entry_reached_server(reason)) {
		if (++call->refusals <= ENTRY_REFUSALS_MAX)
			return true;
		if (call->is_patient)
			return false;
		entry_become_patient(call);
		return true;
	}
	return ++call->servers < call->servers_max && retry_take_token(bucket);
}

/* Takes one more try out of the budgets after the call may have run, or out of none. */
static bool entry_take_after_loss(struct attempt_entry *call, struct retry_bucket *bucket)
{
	if (call->servers_max == 0)
		return retry_take(bucket, &call->retries);
	return ++call->servers < call->servers_max && retry_take_token(bucket);
}

/* Tells whether a further attempt could still be answered. */
static bool entry_has_time(const struct attempt_entry *call)
{
	return call->now_us + ENTRY_RETRY_TIME_US_MIN <= call->deadline_us;
}

/* The present attempt certainly did not run and never will: try elsewhere, within the budgets. A
 * keyed call has one home only, which it tries again only after its restart. */
static int entry_not_run(struct attempt_entry *call, struct retry_bucket *bucket,
			 enum call_reason reason, struct attempt_entry_actions *out,
			 struct error *err)
{
	bool may_retry = entry_reason_is_retryable(call, reason) && entry_has_time(call);

	if (call->keyed && reason != REASON_INCARNATION)
		may_retry = false;
	retry_tree_return(&call->retries);
	call->last_reason = (uint8_t)reason;
	if (!may_retry || !entry_take_after_refusal(call, bucket, reason))
		return entry_finish(call, OUTCOME_NOT_RUN, reason, out, err);
	if (reason == REASON_SHED)
		entry_exclude_for_good(call);
	else if (reason == REASON_OVERLOAD)
		entry_exclude_full(call);
	else if (reason != REASON_INCARNATION)
		entry_exclude(call);
	return entry_choose_again(call, out, err);
}

/* The present attempt may have run and its answer cannot be had. */
static int entry_lost(struct attempt_entry *call, struct retry_bucket *bucket,
		      enum call_reason reason, struct attempt_entry_actions *out, struct error *err)
{
	call->may_have_run = true;
	call->last_reason = (uint8_t)reason;
	if (!call->idempotent || !entry_has_time(call) || !entry_take_after_loss(call, bucket))
		return entry_finish(call, OUTCOME_UNKNOWN, reason, out, err);
	entry_exclude_for_good(call);
	return entry_choose_again(call, out, err);
}

/* The backend server answered with an error of its own. Another one may do better; if none may be
 * tried, the error is the answer. */
static int entry_failed(struct attempt_entry *call, struct retry_bucket *bucket,
			enum call_reason reason, struct attempt_entry_actions *out,
			struct error *err)
{
	if (call->servers_max == 0 || !call->idempotent || !entry_has_time(call) ||
	    !entry_take_after_loss(call, bucket))
		return entry_finish(call, OUTCOME_ANSWERED, reason, out, err);
	call->may_have_run = true;
	entry_exclude_for_good(call);
	return entry_choose_again(call, out, err);
}

/* Sends the first or next attempt to the chosen gate. */
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
	action = entry_emit(call, out, ENTRY_ACTION_SEND_CALL);
	action->time_left_us = left_us - margin_us;
	action->refuse_to_wait = call->servers_max > 0 && !call->is_patient;
	action->retries_passed = retry_tree_pass(&call->retries, call->idempotent);
	return 0;
}

/* No gate is left to choose. One that only had no room may still be waited at. */
static int entry_no_gate(struct attempt_entry *call, enum call_reason reason,
			 struct attempt_entry_actions *out, struct error *err)
{
	if (call->servers_max == 0 || call->is_patient || call->refusals == 0)
		return entry_finish(call, OUTCOME_NOT_RUN, reason, out, err);
	entry_become_patient(call);
	entry_emit(call, out, ENTRY_ACTION_CHOOSE);
	return 0;
}

/* The gate's process is another one than the attempt is meant for. An attempt that went out over
 * the very connection that this process answers on never reached the earlier one, and this one
 * refuses it. An attempt of an earlier connection may have run. */
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

/* Takes an answer message. One for another attempt is acknowledged and otherwise ignored. */
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

/* Takes a pending or held message. */
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

/* Asks again over the link that took the place of a silent one. */
static int entry_ask_again(struct attempt_entry *call, uint32_t epoch,
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

/* Takes an event after the outcome was told: a late answer is acknowledged, so that its gate can
 * forget it. */
static void entry_after_done(struct attempt_entry *call, const struct attempt_entry_event *event,
			     struct attempt_entry_actions *out)
{
	if (event->type == ENTRY_EVENT_ANSWER)
		entry_emit(call, out, ENTRY_ACTION_SEND_ACK)->target.id = event->answer.id;
	if (event->type == ENTRY_EVENT_HELD)
		entry_emit(call, out, ENTRY_ACTION_SEND_ACK)->target.id = event->about.id;
}

/* Starts a call; nothing happens before ENTRY_EVENT_START. */
void attempt_entry_init(struct attempt_entry *call, const struct attempt_entry_settings *settings)
{
	memset(call, 0, sizeof(*call));
	call->deadline_us = settings->deadline_us;
	call->answer_margin_us = settings->answer_margin_us;
	call->idempotent = settings->idempotent;
	call->keyed = settings->keyed;
	call->is_patient = settings->is_patient;
	call->servers_max =
		settings->servers_max < UINT8_MAX ? (uint8_t)settings->servers_max : UINT8_MAX;
	call->state = ENTRY_CHOOSING;
	retry_tree_init(&call->retries, settings->retries_stated, settings->retry_budget);
}

/* Takes one event and fills the actions to do in their order. The bucket is the service's at this
 * entry. At or after the deadline every event ends the call. Errors: ERROR_STATE when the chart
 * does not allow the event; then there is no action and the call is unchanged. */
int attempt_entry_step(struct attempt_entry *call, const struct attempt_entry_event *event,
		       struct retry_bucket *bucket, uint64_t now_us,
		       struct attempt_entry_actions *out, struct error *err)
{
	out->count = 0;
	call->now_us = now_us;
	if (call->state == ENTRY_DONE) {
		entry_after_done(call, event, out);
		return 0;
	}
	if (now_us >= call->deadline_us)
		return entry_abandon(call, REASON_EXPIRED, out, err);
	switch (event->type) {
	case ENTRY_EVENT_START:
		retry_bucket_first_attempt(bucket);
		entry_emit(call, out, ENTRY_ACTION_CHOOSE);
		return 0;
	case ENTRY_EVENT_CHOSEN:
		return entry_send(call, &event->chosen, now_us, out, err);
	case ENTRY_EVENT_NO_GATE:
		return entry_no_gate(call, event->no_gate.reason, out, err);
	case ENTRY_EVENT_SEND_FAILED:
		if (call->state != ENTRY_SENT)
			return error_set(err, ERROR_STATE, "send failed, but none was tried");
		return entry_not_run(call, bucket, REASON_CONNECTION_LOST, out, err);
	case ENTRY_EVENT_ANSWER:
		return entry_answer(call, event, bucket, out, err);
	case ENTRY_EVENT_PENDING:
	case ENTRY_EVENT_HELD:
		return entry_progress(call, event, out, err);
	case ENTRY_EVENT_LINK_REPLACED:
		return entry_ask_again(call, event->link_replaced.epoch, out, err);
	case ENTRY_EVENT_GATE_GONE:
		if (!entry_is_outstanding(call))
			return 0;
		return entry_lost(call, bucket, REASON_CONNECTION_LOST, out, err);
	case ENTRY_EVENT_GATE_RESTARTED:
		return entry_gate_restarted(call, event->gate_restarted.epoch, bucket, out, err);
	case ENTRY_EVENT_CALLER_GONE:
		return entry_abandon(call, REASON_CANCELLED, out, err);
	case ENTRY_EVENT_TICK:
		return 0;
	}
	return 0;
}
