/*
 * Cold: a backend server that bears only a part of its calls for a while.
 */
#include "standin/backend/cold.h"

#include "fescuemill/base/clock.h"

#include <stdbool.h>
#include <stdlib.h>

#define ARRIVALS_MAX	8192 /* arrivals within a second that are counted */
#define EXIT_CODE_CRASH 70

static struct {
	bool states;	     /* it says in heartbeats and on its health path whether it is cold */
	uint64_t until_us;   /* monotonic */
	uint32_t bear_per_s; /* it crashes above this; 0: never */
	uint32_t worst;
	uint64_t arrivals_us[ARRIVALS_MAX]; /* while cold; a ring */
	uint64_t first;			    /* number of the oldest arrival within a second */
	uint64_t next;			    /* number of the next arrival */
} cold;

/* Makes the server cold for a time. */
void cold_begin(uint64_t ms)
{
	cold.states = true;
	cold.until_us = clock_monotonic_us() + ms * USEC_PER_MSEC;
}

/* Applies the settings of a control message that concern a cold server. */
void cold_control(const json_t *body)
{
	const json_t *value;

	if ((value = json_object_get(body, "crash_per_s")))
		cold.bear_per_s = (uint32_t)json_integer_value(value);
	if ((value = json_object_get(body, "states_cold_ms")))
		cold_begin((uint64_t)json_integer_value(value));
}

/* Counts a call that arrives. */
void cold_count_call(void)
{
	uint64_t now_us = clock_monotonic_us();

	if (now_us >= cold.until_us)
		return;
	while (cold.first < cold.next &&
	       (cold.arrivals_us[cold.first % ARRIVALS_MAX] + USEC_PER_SEC <= now_us ||
		cold.next - cold.first == ARRIVALS_MAX))
		cold.first++;
	cold.arrivals_us[cold.next++ % ARRIVALS_MAX] = now_us;
	if (cold.next - cold.first > cold.worst)
		cold.worst = (uint32_t)(cold.next - cold.first);
	if (cold.bear_per_s > 0 && cold.next - cold.first > cold.bear_per_s)
		_Exit(EXIT_CODE_CRASH);
}

/* Returns how long the server remains cold, in milliseconds; -1 if it does not state it. */
int64_t cold_left_stated_ms(void)
{
	uint64_t now_us = clock_monotonic_us();

	if (!cold.states)
		return -1;
	return now_us < cold.until_us ? (int64_t)((cold.until_us - now_us) / USEC_PER_MSEC) + 1 : 0;
}

/* Returns the most calls that arrived within a second while the server was cold. */
uint32_t cold_worst_second(void)
{
	return cold.worst;
}
