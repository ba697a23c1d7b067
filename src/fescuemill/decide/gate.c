/*
 * Gate: admission control for one backend server. Decides which attempts start, wait or are
 * refused.
 */
#include "fescuemill/decide/gate.h"

#include "fescuemill/decide/gate_account.h"
#include "fescuemill/decide/gate_class.h"
#include "fescuemill/decide/gate_order.h"
#include "fescuemill/decide/gate_queue.h"
#include "fescuemill/decide/gate_rate.h"
#include "fescuemill/decide/gate_refuse.h"
#include "fescuemill/decide/gate_slots.h"
#include "fescuemill/decide/gate_tally.h"
#include "fescuemill/decide/headroom.h"

#include <string.h>

static const struct gate_verdict verdict_start = {GATE_START, REASON_NONE};
static const struct gate_verdict verdict_wait = {GATE_WAIT, REASON_NONE};

static struct gate_verdict verdict_refuse(enum call_reason reason)
{
	struct gate_verdict verdict = {GATE_REFUSE, reason};

	return verdict;
}

/* Returns now_us, or the time of the latest operation if that is later. */
static uint64_t clamp_to_last_operation(const struct gate *gate, uint64_t now_us)
{
	return now_us > gate->accounted_until_us ? now_us : gate->accounted_until_us;
}

/*
 * Begins an operation: clears the list of actions and accounts for the time since the previous
 * operation. Returns the time that the operation must use as the current time.
 */
static uint64_t begin_operation(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	now_us = clamp_to_last_operation(gate, now_us);
	actions->count = 0;
	gate_account_advance(gate, now_us);
	return now_us;
}

/* Returns true if the class that a ticket was offered for has not been removed since. */
static bool class_is_current(const struct gate *gate, const struct gate_ticket *ticket)
{
	return gate->classes[ticket->class_index].generation == ticket->generation;
}

/* Starts a ticket, which must not be queued, in a free slot. */
static void start_ticket(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us)
{
	gate->in_use++;
	gate_rate_take(gate, now_us);
	retry_runs_started(&gate->runs, ticket->repeat_permille);
	gate->classes[ticket->class_index].running++;
	ticket->state = TICKET_RUNNING;
	ticket->start_us = now_us;
	ticket->running_at_start = gate->in_use;
	gate_order_started(gate, ticket);
	if (gate->in_use >= gate->limit.current)
		limit_record_full(&gate->limit);
}

/* Frees the slot of a running ticket. */
static void release_slot(struct gate *gate, struct gate_ticket *ticket)
{
	gate->in_use--;
	retry_runs_ended(&gate->runs, ticket->repeat_permille);
	if (ticket->bypassed_urgent)
		gate->bypass_in_use--;
	if (class_is_current(gate, ticket))
		gate->classes[ticket->class_index].running--;
	ticket->state = TICKET_IDLE;
}

/* Returns false if an attempt of the class that starts now is expected to be cut off by the end of
 * this node. */
static bool can_end_before_stop(const struct gate *gate, const struct gate_class *class,
				uint64_t now_us)
{
	return gate->end_us == 0 || now_us + class->service.recent_mean_us <= gate->end_us;
}

/* Returns true if waiting tickets may start. */
static bool may_start(const struct gate *gate)
{
	return gate->state == BACKEND_READY;
}

/* Returns true if the backend server, or this node, is about to end. */
static bool is_draining(const struct gate *gate)
{
	return gate->state == BACKEND_DRAINING || gate->state == BACKEND_LEAVING;
}

/* Returns the expected service time of a class; while unknown, the latency target, so that calls of
 * unknown duration count as long. */
static uint64_t expected_service_us(const struct gate_class *class)
{
	return class->service.baseline_us ? class->service.baseline_us : class->target.latency_us;
}

/* Advises on starting a ticket now, given the slowdown of the host. */
static enum slowdown_advice advise(const struct gate *gate, const struct gate_ticket *ticket,
				   uint64_t now_us)
{
	return slowdown_advise(&gate->slowdown,
			       expected_service_us(&gate->classes[ticket->class_index]), now_us);
}

/* Returns true if a waiting short call may take a slot beyond the limit. */
static bool may_start_short(const struct gate *gate)
{
	return gate->slots_used_percent > 0 && gate->in_use < gate->limit.slots &&
	       gate_order_next_short(gate);
}

/* Returns the waiting ticket that may start now, or NULL. */
static struct gate_ticket *next_to_start(struct gate *gate)
{
	if (gate->in_use < gate->limit.current)
		return gate_order_next(gate);
	return may_start_short(gate) ? gate_order_next_short(gate) : NULL;
}

