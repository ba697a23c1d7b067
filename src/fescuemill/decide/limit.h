/*
 * Limit: how many slots of the backend server the gate uses at once.
 */
#ifndef FESCUEMILL_DECIDE_LIMIT_H
#define FESCUEMILL_DECIDE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#define LIMIT_LOW_DIVISOR	4   /* a cold start and a probe use slots over this */
#define LIMIT_LOW_MIN		2   /* so that one long call does not stop all others */
#define LIMIT_ROUND_MIN		16  /* answered attempts that make one measurement */
#define LIMIT_INFLATED_PERCENT	175 /* of the usual service time; above it a round is inflated */
#define LIMIT_INFLATED_ROUNDS	2   /* in a row, before the limit reacts */
#define LIMIT_KEEP_PERCENT	75  /* of the limit that a shrink keeps */
#define LIMIT_PROBE_SAMPLES	32  /* answered attempts that make a probe */
#define LIMIT_PROBE_SAMPLES_MIN 4   /* that decide a probe which takes too long */
#define LIMIT_PROBE_US_MAX	(2ULL * 1000 * 1000) /* a probe costs slots; no longer than this */
#define LIMIT_PROBE_ROUNDS	64 /* between two probes, while service times stay inflated */

enum limit_mode {
	LIMIT_STEADY,
	LIMIT_PROBE, /* few slots for one round: does concurrency cause the inflation? */
};

struct limit {
	uint32_t fixed_percent; /* of the slots, always; 0: the limit adapts */
	uint32_t slots;
	uint32_t current; /* 1 to slots; 0 without a backend server */
	enum limit_mode mode;
	bool cold;		/* has not yet climbed to the slots, nor had to shrink */
	uint32_t cold_count;	/* answers since the last growth while cold */
	uint32_t before_probe;	/* the limit that a probe interrupted */
	uint64_t probe_percent; /* the inflation that a probe examines */
	uint32_t probe_age;	/* rounds since the last probe */
	uint32_t round_count;
	uint64_t round_percent;	    /* sum of service times as percent of the usual one */
	uint64_t round_us;	    /* only attempts started since count */
	uint32_t inflated_rounds;   /* in a row */
	bool round_full;	    /* the limit was reached in this round */
	bool round_shed;	    /* the limit shrank for a shed in this round */
	uint64_t usual_percent;	    /* inflation that concurrency does not cause; 100 at rest */
	uint64_t explained_percent; /* the most that it may be, from the last probe */
};

/* One answered attempt. */
struct limit_sample {
	uint64_t start_us;
	uint64_t end_us;
	uint64_t usual_us; /* service time of its class with few attempts at once; 0: unknown, then
			      it tells nothing */
};

void limit_start(struct limit *limit, uint32_t slots, uint64_t now_us);
void limit_fix(struct limit *limit, uint32_t percent);
void limit_set_slots(struct limit *limit, uint32_t slots, uint64_t now_us);
uint32_t limit_low(const struct limit *limit);
void limit_note_full(struct limit *limit);
void limit_served(struct limit *limit, const struct limit_sample *sample);
void limit_shed(struct limit *limit, uint64_t now_us);

#endif
