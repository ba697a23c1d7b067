/*
 * Scheduling order of a gate: which waiting attempt gets the next free slot.
 *
 * 1. The class that lags furthest behind its floor, the slot time that is guaranteed to it. The
 *    number of slots that may be taken this way ahead of more urgent in-profile work is bounded.
 * 2. In-profile work by rank and due time.
 * 3. Out-of-profile work (the surplus), independent of rank: fair queueing, weighted by the slots
 *    that the configured rate of each class needs.
 */
#include "fescuemill/decide/gate_order.h"

#include "fescuemill/decide/gate_queue.h"
#include "fescuemill/decide/gate_rate.h"
#include "fescuemill/decide/headroom.h"

#include <stddef.h>

/* Returns true if a is served before b. Both must have in-profile work. */
static bool is_before(const struct gate_class *a, const struct gate_class *b, uint64_t now_us)
{
	if (a->target.rank != b->target.rank)
		return a->target.rank < b->target.rank;
	return gate_queue_next_in_profile(a, now_us)->due_us <
	       gate_queue_next_in_profile(b, now_us)->due_us;
}

/* Returns the most urgent class with in-profile work, or NULL. */
static struct gate_class *find_most_urgent(struct gate *gate)
{
	struct gate_class *best = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (class->in_profile.head &&
		    (!best || is_before(class, best, gate->accounted_until_us)))
			best = class;
	}
	return best;
}

/* Returns true if a class's calls are short enough to be allowed a slot beyond the limit. */
bool gate_order_is_short(const struct gate *gate, const struct gate_class *class)
{
	return class->service.recent_mean_us > 0 &&
	       class->service.recent_mean_us * GATE_SHORT_DIVISOR <= gate->service_us;
}

/* Returns the next in-profile ticket of the most urgent class of short calls, or NULL. */
struct gate_ticket *gate_order_next_short(const struct gate *gate)
{
	const struct gate_class *best = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (class->in_profile.head && gate_order_is_short(gate, class) &&
		    (!best || is_before(class, best, gate->accounted_until_us)))
			best = class;
	}
	return best ? gate_queue_next_in_profile(best, gate->accounted_until_us) : NULL;
}

/* Returns the class that lags furthest behind its floor, or NULL if none needs service for it. */
static struct gate_class *find_furthest_behind(struct gate *gate)
{
	struct gate_class *best = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (!gate_queue_length(class) ||
		    !floor_needs_service(&class->floor, class->running))
			continue;
		if (!best || floor_lag_us(&class->floor) > floor_lag_us(&best->floor))
			best = class;
	}
	return best;
}

/* Returns the class with the lowest virtual time that has out-of-profile work, or NULL. */
static struct gate_class *find_next_surplus(struct gate *gate)
{
	struct gate_class *best = NULL;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (!class->out_of_profile.head || headroom_blocks_class(gate, class))
			continue;
		if (!best || class->surplus_virtual_us < best->surplus_virtual_us)
			best = class;
	}
	return best;
}

/* Returns the virtual time by which one attempt of a class advances the class. */
static uint64_t virtual_cost_us(const struct gate_class *class)
{
	uint64_t service_us = class->service.recent_mean_us ? class->service.recent_mean_us : 1;
	uint64_t need = class->floor.need_micro ? class->floor.need_micro : 1;

	return service_us * SLOT_MICRO / need;
}

/* Returns true if starting this ticket would bypass more urgent in-profile work. */
static bool bypasses_urgent(const struct gate *gate, const struct gate_ticket *ticket,
			    const struct gate_class *urgent)
{
	if (!urgent)
		return false;
	return !ticket->in_profile ||
	       gate->classes[ticket->class_index].target.rank > urgent->target.rank;
}

/* Returns true if a class may be served for its floor ahead of more urgent work. Floors are slot
 * time, which a cold server cannot give: all classes would lag, and urgent calls would get no more
 * than the others. */
static bool may_bypass_urgent(const struct gate *gate)
{
	return gate->bypass_in_use < floor_bypass_slots_max(gate->limit.current) &&
	       !cold_is_limiting(&gate->cold, gate->accounted_until_us);
}

/* Returns the waiting ticket that gets the next free slot, or NULL if none may take it. */
struct gate_ticket *gate_order_next(struct gate *gate)
{
	struct gate_class *urgent = find_most_urgent(gate);
	struct gate_class *behind = find_furthest_behind(gate);
	struct gate_class *surplus;

	if (behind) {
		struct gate_ticket *ticket = gate_queue_next(behind, gate->accounted_until_us);

		ticket->bypassed_urgent = bypasses_urgent(gate, ticket, urgent);
		if (!ticket->bypassed_urgent || may_bypass_urgent(gate))
			return ticket;
		ticket->bypassed_urgent = false;
	}
	if (urgent && headroom_blocks_class(gate, urgent))
		return NULL;
	if (urgent)
		return gate_queue_next_in_profile(urgent, gate->accounted_until_us);
	surplus = find_next_surplus(gate);
	return surplus ? surplus->out_of_profile.tail : NULL;
}

/* Updates bypass slots and virtual times for a ticket that was started. */
void gate_order_started(struct gate *gate, const struct gate_ticket *ticket)
{
	struct gate_class *class = &gate->classes[ticket->class_index];

	if (ticket->bypassed_urgent)
		gate->bypass_in_use++;
	if (ticket->in_profile)
		return;
	if (class->surplus_virtual_us < gate->surplus_virtual_us)
		class->surplus_virtual_us = gate->surplus_virtual_us;
	gate->surplus_virtual_us = class->surplus_virtual_us;
	class->surplus_virtual_us += virtual_cost_us(class);
}

/* Returns true if the in-profile work of a class is served before a ticket. */
static bool comes_before(const struct gate *gate, const struct gate_class *class,
			 const struct gate_ticket *ticket)
{
	return !ticket->in_profile ||
	       class->target.rank <= gate->classes[ticket->class_index].target.rank;
}

/*
 * Returns the expected wait of a ticket if it were queued now, in microseconds. Counts in-profile
 * work that is served before it, and half a service time until the next slot becomes free, or the
 * time until the rate that the backend server states allows it to start, if that is longer.
 */
uint64_t gate_order_wait_us(const struct gate *gate, const struct gate_ticket *ticket,
			    uint64_t now_us)
{
	uint32_t limit = gate->limit.current ? gate->limit.current : 1;
	uint64_t before_us = gate->service_us / 2;
	uint32_t before = 0;
	uint64_t slot_us;
	uint64_t rate_us;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (!class->in_profile.count || !comes_before(gate, class, ticket))
			continue;
		before += class->in_profile.count;
		before_us += class->in_profile.count * class->service.recent_mean_us;
	}
	slot_us = before_us / limit;
	rate_us = gate_rate_wait_us(gate, before, now_us);
	return rate_us > slot_us ? rate_us : slot_us;
}