/* Starts waiting tickets in free slots, as far as deadlines and the slowdown of the host allow. */
static void dispatch(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	gate_refuse_if_turned_cold(gate, now_us, actions);
	while (may_start(gate) && gate->queued && gate_rate_allows(gate, now_us)) {
		struct gate_ticket *ticket = next_to_start(gate);
		enum slowdown_advice advice;

		if (!ticket)
			return;
		if (!gate_can_make_deadline(gate, ticket, 0, now_us)) {
			gate_refuse_waiting(gate, ticket, REASON_EXPIRED, actions);
			continue;
		}
		if (!can_end_before_stop(gate, &gate->classes[ticket->class_index], now_us)) {
			gate_refuse_waiting(gate, ticket, REASON_DRAINING, actions);
			continue;
		}
		advice = advise(gate, ticket, now_us);
		if (advice == SLOWDOWN_REDIRECT &&
		    gate_exceeds_wait_limit(ticket, SLOWDOWN_REDIRECT_COST_US)) {
			gate_refuse_waiting(gate, ticket, REASON_OVERLOAD, actions);
			continue;
		}
		if (advice == SLOWDOWN_WAIT)
			gate_refuse_wait_limited(gate, actions);
		if (advice == SLOWDOWN_WAIT || advice == SLOWDOWN_PROBE)
			return;
		gate_queue_remove(gate, ticket);
		start_ticket(gate, ticket, now_us);
		gate_actions_add(actions, ticket, verdict_start);
	}
}

/* Initializes a gate without configuration and backend server. It refuses all attempts. */
void gate_init(struct gate *gate, uint64_t now_us)
{
	memset(gate, 0, sizeof(*gate));
	gate->accounted_until_us = now_us;
	gate->penalty_decayed_us = now_us;
	cold_init(&gate->cold, now_us);
}

/* Removes a class. Waiting tickets are refused, running ones finish without being accounted for. */
static void remove_class(struct gate *gate, struct gate_class *class, struct gate_actions *actions)
{
	uint8_t generation = class->generation;

	gate_refuse_class(gate, class, REASON_UNKNOWN_CLASS, actions);
	memset(class, 0, sizeof(*class));
	class->generation = (uint8_t)(generation + 1);
}

/* Updates the classes that a configuration names and removes the others. */
static void update_classes(struct gate *gate, const struct service_config *config,
			   struct gate_actions *actions)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];
		const struct class_target *target;

		if (!class->active)
			continue;
		target = gate_class_target(config, class->target.name);
		if (target)
			class->target = *target;
		else
			remove_class(gate, class, actions);
	}
}

/*
 * Applies a configuration. Classes are matched by name. Waiting tickets of a removed class are
 * refused, its running tickets finish. Until the next gate_set_rates this gate allows each class
 * the whole calls_per_s, not a part of it.
 */
void gate_set_config(struct gate *gate, const struct service_config *config, uint64_t now_us,
		     struct gate_actions *actions)
{
	uint64_t rates_milli[CLASSES_PER_SERVICE_MAX] = {0};

	now_us = begin_operation(gate, now_us, actions);
	memcpy(gate->service, config->service, sizeof(gate->service));
	gate->config_version = config->version;
	update_classes(gate, config, actions);
	for (uint32_t i = 0; i < config->class_count; i++) {
		const struct class_target *target = &config->classes[i];

		if (gate_find_class(gate, target->name) < 0)
			gate_class_add(gate, target, now_us);
	}
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++)
		rates_milli[i] = gate->classes[i].target.calls_per_s * 1000ULL;
	gate_set_rates(gate, rates_milli, now_us);
	dispatch(gate, now_us, actions);
}

/* Sets the time at which running attempts are cut off by the end of this node. Attempts that are
 * not expected to end before it are refused from now on. */
void gate_set_end(struct gate *gate, uint64_t end_us)
{
	gate->end_us = end_us;
}

/* Removes the limit of the rate, and starts what waited for it. */
void gate_clear_rate_limit(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	now_us = begin_operation(gate, now_us, actions);
	rate_limit_clear(&gate->rate);
	dispatch(gate, now_us, actions);
}

/* Initializes the limit for a backend server that was not in service before. */
static void start_limit(struct gate *gate, uint32_t slots, uint64_t now_us)
{
	limit_start(&gate->limit, slots, now_us);
	limit_set_fixed(&gate->limit, gate->slots_used_percent);
	saturation_start(&gate->saturation);
}

/* Applies the announced slots. A server that was not in service before gets a slow start. */
static void set_slots(struct gate *gate, bool was_serving, uint32_t slots, uint64_t now_us)
{
	if (slots > GATE_SLOTS_MAX)
		slots = GATE_SLOTS_MAX;
	if (!was_serving)
		start_limit(gate, slots, now_us);
	else if (slots != gate->limit.slots)
		limit_set_slots(&gate->limit, slots, now_us);
	gate_account_update_floors(gate);
}

