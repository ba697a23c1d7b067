/*
 * Gate: decides which attempt gets a slot of the backend server, which waits and which is refused.
 */
#include "fescuemill/decide/gate.h"

#include "fescuemill/decide/gate_account.h"
#include "fescuemill/decide/gate_class.h"
#include "fescuemill/decide/gate_order.h"
#include "fescuemill/decide/gate_queue.h"
#include "fescuemill/decide/gate_tally.h"
#include "fescuemill/decide/headroom.h"

#include <string.h>

static const struct gate_verdict verdict_start = {GATE_START, REASON_NONE};
static const struct gate_verdict verdict_wait = {GATE_WAIT, REASON_NONE};

/* Makes the verdict of a refusal. */
static struct gate_verdict verdict_refuse(enum call_reason reason)
{
	struct gate_verdict verdict = {GATE_REFUSE, reason};

	return verdict;
}

/* Gives the time to reckon with: one that an earlier operation has passed does not come again. */
static uint64_t not_before(const struct gate *gate, uint64_t now_us)
{
	return now_us > gate->advanced_us ? now_us : gate->advanced_us;
}

/*
 * Opens an operation: empties its list of actions and accounts for the time since the last one.
 * Returns the time to reckon with.
 */
static uint64_t begin(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	now_us = not_before(gate, now_us);
	actions->count = 0;
	gate_account_advance(gate, now_us);
	return now_us;
}

/* Adds an action; an operation decides at most once about each ticket that waited. */
static void actions_add(struct gate_actions *actions, struct gate_ticket *ticket,
			struct gate_verdict verdict)
{
	struct gate_action *action = &actions->list[actions->count++];

	action->ticket = ticket;
	action->verdict = verdict;
}

/* Tells whether a ticket's class is still the one that it was offered for. */
static bool class_is_current(const struct gate *gate, const struct gate_ticket *ticket)
{
	return gate->classes[ticket->class_index].generation == ticket->generation;
}

/* Gives a ticket that waits no more a slot. */
static void start(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us)
{
	gate->in_use++;
	gate->classes[ticket->class_index].running++;
	ticket->state = TICKET_RUNNING;
	ticket->start_us = now_us;
	ticket->beside = gate->in_use;
	gate_order_started(gate, ticket);
	if (gate->in_use >= gate->limit.current)
		limit_note_full(&gate->limit);
}

/* Takes the slot of a running ticket back. */
static void release(struct gate *gate, struct gate_ticket *ticket)
{
	gate->in_use--;
	if (ticket->ahead_of_rank)
		gate->ahead_in_use--;
	if (class_is_current(gate, ticket))
		gate->classes[ticket->class_index].running--;
	ticket->state = TICKET_IDLE;
}

/* Takes a waiting ticket away unrun; its token serves another call. */
static void withdraw(struct gate *gate, struct gate_ticket *ticket)
{
	gate_queue_remove(gate, ticket);
	if (ticket->in_profile)
		profile_refund(&gate->classes[ticket->class_index].profile);
}

/* Refuses a waiting ticket through an action. */
static void refuse(struct gate *gate, struct gate_ticket *ticket, enum call_reason reason,
		   struct gate_actions *actions)
{
	withdraw(gate, ticket);
	gate_tally_refused(gate, ticket, reason);
	actions_add(actions, ticket, verdict_refuse(reason));
}

/* Tells whether a waiting ticket could still be answered by its deadline if it started now. */
static bool can_make_deadline(const struct gate *gate, const struct gate_ticket *ticket,
			      uint64_t wait_us, uint64_t now_us)
{
	const struct gate_class *class = &gate->classes[ticket->class_index];

	return now_us + wait_us + class->service.recent_us < ticket->deadline_us;
}

