/*
 * Headroom: slots that classes of long calls leave free for other classes.
 *
 * Long calls of a less urgent class could occupy every slot for longer than an urgent call's
 * latency target allows. Such classes leave some slots free. How many depends on the load of the
 * other classes: on average, at most HEADROOM_COST_PERMILLE of the limit may be idle for it.
 */
#include "fescuemill/decide/headroom.h"

#include <math.h>

/*
 * Returns true if a class's calls on every slot would make a more urgent class miss its latency
 * target, by waiting for a slot to become free.
 */
static bool delays_urgent(const struct gate_class *class, const struct gate_class *urgent,
			  uint32_t limit)
{
	uint64_t next_free_us = class->service.steady_mean_us / limit;

	return urgent->active && urgent->profile.rate_milli &&
	       urgent->target.rank < class->target.rank &&
	       next_free_us + urgent->service.steady_mean_us > urgent->target.latency_us;
}

/* Returns true if delays_urgent holds for any of the gate's classes. */
static bool delays_any_urgent(const struct gate *gate, const struct gate_class *class)
{
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		if (delays_urgent(class, &gate->classes[i], gate->limit.current))
			return true;
	}
	return false;
}

/* Updates the smoothed count of a class's running attempts; called once a tick. */
static void update_mean_running(struct gate_class *class)
{
	class->mean_running_micro = (class->mean_running_micro * (HEADROOM_SMOOTH_TICKS - 1) +
				     class->running * SLOT_MICRO) /
				    HEADROOM_SMOOTH_TICKS;
}

/*
 * Returns how many slots can be reserved for classes that run on a mean of mean_running_micro
 * millionths of a slot, without more idle slots than HEADROOM_COST_PERMILLE of the limit. With a
 * Poisson number of running attempts of mean m, the mean number of idle slots among h reserved ones
 * is the sum over k < h of P(at most k are running).
 */
static uint32_t affordable_slots(uint64_t mean_running_micro, uint32_t limit)
{
	double mean = (double)mean_running_micro / SLOT_MICRO;
	double most_idle = (double)limit * HEADROOM_COST_PERMILLE / 1000;
	double p_equal = exp(-mean);
	double p_at_most = p_equal;
	double idle = p_at_most;
	uint32_t slots = 0;

	while (idle <= most_idle && slots + 1 < limit) {
		slots++;
		p_equal *= mean / slots;
		p_at_most += p_equal;
		idle += p_at_most;
	}
	return slots;
}

/* Recomputes which classes leave headroom, and how much. Must be called at every tick. */
void headroom_update(struct gate *gate)
{
	uint64_t others_micro = 0;

	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (!class->active)
			continue;
		update_mean_running(class);
		class->leaves_headroom = gate->limit.current > 1 && delays_any_urgent(gate, class);
		if (!class->leaves_headroom)
			others_micro += class->mean_running_micro;
	}
	gate->headroom = affordable_slots(others_micro, gate->limit.current);
}

/* Returns true if headroom forbids a class to take a slot now, although one is free. */
bool headroom_blocks_class(const struct gate *gate, const struct gate_class *class)
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
