/*
 * Gate slots: which slots a class may use. A limit leaves some of the announced slots free; calls
 * that are short, or that find too few slots, may go beyond it.
 */
#include "fescuemill/decide/gate_slots.h"

#include "fescuemill/decide/gate_order.h"
#include "fescuemill/decide/gate_queue.h"
#include "fescuemill/decide/headroom.h"

/*
 * Returns true if a class may use slots beyond the limit. A fixed limit keeps some slots free,
 * since work slows down when nearly all of them are in use. That slowdown costs a short call
 * little, but waiting for a long call to finish can cost it its latency target, and occupies a slot
 * of its caller meanwhile.
 */
static bool may_exceed_limit(const struct gate *gate, const struct gate_class *class)
{
	return gate->slots_used_percent > 0 && gate_order_is_short(gate, class);
}

/* Returns the number of slots in use, by all classes, up to which a class may start attempts. */
static uint32_t class_slots_max(const struct gate *gate, const struct gate_class *class)
{
	return may_exceed_limit(gate, class) ? gate->limit.slots : gate->limit.current;
}

/* Returns true if there is a free slot that a class may take. */
bool gate_slots_has_free(const struct gate *gate, uint32_t class_index)
{
	const struct gate_class *class = &gate->classes[class_index];

	return gate->in_use < class_slots_max(gate, class) && !headroom_blocks_class(gate, class);
}

/*
 * Has the slots that a fixed limit leaves free tried, if attempts wait for about half a service
 * time. One that merely finds no free slot may find one at another gate.
 */
void gate_slots_try_all(struct gate *gate, uint64_t now_us)
{
	if (gate->limit.fixed_percent == 0 || gate->in_use < gate->limit.current ||
	    gate->queued * 2 < gate->limit.current)
		return;
	saturation_slots_are_short(&gate->saturation, now_us);
	limit_use_all(&gate->limit, gate->saturation.uses_all);
}

/*
 * Returns true if there is a slot for another call of a class besides those waiting before it, so
 * that it waits for nothing but the slowdown of the host.
 */
bool gate_slots_has_room(const struct gate *gate, uint32_t class_index)
{
	const struct gate_class *class = &gate->classes[class_index];

	if (may_exceed_limit(gate, class))
		return gate->in_use + gate_queue_length(class) < gate->limit.slots;
	return gate->in_use + gate->queued < gate->limit.current;
}