/* Refuses the tickets of a list that cannot make their deadlines any more. */
static void expire_list(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us,
			struct gate_actions *actions)
{
	while (ticket) {
		struct gate_ticket *next = ticket->next;

		if (!can_make_deadline(gate, ticket, 0, now_us))
			refuse(gate, ticket, REASON_EXPIRED, actions);
		ticket = next;
	}
}

/* Refuses every waiting ticket that cannot make its deadline any more. */
static void expire(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		expire_list(gate, class->in_profile.head, now_us, actions);
		expire_list(gate, class->out_of_profile.head, now_us, actions);
	}
}

/* Refuses all that waits in a class. */
static void refuse_class(struct gate *gate, struct gate_class *class, enum call_reason reason,
			 struct gate_actions *actions)
{
	while (class->in_profile.head)
		refuse(gate, class->in_profile.head, reason, actions);
	while (class->out_of_profile.head)
		refuse(gate, class->out_of_profile.head, reason, actions);
}

/* Refuses all that waits. */
static void refuse_all(struct gate *gate, enum call_reason reason, struct gate_actions *actions)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++)
		refuse_class(gate, &gate->classes[i], reason, actions);
}

/* Tells whether waiting work may be started: a server that drains still gets what had queued. */
static bool may_start(const struct gate *gate)
{
	return gate->state == BACKEND_READY || gate->state == BACKEND_DRAINING;
}

/* Gives the service time of a class to plan with; one that is not known counts as long. */
static uint64_t planned_us(const struct gate_class *class)
{
	return class->service.usual_us ? class->service.usual_us : class->target.latency_us;
}

/* Advises whether a ticket had better start now, by the pace of the host. */
static enum pace_advice advise(const struct gate *gate, const struct gate_ticket *ticket,
			       uint64_t now_us)
{
	return pace_advise(&gate->pace, planned_us(&gate->classes[ticket->class_index]), now_us);
}

/* Refuses the tickets of a list that would rather be elsewhere than wait. */
static void send_on_list(struct gate *gate, struct gate_ticket *ticket,
			 struct gate_actions *actions)
{
	while (ticket) {
		struct gate_ticket *next = ticket->next;

		if (ticket->refuse_to_wait)
			refuse(gate, ticket, REASON_OVERLOAD, actions);
		ticket = next;
	}
}

/* Refuses all waiting tickets that would rather be elsewhere than wait. */
static void send_on(struct gate *gate, struct gate_actions *actions)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		send_on_list(gate, gate->classes[i].in_profile.head, actions);
		send_on_list(gate, gate->classes[i].out_of_profile.head, actions);
	}
}

/* Tells whether a class may fill the slots over the limit. A limit that is fixed keeps some back,
 * since work slows down when nearly all are taken. That costs a short call little, while the wait
 * for a long one to end can cost it its target, and its caller a slot meanwhile. */
static bool may_exceed_limit(const struct gate *gate, const struct gate_class *class)
{
	return gate->slots_used_percent > 0 && gate_order_is_short(gate, class);
}

/* Gives how many slots a class may fill. */
static uint32_t slots_for(const struct gate *gate, const struct gate_class *class)
{
	return may_exceed_limit(gate, class) ? gate->limit.slots : gate->limit.current;
}

/* Tells whether a short call waits that may take a slot over the limit. */
static bool may_start_short(const struct gate *gate)
{
	return gate->slots_used_percent > 0 && gate->in_use < gate->limit.slots &&
	       gate_order_next_short(gate);
}

/* Gives the waiting ticket that may start now, or NULL. */
static struct gate_ticket *next_to_start(struct gate *gate)
{
	if (gate->in_use < gate->limit.current)
		return gate_order_next(gate);
	return may_start_short(gate) ? gate_order_next_short(gate) : NULL;
}

