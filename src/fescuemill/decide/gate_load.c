/*
 * Load of a gate, as it is reported to entries.
 */
#include "fescuemill/decide/gate.h"
#include "fescuemill/decide/gate_rate.h"

/* Returns a value, or UINT32_MAX if it is larger. */
static uint32_t saturate(uint64_t value)
{
	return value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
}

/* Returns how many more calls a cold server takes now, besides those that wait already. */
static uint16_t free_room(const struct gate *gate, uint64_t now_us)
{
	uint32_t room = cold_room(&gate->cold, now_us);

	room = room > gate->queued ? room - gate->queued : 0;
	return room < UINT16_MAX ? (uint16_t)room : UINT16_MAX;
}

/* Stores the load of the gate, as reported to entries with every answer and pong. */
void gate_get_load(const struct gate *gate, struct gate_load *load)
{
	uint32_t limit = gate->limit.current;
	uint64_t now_us = gate->accounted_until_us;
	uint64_t wait_us = gate_rate_wait_us(gate, gate->queued, now_us);
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
	load->rate_limit_milli = gate_rate_milli(gate, now_us);
	load->has_cold_room = cold_is_limiting(&gate->cold, now_us);
	load->cold_room = load->has_cold_room ? free_room(gate, now_us) : 0;
}
