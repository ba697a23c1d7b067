/*
 * Limit: how many slots of the backend server the gate uses at once.
 */
#ifndef FESCUEMILL_DECIDE_LIMIT_H
#define FESCUEMILL_DECIDE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#define LIMIT_LOW_DIVISOR	4   /* low concurrency: slots / this; for slow start and probes */
#define LIMIT_LOW_MIN		2   /* minimum, so that one long call does not block all others */
#define LIMIT_ROUND_MIN		16  /* minimum of answered attempts in a round */
#define LIMIT_INFLATED_PERCENT	175 /* of the accepted inflation; above it a round is inflated */
#define LIMIT_INFLATED_ROUNDS	2   /* consecutive inflated rounds before the limit reacts */
#define LIMIT_KEEP_PERCENT	75  /* part of the limit that remains after it shrinks */
#define LIMIT_PROBE_SAMPLES	32  /* answered attempts in a probe */
#define LIMIT_PROBE_SAMPLES_MIN 4   /* answered attempts in a probe of over LIMIT_PROBE_US_MAX */
#define LIMIT_PROBE_US_MAX	(2ULL * 1000 * 1000) /* bounded, as a probe costs slots */
/* Minimum of rounds between two probes, while service times stay inflated. */
#define LIMIT_PROBE_ROUNDS 64

enum limit_mode {
	LIMIT_STEADY,
	LIMIT_PROBE, /* one round at low concurrency: does concurrency cause the inflation? */
};

/* Inflation: mean service time in percent of the baseline, the service time at low concurrency. */
struct limit {
	uint32_t fixed_percent; /* fixed limit in percent of the slots; 0: the limit adapts */
	bool uses_all;		/* a fixed limit is lifted to all slots */
	uint32_t slots;		/* slots that the backend server announced */
	uint32_t current;	/* the limit, 1 to slots; 0 without a backend server */
	enum limit_mode mode;
	bool slow_start; /* the limit has neither reached the slots nor reacted to inflation or
			    shedding */
	uint32_t slow_start_count; /* answered attempts since the limit last grew in slow start */
	uint32_t current_before_probe;	   /* the limit to return to after a probe */
	uint64_t probed_inflation_percent; /* inflation that led to the probe */
	uint32_t rounds_since_probe;	   /* up to LIMIT_PROBE_ROUNDS */
	uint32_t round_count;		   /* answered attempts in this round */
	uint64_t round_percent;		   /* sum of the inflation of the attempts in this round */
	uint64_t round_start_us;	   /* attempts that started earlier do not count */
	uint32_t inflated_rounds;	   /* consecutive inflated rounds */
	bool round_full;		   /* the limit was reached in this round */
	bool round_shed; /* the limit shrank in this round, as the backend server shed an attempt */
	uint64_t accepted_percent;     /* inflation that concurrency does not cause; 100: none */
	uint64_t accepted_percent_max; /* upper bound of accepted_percent, from the latest probe */
};

/* One answered attempt. */
struct limit_sample {
	uint64_t start_us;
	uint64_t end_us;
	uint64_t baseline_us; /* baseline of its class; 0: unknown, counts as accepted inflation */
};

void limit_start(struct limit *limit, uint32_t slots, uint64_t now_us);
void limit_set_fixed(struct limit *limit, uint32_t percent);
void limit_use_all(struct limit *limit, bool uses_all);
uint32_t limit_fixed(const struct limit *limit);
void limit_set_slots(struct limit *limit, uint32_t slots, uint64_t now_us);
uint32_t limit_low_concurrency(const struct limit *limit);
void limit_record_full(struct limit *limit);
void limit_record_answer(struct limit *limit, const struct limit_sample *sample);
void limit_record_shed(struct limit *limit, uint64_t now_us);

#endif
