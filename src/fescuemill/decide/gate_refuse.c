/*
 * Gate refusals: refuses waiting tickets that no longer have a chance, or a better one elsewhere.
 */
#include "fescuemill/decide/gate_refuse.h"

#include "fescuemill/decide/gate_order.h"
#include "fescuemill/decide/gate_queue.h"
#include "fescuemill/decide/gate_rate.h"
#include "fescuemill/decide/gate_tally.h"

/* Adds an action. There is room: an operation decides each waiting ticket at most once. */
void gate_actions_add(struct gate_actions *actions, struct gate_ticket *ticket,
		      struct gate_verdict verdict)
{
	struct gate_action *action = &actions->list[actions->count++];

	action->ticket = ticket;
	action->verdict = verdict;
}

/* Removes a waiting ticket without running it and puts its profile token back for other calls. */
void gate_remove_waiting(struct gate *gate, struct gate_ticket *ticket)
{
	gate_queue_remove(gate, ticket);
	if (ticket->in_profile)
		profile_refund(&gate->classes[ticket->class_index].profile);
}

/* Refuses a waiting ticket and adds an action for it. */
void gate_refuse_waiting(struct gate *gate, struct gate_ticket *ticket, enum call_reason reason,
			 struct gate_actions *actions)
{
	gate_remove_waiting(gate, ticket);
	gate_tally_refused(gate, ticket, reason);
	gate_actions_add(actions, ticket, (struct gate_verdict){GATE_REFUSE, reason});
}

/* Returns true if a ticket that starts after wait_us is expected to meet its deadline. */
bool gate_can_make_deadline(const struct gate *gate, const struct gate_ticket *ticket,
			    uint64_t wait_us, uint64_t now_us)
{
	const struct gate_class *class = &gate->classes[ticket->class_index];

	return now_us + wait_us + class->service.recent_mean_us < ticket->deadline_us;
}

/* Refuses the tickets of a list that can no longer meet their deadlines. */
static void refuse_expired_list(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us,
				struct gate_actions *actions)
{
	while (ticket) {
		struct gate_ticket *next = ticket->next;

		if (!gate_can_make_deadline(gate, ticket, 0, now_us))
			gate_refuse_waiting(gate, ticket, REASON_EXPIRED, actions);
		ticket = next;
	}
}

/* Refuses all waiting tickets that can no longer meet their deadlines. */
void gate_refuse_expired(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		refuse_expired_list(gate, class->in_profile.head, now_us, actions);
		refuse_expired_list(gate, class->out_of_profile.head, now_us, actions);
	}
}

/* Refuses all waiting tickets of a class. */
void gate_refuse_class(struct gate *gate, struct gate_class *class, enum call_reason reason,
		       struct gate_actions *actions)
{
	while (class->in_profile.head)
		gate_refuse_waiting(gate, class->in_profile.head, reason, actions);
	while (class->out_of_profile.head)
		gate_refuse_waiting(gate, class->out_of_profile.head, reason, actions);
}

/* Refuses all waiting tickets. */
void gate_refuse_all(struct gate *gate, enum call_reason reason, struct gate_actions *actions)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++)
		gate_refuse_class(gate, &gate->classes[i], reason, actions);
}

/* Returns true if a ticket that is expected to wait this long is to be refused, as it is expected
 * to be served sooner by another gate. */
bool gate_exceeds_wait_limit(const struct gate_ticket *ticket, uint64_t wait_us)
{
	return ticket->has_wait_limit && wait_us > ticket->wait_max_us;
}

/* Refuses the tickets of a list that must not wait for the end of a slowdown of the host. */
static void refuse_wait_limited_list(struct gate *gate, struct gate_ticket *ticket,
				     struct gate_actions *actions)
{
	while (ticket) {
		struct gate_ticket *next = ticket->next;

		if (gate_exceeds_wait_limit(ticket, SLOWDOWN_EXPECTED_US))
			gate_refuse_waiting(gate, ticket, REASON_OVERLOAD, actions);
		ticket = next;
	}
}

/* Refuses all waiting tickets that must not wait for the end of a slowdown of the host. */
void gate_refuse_wait_limited(struct gate *gate, struct gate_actions *actions)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		refuse_wait_limited_list(gate, gate->classes[i].in_profile.head, actions);
		refuse_wait_limited_list(gate, gate->classes[i].out_of_profile.head, actions);
	}
}

/* Refuses the waiting tickets of a list that would wait too long for a server that has become cold,
 * the last ones first. */
static void refuse_cold_list(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us,
			     struct gate_actions *actions)
{
	while (ticket) {
		struct gate_ticket *prev = ticket->prev;

		if (gate_exceeds_wait_limit(ticket, gate_order_wait_us(gate, ticket, now_us)))
			gate_refuse_waiting(gate, ticket, REASON_COLD, actions);
		ticket = prev;
	}
}

/* Refuses the waiting tickets that are expected to be served sooner by other gates when the server
 * becomes cold. */
void gate_refuse_if_turned_cold(struct gate *gate, uint64_t now_us, struct gate_actions *actions)
{
	if (!gate_rate_has_turned_cold(gate, now_us))
		return;
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		refuse_cold_list(gate, gate->classes[i].out_of_profile.tail, now_us, actions);
		refuse_cold_list(gate, gate->classes[i].in_profile.tail, now_us, actions);
	}
}
