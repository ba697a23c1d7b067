/*
 * Headroom: which classes leave the last free slot to others.
 *
 * Long calls of a less urgent class can hold every slot for longer than an urgent call has time.
 * Such a class leaves one slot free, if those that use it keep it busy enough that the idle rest
 * costs little.
 */
#include "fescuemill/decide/headroom.h"

#include <math.h>

/* Tells whether a class's calls, on every slot, would make an urgent one miss its target. */
static bool blocks(const struct gate_class *class, const struct gate_class *urgent, uint32_t limit)
{
	uint64_t next_free_us = class->service.steady_us / limit;

	return urgent->active && urgent->profile.rate_milli &&
	       urgent->target.rank < class->target.rank &&
	       next_free_us + urgent->service.steady_us > urgent->target.latency_us;
}

/* Tells whether a class's calls are too long for any more urgent class. */
static bool blocks_any(const struct gate *gate, const struct gate_class *class)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		if (blocks(class, &gate->classes[i], gate->limit.current))
			return true;
	}
	return false;
}

/* Smooths the slots that a class runs on. */
static void follow_busy(struct gate_class *class)
{
	class->busy_micro =
		(class->busy_micro * (HEADROOM_SMOOTH_TICKS - 1) + class->running * SLOT_MICRO) /
		HEADROOM_SMOOTH_TICKS;
}

/*
 * Gives how many slots may be kept for work of a mean load. Of h slots, random arrivals of a mean
 * of m at once leave idle the sum over k < h of P(at most k).
 */
static uint32_t affordable(uint64_t busy_micro, uint32_t limit)
{
	double mean = (double)busy_micro / SLOT_MICRO;
	double most_idle = (double)limit * HEADROOM_COST_PERMILLE / 1000;
	double exactly = exp(-mean);
	double at_most = exactly;
	double idle = at_most;
	uint32_t slots = 0;

	while (idle <= most_idle && slots + 1 < limit) {
		slots++;
		exactly *= mean / slots;
		at_most += exactly;
		idle += at_most;
	}
	return slots;
}

/* Works out anew which classes leave headroom; call it at every tick. */
void headroom_update(struct gate *gate)
{
	uint64_t others_micro = 0;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (!class->active)
			continue;
		follow_busy(class);
		class->leaves_headroom = gate->limit.current > 1 && blocks_any(gate, class);
		if (!class->leaves_headroom)
			others_micro += class->busy_micro;
	}
	gate->headroom = affordable(others_micro, gate->limit.current);
}

/* Tells whether a class may not take a slot now, although one is free. */
bool headroom_holds_back(const struct gate *gate, const struct gate_class *class)
{
	uint32_t running = 0;

	if (!class->leaves_headroom || !gate->headroom)
		return false;
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		if (gate->classes[i].leaves_headroom)
			running += gate->classes[i].running;
	}
	return running + gate->headroom >= gate->limit.current;
}
