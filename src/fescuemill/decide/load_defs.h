/*
 * Load of a gate: what it tells of itself on every answer and pong.
 */
#ifndef FESCUEMILL_DECIDE_LOAD_DEFS_H
#define FESCUEMILL_DECIDE_LOAD_DEFS_H

#include <stdint.h>

/* The gate's state at the moment of sending; rides on answers and pongs. */
struct gate_load {
	uint32_t in_use;	  /* slots taken */
	uint32_t limit;		  /* slots that the gate would use now */
	uint32_t queued;	  /* attempts that wait */
	uint32_t service_time_us; /* smoothed cost of one attempt; errors count as missed targets */
	uint32_t wait_us;	  /* expected wait of an attempt that arrives now */
	uint8_t state;		  /* enum backend_state */
	uint32_t pace_percent; /* how long work takes on the host now, 100 as usual; 0: unknown */
};

#endif