/* Fills free slots with waiting work. */
static void dispatch(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	while (may_start(gate) && gate->queued) {
		struct gate_ticket *ticket = next_to_start(gate);
		enum pace_advice advice;

		if (!ticket)
			return;
		if (!can_make_deadline(gate, ticket, 0, now_us)) {
			refuse(gate, ticket, REASON_EXPIRED, actions);
			continue;
		}
		advice = advise(gate, ticket, now_us);
		if (advice == PACE_ELSEWHERE && ticket->refuse_to_wait) {
			refuse(gate, ticket, REASON_OVERLOAD, actions);
			continue;
		}
		if (advice == PACE_WAIT)
			send_on(gate, actions);
		if (advice == PACE_WAIT || advice == PACE_ASK)
			return;
		gate_queue_remove(gate, ticket);
		start(gate, ticket, now_us);
		actions_add(actions, ticket, verdict_start);
	}
}

/* Makes a gate without configuration and backend server; it refuses all work. */
void gate_init(struct gate *gate, uint64_t now_us)
{
	memset(gate, 0, sizeof(*gate));
	gate->advanced_us = now_us;
	gate->decayed_us = now_us;
}

/* Takes a class away: what waits is refused, what runs finishes without account. */
static void remove_class(struct gate *gate, struct gate_class *class, struct gate_actions *actions)
{
	uint8_t generation = class->generation;

	refuse_class(gate, class, REASON_UNKNOWN_CLASS, actions);
	memset(class, 0, sizeof(*class));
	class->generation = (uint8_t)(generation + 1);
}

/* Takes away the classes that a configuration does not name and updates those that it does. */
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
 * Puts a configuration in force. Classes are matched by name; waiting tickets of a class that is
 * gone are refused, its running tickets finish. Until gate_set_rates the gate enforces the whole
 * calls_per_s by itself.
 */
void gate_set_config(struct gate *gate, const struct service_config *config, uint64_t now_us,
		     struct gate_actions *actions)
{
	uint64_t rates_milli[CLASSES_PER_SERVICE_MAX] = {0};

	now_us = begin(gate, now_us, actions);
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

/*
 * Sets this gate's part of each class's calls_per_s, in thousandths of a call a second, by the
 * index of the class.
 */
void gate_set_rates(struct gate *gate, const uint64_t rates_milli[CLASSES_PER_SERVICE_MAX],
		    uint64_t now_us)
{
	now_us = not_before(gate, now_us);
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (class->active)
			profile_set_rate(&class->profile, rates_milli[i], now_us);
	}
	gate_account_share_floors(gate);
}

/* Starts the limit of a backend server that was not ready before. */
static void start_limit(struct gate *gate, uint32_t slots, uint64_t now_us)
{
	limit_start(&gate->limit, slots, now_us);
	limit_fix(&gate->limit, gate->slots_used_percent);
}

/* Takes the announced slots; a backend server that was not ready before starts cold. */
static void set_slots(struct gate *gate, bool was_serving, uint32_t slots, uint64_t now_us)
{
	if (slots > GATE_SLOTS_MAX)
		slots = GATE_SLOTS_MAX;
	if (!was_serving)
		start_limit(gate, slots, now_us);
	else if (slots != gate->limit.slots)
		limit_set_slots(&gate->limit, slots, now_us);
	gate_account_share_floors(gate);
}

/*
 * Takes the state and the announced slots of the backend server. A draining server gets no new
 * work but still what waits; in any other state but ready, what waits is refused. What runs is
 * left to finish.
 */
void gate_set_backend(struct gate *gate, enum backend_state state, uint32_t slots, uint64_t now_us,
		      struct gate_actions *actions)
{
	bool was_serving = may_start(gate);

	now_us = begin(gate, now_us, actions);
	gate->state = state;
	set_slots(gate, was_serving, slots, now_us);
	if (state == BACKEND_LEAVING)
		refuse_all(gate, REASON_DRAINING, actions);
	else if (!may_start(gate))
		refuse_all(gate, REASON_NO_BACKEND, actions);
	dispatch(gate, now_us, actions);
}

