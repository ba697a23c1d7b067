/*
 * Share: a gate's part of a class's fleet-wide calls_per_s.
 */
#ifndef FESCUEMILL_DECIDE_SHARE_H
#define FESCUEMILL_DECIDE_SHARE_H

#include <stdint.h>

#define SHARE_GATES_MAX 257	/* whose demands are known, this one included */
#define SHARE_SMOOTH_US 2000000 /* a demand is smoothed over about this time */

/* What a gate knows of the demand for one class, from its own count and its peers' reports. */
struct share_demand {
	uint64_t own_milli;   /* calls offered here a second, in thousandths */
	uint64_t total_milli; /* the same summed over the ready gates, this one included */
	uint32_t gates;	      /* ready gates of the service, this one included */
	uint32_t reported;    /* gates whose demand is in the sum, this one included */
	uint64_t known_milli[SHARE_GATES_MAX]; /* the demands in the sum, in any order */
	uint64_t rise_milli; /* of the own demand, too new for the others to have heard of it */
};

uint64_t share_equal_milli(uint32_t calls_per_s, uint32_t gates);
uint64_t share_by_demand_milli(uint32_t calls_per_s, const struct share_demand *demand);
uint64_t share_smooth_milli(uint64_t mean_milli, uint64_t offered, uint64_t passed_us);

#endif
