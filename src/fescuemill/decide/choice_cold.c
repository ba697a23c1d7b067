/*
 * Use of the room at gates whose backend server is cold.
 *
 * All entries share what a cold server takes, and none knows what the others send. An entry uses
 * the room that was last reported to it. Once that is used up, it tries again after a while, and
 * the longer the more often it then finds no room: refusals stay few, and the room is still filled.
 */
#include "fescuemill/decide/choice_cold.h"

#define HOLD_US_MIN	 50000U	  /* a few calls at a rate of tens a second */
#define CALL_INTERVAL_US 1e9F	  /* between two calls at a rate of one in 1000 s */
#define HOLD_US_MAX	 1600000U /* servers are cold for tens of seconds */

/* Records the room that a gate reports. */
void choice_cold_record(struct choice_gate *gate, const struct gate_load *load)
{
	uint32_t hold_us = gate->cold_hold_us;

	gate->has_cold_room = load->has_cold_room;
	gate->cold_room = load->cold_room;
	if (!load->has_cold_room || hold_us < HOLD_US_MIN)
		hold_us = HOLD_US_MIN;
	else if (load->cold_room > 0)
		hold_us /= 2;
	else if (gate->sent_since_load > 0)
		hold_us *= 2;
	if (hold_us < HOLD_US_MIN)
		hold_us = HOLD_US_MIN;
	gate->cold_hold_us = hold_us < HOLD_US_MAX ? hold_us : HOLD_US_MAX;
}

/* Returns true if the cold server of a gate is not expected to take another call now: what it takes
 * was sent since the last report, and that report still holds. */
bool choice_cold_is_used_up(const struct choice_gate *gate, uint64_t now_us)
{
	return gate->has_cold_room && gate->sent_since_load >= gate->cold_room &&
	       now_us < gate->load_observed_us + gate->cold_hold_us;
}

/* Returns the expected wait for room: what is left of the wait that was reported, which other
 * entries are not known to prolong, and the time that each attempt sent beyond the room since takes
 * up. */
float choice_cold_wait_us(const struct choice_gate *gate, uint64_t now_us)
{
	uint64_t room_us = gate->load_observed_us + gate->wait_us;
	float wait_us = room_us > now_us ? (float)(room_us - now_us) : 0;

	if (gate->sent_since_load > gate->cold_room && gate->rate_limit_milli > 0)
		wait_us += (float)(gate->sent_since_load - gate->cold_room) * CALL_INTERVAL_US /
			   (float)gate->rate_limit_milli;
	return wait_us;
}
