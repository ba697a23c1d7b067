/*
 * Load of a gate, as it is reported to entries.
 */
#include "fescuemill/decide/gate.h"

/* Returns a value, or UINT32_MAX if it is larger. */
static uint32_t saturate(uint64_t value)
{
	return value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
}

/* Stores the load of the gate, as reported to entries with every answer and pong. */
void gate_get_load(const struct gate *gate, struct gate_load *load)
{
	uint32_t limit = gate->limit.current;
	uint64_t wait_us = rate_limit_wait_us(&gate->rate, gate->queued, gate->accounted_until_us);
	uint64_t slot_us = 0;

	if (limit && gate->in_use >= limit)
		slot_us = gate->service_us * (gate->queued + 1) / limit;
	if (slot_us > wait_us)
		wait_us = slot_us;
	load->in_use = gate->in_use;
	load->limit = limit;
	load->queued = gate->queued;
	load->service_time_us = saturate(gate->service_us + gate->penalty_us);
	load->wait_us = saturate(wait_us);
	load->state = (uint8_t)gate->state;
	load->slowdown_percent = gate->slowdown.is_enabled ? gate->slowdown.percent : 0;
	load->rate_limit_milli = gate->rate.is_set ? gate->rate.rate_milli : 0;
}
