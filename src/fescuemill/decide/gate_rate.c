/*
 * Gate rate: the rates that hold back the starts of calls, and the parts of the classes' rates.
 */
#include "fescuemill/decide/gate_rate.h"

#include "fescuemill/decide/gate.h"
#include "fescuemill/decide/gate_account.h"

/* Returns now_us, or the time of the latest operation if that is later. */
static uint64_t clamp_to_last_operation(const struct gate *gate, uint64_t now_us)
{
	return now_us > gate->accounted_until_us ? now_us : gate->accounted_until_us;
}

/* Returns true if the rates let a call start now. */
bool gate_rate_allows(struct gate *gate, uint64_t now_us)
{
	return rate_limit_allows(&gate->rate, now_us) && cold_allows(&gate->cold, now_us);
}

/* Counts a call that starts. */
void gate_rate_take(struct gate *gate, uint64_t now_us)
{
	rate_limit_take(&gate->rate, now_us);
	cold_take(&gate->cold, now_us);
}

/* Returns how long the rates hold back a call with `ahead` others before it. */
uint64_t gate_rate_wait_us(const struct gate *gate, uint32_t ahead, uint64_t now_us)
{
	uint64_t stated_us = rate_limit_wait_us(&gate->rate, ahead, now_us);
	uint64_t cold_us = cold_wait_us(&gate->cold, ahead, now_us);

	return stated_us > cold_us ? stated_us : cold_us;
}

/* Returns the lowest rate in force. */
uint32_t gate_rate_milli(const struct gate *gate, uint64_t now_us)
{
	uint32_t rate_milli = gate->rate.is_set ? gate->rate.rate_milli : 0;

	if (!cold_is_limiting(&gate->cold, now_us))
		return rate_milli;
	return rate_milli && rate_milli < gate->cold.rate_milli ? rate_milli
								: gate->cold.rate_milli;
}

/* Returns the reason to give to a ticket that is refused for the usual reason: that the server is
 * cold, if that holds it back and another gate is expected to serve it sooner. */
enum call_reason gate_rate_refusal(const struct gate *gate, const struct gate_ticket *ticket,
				   enum call_reason usual, uint64_t now_us)
{
	if (usual == REASON_NONE || !ticket->has_wait_limit)
		return usual;
	return cold_wait_us(&gate->cold, gate->queued, now_us) > 0 ? REASON_COLD : usual;
}

/* Returns true at the first call after the server became cold. */
bool gate_rate_has_turned_cold(struct gate *gate, uint64_t now_us)
{
	bool was_cold = gate->was_cold;

	gate->was_cold = cold_is_limiting(&gate->cold, now_us);
	return gate->was_cold && !was_cold;
}

/* Holds the calls that start to the rate that the backend server states. */
void gate_set_rate_limit(struct gate *gate, uint32_t rate_milli, uint64_t now_us)
{
	rate_limit_set(&gate->rate, rate_milli, clamp_to_last_operation(gate, now_us));
}

/*
 * Sets this gate's part of each class's calls_per_s, in thousandths of a call per second, indexed
 * by class.
 */
void gate_set_rates(struct gate *gate, const uint64_t rates_milli[CLASSES_PER_SERVICE_MAX],
		    uint64_t now_us)
{
	now_us = clamp_to_last_operation(gate, now_us);
	for (uint32_t i = 0; i < CLASSES_PER_SERVICE_MAX; i++) {
		struct gate_class *class = &gate->classes[i];

		if (class->active)
			profile_set_rate(&class->profile, rates_milli[i], now_us);
	}
	gate_account_update_floors(gate);
}