/*
 * Applies the state and the announced slots of the backend server. Waiting tickets are refused in
 * any other state than ready: a server that drains serves only for a bounded time, and their
 * entries can try other gates now. Running tickets finish in every state.
 */
void gate_set_backend(struct gate *gate, enum backend_state state, uint32_t slots, uint64_t now_us,
		      struct gate_actions *actions)
{
	bool was_serving = may_start(gate) || gate->state == BACKEND_DRAINING;

	now_us = begin_operation(gate, now_us, actions);
	gate->state = state;
	set_slots(gate, was_serving, slots, now_us);
	if (is_draining(gate))
		gate_refuse_all(gate, REASON_DRAINING, actions);
	else if (!may_start(gate))
		gate_refuse_all(gate, REASON_NO_BACKEND, actions);
	dispatch(gate, now_us, actions);
}

/* Returns the reason to refuse an offer regardless of load and profile, or REASON_NONE. */
static enum call_reason check_offer(const struct gate *gate, uint32_t class_index,
				    uint64_t deadline_us, uint64_t now_us)
{
	if (class_index >= CLASSES_PER_SERVICE_MAX || !gate->classes[class_index].active)
		return REASON_UNKNOWN_CLASS;
	if (is_draining(gate))
		return REASON_DRAINING;
	if (gate->state != BACKEND_READY || !gate->limit.current)
		return REASON_NO_BACKEND;
	if (deadline_us <= now_us)
		return REASON_EXPIRED;
	if (!can_end_before_stop(gate, &gate->classes[class_index], now_us))
		return REASON_DRAINING;
	return REASON_NONE;
}

/* Fills an offered ticket, and takes a profile token for it if there is one. */
static void fill_ticket(struct gate *gate, struct gate_ticket *ticket, uint32_t class_index,
			uint64_t deadline_us, uint64_t now_us)
{
	struct gate_class *class = &gate->classes[class_index];

	class->offered++;
	ticket->class_index = (uint8_t)class_index;
	ticket->generation = class->generation;
	ticket->state = TICKET_IDLE;
	ticket->bypassed_urgent = false;
	ticket->arrival_us = now_us;
	ticket->deadline_us = deadline_us;
	ticket->due_us = now_us + class->target.latency_us;
	if (ticket->due_us > deadline_us)
		ticket->due_us = deadline_us;
	ticket->in_profile = profile_take(&class->profile, now_us);
}

/* Queues a ticket, evicting another if the queue is full. Returns REASON_NONE if queued. */
static enum call_reason enqueue(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us,
				struct gate_actions *actions)
{
	if (!gate_can_make_deadline(gate, ticket, gate_order_wait_us(gate, ticket, now_us), now_us))
		return REASON_EXPIRED;
	if (gate_queue_is_full(gate, &gate->classes[ticket->class_index])) {
		struct gate_ticket *victim = gate_queue_find_victim(gate, ticket);

		if (!victim)
			return REASON_OVERLOAD;
		gate_refuse_waiting(gate, victim, REASON_OVERLOAD, actions);
	}
	gate_queue_add(gate, ticket);
	return REASON_NONE;
}

/*
 * Returns how long a ticket that cannot start at once is expected to wait, in microseconds: for a
 * slot, for the rate that the backend server states, and for the end of a slowdown of the host. 0
 * if it only waits for a sample of the slowdown.
 */
static uint64_t expected_wait_us(const struct gate *gate, const struct gate_ticket *ticket,
				 bool can_start, enum slowdown_advice advice, uint64_t now_us)
{
	uint64_t wait_us = gate_rate_wait_us(gate, gate->queued, now_us);

	if (wait_us > 0 || !gate_slots_has_room(gate, ticket->class_index))
		wait_us = gate_order_wait_us(gate, ticket, now_us) + 1;
	if (!can_start && advice != SLOWDOWN_PROBE)
		wait_us += SLOWDOWN_EXPECTED_US;
	return wait_us;
}

/* Removes the action for a ticket and returns its verdict. A ticket without an action waits. */
static struct gate_verdict extract_verdict(struct gate_actions *actions,
					   const struct gate_ticket *ticket)
{
	for (uint32_t i = 0; i < actions->count; i++) {
		struct gate_verdict verdict = actions->list[i].verdict;

		if (actions->list[i].ticket != ticket)
			continue;
		actions->list[i] = actions->list[--actions->count];
		return verdict;
	}
	return verdict_wait;
}

/*
 * Offers an idle ticket. deadline_us is the caller's deadline, on the same clock as now_us. Returns
 * the verdict on this ticket; the actions concern other tickets.
 */