/* Gives the reason to refuse an offer before its class's state counts, or REASON_NONE. */
static enum call_reason find_objection(const struct gate *gate, uint32_t class_index,
				       uint64_t deadline_us, uint64_t now_us)
{
	if (class_index >= CLASSES_PER_SERVICE_MAX || !gate->classes[class_index].active)
		return REASON_UNKNOWN_CLASS;
	if (gate->state == BACKEND_DRAINING || gate->state == BACKEND_LEAVING)
		return REASON_DRAINING;
	if (gate->state != BACKEND_READY || !gate->limit.current)
		return REASON_NO_BACKEND;
	if (deadline_us <= now_us)
		return REASON_EXPIRED;
	return REASON_NONE;
}

/* Fills a ticket that is offered and takes its class's token. */
static void fill_ticket(struct gate *gate, struct gate_ticket *ticket, uint32_t class_index,
			uint64_t deadline_us, uint64_t now_us)
{
	struct gate_class *class = &gate->classes[class_index];

	class->offered++;
	ticket->class_index = (uint8_t)class_index;
	ticket->generation = class->generation;
	ticket->state = TICKET_IDLE;
	ticket->ahead_of_rank = false;
	ticket->arrival_us = now_us;
	ticket->deadline_us = deadline_us;
	ticket->due_us = now_us + class->target.latency_us;
	if (ticket->due_us > deadline_us)
		ticket->due_us = deadline_us;
	ticket->in_profile = profile_take(&class->profile, now_us);
}

/* Queues a ticket, if need be in the place of another; REASON_NONE when it waits now. */
static enum call_reason enqueue(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us,
				struct gate_actions *actions)
{
	if (!can_make_deadline(gate, ticket, gate_order_wait_us(gate, ticket), now_us))
		return REASON_EXPIRED;
	if (gate_queue_is_full(gate, &gate->classes[ticket->class_index])) {
		struct gate_ticket *victim = gate_queue_victim(gate, ticket);

		if (!victim)
			return REASON_OVERLOAD;
		refuse(gate, victim, REASON_OVERLOAD, actions);
	}
	gate_queue_add(gate, ticket);
	return REASON_NONE;
}

/* Tells whether a slot is free for a class. */
static bool may_take_slot(const struct gate *gate, uint32_t class_index)
{
	const struct gate_class *class = &gate->classes[class_index];

	return gate->in_use < slots_for(gate, class) && !headroom_holds_back(gate, class);
}

/* Tells whether a call of a class would be next to start, as soon as the pace of the host allows.
 */
static bool has_room(const struct gate *gate, uint32_t class_index)
{
	const struct gate_class *class = &gate->classes[class_index];

	if (may_exceed_limit(gate, class))
		return gate->in_use + gate_queue_length(class) < gate->limit.slots;
	return gate->in_use + gate->queued < gate->limit.current;
}

