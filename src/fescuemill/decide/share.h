/*
 * A gate's share of a class's fleet-wide calls_per_s.
 */
#ifndef FESCUEMILL_DECIDE_SHARE_H
#define FESCUEMILL_DECIDE_SHARE_H

#include <stdint.h>

#define SHARE_GATES_MAX 257	/* maximum number of gates with a known demand, this one included */
#define SHARE_SMOOTH_US 2000000 /* time over which a demand is averaged */

/* Demand for one class as known to a gate from its own count and from its peers' reports. A demand
 * is a rate of offered calls in thousandths of a call a second. */
struct share_demand {
	uint64_t own_milli;   /* demand at this gate, without own_rise_milli */
	uint64_t total_milli; /* sum of the known demands, own_milli included */
	uint32_t gates;	      /* number of ready gates of the service, this one included */
	uint32_t reported;    /* number of gates with a known demand, this one included */
	uint64_t known_milli[SHARE_GATES_MAX]; /* known demands, in any order */
	uint64_t own_rise_milli; /* recent increase at this gate that the peers do not know yet */
};

uint64_t share_equal_milli(uint32_t calls_per_s, uint32_t gates);
uint64_t share_by_demand_milli(uint32_t calls_per_s, const struct share_demand *demand);
uint64_t share_smooth_milli(uint64_t mean_milli, uint64_t offered, uint64_t passed_us);

#endif
