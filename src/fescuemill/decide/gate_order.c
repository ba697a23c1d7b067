/*
 * Order of a gate: which waiting attempt gets the next free slot.
 *
 * First a class that lags behind its floor, within a bound on the slots that such work may hold
 * while more urgent work in profile waits; then work in profile by rank and due time; then work
 * out of profile, whose rank counts no more, shared among classes by what their stated amounts
 * need.
 */
#include "fescuemill/decide/gate_order.h"

#include "fescuemill/decide/gate_queue.h"
#include "fescuemill/decide/headroom.h"

#include <stddef.h>

/* Tells whether a is served before b when both have work in profile. */
static bool is_before(const struct gate_class *a, const struct gate_class *b, uint64_t now_us)
{
	if (a->target.rank != b->target.rank)
		return a->target.rank < b->target.rank;
	return gate_queue_next_in_profile(a, now_us)->due_us <
	       gate_queue_next_in_profile(b, now_us)->due_us;
}

/* Gives the most urgent class with work in profile, or NULL. */
static struct gate_class *find_urgent(struct gate *gate)
{
	struct gate_class *best = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (class->in_profile.head && (!best || is_before(class, best, gate->advanced_us)))
			best = class;
	}
	return best;
}

/* Tells whether a class's calls are so short that they may take a slot over the limit. */
bool gate_order_is_short(const struct gate *gate, const struct gate_class *class)
{
	return class->service.recent_us > 0 &&
	       class->service.recent_us * GATE_SHORT_DIVISOR <= gate->service_us;
}

/* Gives the waiting ticket of the most urgent class of short calls with work in profile, or NULL.
 */
struct gate_ticket *gate_order_next_short(const struct gate *gate)
{
	const struct gate_class *best = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (class->in_profile.head && gate_order_is_short(gate, class) &&
		    (!best || is_before(class, best, gate->advanced_us)))
			best = class;
	}
	return best ? gate_queue_next_in_profile(best, gate->advanced_us) : NULL;
}

/* Gives the class that lags furthest behind its floor, or NULL when none is owed. */
static struct gate_class *find_owed(struct gate *gate)
{
	struct gate_class *best = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (!gate_queue_length(class) || !floor_is_owed(&class->floor, class->running))
			continue;
		if (!best || floor_lag_us(&class->floor) > floor_lag_us(&best->floor))
			best = class;
	}
	return best;
}

/* Gives the class whose turn it is among those with work out of profile, or NULL. */
static struct gate_class *find_surplus(struct gate *gate)
{
	struct gate_class *best = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (!class->out_of_profile.head || headroom_holds_back(gate, class))
			continue;
		if (!best || class->surplus_us < best->surplus_us)
			best = class;
	}
	return best;
}

/* Gives the virtual time that one attempt of a class takes of its share of the surplus. */
static uint64_t surplus_cost_us(const struct gate_class *class)
{
	uint64_t service_us = class->service.recent_us ? class->service.recent_us : 1;
	uint64_t need = class->floor.need_micro ? class->floor.need_micro : 1;

	return service_us * SLOT_MICRO / need;
}

/* Tells whether a start of this ticket would pass over more urgent work in profile. */
static bool is_ahead(const struct gate *gate, const struct gate_ticket *ticket,
		     const struct gate_class *urgent)
{
	if (!urgent)
		return false;
	return !ticket->in_profile ||
	       gate->classes[ticket->class_index].target.rank > urgent->target.rank;
}

/* Gives the waiting ticket that gets the next free slot, or NULL when none may have it. */
struct gate_ticket *gate_order_next(struct gate *gate)
{
	struct gate_class *urgent = find_urgent(gate);
	struct gate_class *owed = find_owed(gate);
	struct gate_class *surplus;

	if (owed) {
		struct gate_ticket *ticket = gate_queue_next(owed, gate->advanced_us);

		ticket->ahead_of_rank = is_ahead(gate, ticket, urgent);
		if (!ticket->ahead_of_rank || gate->ahead_in_use < floor_slots(gate->limit.current))
			return ticket;
		ticket->ahead_of_rank = false;
	}
	if (urgent && headroom_holds_back(gate, urgent))
		return NULL;
	if (urgent)
		return gate_queue_next_in_profile(urgent, gate->advanced_us);
	surplus = find_surplus(gate);
	return surplus ? surplus->out_of_profile.tail : NULL;
}

/* Takes the start of a ticket that was next into account. */
void gate_order_started(struct gate *gate, const struct gate_ticket *ticket)
{
	struct gate_class *class = &gate->classes[ticket->class_index];

	if (ticket->ahead_of_rank)
		gate->ahead_in_use++;
	if (ticket->in_profile)
		return;
	if (class->surplus_us < gate->surplus_us)
		class->surplus_us = gate->surplus_us;
	gate->surplus_us = class->surplus_us;
	class->surplus_us += surplus_cost_us(class);
}

/* Tells whether the work in profile of a class is served before a ticket. */
static bool comes_before(const struct gate *gate, const struct gate_class *class,
			 const struct gate_ticket *ticket)
{
	return !ticket->in_profile ||
	       class->target.rank <= gate->classes[ticket->class_index].target.rank;
}

/* Gives the expected wait of a ticket that would be queued now, in microseconds. */
uint64_t gate_order_wait_us(const struct gate *gate, const struct gate_ticket *ticket)
{
	uint32_t limit = gate->limit.current ? gate->limit.current : 1;
	uint64_t before_us = gate->service_us / 2;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (class->in_profile.count && comes_before(gate, class, ticket))
			before_us += class->in_profile.count * class->service.recent_us;
	}
	return before_us / limit;
}