struct gate_verdict gate_offer(struct gate *gate, struct gate_ticket *ticket, uint32_t class_index,
			       uint64_t deadline_us, uint64_t now_us, struct gate_actions *actions)
{
	enum call_reason reason;
	enum slowdown_advice advice;
	bool can_start;

	now_us = begin_operation(gate, now_us, actions);
	reason = check_offer(gate, class_index, deadline_us, now_us);
	if (reason != REASON_NONE)
		return verdict_refuse(reason);
	fill_ticket(gate, ticket, class_index, deadline_us, now_us);
	gate_slots_try_all(gate, now_us);
	advice = advise(gate, ticket, now_us);
	can_start = advice == SLOWDOWN_START ||
		    (advice == SLOWDOWN_REDIRECT &&
		     !gate_exceeds_wait_limit(ticket, SLOWDOWN_REDIRECT_COST_US));
	if (gate->queued == 0 && gate_slots_has_free(gate, class_index) && can_start &&
	    gate_rate_allows(gate, now_us)) {
		start_ticket(gate, ticket, now_us);
		return verdict_start;
	}
	if (!gate_can_make_deadline(gate, ticket, gate_order_wait_us(gate, ticket, now_us), now_us))
		reason = REASON_EXPIRED;
	else if (gate_exceeds_wait_limit(ticket,
					 expected_wait_us(gate, ticket, can_start, advice, now_us)))
		reason = REASON_OVERLOAD;
	else
		reason = enqueue(gate, ticket, now_us, actions);
	if (reason == REASON_NONE) {
		dispatch(gate, now_us, actions);
		return extract_verdict(actions, ticket);
	}
	reason = gate_rate_refusal(gate, ticket, reason, now_us);
	if (ticket->in_profile)
		profile_refund(&gate->classes[class_index].profile);
	gate_tally_refused(gate, ticket, reason);
	return verdict_refuse(reason);
}

/* Records the result of a running ticket and reuses its slot. Does nothing to any other ticket. */
void gate_finish(struct gate *gate, struct gate_ticket *ticket, enum gate_result result,
		 uint64_t now_us, struct gate_actions *actions)
{
	now_us = begin_operation(gate, now_us, actions);
	if (ticket->state != TICKET_RUNNING)
		return;
	gate_tally_finished(gate, ticket, result, now_us);
	if (class_is_current(gate, ticket))
		gate_account_record_result(gate, ticket, result, now_us);
	release_slot(gate, ticket);
	dispatch(gate, now_us, actions);
}

/* Frees the slot or the queue entry of a ticket at once. Does nothing to an idle ticket. */
void gate_cancel(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us,
		 struct gate_actions *actions)
{
	now_us = begin_operation(gate, now_us, actions);
	if (ticket->state != TICKET_IDLE)
		gate_tally_cancelled(gate, ticket);
	switch ((enum ticket_state)ticket->state) {
	case TICKET_IDLE:
		return;
	case TICKET_WAITING:
		gate_remove_waiting(gate, ticket);
		break;
	case TICKET_RUNNING:
		release_slot(gate, ticket);
		break;
	}
	dispatch(gate, now_us, actions);
}

/* Runs the periodic updates. Must be called every GATE_TICK_INTERVAL_US. */
void gate_tick(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	now_us = begin_operation(gate, now_us, actions);
	gate_account_update_floors(gate);
	headroom_update(gate);
	saturation_tick(&gate->saturation, now_us);
	limit_use_all(&gate->limit, gate->saturation.uses_all);
	gate_refuse_expired(gate, now_us, actions);
	dispatch(gate, now_us, actions);
}

/* Records a slowdown sample of the host, in percent, and starts tickets that waited for it. */
void gate_record_slowdown(struct gate *gate, uint32_t percent, uint64_t now_us,
			  struct gate_actions *actions)
{
	now_us = begin_operation(gate, now_us, actions);
	slowdown_record(&gate->slowdown, percent, now_us);
	dispatch(gate, now_us, actions);
}

/* Records that a slowdown probe failed. For a while no ticket waits for a sample. */
void gate_slowdown_unknown(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	now_us = begin_operation(gate, now_us, actions);
	slowdown_probe_failed(&gate->slowdown, now_us);
	dispatch(gate, now_us, actions);
}

/*
 * Returns true if the owner must send a slowdown probe now, for tickets that wait although a slot
 * is free. The probe counts as sent.
 */
bool gate_start_slowdown_probe(struct gate *gate, uint64_t now_us)
{
	bool has_slot = gate->in_use < gate->limit.current || may_start_short(gate);

	if (gate->queued == 0 || !has_slot || !may_start(gate) || !gate_rate_allows(gate, now_us))
		return false;
	return slowdown_start_probe(&gate->slowdown, now_us);
}
