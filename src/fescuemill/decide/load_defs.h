/*
 * Load of a gate, as reported to entries with every answer and pong.
 */
#ifndef FESCUEMILL_DECIDE_LOAD_DEFS_H
#define FESCUEMILL_DECIDE_LOAD_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/* State of a gate when the answer or pong was sent. */
struct gate_load {
	uint32_t in_use;	   /* slots in use */
	uint32_t limit;		   /* slots that the gate currently allows in use */
	uint32_t queued;	   /* waiting attempts */
	uint32_t service_time_us;  /* smoothed; failures count as missed targets */
	uint32_t wait_us;	   /* expected queueing time of an attempt that arrives now */
	uint8_t state;		   /* enum backend_state */
	uint32_t slowdown_percent; /* service time on the host now, in percent of normal; 0: unknown
				    */
	uint32_t rate_limit_milli; /* calls per 1000 s that its backend server allows; 0: any */
	bool has_cold_room;	   /* the backend server is cold */
	uint16_t cold_room;	   /* calls that it takes now, if it is cold */
};

#endif