/* Takes the decision about a ticket out of the actions; without one the ticket waits. */
static struct gate_verdict take_verdict(struct gate_actions *actions,
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
 * Offers an idle ticket. deadline_us is the caller's, on the clock of now_us. The verdict is about
 * this ticket; the actions are about others.
 */
struct gate_verdict gate_offer(struct gate *gate, struct gate_ticket *ticket, uint32_t class_index,
			       uint64_t deadline_us, uint64_t now_us, struct gate_actions *actions)
{
	enum call_reason reason;
	enum pace_advice advice;
	bool is_good;

	now_us = begin(gate, now_us, actions);
	reason = find_objection(gate, class_index, deadline_us, now_us);
	if (reason != REASON_NONE)
		return verdict_refuse(reason);
	fill_ticket(gate, ticket, class_index, deadline_us, now_us);
	advice = advise(gate, ticket, now_us);
	is_good = advice == PACE_START || (advice == PACE_ELSEWHERE && !ticket->refuse_to_wait);
	if (gate->queued == 0 && may_take_slot(gate, class_index) && is_good) {
		start(gate, ticket, now_us);
		return verdict_start;
	}
	if (ticket->refuse_to_wait &&
	    (!has_room(gate, class_index) || (!is_good && advice != PACE_ASK)))
		reason = REASON_OVERLOAD;
	else
		reason = enqueue(gate, ticket, now_us, actions);
	if (reason == REASON_NONE) {
		dispatch(gate, now_us, actions);
		return take_verdict(actions, ticket);
	}
	if (ticket->in_profile)
		profile_refund(&gate->classes[class_index].profile);
	gate_tally_refused(gate, ticket, reason);
	return verdict_refuse(reason);
}

/* Takes the end of a running ticket and gives its slot on; any other ticket is left as it is. */
void gate_finish(struct gate *gate, struct gate_ticket *ticket, enum gate_result result,
		 uint64_t now_us, struct gate_actions *actions)
{
	now_us = begin(gate, now_us, actions);
	if (ticket->state != TICKET_RUNNING)
		return;
	gate_tally_finished(gate, ticket, result, now_us);
	if (class_is_current(gate, ticket))
		gate_account_result(gate, ticket, result, now_us);
	release(gate, ticket);
	dispatch(gate, now_us, actions);
}

/* Frees the slot or the queue place of a ticket at once; an idle ticket is left as it is. */
void gate_cancel(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us,
		 struct gate_actions *actions)
{
	now_us = begin(gate, now_us, actions);
	if (ticket->state != TICKET_IDLE)
		gate_tally_cancelled(gate, ticket);
	switch ((enum ticket_state)ticket->state) {
	case TICKET_IDLE:
		return;
	case TICKET_WAITING:
		withdraw(gate, ticket);
		break;
	case TICKET_RUNNING:
		release(gate, ticket);
		break;
	}
	dispatch(gate, now_us, actions);
}

/* Moves time on; call it every GATE_TICK_INTERVAL_US. */
void gate_tick(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	now_us = begin(gate, now_us, actions);
	gate_account_share_floors(gate);
	headroom_update(gate);
	expire(gate, now_us, actions);
	dispatch(gate, now_us, actions);
}

/* Takes the pace of the host and starts what waited for it. */
void gate_take_pace(struct gate *gate, uint32_t percent, uint64_t now_us,
		    struct gate_actions *actions)
{
	now_us = begin(gate, now_us, actions);
	pace_seen(&gate->pace, percent, now_us);
	dispatch(gate, now_us, actions);
}

/* Takes that the pace could not be had; nothing waits for it for a while. */
void gate_pace_unknown(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	now_us = begin(gate, now_us, actions);
	pace_probe_failed(&gate->pace, now_us);
	dispatch(gate, now_us, actions);
}

/* Tells whether work with a free slot waits for a figure. */
bool gate_wants_pace(struct gate *gate, uint64_t now_us)
{
	bool has_slot = gate->in_use < gate->limit.current || may_start_short(gate);

	if (gate->queued == 0 || !has_slot || !may_start(gate))
		return false;
	return pace_take_probe(&gate->pace, now_us);
}

/* Gives a value that fits 32 bits. */
static uint32_t saturate(uint64_t value)
{
	return value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
}

/* Gives the load that rides on answers and pongs; it changes no state. */
void gate_get_load(const struct gate *gate, struct gate_load *load)
{
	uint32_t limit = gate->limit.current;
	uint64_t wait_us = 0;

	if (limit && gate->in_use >= limit)
		wait_us = gate->service_us * (gate->queued + 1) / limit;
	load->in_use = gate->in_use;
	load->limit = limit;
	load->queued = gate->queued;
	load->service_time_us = saturate(gate->service_us + gate->penalty_us);
	load->wait_us = saturate(wait_us);
	load->state = (uint8_t)gate->state;
	load->pace_percent = gate->pace.is_used ? gate->pace.percent : 0;
}
