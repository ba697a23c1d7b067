/*
 * Limit: how many slots of the backend server the gate uses at once.
 */
#ifndef FESCUEMILL_DECIDE_LIMIT_H
#define FESCUEMILL_DECIDE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#define LIMIT_COLD_DIVISOR     4   /* a cold start begins at slots over this */
#define LIMIT_ROUND_MIN	       16  /* finished attempts that make one measurement */
#define LIMIT_INFLATED_PERCENT 150 /* of the usual service time; above it the limit shrinks */
#define LIMIT_KEEP_PERCENT     75  /* of the limit that a shrink keeps */

struct limit {
	uint32_t slots;
	uint32_t current; /* 1 to slots; 0 without a backend server */
	uint32_t round_count;
	uint64_t round_percent;	 /* sum of service times as percent of the usual one */
	bool round_full;	 /* the limit was reached in this round */
	bool round_shed;	 /* the limit shrank for a shed in this round */
	uint32_t before_shrink;	 /* limit before the last shrink; 0 when the last round grew */
	uint64_t shrink_percent; /* service time that caused the last shrink */
	uint64_t usual_percent;	 /* service time that concurrency does not explain; 100 at rest */
};

void limit_start(struct limit *limit, uint32_t slots);
void limit_set_slots(struct limit *limit, uint32_t slots);
void limit_note_full(struct limit *limit);
void limit_served(struct limit *limit, uint64_t service_us, uint64_t usual_us);
void limit_shed(struct limit *limit);

#endif
